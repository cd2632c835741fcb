#ifndef SKYLARKBRIDGE_CONTROL_WORKER_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_WORKER_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/job_body_fake.hpp"
#include "skylarkbridge/control/job_invariant_checker_fake.hpp"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/jobs/orders.hpp"

namespace skylarkbridge::control {

/// @brief Time after a worker's capacity has shrunk until starts have to keep
/// to it.
constexpr std::chrono::milliseconds kShrinkDelay{4500};

/// @brief A worker in virtual time. It refuses orders with an outdated fence,
/// ends its runs when its lease expires, and reports ended runs until they are
/// acknowledged.
///
/// It starts runs beyond its capacity, which the checker reports as a
/// violation.
class worker_fake {
 public:
  worker_fake(std::string id,
              jobs::resources capacity,
              job_invariant_checker& checker)
      : id_(std::move(id)),
        address_(id_),
        capacity_(capacity),
        checker_(checker) {}

  const std::string& Id() const { return id_; }
  /// @brief Where it listens while it is up; by default, its id.
  const std::string& Address() const { return address_; }
  void SetAddress(std::string address) { address_ = std::move(address); }
  const jobs::resources& Capacity() const { return capacity_; }
  bool Up() const { return up_; }
  jobs::worker_start_time StartTime() const {
    return jobs::worker_start_time(
        std::chrono::floor<std::chrono::milliseconds>(
            started_.time_since_epoch()));
  }
  /// @brief Number of starts so far.
  int Incarnation() const { return incarnation_; }

  /// @brief The highest fencing token that this life has seen.
  const jobs::fencing_token& Fence() const { return fence_; }

  /// @brief The highest one that the lives before it have seen.
  const jobs::fencing_token& FenceOfEarlierLives() const {
    return fence_of_earlier_lives_;
  }

  /// @brief Whether this life has less capacity than an earlier one had at its
  /// start.
  bool HasShrunkSince(int incarnation) const {
    const auto earlier = capacities_of_lives_.find(incarnation);
    return incarnation != incarnation_ &&
           earlier != capacities_of_lives_.end() &&
           capacity_.millicores < earlier->second.millicores;
  }

  /// @brief Starts or restarts the worker without its earlier state.
  /// @param clock where the clock of the new life starts.
  void Start(time_point now, jobs::worker_time clock = {}) {
    up_ = true;
    ++incarnation_;
    started_ = now;
    clock_at_start_ = clock;
    fence_of_earlier_lives_ = std::max(fence_of_earlier_lives_, fence_);
    fence_ = {};
    last_end_number_ = 0;
    lease_until_ = {};
    earlier_capacities_.clear();
    capacities_of_lives_[incarnation_] = capacity_;
  }
  void Crash(time_point now) {
    up_ = false;
    for (const auto& [run, state] : runs_) {
      checker_.RunEnded(id_, run, end_cause::kWorkerCrashed, now);
    }
    DiscardUnacknowledgedEnds();
    runs_.clear();
    ended_.clear();
    highest_runs_.clear();
  }

  /// @brief Changes the capacity. What runs goes on.
  void SetCapacity(const jobs::resources& capacity, time_point now) {
    earlier_capacities_.emplace_back(now + kShrinkDelay, capacity_);
    capacity_ = capacity;
  }

  /// @brief Returns the tasks of the runs that crash the worker now.
  std::vector<jobs::task_ref> CrashingTasks(time_point now) const {
    std::vector<jobs::task_ref> tasks;
    for (const auto& [run, state] : runs_) {
      if (state.crashes_at && now >= *state.crashes_at) {
        tasks.push_back(run.task);
      }
    }
    return tasks;
  }

  /// @brief Ends the runs that are due, or all runs once the lease has expired.
  void Advance(time_point now) {
    std::vector<std::pair<jobs::run_ref, jobs::run_end>> due;
    for (const auto& [run, state] : runs_) {
      if (Clock(now) >= lease_until_) {
        due.emplace_back(run, jobs::run_end::kLeaseExpired);
      } else if (now >= state.ends_at) {
        due.emplace_back(
            run, state.fails ? jobs::run_end::kFailed : jobs::run_end::kDone);
      }
    }
    for (const auto& [run, how] : due) {
      End(run, how, now);
    }
    if (Clock(now) >= lease_until_) {
      DiscardUnacknowledgedEnds();
    }
  }

