#include "skylarkbridge/control/rejected_entries.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(1000)};

// Guards against a counter that grows with each snapshot of the list, which
// contains every entry again.
TEST(RejectedEntriesTest, CountsAnEntryOnce) {
  rejected_entries entries;
  EXPECT_TRUE(entries.Add("w0", 7));
  EXPECT_FALSE(entries.Add("w0", 7));
  EXPECT_TRUE(entries.Add("w0", 8));
  EXPECT_FALSE(entries.Add("w0", 7));
  EXPECT_TRUE(entries.Add("w1", 7));
}

// Guards against a writer that fills the log with one key.
TEST(RejectedEntriesTest, LimitsTheLinesOfAKey) {
  rejected_entries entries({.key_interval = seconds(60)});
  EXPECT_TRUE(entries.TakeLine("w0", kNow));
  EXPECT_FALSE(entries.TakeLine("w0", kNow + seconds(59)));
  EXPECT_TRUE(entries.TakeLine("w0", kNow + seconds(60)));
}

// Guards against a writer that fills the log with many keys.
TEST(RejectedEntriesTest, LimitsTheLinesOfASecond) {
  rejected_entries entries({.max_lines_per_second = 2});
  EXPECT_TRUE(entries.TakeLine("w0", kNow));
  EXPECT_TRUE(entries.TakeLine("w1", kNow + milliseconds(500)));
  EXPECT_FALSE(entries.TakeLine("w2", kNow + milliseconds(999)));
  EXPECT_TRUE(entries.TakeLine("w2", kNow + seconds(1)));
}

// Guards against a writer that fills the memory with keys.
TEST(RejectedEntriesTest, RemembersALimitedNumberOfKeys) {
  rejected_entries entries({.max_keys = 2});
  EXPECT_TRUE(entries.Add("w0", 1));
  EXPECT_TRUE(entries.Add("w1", 2));
  EXPECT_TRUE(entries.Add("w2", 3));
  EXPECT_TRUE(entries.Add("w0", 1));
}

}  // namespace
}  // namespace skylarkbridge::control
