#ifndef SKYLARKBRIDGE_CONTROL_CANCEL_INVARIANT_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_CANCEL_INVARIANT_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::control {

/// @brief The platform's bounds on the tasks of a cancelled job.
struct cancel_bounds {
  /// Time from the moment the cancel is durable until no task may start.
  std::chrono::milliseconds cancel{4000};
  /// Longest time that a worker takes to stop a task.
  std::chrono::milliseconds stop_timeout{400};
  /// Time after a fault until the fleet counts as calm.
  std::chrono::milliseconds contact{4000};
};

/// @brief A run of a cancelled job that started, or ran on, after the bound.
struct cancel_violation {
  jobs::run_ref run;
  std::string worker;
  /// Whether the run started after the bound, instead of running on.
  bool started_late = false;
  /// Time since the cancel was durable.
  std::chrono::milliseconds age{};
};

inline std::string Format(const cancel_violation& violation) {
  return absl::StrCat(
      "CANCEL: ", jobs::Format(violation.run.task), "/", violation.run.run,
      violation.started_late ? " starts on " : " runs on ", violation.worker,
      ", cancelled ", violation.age.count(), " ms ago");
}

/// @brief Checks that no task of a cancelled job starts later than
/// `cancel_bounds::cancel` after its cancel was durable, or runs
/// `stop_timeout` longer.
///
/// Only time counts in which the fleet is calm. A fault starts the time of the
/// runs anew.
class cancel_invariant {
 public:
  explicit cancel_invariant(cancel_bounds bounds) : bounds_(bounds) {}

  /// @brief The cancel is durable or acknowledged. Only the first call of a job
  /// counts.
  void CancelStored(jobs::job_id job, time_point now) {
    stored_at_.try_emplace(job, now);
  }
  void RunStarted(const std::string& worker,
                  const jobs::run_ref& run,
                  time_point now) {
    runs_[{run, worker}] = {.started_at = now};
  }
  void RunEnded(const std::string& worker, const jobs::run_ref& run) {
    runs_.erase({run, worker});
  }

  /// @brief Returns the violations since the last call. Each run is reported at
  /// most once.
  /// @param disrupted whether a fault is present, or occurred since the last
  /// call.
  std::vector<cancel_violation> Observe(bool disrupted, time_point now) {
    if (disrupted) {
      calm_from_ = now + bounds_.contact;
    }
    std::vector<cancel_violation> violations;
    for (auto& [key, state] : runs_) {
      const auto stored = stored_at_.find(key.first.task.job);
      if (state.reported || stored == stored_at_.end()) {
        continue;
      }
      const time_point cancelled_at = stored->second;
      const bool started_late =
          state.started_at > cancelled_at + bounds_.cancel &&
          state.started_at >= calm_from_;
      const bool runs_on = now > std::max(cancelled_at, calm_from_) +
                                     bounds_.cancel + bounds_.stop_timeout;
      if (started_late || runs_on) {
        state.reported = true;
        violations.push_back(
            {.run = key.first,
             .worker = key.second,
             .started_late = started_late,
             .age = std::chrono::duration_cast<std::chrono::milliseconds>(
                 now - cancelled_at)});
      }
    }
    return violations;
  }

 private:
  struct run_state {
    time_point started_at;
    bool reported = false;
  };

  const cancel_bounds bounds_;
  std::map<jobs::job_id, time_point> stored_at_;
  /// The present runs of all jobs, by run and worker.
  std::map<std::pair<jobs::run_ref, std::string>, run_state> runs_;
  time_point calm_from_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CANCEL_INVARIANT_FAKE_HPP
