// Tests of what shows that the process of a worker has ended because another
// one answers at its address.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <variant>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kJob{1};

/// Workers with an address of their own, and renewals that a test answers.
struct addresses_driver : scheduler_driver {
  void List(const std::string& id, const std::string& address) {
    scheduler.WorkerListed(
        {.worker = id,
         .service = "service",
         .address = address,
         .capacity = {.millicores = 1000, .memory_mb = 1000}},
        now);
  }
  /// Runs the scheduler and returns its renewal of a worker.
  renew_order RenewalOf(const std::string& id) {
    AllowOrders(now);
    scheduler.Run(now, kWall);
    for (const order& any : scheduler.TakeOrders()) {
      if (const auto* renewal = std::get_if<renew_order>(&any);
          renewal != nullptr && renewal->target.worker == id) {
        return *renewal;
      }
    }
    ADD_FAILURE() << "no renewal of " << id;
    return {};
  }
  void Refuse(const renew_order& renewal) {
    scheduler.Handle(renew_reply{.worker = renewal.target.worker,
                                 .renewal_number = renewal.renewal_number,
                                 .result = order_result::kWrongWorker,
                                 .fence = renewal.target.fence},
                     now);
  }
  /// Starts a long-running task on "w0", which listens at "a".
  void StartOnW0() {
    Begin();
    List("w0", "a");
    RunRounds();
    Submit(kJob,
           {.count = 1, .need = {.millicores = 600}, .long_running = true});
    RunRounds();
    ASSERT_EQ(RunsOn("w0"), 1U);
  }
  std::size_t RunsOn(const std::string& id) const {
    const auto session = scheduler.Workers().find(id);
    return session == scheduler.Workers().end() ? 0
                                                : session->second.runs.size();
  }
};

// Guards against a run that holds its task until the lease ends although
// another worker listens at the address.
TEST(ReplacedLivesTest, ARefusalAtTheAddressOfTheLastReportEndsTheLife) {
  addresses_driver driver;
  driver.StartOnW0();
  driver.now += seconds(1);
  driver.Refuse(driver.RenewalOf("w0"));
  EXPECT_FALSE(driver.scheduler.Workers().contains("w0"));
  EXPECT_EQ(driver.scheduler.WaitingRestarts(), 1U);
}

// Guards against a second run of a task: an entry that names the address of
// another worker ends no life elsewhere.
TEST(ReplacedLivesTest, ARefusalAtAnotherAddressEndsNoLife) {
  addresses_driver driver;
  driver.StartOnW0();
  driver.List("w0", "b");
  driver.now += seconds(1);
  driver.Refuse(driver.RenewalOf("w0"));
  EXPECT_EQ(driver.RunsOn("w0"), 1U);
}

// Guards against a second run of a task: an answer from the address that is
// older than the life there, as it was overtaken, ends no life.
TEST(ReplacedLivesTest, AnAnswerFromBeforeALifeDoesNotEndIt) {
  addresses_driver driver;
  driver.Begin();
  driver.List("w1", "a");
  const renew_order early = driver.RenewalOf("w1");
  driver.List("w0", "a");
  driver.now += seconds(1);
  driver.AnswerRenewal(driver.RenewalOf("w0"));
  driver.AnswerRenewal(early);
  EXPECT_TRUE(driver.scheduler.Workers().contains("w0"));
}

// Guards against a second run of a task: the worker was back at its address and
// had confirmed a start when a refusal from before arrived.
TEST(ReplacedLivesTest, ARefusalFromBeforeAConfirmedStartEndsNoLife) {
  addresses_driver driver;
  driver.StartOnW0();
  driver.now += seconds(1);
  const renew_order renewal = driver.RenewalOf("w0");
  driver.now += seconds(1);
  driver.scheduler.Handle(
      start_reply{"w0", driver.starts.front().run, order_result::kDone,
                  driver.starts.front().target.fence},
      driver.now);
  driver.Refuse(renewal);
  EXPECT_EQ(driver.RunsOn("w0"), 1U);
}

// As above, for a start whose answer is still to come.
TEST(ReplacedLivesTest, ARefusalFromBeforeAStartUnderWayEndsNoLife) {
  addresses_driver driver;
  driver.StartOnW0();
  driver.now += seconds(1);
  const renew_order renewal = driver.RenewalOf("w0");
  driver.now += milliseconds(100);
  driver.Submit(job_id{2}, {.count = 1, .need = {.millicores = 300}});
  driver.AllowOrders(driver.now);
  driver.scheduler.Run(driver.now, addresses_driver::kWall);
  ASSERT_EQ(driver.RunsOn("w0"), 2U);
  driver.Refuse(renewal);
  EXPECT_EQ(driver.RunsOn("w0"), 2U);
}

// Guards against a successor that waits for a worker of an earlier owner whose
// address another worker has taken, also when it is in no list any more.
TEST(ReplacedLivesTest, AReportFromTheStoredAddressEndsAnUnreportedLife) {
  addresses_driver driver;
  driver.Begin(
      {.claim_epoch = 1, .workers = {"w0"}, .addresses = {{"w0", "a"}}},
      seconds(2));
  driver.List("w1", "b");
  driver.RunRounds();
  EXPECT_EQ(driver.scheduler.UnreportedWorkers(), 1U);
  driver.List("w2", "a");
  driver.RunRounds();
  EXPECT_EQ(driver.scheduler.UnreportedWorkers(), 0U);
  EXPECT_EQ(driver.stored_list.addresses.count("w0"), 0U);
}

// Guards against a stored address at which a worker's tasks do not run: a
// worker that has moved gets none until its new address is stored.
TEST(ReplacedLivesTest, AWorkerThatMovedGetsTasksOnceItsAddressIsStored) {
  addresses_driver driver;
  driver.Begin();
  driver.List("w0", "a");
  driver.RunRounds();
  driver.List("w0", "b");
  EXPECT_EQ(driver.scheduler.UsableWorkers(driver.now), 0U);
  driver.now += seconds(1);
  driver.AnswerRenewal(driver.RenewalOf("w0"));
  EXPECT_EQ(driver.scheduler.UsableWorkers(driver.now), 0U);
  driver.RunRounds();
  EXPECT_EQ(driver.scheduler.UsableWorkers(driver.now), 1U);
  EXPECT_EQ(driver.stored_list.addresses.at("w0"), "b");
}

}  // namespace
}  // namespace skylarkbridge::jobs
