#ifndef SKYLARKBRIDGE_CONTROL_FLEET_CELL_OWNER_HPP
#define SKYLARKBRIDGE_CONTROL_FLEET_CELL_OWNER_HPP

#include "skylarkbridge/control/fleet_cell.hpp"

/// @brief Member functions of fleet_cell that claim, keep and release the
/// ownership of the cell and run its scheduler.
namespace skylarkbridge::control {

template <fleet_platform Platform>
void fleet_cell<Platform>::HandleClaimReply(const append_reply& reply,
                                            time_point now) {
  refresh_requested_ = true;
  const bool was_in_doubt = claim_in_doubt_;
  claim_in_doubt_ |= reply.result == store_result::kNoAnswer;
  const bool written = writer_.Handle(reply, now);
  if ((written && reply.result == store_result::kDone) ||
      reply.result == store_result::kNoAnswer ||
      reply.result == store_result::kRefused ||
      reply.result == store_result::kNotSent) {
    return;
  }
  // The store refused the claim because another VM has claimed the cell or the
  // log has new records. After an attempt without an answer the new record may
  // be the claim itself, so the log is read before the claim counts as failed.
  writer_.DiscardWrite();
  if (!was_in_doubt || claim_refused_at_) {
    claiming_ = false;
    ownership_.ClaimFailed();
  } else {
    claim_refused_at_ = now;
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::MaintainOwnership(
    std::size_t other_owned_cells,
    std::optional<time_point> all_read_until,
    time_point now,
    wall_time wall) {
  if (scheduler_.Active() && (scheduler_.Fenced() || !ownership_.IsOwner())) {
    LoseOwnership(scheduler_.Fenced()
                      ? "a worker has seen a higher fencing token"
                      : "another VM has claimed it");
  }
  if (std::exchange(own_claim_read_, false)) {
    BeginOwnership(now, wall);
  }
  if (claim_refused_at_ && follower_.Reader().CompleteUntil() &&
      *follower_.Reader().CompleteUntil() > *claim_refused_at_) {
    claim_refused_at_.reset();
    if (claiming_) {
      claiming_ = false;
      ownership_.ClaimFailed();
    }
  }
  if (claiming_ || stopping_ || !all_read_until || configuration_ == nullptr ||
      now >= *all_read_until + kMaxClaimReadAge) {
    return;
  }
  if (const auto claim =
          ownership_.NextClaim(now, other_owned_cells, *all_read_until)) {
    claiming_ = true;
    writer_.Begin(claim->claim_epoch, options_.first_sequence);
    claim_in_doubt_ = false;
    claim_refused_at_.reset();
    claim_sent_at_ = now;
    // The claim is bound to the current end of the log, so that a delayed claim
    // fails once other records have been appended.
    writer_.Write({records::Encode(*claim)}, follower_.Reader().NextOffset());
    LogEvent(kOwnershipClaimed,
             {{"cell", FormatCell()},
              {"epoch", absl::StrCat(claim->claim_epoch)},
              {"reason", std::string(Name(ownership_.ClaimReason()))}});
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::BeginOwnership(time_point now, wall_time wall) {
  claiming_ = false;
  ownership_.ClaimAccepted(claim_sent_at_);
  if (!ownership_.IsOwner()) {
    writer_.DiscardWrite();
    return;
  }
  writer_.Begin(ownership_.OwnEpoch(), options_.first_sequence + 1);
  LogEvent(kOwnershipTaken, {{"cell", FormatCell()},
                             {"epoch", absl::StrCat(ownership_.OwnEpoch())},
                             {"jobs", absl::StrCat(registry_.Jobs().size())},
                             {"leased", absl::StrCat(leased_.workers.size())}});
  scheduler_.BeginOwnership(ownership_.OwnEpoch(), registry_, leased_,
                            leased_read_at_,
                            ownership_.PredecessorOrdersUntil(now), now, wall);
  logged_counts_ = {};
  next_state_line_ = now + kStateInterval;
  scheduler_.BeginReturns(returned_);
  scheduler_.Configure(configuration_);
  worker_list_needed_ = true;
  follower_.Reader().SetPause(options_.owner_pause);
}

template <fleet_platform Platform>
void fleet_cell<Platform>::LoseOwnership(std::string_view reason) {
  LogEvent(kOwnershipLost, {{"cell", FormatCell()},
                            {"epoch", absl::StrCat(ownership_.OwnEpoch())},
                            {"newest", absl::StrCat(ownership_.NewestEpoch())},
                            {"owner", std::string(reason)}});
  // 0 drops the ownership whatever its epoch is.
  ownership_.Fenced(0);
  scheduler_.EndOwnership();
  writer_.DiscardWrite();
  follower_.Reader().SetPause(follower_pause_);
}

template <fleet_platform Platform>
std::vector<jobs::job_id> fleet_cell<Platform>::JobsToDrop(
    time_point now) const {
  std::vector<jobs::job_id> drops;
  for (const jobs::job_id job :
       registry_.EndedBefore(now - options_.ended_job_retention)) {
    if (map_.HomeOf(job) == cell_) {
      drops.push_back(job);
    }
  }
  for (const auto& [job, since] : progress_without_job_) {
    // An acceptance is written before any progress, so that a log read since
    // shows it unless the job was dropped.
    if (other_logs_read_until_ && since < *other_logs_read_until_) {
      drops.push_back(job);
    }
  }
  drops.resize(std::min(drops.size(), options_.max_drops_per_write));
  return drops;
}

template <fleet_platform Platform>
void fleet_cell<Platform>::WriteOwnerRecords(std::size_t other_owned_cells,
                                             time_point now) {
  if (!ownership_.IsOwner() || claiming_ || !writer_.MayWrite(now) ||
      releasing_) {
    return;
  }
  std::vector<records::keyed_record> batch;
  if (auto confirmation = ownership_.NextConfirmation(now, other_owned_cells)) {
    if (map_.cells > 1) {
      confirmation->room = scheduler_.RoomForOtherCells(now);
    }
    batch.push_back(records::Encode(*confirmation));
    for (const jobs::job_id job : JobsToDrop(now)) {
      for (records::keyed_record& record : records::EncodeDrop(job)) {
        batch.push_back(std::move(record));
      }
    }
  }
  for (const jobs::job_id job : registry_.JobsWithOverwrittenCell()) {
    batch.push_back(records::Encode(AcceptedRecord(job)));
  }
  if (!batch.empty() || scheduler_.HasRecords()) {
    for (const jobs::log_record& record : scheduler_.TakeRecords(now)) {
      records::keyed_record encoded = records::Encode(record);
      if (encoded.Bytes() <= options_.max_record_bytes) {
        batch.push_back(std::move(encoded));
      } else if (auto end = FailUnstorable(encoded)) {
        batch.push_back(std::move(*end));
      }
    }
  }
  written_batch_number_ = scheduler_.WriteNumber();
  if (batch.empty()) {
    scheduler_.RecordsStored(written_batch_number_, now);
  } else {
    writer_.Write(std::move(batch));
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::BeginStop(time_point now) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  const bool owner = ownership_.IsOwner();
  const auto release = ownership_.Release(now);
  if (!owner || !release) {
    return;
  }
  // The release does not wait for run ends that are not stored yet: the next
  // owner reads them from the workers.
  if (writer_.Idle()) {
    writer_.Write({records::Encode(*release)});
    releasing_ = true;
  } else {
    pending_release_ = records::Encode(*release);
  }
  scheduler_.EndOwnership();
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Run(std::size_t other_owned_cells,
                               std::optional<time_point> all_read_until,
                               time_point now,
                               wall_time wall) {
  if (pending_release_ && writer_.Idle()) {
    writer_.Write({std::move(*pending_release_)});
    pending_release_.reset();
    releasing_ = true;
  }
  MaintainOwnership(other_owned_cells, all_read_until, now, wall);
  if (scheduler_.Active()) {
    scheduler_.AllowOrders(ownership_.ConfirmedAt(), ownership_.OrdersUntil());
    scheduler_.Run(now, wall);
    LogSchedulingNotes();
    LogRestartReport();
    LogState(now);
    SendOrders(now);
    WriteOwnerRecords(other_owned_cells, now);
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Send(append_call append, time_point now) {
  ++last_append_number_;
  append.target = {topic_kind::kJobs, cell_};
  append_sent_at_[append.number] = now;
  platform_.Append(std::move(append), now + options_.append_timeout);
}

template <fleet_platform Platform>
void fleet_cell<Platform>::SendCalls(bool may_read_snapshot, time_point now) {
  if (auto append = writer_.Next(now, last_append_number_ + 1)) {
    Send(std::move(*append), now);
  }
  while (auto append = request_writer_.Next(now, last_append_number_ + 1)) {
    Send(std::move(*append), now);
  }
  snapshot_deferred_ = !may_read_snapshot && follower_.Reader().InSnapshot();
  if (!snapshot_deferred_) {
    follower_.Send(platform_, now);
  }
  if (refresh_requested_ && !follower_.Reader().Refreshing()) {
    refresh_requested_ = false;
    follower_.Refresh(platform_, now);
  }
}

template <fleet_platform Platform>
time_point fleet_cell<Platform>::OrderDeadline(const jobs::order& order,
                                               time_point now) const {
  if (const auto* renewal = std::get_if<jobs::renew_order>(&order)) {
    return renewal->answer_by;
  }
  if (const auto* request = std::get_if<jobs::permit_request>(&order)) {
    // The placement policy handles one request of a VM at a time, so the
    // timeout allows for an earlier request as well.
    return now + options_.order_timeout + 2 * request->expected;
  }
  return now + options_.order_timeout;
}

template <fleet_platform Platform>
void fleet_cell<Platform>::SendOrders(time_point now) {
  for (const jobs::order& order : scheduler_.TakeOrders()) {
    platform_.SendOrder(order, OrderDeadline(order, now));
  }
}

template <fleet_platform Platform>
time_point fleet_cell<Platform>::NextDeadline(time_point now) const {
  time_point next = time_point::max();
  const auto consider = [&next](std::optional<time_point> at) {
    if (at) {
      next = std::min(next, *at);
    }
  };
  if (!snapshot_deferred_) {
    consider(follower_.Reader().NextDeadline());
  }
  consider(request_writer_.NextDeadline());
  consider(writer_.NextDeadline());
  if (scheduler_.Active()) {
    consider(scheduler_.NextDeadline(now));
  }
  return next;
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_FLEET_CELL_OWNER_HPP
