#ifndef SKYLARKBRIDGE_BASE_LOG_BUDGET_HPP
#define SKYLARKBRIDGE_BASE_LOG_BUDGET_HPP

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {

/// @brief Which lines of the log are left out first.
enum class log_class {
  /// Lines that repeat what other lines or metrics tell.
  kBulk,
  /// Decisions, which no other VM logs.
  kDecision,
  /// Lines that are few by their nature, and all warnings and errors.
  kRare,
};

/// @brief A number of lines that grows at a steady rate up to a limit.
class line_bucket {
 public:
  /// Starts full.
  line_bucket(double limit, double lines_per_second, time_point now)
      : limit_(limit),
        lines_per_second_(lines_per_second),
        lines_(limit),
        refilled_at_(now) {}

  void Refill(time_point now);
  /// @brief Whether a line can be taken so that @p kept lines are left.
  bool Has(double kept = 0) const { return lines_ >= kept + 1; }
  void Take() { lines_ -= 1; }

 private:
  const double limit_;
  const double lines_per_second_;
  double lines_;
  time_point refilled_at_;
};

/// @brief Limits the lines of a log, by their class.
///
/// All classes share one bucket. Decisions have another one to themselves, so
/// that bulk lines never displace them; rare lines may use all that is left in
/// either. Both together bound the volume.
class log_budget {
 public:
  explicit log_budget(time_point now);

  /// @brief Whether a line of the class may be written now.
  bool Has(log_class line_class, time_point now);
  /// @brief Counts a line for which Has was true.
  void Take(log_class line_class);

 private:
  /// The bucket from which a line of the class is taken; null when it has to be
  /// left out.
  line_bucket* BucketFor(log_class line_class);

  line_bucket shared_;
  line_bucket decisions_;
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_LOG_BUDGET_HPP
