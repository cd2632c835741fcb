#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that follows the store.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Handle(platform_reply reply,
                                              time_point now,
                                              wall_time wall) {
  std::visit([&](auto& typed) { Take(std::move(typed), now, wall); }, reply);
}

template <fleet_platform Platform, caller_port Callers>
jobs::topic_reader& control_state<Platform, Callers>::Reader(topic source) {
  switch (source) {
    case topic::kConfiguration:
      return configuration_reader_;
    case topic::kWorkers:
      return worker_reader_;
    case topic::kJobs:
      break;
  }
  return job_reader_;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::NoteStore(topic source,
                                                 store_result result,
                                                 bool failed) {
  if (failed && lost_.insert(source).second) {
    LogEvent(kStoreLost, {{"topic", std::string(Name(source))},
                          {"result", std::string(Name(result))}});
  } else if (!failed && lost_.erase(source) > 0) {
    LogEvent(kStoreRegained, {{"topic", std::string(Name(source))}});
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Take(read_reply reply,
                                            time_point now,
                                            wall_time wall) {
  jobs::topic_reader& reader = Reader(reply.source);
  jobs::reader_news news;
  if (auto* const failed = std::get_if<read_failed>(&reply.outcome)) {
    reader.Failed(reply.number, now);
    metrics_.Count(reply.source, "read", failed->result);
    NoteStore(reply.source, failed->result, true);
    return;
  }
  NoteStore(reply.source, store_result::kDone, false);
  metrics_.Count(reply.source, "read", store_result::kDone);
  intake_.StoreAnswered();
  if (std::holds_alternative<history_trimmed>(reply.outcome)) {
    reader.Trimmed(reply.number, now);
    return;
  }
  if (auto* const page = std::get_if<jobs::snapshot_page>(&reply.outcome)) {
    news = reader.Took(reply.number, std::move(*page), now);
  } else if (auto* const tail = std::get_if<jobs::tail_page>(&reply.outcome)) {
    news = reader.Took(reply.number, std::move(*tail), now);
  }
  if (news.snapshot_complete) {
    LogEvent(kSnapshotRead, {{"topic", std::string(Name(reply.source))},
                             {"keys", absl::StrCat(news.snapshot_keys.size())},
                             {"next", absl::StrCat(reader.NextOffset())}});
  }
  switch (reply.source) {
    case topic::kConfiguration:
      TakeConfiguration(news);
      break;
    case topic::kWorkers:
      TakeWorkers(news, now);
      break;
    case topic::kJobs:
      TakeJobs(news, now, wall);
      break;
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::TakeConfiguration(
    const jobs::reader_news& news) {
  for (const jobs::topic_record& record : news.records) {
    if (!Platform::IsConfiguration(record.key) || !record.value) {
      continue;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(next, Platform::DecodeConfiguration(*record.value));
          if (configuration_ != nullptr &&
              next.version <= configuration_->version) {
            return {};
          }
          configuration_ = std::make_shared<const jobs::fleet_configuration>(
              std::move(next));
          scheduler_.Configure(configuration_);
          LogEvent(kConfigurationInForce,
                   {{"version", absl::StrCat(configuration_->version)},
                    {"queues", absl::StrCat(configuration_->queues.size())}});
          return {};
        },
        [&](const failure& error) {
          LogEvent(kRecordRejected,
                   {{"topic", std::string(Name(topic::kConfiguration))},
                    {"offset", absl::StrCat(record.offset)},
                    {"error", Format(error)}});
        },
        [] {});
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::TakeWorkers(
    const jobs::reader_news& news,
    time_point now) {
  if (!scheduler_.Active()) {
    return;
  }
  for (const jobs::topic_record& record : news.records) {
    if (!record.value) {
      if (scheduler_.Workers().contains(record.key)) {
        LogEvent(kWorkerUnlisted, {{"worker", record.key}});
        scheduler_.WorkerUnlisted(record.key, now);
      }
      continue;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(entry,
                          Platform::DecodeWorker(record.key, *record.value));
          const auto known = scheduler_.Workers().find(record.key);
          const bool changed = known == scheduler_.Workers().end() ||
                               known->second.entry.draining != entry.draining ||
                               known->second.entry.address != entry.address ||
                               known->second.unlisted_since.has_value();
          if (changed) {
            LogEvent(kWorkerListed,
                     {{"worker", entry.worker},
                      {"address", entry.address},
                      {"state", entry.draining ? "draining" : "ready"},
                      {"rack", entry.rack}});
          }
          scheduler_.WorkerListed(entry, now);
          return {};
        },
        [&](const failure& error) {
          LogEvent(kRecordRejected,
                   {{"topic", std::string(Name(topic::kWorkers))},
                    {"offset", absl::StrCat(record.offset)},
                    {"error", Format(error)}});
        },
        [] {});
  }
  if (news.snapshot_complete) {
    for (const auto& [worker, session] : scheduler_.Workers()) {
      if (!news.snapshot_keys.contains(worker)) {
        scheduler_.WorkerUnlisted(worker, now);
      }
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::TakeJobs(const jobs::reader_news& news,
                                                time_point now,
                                                wall_time wall) {
  for (const jobs::topic_record& record : news.records) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          std::optional<std::string_view> value;
          if (record.value) {
            value = *record.value;
          }
          BOOST_LEAF_AUTO(decoded, records::Decode(record.key, value));
          if (decoded) {
            Apply(std::move(*decoded), record.offset, now, wall);
          }
          return {};
        },
        [&](const failure& error) {
          LogEvent(kRecordRejected, {{"topic", std::string(Name(topic::kJobs))},
                                     {"offset", absl::StrCat(record.offset)},
                                     {"error", Format(error)}});
        },
        [] {});
  }
  if (news.snapshot_complete) {
    ForgetMissing(news.snapshot_keys);
  }
  if (job_reader_.CurrentAt()) {
    ownership_.ReadToEnd(*job_reader_.CurrentAt(), now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Apply(jobs::log_record record,
                                             std::uint64_t offset,
                                             time_point now,
                                             wall_time wall) {
  if (auto* const accepted = std::get_if<jobs::job_accepted>(&record)) {
    const jobs::job_id job = accepted->job;
    const std::string queue = accepted->queue;
    if (book_.Apply(std::move(*accepted), now)) {
      LogEvent(kJobKnown, {{"job", jobs::Format(job)},
                           {"queue", queue},
                           {"offset", absl::StrCat(offset)}});
      scheduler_.Accepted(job, *book_.Find(job), now, wall);
    }
  } else if (const auto* cancelled =
                 std::get_if<jobs::job_cancelled>(&record)) {
    if (book_.Apply(*cancelled, now)) {
      LogEvent(kJobEnded, {{"job", jobs::Format(cancelled->job)},
                           {"state", "cancelled"},
                           {"offset", absl::StrCat(offset)}});
      scheduler_.Cancelled(cancelled->job, now);
    }
  } else if (auto* const advanced = std::get_if<jobs::job_advanced>(&record)) {
    const jobs::job_id job = advanced->job;
    const bool ended = advanced->progress.status != jobs::job_status::kOpen;
    book_.Apply(std::move(*advanced), now);
    if (ended) {
      LogEvent(kJobEnded,
               {{"job", jobs::Format(job)},
                {"state", std::string(Name(book_.Report(job).value_or(
                              jobs::reported_state::kFailed)))},
                {"offset", absl::StrCat(offset)}});
    }
  } else if (const auto* dropped = std::get_if<jobs::job_dropped>(&record)) {
    book_.Apply(*dropped);
  } else if (const auto* owner = std::get_if<jobs::ownership_record>(&record)) {
    const bool news = owner->claim != ownership_.NewestRecord().claim ||
                      owner->released != ownership_.NewestRecord().released;
    claim_seen_ |= ownership_.IsOwnClaim(*owner);
    ownership_.Observe(*owner, now);
    if (news) {
      LogEvent(kOwnerSeen, {{"epoch", absl::StrCat(owner->claim)},
                            {"owner", owner->vm},
                            {"released", owner->released ? "yes" : "no"}});
    }
  } else if (auto* const leased = std::get_if<jobs::leased_workers>(&record)) {
    if (leased->claim >= leased_.claim) {
      leased_ = std::move(*leased);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ForgetMissing(
    const std::set<std::string>& keys) {
  std::vector<jobs::job_id> missing;
  for (const auto& [job, state] : book_.Jobs()) {
    if (!keys.contains(records::AcceptedKey(job))) {
      missing.push_back(job);
    }
  }
  for (const jobs::job_id job : missing) {
    book_.Apply(jobs::job_dropped{job});
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Take(const append_reply& reply,
                                            time_point now,
                                            wall_time /*wall*/) {
  metrics_.Count(topic::kJobs, "append", reply.result);
  if (const auto sent = append_times_.find(reply.number);
      sent != append_times_.end()) {
    metrics_.append_seconds.Record(now - sent->second);
    append_times_.erase(sent);
  }
  NoteStore(topic::kJobs, reply.result,
            reply.result == store_result::kRefused ||
                reply.result == store_result::kNoAnswer ||
                reply.result == store_result::kNotSent);
  if (intake_.Owns(reply.number)) {
    for (const intake_result& result : intake_.Handle(reply, now)) {
      Settle(result);
    }
    return;
  }
  if (!writer_.Owns(reply.number)) {
    return;
  }
  if (claiming_) {
    TakeClaimReply(reply, now);
    return;
  }
  if (reply.result == store_result::kFenced ||
      reply.result == store_result::kEndMoved ||
      reply.result == store_result::kOutOfSequence) {
    LoseOwnership(Name(reply.result));
    return;
  }
  if (writer_.Handle(reply, now)) {
    ownership_.Confirmed(writer_.Sent());
    scheduler_.Stored(writing_number_, now);
  }
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP
