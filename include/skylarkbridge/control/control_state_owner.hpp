#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_OWNER_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_OWNER_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that owns the fleet.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::TakeClaimReply(const append_reply& reply,
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

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::MaintainOwnership(time_point now,
                                                         wall_time wall) {
  if (scheduler_.Active() && (scheduler_.Fenced() || !ownership_.Owner())) {
    LoseOwnership(scheduler_.Fenced() ? "a worker has seen a higher epoch"
                                      : "another VM has claimed it");
  }
  if (std::exchange(claim_seen_, false)) {
    BeginOwnership(now, wall);
  }
  if (claim_refused_at_ && job_reader_.CurrentAt() &&
      *job_reader_.CurrentAt() > *claim_refused_at_) {
    claim_refused_at_.reset();
    if (claiming_) {
      claiming_ = false;
      ownership_.ClaimFailed();
    }
  }
  if (claiming_ || stopping_ || configuration_ == nullptr) {
    return;
  }
  const bool predecessor_released = ownership_.NewestRecord().released;
  if (const auto claim = ownership_.NextClaim(now)) {
    claiming_ = true;
    writer_.Begin(claim->claim, options_.first_sequence);
    claim_in_doubt_ = false;
    claim_refused_at_.reset();
    claim_sent_ = now;
    // A claim that the store takes late finds the log further on.
    writer_.Write({records::Encode(*claim)}, job_reader_.NextOffset());
    LogEvent(kOwnershipClaimed,
             {{"epoch", absl::StrCat(claim->claim)},
              {"reason", predecessor_released ? "released" : "silent"}});
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::BeginOwnership(time_point now,
                                                      wall_time wall) {
  claiming_ = false;
  ownership_.ClaimAccepted(claim_sent_);
  if (!ownership_.Owner()) {
    writer_.End();
    return;
  }
  writer_.Begin(ownership_.Own(), options_.first_sequence + 1);
  LogEvent(kOwnershipTaken, {{"epoch", absl::StrCat(ownership_.Own())},
                             {"jobs", absl::StrCat(book_.Jobs().size())},
                             {"leased", absl::StrCat(leased_.workers.size())}});
  scheduler_.Begin(ownership_.Own(), book_, leased_.workers,
                   ownership_.PredecessorStopsBy(now), now, wall);
  scheduler_.Configure(configuration_);
  worker_reader_ =
      jobs::topic_reader({.wait = kWorkerWait, .pause = kWorkerPause});
  job_reader_.SetPause(options_.owner_pause);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::LoseOwnership(std::string_view reason) {
  LogEvent(kOwnershipLost, {{"epoch", absl::StrCat(ownership_.Own())},
                            {"newest", absl::StrCat(ownership_.Newest())},
                            {"owner", std::string(reason)}});
  ownership_.Fenced(0);
  scheduler_.End();
  writer_.End();
  job_reader_.SetPause(options_.follower_pause);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::WriteOwnerRecords(time_point now) {
  if (!ownership_.Owner() || claiming_ || !writer_.Idle() || releasing_) {
    return;
  }
  std::vector<records::keyed_record> batch;
  if (const auto confirmation = ownership_.NextConfirmation(now)) {
    batch.push_back(records::Encode(*confirmation));
    for (const jobs::job_id job :
         book_.EndedBefore(now - options_.keep_ended, options_.drop_batch)) {
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

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::BeginStop(time_point now) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  const bool owner = ownership_.Owner();
  const auto release = ownership_.Release();
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
  Run(now, {});
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Run(time_point now, wall_time wall) {
  if (pending_release_ && writer_.Idle()) {
    writer_.Write({std::move(*pending_release_)});
    pending_release_.reset();
    releasing_ = true;
  }
  for (const intake_result& result : intake_.Expire(now)) {
    Settle(result);
  }
  AnswerLookups(now);
  MaintainOwnership(now, wall);
  if (scheduler_.Active()) {
    scheduler_.AllowOrders(ownership_.ConfirmedAt(), ownership_.OrdersUntil());
    scheduler_.Run(now, wall);
    for (const jobs::scheduling_note& note : scheduler_.TakeNotes()) {
      metrics_.Count(note.event);
      LogEvent(kScheduling, {{"what", std::string(Name(note.event))},
                             {"run", Format(note.run)},
                             {"worker", note.worker},
                             {"detail", note.detail},
                             {"epoch", absl::StrCat(ownership_.Own())}});
    }
    SendOrders(now);
    WriteOwnerRecords(now);
  }
  SendCalls(now);
  Measure(now);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Send(append_call append,
                                            time_point now) {
  ++appends_;
  append_times_[append.number] = now;
  platform_.Append(std::move(append), now + options_.append_timeout);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Measure(time_point now) {
  if (now < next_measure_) {
    return;
  }
  next_measure_ = now + kMeasureInterval;
  metrics_.owner.Set(ownership_.Owner() ? 1 : 0);
  metrics_.newest_epoch.Set(static_cast<std::int64_t>(ownership_.Newest()));
  metrics_.configuration_version.Set(
      static_cast<std::int64_t>(ConfigurationVersion()));
  metrics_.jobs_known.Set(static_cast<std::int64_t>(book_.Jobs().size()));
  metrics_.steps_ready.Set(
      static_cast<std::int64_t>(scheduler_.Jobs().ReadySteps().size()));
  metrics_.workers_usable.Set(
      static_cast<std::int64_t>(scheduler_.UsableWorkers(now)));
  metrics_.intake_waiting.Set(static_cast<std::int64_t>(intake_.Waiting()));
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::SendCalls(time_point now) {
  if (auto append = writer_.Next(now, appends_ + 1)) {
    Send(std::move(*append), now);
  }
  while (auto append = intake_.Next(now, appends_ + 1)) {
    Send(std::move(*append), now);
  }
  const auto send = [&](topic source,
                        const std::optional<jobs::reader_call>& call) {
    if (!call) {
      return;
    }
    const time_point deadline =
        call->snapshot ? now + options_.snapshot_timeout
                       : now + call->tail->wait + options_.read_timeout;
    platform_.Read(source, *call, deadline);
  };
  send(topic::kConfiguration, configuration_reader_.Next(now));
  send(topic::kJobs, job_reader_.Next(now));
  if (std::exchange(refresh_wanted_, false)) {
    send(topic::kJobs, job_reader_.Refresh(now));
  }
  if (scheduler_.Active()) {
    send(topic::kWorkers, worker_reader_.Next(now));
  }
}

template <fleet_platform Platform, caller_port Callers>
time_point control_state<Platform, Callers>::OrderDeadline(
    const jobs::order& order,
    time_point now) const {
  if (const auto* renewal = std::get_if<jobs::renew_order>(&order)) {
    return now + renewal->wait + options_.renewal_timeout;
  }
  return now + options_.order_timeout;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::SendOrders(time_point now) {
  for (const jobs::order& order : scheduler_.TakeOrders()) {
    platform_.Give(order, OrderDeadline(order, now));
  }
}

template <fleet_platform Platform, caller_port Callers>
time_point control_state<Platform, Callers>::NextDeadline(
    time_point now) const {
  time_point next = now + kHousekeeping;
  const auto consider = [&next](std::optional<time_point> at) {
    if (at) {
      next = std::min(next, *at);
    }
  };
  consider(configuration_reader_.NextDeadline());
  consider(job_reader_.NextDeadline());
  consider(intake_.NextDeadline());
  consider(writer_.NextDeadline());
  if (scheduler_.Active()) {
    consider(worker_reader_.NextDeadline());
    consider(scheduler_.NextDeadline(now));
  }
  return std::max(next, now);
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::Ready(time_point now) const {
  const auto current = job_reader_.CurrentAt();
  return !stopping_ && configuration_ != nullptr && current &&
         now < *current + options_.ready_limit;
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_OWNER_HPP
