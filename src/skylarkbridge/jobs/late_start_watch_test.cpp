// Tests of the retries that reach the next life of a worker before a start
// without an answer does.

#include "skylarkbridge/jobs/late_start_watch.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/worker_lives_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr fleet_scheduler_options kOptions;

/// Runs the scheduler each millisecond and refuses the renewals to w0.
/// @return the longest time between two of them.
milliseconds LongestPause(lives_driver& driver, milliseconds time) {
  milliseconds longest{};
  time_point last = driver.now;
  for (const time_point end = driver.now + time; driver.now < end;
       driver.now += milliseconds(1)) {
    for (const renew_order& renewal : driver.RunUnanswered().renewals) {
      if (renewal.target.worker == "w0") {
        longest = std::max(longest,
                           std::chrono::floor<milliseconds>(driver.now - last));
        last = driver.now;
        driver.Fail(renewal);
      } else {
        driver.AnswerRenewal(renewal);
      }
    }
  }
  return longest;
}

/// The renewals to w0 of the next @p time, none of which has an answer yet.
std::vector<renew_order> OpenRenewals(lives_driver& driver, milliseconds time) {
  std::vector<renew_order> open;
  for (const time_point end = driver.now + time; driver.now < end;
       driver.now += milliseconds(1)) {
    for (const renew_order& renewal : driver.RunUnanswered().renewals) {
      open.push_back(renewal);
    }
  }
  return open;
}

/// A worker that has left a start unanswered and then stops to answer.
struct silent_worker_driver : lives_driver {
  silent_worker_driver() {
    Join("w0", 1000);
    Answer(SubmitOne(), order_result::kNoAnswer);
    for (const renew_order& renewal : RunUnanswered().renewals) {
      Fail(renewal);
    }
  }
};