  jobs::renew_reply Execute(const jobs::renew_order& order, time_point now) {
    jobs::renew_reply reply{.worker = id_,
                            .renewal_number = order.renewal_number,
                            .fence = order.target.fence};
    if (!AcceptFence(order.target.fence)) {
      reply.result = jobs::order_result::kFenced;
      return reply;
    }
    if (order.lease_until) {
      ExtendLease(*order.lease_until, now);
    }
    std::erase_if(ended_, [&order](const jobs::ended_task& end) {
      return end.number <= order.acknowledged;
    });
    reply.result = jobs::order_result::kDone;
    reply.report = jobs::worker_report{
        .start_time = StartTime(), .clock = Clock(now), .ended = ended_};
    for (const auto& [run, state] : runs_) {
      reply.report->running.push_back({.run = run, .progress_percent = 50});
    }
    return reply;
  }
  /// @brief The runs of the unacknowledged ends with numbers up to @p number.
  std::vector<jobs::run_ref> EndsUpTo(std::uint64_t number) const {
    std::vector<jobs::run_ref> runs;
    for (const jobs::ended_task& end : ended_) {
      if (end.number <= number) {
        runs.push_back(end.run);
      }
    }
    return runs;
  }
  /// @brief Whether there are ends that @p order does not acknowledge, so that
  /// a waiting renewal is answered.
  bool HasUnacknowledgedEnds(const jobs::renew_order& order) const {
    return !ended_.empty() && ended_.back().number > order.acknowledged;
  }

  jobs::start_reply Execute(const jobs::start_order& order, time_point now) {
    jobs::start_reply reply{
        .worker = id_, .run = order.run, .fence = order.target.fence};
    if (!AcceptFence(order.target.fence)) {
      reply.result = jobs::order_result::kFenced;
    } else if (Clock(now) >= order.start_by) {
      reply.result = jobs::order_result::kExpired;
    } else if (runs_.contains(order.run)) {
      reply.result = jobs::order_result::kDone;
    } else if (order.run.run <= highest_runs_[order.run.task]) {
      reply.result = jobs::order_result::kStaleRun;
    } else {
      reply.result = jobs::order_result::kDone;
      ExtendLease(order.start_by, now);
      checker_.RunStarted(id_, order.run, AvailableCapacity(now), now);
      runs_[order.run] = ParseRunState(order, now);
    }
    return reply;
  }

  jobs::stop_reply Execute(const jobs::stop_order& order, time_point now) {
    jobs::stop_reply reply{
        .worker = id_, .run = order.run, .fence = order.target.fence};
    if (!AcceptFence(order.target.fence)) {
      reply.result = jobs::order_result::kFenced;
      return reply;
    }
    reply.result = jobs::order_result::kDone;
    jobs::run_number& highest = highest_runs_[order.run.task];
    highest = std::max(highest, order.run.run);
    if (runs_.contains(order.run)) {
      End(order.run, jobs::run_end::kStopped, now);
    }
    return reply;
  }

  /// @param fail whether every run that starts from now on fails.
  void FailAllRuns(bool fail) { fail_all_runs_ = fail; }

  /// @brief Ends the run of a task as failed. Does nothing when the task has no
  /// run on the worker.
  void FailRun(const jobs::task_ref& task, time_point now) {
    const auto found = std::find_if(
        runs_.begin(), runs_.end(),
        [&task](const auto& entry) { return entry.first.task == task; });
    if (found != runs_.end()) {
      End(jobs::run_ref(found->first), jobs::run_end::kFailed, now);
    }
  }

  /// @brief Returns the capacity that no long-running task holds, and the
  /// tasks that run.
  worker_view View() const {
    worker_view view{.worker = id_, .room = capacity_};
    for (const auto& [run, state] : runs_) {
      view.running.push_back(run.task);
      if (state.long_running) {
        view.room -= state.need;
      }
    }
    return view;
  }

 private:
  struct run_state {
    time_point ends_at;
    std::optional<time_point> crashes_at;
    bool fails = false;
    bool long_running = false;
    jobs::resources need;
  };

  jobs::worker_time Clock(time_point now) const {
    return clock_at_start_ +
           std::chrono::floor<std::chrono::milliseconds>(now - started_);
  }

  /// Returns false when @p fence is lower than the highest one seen.
  bool AcceptFence(const jobs::fencing_token& fence) {
    if (fence < fence_) {
      return false;
    }
    fence_ = fence;
    return true;
  }

  void ExtendLease(jobs::worker_time until, time_point now) {
    // The default of fleet_scheduler_options::max_lease.
    constexpr std::chrono::milliseconds kMaxLease{6000};
    lease_until_ =
        std::max(lease_until_, std::min(until, Clock(now) + kMaxLease));
  }

