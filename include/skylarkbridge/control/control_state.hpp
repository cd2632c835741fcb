#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_HPP

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/control_metrics.hpp"
#include "skylarkbridge/control/control_options.hpp"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/control/fleet_cell.hpp"
#include "skylarkbridge/control/ports.hpp"
#include "skylarkbridge/control/text_format.hpp"
#include "skylarkbridge/control/topic_follower.hpp"
#include "skylarkbridge/jobs/fleet_founding.hpp"
#include "skylarkbridge/records/fleet_map_codec.hpp"

namespace skylarkbridge::control {

/// @brief The control state of one entry VM: the configuration, the cells of
/// the fleet, the list of workers while it owns one, and the callers that wait.
///
/// Owned by the control thread. Replies and requests go in with the time; calls
/// and answers leave through the two ports.
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
        founding_(options_.founding) {}

  void Handle(caller_request request, time_point now, wall_time wall);
  void Handle(platform_reply reply, time_point now, wall_time wall);
  /// @brief Takes the scheduler's settings of a changed settings file.
  void SetSchedulerOptions(const jobs::fleet_scheduler_options& options);
  /// @brief Gives all ownerships up and takes no new one.
  void BeginStop(time_point now, wall_time wall);

  /// @brief Sends what is due. Call after each batch of events and at
  /// NextDeadline.
  void Run(time_point now, wall_time wall);
  time_point NextDeadline(time_point now) const;

  /// @brief Whether callers should be sent here.
  bool Ready(time_point now) const;
  /// @brief Cells that this VM owns.
  std::size_t CellsOwned() const;
  /// @brief Whether nothing that was taken in is left to write.
  bool Settled() const;
  std::uint64_t ConfigurationVersion() const {
    return configuration_ == nullptr ? 0 : configuration_->version;
  }
  /// @brief The fleet's cells; empty until its map is read.
  const std::vector<std::unique_ptr<cell>>& Cells() const { return cells_; }
  /// @brief The home of a job. Only when the map is read.
  const cell& HomeOf(jobs::job_id job) const {
    return *cells_[map_->HomeOf(job)];
  }

 private:
  static constexpr std::chrono::milliseconds kConfigurationWait{600};
  static constexpr std::chrono::milliseconds kWorkerWait{1000};
  static constexpr std::chrono::milliseconds kWorkerPause{150};
  static constexpr std::chrono::milliseconds kMapWait{600};
  static constexpr std::chrono::milliseconds kMeasureInterval{500};
  /// Longest time between two passes.
  static constexpr std::chrono::milliseconds kHousekeeping{100};

  /// A caller whose answer needs a fresh read of the log.
  struct lookup {
    std::uint64_t token = 0;
    jobs::job_id job;
    /// The queue whose waiting jobs are asked for; empty for one job.
    std::string queue;
    caller_method method = caller_method::kQuery;
    time_point asked;
    time_point deadline;
  };

  // Callers.
  void Submit(const caller_request& request,
              const jobs::queue_configuration& queue,
              jobs::job_id job,
              time_point now,
              wall_time wall);
  void Query(const caller_request& request, jobs::job_id job, time_point now);
  void Cancel(const caller_request& request, jobs::job_id job, time_point now);
  std::size_t Pending(std::string_view queue) const;
  void QueryPending(const caller_request& request,
                    const jobs::queue_configuration& queue,
                    time_point now);
  /// Returns false when the caller has to wait on.
  bool AnswerPending(const lookup& entry, time_point now);
  /// Time up to which the logs of all cells have been read; nothing while one
  /// has not been read to its end.
  std::optional<time_point> AllReadAt() const;
  /// Drops what the logs show by now.
  void ForgetHandedIn();
  /// Hands a request to the intake; answers it when the store is away.
  void Store(const intake_item& item, std::string_view method, time_point now);
  void Look(const caller_request& request,
            jobs::job_id job,
            std::chrono::milliseconds limit,
            time_point now);
  void AnswerLookups(time_point now);
  /// Returns false when the caller has to wait on.
  bool AnswerLookup(const lookup& entry, time_point now);
  void Settle(const intake_result& result);
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

  // The store and the workers.
  void Take(const append_reply& reply, time_point now, wall_time wall);
  void Take(read_reply reply, time_point now, wall_time wall);
  template <class OrderReply>
  requires requires(OrderReply reply) { reply.worker; }
  void Take(const OrderReply& reply, time_point now, wall_time /*wall*/) {
    if (cell* const owner = CellOfWorker(reply.worker)) {
      owner->Handle(reply, now);
    }
  }
  void Take(const jobs::permit_reply& reply, time_point now, wall_time wall);
  void TakeConfiguration(const jobs::reader_news& news);
  void TakeFleetMap(const jobs::reader_news& news, time_point now);
  void TakeWorkers(const jobs::reader_news& news, time_point now);
  void TakeWorker(const jobs::topic_record& record, time_point now);
  void Divide(jobs::fleet_map map);
  void Found(time_point now);
  cell* CellOfWorker(const std::string& worker);
  cell& HomeOf(jobs::job_id job) { return *cells_[map_->HomeOf(job)]; }
  /// The cell that runs a job; its home while the job is not known.
  cell& RunnerOf(jobs::job_id job);
  /// The cell that a new job is to run in.
  jobs::cell_id ChooseCell(jobs::job_id job, const jobs::job_spec& spec) const;
  void ForwardForeign(cell& from, time_point now, wall_time wall);
  bool AnyActive() const;
  void LogRejected(topic_kind kind, std::uint64_t offset, const failure& error);
  void SendCalls(time_point now);
  void Measure(time_point now);

  const control_options options_;
  Platform& platform_;
  Callers& callers_;
  control_metrics metrics_;
  std::shared_ptr<const jobs::fleet_configuration> configuration_;
  topic_follower configuration_follower_;
  topic_follower worker_follower_;
  topic_follower map_follower_;
  jobs::fleet_founding founding_;
  std::optional<jobs::fleet_map> map_;
  /// They refer to the map.
  std::vector<std::unique_ptr<cell>> cells_;
  /// The cells of the workers that were listed.
  absl::flat_hash_map<std::string, jobs::cell_id> worker_cells_;
  /// Long-running work that was handed in here and is not yet read from a log.
  struct handed_in {
    jobs::cell_id cell = 0;
    std::int64_t millicores = 0;
  };
  std::map<jobs::job_id, handed_in> handed_in_;
  std::deque<lookup> lookups_;
  time_point next_measure_;
  bool stopping_ = false;
};

}  // namespace skylarkbridge::control

#include "skylarkbridge/control/control_state_callers.hpp"
#include "skylarkbridge/control/control_state_store.hpp"

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_HPP
