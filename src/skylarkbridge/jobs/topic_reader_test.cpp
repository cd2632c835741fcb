#include "skylarkbridge/jobs/topic_reader.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr time_point kNow{std::chrono::seconds(100)};

topic_record Record(std::uint64_t offset, std::string key) {
  return {.offset = offset, .key = std::move(key), .value = "v"};
}

// Guards against applying an older record of a key after a newer one. Snapshot
// pages are taken at different times, so a page can contain records that the
// tail, read from the end stated by the first page, returns again.
TEST(TopicReaderTest, SkipsTailRecordsNotNewerThanTheSnapshot) {
  topic_reader reader({});
  auto call = reader.Next(kNow);
  ASSERT_TRUE(call && call->snapshot);
  reader.Received(
      call->number,
      snapshot_page{.records = {Record(3, "a")}, .more = true, .end = 5}, kNow);
  call = reader.Next(kNow);
  ASSERT_TRUE(call && call->snapshot);
  EXPECT_EQ(call->snapshot->after, "a");
  const reader_update update = reader.Received(
      call->number, snapshot_page{.records = {Record(6, "b")}, .end = 8}, kNow);
  EXPECT_TRUE(update.snapshot_complete);
  EXPECT_EQ(update.snapshot_keys, (std::set<std::string>{"a", "b"}));
  call = reader.Next(kNow);
  ASSERT_TRUE(call && call->tail);
  EXPECT_EQ(call->tail->from, 5U);
  const reader_update tail = reader.Received(
      call->number,
      tail_page{.records = {Record(5, "b"), Record(6, "b"), Record(7, "b")},
                .end = 8},
      kNow);
  ASSERT_EQ(tail.records.size(), 1U);
  EXPECT_EQ(tail.records[0].offset, 7U);
  EXPECT_EQ(reader.NextOffset(), 8U);
}

// Guards against missing records that the store has trimmed: they require a new
// snapshot, unless another read has already returned them.
TEST(TopicReaderTest, ReadsASnapshotAgainAfterTrimming) {
  topic_reader reader({});
  auto call = reader.Next(kNow);
  reader.Received(call->number, snapshot_page{.end = 2}, kNow);
  call = reader.Next(kNow);
  const auto refresh = reader.Refresh(kNow);
  ASSERT_TRUE(refresh);
  reader.Received(refresh->number,
                  tail_page{.records = {Record(2, "a")}, .end = 3}, kNow);
  reader.Trimmed(call->number, kNow);
  call = reader.Next(kNow);
  ASSERT_TRUE(call && call->tail);
  reader.Trimmed(call->number, kNow);
  call = reader.Next(kNow);
  EXPECT_TRUE(call && call->snapshot);
}

// Guards against a time of the last complete read that is too late or too
// early: a takeover compares it with the time of the owner's last record.
TEST(TopicReaderTest, AnEmptyReadIsCurrentUpToTheEndOfItsWait) {
  topic_reader reader({.wait = milliseconds(800)});
  auto call = reader.Next(kNow);
  reader.Received(call->number, snapshot_page{}, kNow);
  call = reader.Next(kNow);
  const time_point replied_at = kNow + milliseconds(810);
  reader.Received(call->number, tail_page{}, replied_at);
  EXPECT_EQ(reader.CompleteUntil(), kNow + milliseconds(800));
}

// Guards against a reader that learns of nothing until the answer to a read of
// a snapshot has timed out: it is lost, or on its way for long.
TEST(TopicReaderTest, RepeatsAReadOfASnapshotOnceBeforeItsAnswer) {
  topic_reader reader({.snapshot_repeat = milliseconds(1200)});
  const auto first = reader.Next(kNow);
  ASSERT_TRUE(first && first->snapshot);
  EXPECT_FALSE(reader.Next(kNow + milliseconds(1100)));
  EXPECT_EQ(reader.NextDeadline(), kNow + milliseconds(1200));
  const auto repeat = reader.Next(kNow + milliseconds(1200));
  ASSERT_TRUE(repeat && repeat->snapshot);
  EXPECT_FALSE(reader.Next(kNow + milliseconds(3000)));
  EXPECT_FALSE(reader.NextDeadline());
  const reader_update update = reader.Received(
      repeat->number, snapshot_page{.records = {Record(1, "a")}, .end = 2},
      kNow + milliseconds(1210));
  EXPECT_TRUE(update.snapshot_complete);
  const reader_update late = reader.Received(
      first->number, snapshot_page{.records = {Record(1, "a")}, .end = 2},
      kNow + milliseconds(1300));
  EXPECT_TRUE(late.records.empty());
  const auto tail = reader.Next(kNow + milliseconds(1310));
  EXPECT_TRUE(tail && tail->tail);
}

// Guards against a reader that stays on the page of a record without a value
// that can be used.
TEST(TopicReaderTest, ContinuesAfterARecordThatNamesNothing) {
  topic_reader reader({});
  auto call = reader.Next(kNow);
  ASSERT_TRUE(call && call->snapshot);
  const topic_record odd{.offset = 0, .key = "a\xFF", .value = ""};
  const reader_update first = reader.Received(
      call->number, snapshot_page{.records = {odd}, .more = true, .end = 5},
      kNow);
  EXPECT_EQ(first.records.size(), 1U);
  call = reader.Next(kNow);
  ASSERT_TRUE(call && call->snapshot);
  EXPECT_EQ(call->snapshot->after, "a\xFF");
  const reader_update last = reader.Received(
      call->number, snapshot_page{.records = {Record(2, "b")}, .end = 5}, kNow);
  EXPECT_TRUE(last.snapshot_complete);
  EXPECT_EQ(last.snapshot_keys, (std::set<std::string>{"a\xFF", "b"}));
}

// Guards against a failed read that is repeated without a delay or not at all.
TEST(TopicReaderTest, RepeatsAFailedReadAfterADelay) {
  topic_reader reader({.retry = milliseconds(150)});
  auto call = reader.Next(kNow);
  reader.Failed(call->number, kNow);
  EXPECT_TRUE(reader.Failing());
  EXPECT_FALSE(reader.Next(kNow + milliseconds(100)));
  EXPECT_TRUE(reader.Next(kNow + milliseconds(150)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
