#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "skylarkbridge/scenario/configuration_world.hpp"
#include "skylarkbridge/scenario/fleet_world.hpp"
#include "skylarkbridge/scenario/owner_world.hpp"
#include "skylarkbridge/scenario/script.hpp"
#include "skylarkbridge/scenario/session.hpp"

namespace skylarkbridge::scenario {
namespace {

/// Set to 1, it rewrites the files with the present output.
constexpr const char* kRewriteVariable = "SKYLARKBRIDGE_REWRITE_SCENARIOS";

using session = basic_session<fleet_world, owner_world, configuration_world>;

std::vector<std::string> Files() {
  std::vector<std::string> files;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("tests/scenarios", error)) {
    if (entry.path().extension() == ".txt") {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string Read(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string RunText(const std::string& text) {
  session run;
  return Rewrite(text,
                 [&](std::string_view command) { return run.Run(command); });
}

/// Expected output of a scenario that shows a known fault is kept.
bool KnownRed(const std::string& file) {
  const std::string name = std::filesystem::path(file).stem().string();
  std::ifstream in("KNOWN-RED.txt");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("test:") && line.ends_with("ScenarioTest." + name)) {
      return true;
    }
  }
  return false;
}

/// Each file is a test of its own, named after it.
class ScenarioTest : public testing::Test {
 public:
  explicit ScenarioTest(std::string file) : file_(std::move(file)) {}

  // Guards against any change of what the decision code does in a scripted
  // scenario, and against output that differs between two runs.
  void TestBody() override {
    const std::string expected = Read(file_);
    ASSERT_FALSE(expected.empty());
    ASSERT_LE(expected.size(), kMaxScriptBytes);
    const std::string actual = RunText(expected);
    EXPECT_EQ(actual, RunText(expected)) << "two runs differ";
    const char* rewrite = std::getenv(kRewriteVariable);
    if (rewrite != nullptr && std::string(rewrite) == "1" && !KnownRed(file_)) {
      std::ofstream(file_, std::ios::binary) << actual;
      return;
    }
    if (const auto difference = Compare(expected, actual)) {
      ADD_FAILURE_AT(file_.c_str(), static_cast<int>(difference->line))
          << "expected: " << difference->expected.value_or("(end of file)")
          << "\nactual:   " << difference->actual.value_or("(end of file)");
    }
  }

 private:
  std::string file_;
};

std::size_t RegisterFiles() {
  const std::vector<std::string> files = Files();
  for (const std::string& file : files) {
    testing::RegisterTest(
        "ScenarioTest", std::filesystem::path(file).stem().c_str(), nullptr,
        nullptr, file.c_str(), 1,
        [file]() -> testing::Test* { return new ScenarioTest(file); });
  }
  return files.size();
}

const std::size_t kRegisteredFiles = RegisterFiles();

// Guards against a run in another directory, which would find no file and pass.
TEST(ScriptTest, FindsTheScenarios) {
  EXPECT_GE(kRegisteredFiles, 15U);
}

// Guards against a comparison that overlooks a changed, missing or added line.
TEST(ScriptTest, NamesTheFirstLineThatDiffers) {
  EXPECT_FALSE(Compare("a\n  b\n", "a\n  b\n"));
  const auto changed = Compare("a\n  b\nc\n", "a\n  x\nc\n");
  ASSERT_TRUE(changed);
  EXPECT_EQ(changed->line, 2U);
  EXPECT_EQ(changed->expected, "  b");
  EXPECT_EQ(changed->actual, "  x");
  const auto added = Compare("a\n", "a\n  b\n");
  ASSERT_TRUE(added);
  EXPECT_EQ(added->line, 2U);
  EXPECT_FALSE(added->expected);
}

// Guards against a rewrite that drops comments or keeps old output.
TEST(ScriptTest, RewritesOutputAndKeepsTheRest) {
  EXPECT_EQ(Rewrite("# note\n\ncheck\n  old\n  older\nadvance 1s\n",
                    [](std::string_view command) {
                      return command == "check"
                                 ? std::vector<std::string>{"new"}
                                 : std::vector<std::string>{};
                    }),
            "# note\n\ncheck\n  new\nadvance 1s\n");
}

// Guards against a mistyped command that silently does nothing.
TEST(SessionTest, ReportsFaultyCommands) {
  session run;
  const auto error = [&](std::string_view command) {
    const auto output = run.Run(command);
    return output.empty() ? std::string() : output.front();
  };
  EXPECT_EQ(error("advnce 1s"), "error: unknown command");
  EXPECT_EQ(error("advance 1x"), "error: \"1x\" is not a time from 0 to 24h");
  EXPECT_EQ(error("advance"), "error: duration is missing");
  EXPECT_EQ(error("workers 2 slots"), "error: value of slots is missing");
  EXPECT_EQ(error("workers 2 slotz 3"), "error: unexpected word \"slotz\"");
  EXPECT_EQ(error("fail worker 7"), "error: no such worker");
  EXPECT_EQ(error("check"), "no violations");
}

/// A part that has broken an invariant.
struct faulty_world {
  bool Run(command&) { return false; }
  void Advance(std::chrono::milliseconds duration) { advanced += duration; }
  std::vector<std::string> Violations() const {
    return {"invariant 2: after " + std::to_string(advanced.count()) + " ms"};
  }
  std::chrono::milliseconds advanced{0};
};

// Guards against a check that passes although one of the parts is at fault.
TEST(SessionTest, CheckPrintsTheViolationsOfEveryPart) {
  basic_session<fleet_world, faulty_world> run;
  EXPECT_TRUE(run.Run("advance 1500ms").empty());
  EXPECT_EQ(run.Run("check"),
            std::vector<std::string>{"invariant 2: after 1500 ms"});
}

}  // namespace
}  // namespace skylarkbridge::scenario
