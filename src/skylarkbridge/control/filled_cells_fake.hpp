#ifndef SKYLARKBRIDGE_CONTROL_FILLED_CELLS_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_FILLED_CELLS_FAKE_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"
#include "skylarkbridge/control/wait_observer_fake.hpp"

/// @brief Small cells that long-running work fills, in virtual time.
namespace skylarkbridge::control {

/// @brief The cells that a schedule draws, and what fills them.
struct filling {
  std::size_t min_cells = 1;
  std::size_t max_cells = 1;
  /// The share of the capacity that long-running work fills at first.
  int min_percent = 85;
  int max_percent = 97;
  /// Whether a worker of each cell may stay empty at first, in terms of that
  /// share, so that the others are as full once it has left.
  bool spare_worker = false;
  /// Number of short batch jobs that come in each half second.
  std::size_t batch_jobs = 0;
};

/// @brief A fleet of such cells, with an observer of its long-running tasks.
/// All draws come from one seed.
class filled_cells {
 public:
  const task_waits& Waits() const { return observer_.Waits(); }
  const place_waits& PlaceWaits() const { return observer_.PlaceWaits(); }
  const job_invariant_checker& Checker() const { return fleet_.Checker(); }
  /// @brief The disturbances with their times.
  std::string History() const { return absl::StrJoin(history_, "\n"); }

 protected:
  static constexpr std::size_t kVms = 3;
  static constexpr std::int64_t kMillicores = 4000;
  /// A wait that begins with the last fault is judged after this time.
  static constexpr std::chrono::milliseconds kJudgedWait =
      kCalmTime + kMaxRestartTime + std::chrono::milliseconds(4000);

  struct submitted_job {
    jobs::job_id job;
    std::int64_t need = 0;
    std::uint32_t count = 0;
  };

  filled_cells(const filling& filled, wait_check check, std::uint64_t seed)
      : filling_(filled),
        random_(seed),
        cells_(filled.min_cells +
               Draw(filled.max_cells - filled.min_cells + 1)),
        workers_of_cell_(3 + Draw(4)),
        fleet_({.vms = kVms,
                .workers = cells_ * workers_of_cell_,
                .worker_millicores = kMillicores,
                .seed = seed,
                .cells = cells_}),
        observer_(fleet_, cells_, check) {
    Note(absl::StrCat(cells_, " cells of ", workers_of_cell_, " workers"));
  }

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  void Note(const std::string& what) {
    const auto since_start = fleet_.Now() - time_point(std::chrono::hours(1));
    history_.push_back(absl::StrCat(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_start)
            .count(),
        " ms: ", what));
  }

  /// Advances the time, with the batch work of the filling.
  void Run(std::chrono::milliseconds time) {
    constexpr std::chrono::milliseconds kBatchInterval{500};
    for (const time_point end = fleet_.Now() + time; fleet_.Now() < end;) {
      for (std::size_t job = 0; job < filling_.batch_jobs; ++job) {
        const std::uint64_t millicores = 250 * (1 + Draw(4));
        const std::uint64_t run_time = 200 + Draw(1500);
        const std::uint64_t vm = Draw(kVms);
        fleet_.Submit(vm, NextJob(),
                      absl::StrCat(millicores, " ", run_time, " 0 1"));
      }
      observer_.Advance(std::min(
          kBatchInterval,
          std::chrono::ceil<std::chrono::milliseconds>(end - fleet_.Now())));
    }
  }

  void FillCells() {
    const bool spare = filling_.spare_worker && Draw(2) == 0;
    const std::size_t filled =
        cells_ * (spare ? workers_of_cell_ - 1 : workers_of_cell_);
    const auto percent = static_cast<std::int64_t>(
        filling_.min_percent +
        Draw(filling_.max_percent - filling_.min_percent + 1));
    const std::int64_t wanted =
        static_cast<std::int64_t>(filled) * kMillicores * percent / 100;
    constexpr std::int64_t kUnit = 50;
    constexpr std::array<std::int64_t, 3> kLargest{1200, 2400, 3600};
    const std::int64_t largest = kLargest.at(Draw(kLargest.size()));
    Note(absl::StrCat("long-running work ", wanted, " of ",
                      filled * kMillicores, ", tasks up to ", largest));
    for (std::int64_t left = wanted; left >= 2 * kUnit;) {
      const auto drawn =
          static_cast<std::int64_t>(kUnit * (4 + Draw(largest / kUnit - 3)));
      const std::int64_t need = std::min(drawn, left / kUnit * kUnit);
      const auto most = static_cast<std::uint64_t>(left / need);
      const std::uint64_t count = 1 + Draw(std::min<std::uint64_t>(most, 3));
      SubmitLongRunningJob(need, static_cast<std::uint32_t>(count));
      left -= need * static_cast<std::int64_t>(count);
      observer_.Advance(std::chrono::milliseconds(60));
    }
  }

  jobs::job_id SubmitLongRunningJob(std::int64_t need, std::uint32_t count) {
    const std::uint32_t max_per_worker = Draw(5) == 0 ? 1 : 0;
    std::string body = absl::StrCat("-", need, " 600000 0 ", count);
    if (max_per_worker > 0) {
      absl::StrAppend(&body, " max_per_worker=", max_per_worker);
    }
    const jobs::job_id job = NextJob();
    const std::uint64_t vm = Draw(kVms);
    Note(absl::StrCat("submit ", jobs::Format(job), ": ", body));
    fleet_.Submit(vm, job, body);
    observer_.JobSubmitted(job, {.millicores = need}, count, max_per_worker);
    jobs_.push_back({.job = job, .need = need, .count = count});
    return job;
  }
  jobs::job_id NextJob() { return jobs::job_id{random_()}; }

  /// Cancels one of the long-running jobs, of which there have to be some.
  submitted_job CancelJob() {
    const std::uint64_t chosen = Draw(jobs_.size());
    const submitted_job cancelled = jobs_[chosen];
    jobs_.erase(jobs_.begin() + static_cast<std::ptrdiff_t>(chosen));
    const std::uint64_t vm = Draw(kVms);
    Note(absl::StrCat("cancel ", jobs::Format(cancelled.job)));
    fleet_.Send(vm, caller_method::kCancel, cancelled.job);
    observer_.JobCancelled(cancelled.job);
    return cancelled;
  }
  void FailRuns(std::uint64_t count) {
    for (; count > 0; --count) {
      const std::vector<jobs::task_ref> running = observer_.RunningTasks();
      if (running.empty()) {
        return;
      }
      const std::uint64_t chosen = Draw(running.size());
      Fail(running[chosen]);
    }
  }
  void Fail(const jobs::task_ref& task) {
    Note(absl::StrCat("fail ", jobs::Format(task), " on ",
                      fleet_.Checker().WorkerOf(task)));
    observer_.RunFailed(task);
    fleet_.FailRun(task);
    observer_.Advance(std::chrono::milliseconds(20));
  }

  const filling filling_;
  std::mt19937_64 random_;
  const std::size_t cells_;
  const std::size_t workers_of_cell_;
  virtual_fleet fleet_;
  wait_observer observer_;
  std::vector<submitted_job> jobs_;

 private:
  std::vector<std::string> history_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_FILLED_CELLS_FAKE_HPP
