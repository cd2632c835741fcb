#include "skylarkbridge/base/log_budget.hpp"

#include <algorithm>
#include <chrono>

namespace skylarkbridge {
namespace {

/// Lines of all classes that may be written at once, and in each second on
/// average.
constexpr double kSharedLines = 2000;
constexpr double kSharedLinesPerSecond = 400;
/// The same for decisions, in addition. Each run of a batch task takes two
/// lines, and a busy owner orders 500 starts a second.
constexpr double kDecisionLines = 2000;
constexpr double kDecisionLinesPerSecond = 1000;
/// Shared lines that are left to rare ones.
constexpr double kReservedLines = 100;

}  // namespace

void line_bucket::Refill(time_point now) {
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  lines_ = std::min(limit_, lines_ + seconds * lines_per_second_);
}

log_budget::log_budget(time_point now)
    : shared_(kSharedLines, kSharedLinesPerSecond, now),
      decisions_(kDecisionLines, kDecisionLinesPerSecond, now) {}

line_bucket* log_budget::BucketFor(log_class line_class) {
  if (line_class == log_class::kDecision && decisions_.Has()) {
    return &decisions_;
  }
  if (shared_.Has(line_class == log_class::kRare ? 0 : kReservedLines)) {
    return &shared_;
  }
  return line_class == log_class::kRare && decisions_.Has() ? &decisions_
                                                            : nullptr;
}

bool log_budget::Has(log_class line_class, time_point now) {
  shared_.Refill(now);
  decisions_.Refill(now);
  return BucketFor(line_class) != nullptr;
}

void log_budget::Take(log_class line_class) {
  if (line_bucket* const bucket = BucketFor(line_class)) {
    bucket->Take();
  }
}

}  // namespace skylarkbridge
