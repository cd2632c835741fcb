#ifndef SKYLARKBRIDGE_CONTROL_PLACE_WAIT_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_PLACE_WAIT_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/move_search_fake.hpp"
#include "skylarkbridge/jobs/ids.hpp"

/// @brief The waits of long-running tasks beside a place that they fit as it
/// is.
namespace skylarkbridge::control {

/// @brief Longest time, in calm times, that a long-running task waits beside a
/// place that it fits as it is.
constexpr std::chrono::milliseconds kMaxPlaceWait{3000};

/// @brief A worker that takes new tasks, with the cell that it belongs to.
struct worker_place {
  jobs::cell_id cell = 0;
  filled_worker worker;
};

/// @brief Returns the place with the most room among those that the task fits
/// as they are, in any cell; null without one.
inline const worker_place* FindPlace(const sized_task& task,
                                     const std::vector<worker_place>& places) {
  const worker_place* most = nullptr;
  for (const worker_place& place : places) {
    if (HasPlaceFor(task, place.worker) &&
        (most == nullptr ||
         place.worker.room.millicores > most->worker.room.millicores)) {
      most = &place;
    }
  }
  return most;
}

/// @brief A waiting task, as seen at one time.
struct place_view {
  /// Whether no fault is present or was so within kCalmTime.
  bool calm = false;
  /// Whether some worker has a place that it fits.
  bool fits = false;
  /// The time from which the scheduler can know of the wait.
  time_point counts_from;
};

/// @brief Checks that no task waits for longer than kMaxPlaceWait beside a
/// place that it fits as it is.
///
/// Counts the time for which, without a gap, the fleet is calm and there is
/// some such place. It need not be the same one all the time.
class place_waits {
 public:
  /// @brief Adds what is seen of a waiting task.
  /// @param describe returns a text on the task and the place. Called once for
  /// each violation, as soon as the wait is too long.
  template <class Describe>
  void Observe(const jobs::task_ref& task,
               const place_view& seen,
               time_point now,
               const Describe& describe) {
    if (!seen.calm || !seen.fits) {
      Ended(task, now);
      return;
    }
    span& waited =
        spans_.try_emplace(task, span{std::max(now, seen.counts_from), {}})
            .first->second;
    if (waited.violation.empty() && now > waited.since + kMaxPlaceWait) {
      waited.violation = describe();
    }
  }
  /// @brief The task starts, waits no more, or has no place any more.
  void Ended(const jobs::task_ref& task, time_point now) {
    const auto entry = spans_.find(task);
    if (entry != spans_.end()) {
      Count(entry->second, now);
      spans_.erase(entry);
    }
  }
  /// @brief The tasks of the job wait no more.
  void Cancelled(jobs::job_id job, time_point now) {
    std::erase_if(spans_, [this, job, now](const auto& entry) {
      if (entry.first.job != job) {
        return false;
      }
      Count(entry.second, now);
      return true;
    });
  }
  /// @brief Ends the count. Tasks that still wait count as well.
  void Finish(time_point now) {
    for (const auto& [task, waited] : spans_) {
      Count(waited, now);
    }
    spans_.clear();
  }

  /// @brief The waits that have ended and were too long.
  const std::vector<std::string>& Violations() const { return violations_; }
  std::chrono::milliseconds Longest() const { return longest_; }

 private:
  struct span {
    time_point since;
    /// Empty while the wait is not too long.
    std::string violation;
  };

  void Count(const span& waited, time_point now) {
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - waited.since);
    longest_ = std::max(longest_, length);
    if (!waited.violation.empty()) {
      violations_.push_back(
          absl::StrCat("PLACE: waits ", length.count(),
                       " ms beside a place: ", waited.violation));
    }
  }

  std::map<jobs::task_ref, span> spans_;
  std::vector<std::string> violations_;
  std::chrono::milliseconds longest_{};
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_PLACE_WAIT_FAKE_HPP
