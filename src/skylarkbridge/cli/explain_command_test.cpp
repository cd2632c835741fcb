#include <gtest/gtest.h>

#include <iostream>
#include <sstream>
#include <string>

#include "skylarkbridge/cli/subcommand.hpp"

namespace skylarkbridge::cli {
namespace {

/// Replaces the standard input while it exists.
class scoped_input {
 public:
  explicit scoped_input(const std::string& text)
      : input_(text), replaced_(std::cin.rdbuf(input_.rdbuf())) {}
  ~scoped_input() {
    std::cin.rdbuf(replaced_);
    std::cin.clear();
  }
  scoped_input(const scoped_input&) = delete;
  scoped_input& operator=(const scoped_input&) = delete;

 private:
  std::istringstream input_;
  std::streambuf* replaced_;
};

std::string Explain(const std::string& lines) {
  const scoped_input input(lines);
  std::ostringstream out;
  std::ostringstream errors;
  RunCommandLine({"explain", "3db70ddf9f88bf52"}, {}, Subcommands(), out,
                 errors);
  return out.str() + errors.str();
}

// Guards against an operator who sees how long a task waited for its restart,
// but not in which stage, and against changes of the fields before it.
TEST(ExplainCommandTest, NamesTheLongestStageOfARestart) {
  EXPECT_EQ(
      Explain(R"({"time":2.5,"name":"scheduling","what":"start_ordered",)"
              R"("run":"3db70ddf9f88bf52.0.0.1/2","worker":"i-1",)"
              R"("detail":"room 100 need 3200 waited_ms 2400 waited_for room )"
              R"(released_by ended_run 1.0.0.0/1 )"
              R"(longest_stage takeover stage_ms 1900"})"
              "\n"
              R"({"time":1.5,"name":"scheduling","what":"restart_delayed",)"
              R"("run":"3db70ddf9f88bf52.0.0.1/1","worker":"",)"
              R"("detail":"waited_ms 1400 need 3200 waited_for room )"
              R"(stays_for short_wait longest_stage takeover stage_ms 1200"})"
              "\n"),
      "1.500 run 3db70ddf9f88bf52.0.0.1/1 on : waits for its restart, "
      "waited_ms 1400 need 3200 waited_for room stays_for short_wait "
      "longest_stage takeover stage_ms 1200\n"
      "2.500 run 3db70ddf9f88bf52.0.0.1/2 on i-1: ordered to start, room 100 "
      "need 3200 waited_ms 2400 waited_for room released_by ended_run "
      "1.0.0.0/1 longest_stage takeover stage_ms 1900\n");
}

}  // namespace
}  // namespace skylarkbridge::cli
