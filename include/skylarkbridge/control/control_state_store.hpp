#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that follows the store and runs the cells.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Handle(platform_reply reply,
                                              time_point now,
                                              wall_time wall) {
  std::visit([&](auto& typed) { Take(std::move(typed), now, wall); }, reply);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Take(const append_reply& reply,
                                            time_point now,
                                            wall_time /*wall*/) {
  if (reply.target.kind != topic_kind::kJobs) {
    metrics_.Count(reply.target.kind, "append", reply.result);
  } else if (reply.target.cell < cells_.size()) {
    for (const intake_result& result :
         cells_[reply.target.cell]->Handle(reply, now)) {
      Settle(result);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Take(read_reply reply,
                                            time_point now,
                                            wall_time wall) {
  const topic source = reply.source;
  if (source.kind == topic_kind::kJobs) {
    if (source.cell < cells_.size()) {
      cells_[source.cell]->Handle(std::move(reply), now, wall);
      ForwardForeign(*cells_[source.cell], now, wall);
    }
  } else if (source.kind == topic_kind::kConfiguration) {
    if (const auto news =
            configuration_follower_.Take(std::move(reply), now, metrics_)) {
      TakeConfiguration(*news);
    }
  } else if (source.kind == topic_kind::kWorkers) {
    if (const auto news =
            worker_follower_.Take(std::move(reply), now, metrics_)) {
      TakeWorkers(*news, now);
    }
  } else if (const auto news =
                 map_follower_.Take(std::move(reply), now, metrics_)) {
    TakeFleetMap(*news, now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Take(const jobs::permit_reply& reply,
                                            time_point now,
                                            wall_time /*wall*/) {
  if (map_) {
    RunnerOf(reply.step.job).Handle(reply, now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ForwardForeign(cell& from,
                                                      time_point now,
                                                      wall_time wall) {
  for (jobs::log_record& record : from.TakeCrossCellRecords()) {
    if (const auto* const accepted = std::get_if<jobs::job_accepted>(&record)) {
      if (accepted->cell < cells_.size()) {
        cells_[accepted->cell]->ApplyCrossCellRecord(std::move(record), now,
                                                     wall);
      }
    } else if (const auto* const advanced =
                   std::get_if<jobs::job_advanced>(&record)) {
      HomeOf(advanced->job).ApplyCrossCellRecord(std::move(record), now, wall);
    } else if (const auto* const cancelled =
                   std::get_if<jobs::job_cancelled>(&record)) {
      RunnerOf(cancelled->job)
          .ApplyCrossCellRecord(std::move(record), now, wall);
    } else if (std::holds_alternative<jobs::job_dropped>(record)) {
      for (const auto& part : cells_) {
        part->ApplyCrossCellRecord(record, now, wall);
      }
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
auto control_state<Platform, Callers>::RunnerOf(jobs::job_id job) -> cell& {
  const jobs::job_state* const state = HomeOf(job).Registry().Find(job);
  return state == nullptr || state->cell >= cells_.size()
             ? HomeOf(job)
             : *cells_[state->cell];
}

template <fleet_platform Platform, caller_port Callers>
jobs::cell_id control_state<Platform, Callers>::ChooseCell(
    jobs::job_id job,
    const jobs::job_spec& spec) const {
  const jobs::cell_id home = map_->HomeOf(job);
  if (jobs::LongRunningMillicores(spec) == 0) {
    return home;
  }
  std::vector<std::int64_t> load;
  load.reserve(cells_.size());
  for (const auto& part : cells_) {
    load.push_back(part->Registry().LongRunningMillicores());
  }
  for (const auto& [other, work] : handed_in_) {
    load[work.cell] += work.millicores;
  }
  // The home goes first among equals, which spreads a burst over the cells.
  jobs::cell_id least = home;
  for (jobs::cell_id number = 0; number < load.size(); ++number) {
    if (load[number] < load[least]) {
      least = number;
    }
  }
  return least;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::LogRejected(topic_kind kind,
                                                   std::uint64_t offset,
                                                   const failure& error) {
  LogEvent(kRecordRejected, {{"topic", std::string(Name(kind))},
                             {"offset", absl::StrCat(offset)},
                             {"error", Format(error)}});
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
          for (const auto& part : cells_) {
            part->Configure(configuration_);
          }
          LogEvent(kConfigurationInForce,
                   {{"version", absl::StrCat(configuration_->version)},
                    {"queues", absl::StrCat(configuration_->queues.size())}});
          return {};
        },
        [&](const failure& error) {
          LogRejected(topic_kind::kConfiguration, record.offset, error);
        },
        [] {});
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::TakeFleetMap(
    const jobs::reader_news& news,
    time_point now) {
  for (const jobs::topic_record& record : news.records) {
    if (map_ || !records::IsFleetMap(record.key) || !record.value) {
      continue;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(map, records::DecodeFleetMap(*record.value));
          Divide(std::move(map));
          return {};
        },
        [&](const failure& error) {
          LogRejected(topic_kind::kFleetMap, record.offset, error);
        },
        [] {});
  }
  if (!map_ && news.snapshot_complete) {
    founding_.Begin(now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Divide(jobs::fleet_map map) {
  map_ = std::move(map);
  LogEvent(kFleetDivided, {{"cells", absl::StrCat(map_->cells)},
                           {"racks", absl::StrCat(map_->racks.size())}});
  for (jobs::cell_id number = 0; number < map_->cells; ++number) {
    cells_.push_back(
        std::make_unique<cell>(options_, number, *map_, platform_, metrics_));
    if (configuration_ != nullptr) {
      cells_.back()->Configure(configuration_);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Found(time_point now) {
  const auto map = stopping_ ? std::nullopt : founding_.NextMap(now);
  if (!map) {
    return;
  }
  LogEvent(kFleetMapWritten, {{"cells", absl::StrCat(map->cells)},
                              {"racks", absl::StrCat(map->racks.size())}});
  // The first map is the only one: the store takes it into an empty topic only.
  platform_.Append({.target = {topic_kind::kFleetMap},
                    .at_end = 0,
                    .batch = {records::Encode(*map)}},
                   now + options_.append_timeout);
}

template <fleet_platform Platform, caller_port Callers>
auto control_state<Platform, Callers>::CellOfWorker(const std::string& worker)
    -> cell* {
  const auto known = worker_cells_.find(worker);
  return known == worker_cells_.end() ? nullptr : cells_[known->second].get();
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::TakeWorkers(
    const jobs::reader_news& news,
    time_point now) {
  for (const jobs::topic_record& record : news.records) {
    if (record.value) {
      TakeWorker(record, now);
    } else if (cell* const owner = CellOfWorker(record.key)) {
      owner->WorkerUnlisted(record.key, now);
    }
  }
  if (news.snapshot_complete) {
    for (const auto& part : cells_) {
      part->UnlistMissingWorkers(news.snapshot_keys, now);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::TakeWorker(
    const jobs::topic_record& record,
    time_point now) {
  if (const cell* const owner = CellOfWorker(record.key);
      owner != nullptr && !owner->Active()) {
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(entry,
                        Platform::DecodeWorker(record.key, *record.value));
        if (!map_) {
          founding_.Observe(entry, now);
          return {};
        }
        // A worker's rack never changes, nor does its cell.
        const jobs::cell_id owner =
            worker_cells_
                .try_emplace(entry.worker, map_->CellOfRack(entry.rack))
                .first->second;
        cells_[owner]->WorkerListed(entry, now);
        return {};
      },
      [&](const failure& error) {
        LogRejected(topic_kind::kWorkers, record.offset, error);
      },
      [] {});
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::SetSchedulerOptions(
    const jobs::fleet_scheduler_options& options) {
  for (const auto& part : cells_) {
    part->SetSchedulerOptions(options);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::BeginStop(time_point now,
                                                 wall_time wall) {
  stopping_ = true;
  for (const auto& part : cells_) {
    part->BeginStop(now);
  }
  Run(now, wall);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Run(time_point now, wall_time wall) {
  for (const auto& part : cells_) {
    for (const intake_result& result : part->Expire(now)) {
      Settle(result);
    }
  }
  AnswerLookups(now);
  const bool all_read = AllReadAt().has_value();
  for (const auto& part : cells_) {
    const auto held = static_cast<std::size_t>(std::count_if(
        cells_.begin(), cells_.end(),
        [](const auto& each) { return each->IsOwnerOrClaiming(); }));
    part->Run(part->IsOwnerOrClaiming() ? held - 1 : held, all_read, now, wall);
    if (part->TakeWorkerListRequest()) {
      worker_follower_.Reader().Restart(now);
    }
  }
  if (!map_) {
    Found(now);
  }
  SendCalls(now);
  Measure(now);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::SendCalls(time_point now) {
  configuration_follower_.Send(platform_, now);
  if (!map_) {
    map_follower_.Send(platform_, now);
  }
  // Snapshots are read one after the other: those of all cells at once are too
  // much for a weak VM's link within the limit of a call.
  bool snapshot_due = false;
  for (const auto& part : cells_) {
    part->SendCalls(!snapshot_due, now);
    snapshot_due |= part->Reader().InSnapshot();
  }
  if (AnyActive() || (!map_ && founding_.Begun())) {
    worker_follower_.Send(platform_, now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Measure(time_point now) {
  if (now < next_measure_) {
    return;
  }
  next_measure_ = now + kMeasureInterval;
  jobs::epoch epochs = 0;
  std::size_t jobs_known = 0;
  std::size_t steps_ready = 0;
  std::size_t workers_usable = 0;
  std::size_t intake_waiting = 0;
  for (const auto& part : cells_) {
    epochs += part->NewestEpoch();
    jobs_known += part->Registry().Jobs().size();
    steps_ready += part->Scheduler().Jobs().ReadySteps().size();
    workers_usable += part->Scheduler().UsableWorkers(now);
    intake_waiting += part->WaitingRequests();
  }
  metrics_.cells_owned.Set(static_cast<std::int64_t>(CellsOwned()));
  metrics_.newest_epoch.Set(static_cast<std::int64_t>(epochs));
  metrics_.configuration_version.Set(
      static_cast<std::int64_t>(ConfigurationVersion()));
  metrics_.jobs_known.Set(static_cast<std::int64_t>(jobs_known));
  metrics_.steps_ready.Set(static_cast<std::int64_t>(steps_ready));
  metrics_.workers_usable.Set(static_cast<std::int64_t>(workers_usable));
  metrics_.intake_waiting.Set(static_cast<std::int64_t>(intake_waiting));
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::AnyActive() const {
  return std::any_of(cells_.begin(), cells_.end(),
                     [](const auto& part) { return part->Active(); });
}

template <fleet_platform Platform, caller_port Callers>
std::size_t control_state<Platform, Callers>::CellsOwned() const {
  return static_cast<std::size_t>(
      std::count_if(cells_.begin(), cells_.end(),
                    [](const auto& part) { return part->IsOwner(); }));
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::Settled() const {
  return lookups_.empty() &&
         std::all_of(cells_.begin(), cells_.end(),
                     [](const auto& part) { return part->Drained(); });
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
  consider(configuration_follower_.Reader().NextDeadline());
  if (!map_) {
    consider(map_follower_.Reader().NextDeadline());
  }
  if (AnyActive() || (!map_ && founding_.Begun())) {
    consider(worker_follower_.Reader().NextDeadline());
  }
  for (const auto& part : cells_) {
    consider(part->NextDeadline(now));
  }
  return std::max(next, now);
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::Ready(time_point now) const {
  return !stopping_ && configuration_ != nullptr && map_ &&
         std::all_of(cells_.begin(), cells_.end(), [&](const auto& part) {
           const auto current = part->Reader().CurrentAt();
           return current && now < *current + options_.ready_limit;
         });
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP
