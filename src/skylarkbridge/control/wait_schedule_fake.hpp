#ifndef SKYLARKBRIDGE_CONTROL_WAIT_SCHEDULE_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_WAIT_SCHEDULE_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/control/filled_cells_fake.hpp"

/// @brief Seeded random schedules of long-running work that fills small cells,
/// and of faults.
namespace skylarkbridge::control {

/// @brief What happens in a round of a wait_schedule.
enum class wait_disturbance {
  /// Runs fail.
  kFailRuns,
  /// A worker drains and leaves.
  kDrainWorker,
  /// A worker is lost.
  kLoseWorker,
  /// A job is cancelled, and another one comes.
  kReplaceJob,
  /// A job comes of whose tasks some may find no room.
  kLargeJob,
  /// Runs fail, the owner is killed, and the store is in trouble.
  kTakeoverBesideFailingStore,
  /// The owner is killed while no VM can read the list of workers. All runs go
  /// on, so that no task has to start.
  kTakeoverWithoutWorkerList,
  /// A worker leaves start orders unanswered, its runs fail, and the owner may
  /// be killed.
  kUnansweredStarts,
};

/// @brief The schedules that a test draws from.
struct wait_profile {
  filling cells;
  std::vector<wait_disturbance> disturbances;
};

/// @brief One random schedule. All of its draws come from its seed alone.
class wait_schedule : public filled_cells {
 public:
  wait_schedule(const wait_profile& profile, std::uint64_t seed)
      : filled_cells(profile.cells, wait_check::kRoomByMoves, seed),
        disturbances_(profile.disturbances) {}

  /// @brief Plays the whole schedule, so that it tells of all waits.
  void Play() {
    observer_.Advance(std::chrono::seconds(2));
    FillCells();
    Run(std::chrono::seconds(4));
    constexpr int kRounds = 3;
    for (int round = 0; round < kRounds; ++round) {
      const std::uint64_t chosen = Draw(disturbances_.size());
      Disturb(disturbances_[chosen]);
      const std::chrono::milliseconds pause(Draw(4000));
      Run(pause);
      const bool judged = Draw(3) != 0;
      if (judged) {
        Run(kJudgedWait);
      }
      StartVms();
    }
    Run(kJudgedWait);
    observer_.Finish();
  }

 private:
  void Disturb(wait_disturbance kind) {
    switch (kind) {
      case wait_disturbance::kFailRuns: {
        const std::uint64_t count = 1 + Draw(3);
        FailRuns(count);
        break;
      }
      case wait_disturbance::kDrainWorker:
        DrainWorker();
        break;
      case wait_disturbance::kLoseWorker:
        LoseWorker();
        break;
      case wait_disturbance::kReplaceJob:
        ReplaceJob();
        break;
      case wait_disturbance::kLargeJob: {
        const auto need = static_cast<std::int64_t>(50 * (16 + Draw(50)));
        const auto count = static_cast<std::uint32_t>(2 + Draw(4));
        SubmitLongRunningJob(need, count);
        break;
      }
      case wait_disturbance::kTakeoverBesideFailingStore:
        TakeOverBesideFailingStore();
        break;
      case wait_disturbance::kTakeoverWithoutWorkerList:
        TakeOverWithoutWorkerList();
        break;
      case wait_disturbance::kUnansweredStarts:
        LeaveStartsUnanswered();
        break;
    }
  }

