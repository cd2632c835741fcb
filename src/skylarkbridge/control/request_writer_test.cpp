#include "skylarkbridge/control/request_writer.hpp"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

pending_request Item(std::uint64_t token) {
  return {.token = token,
          .job = jobs::job_id{token},
          .record = {.key = "j", .value = "v"},
          .deadline = kNow + seconds(3)};
}

// "Not run" has to be true: after an append without an answer it may not be
// said.
TEST(RequestWriterTest, AnAppendWithoutAnAnswerMakesItsItemsUncertain) {
  request_writer queue({});
  ASSERT_TRUE(queue.Add(Item(1), kNow));
  ASSERT_TRUE(queue.Next(kNow, 1));
  queue.Handle({.number = 1, .result = store_result::kNoAnswer}, kNow);
  ASSERT_TRUE(queue.Next(kNow + milliseconds(100), 2));
  queue.Handle({.number = 2, .result = store_result::kRefused},
               kNow + milliseconds(100));
  const auto results = queue.Expire(kNow + seconds(3));
  ASSERT_EQ(results.size(), 1U);
  EXPECT_FALSE(results[0].stored);
  EXPECT_TRUE(results[0].item.uncertain);
}

// A caller that repeats a request whose append had no answer may not be told
// that it has not run: the record of the first request may be stored.
TEST(RequestWriterTest, ARepeatedRequestStaysUncertain) {
  request_writer queue({});
  ASSERT_TRUE(queue.Add(Item(1), kNow));
  ASSERT_TRUE(queue.Next(kNow, 1));
  queue.Handle({.number = 1, .result = store_result::kNoAnswer}, kNow);
  ASSERT_EQ(queue.Expire(kNow + seconds(3)).size(), 1U);
  EXPECT_TRUE(queue.MayBeStored(Item(1).record));
  pending_request again = Item(2);
  again.deadline = kNow + seconds(6);
  ASSERT_TRUE(queue.Add(again, kNow + seconds(3)));
  ASSERT_TRUE(queue.Next(kNow + seconds(3), 2));
  // The store counts as down by now, so the request is settled at once.
  const auto results = queue.Handle(
      {.number = 2, .result = store_result::kRefused}, kNow + seconds(3));
  ASSERT_EQ(results.size(), 1U);
  EXPECT_FALSE(results[0].stored);
  EXPECT_TRUE(results[0].item.uncertain);
}

// Remembered doubts must not grow without a bound.
TEST(RequestWriterTest, ForgetsTheOldestDoubts) {
  request_writer queue({.max_uncertain_keys = 2});
  for (std::uint64_t number = 1; number <= 3; ++number) {
    pending_request item = Item(number);
    item.record.key = absl::StrCat("j", number);
    ASSERT_TRUE(queue.Add(item, kNow));
    ASSERT_TRUE(queue.Next(kNow + seconds(number), number));
    queue.Handle({.number = number, .result = store_result::kNoAnswer}, kNow);
    queue.StoreAnswered();
    ASSERT_EQ(queue.Expire(kNow + seconds(3)).size(), 1U);
  }
  EXPECT_FALSE(queue.MayBeStored({.key = "j1"}));
  EXPECT_TRUE(queue.MayBeStored({.key = "j3"}));
}

// A store that only ever refused has stored nothing.
TEST(RequestWriterTest, ARefusedItemIsCertain) {
  request_writer queue({});
  queue.Add(Item(1), kNow);
  queue.Next(kNow, 1);
  queue.Handle({.number = 1, .result = store_result::kRefused}, kNow);
  const auto results = queue.Expire(kNow + seconds(3));
  ASSERT_EQ(results.size(), 1U);
  EXPECT_FALSE(results[0].item.uncertain);
}

// Requests that wait share one append.
TEST(RequestWriterTest, WritesWaitingRequestsTogether) {
  request_writer queue({});
  for (std::uint64_t token = 1; token <= 5; ++token) {
    queue.Add(Item(token), kNow);
  }
  const auto append = queue.Next(kNow, 1);
  ASSERT_TRUE(append);
  EXPECT_EQ(append->batch.size(), 5U);
  EXPECT_EQ(
      queue.Handle({.number = 1, .result = store_result::kDone}, kNow).size(),
      5U);
  EXPECT_TRUE(queue.Idle());
}

// A store that is down is tried by one request at a time; the others are
// refused at once, and all are taken again when it answers.
TEST(RequestWriterTest, TriesAStoreThatIsDown) {
  request_writer queue({});
  queue.Add(Item(1), kNow);
  queue.Next(kNow, 1);
  queue.Handle({.number = 1, .result = store_result::kRefused}, kNow);
  const time_point later = kNow + seconds(2);
  EXPECT_TRUE(queue.StoreDown(later));
  EXPECT_TRUE(queue.Add(Item(2), later));
  ASSERT_TRUE(queue.Next(later, 2));
  EXPECT_FALSE(queue.Add(Item(3), later));
  EXPECT_FALSE(
      queue.Handle({.number = 2, .result = store_result::kRefused}, later)
          .empty());
  queue.StoreAnswered();
  EXPECT_TRUE(queue.Add(Item(4), later));
}

}  // namespace
}  // namespace skylarkbridge::control
