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

/// Lets w0 report from its next life without runs, and returns the notes on the
/// suspected runs.
std::vector<scheduling_note> SuspectsAfterRestart(lives_driver& driver) {
  driver.starts.clear();
  driver.start_times["w0"] += seconds(1);
  driver.List("w0", driver.start_times["w0"], 4000);
  driver.scheduler.TakeNotes();
  driver.now += milliseconds(600);
  for (const renew_order& renewal : driver.RunUnanswered().renewals) {
    driver.AnswerRenewal(renewal);
  }
  std::vector<scheduling_note> suspects = driver.scheduler.TakeNotes();
  std::erase_if(suspects, [](const scheduling_note& note) {
    return note.event != scheduling_event::kCrashSuspected;
  });
  return suspects;
}

/// The details of the notes above.
std::vector<std::string> SuspicionsAfterRestart(lives_driver& driver) {
  std::vector<std::string> details;
  for (const scheduling_note& note : SuspectsAfterRestart(driver)) {
    details.push_back(note.detail);
  }
  return details;
}

/// Waits for the next start on w0, which answers in this way.
void StartAgain(lives_driver& driver, order_result result) {
  for (int round = 0; round < 100; ++round) {
    driver.now += milliseconds(50);
    const sent_orders sent = driver.RunUnanswered();
    for (const renew_order& renewal : sent.renewals) {
      driver.AnswerRenewal(renewal);
    }
    if (!sent.starts.empty()) {
      driver.Answer(sent.starts.front(), result);
      return;
    }
  }
  ADD_FAILURE() << "no start";
}

// Guards against giving up a job for crashes that it did not cause: a task that
// restarts soon is alone on its worker when that crashes by itself, and was
// blamed each time (RESTART, LateOrderExplorerTest 194).
TEST(FleetSchedulerCrashesTest, ATaskIsNotBlamedForItsFirstCrash) {
  lives_driver driver;
  StartOnWorker(driver, {order_result::kDone});
  EXPECT_EQ(SuspicionsAfterRestart(driver),
            std::vector<std::string>{"one of 1"});
}

// Guards against a task that crashes each worker and is not given up (BUDGET).
TEST(FleetSchedulerCrashesTest, ATaskIsBlamedFromItsSecondCrashOn) {
  lives_driver driver;
  StartOnWorker(driver, {order_result::kDone});
  SuspicionsAfterRestart(driver);
  StartAgain(driver, order_result::kDone);
  EXPECT_EQ(SuspicionsAfterRestart(driver), std::vector<std::string>{"blamed"});
  StartAgain(driver, order_result::kDone);
  EXPECT_EQ(SuspicionsAfterRestart(driver), std::vector<std::string>{"blamed"});
  EXPECT_EQ(driver.scheduler.Jobs().Find(kJob), nullptr);
}

// The tests below guard against giving up a task for starts that got no answer
// and that its workers may never have carried out.
TEST(FleetSchedulerCrashesTest,
     AConfirmedStartIsSuspectedBeforeAnUnansweredOne) {
  lives_driver driver;
  StartOnWorker(driver, {order_result::kDone, order_result::kNoAnswer});
  const run_ref confirmed = driver.starts.front().run;
  const std::vector<scheduling_note> suspects = SuspectsAfterRestart(driver);
  ASSERT_EQ(suspects.size(), 1U);
  EXPECT_EQ(suspects.front().run, confirmed);
}

TEST(FleetSchedulerCrashesTest, AnUnansweredStartAloneIsNotBlamed) {
  lives_driver driver;
  StartOnWorker(driver, {order_result::kDone});
  SuspicionsAfterRestart(driver);
  StartAgain(driver, order_result::kNoAnswer);
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
