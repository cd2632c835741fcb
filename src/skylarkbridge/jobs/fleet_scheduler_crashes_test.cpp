// Tests of which runs are held responsible for the crash of a worker.

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/worker_lives_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than the lease of a worker.
constexpr seconds kLongSilence{8};

/// Starts a job with a task for each result, on w0, which answers in this way.
void StartOnWorker(lives_driver& driver,
                   const std::vector<order_result>& results) {
  driver.Join("w0", 4000);
  driver.Submit(kJob, Tasks(static_cast<std::uint32_t>(results.size()), 600));
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.starts.size(), results.size());
  for (std::size_t index = 0; index < results.size(); ++index) {
    driver.Answer(sent.starts[index], results[index]);
  }
}

/// Lets w0 report from a new life without runs, and returns the details of the
/// suspected runs.
std::vector<std::string> SuspicionsAfterRestart(lives_driver& driver) {
  driver.starts.clear();
  driver.start_times["w0"] = kSecondLife;
  driver.scheduler.TakeNotes();
  driver.now += milliseconds(600);
  for (const renew_order& renewal : driver.RunUnanswered().renewals) {
    driver.AnswerRenewal(renewal);
  }
  std::vector<std::string> details;
  for (const scheduling_note& note : driver.scheduler.TakeNotes()) {
    if (note.event == scheduling_event::kCrashSuspected) {
      details.push_back(note.detail);
    }
  }
  return details;
}

// The tests below guard against giving up a task for starts that got no answer
// and that its workers may never have carried out.
TEST(FleetSchedulerCrashesTest, AConfirmedStartIsBlamedBeforeAnUnansweredOne) {
  lives_driver driver;
  StartOnWorker(driver, {order_result::kDone, order_result::kNoAnswer});
  EXPECT_EQ(SuspicionsAfterRestart(driver), std::vector<std::string>{"blamed"});
}

TEST(FleetSchedulerCrashesTest, AnUnansweredStartAloneIsNotBlamed) {
  lives_driver driver;
  StartOnWorker(driver, {order_result::kNoAnswer});
  EXPECT_EQ(SuspicionsAfterRestart(driver),
            std::vector<std::string>{"one of 1"});
}

TEST(FleetSchedulerCrashesTest, AnUnansweredStartIsNotSuspectedAfterTheLease) {
  lives_driver driver;
  StartOnWorker(driver, {order_result::kNoAnswer});
  for (milliseconds silent{}; silent < kLongSilence;
       silent += milliseconds(200)) {
    driver.now += milliseconds(200);
    for (const renew_order& renewal : driver.RunUnanswered().renewals) {
      driver.Fail(renewal);
    }
  }
  EXPECT_TRUE(SuspicionsAfterRestart(driver).empty());
}

}  // namespace
}  // namespace skylarkbridge::jobs
