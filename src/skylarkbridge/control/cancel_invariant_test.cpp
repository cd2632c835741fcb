#include "skylarkbridge/control/cancel_invariant_fake.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{1};
constexpr jobs::run_ref kRun{{.job = kJob}, 1};
constexpr jobs::run_ref kNextRun{{.job = kJob}, 2};
constexpr cancel_bounds kBounds{.cancel = milliseconds(4000),
                                .stop_timeout = milliseconds(400),
                                .contact = milliseconds(3000)};

/// Feeds the runs of one job to the invariant.
class cancelled_job {
 public:
  cancelled_job() { invariant_.RunStarted("w1", kRun, now_); }

  void Cancel() { invariant_.CancelStored(kJob, now_); }
  void Start(const jobs::run_ref& run) {
    invariant_.RunStarted("w2", run, now_);
  }
  void End() { invariant_.RunEnded("w1", kRun); }
  /// Lets the invariant observe the fleet at an interval of 100 ms.
  void Observe(milliseconds time, bool disrupted = false) {
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += milliseconds(100);
      for (const cancel_violation& violation :
           invariant_.Observe(disrupted, now_)) {
        violations.push_back(Format(violation));
      }
    }
  }

  std::vector<std::string> violations;

 private:
  time_point now_{seconds(100)};
  cancel_invariant invariant_{kBounds};
};

// Guards against a checker that finds nothing.
TEST(CancelInvariantTest, ReportsARunThatRunsOnOnce) {
  cancelled_job job;
  job.Observe(seconds(60));
  job.Cancel();
  job.Observe(kBounds.cancel + kBounds.stop_timeout);
  EXPECT_TRUE(job.violations.empty());
  job.Observe(seconds(60));
  EXPECT_EQ(job.violations,
            std::vector<std::string>{"CANCEL: 0000000000000001.0.0.0/1 runs on "
                                     "w1, cancelled 4500 ms ago"});
}

// Guards against counting the time from the repeat of a cancel.
TEST(CancelInvariantTest, CountsFromTheFirstCancel) {
  cancelled_job job;
  job.Cancel();
  job.Observe(seconds(4));
  job.Cancel();
  job.Observe(seconds(1));
  EXPECT_EQ(job.violations.size(), 1U);
}

TEST(CancelInvariantTest, AcceptsARunThatEndsInTime) {
  cancelled_job job;
  job.Cancel();
  job.Observe(kBounds.cancel + kBounds.stop_timeout);
  job.End();
  job.Observe(seconds(60));
  EXPECT_TRUE(job.violations.empty());
}

// Guards against accepting a late start whose run is stopped soon.
TEST(CancelInvariantTest, ReportsARunThatStartsLate) {
  cancelled_job job;
  job.Cancel();
  job.Observe(kBounds.cancel);
  job.End();
  job.Start(kNextRun);
  job.Observe(milliseconds(100));
  EXPECT_TRUE(job.violations.empty());
  job.Start(kNextRun);
  job.Observe(milliseconds(100));
  EXPECT_EQ(job.violations,
            std::vector<std::string>{"CANCEL: 0000000000000001.0.0.0/2 starts "
                                     "on w2, cancelled 4200 ms ago"});
}

// Guards against judging the time around a fault.
TEST(CancelInvariantTest, CountsNoTimeAroundAFault) {
  cancelled_job job;
  job.Cancel();
  for (int round = 0; round < 5; ++round) {
    job.Observe(seconds(1), true);
    job.Start(kNextRun);
    job.Observe(kBounds.contact + kBounds.cancel + kBounds.stop_timeout);
  }
  EXPECT_TRUE(job.violations.empty());
  job.Observe(milliseconds(100));
  EXPECT_EQ(job.violations.size(), 2U);
}

}  // namespace
}  // namespace skylarkbridge::control
