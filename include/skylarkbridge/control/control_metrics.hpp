#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_METRICS_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_METRICS_HPP

#include <cstdint>
#include <map>
#include <string>

#include "skylarkbridge/control/ports.hpp"
#include "skylarkbridge/control/text_format.hpp"
#include "skylarkbridge/jobs/cell_room.hpp"
#include "skylarkbridge/jobs/fleet_map.hpp"
#include "skylarkbridge/jobs/kept_room.hpp"
#include "skylarkbridge/jobs/restart_stages.hpp"
#include "skylarkbridge/jobs/scheduling_note.hpp"
#include "skylarkbridge/telemetry/metrics.hpp"

namespace skylarkbridge::control {

/// @brief Metrics of the control thread. docs/OPERATIONS.md lists the names
/// with their units.
class control_metrics {
 public:
  explicit control_metrics(telemetry::metrics_registry& registry)
      : append_seconds(registry.Latency("skylarkbridge_append_seconds",
                                        "From sending an append to its reply")),
        restart_seconds(registry.Latency(
            "skylarkbridge_restart_seconds",
            "From the end of a long-running task's run to its next start")),
        cancel_seconds(registry.Latency(
            "skylarkbridge_cancel_seconds",
            "From reading a job's cancellation to the reported end of a run")),
        log_age_ms(AgeGauge(registry, "jobs")),
        configuration_age_ms(AgeGauge(registry, "configuration")),
        worker_list_age_ms(AgeGauge(registry, "workers")),
        cells_owned(registry.Gauge("skylarkbridge_cells_owned",
                                   "Cells of the fleet that this VM owns")),
        epoch_sum(
            registry.Gauge("skylarkbridge_epoch",
                           "Sum of the newest epochs known here of all cells")),
        configuration_version(
            registry.Gauge("skylarkbridge_configuration_version",
                           "Version in force on this VM")),
        jobs_known(registry.Gauge("skylarkbridge_jobs_known",
                                  "Jobs in the fold of the log")),
        jobs_read(registry.Counter("skylarkbridge_jobs_read_total",
                                   "Jobs that were read from the logs")),
        job_ends_read(
            registry.Counter("skylarkbridge_job_ends_read_total",
                             "Ends of jobs that were read from the logs")),
        steps_ready(registry.Gauge("skylarkbridge_steps_ready",
                                   "Steps with tasks that wait for room")),
        oldest_ready_ms(
            registry.Gauge("skylarkbridge_oldest_ready_milliseconds",
                           "Longest wait of a task that may start now")),
        restarts_waiting(
            registry.Gauge("skylarkbridge_restarts_waiting",
                           "Long-running tasks that wait for their restart")),
        longest_restart_wait_ms(
            registry.Gauge("skylarkbridge_longest_restart_wait_milliseconds",
                           "Longest wait of such a task so far")),
        workers_usable(
            registry.Gauge("skylarkbridge_workers_usable",
                           "Workers that the owner gives new tasks to")),
        workers_unreported(registry.Gauge(
            "skylarkbridge_workers_unreported",
            "Workers of earlier owners that have not sent a report")),
        takeover_wait_ms(
            registry.Gauge("skylarkbridge_takeover_wait_milliseconds",
                           "Longest wait of tasks for such workers so far")),
        starts_in_flight(registry.Gauge(
            "skylarkbridge_starts_in_flight",
            "Start orders of this VM's cells that wait for an answer")),
        start_limit(registry.Gauge(
            "skylarkbridge_start_limit",
            "Limit of the start orders in flight, learnt from their answers")),
        intake_waiting(registry.Gauge("skylarkbridge_intake_waiting",
                                      "Requests that wait for the store")),
        worker_entries_rejected(registry.Counter(
            "skylarkbridge_worker_entries_rejected_total",
            "Entries of the list of workers that could not be decoded")),
        registry_(registry) {}

