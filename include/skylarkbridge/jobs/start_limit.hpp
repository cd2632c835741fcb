#ifndef SKYLARKBRIDGE_JOBS_START_LIMIT_HPP
#define SKYLARKBRIDGE_JOBS_START_LIMIT_HPP

#include <chrono>
#include <cstddef>
#include <map>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::jobs {

struct start_limit_options {
  std::size_t initial_limit = 64;
  std::size_t min_limit = 8;
  std::size_t max_limit = 1024;
  /// An answer that takes longer shows that orders queue up on their way. Well
  /// below the time limits of renewals and of reads of the log, which wait in
  /// the same queue.
  std::chrono::milliseconds max_latency{200};
  /// The limit is multiplied by this after a slow or a missing answer.
  double decrease_factor = 0.7;
};

/// @brief Limits the start orders of an owner that wait for their answers, by
/// additive increase and multiplicative decrease.
///
/// Answers a burst of wide steps at an owner whose link or processor does not
/// carry all their starts at once. Without a limit, renewals and reads of the
/// log wait behind the starts until they are late; the runs on the workers and
/// then the cell are lost, and the load of their recovery keeps it so.
class start_limit {
 public:
  explicit start_limit(start_limit_options options);

  /// @brief Whether no further start should be sent now.
  bool Reached() const { return Room() == 0; }
  /// @brief Number of starts that may be sent now.
  std::size_t Room() const {
    return Limit() > InFlight() ? Limit() - InFlight() : 0;
  }
  /// @brief A start was sent. It counts whether or not the limit is reached.
  void Sent(const run_ref& run, time_point now);
  /// @brief The outcome of a start is known. Has no effect for one that was not
  /// sent since the last Clear.
  void Answered(const run_ref& run, time_point now);
  /// @brief No answer to a start came by its deadline.
  void Unanswered(const run_ref& run, time_point now);
  /// @brief Forgets the starts in flight and what was learnt.
  void Clear();

  std::size_t Limit() const { return static_cast<std::size_t>(limit_); }
  std::size_t InFlight() const { return in_flight_.size(); }

 private:
  struct start_in_flight {
    time_point sent_at;
    /// An answer after this time is slow.
    time_point slow_at;
  };

  void Increase();
  /// Lowers the limit, once for all starts that were in flight together.
  void Decrease(const start_in_flight& start, time_point now);

  start_limit_options options_;
  double limit_;
  /// Below it the limit grows by one with each answer, above it by one with
  /// each `limit_` answers.
  double fast_growth_until_;
  time_point decreased_at_;
  std::map<run_ref, start_in_flight> in_flight_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_START_LIMIT_HPP
