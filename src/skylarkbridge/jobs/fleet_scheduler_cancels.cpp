#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

const char* Name(run_phase phase) {
  switch (phase) {
    case run_phase::kStarting:
      return "starting";
    case run_phase::kRunning:
      return "running";
    case run_phase::kUncertain:
      return "uncertain";
    case run_phase::kStopping:
      return "stopping";
  }
  return "unknown";
}

std::int64_t MillisecondsSince(time_point earlier, time_point now) {
  return std::chrono::floor<std::chrono::milliseconds>(now - earlier).count();
}

struct delayed_cancel {
  time_point since;
  const run_ref* run = nullptr;
  const worker_run* state = nullptr;
  const worker_session* session = nullptr;
};

/// What distinguishes a stop that was not ordered from one that was not
/// answered or not carried out.
std::string Describe(const delayed_cancel& cancel, time_point now) {
  const worker_run& run = *cancel.state;
  std::string text =
      absl::StrCat("waited_ms ", MillisecondsSince(cancel.since, now),
                   " phase ", Name(run.phase), " stop_wanted ",
                   run.stop_wanted ? "yes" : "no", " stops ", run.stop_attempts,
                   " under_way ", run.stop_under_way ? "yes" : "no");
  if (run.last_stop_result) {
    absl::StrAppend(&text, " last_result ",
                    static_cast<int>(*run.last_stop_result));
  }
  absl::StrAppend(&text, " view_age_ms ",
                  MillisecondsSince(cancel.session->last_answer, now));
  return text;
}

}  // namespace

std::optional<time_point> fleet_scheduler::CancelledAt(job_id job) const {
  const job_state* state = registry_->Find(job);
  return state != nullptr && state->cancelled ? state->ended_at : std::nullopt;
}

void fleet_scheduler::ReportDelayedCancels(time_point now) {
  if (now < next_cancel_report_) {
    return;
  }
  next_cancel_report_ = now + options_.cancel_report_interval;
  std::vector<delayed_cancel> delayed;
  for (const auto& [id, session] : workers_) {
    for (const auto& [run, state] : session.runs) {
      if (const auto cancelled_at = CancelledAt(run.task.job);
          cancelled_at && now >= *cancelled_at + options_.cancel_report_delay) {
        delayed.push_back({*cancelled_at, &run, &state, &session});
      }
    }
  }
  std::stable_sort(delayed.begin(), delayed.end(),
                   [](const delayed_cancel& left, const delayed_cancel& right) {
                     return left.since < right.since;
                   });
  const std::size_t most =
      std::min(delayed.size(), options_.max_cancel_reports);
  for (std::size_t index = 0; index < most; ++index) {
    const delayed_cancel& cancel = delayed[index];
    AddNote(scheduling_event::kCancelDelayed, *cancel.run,
            cancel.session->entry.worker,
            absl::StrCat(Describe(cancel, now), " may_order ",
                         now < orders_until_ ? "yes" : "no"));
  }
}

}  // namespace skylarkbridge::jobs