  /// @brief Counts an answer to a caller by the method of its request.
  void Count(std::string_view method, answer_kind kind) {
    FindOrAdd(
        answers_, "skylarkbridge_requests_total",
        "Requests of callers by method and answer",
        {{"method", std::string(method)}, {"answer", std::string(Name(kind))}})
        .Add();
  }
  /// @brief Counts a decision or observation of the scheduler.
  void Count(jobs::scheduling_event event) {
    FindOrAdd(events_, "skylarkbridge_scheduling_total",
              "Decisions and observations of the scheduler",
              {{"event", std::string(Name(event))}})
        .Add();
  }
  /// @brief Counts the start of a long-running task that has run before.
  void Count(const jobs::restart_cause& cause) {
    FindOrAdd(restarts_, "skylarkbridge_restarts_total",
              "Restarts of long-running tasks by what they waited for",
              {{"waited_for", std::string(Name(cause.obstacle))},
               {"released_by", std::string(Name(cause.release))}})
        .Add();
  }
  /// @brief Counts the waits of long-running tasks by stage.
  void Count(const jobs::restart_stage_report& report) {
    for (const jobs::restart_stage_bound& bound : jobs::kRestartStageBounds) {
      const std::string stage(Name(bound.stage));
      for (const jobs::restart_stage_times& times : report.ended) {
        RecordStage(stage, times[bound.stage]);
      }
      CountOverLimit(stage,
                     report.over_limit[static_cast<std::size_t>(bound.stage)]);
    }
    CountOverLimit("all", report.over_total);
  }
  /// @brief Sets the longest wait by stage of the tasks that still wait.
  void SetLongestStages(const jobs::restart_stage_times& longest) {
    for (const jobs::restart_stage_bound& bound : jobs::kRestartStageBounds) {
      registry_
          .Gauge("skylarkbridge_restart_stage_longest_milliseconds",
                 "Longest time that a waiting task has spent in the stage",
                 {{"stage", std::string(Name(bound.stage))}})
          .Set(std::chrono::floor<std::chrono::milliseconds>(
                   longest[bound.stage])
                   .count());
    }
  }
  /// @brief Sets the gauges of a cell's free room.
  void SetRoom(jobs::cell_id cell, const jobs::cell_room& room) {
    SetRoom(cell, "free", room.largest, room.total);
    SetRoom(cell, "preemptible", room.largest_preemptible,
            room.total_preemptible);
  }
  /// @brief Sets the gauges of the room that a cell keeps from new tasks.
  void SetKeptRoom(jobs::cell_id cell, const jobs::kept_room& kept) {
    SetKeptRoom(cell, "restarts", kept.for_restarts);
    SetKeptRoom(cell, "relocations", kept.for_relocations);
    SetKeptRoom(cell, "other_tasks", kept.for_other_tasks);
    SetKeptRoom(cell, "silent_workers", kept.for_silent_workers);
    SetKeptRoom(cell, "stops", kept.by_stops);
  }
  /// @brief Counts a finished call to the store.
  void Count(topic_kind kind, std::string_view call, store_result result) {
    FindOrAdd(calls_, "skylarkbridge_store_calls_total",
              "Calls to the store by topic, kind and result",
              {{"topic", std::string(Name(kind))},
               {"call", std::string(call)},
               {"result", std::string(Name(result))}})
        .Add();
  }

  telemetry::latency_histogram& append_seconds;
  telemetry::latency_histogram& restart_seconds;
  telemetry::latency_histogram& cancel_seconds;
  /// Time since the topics were read to their ends. Of the logs of all cells
  /// the oldest counts; for the list of workers 0 while it is not followed.
  telemetry::gauge& log_age_ms;
  telemetry::gauge& configuration_age_ms;
  telemetry::gauge& worker_list_age_ms;
  telemetry::gauge& cells_owned;
  telemetry::gauge& epoch_sum;
  telemetry::gauge& configuration_version;
  telemetry::gauge& jobs_known;
  telemetry::counter& jobs_read;
  telemetry::counter& job_ends_read;
  telemetry::gauge& steps_ready;
  telemetry::gauge& oldest_ready_ms;
  telemetry::gauge& restarts_waiting;
  telemetry::gauge& longest_restart_wait_ms;
  telemetry::gauge& workers_usable;
  telemetry::gauge& workers_unreported;
  telemetry::gauge& takeover_wait_ms;
  telemetry::gauge& starts_in_flight;
  telemetry::gauge& start_limit;
  telemetry::gauge& intake_waiting;
  telemetry::counter& worker_entries_rejected;

 private:
  static telemetry::gauge& AgeGauge(telemetry::metrics_registry& registry,
                                    const std::string& topic) {
    return registry.Gauge("skylarkbridge_read_age_milliseconds",
                          "Time since the topic was read to its end",
                          {{"topic", topic}});
  }

  void RecordStage(const std::string& stage, time_point::duration time) {
    if (time > time_point::duration::zero()) {
      registry_
          .Latency("skylarkbridge_restart_stage_seconds",
                   "Waits of long-running tasks by stage", {{"stage", stage}})
          .Record(time);
    }
  }
  void CountOverLimit(const std::string& stage, std::uint64_t waits) {
    if (waits > 0) {
      FindOrAdd(over_limit_, "skylarkbridge_restart_stage_exceeded_total",
                "Waits of long-running tasks over the limit of a stage",
                {{"stage", stage}})
          .Add(waits);
    }
  }

  /// @param kind what counts as room: what no run holds, or also what runs hold
  /// that can be preempted.
  void SetRoom(jobs::cell_id cell,
               const std::string& kind,
               std::int64_t largest,
               std::int64_t total) {
    const telemetry::metric_labels labels = {{"cell", std::to_string(cell)},
                                             {"room", kind}};
    registry_
        .Gauge("skylarkbridge_cell_largest_room_millicores",
               "Most free room on a worker of an owned cell", labels)
        .Set(largest);
    registry_
        .Gauge("skylarkbridge_cell_total_room_millicores",
               "Free room on all workers of an owned cell", labels)
        .Set(total);
  }

  void SetKeptRoom(jobs::cell_id cell,
                   const std::string& reason,
                   std::int64_t millicores) {
    registry_
        .Gauge("skylarkbridge_cell_kept_room_millicores",
               "Room of an owned cell that new tasks don't get",
               {{"cell", std::to_string(cell)}, {"kept_for", reason}})
        .Set(millicores);
  }

  /// The counters of one metric, created when their labels are first used.
  using counters = std::map<telemetry::metric_labels, telemetry::counter*>;

  telemetry::counter& FindOrAdd(counters& known,
                                const std::string& name,
                                const std::string& help,
                                const telemetry::metric_labels& labels) {
    const auto [entry, added] = known.try_emplace(labels, nullptr);
    if (added) {
      entry->second = &registry_.Counter(name, help, labels);
    }
    return *entry->second;
  }

  telemetry::metrics_registry& registry_;
  counters answers_;
  counters events_;
  counters restarts_;
  counters over_limit_;
  counters calls_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_METRICS_HPP
