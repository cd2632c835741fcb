#ifndef SKYLARKBRIDGE_JOBS_JOB_TABLE_HPP
#define SKYLARKBRIDGE_JOBS_JOB_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/fleet_configuration.hpp"
#include "skylarkbridge/jobs/job_registry.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief One occurrence of one step of a job.
struct step_ref {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const step_ref&) const = default;

  template <class H>
  friend H AbslHashValue(H hash, const step_ref& ref) {
    return H::combine(std::move(hash), ref.job, ref.occurrence, ref.step);
  }
};

inline step_ref StepOf(const task_ref& task) {
  return {task.job, task.occurrence, task.step};
}
inline task_ref TaskOf(const step_ref& step, std::uint32_t index) {
  return {step.job, step.occurrence, step.step, index};
}

enum class task_phase {
  /// Waits for earlier steps or for its time.
  kWaiting,
  /// An earlier owner may have started it on a worker that is not yet heard of.
  kUnaccounted,
  kReady,
  /// At least one run of it is on a worker.
  kActive,
  kDone,
};

/// @brief A run of a task on a worker.
struct active_run {
  std::string worker;
  run_number run = 0;
};

struct task_state {
  task_phase phase = task_phase::kWaiting;
  std::vector<active_run> active_runs;
  run_number last_run = 0;
  std::string checkpoint;
  /// Not before this time, after runs that ended badly.
  time_point not_before;
};

struct step_state {
  std::vector<task_state> tasks;
  std::uint32_t done = 0;
  bool released = false;
};

/// @brief An open job with the state of its tasks.
struct open_job {
  std::string queue;
  job_spec spec;
  wall_time accepted_at{};
  /// When this process learned of it, on its own clock.
  time_point seen_at;
  job_progress progress;
  /// By occurrence; those that are due.
  std::map<std::uint32_t, std::vector<step_state>> occurrences;
  std::uint32_t next_occurrence = 0;
  /// Occurrences that are complete.
  std::uint32_t completed = 0;

  std::uint32_t Occurrences() const {
    return spec.repeat_count == 0 ? 1 : spec.repeat_count;
  }
};

/// @brief What an end or a cancel means for other runs.
struct run_to_stop {
  std::string worker;
  run_ref run;
};

struct job_table_options {
  /// Wait before a task that failed starts again, by failed attempt.
  std::chrono::milliseconds retry_delay{50};
  /// Longest such wait, for tasks that run until they are cancelled.
  std::chrono::milliseconds max_retry_delay{1000};
};

/// @brief Which tasks are to run next: the dependencies, attempts and ends of
/// all open jobs.
class job_table {
 public:
  explicit job_table(job_table_options options) : options_(options) {}

  /// @brief Adds an open job. With @p unaccounted, its tasks wait until
  /// ReleaseUnaccounted or until a worker reports them.
  void Add(job_id job,
           const job_state& state,
           bool unaccounted,
           time_point now,
           wall_time wall);
  /// @brief Forgets the job. Returns its runs, which have to be stopped.
  std::vector<run_to_stop> Remove(job_id job);

  /// @brief Starts the occurrences whose time has come.
  void StartDue(wall_time wall);
  /// @brief Time of the next occurrence.
  std::optional<wall_time> NextDue() const;

  /// @brief Every worker is accounted for.
  void ReleaseUnaccounted();

  /// @brief The next run number of a task under the epoch @p own.
  run_number NextRun(const task_ref& task, epoch own) const;
  /// @brief A run was ordered, or a worker reports one that is adopted.
  void Started(const run_ref& run, const std::string& worker);
  /// @brief Whether a run that a worker reports can be taken as the task's.
  bool CanAdopt(const run_ref& run) const;
  /// @brief A run is over without an end, or has not begun.
  void Lost(const run_ref& run, time_point not_before);
  /// @brief A worker lists an end. Returns runs that it makes pointless.
  std::vector<run_to_stop> Ended(const run_ref& run,
                                 run_end how,
                                 const std::string& checkpoint,
                                 std::uint32_t max_attempts,
                                 time_point now);
  /// @brief A worker reports a newer checkpoint.
  void Checkpointed(const run_ref& run, const std::string& checkpoint);

  const open_job* Find(job_id job) const;
  const step_spec* Spec(const step_ref& step) const;
  const task_state* Find(const task_ref& task) const;
  const step_state* Find(const step_ref& step) const;

  /// @brief Steps with ready tasks.
  const std::set<step_ref>& ReadySteps() const { return ready_; }
  /// @brief Indices of the ready tasks of a step whose wait is over.
  std::vector<std::uint32_t> ReadyTasks(const step_ref& step,
                                        time_point now) const;

  /// @brief Jobs whose progress changed since the last call, with it.
  std::vector<job_advanced> TakeChanges();
  bool HasChanges() const { return !changed_.empty() || !finished_.empty(); }

  const std::map<job_id, open_job>& Jobs() const { return jobs_; }

 private:
  task_state* MutableTask(const task_ref& task);
  step_progress& Progress(open_job& job, const task_ref& task);
  void StartOccurrence(job_id id,
                       open_job& job,
                       std::uint32_t occurrence,
                       bool unaccounted);
  void ReleaseSteps(job_id id, open_job& job, std::uint32_t occurrence);
  void MakeReady(const task_ref& ref, task_state& task);
  void RefreshReady(const step_ref& step);
  void MarkDone(open_job& job, const task_ref& ref, task_state& task);
  bool CountFailure(open_job& job,
                    const run_ref& run,
                    std::uint32_t max_attempts);
  void RemoveActiveRun(task_state& task, run_number run);
  std::vector<run_to_stop> Finish(job_id id, job_status status);
  std::chrono::milliseconds RetryDelay(const open_job& job,
                                       const task_ref& task) const;

  job_table_options options_;
  std::map<job_id, open_job> jobs_;
  std::set<step_ref> ready_;
  std::set<job_id> changed_;
  /// Jobs with occurrences that are not due yet.
  std::set<job_id> scheduled_;
  /// Final progress of jobs that ended and are removed already.
  std::vector<job_advanced> finished_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_TABLE_HPP