  /// A worker that takes tasks; empty when the drawn one does not.
  std::string DrawWorker() {
    std::string id = absl::StrCat("w", Draw(cells_ * workers_of_cell_));
    const bool takes_tasks = fleet_.Worker(id).Up() && !fleet_.Draining(id);
    return takes_tasks ? id : std::string();
  }
  void DrainWorker() {
    const std::string worker = DrawWorker();
    const std::chrono::milliseconds left(1000 + Draw(5000));
    const bool returns = Draw(3) == 0;
    const std::chrono::milliseconds away(2000 + Draw(20'000));
    if (worker.empty()) {
      return;
    }
    Note(
        absl::StrCat("drain ", worker, ", leaves after ", left.count(), " ms"));
    fleet_.DrainWorker(worker, left);
    if (returns) {
      StartWorkerAfter(worker, left + away);
    }
  }
  void LoseWorker() {
    const std::string worker = DrawWorker();
    const bool returns = Draw(3) == 0;
    const std::chrono::milliseconds away(300 + Draw(20'000));
    if (worker.empty()) {
      return;
    }
    Note(absl::StrCat("lose ", worker));
    fleet_.CrashWorker(worker);
    observer_.Fault(fleet_.Now() + kMaxRestartTime);
    if (returns) {
      StartWorkerAfter(worker, away);
    }
  }
  void StartWorkerAfter(const std::string& worker,
                        std::chrono::milliseconds away) {
    fleet_.ScheduleAfter(away, [this, worker] {
      if (!fleet_.Worker(worker).Up()) {
        Note(absl::StrCat("start ", worker));
        fleet_.StartWorker(worker);
      }
    });
  }

  void ReplaceJob() {
    const submitted_job replaced = CancelJob();
    const std::chrono::milliseconds pause(100 + Draw(1000));
    Run(pause);
    SubmitLongRunningJob(replaced.need, replaced.count);
  }

  void KillOwner() {
    const auto cell = static_cast<jobs::cell_id>(Draw(cells_));
    const std::chrono::milliseconds away(300 + Draw(6000));
    const std::optional<std::size_t> owner = fleet_.Owner(cell);
    if (!owner) {
      return;
    }
    Note(absl::StrCat("kill VM ", *owner, ", owner of cell ", cell, ", for ",
                      away.count(), " ms"));
    fleet_.KillVm(*owner);
    observer_.Fault(fleet_.Now());
    fleet_.ScheduleAfter(away, [this, vm = *owner] { StartVm(vm); });
  }
  void StartVm(std::size_t vm) {
    if (!fleet_.Running(vm)) {
      fleet_.StartVm(vm);
    }
  }
  void StartVms() {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      StartVm(vm);
    }
  }

  /// Runs fail and workers start again before and after a takeover, while the
  /// store is in trouble.
  void TakeOverBesideFailingStore() {
    const std::chrono::milliseconds trouble(2000 + Draw(5000));
    DisturbStore(trouble);
    const std::uint64_t before = Draw(4);
    FailRuns(before);
    const std::chrono::milliseconds first(Draw(1200));
    Run(first);
    RestartWorkers();
    KillOwner();
    RestartWorkers();
    const std::chrono::milliseconds second(Draw(2500));
    Run(second);
    const std::uint64_t after = 1 + Draw(4);
    FailRuns(after);
  }
  void TakeOverWithoutWorkerList() {
    const std::chrono::milliseconds before(Draw(500));
    const std::chrono::milliseconds after(8000 + Draw(5000));
    // A task that waits can't start without the list.
    if (observer_.RestartWaits()) {
      return;
    }
    Note("list of workers silent");
    SilenceWorkerList(true);
    Run(before);
    KillOwner();
    Run(after);
    Note("list of workers answers");
    SilenceWorkerList(false);
  }
  void SilenceWorkerList(bool silent) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      fleet_.SilenceTopic(vm, {topic_kind::kWorkers}, silent);
    }
  }
  void DisturbStore(std::chrono::milliseconds time) {
    const std::uint64_t kind = Draw(6);
    if (kind == 0) {
      const std::chrono::milliseconds delay(20 + Draw(200));
      Note(absl::StrCat("store slow by ", delay.count(), " ms for ",
                        time.count(), " ms"));
      fleet_.SetStoreDelay(delay);
    } else if (kind == 1) {
      Note(absl::StrCat("store silent for ", time.count(), " ms"));
      fleet_.SetStoreDown(true);
      observer_.Outage(fleet_.Now() + time);
    } else {
      const double lost_answers = kind < 4 ? 0.0 : 0.2;
      Note(absl::StrCat("store refuses half of the calls for ", time.count(),
                        " ms, share of lost answers ", lost_answers));
      fleet_.SetStoreRefusalShare(0.5);
      fleet_.SetLostAnswerShare(lost_answers);
    }
    fleet_.ScheduleAfter(time, [this] {
      Note("store answers");
      fleet_.SetStoreDown(false);
      fleet_.SetStoreRefusalShare(0);
      fleet_.SetLostAnswerShare(0);
      fleet_.SetStoreDelay(std::chrono::milliseconds(0));
    });
  }
  /// Crashes up to two workers that come back soon.
  void RestartWorkers() {
    for (std::uint64_t left = Draw(3); left > 0; --left) {
      const std::string worker = DrawWorker();
      const std::chrono::milliseconds away(100 + Draw(1500));
      if (worker.empty()) {
        continue;
      }
      Note(absl::StrCat("crash ", worker, " for ", away.count(), " ms"));
      fleet_.CrashWorker(worker);
      observer_.Fault(fleet_.Now() + away);
      StartWorkerAfter(worker, away);
    }
  }

  /// The worker leaves starts unanswered. Others have to run its tasks.
  void LeaveStartsUnanswered() {
    const std::vector<jobs::task_ref> running = observer_.RunningTasks();
    if (running.empty()) {
      return;
    }
    const std::uint64_t chosen = Draw(running.size());
    const std::string worker = fleet_.Checker().WorkerOf(running[chosen]);
    const std::chrono::milliseconds trouble(3000 + Draw(6000));
    Note(absl::StrCat(worker, " leaves starts unanswered for ", trouble.count(),
                      " ms"));
    fleet_.SetLateOrders({.share = 1, .starts_only = true}, {worker});
    observer_.StartsUnanswered(worker, fleet_.Now() + trouble);
    fleet_.ScheduleAfter(trouble, [this, worker] {
      Note(absl::StrCat(worker, " answers starts"));
      fleet_.SetLateOrders({});
    });
    const std::chrono::milliseconds pause(Draw(1000));
    Run(pause);
    for (std::uint64_t left = 1 + Draw(2); left > 0; --left) {
      for (const jobs::task_ref& task : observer_.RunningTasks()) {
        if (fleet_.Checker().WorkerOf(task) == worker) {
          Fail(task);
          break;
        }
      }
    }
    const std::uint64_t takeovers = Draw(3);
    for (std::uint64_t left = takeovers; left > 0; --left) {
      const std::chrono::milliseconds before(Draw(3000));
      Run(before);
      KillOwner();
    }
  }

  const std::vector<wait_disturbance> disturbances_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_WAIT_SCHEDULE_FAKE_HPP
