#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_HPP

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/event_log.hpp"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/control_metrics.hpp"
#include "skylarkbridge/control/control_options.hpp"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/control/fleet_cell.hpp"
#include "skylarkbridge/control/ports.hpp"
#include "skylarkbridge/control/rejected_entries.hpp"
#include "skylarkbridge/control/text_format.hpp"
#include "skylarkbridge/control/topic_follower.hpp"
#include "skylarkbridge/jobs/cell_choice.hpp"
#include "skylarkbridge/jobs/fleet_bootstrap.hpp"
#include "skylarkbridge/jobs/job_limits.hpp"
#include "skylarkbridge/jobs/worker_cells.hpp"
#include "skylarkbridge/records/fleet_map_codec.hpp"

namespace skylarkbridge::control {

/// @brief The control state of one entry VM: the configuration, the cells of
/// the fleet, and the callers that wait for an answer. It follows the list of
/// workers only while the VM owns a cell or a fleet map has to be written.
///
/// Owned by the control thread. Platform replies and callers' requests are
/// passed in together with the time, which its log lines carry as well. Calls
/// to the platform and answers to callers are sent through the two ports.
template <fleet_platform Platform, caller_port Callers>
class control_state {
 public:
  using cell = fleet_cell<Platform>;

  control_state(control_options options,
                Platform& platform,
                Callers& callers,
                telemetry::metrics_registry& metrics)
      : options_(std::move(options)),
        platform_(platform),
        callers_(callers),
        metrics_(metrics),
        configuration_follower_({topic_kind::kConfiguration},
                                {.wait = kConfigurationWait},
                                options_),
        worker_follower_({topic_kind::kWorkers},
                         {.wait = kWorkerWait, .pause = kWorkerPause},
                         options_),
        map_follower_({topic_kind::kFleetMap}, {.wait = kMapWait}, options_),
        bootstrap_(options_.bootstrap),
        machine_list_reader_(options_.machine_list_reader) {}

  /// @brief Handles a request. The answer is sent through the caller port, at
  /// once or from a later Handle or Run.
  void Handle(caller_request request, time_point now, wall_time wall);
  /// @brief Handles the reply to an earlier call to the platform.
  void Handle(platform_reply reply, time_point now, wall_time wall);
  /// @brief Applies the scheduler's settings of a reloaded settings file.
  void SetSchedulerOptions(const jobs::fleet_scheduler_options& options);
  /// @brief Releases the ownership of all cells and claims none from now on.
  void BeginStop(time_point now, wall_time wall);

  /// @brief Sends all calls and answers that are due. Call it after each batch
  /// of events and at NextDeadline.
  void Run(time_point now, wall_time wall);
  /// @brief When Run has to be called next; never before @p now.
  time_point NextDeadline(time_point now) const;

  /// @brief Whether this VM can serve callers: it is not stopping, has a
  /// configuration, and has read the logs of all cells recently.
  bool Ready(time_point now) const;
  /// @brief Number of cells that this VM owns.
  std::size_t CellsOwned() const;
  /// @brief True once all lookups are answered and all requests and releases of
  /// ownership are written or given up.
  bool Drained() const;
  /// @brief Version of the configuration in force; 0 before the first one.
  std::uint64_t ConfigurationVersion() const {
    return configuration_ == nullptr ? 0 : configuration_->version;
  }
  /// @brief The fleet's cells by number; empty until the fleet map is read.
  const std::vector<std::unique_ptr<cell>>& Cells() const { return cells_; }
  /// @brief The cell whose log stores a job's requests. Only call this once
  /// the fleet map is read.
  const cell& HomeOf(jobs::job_id job) const {
    return *cells_[map_->HomeOf(job)];
  }

 private:
  /// Long-poll timeouts for the configuration and the workers: how long the
  /// store may hold a read of a topic until a record arrives.
  static constexpr std::chrono::milliseconds kConfigurationWait{600};
  static constexpr std::chrono::milliseconds kWorkerWait{1000};
  /// Pause between two reads of the workers, which batches their records.
  static constexpr std::chrono::milliseconds kWorkerPause{150};
  /// Long-poll timeout for the fleet map.
  static constexpr std::chrono::milliseconds kMapWait{600};
  static constexpr std::chrono::milliseconds kGaugeInterval{500};
  /// Longest time between two calls of Run.
  static constexpr std::chrono::milliseconds kMaxRunInterval{100};

