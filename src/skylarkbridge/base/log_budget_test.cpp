#include "skylarkbridge/base/log_budget.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace skylarkbridge {
namespace {

using std::chrono::seconds;

constexpr time_point kStart{seconds(1000)};
/// More lines than any class may write at once.
constexpr int kFlood = 20'000;

/// Number of lines, out of @p lines, that may be written.
int Written(log_budget& budget,
            log_class line_class,
            int lines,
            time_point now) {
  int written = 0;
  for (int line = 0; line < lines; ++line) {
    if (budget.Has(line_class, now)) {
      budget.Take(line_class);
      ++written;
    }
  }
  return written;
}

// Guards against decisions that are lost among lines which every VM writes: in
// a play of issue 67 an owner lost 40,000 of its decisions that way.
TEST(LogBudgetTest, BulkLinesDisplaceNoDecisions) {
  log_budget budget(kStart);
  for (int second = 0; second < 60; ++second) {
    const time_point now = kStart + seconds(second);
    EXPECT_LT(Written(budget, log_class::kBulk, kFlood, now), kFlood);
    EXPECT_EQ(Written(budget, log_class::kDecision, 900, now), 900);
  }
}

TEST(LogBudgetTest, DecisionsDisplaceNoRareLines) {
  log_budget budget(kStart);
  for (int second = 0; second < 60; ++second) {
    const time_point now = kStart + seconds(second);
    EXPECT_LT(Written(budget, log_class::kDecision, kFlood, now), kFlood);
    EXPECT_LT(Written(budget, log_class::kBulk, kFlood, now), kFlood);
    EXPECT_EQ(Written(budget, log_class::kRare, 20, now), 20);
  }
}

// Guards against a log without a bound, whatever is logged.
TEST(LogBudgetTest, BoundsTheVolumeOfAllClassesTogether) {
  log_budget budget(kStart);
  int written = 0;
  constexpr int kSeconds = 60;
  for (int second = 0; second < kSeconds; ++second) {
    const time_point now = kStart + seconds(second);
    written += Written(budget, log_class::kBulk, kFlood, now) +
               Written(budget, log_class::kDecision, kFlood, now) +
               Written(budget, log_class::kRare, kFlood, now);
  }
  EXPECT_LE(written, 4000 + 1400 * kSeconds);
}

TEST(LogBudgetTest, DecisionsUseWhatBulkLinesLeave) {
  log_budget budget(kStart);
  EXPECT_EQ(Written(budget, log_class::kDecision, kFlood, kStart), 3900);
}

}  // namespace
}  // namespace skylarkbridge