  /// The capacity that starts have to keep to: before kShrinkDelay has passed,
  /// that from before a change.
  jobs::resources BindingCapacity(time_point now) {
    while (!earlier_capacities_.empty() &&
           now >= earlier_capacities_.front().first) {
      earlier_capacities_.pop_front();
    }
    jobs::resources binding = capacity_;
    for (const auto& [until, capacity] : earlier_capacities_) {
      binding.millicores = std::max(binding.millicores, capacity.millicores);
    }
    return binding;
  }

  jobs::resources AvailableCapacity(time_point now) {
    jobs::resources available = BindingCapacity(now);
    for (const auto& [run, state] : runs_) {
      available -= state.need;
    }
    return available;
  }

  /// Parses the payload, which begins with "MILLICORES MILLISECONDS FAILURES".
  /// A run fails when its number within the epoch is at most FAILURES. A run of
  /// a step from the setting lasting_from on does not end by itself. With the
  /// settings crash=MILLISECONDS and crashers=COUNT, each run of the first
  /// COUNT tasks of a step (1 without the setting) crashes its worker after
  /// that time.
  run_state ParseRunState(const jobs::start_order& order,
                          time_point now) const {
    std::int64_t millicores = 0;
    std::int64_t duration = 0;
    std::uint64_t failures = 0;
    std::istringstream text(order.payload);
    text >> millicores >> duration >> failures;
    const std::uint64_t run_in_epoch = order.run.run % kRunsPerEpoch;
    const bool long_running = IsLongRunning(
        millicores, JobSettings(order.payload), order.run.task.step);
    // The duration is that of the other steps of the job.
    const bool ends = !long_running || millicores < 0;
    return {.ends_at = ends ? now + std::chrono::milliseconds(duration)
                            : time_point::max(),
            .crashes_at = CrashTime(order, now),
            .fails = fail_all_runs_ || run_in_epoch <= failures,
            .long_running = long_running,
            .need = {.millicores = std::abs(millicores)}};
  }

  static std::optional<time_point> CrashTime(const jobs::start_order& order,
                                             time_point now) {
    const std::map<std::string, std::string> settings =
        JobSettings(order.payload);
    const auto delay = settings.find("crash");
    const auto crashers = settings.find("crashers");
    const std::uint64_t count =
        crashers == settings.end() ? 1 : std::stoull(crashers->second);
    if (delay == settings.end() || order.run.task.index >= count) {
      return std::nullopt;
    }
    return now + std::chrono::milliseconds(std::stoll(delay->second));
  }

  static end_cause CauseOf(jobs::run_end how) {
    switch (how) {
      case jobs::run_end::kDone:
        return end_cause::kDone;
      case jobs::run_end::kFailed:
        return end_cause::kFailed;
      case jobs::run_end::kLeaseExpired:
        return end_cause::kLeaseExpired;
      default:
        return end_cause::kStopped;
    }
  }

  void End(const jobs::run_ref& run, jobs::run_end how, time_point now) {
    runs_.erase(run);
    jobs::run_number& highest = highest_runs_[run.task];
    highest = std::max(highest, run.run);
    ended_.push_back(
        {.number = ++last_end_number_, .run = run, .outcome = how});
    checker_.RunEnded(id_, run, CauseOf(how), now);
  }

  /// Tells the checker to discard the ends that were not acknowledged before
  /// the lease expired or the worker crashed: the owner has to treat these runs
  /// as lost.
  void DiscardUnacknowledgedEnds() {
    for (const jobs::ended_task& end : ended_) {
      checker_.DiscardRunEnd(end.run, end.outcome == jobs::run_end::kDone);
    }
  }

  /// Has to match the run numbers that the scheduler assigns.
  static constexpr std::uint64_t kRunsPerEpoch = 10'000;

  const std::string id_;
  std::string address_;
  jobs::resources capacity_;
  /// Capacities that starts may still keep to, with the time until which.
  std::deque<std::pair<time_point, jobs::resources>> earlier_capacities_;
  /// Capacity with which each incarnation started.
  std::map<int, jobs::resources> capacities_of_lives_;
  job_invariant_checker& checker_;
  bool up_ = false;
  int incarnation_ = 0;
  bool fail_all_runs_ = false;
  time_point started_;
  jobs::worker_time clock_at_start_;
  jobs::fencing_token fence_;
  jobs::fencing_token fence_of_earlier_lives_;
  jobs::worker_time lease_until_;
  std::uint64_t last_end_number_ = 0;
  std::map<jobs::run_ref, run_state> runs_;
  std::vector<jobs::ended_task> ended_;
  std::map<jobs::task_ref, jobs::run_number> highest_runs_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_WORKER_FAKE_HPP
