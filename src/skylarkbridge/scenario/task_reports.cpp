#include <algorithm>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/scenario/names.hpp"
#include "skylarkbridge/scenario/task_side.hpp"

namespace skylarkbridge::scenario {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{1000};
/// Reports lag by so much.
constexpr milliseconds kReportLag{1000};
/// Requests of each service in a window; above what a window needs to count.
constexpr std::int64_t kWindowRequests = 50;

std::string Machine(const resources& size) {
  return absl::StrCat(size.millicores / 1000, " cores ", size.memory_mib / 1024,
                      " GiB");
}

}  // namespace

void task_side::ReportLater() {
  fleet_.time.After(kReportInterval, [this] {
    for (const auto& [worker, state] : fleet_.workers) {
      if (state.condition != worker_condition::kLost) {
        Report(worker);
      }
    }
    ReportLater();
  });
}

void task_side::Report(worker_id worker) {
  scheduling::usage_report report{
      .worker = worker,
      .window_begin = fleet_.time.Now() - kReportInterval,
      .window_end = fleet_.time.Now()};
  std::int64_t memory = 0;
  for (const auto& [task, held] : running_) {
    // A task that began within the window has no whole measurement yet.
    if (held.start.worker != worker || held.since > report.window_begin) {
      continue;
    }
    resources used = fleet_.behaviour[held.kind].uses;
    memory += used.memory_mib;
    used.millicores = used.millicores * held.permille / 1000;
    report.tasks.push_back({task, used});
  }
  const std::int64_t room = fleet_.workers.at(worker).room.memory_mib;
  std::int64_t& most = most_memory_permille_[worker];
  most = std::max(most, room == 0 ? 0 : memory * 1000 / room);
  for (const declaration::service& service : fleet_.declared.services) {
    report.services.push_back({.service = service.name,
                               .requests = kWindowRequests,
                               .p99 = fleet_.behaviour[service.name].takes *
                                      (1000 + fleet_.noise_permille[worker]) /
                                      1000});
  }
  fleet_.time.After(kReportLag, [this, report] {
    Do(scheduler_.Report(report, fleet_.time.Now()));
  });
}

void task_side::UpdateNoise() {
  fleet_.noise_permille.clear();
  for (const auto& [task, held] : running_) {
    const auto& truth = fleet_.behaviour[held.kind];
    fleet_.noise_permille[held.start.worker] +=
        truth.noise_permille * held.permille / 1000;
  }
}

void task_side::CheckLeases() {
  std::map<worker_id, resources> leased;
  for (const auto& [task, held] : running_) {
    leased[held.start.worker] += held.start.leased;
  }
  for (const auto& [worker, sum] : leased) {
    if (!Fits(sum, fleet_.workers.at(worker).room)) {
      violations_.insert(absl::StrCat("invariant 1: worker ", worker.value,
                                      " holds leases over its capacity"));
    }
  }
}

void task_side::Show(command& line) const {
  for (const auto& [kind, counts] : tallies_) {
    std::int64_t running = 0;
    std::int64_t open = 0;
    for (const auto& [task, facts] : open_) {
      open += facts.kind == kind ? 1 : 0;
      running += facts.kind == kind && running_.contains(task) ? 1 : 0;
    }
    line.Print(absl::StrCat(
        kind, ": ", counts.submitted, " submitted, ", counts.succeeded,
        " succeeded, ", running, " running, ", open - running, " waiting, ",
        counts.cancelled, " cancelled, ", Sum(counts.refused), " refused",
        Listed(counts.refused)));
    line.Print(absl::StrCat(kind, ": ", counts.starts, " starts, ",
                            counts.resumed, " resumed, ", counts.failed,
                            " failed attempts, longest wait for a start ",
                            QuantileMs(counts.waits, 1000), " ms"));
    if (!counts.refusal_detail.empty()) {
      line.Print(absl::StrCat(kind, ": ", counts.refusal_detail));
    }
  }
  const scheduling::batch_counters& all = scheduler_.Counters();
  line.Print(absl::StrCat("throttled ", all.throttled, ", evicted ",
                          all.evicted_for_interference, " for interference, ",
                          all.evicted_for_share, " for share, ",
                          all.evicted_for_capacity, " for room"));
}

void task_side::ShowWorkers(command& line) const {
  for (const auto& [worker, state] : fleet_.workers) {
    const auto held = scheduler_.Allocation(worker);
    if (!held) {
      line.Print(absl::StrCat("worker ", worker.value, ": gone"));
      continue;
    }
    const auto most = most_memory_permille_.find(worker);
    line.Print(absl::StrCat(
        "worker ", worker.value, " rack ", state.rack.value, ": ",
        held->tasks.size(), " tasks, leased ", Machine(held->leased), " of ",
        Machine(state.room), ", most memory in use ",
        most == most_memory_permille_.end() ? 0 : most->second / 10, "%",
        state.leaving ? ", leaving" : "",
        held->quarantined_until ? ", quarantined" : "",
        held->probation ? ", on probation" : ""));
  }
}

void task_side::ShowWaiting(command& line) const {
  std::map<std::string, std::int64_t> reasons;
  for (const auto& [task, facts] : open_) {
    if (const auto why = scheduler_.WaitingStatus(task)) {
      ++reasons[facts.kind + ": " + why->detail];
    }
  }
  for (const auto& [reason, count] : reasons) {
    line.Print(absl::StrCat(count, " of ", reason));
  }
}

}  // namespace skylarkbridge::scenario
