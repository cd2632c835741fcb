#include "skylarkbridge/control/owner_writer.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::control {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

std::vector<records::keyed_record> Records(std::size_t count) {
  std::vector<records::keyed_record> batch;
  for (std::size_t index = 0; index < count; ++index) {
    batch.push_back(
        {.key = absl::StrCat("p", index), .value = std::string(100, 'v')});
  }
  return batch;
}

// Guards against an append that is larger than the store takes.
TEST(OwnerWriterTest, SplitsALargeWrite) {
  owner_writer writer({.max_append_bytes = 250});
  writer.Begin(3, 7);
  writer.Write(Records(5));
  std::size_t written = 0;
  for (std::uint64_t number = 1; number <= 3; ++number) {
    const auto append = writer.Next(kNow, number);
    ASSERT_TRUE(append);
    EXPECT_EQ(append->sequenced->sequence, 6 + number);
    written += append->batch.size();
    EXPECT_EQ(
        writer.Handle({.number = number, .result = store_result::kDone}, kNow),
        number == 3);
  }
  EXPECT_EQ(written, 5U);
  EXPECT_TRUE(writer.Idle());
}

// Guards against a record that the store never takes and that keeps the others
// from being written.
TEST(OwnerWriterTest, LeavesARejectedRecordOut) {
  owner_writer writer({});
  writer.Begin(3, 7);
  writer.Write(Records(3));
  std::vector<std::string> stored;
  std::uint64_t number = 0;
  std::uint64_t sequence = 7;
  bool durable = false;
  while (!durable && number < 10) {
    const auto append = writer.Next(kNow, ++number);
    ASSERT_TRUE(append);
    EXPECT_EQ(append->sequenced->sequence, sequence);
    bool rejected = false;
    for (const records::keyed_record& record : append->batch) {
      rejected |= record.key == "p1";
    }
    if (!rejected) {
      ++sequence;
      for (const records::keyed_record& record : append->batch) {
        stored.push_back(record.key);
      }
    }
    durable = writer.Handle(
        {.number = number,
         .result = rejected ? store_result::kRejected : store_result::kDone},
        kNow);
  }
  EXPECT_TRUE(durable);
  EXPECT_EQ(stored, (std::vector<std::string>{"p0", "p2"}));
  const auto rejected = writer.TakeRejected();
  ASSERT_EQ(rejected.size(), 1U);
  EXPECT_EQ(rejected[0].key, "p1");
}

}  // namespace
}  // namespace skylarkbridge::control