// Guards against a watch that the end of an earlier late start cuts short.
TEST(LateStartWatchTest, AWorkerIsWatchedUntilItsLastLateStartArrives) {
  late_start_watch watch;
  const time_point now{seconds(1000)};
  watch.Add("w0", now + seconds(15));
  watch.Add("w0", now + seconds(10));
  EXPECT_TRUE(watch.IsWatched("w0", now + milliseconds(14'999)));
  EXPECT_FALSE(watch.IsWatched("w0", now + seconds(15)));
  EXPECT_FALSE(watch.IsWatched("w1", now));
  watch.RemoveOver(now + seconds(12));
  EXPECT_TRUE(watch.IsWatched("w0", now + seconds(12)));
}

// Guards against a done task that runs again: the next life of its worker
// carried out a late start before the owner's next renewal, up to half a second
// after it had begun to listen (TWICE, review/7).
TEST(LateStartWatchTest, AWorkerThatMayCarryOutALateStartIsTriedWithoutPause) {
  silent_worker_driver driver;
  EXPECT_LE(LongestPause(driver, seconds(10)),
            kOptions.renewal_retry.watched_interval * 5 / 4 + milliseconds(1));
}

// Guards against attempts that go on at this rate for good.
TEST(LateStartWatchTest, AWorkerIsTriedLessOftenOnceNoLateStartCanArrive) {
  silent_worker_driver driver;
  driver.now += kOptions.max_order_delay;
  EXPECT_EQ(LongestPause(driver, seconds(5)), 5 * kOptions.renewal_retry.delay);
}

// As the first case, over a takeover: the successor does not know the late
// starts of the owner before it.
TEST(LateStartWatchTest, ASuccessorTriesSilentWorkersOfEarlierOwners) {
  lives_driver driver;
  driver.Begin({"w0"});
  driver.List("w0", kFirstLife, 1000);
  EXPECT_LE(LongestPause(driver, seconds(10)),
            kOptions.renewal_retry.watched_interval * 5 / 4 + milliseconds(1));
  driver.now += kOptions.max_order_delay;
  EXPECT_EQ(LongestPause(driver, seconds(5)), 5 * kOptions.renewal_retry.delay);
}

// As the first case, for a worker that comes back after it has left the list.
TEST(LateStartWatchTest, AWorkerThatReturnsToTheListIsStillWatched) {
  silent_worker_driver driver;
  driver.scheduler.WorkerUnlisted("w0", driver.now);
  LongestPause(driver, seconds(9));
  ASSERT_FALSE(driver.scheduler.Workers().contains("w0"));
  driver.List("w0", kSecondLife, 1000);
  EXPECT_LE(LongestPause(driver, seconds(2)),
            kOptions.renewal_retry.watched_interval * 5 / 4 + milliseconds(1));
}

// As the first case, for a worker that swallows connections while it is down:
// its next life was reached only after the renewal under way had failed, up to
// 1.5 s later.
TEST(LateStartWatchTest, ARenewalIsSentAgainBesideOneThatHasNoAnswer) {
  silent_worker_driver driver;
  const std::vector<renew_order> open =
      OpenRenewals(driver, milliseconds(1000));
  EXPECT_GE(open.size(), 3U);
  for (const renew_order& renewal : open) {
    EXPECT_EQ(renewal.acknowledged, 0U);
    EXPECT_FALSE(renewal.lease_until);
    EXPECT_EQ(renewal.target.fence, open.front().target.fence);
  }
}

// Guards against a next life that is reached late beside load (TWICE,
// review/7): without attempts of the traffic thread, each one waited for the
// control thread.
TEST(LateStartWatchTest, AttemptsToConnectGoOnUntilTheNextRenewalIsSent) {
  silent_worker_driver driver;
  std::optional<time_point> attempts_until;
  for (const time_point end = driver.now + seconds(2); driver.now < end;
       driver.now += milliseconds(1)) {
    for (const renew_order& renewal : driver.RunUnanswered().renewals) {
      ASSERT_TRUE(renewal.reconnect_until);
      EXPECT_LE(driver.now, attempts_until.value_or(driver.now));
      attempts_until = renewal.reconnect_until;
    }
  }
  ASSERT_TRUE(attempts_until);
  EXPECT_LE(driver.now, *attempts_until);
}

// Guards against attempts that go on for good, and against ones that carry what
// is meant for the life before to the next one.
TEST(LateStartWatchTest, OnlyRenewalsThatMayReachANextLifeKeepConnecting) {
  silent_worker_driver driver;
  for (const renew_order& renewal :
       OpenRenewals(driver, kOptions.max_order_delay + seconds(10))) {
    EXPECT_FALSE(renewal.reconnect_until &&
                 (renewal.lease_until || renewal.acknowledged > 0));
  }
  for (const renew_order& renewal : OpenRenewals(driver, seconds(5))) {
    EXPECT_FALSE(renewal.reconnect_until);
  }
}

// Guards against a slow worker whose answers are dropped because a renewal was
// sent again meanwhile.
TEST(LateStartWatchTest, AnAnswerToAnEarlierOpenRenewalCounts) {
  silent_worker_driver driver;
  const std::vector<renew_order> open =
      OpenRenewals(driver, milliseconds(1000));
  ASSERT_GE(open.size(), 2U);
  driver.AnswerRenewal(open.front());
  EXPECT_TRUE(driver.scheduler.Workers().at("w0").RefusesLateOrders());
  // What a later one says from here on may be older than what the owner knows.
  driver.Fail(open.back());
  EXPECT_TRUE(driver.scheduler.Workers().at("w0").RefusesLateOrders());
}

// Guards against pauses that begin while an attempt is still under way.
TEST(LateStartWatchTest, AFailureOfAnEarlierOpenRenewalDoesNotCount) {
  silent_worker_driver driver;
  const std::vector<renew_order> open =
      OpenRenewals(driver, milliseconds(1000));
  ASSERT_GE(open.size(), 2U);
  const int failed = driver.scheduler.Workers().at("w0").failed_renewals;
  driver.Fail(open.front());
  EXPECT_EQ(driver.scheduler.Workers().at("w0").failed_renewals, failed);
  driver.AnswerRenewal(open.back());
  EXPECT_TRUE(driver.scheduler.Workers().at("w0").RefusesLateOrders());
}

// Guards against a new life that the list shows and that is reached only after
// a pause.
TEST(LateStartWatchTest, ALifeThatTheListShowsIsReachedAtOnce) {
  lives_driver driver;
  driver.Join("w0", 1000);
  for (int failed = 0; failed < 6; ++failed) {
    for (const renew_order& renewal : driver.RunUnanswered().renewals) {
      driver.Fail(renewal);
    }
    driver.now += milliseconds(600);
  }
  for (const renew_order& renewal : driver.RunUnanswered().renewals) {
    driver.Fail(renewal);
  }
  driver.now += milliseconds(1);
  EXPECT_TRUE(driver.RunUnanswered().renewals.empty());
  driver.List("w0", kSecondLife, 1000);
  EXPECT_EQ(driver.RunUnanswered().renewals.size(), 1U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
