#ifndef SKYLARKBRIDGE_CONTROL_WORKER_LOSS_SCHEDULE_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_WORKER_LOSS_SCHEDULE_FAKE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/filled_cells_fake.hpp"

namespace skylarkbridge::control {

/// @brief A random schedule in which a quarter of the workers of three full
/// cells leaves for good. Then many tasks wait for room, while jobs come and go
/// and runs fail. All of its draws come from its seed alone.
class worker_loss_schedule : public filled_cells {
 public:
  explicit worker_loss_schedule(std::uint64_t seed)
      : filled_cells({.min_cells = 3,
                      .max_cells = 3,
                      .min_percent = 90,
                      .max_percent = 97,
                      .batch_jobs = 2},
                     wait_check::kPlaces,
                     seed) {}

  /// @brief Plays the whole schedule, so that it tells of all waits.
  void Play() {
    observer_.Advance(std::chrono::seconds(2));
    FillCells();
    Run(std::chrono::seconds(4));
    const bool slow_store = Draw(3) == 0;
    if (slow_store) {
      SlowStore();
    }
    const std::chrono::milliseconds before(Draw(1500));
    Run(before);
    LoseQuarterOfWorkers();
    for (std::uint64_t left = 8 + Draw(7); left > 0; --left) {
      const std::chrono::milliseconds pause(300 + Draw(4000));
      Run(pause);
      ChangeWork();
    }
    Run(kJudgedWait);
    observer_.Finish();
  }

 private:
  void SlowStore() {
    const std::chrono::milliseconds delay(20 + Draw(160));
    const std::chrono::milliseconds time(3000 + Draw(6000));
    Note(absl::StrCat("store slow by ", delay.count(), " ms for ", time.count(),
                      " ms"));
    fleet_.SetStoreDelay(delay);
    observer_.Fault(fleet_.Now() + time);
    fleet_.ScheduleAfter(time, [this] {
      Note("store answers");
      fleet_.SetStoreDelay(std::chrono::milliseconds(0));
    });
  }

  void LoseQuarterOfWorkers() {
    std::vector<std::string> left;
    for (std::size_t worker = 0; worker < cells_ * workers_of_cell_; ++worker) {
      left.push_back(absl::StrCat("w", worker));
    }
    std::vector<std::string> lost;
    for (std::size_t count = (left.size() + 3) / 4; count > 0; --count) {
      const std::uint64_t chosen = Draw(left.size());
      lost.push_back(std::move(left[chosen]));
      left.erase(left.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    const bool refuses = Draw(2) == 0;
    const bool leaves_lists = Draw(3) != 0;
    const std::chrono::milliseconds listed_for(Draw(6000));
    Note(absl::StrCat(
        "lose ", absl::StrJoin(lost, " "),
        refuses ? ", connections refused" : "",
        leaves_lists ? absl::StrCat(", listed for ", listed_for.count(), " ms")
                     : ", still listed"));
    fleet_.SetRefuseConnections(refuses);
    observer_.Fault(fleet_.Now() + kMaxRestartTime);
    for (const std::string& worker : lost) {
      fleet_.Worker(worker).Crash(fleet_.Now());
    }
    if (leaves_lists) {
      fleet_.ScheduleAfter(listed_for, [this, lost] {
        for (const std::string& worker : lost) {
          fleet_.Store().Put({topic_kind::kWorkers}, worker, std::nullopt);
        }
      });
    }
  }

  /// A job leaves or comes, or runs fail.
  void ChangeWork() {
    const std::uint64_t kind = Draw(4);
    switch (kind) {
      case 0: {
        const std::uint64_t count = 1 + Draw(3);
        FailRuns(count);
        break;
      }
      case 1:
        SubmitCancelledJob();
        break;
      default:
        if (!jobs_.empty()) {
          cancelled_jobs_.push_back(CancelJob());
        }
        break;
    }
  }
  /// Submits work that was cancelled before once more, as a new job.
  void SubmitCancelledJob() {
    if (cancelled_jobs_.empty()) {
      return;
    }
    const submitted_job job = cancelled_jobs_.back();
    cancelled_jobs_.pop_back();
    SubmitLongRunningJob(job.need, job.count);
  }

  std::vector<submitted_job> cancelled_jobs_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_WORKER_LOSS_SCHEDULE_FAKE_HPP
