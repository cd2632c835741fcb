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

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/control_metrics.hpp"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/control/intake.hpp"
#include "skylarkbridge/control/owner_writer.hpp"
#include "skylarkbridge/control/ports.hpp"
#include "skylarkbridge/control/scheduling_text.hpp"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"
#include "skylarkbridge/jobs/job_book.hpp"
#include "skylarkbridge/jobs/ownership.hpp"
#include "skylarkbridge/jobs/topic_reader.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::control {

struct control_options {
  jobs::ownership_options ownership;
  jobs::fleet_scheduler_options scheduler;
  intake_options intake;
  owner_writer_options writer;
  /// First number of the owner's writes; drawn at the start of the process, so
  /// that two claims of one epoch differ.
  std::uint64_t first_sequence = 1;
  /// Limits of one call to the store.
  std::chrono::milliseconds append_timeout{800};
  std::chrono::milliseconds read_timeout{400};
  std::chrono::milliseconds snapshot_timeout{1500};
  /// Limits of one order.
  std::chrono::milliseconds order_timeout{700};
  std::chrono::milliseconds renewal_timeout{500};
  /// Pause between reads of the log by a VM that doesn't own the fleet.
  std::chrono::milliseconds follower_pause{200};
  std::chrono::milliseconds owner_pause{25};
  /// Longest wait of a caller for a fresh read of the log.
  std::chrono::milliseconds lookup_timeout{1000};
  /// A caller that names no limit waits so long.
  std::chrono::milliseconds default_patience{2500};
  /// What is refused comes back after this time.
  std::chrono::milliseconds retry_after{1000};
  /// A VM that has not read the log for so long is not ready.
  std::chrono::milliseconds ready_limit{4000};
  /// How long a job's state can be asked for after its end.
  std::chrono::seconds keep_ended{150};
  std::size_t drop_batch = 50;
};

/// @brief The control state of one entry VM: the log's fold, the ownership of
/// the fleet, the scheduler while it is owned, and the callers that wait.
///
/// Owned by the control thread. Replies and requests go in with the time; calls
/// and answers leave through the two ports.
template <fleet_platform Platform, caller_port Callers>
class control_state {
 public:
  control_state(control_options options,
                Platform& platform,
                Callers& callers,
                telemetry::metrics_registry& metrics)
      : options_(std::move(options)),
        platform_(platform),
        callers_(callers),
        metrics_(metrics),
        configuration_reader_({.wait = kConfigurationWait}),
        worker_reader_({.wait = kWorkerWait, .pause = kWorkerPause}),
        job_reader_({.wait = kJobWait, .pause = options_.follower_pause}),
        ownership_(options_.ownership),
        scheduler_(options_.scheduler),
        intake_(options_.intake),
        writer_(options_.writer) {}

  void Handle(caller_request request, time_point now, wall_time wall);
  void Handle(platform_reply reply, time_point now, wall_time wall);
  /// @brief Takes the scheduler's settings of a changed settings file.
  void SetSchedulerOptions(const jobs::fleet_scheduler_options& options) {
    scheduler_.SetOptions(options);
  }
  /// @brief Gives the ownership up and takes no new one.
  void BeginStop(time_point now);

  /// @brief Sends what is due. Call after each batch of events and at
  /// NextDeadline.
  void Run(time_point now, wall_time wall);
  time_point NextDeadline(time_point now) const;

  /// @brief Whether callers should be sent here.
  bool Ready(time_point now) const;
  bool Owner() const { return ownership_.Owner(); }
  /// @brief Whether nothing that was taken in is left to write.
  bool Settled() const {
    return intake_.Idle() && lookups_.empty() && !pending_release_ &&
           (!releasing_ || writer_.Idle());
  }
  std::uint64_t ConfigurationVersion() const {
    return configuration_ == nullptr ? 0 : configuration_->version;
  }
  const jobs::job_book& Book() const { return book_; }
  const jobs::fleet_scheduler& Scheduler() const { return scheduler_; }

