#ifndef SKYLARKBRIDGE_CONTROL_FLEET_CELL_HPP
#define SKYLARKBRIDGE_CONTROL_FLEET_CELL_HPP

#include <algorithm>
#include <cstdint>
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
#include "skylarkbridge/control/control_options.hpp"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/control/intake.hpp"
#include "skylarkbridge/control/owner_writer.hpp"
#include "skylarkbridge/control/ports.hpp"
#include "skylarkbridge/control/text_format.hpp"
#include "skylarkbridge/control/topic_follower.hpp"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"
#include "skylarkbridge/jobs/job_book.hpp"
#include "skylarkbridge/jobs/ownership.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::control {

/// @brief One cell as one VM sees it: the fold of its log, what callers hand in
/// for it, its ownership, and its scheduler while this VM owns it.
///
/// Cells share nothing but the thread: each has its own jobs, workers, epochs
/// and topic.
template <fleet_platform Platform>
class fleet_cell {
 public:
  fleet_cell(const control_options& options,
             jobs::cell_id cell,
             const jobs::fleet_map& map,
             Platform& platform,
             control_metrics& metrics)
      : options_(options),
        cell_(cell),
        map_(map),
        follower_pause_(FollowerPause(options, map.cells)),
        platform_(platform),
        metrics_(metrics),
        follower_({topic_kind::kJobs, cell},
                  {.wait = kJobWait, .pause = follower_pause_},
                  options),
        book_(cell),
        ownership_(options.ownership),
        scheduler_(options.scheduler),
        intake_(options.intake),
        writer_({.retry = options.writer.retry,
                 .interval = WriteInterval(options, map.cells)}) {}
  fleet_cell(const fleet_cell&) = delete;
  fleet_cell& operator=(const fleet_cell&) = delete;

  /// @brief Replies of the store; what callers handed in is settled by them.
  std::vector<intake_result> Handle(const append_reply& reply, time_point now);
  void Handle(read_reply reply, time_point now, wall_time wall);
  /// @brief Records that were read here and concern another cell too: of jobs
  /// that another cell runs, or that another cell is the home of.
  std::vector<jobs::log_record> TakeCrossCellRecords() {
    return std::exchange(foreign_, {});
  }
  /// @brief Takes such a record of another cell.
  void ApplyCrossCellRecord(jobs::log_record record,
                            time_point now,
                            wall_time wall);
  /// @brief Replies of the cell's workers.
  template <class OrderReply>
  void Handle(const OrderReply& reply, time_point now) {
    scheduler_.Handle(reply, now);
  }

  void Configure(std::shared_ptr<const jobs::fleet_configuration> next) {
    configuration_ = std::move(next);
    scheduler_.Configure(configuration_);
  }
  void SetSchedulerOptions(const jobs::fleet_scheduler_options& options) {
    scheduler_.SetOptions(options);
  }
  void WorkerListed(const jobs::worker_entry& entry, time_point now);
  void WorkerUnlisted(const std::string& worker, time_point now);
  /// @brief Workers that a complete list does not name are gone.
  void UnlistMissingWorkers(const std::set<std::string>& listed,
                            time_point now);
  /// @brief Whether the cell has just been taken over and needs the list of
  /// workers; asked once.
  bool TakeWorkerListRequest() { return std::exchange(workers_wanted_, false); }

  /// @brief Hands a record in; returns false when the store is away.
  bool EnqueueAppend(const intake_item& item, time_point now) {
    return intake_.Add(item, now);
  }
  bool InDoubt(const records::keyed_record& record) const {
    return intake_.InDoubt(record);
  }
  /// @brief What callers handed in and has run out of time.
  std::vector<intake_result> Expire(time_point now) {
    return intake_.Expire(now);
  }

  /// @brief Keeps the ownership and gives orders.
  /// @param others cells that this VM owns or claims beside this one.
  /// @param may_claim whether the logs of all cells have been read; jobs that
  /// this one runs stand in the others too.
  void Run(std::size_t others, bool may_claim, time_point now, wall_time wall);
  /// @param may_read_snapshot whether a read of the whole log may be sent.
  void SendCalls(bool may_read_snapshot, time_point now);
  time_point NextDeadline(time_point now) const;
  /// @brief Gives the ownership up and takes no new one.
  void BeginStop(time_point now);
  /// @brief Asks for a read of the log that is sent from now on.
  void RequestRefresh() { refresh_wanted_ = true; }

  bool IsOwner() const { return ownership_.Owner(); }
  /// @brief Whether this VM owns the cell or is about to.
  bool IsOwnerOrClaiming() const { return claiming_ || ownership_.Owner(); }
  bool Active() const { return scheduler_.Active(); }
  jobs::epoch NewestEpoch() const { return ownership_.Newest(); }
  bool Settled() const {
    return intake_.Idle() && !pending_release_ &&
           (!releasing_ || writer_.Idle());
  }
  std::size_t IntakeWaiting() const { return intake_.Waiting(); }
  const jobs::topic_reader& Reader() const { return follower_.Reader(); }
  const jobs::job_book& Book() const { return book_; }
  const jobs::fleet_scheduler& Scheduler() const { return scheduler_; }

 private:
  static constexpr std::chrono::milliseconds kJobWait{800};

  // The log.
  void TakeRecords(const jobs::reader_news& news,
                   time_point now,
                   wall_time wall);
  void ApplyRecord(jobs::log_record record,
                   std::uint64_t offset,
                   time_point now,
                   wall_time wall);
  void Apply(jobs::job_accepted record,
             std::uint64_t offset,
             time_point now,
             wall_time wall);
  void Apply(const jobs::job_cancelled& record,
             std::uint64_t offset,
             time_point now);
  void Apply(jobs::job_advanced record, std::uint64_t offset, time_point now);
  void Apply(const jobs::job_dropped& record);
  void Apply(const jobs::ownership_record& record, time_point now);
  void ForgetMissing(const std::set<std::string>& keys);

  // Ownership.
  void MaintainOwnership(std::size_t others,
                         bool may_claim,
                         time_point now,
                         wall_time wall);
  void TakeClaimReply(const append_reply& reply, time_point now);
  void BeginOwnership(time_point now, wall_time wall);
  void LoseOwnership(std::string_view reason);
  void WriteOwnerRecords(time_point now);
  void LogNotes();
  void SendOrders(time_point now);
  time_point OrderDeadline(const jobs::order& order, time_point now) const;
  void Send(append_call append, time_point now);
  std::string CellText() const { return absl::StrCat(cell_); }

  const control_options options_;
  const jobs::cell_id cell_;
  const jobs::fleet_map& map_;
  const std::chrono::milliseconds follower_pause_;
  Platform& platform_;
  control_metrics& metrics_;
  std::shared_ptr<const jobs::fleet_configuration> configuration_;
  topic_follower follower_;
  jobs::job_book book_;
  jobs::leased_workers leased_;
  jobs::ownership ownership_;
  jobs::fleet_scheduler scheduler_;
  intake intake_;
  owner_writer writer_;
  std::vector<jobs::log_record> foreign_;
  bool refresh_wanted_ = false;
  bool workers_wanted_ = false;

  std::uint64_t appends_ = 0;
  /// When the appends under way were sent, by number.
  std::map<std::uint64_t, time_point> append_times_;
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
};

}  // namespace skylarkbridge::control

#include "skylarkbridge/control/fleet_cell_log.hpp"
#include "skylarkbridge/control/fleet_cell_owner.hpp"

#endif  // SKYLARKBRIDGE_CONTROL_FLEET_CELL_HPP
