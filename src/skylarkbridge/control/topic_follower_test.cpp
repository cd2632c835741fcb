#include "skylarkbridge/control/topic_follower.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(100)};

/// Keeps the numbers of the reads; the test answers them.
struct reads_fake {
  std::vector<std::uint64_t> numbers;

  void Append(const append_call& /*call*/, time_point /*deadline*/) {}
  void Read(const topic& /*source*/,
            const jobs::read_request& read,
            time_point /*deadline*/) {
    numbers.push_back(read.number);
  }
  void ReadMachines(const jobs::machine_page_request& /*call*/,
                    time_point /*deadline*/) {}
  void SendOrder(const jobs::order& /*order*/, time_point /*deadline*/) {}
  static boost::leaf::result<jobs::fleet_configuration> DecodeConfiguration(
      std::string_view /*bytes*/) {
    return jobs::fleet_configuration{};
  }
  static boost::leaf::result<jobs::worker_entry> DecodeWorker(
      const std::string& /*key*/,
      std::string_view /*bytes*/) {
    return jobs::worker_entry{};
  }
  static boost::leaf::result<jobs::job_spec> DecodeJob(
      std::string_view /*bytes*/) {
    return jobs::job_spec{};
  }
  static bool IsConfiguration(const std::string& /*key*/) { return false; }
};

class TopicFollowerTest : public testing::Test {
 protected:
  TopicFollowerTest() {
    follower_.Send(store_, now_);
    Answer(jobs::snapshot_page{.end = 5});
    follower_.Send(store_, now_);
    now_ += milliseconds(800);
    Answer(jobs::tail_page{.end = 5});
  }
  template <class Outcome>
  void Answer(Outcome outcome) {
    follower_.HandleReply(
        {.number = store_.numbers.back(), .outcome = std::move(outcome)}, now_,
        metrics_);
  }
  /// Calls ReportAge and returns the lines that it logs.
  std::string LoggedLines() {
    testing::internal::CaptureStdout();
    follower_.ReportAge(now_);
    return testing::internal::GetCapturedStdout();
  }

  time_point now_ = kStart;
  telemetry::metrics_registry registry_;
  control_metrics metrics_{registry_};
  reads_fake store_;
  topic_follower follower_{{topic_kind::kJobs, 2},
                           {.wait = milliseconds(800)},
                           control_options()};
};

// Guards against a VM that acts on old state without a log line or metric: an
// owner started tasks on workers whose draining it had not read for 3 s.
TEST_F(TopicFollowerTest, ReportsThatReadsAreBehind) {
  follower_.ReportAge(now_);
  follower_.Send(store_, now_);
  now_ += milliseconds(1200);
  Answer(read_failed{});
  EXPECT_EQ(follower_.ReportAge(now_), milliseconds(1200));
  now_ += milliseconds(599);
  EXPECT_EQ(LoggedLines(), "");
  now_ += milliseconds(1);
  const std::string line = LoggedLines();
  EXPECT_NE(line.find("\"name\":\"reads_behind\",\"topic\":\"jobs.2\","
                      "\"age_ms\":\"1800\",\"failed\":\"1\""),
            std::string::npos)
      << line;
  now_ += milliseconds(999);
  EXPECT_EQ(LoggedLines(), "");
  now_ += milliseconds(1);
  EXPECT_NE(LoggedLines(), "");
}

// Guards against an age that counts the time in which a topic is not followed,
// as the list of workers before this VM owns a cell.
TEST_F(TopicFollowerTest, CountsNoTimeInWhichReportsArePaused) {
  follower_.ReportAge(now_);
  follower_.PauseReports();
  now_ += seconds(60);
  EXPECT_EQ(follower_.ReportAge(now_), milliseconds(0));
  now_ += milliseconds(100);
  EXPECT_EQ(follower_.ReportAge(now_), milliseconds(100));
}

}  // namespace
}  // namespace skylarkbridge::control