 private:
  static constexpr std::chrono::milliseconds kConfigurationWait{600};
  static constexpr std::chrono::milliseconds kWorkerWait{1000};
  static constexpr std::chrono::milliseconds kWorkerPause{150};
  static constexpr std::chrono::milliseconds kJobWait{800};
  static constexpr std::chrono::milliseconds kMeasureInterval{500};
  /// Longest time between two passes.
  static constexpr std::chrono::milliseconds kHousekeeping{100};

  /// A caller that asked for a job that is not known here.
  struct lookup {
    std::uint64_t token = 0;
    jobs::job_id job;
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
  /// Hands a request to the intake; answers it when the store is away.
  void Store(const intake_item& item, std::string_view method, time_point now);
  void Reply(std::uint64_t token,
             std::optional<jobs::job_id> job,
             std::string_view method,
             caller_answer answer);
  void Settle(const intake_result& result);
  void AnswerLookups(time_point now);
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

  // The store.
  void Take(const append_reply& reply, time_point now, wall_time wall);
  void Take(read_reply reply, time_point now, wall_time wall);
  template <class Order>
  void Take(const Order& reply, time_point now, wall_time /*wall*/) {
    scheduler_.Handle(reply, now);
  }
  void TakeClaimReply(const append_reply& reply, time_point now);
  void TakeConfiguration(const jobs::reader_news& news);
  void TakeWorkers(const jobs::reader_news& news, time_point now);
  void TakeJobs(const jobs::reader_news& news, time_point now, wall_time wall);
  void Apply(jobs::log_record record,
             std::uint64_t offset,
             time_point now,
             wall_time wall);
  void ForgetMissing(const std::set<std::string>& keys);
  jobs::topic_reader& Reader(topic source);
  void NoteStore(topic source, store_result result, bool failed);

  // Ownership.
  void MaintainOwnership(time_point now, wall_time wall);
  void BeginOwnership(time_point now, wall_time wall);
  void LoseOwnership(std::string_view reason);
  void WriteOwnerRecords(time_point now);
  void SendCalls(time_point now);
  void Send(append_call append, time_point now);
  void Measure(time_point now);
  void SendOrders(time_point now);
  time_point OrderDeadline(const jobs::order& order, time_point now) const;

  const control_options options_;
  Platform& platform_;
  Callers& callers_;
  control_metrics metrics_;
  std::shared_ptr<const jobs::fleet_configuration> configuration_;
  jobs::topic_reader configuration_reader_;
  jobs::topic_reader worker_reader_;
  jobs::topic_reader job_reader_;
  jobs::job_book book_;
  jobs::leased_workers leased_;
  jobs::ownership ownership_;
  jobs::fleet_scheduler scheduler_;
  intake intake_;
  owner_writer writer_;
  std::deque<lookup> lookups_;
  bool refresh_wanted_ = false;

  std::uint64_t appends_ = 0;
  /// When the appends under way were sent, by number.
  std::map<std::uint64_t, time_point> append_times_;
  time_point next_measure_;
  /// A claim is under way; it counts once it is read from the log.
  bool claiming_ = false;
  bool claim_seen_ = false;
  time_point claim_sent_;
  /// An attempt had no answer, so the claim may be stored.
  bool claim_in_doubt_ = false;
  /// The store refused a claim that is in doubt.
  std::optional<time_point> claim_refused_at_;
  /// What the write that is under way holds beside the scheduler's records.
  std::uint64_t writing_number_ = 0;
  bool releasing_ = false;
  /// The release, while an earlier write is under way.
  std::optional<records::keyed_record> pending_release_;
  bool stopping_ = false;
  std::set<topic> lost_;
};

}  // namespace skylarkbridge::control

#include "skylarkbridge/control/control_state_callers.hpp"
#include "skylarkbridge/control/control_state_owner.hpp"
#include "skylarkbridge/control/control_state_store.hpp"

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_HPP
