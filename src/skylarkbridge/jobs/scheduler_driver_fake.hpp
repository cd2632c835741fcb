#ifndef SKYLARKBRIDGE_JOBS_SCHEDULER_DRIVER_FAKE_HPP
#define SKYLARKBRIDGE_JOBS_SCHEDULER_DRIVER_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

/// @brief Runs a scheduler against simulated workers. Workers other than
/// silent_worker answer at once.
class scheduler_driver {
 public:
  static constexpr wall_time kWall{std::chrono::seconds(1'700'000'000)};

  scheduler_driver() : scheduler(fleet_scheduler_options{}) {
    auto configuration = std::make_shared<fleet_configuration>();
    configuration->version = 1;
    configuration->queues.push_back(
        {.name = "batch", .service = "service", .max_attempts = 3});
    configuration->queues.push_back(
        {.name = "restricted",
         .service = "service",
         .max_attempts = 3,
         .policy = {.decision_time = std::chrono::milliseconds(10),
                    .time_per_worker = std::chrono::milliseconds(1),
                    .permit_validity = std::chrono::milliseconds(1500)}});
    scheduler.Configure(configuration);
  }

  /// @param earlier_owner_time how much longer an earlier owner may send
  /// orders.
  void Begin(const std::vector<std::string>& leased = {},
             std::chrono::milliseconds earlier_owner_time = {}) {
    Begin({.claim_epoch = 1, .workers = leased}, earlier_owner_time);
  }
  /// @param leased the last list of leased workers, read now.
  void Begin(const leased_workers& leased,
             std::chrono::milliseconds earlier_owner_time) {
    scheduler.BeginOwnership(2, registry, leased, now, now + earlier_owner_time,
                             now, wall);
    AllowOrders(now);
  }
  /// Begins another ownership of the same VM.
  void Begin(epoch owned_epoch) {
    scheduler.BeginOwnership(owned_epoch, registry,
                             {.claim_epoch = owned_epoch - 1}, now, now, now,
                             wall);
    AllowOrders(now);
  }
  void AllowOrders(time_point confirmed) {
    scheduler.AllowOrders(confirmed, now + std::chrono::seconds(60));
  }
  void AddWorker(const std::string& id, std::int64_t millicores) {
    scheduler.WorkerListed(
        {.worker = id,
         .service = "service",
         .address = id,
         .capacity = {.millicores = millicores, .memory_mb = 1000}},
        now);
  }
  void DrainWorker(const std::string& id, std::int64_t millicores) {
    scheduler.WorkerListed(
        {.worker = id,
         .service = "service",
         .address = id,
         .draining = true,
         .capacity = {.millicores = millicores, .memory_mb = 1000}},
        now);
  }
  void Submit(job_id id, step_spec step, const std::string& queue = "batch") {
    registry.Apply(job_accepted{.job = id,
                                .queue = queue,
                                .spec = {.payload = "p", .steps = {step}}},
                   now);
    scheduler.JobAccepted(id, *registry.Find(id), false, now, wall);
  }
  /// Passes on a job whose acceptance was read in the log of another cell.
  void ReadInOtherLog(const job_accepted& record) {
    registry.Apply(record, now);
    scheduler.JobAccepted(record.job, *registry.Find(record.job), true, now,
                          wall);
  }
  /// Runs four rounds in which renewals and start orders are answered: enough
  /// to register a new worker and to start tasks on it.
  void RunRounds() {
    for (int round = 0; round < 4; ++round) {
      scheduler.SetOtherLogsReadUntil(other_logs_read_until);
      scheduler.Run(now, wall);
      if (scheduler.HasRecords()) {
        for (const log_record& record : scheduler.TakeRecords(now)) {
          if (const auto* list = std::get_if<leased_workers>(&record)) {
            stored_list = *list;
          }
        }
        scheduler.RecordsStored(scheduler.WriteNumber(), now);
      }
      for (const order& sent_order : scheduler.TakeOrders()) {
        if (const auto* renewal = std::get_if<renew_order>(&sent_order)) {
          std::uint64_t& last = acknowledged[renewal->target.worker];
          last = std::max(last, renewal->acknowledged);
          AnswerRenewal(*renewal);
        } else if (const auto* start = std::get_if<start_order>(&sent_order);
                   start != nullptr &&
                   start->target.worker == refusing_worker) {
          scheduler.Handle(
              start_reply{start->target.worker, start->run,
                          order_result::kUnhealthy, start->target.fence},
              now);
        } else if (start != nullptr &&
                   start->target.worker == unanswering_worker) {
          unanswered_starts.push_back(*start);
          scheduler.Handle(
              start_reply{start->target.worker, start->run,
                          order_result::kNoAnswer, start->target.fence},
              now);
        } else if (start != nullptr) {
          starts.push_back(*start);
          scheduler.Handle(
              start_reply{start->target.worker, start->run, order_result::kDone,
                          start->target.fence},
              now);
        } else if (const auto* stop = std::get_if<stop_order>(&sent_order)) {
          stops.push_back(*stop);
        } else if (const auto* pace = std::get_if<pace_order>(&sent_order)) {
          paces.push_back(*pace);
          scheduler.Handle(
              pace_reply{pace->target.worker, pace->run, pace->speed_percent,
                         pace_result, pace->target.fence},
              now);
        } else if (const auto* permit_call =
                       std::get_if<permit_request>(&sent_order)) {
          permit_requests.push_back(*permit_call);
        }
      }
    }
  }
  /// Advances the time and runs the rounds, with the ownership confirmed.
  void Pass(std::chrono::milliseconds time) {
    now += time;
    AllowOrders(now);
    RunRounds();
  }
  /// Lets the worker of a started run report that it has ended.
  void EndRun(const run_ref& run, run_end outcome) {
    const auto start = std::find_if(
        starts.begin(), starts.end(),
        [&run](const start_order& order) { return order.run == run; });
    std::vector<ended_task>& ends = reported_ends[start->target.worker];
    ends.push_back({.number = ends.size() + 1, .run = run, .outcome = outcome});
    start->target.worker = "over";
  }
  /// The last run of the task that was started; zero without one.
  run_ref LastRun(const task_ref& task) const {
    run_ref last;
    for (const start_order& start : starts) {
      if (start.run.task == task) {
        last = start.run;
      }
    }
    return last;
  }
  void AnswerRenewal(const renew_order& renewal) {
    const std::string& id = renewal.target.worker;
    if (silent_worker == id) {
      scheduler.Handle(renew_reply{.worker = id,
                                   .renewal_number = renewal.renewal_number,
                                   .fence = renewal.target.fence},
                       now);
      return;
    }
    worker_report report{.clock = worker_time(std::chrono::milliseconds(1000))};
    for (const start_order& start : starts) {
      if (start.target.worker == id) {
        report.running.push_back(
            {.run = start.run, .progress_percent = progress_percent});
      }
    }
    for (const running_task& task : reported_runs[id]) {
      report.running.push_back(task);
    }
    report.ended = reported_ends[id];
    if (const auto start = start_times.find(id); start != start_times.end()) {
      report.start_time = start->second;
    }
    scheduler.Handle(renew_reply{.worker = id,
                                 .renewal_number = renewal.renewal_number,
                                 .result = order_result::kDone,
                                 .fence = renewal.target.fence,
                                 .report = report},
                     now);
  }

  time_point now{std::chrono::seconds(1000)};
  /// The time of day that the owner sees.
  wall_time wall = kWall;
  /// There are no other cells.
  std::optional<time_point> other_logs_read_until = time_point::max();
  /// Number of the last end that each worker was last told to forget.
  std::map<std::string, std::uint64_t> acknowledged;
  job_registry registry;
  fleet_scheduler scheduler;
  /// Start orders so far. Each worker reports the runs that target it as
  /// running. To end a run, a test sets its target to a name that no worker
  /// has.
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<pace_order> paces;
  /// Result with which the workers answer orders on pace.
  order_result pace_result = order_result::kDone;
  std::vector<permit_request> permit_requests;
  /// The last list of leased workers that was stored.
  leased_workers stored_list;
  /// Worker that refuses all starts.
  std::string refusing_worker;
  /// Worker that answers renewals but no start.
  std::string unanswering_worker;
  /// Start orders to it so far.
  std::vector<start_order> unanswered_starts;
  /// Worker whose renewals get no answer.
  std::string silent_worker;
  /// Progress that the workers report of all runs.
  int progress_percent = 50;
  /// Further runs that a worker reports.
  std::map<std::string, std::vector<running_task>> reported_runs;
  std::map<std::string, std::vector<ended_task>> reported_ends;
  /// Start times that the workers report; a worker without one reports none.
  std::map<std::string, worker_start_time> start_times;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_SCHEDULER_DRIVER_FAKE_HPP
