#ifndef SKYLARKBRIDGE_CONTROL_FLEET_CELL_OWNER_HPP
#define SKYLARKBRIDGE_CONTROL_FLEET_CELL_OWNER_HPP

#include "skylarkbridge/control/fleet_cell.hpp"

/// @brief The part of fleet_cell that owns the cell.
namespace skylarkbridge::control {

template <fleet_platform Platform>
void fleet_cell<Platform>::TakeClaimReply(const append_reply& reply,
                                          time_point now) {
  refresh_wanted_ = true;
  const bool in_doubt = claim_in_doubt_;
  claim_in_doubt_ |= reply.result == store_result::kNoAnswer;
  if (writer_.Handle(reply, now) || reply.result == store_result::kNoAnswer ||
      reply.result == store_result::kRefused ||
      reply.result == store_result::kNotSent) {
    return;
  }
  // Another VM was first, or the log has moved on. After an attempt without an
  // answer this may be due to the claim itself, so the log is read first.
  writer_.End();
  if (!in_doubt || claim_refused_at_) {
    claiming_ = false;
    ownership_.ClaimFailed();
  } else {
    claim_refused_at_ = now;
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::MaintainOwnership(std::size_t others,
                                             bool may_claim,
                                             time_point now,
                                             wall_time wall) {
  if (scheduler_.Active() && (scheduler_.Fenced() || !ownership_.Owner())) {
    LoseOwnership(scheduler_.Fenced() ? "a worker has seen a higher epoch"
                                      : "another VM has claimed it");
  }
  if (std::exchange(claim_seen_, false)) {
    BeginOwnership(now, wall);
  }
  if (claim_refused_at_ && follower_.Reader().CurrentAt() &&
      *follower_.Reader().CurrentAt() > *claim_refused_at_) {
    claim_refused_at_.reset();
    if (claiming_) {
      claiming_ = false;
      ownership_.ClaimFailed();
    }
  }
  if (claiming_ || stopping_ || !may_claim || configuration_ == nullptr) {
    return;
  }
  const bool predecessor_released = ownership_.NewestRecord().released;
  if (const auto claim = ownership_.NextClaim(now, others)) {
    claiming_ = true;
    writer_.Begin(claim->claim, options_.first_sequence);
    claim_in_doubt_ = false;
    claim_refused_at_.reset();
    claim_sent_ = now;
    // A claim that the store takes late finds the log further on.
    writer_.Write({records::Encode(*claim)}, follower_.Reader().NextOffset());
    LogEvent(kOwnershipClaimed,
             {{"cell", CellText()},
              {"epoch", absl::StrCat(claim->claim)},
              {"reason", predecessor_released ? "released" : "silent"}});
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::BeginOwnership(time_point now, wall_time wall) {
  claiming_ = false;
  ownership_.ClaimAccepted(claim_sent_);
  if (!ownership_.Owner()) {
    writer_.End();
    return;
  }
  writer_.Begin(ownership_.Own(), options_.first_sequence + 1);
  LogEvent(kOwnershipTaken, {{"cell", CellText()},
                             {"epoch", absl::StrCat(ownership_.Own())},
                             {"jobs", absl::StrCat(book_.Jobs().size())},
                             {"leased", absl::StrCat(leased_.workers.size())}});
  scheduler_.Begin(ownership_.Own(), book_, leased_.workers,
                   ownership_.PredecessorsStopBy(now), now, wall);
  scheduler_.Configure(configuration_);
  workers_wanted_ = true;
  follower_.Reader().SetPause(options_.owner_pause);
}

template <fleet_platform Platform>
void fleet_cell<Platform>::LoseOwnership(std::string_view reason) {
  LogEvent(kOwnershipLost, {{"cell", CellText()},
                            {"epoch", absl::StrCat(ownership_.Own())},
                            {"newest", absl::StrCat(ownership_.Newest())},
                            {"owner", std::string(reason)}});
  ownership_.Fenced(0);
  scheduler_.End();
  writer_.End();
  follower_.Reader().SetPause(follower_pause_);
}

template <fleet_platform Platform>
void fleet_cell<Platform>::WriteOwnerRecords(time_point now) {
  if (!ownership_.Owner() || claiming_ || !writer_.MayWrite(now) ||
      releasing_) {
    return;
  }
  std::vector<records::keyed_record> batch;
  if (const auto confirmation = ownership_.NextConfirmation(now)) {
    batch.push_back(records::Encode(*confirmation));
    for (const jobs::job_id job :
         book_.EndedBefore(now - options_.ended_job_retention,
                           options_.max_drops_per_write)) {
      for (records::keyed_record& record : records::EncodeDrop(job)) {
        batch.push_back(std::move(record));
      }
    }
  }
  if (scheduler_.HasRecords()) {
    for (const jobs::log_record& record : scheduler_.TakeRecords()) {
      batch.push_back(records::Encode(record));
    }
  }
  writing_number_ = scheduler_.StoreNumber();
  if (batch.empty()) {
    scheduler_.Stored(writing_number_, now);
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
  const bool owner = ownership_.Owner();
  const auto release = ownership_.Release(now);
  if (!owner || !release) {
    return;
  }
  // The successor reads the ends that are not stored yet from the workers.
  if (writer_.Idle()) {
    writer_.Write({records::Encode(*release)});
    releasing_ = true;
  } else {
    pending_release_ = records::Encode(*release);
  }
  scheduler_.End();
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Run(std::size_t others,
                               bool may_claim,
                               time_point now,
                               wall_time wall) {
  if (pending_release_ && writer_.Idle()) {
    writer_.Write({std::move(*pending_release_)});
    pending_release_.reset();
    releasing_ = true;
  }
  MaintainOwnership(others, may_claim, now, wall);
  if (scheduler_.Active()) {
    scheduler_.AllowOrders(ownership_.ConfirmedAt(), ownership_.OrdersUntil());
    scheduler_.Run(now, wall);
    LogNotes();
    SendOrders(now);
    WriteOwnerRecords(now);
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::LogNotes() {
  for (const jobs::scheduling_note& note : scheduler_.TakeNotes()) {
    metrics_.Count(note.event);
    LogEvent(kScheduling, {{"what", std::string(Name(note.event))},
                           {"run", Format(note.run)},
                           {"worker", note.worker},
                           {"detail", note.detail},
                           {"cell", CellText()},
                           {"epoch", absl::StrCat(ownership_.Own())}});
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Send(append_call append, time_point now) {
  ++appends_;
  append.target = {topic_kind::kJobs, cell_};
  append_times_[append.number] = now;
  platform_.Append(std::move(append), now + options_.append_timeout);
}

template <fleet_platform Platform>
void fleet_cell<Platform>::SendCalls(bool may_read_snapshot, time_point now) {
  if (auto append = writer_.Next(now, appends_ + 1)) {
    Send(std::move(*append), now);
  }
  while (auto append = intake_.Next(now, appends_ + 1)) {
    Send(std::move(*append), now);
  }
  if (may_read_snapshot || !follower_.Reader().InSnapshot()) {
    follower_.Send(platform_, now);
  }
  if (refresh_wanted_ && !follower_.Reader().Refreshing()) {
    refresh_wanted_ = false;
    follower_.Refresh(platform_, now);
  }
}

template <fleet_platform Platform>
time_point fleet_cell<Platform>::OrderDeadline(const jobs::order& order,
                                               time_point now) const {
  if (const auto* renewal = std::get_if<jobs::renew_order>(&order)) {
    return now + renewal->wait + options_.renewal_timeout;
  }
  if (const auto* request = std::get_if<jobs::permit_request>(&order)) {
    // The policy answers the calls of one VM in turn.
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
  consider(follower_.Reader().NextDeadline());
  consider(intake_.NextDeadline());
  consider(writer_.NextDeadline());
  if (scheduler_.Active()) {
    consider(scheduler_.NextDeadline(now));
  }
  return next;
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_FLEET_CELL_OWNER_HPP
