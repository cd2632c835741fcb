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

std::string Explain(const std::string& lines,
                    const std::string& subject = "3db70ddf9f88bf52") {
  const scoped_input input(lines);
  std::ostringstream out;
  std::ostringstream errors;
  RunCommandLine({"explain", subject}, {}, Subcommands(), out, errors);
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

/// Two tasks of one job and one of another wait in cell 2.
constexpr char kQueueLine[] =
    R"({"time":25.5,"name":"restart_queue","cell":"2","epoch":"1",)"
    R"("restarts":"3db70ddf9f88bf52.0.0.13/1 place 41 of 57 waited_ms 13100 )"
    R"(need_millicores 2200 waited_for room; 3db70ddf9f88bf52.0.0.1 )"
    R"(place 56 of 57 waited_ms 1100 need_millicores 900 )"
    R"(waited_for unstored_end; 3123a25d8878aa58.0.0.2/1 place 57 of 57 )"
    R"(waited_ms 1050 need_millicores 2500 waited_for room"})"
    "\n";

// Guards against a task that waits beside many others and of which an operator
// can't tell why, because no line is on it alone.
TEST(ExplainCommandTest, FindsATaskInTheQueue) {
  EXPECT_EQ(Explain(kQueueLine, "3db70ddf9f88bf52.0.0.13"),
            "25.500 run 3db70ddf9f88bf52.0.0.13/1: waits for its restart in "
            "cell 2, place 41 of 57 waited_ms 13100 need_millicores 2200 "
            "waited_for room\n");
}

// Guards against a task whose reference begins with that of another one.
TEST(ExplainCommandTest, TellsTasksWithACommonPrefixApart) {
  EXPECT_EQ(Explain(kQueueLine, "3db70ddf9f88bf52.0.0.1"),
            "25.500 run 3db70ddf9f88bf52.0.0.1: waits for its restart in cell "
            "2, place 56 of 57 waited_ms 1100 need_millicores 900 waited_for "
            "unstored_end\n");
}

TEST(ExplainCommandTest, FindsAllTasksOfAJobInTheQueue) {
  const std::string text = Explain(kQueueLine);
  EXPECT_NE(text.find("3db70ddf9f88bf52.0.0.13/1: waits"), std::string::npos)
      << text;
  EXPECT_NE(text.find("3db70ddf9f88bf52.0.0.1: waits"), std::string::npos)
      << text;
  EXPECT_EQ(text.find("3123a25d8878aa58"), std::string::npos) << text;
}

// Guards against the lines of one task that are lost among those of the other
// tasks of its job, and against a task without the end of its job.
TEST(ExplainCommandTest, TellsOfATaskWithItsJob) {
  EXPECT_EQ(
      Explain(R"({"time":1.0,"name":"job_known","job":"3db70ddf9f88bf52"})"
              "\n"
              R"({"time":2.0,"name":"scheduling","what":"run_lost",)"
              R"("run":"3db70ddf9f88bf52.0.0.2/1","worker":"i-1"})"
              "\n"
              R"({"time":3.0,"name":"scheduling","what":"run_lost",)"
              R"("run":"3db70ddf9f88bf52.0.0.1/1","worker":"i-2"})"
              "\n",
              "3db70ddf9f88bf52.0.0.1"),
      "1.000 job_known\n"
      "3.000 run 3db70ddf9f88bf52.0.0.1/1 on i-2: lost\n");
}

// Guards against lines on the job alone that are taken for lines on the task.
TEST(ExplainCommandTest, SaysThatNoLineNamesTheTask) {
  EXPECT_EQ(Explain(R"({"time":1.0,"name":"job_known",)"
                    R"("job":"3db70ddf9f88bf52"})"
                    "\n",
                    "3db70ddf9f88bf52.0.0.1"),
            "no line names the job or task 3db70ddf9f88bf52.0.0.1\n");
}

}  // namespace
}  // namespace skylarkbridge::cli
