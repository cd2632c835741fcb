// Tests of failed runs whose limit is not known: their job was accepted by a
// version that didn't store the settings of its queue, which is away.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr job_id kJob{7};
constexpr task_ref kTask{.job = kJob};

std::shared_ptr<const fleet_configuration> Configuration(
    std::optional<std::uint32_t> max_attempts) {
  auto configuration = std::make_shared<fleet_configuration>();
  configuration->version = 3;
  configuration->queues.push_back(
      {.name = "batch", .service = "service", .max_attempts = max_attempts});
  return configuration;
}

std::shared_ptr<const fleet_configuration> ConfigurationWithoutQueue() {
  auto configuration = std::make_shared<fleet_configuration>();
  configuration->version = 2;
  return configuration;
}

void Wait(scheduler_driver& driver) {
  for (int pass = 0; pass < 4; ++pass) {
    driver.Pass(milliseconds(300));
  }
}

/// A started task.
void Start(scheduler_driver& driver) {
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 500}});
  Wait(driver);
  ASSERT_EQ(driver.starts.size(), 1U);
}

// Guards against a job that fails because the limit of its attempts is not
// known.
TEST(AttemptsTest, AFailureGivesNothingUpWhileItsLimitIsNotKnown) {
  scheduler_driver driver;
  Start(driver);
  driver.scheduler.Configure(ConfigurationWithoutQueue());
  driver.EndRun(driver.LastRun(kTask), run_end::kFailed);
  Wait(driver);
  ASSERT_NE(driver.scheduler.Jobs().Find(kJob), nullptr);
  EXPECT_EQ(driver.starts.size(), 1U);
  driver.scheduler.Configure(Configuration(3));
  Wait(driver);
  EXPECT_EQ(driver.starts.size(), 2U);
}

// Guards against a start beyond the limit once this is known.
TEST(AttemptsTest, FailuresCountedWithoutALimitUseUpTheAttempts) {
  scheduler_driver driver;
  Start(driver);
  driver.scheduler.Configure(ConfigurationWithoutQueue());
  driver.EndRun(driver.LastRun(kTask), run_end::kFailed);
  Wait(driver);
  driver.scheduler.Configure(Configuration(1));
  Wait(driver);
  EXPECT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.scheduler.Jobs().Find(kJob), nullptr);
}

// Guards against a limit that is missing in the configuration and taken for the
// lowest one.
TEST(AttemptsTest, AQueueWithoutALimitGivesNothingUp) {
  scheduler_driver driver;
  driver.scheduler.Configure(Configuration(std::nullopt));
  Start(driver);
  for (std::size_t run = 1; run <= 5; ++run) {
    ASSERT_EQ(driver.starts.size(), run);
    driver.EndRun(driver.LastRun(kTask), run_end::kFailed);
    Wait(driver);
    Wait(driver);
    Wait(driver);
    Wait(driver);
  }
  EXPECT_NE(driver.scheduler.Jobs().Find(kJob), nullptr);
}

}  // namespace
}  // namespace skylarkbridge::jobs
