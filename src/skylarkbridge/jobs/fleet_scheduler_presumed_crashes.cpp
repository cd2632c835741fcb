// A worker that is silent and has left the list of workers may have crashed, or
// may only be cut off from its owner and from the store. Its tasks are
// suspected at once, so that they start apart from others. A job that is failed
// for a crash is lost for good, so no crash counts for that before it is
// proved: the worker reports from another life, another worker answers at its
// address, or two lists of machines do not name it.
#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Two readings of the list of machines take less.
constexpr std::chrono::milliseconds kProofTime{1000};

}  // namespace

void fleet_scheduler::PresumeCrash(const worker_session& session,
                                   time_point now) {
  std::vector<run_ref> suspects =
      HoldResponsible(session, {}, crash_proof::kPresumed);
  if (suspects.empty()) {
    return;
  }
  const std::string& worker = session.entry.worker;
  AddNote(scheduling_event::kCrashPresumed, {}, worker,
          absl::StrCat("suspects ", suspects.size()));
  presumed_crashes_.insert_or_assign(
      worker,
      presumed_crash{.start_time = session.start_time,
                     .address = session.reported_address,
                     .last_answer = session.last_answer,
                     .presumed_at = now,
                     .forget_at = now + options_.presumed_crash_retention,
                     .suspects = std::move(suspects)});
}

void fleet_scheduler::ProveCrash(const std::string& worker) {
  const auto found = presumed_crashes_.find(worker);
  if (found == presumed_crashes_.end()) {
    return;
  }
  const std::vector<run_ref> suspects = std::move(found->second.suspects);
  presumed_crashes_.erase(found);
  AddNote(scheduling_event::kCrashProved, {}, worker);
  for (const run_ref& run : suspects) {
    if (jobs_.Find(run.task.job) != nullptr) {
      FinishGivingUp(run, worker, jobs_.ProveCrash(run));
    }
  }
}

void fleet_scheduler::WithdrawCrash(const std::string& worker) {
  const auto found = presumed_crashes_.find(worker);
  for (const run_ref& run : found->second.suspects) {
    jobs_.WithdrawCrash(run);
  }
  presumed_crashes_.erase(found);
  AddNote(scheduling_event::kCrashWithdrawn, {}, worker);
}

void fleet_scheduler::ResolvePresumedCrash(const worker_session& session,
                                           const worker_report& report) {
  const std::string& worker = session.entry.worker;
  const auto found = presumed_crashes_.find(worker);
  if (found == presumed_crashes_.end() || !report.start_time ||
      !found->second.start_time) {
    return;
  }
  if (*report.start_time == *found->second.start_time) {
    WithdrawCrash(worker);
  } else {
    ProveCrash(worker);
  }
}

void fleet_scheduler::ProveReplacedCrashes(const worker_session& reporting) {
  std::vector<std::string> replaced;
  for (const auto& [worker, crash] : presumed_crashes_) {
    if (worker != reporting.entry.worker &&
        crash.address == reporting.reported_address &&
        reporting.renewed_at > crash.last_answer) {
      replaced.push_back(worker);
    }
  }
  for (const std::string& worker : replaced) {
    ProveCrash(worker);
  }
}

void fleet_scheduler::ProveListedCrashes(const machine_list& list,
                                         const machine_list* earlier) {
  std::vector<std::string> gone;
  for (auto& [worker, crash] : presumed_crashes_) {
    crash.named |=
        list.requested_at >= crash.presumed_at && Names(list, worker);
    const bool in_neither = earlier != nullptr &&
                            earlier->requested_at >= crash.presumed_at &&
                            !Names(*earlier, worker) && !Names(list, worker);
    if (in_neither) {
      gone.push_back(worker);
    }
  }
  for (const std::string& worker : gone) {
    ProveCrash(worker);
  }
}

void fleet_scheduler::ForgetUnprovedCrashes(time_point now) {
  std::vector<std::string> unproved;
  for (const auto& [worker, crash] : presumed_crashes_) {
    if (now >= crash.forget_at) {
      unproved.push_back(worker);
    }
  }
  for (const std::string& worker : unproved) {
    WithdrawCrash(worker);
  }
}

void fleet_scheduler::DelayTasksInDoubt(const std::vector<run_ref>& lost,
                                        time_point now) {
  for (const run_ref& run : lost) {
    if (jobs_.IsInDoubt(run.task)) {
      jobs_.DelayStart(run.task, now + kProofTime);
    }
  }
}

}  // namespace skylarkbridge::jobs