  /// A request whose answer waits for a fresh read of the log.
  struct lookup {
    std::uint64_t token = 0;
    jobs::job_id job;
    /// The queue whose pending jobs are counted; empty for a single job.
    std::string queue;
    caller_method method = caller_method::kQuery;
    time_point requested_at;
    time_point deadline;
  };

  // Callers, in control_state_callers.hpp.
  void Submit(const caller_request& request,
              const jobs::queue_configuration& queue,
              jobs::job_id job,
              time_point now,
              wall_time wall);
  void Query(const caller_request& request, jobs::job_id job, time_point now);
  void Cancel(const caller_request& request, jobs::job_id job, time_point now);
  /// Stores the cancellation of a job, which may be unknown.
  void StoreCancellation(std::uint64_t token,
                         jobs::job_id job,
                         time_point deadline,
                         time_point now);
  /// Number of pending jobs of a queue in all cells.
  std::size_t Pending(std::string_view queue) const;
  void QueryPending(const caller_request& request,
                    const jobs::queue_configuration& queue,
                    time_point now);
  /// Returns false while the caller has to keep waiting.
  bool AnswerPending(const lookup& entry, time_point now);
  /// Time up to which the logs of all cells have been read. Empty while one of
  /// them has not been read to its end.
  std::optional<time_point> AllLogsReadAt() const;
  /// The same for the logs of the other cells; time_point::max() without any.
  std::optional<time_point> OtherLogsReadAt(const cell& own) const;
  /// Removes the entries of unconfirmed_submissions_ whose jobs have been read
  /// from a log.
  void RemoveConfirmedSubmissions();
  /// Queues a record for the job's home cell, or answers the caller at once if
  /// the cell can't take it.
  void Store(const pending_request& request,
             std::string_view method,
             time_point now);
  /// Holds a request until the job's log has been read again, at most for
  /// @p limit.
  void AddLookup(const caller_request& request,
                 jobs::job_id job,
                 std::chrono::milliseconds limit,
                 time_point now);
  void AnswerLookups(time_point now);
  /// Returns false while the caller has to keep waiting.
  bool AnswerLookup(const lookup& entry, time_point now);
  /// Answers the caller of a request whose write succeeded or was given up.
  void ReplyWithOutcome(const request_outcome& result);
  /// Counts, logs and sends an answer.
  void Reply(std::uint64_t token,
             std::optional<jobs::job_id> job,
             std::string_view method,
             caller_answer answer);
  caller_answer NotRun(std::string reason) const {
    return {.kind = answer_kind::kNotRun,
            .retry_after = options_.retry_after,
            .reason = std::move(reason)};
  }
  caller_answer Uncertain(std::string reason) const {
    return {.kind = answer_kind::kUncertain,
            .retry_after = options_.retry_after,
            .reason = std::move(reason)};
  }

