#include "skylarkbridge/jobs/renewal_retry.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr renewal_retry_options kOptions;

// Guards against a worker that is tried more often although no late start can
// reach it.
TEST(RenewalRetryTest, TheDelayOfAnUnwatchedWorkerGrows) {
  EXPECT_EQ(RenewalRetryDelay(kOptions, {.failed_renewals = 1}),
            kOptions.delay);
  EXPECT_EQ(RenewalRetryDelay(kOptions, {.failed_renewals = 3}),
            3 * kOptions.delay);
  EXPECT_EQ(RenewalRetryDelay(kOptions, {.failed_renewals = 50}),
            5 * kOptions.delay);
}

// Guards against the time in which the next life of a worker accepts a late
// start (TWICE, review/7): it is at most one delay.
TEST(RenewalRetryTest, TheDelayOfAWatchedWorkerStaysShort) {
  for (int failed = 1; failed < 100; ++failed) {
    const milliseconds delay = RenewalRetryDelay(
        kOptions, {.failed_renewals = failed,
                   .watched = 1,
                   .renewal_number = static_cast<std::uint64_t>(failed)});
    EXPECT_GE(delay, kOptions.watched_interval);
    EXPECT_LE(delay, kOptions.watched_interval * 5 / 4);
  }
}

// Guards against connection attempts that fill the link of an owner when a
// whole data centre is down.
TEST(RenewalRetryTest, TheWatchedWorkersShareABudget) {
  for (std::size_t watched = 1; watched <= 300; ++watched) {
    for (std::uint64_t number = 0; number < 8; ++number) {
      const silent_worker worker{
          .failed_renewals = 9, .watched = watched, .renewal_number = number};
      const milliseconds retry = RenewalRetryDelay(kOptions, worker);
      const milliseconds share =
          kOptions.watched_interval * static_cast<int>(watched);
      EXPECT_GE(retry, std::min(share, 5 * kOptions.delay));
      EXPECT_LE(retry, 5 * kOptions.delay);
      EXPECT_GE(RenewalHedgeDelay(kOptions, worker), share);
      EXPECT_GE(RenewalHedgeDelay(kOptions, worker), kOptions.hedge_delay);
    }
  }
}

// Guards against a worker that is tried less often than without the watch, as
// its turns to connect are rarer when many are down.
TEST(RenewalRetryTest, ARenewalIsRepeatedInTurnOnlyWhereThatIsMoreOften) {
  EXPECT_FALSE(ReconnectsForRenewal(kOptions, {.failed_renewals = 9}));
  for (std::size_t watched = 1; watched <= 300; ++watched) {
    for (int failed = 1; failed <= 9; ++failed) {
      const milliseconds usual =
          RenewalRetryDelay(kOptions, {.failed_renewals = failed});
      const milliseconds turn =
          kOptions.watched_interval * static_cast<int>(watched);
      EXPECT_EQ(ReconnectsForRenewal(
                    kOptions, {.failed_renewals = failed, .watched = watched}),
                turn < usual);
    }
  }
}

// Guards against workers that crash together and are tried in step for good.
TEST(RenewalRetryTest, ConsecutiveRetriesHaveDifferentDelays) {
  std::set<milliseconds> delays;
  for (std::uint64_t number = 1; number <= 8; ++number) {
    delays.insert(RenewalRetryDelay(
        kOptions,
        {.failed_renewals = 9, .watched = 40, .renewal_number = number}));
  }
  EXPECT_EQ(delays.size(), 8U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
