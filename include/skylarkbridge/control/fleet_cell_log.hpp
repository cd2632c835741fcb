#ifndef SKYLARKBRIDGE_CONTROL_FLEET_CELL_LOG_HPP
#define SKYLARKBRIDGE_CONTROL_FLEET_CELL_LOG_HPP

#include "skylarkbridge/control/fleet_cell.hpp"

/// @brief Member functions of fleet_cell that follow the cell's log and its
/// list of workers.
namespace skylarkbridge::control {

template <fleet_platform Platform>
void fleet_cell<Platform>::WorkerListed(const jobs::worker_entry& entry,
                                        time_point now) {
  if (!scheduler_.Active()) {
    return;
  }
  const auto known = scheduler_.Workers().find(entry.worker);
  const bool changed = known == scheduler_.Workers().end() ||
                       known->second.entry.draining != entry.draining ||
                       known->second.entry.address != entry.address ||
                       known->second.unlisted_since.has_value();
  if (changed) {
    LogEvent(kWorkerListed, {{"worker", entry.worker},
                             {"address", entry.address},
                             {"state", entry.draining ? "draining" : "ready"},
                             {"rack", entry.rack}});
  }
  scheduler_.WorkerListed(entry, now);
}

template <fleet_platform Platform>
void fleet_cell<Platform>::WorkerUnlisted(const std::string& worker,
                                          time_point now) {
  if (scheduler_.Active() && scheduler_.Workers().contains(worker)) {
    LogEvent(kWorkerUnlisted, {{"worker", worker}});
    scheduler_.WorkerUnlisted(worker, now);
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::UnlistMissingWorkers(
    const std::set<std::string>& listed,
    time_point now) {
  for (const auto& [worker, session] : scheduler_.Workers()) {
    if (!listed.contains(worker)) {
      scheduler_.WorkerUnlisted(worker, now);
    }
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::ApplyRecords(const jobs::reader_update& update,
                                        time_point now,
                                        wall_time wall) {
  for (const jobs::topic_record& record : update.records) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          std::optional<std::string_view> value;
          if (record.value) {
            value = *record.value;
          }
          BOOST_LEAF_AUTO(decoded, records::Decode(record.key, value));
          if (decoded) {
            ApplyRecord(std::move(*decoded), record.offset, now, wall);
          }
          return {};
        },
        [&](const failure& error) {
          LogEvent(kRecordRejected, {{"topic", absl::StrCat("jobs.", cell_)},
                                     {"offset", absl::StrCat(record.offset)},
                                     {"error", Format(error)}});
        },
        [] {});
  }
  if (update.snapshot_complete) {
    DropMissingJobs(update.snapshot_keys);
  }
  if (follower_.Reader().CompleteUntil()) {
    ownership_.LogReadToEnd(*follower_.Reader().CompleteUntil(), now);
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::ApplyRecord(jobs::log_record record,
                                       std::uint64_t offset,
                                       time_point now,
                                       wall_time wall) {
  if (auto* const accepted = std::get_if<jobs::job_accepted>(&record)) {
    Apply(std::move(*accepted), offset, now, wall);
  } else if (const auto* const cancelled =
                 std::get_if<jobs::job_cancelled>(&record)) {
    Apply(*cancelled, offset, now);
  } else if (auto* const advanced = std::get_if<jobs::job_advanced>(&record)) {
    Apply(std::move(*advanced), offset, now);
  } else if (const auto* const dropped =
                 std::get_if<jobs::job_dropped>(&record)) {
    Apply(*dropped);
  } else if (const auto* const owner =
                 std::get_if<jobs::ownership_record>(&record)) {
    Apply(*owner, now);
  } else if (auto* const leased = std::get_if<jobs::leased_workers>(&record)) {
    // A snapshot may return the known record again, which is older than that.
    if (leased->claim_epoch >= leased_.claim_epoch && *leased != leased_) {
      leased_read_at_ = now;
      leased_ = std::move(*leased);
      leased_ids_ = {leased_.workers.begin(), leased_.workers.end()};
    }
  } else if (auto* const returned =
                 std::get_if<jobs::returned_tasks>(&record)) {
    if (returned->claim_epoch >= returned_.claim_epoch) {
      returned_ = std::move(*returned);
    }
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Apply(jobs::job_accepted record,
                                 std::uint64_t offset,
                                 time_point now,
                                 wall_time wall) {
  const jobs::job_id job = record.job;
  if (registry_.Apply(std::move(record), now)) {
    const jobs::job_state& state = *registry_.Find(job);
    if (registry_.RunsHere(state)) {
      LogJobKnown(job, offset);
      scheduler_.JobAccepted(job, state, false, now, wall);
      NoteDelegatingJob(job);
      return;
    }
    cross_cell_records_.emplace_back(AcceptedRecord(job));
    if (state.cancelled) {
      cross_cell_records_.emplace_back(jobs::job_cancelled{job});
    }
  }
}

template <fleet_platform Platform>
jobs::job_accepted fleet_cell<Platform>::AcceptedRecord(
    jobs::job_id job) const {
  const jobs::job_state& state = *registry_.Find(job);
  return {.job = job,
          .queue = state.queue,
          .accepted_at = state.accepted_at,
          .spec = state.spec,
          .cell = state.cell,
          .settings = state.settings};
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Apply(const jobs::job_cancelled& record,
                                 std::uint64_t offset,
                                 time_point now) {
  if (registry_.Apply(record, now)) {
    scheduler_.JobCancelled(record.job, now);
    NoteDelegatingJob(record.job);
    if (registry_.RunsHere(*registry_.Find(record.job))) {
      LogJobEnded(record.job, offset);
    } else {
      cross_cell_records_.emplace_back(record);
    }
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Apply(const jobs::job_dropped& record) {
  NoteDelegatingJob(record.job);
  progress_without_job_.erase(record.job);
  if (const jobs::job_state* const state = registry_.Find(record.job);
      state != nullptr && !registry_.RunsHere(*state)) {
    cross_cell_records_.emplace_back(record);
  }
  registry_.Apply(record);
}

template <fleet_platform Platform>
void fleet_cell<Platform>::ApplyCrossCellRecord(jobs::log_record record,
                                                time_point now,
                                                wall_time wall) {
  if (auto* const accepted = std::get_if<jobs::job_accepted>(&record)) {
    const jobs::job_id job = accepted->job;
    progress_without_job_.erase(job);
    if (registry_.Apply(std::move(*accepted), now)) {
      LogJobKnown(job, std::nullopt);
      scheduler_.JobAccepted(job, *registry_.Find(job), true, now, wall);
      NoteDelegatingJob(job);
    }
  } else if (const auto* const cancelled =
                 std::get_if<jobs::job_cancelled>(&record)) {
    if (registry_.Apply(*cancelled, now)) {
      LogJobEnded(cancelled->job, std::nullopt);
      scheduler_.JobCancelled(cancelled->job, now);
      NoteDelegatingJob(cancelled->job);
    }
  } else if (auto* const advanced = std::get_if<jobs::job_advanced>(&record)) {
    registry_.Apply(std::move(*advanced), now);
  } else if (const auto* const dropped =
                 std::get_if<jobs::job_dropped>(&record)) {
    NoteDelegatingJob(dropped->job);
    if (const jobs::job_state* const state = registry_.Find(dropped->job);
        state != nullptr && registry_.RunsHere(*state)) {
      progress_without_job_.try_emplace(dropped->job, now);
    }
    registry_.Apply(*dropped);
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::NoteDelegatingJob(jobs::job_id job) {
  if (const jobs::job_state* const state = registry_.Find(job);
      state != nullptr && registry_.RunsHere(*state) &&
      !jobs::DelegatedCells(state->progress).empty()) {
    changed_delegating_jobs_.insert(job);
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::ApplyDelegatedJob(jobs::job_id job,
                                             const jobs::job_state& running,
                                             time_point now,
                                             wall_time wall) {
  registry_.ApplyDelegated(job, running, now);
  const jobs::job_state& state = *registry_.Find(job);
  if (state.Ended()) {
    scheduler_.JobCancelled(job, now);
  } else if (registry_.HasTasksHere(state)) {
    scheduler_.TasksDelegated(job, state, now, wall);
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::DropDelegatedJob(jobs::job_id job, time_point now) {
  if (const jobs::job_state* const state = registry_.Find(job);
      state != nullptr && state->is_guest) {
    registry_.Apply(jobs::job_dropped{job});
    scheduler_.JobCancelled(job, now);
  }
}

template <fleet_platform Platform>
std::optional<jobs::stated_room> fleet_cell<Platform>::StatedRoom() const {
  const jobs::ownership_record& newest = ownership_.NewestRecord();
  const std::optional<time_point> observed = ownership_.LastObserved();
  const std::optional<time_point> read_until =
      follower_.Reader().CompleteUntil();
  if (newest.released || newest.room.empty() || !observed || !read_until) {
    return std::nullopt;
  }
  return jobs::stated_room{
      .cell = cell_,
      .owner_epoch = newest.claim_epoch,
      .pieces = newest.room,
      .valid_until = std::min(*observed, *read_until) + kMaxRoomAge};
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Apply(jobs::job_advanced record,
                                 std::uint64_t offset,
                                 time_point now) {
  const jobs::job_id job = record.job;
  const bool ended = record.progress.status != jobs::job_status::kOpen;
  const jobs::job_state* const known = registry_.Find(job);
  const bool was_ended = known != nullptr && known->Ended();
  if (map_.HomeOf(job) != cell_) {
    cross_cell_records_.emplace_back(record);
  }
  registry_.Apply(std::move(record), now);
  if (ended && map_.HomeOf(job) != cell_ && registry_.Find(job) == nullptr) {
    progress_without_job_.try_emplace(job, now);
  }
  NoteDelegatingJob(job);
  if (ended && !was_ended) {
    LogJobEnded(job, offset);
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Apply(const jobs::ownership_record& record,
                                 time_point now) {
  const jobs::ownership_record& newest = ownership_.NewestRecord();
  const bool changed = record.claim_epoch != newest.claim_epoch ||
                       record.released != newest.released;
  own_claim_read_ |= ownership_.IsOwnClaim(record);
  ownership_.Observe(record, now);
  if (changed) {
    LogEvent(kOwnerSeen, {{"cell", FormatCell()},
                          {"epoch", absl::StrCat(record.claim_epoch)},
                          {"owner", record.vm},
                          {"released", record.released ? "yes" : "no"}});
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::DropMissingJobs(const std::set<std::string>& keys) {
  std::vector<jobs::job_id> missing;
  for (const auto& [job, state] : registry_.Jobs()) {
    if (map_.HomeOf(job) == cell_ &&
        !keys.contains(records::AcceptedKey(job))) {
      missing.push_back(job);
    }
  }
  for (const jobs::job_id job : missing) {
    Apply(jobs::job_dropped{job});
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::Handle(read_reply reply,
                                  time_point now,
                                  wall_time wall) {
  if (const auto update =
          follower_.HandleReply(std::move(reply), now, metrics_)) {
    request_writer_.StoreAnswered();
    ApplyRecords(*update, now, wall);
  }
}

template <fleet_platform Platform>
std::vector<request_outcome> fleet_cell<Platform>::Handle(
    const append_reply& reply,
    time_point now) {
  metrics_.Count(topic_kind::kJobs, "append", reply.result);
  if (const auto sent = append_sent_at_.find(reply.number);
      sent != append_sent_at_.end()) {
    metrics_.append_seconds.Record(now - sent->second);
    append_sent_at_.erase(sent);
  }
  follower_.RecordStoreResult(reply.result,
                              reply.result == store_result::kRefused ||
                                  reply.result == store_result::kNoAnswer ||
                                  reply.result == store_result::kNotSent);
  if (request_writer_.Owns(reply.number)) {
    return request_writer_.Handle(reply, now);
  }
  if (!writer_.IsInFlight(reply.number)) {
    return {};
  }
  if (claiming_) {
    HandleClaimReply(reply, now);
  } else if (reply.result == store_result::kFenced ||
             reply.result == store_result::kEndMoved ||
             reply.result == store_result::kOutOfSequence) {
    LoseOwnership(Name(reply.result));
  } else {
    writer_.Handle(reply, now);
    for (const records::keyed_record& record : writer_.TakeRejected()) {
      if (auto end = FailUnstorable(record)) {
        writer_.Add(std::move(*end));
      }
    }
    // A rejected append does not show that this VM is still the owner.
    if (reply.result == store_result::kDone) {
      ownership_.Confirmed(writer_.SentAt());
      if (writer_.Idle()) {
        scheduler_.RecordsStored(written_batch_number_, now);
      }
    }
  }
  return {};
}

template <fleet_platform Platform>
std::optional<records::keyed_record> fleet_cell<Platform>::FailUnstorable(
    const records::keyed_record& record) {
  LogEvent(kRecordUnstorable, {{"topic", absl::StrCat("jobs.", cell_)},
                               {"key", record.key},
                               {"bytes", absl::StrCat(record.Bytes())}});
  const auto job = records::JobOfProgress(record);
  if (!job || !scheduler_.FailJobWithoutProgress(*job)) {
    return std::nullopt;
  }
  return records::Encode(jobs::job_advanced{
      .job = *job,
      .progress = {.started = true, .status = jobs::job_status::kFailed}});
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_FLEET_CELL_LOG_HPP