  // The store and the workers, in control_state_store.hpp, and what concerns
  // several cells, in control_state_cells.hpp.
  void HandleReply(const append_reply& reply, time_point now, wall_time wall);
  void HandleReply(read_reply reply, time_point now, wall_time wall);
  template <class OrderReply>
  requires requires(OrderReply reply) { reply.worker; }
  void HandleReply(const OrderReply& reply,
                   time_point now,
                   wall_time /*wall*/) {
    if (cell* const worker_cell = CellOfWorker(reply.worker)) {
      worker_cell->Handle(reply, now);
    }
  }
  void HandleReply(const jobs::permit_reply& reply,
                   time_point now,
                   wall_time wall);
  void HandleReply(const machine_page_reply& reply,
                   time_point now,
                   wall_time wall);
  void ApplyConfiguration(const jobs::reader_update& update);
  void ApplyFleetMap(const jobs::reader_update& update, time_point now);
  void ApplyWorkerList(const jobs::reader_update& update, time_point now);
  void ApplyWorkerEntry(const jobs::topic_record& record, time_point now);
  /// Decodes the entry of a worker that another VM schedules only while its
  /// capacity is not known: entries are frequent, and it rarely changes.
  void CountWorkerOfOtherOwner(const jobs::topic_record& record,
                               jobs::cell_id holder);
  /// Takes a worker out of use whose entry could not be decoded.
  void RejectWorkerEntry(const jobs::topic_record& record,
                         const failure& error,
                         time_point now);
  void CreateCells(jobs::fleet_map map);
  /// Writes a fleet map if the store has none, once the list of workers is
  /// complete or the time limit of bootstrap_ has passed.
  void WriteFleetMap(time_point now);
  /// The cell whose owner may have started tasks on the worker, by the log of
  /// the cell.
  std::optional<jobs::cell_id> CellThatHolds(const std::string& worker) const;
  /// The cell of a listed worker: the one that holds it, so that two owners
  /// never order one worker, or else that of its rack.
  jobs::cell_id CellFor(const jobs::worker_entry& entry) const;
  /// The cell of a listed worker; null for an unknown one.
  cell* CellOfWorker(const std::string& worker);
  cell& HomeOf(jobs::job_id job) { return *cells_[map_->HomeOf(job)]; }
  /// The cell that runs a job, or its home cell while the job is not known.
  cell& RunningCellOf(jobs::job_id job);
  /// Chooses the cell that runs a new job: its home cell or, for a long-running
  /// job, the cell with the lowest load of long-running jobs.
  jobs::cell_id ChooseCell(jobs::job_id job, const jobs::job_spec& spec) const;
  /// Passes on the records in the log of @p from that also concern other cells.
  void ForwardToOtherCells(cell& from, time_point now, wall_time wall);
  /// Passes on the jobs of which one cell has delegated tasks to another.
  void ForwardDelegatedJobs(time_point now, wall_time wall);
  void ForwardDelegatedJob(const cell& from,
                           jobs::job_id job,
                           time_point now,
                           wall_time wall);
  /// Tells each cell that this VM owns what room the owners of the others have
  /// stated.
  void ForwardStatedRooms();
  /// Tells the cells that run the jobs which of their delegated tasks were
  /// given back, and those that gave them back once this is settled.
  void ForwardReturnedTasks(time_point now);
  /// Whether this VM schedules the tasks of a cell.
  bool AnyCellActive() const;
  /// Whether this VM reads the list of workers: to schedule tasks or to divide
  /// the fleet.
  bool FollowsWorkers() const;
  void LogRejectedRecord(topic_kind kind,
                         std::uint64_t offset,
                         const failure& error);
  void SendCalls(time_point now);
  /// Requests the next page of the list of machines while an owner on this VM
  /// waits for it.
  void ReadMachines(time_point now);
  void UpdateGauges(time_point now);
  /// Updates the gauges of the free room in the cells that this VM owns. Those
  /// of a cell that it has lost are set to zero once.
  void UpdateRoomGauges(time_point now);

  const control_options options_;
  Platform& platform_;
  Callers& callers_;
  control_metrics metrics_;
  std::shared_ptr<const jobs::fleet_configuration> configuration_;
  topic_follower configuration_follower_;
  topic_follower worker_follower_;
  topic_follower map_follower_;
  jobs::fleet_bootstrap bootstrap_;
  jobs::machine_list_reader machine_list_reader_;
  std::optional<jobs::fleet_map> map_;
  /// The cells keep a reference to map_.
  std::vector<std::unique_ptr<cell>> cells_;
  jobs::worker_cells worker_cells_;
  rejected_entries rejected_entries_;
  /// A long-running job that was submitted here and has not been read from a
  /// log yet. ChooseCell counts it as load of its cell.
  struct unconfirmed_submission {
    jobs::cell_id cell = 0;
    std::int64_t millicores = 0;
  };
  std::map<jobs::job_id, unconfirmed_submission> unconfirmed_submissions_;
  std::deque<lookup> lookups_;
  time_point next_gauge_update_;
  std::set<jobs::cell_id> cells_with_room_gauges_;
  bool stopping_ = false;
};

}  // namespace skylarkbridge::control

#include "skylarkbridge/control/control_state_callers.hpp"
#include "skylarkbridge/control/control_state_cells.hpp"
#include "skylarkbridge/control/control_state_fleet_map.hpp"
#include "skylarkbridge/control/control_state_gauges.hpp"
#include "skylarkbridge/control/control_state_store.hpp"

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_HPP
