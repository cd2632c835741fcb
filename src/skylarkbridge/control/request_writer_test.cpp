#include "skylarkbridge/control/request_writer.hpp"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

pending_request Request(std::uint64_t token) {
  return {.token = token,
          .job = jobs::job_id{token},
          .record = {.key = "j", .value = "v"},
          .deadline = kNow + seconds(3)};
}

// Guards against reporting a request as not run although an earlier append of
// it had no answer and may have stored it.
TEST(RequestWriterTest, MarksRequestsUncertainAfterAnAppendWithoutAnAnswer) {
  request_writer writer({});
  ASSERT_TRUE(writer.Add(Request(1), kNow));
  ASSERT_TRUE(writer.Next(kNow, 1));
  writer.Handle({.number = 1, .result = store_result::kNoAnswer}, kNow);
  ASSERT_TRUE(writer.Next(kNow + milliseconds(100), 2));
  writer.Handle({.number = 2, .result = store_result::kRefused},
                kNow + milliseconds(100));
  const auto results = writer.Expire(kNow + seconds(3));
  ASSERT_EQ(results.size(), 1U);
  EXPECT_FALSE(results[0].stored);
  EXPECT_TRUE(results[0].request.uncertain);
}

// Guards against telling a caller that its repeated request was not run while
// the record of the first attempt may be stored.
TEST(RequestWriterTest, KeepsARepeatedRequestUncertain) {
  request_writer writer({});
  ASSERT_TRUE(writer.Add(Request(1), kNow));
  ASSERT_TRUE(writer.Next(kNow, 1));
  writer.Handle({.number = 1, .result = store_result::kNoAnswer}, kNow);
  ASSERT_EQ(writer.Expire(kNow + seconds(3)).size(), 1U);
  EXPECT_TRUE(writer.MayBeStored(Request(1).record));
  pending_request repeated = Request(2);
  repeated.deadline = kNow + seconds(6);
  ASSERT_TRUE(writer.Add(repeated, kNow + seconds(3)));
  ASSERT_TRUE(writer.Next(kNow + seconds(3), 2));
  // The store counts as down by now, so the request is given up at once.
  const auto results = writer.Handle(
      {.number = 2, .result = store_result::kRefused}, kNow + seconds(3));
  ASSERT_EQ(results.size(), 1U);
  EXPECT_FALSE(results[0].stored);
  EXPECT_TRUE(results[0].request.uncertain);
}

// Guards against a record that the store never takes and that keeps the
// requests of other callers from being written.
TEST(RequestWriterTest, GivesUpOnlyTheRequestThatTheStoreRejects) {
  request_writer writer({});
  for (std::uint64_t token = 1; token <= 3; ++token) {
    ASSERT_TRUE(writer.Add(Request(token), kNow));
  }
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> rejected;
  for (std::uint64_t number = 1; number <= 10; ++number) {
    const auto append = writer.Next(kNow, number);
    if (!append) {
      break;
    }
    // The store does not take the record of the second request, which is
    // written alone as the third append.
    const bool takes = append->batch.size() == 1 && number != 3;
    for (const request_outcome& outcome :
         writer.Handle({.number = number,
         .result = takes ? store_result::kDone : store_result::kRejected},
                       kNow)) {
      (outcome.stored ? stored : rejected).push_back(outcome.request.token);
      EXPECT_EQ(outcome.rejected, !outcome.stored);
    }
  }
  EXPECT_EQ(stored, (std::vector<std::uint64_t>{1, 3}));
  EXPECT_EQ(rejected, std::vector<std::uint64_t>{2});
}

// Guards against a control thread that spins while as many appends as allowed
// are in flight and further requests wait: only a reply can let them go on.
TEST(RequestWriterTest, WaitsForAReplyWhileAllAppendsAreInFlight) {
  request_writer writer({.max_appends = 1});
  ASSERT_TRUE(writer.Add(Request(1), kNow));
  ASSERT_TRUE(writer.Next(kNow, 1));
  ASSERT_TRUE(writer.Add(Request(2), kNow));
  ASSERT_FALSE(writer.Next(kNow, 2));
  ASSERT_TRUE(writer.NextDeadline());
  EXPECT_GT(*writer.NextDeadline(), kNow);
  EXPECT_LE(*writer.NextDeadline(), kNow + seconds(3));
  writer.Handle({.number = 1, .result = store_result::kDone}, kNow);
  EXPECT_EQ(writer.NextDeadline(), kNow);
}

// Guards against unbounded growth of the set of uncertain keys.
TEST(RequestWriterTest, DropsTheOldestUncertainKeys) {
  request_writer writer({.max_uncertain_keys = 2});
  for (std::uint64_t number = 1; number <= 3; ++number) {
    pending_request request = Request(number);
    request.record.key = absl::StrCat("j", number);
    ASSERT_TRUE(writer.Add(request, kNow));
    ASSERT_TRUE(writer.Next(kNow + seconds(number), number));
    writer.Handle({.number = number, .result = store_result::kNoAnswer}, kNow);
    writer.StoreAnswered();
    ASSERT_EQ(writer.Expire(kNow + seconds(3)).size(), 1U);
  }
  EXPECT_FALSE(writer.MayBeStored({.key = "j1"}));
  EXPECT_TRUE(writer.MayBeStored({.key = "j3"}));
}

// Guards against reporting a request as uncertain when the store has only
// refused it and so can't have stored it.
TEST(RequestWriterTest, ReportsARefusedRequestAsNotRun) {
  request_writer writer({});
  writer.Add(Request(1), kNow);
  writer.Next(kNow, 1);
  writer.Handle({.number = 1, .result = store_result::kRefused}, kNow);
  const auto results = writer.Expire(kNow + seconds(3));
  ASSERT_EQ(results.size(), 1U);
  EXPECT_FALSE(results[0].request.uncertain);
}

// Guards against sending one append per request while several wait.
TEST(RequestWriterTest, BatchesWaitingRequests) {
  request_writer writer({});
  for (std::uint64_t token = 1; token <= 5; ++token) {
    writer.Add(Request(token), kNow);
  }
  const auto append = writer.Next(kNow, 1);
  ASSERT_TRUE(append);
  EXPECT_EQ(append->batch.size(), 5U);
  EXPECT_EQ(
      writer.Handle({.number = 1, .result = store_result::kDone}, kNow).size(),
      5U);
  EXPECT_TRUE(writer.Idle());
}

// Guards against queuing requests while the store is down: one at a time is
// sent as a probe, the others are refused until the store has answered.
TEST(RequestWriterTest, ProbesAStoreThatIsDown) {
  request_writer writer({});
  writer.Add(Request(1), kNow);
  writer.Next(kNow, 1);
  writer.Handle({.number = 1, .result = store_result::kRefused}, kNow);
  const time_point later = kNow + seconds(2);
  EXPECT_TRUE(writer.StoreDown(later));
  EXPECT_TRUE(writer.Add(Request(2), later));
  ASSERT_TRUE(writer.Next(later, 2));
  EXPECT_FALSE(writer.Add(Request(3), later));
  EXPECT_FALSE(
      writer.Handle({.number = 2, .result = store_result::kRefused}, later)
          .empty());
  writer.StoreAnswered();
  EXPECT_TRUE(writer.Add(Request(4), later));
}

}  // namespace
}  // namespace skylarkbridge::control
