#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that follows the store and runs the cells.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Handle(platform_reply reply,
                                              time_point now,
                                              wall_time wall) {
  const event_time_scope line_time(wall);
  std::visit([&](auto& typed) { HandleReply(std::move(typed), now, wall); },
             reply);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::HandleReply(const append_reply& reply,
                                                   time_point now,
                                                   wall_time /*wall*/) {
  if (reply.target.kind != topic_kind::kJobs) {
    metrics_.Count(reply.target.kind, "append", reply.result);
  } else if (reply.target.cell < cells_.size()) {
    for (const request_outcome& result :
         cells_[reply.target.cell]->Handle(reply, now)) {
      ReplyWithOutcome(result);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::HandleReply(read_reply reply,
                                                   time_point now,
                                                   wall_time wall) {
  const topic source = reply.source;
  if (source.kind == topic_kind::kJobs) {
    if (source.cell < cells_.size()) {
      cells_[source.cell]->Handle(std::move(reply), now, wall);
      ForwardToOtherCells(*cells_[source.cell], now, wall);
      ForwardDelegatedJobs(now, wall);
    }
  } else if (source.kind == topic_kind::kConfiguration) {
    if (const auto update = configuration_follower_.HandleReply(
            std::move(reply), now, metrics_)) {
      ApplyConfiguration(*update);
    }
  } else if (source.kind == topic_kind::kWorkers) {
    if (const auto update =
            worker_follower_.HandleReply(std::move(reply), now, metrics_)) {
      ApplyWorkerList(*update, now);
    }
  } else if (const auto update =
                 map_follower_.HandleReply(std::move(reply), now, metrics_)) {
    ApplyFleetMap(*update, now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::HandleReply(
    const jobs::permit_reply& reply,
    time_point now,
    wall_time /*wall*/) {
  if (map_) {
    RunningCellOf(reply.step.job).Handle(reply, now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::HandleReply(
    const machine_page_reply& reply,
    time_point now,
    wall_time /*wall*/) {
  const auto list = machine_list_reader_.Handle(reply.number, reply.page, now);
  if (!list) {
    return;
  }
  LogEvent(
      kMachinesListed,
      {{"machines", absl::StrCat(list->workers.size())},
       {"took_ms", absl::StrCat(std::chrono::floor<std::chrono::milliseconds>(
                                    now - list->requested_at)
                                    .count())}});
  for (const auto& each_cell : cells_) {
    each_cell->MachinesListed(*list);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ReadMachines(time_point now) {
  const bool needed =
      options_.has_machine_list &&
      std::any_of(cells_.begin(), cells_.end(), [now](const auto& each_cell) {
        return each_cell->NeedsMachineList(now);
      });
  if (const auto request = machine_list_reader_.Next(needed, now)) {
    platform_.ReadMachines(*request, now + options_.machine_page_timeout);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::LogRejectedRecord(topic_kind kind,
                                                         std::uint64_t offset,
                                                         const failure& error) {
  LogEvent(kRecordRejected, {{"topic", std::string(Name(kind))},
                             {"offset", absl::StrCat(offset)},
                             {"error", Format(error)}});
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ApplyConfiguration(
    const jobs::reader_update& update) {
  for (const jobs::topic_record& record : update.records) {
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
          for (const auto& each_cell : cells_) {
            each_cell->Configure(configuration_);
          }
          LogEvent(kConfigurationInForce,
                   {{"version", absl::StrCat(configuration_->version)},
                    {"queues", absl::StrCat(configuration_->queues.size())}});
          return {};
        },
        [&](const failure& error) {
          LogRejectedRecord(topic_kind::kConfiguration, record.offset, error);
        },
        [] {});
  }
}

template <fleet_platform Platform, caller_port Callers>
auto control_state<Platform, Callers>::CellOfWorker(const std::string& worker)
    -> cell* {
  const auto known = worker_cells_.Find(worker);
  return known ? cells_[*known].get() : nullptr;
}

template <fleet_platform Platform, caller_port Callers>
std::optional<jobs::cell_id> control_state<Platform, Callers>::CellThatHolds(
    const std::string& worker) const {
  for (jobs::cell_id number = 0; number < cells_.size(); ++number) {
    if (cells_[number]->MayRunTasksOn(worker)) {
      return number;
    }
  }
  return std::nullopt;
}

template <fleet_platform Platform, caller_port Callers>
jobs::cell_id control_state<Platform, Callers>::CellFor(
    const jobs::worker_entry& entry) const {
  if (const auto holder = CellThatHolds(entry.worker)) {
    return *holder;
  }
  // A worker that has not reported yet is in no list of leased workers.
  if (const auto known = worker_cells_.Find(entry.worker);
      known && cells_[*known]->Scheduler().Workers().contains(entry.worker)) {
    return *known;
  }
  return map_->CellOfRack(entry.rack);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ApplyWorkerList(
    const jobs::reader_update& update,
    time_point now) {
  for (const jobs::topic_record& record : update.records) {
    if (record.value) {
      ApplyWorkerEntry(record, now);
      continue;
    }
    worker_cells_.Unlist(record.key);
    for (const auto& each_cell : cells_) {
      each_cell->WorkerUnlisted(record.key, now);
    }
  }
  if (update.snapshot_complete) {
    worker_cells_.UnlistMissing(update.snapshot_keys);
    for (const auto& each_cell : cells_) {
      each_cell->UnlistMissingWorkers(update.snapshot_keys, now);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ApplyWorkerEntry(
    const jobs::topic_record& record,
    time_point now) {
  if (const auto holder = CellThatHolds(record.key);
      holder && !cells_[*holder]->Active()) {
    CountWorkerOfOtherOwner(record, *holder);
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(entry,
                        Platform::DecodeWorker(record.key, *record.value));
        if (!map_) {
          bootstrap_.Observe(entry, now);
          return {};
        }
        const jobs::cell_id number = CellFor(entry);
        worker_cells_.Set(entry, number);
        cells_[number]->WorkerListed(entry, now);
        return {};
      },
      [&](const failure& error) { RejectWorkerEntry(record, error, now); },
      [] {});
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::CountWorkerOfOtherOwner(
    const jobs::topic_record& record,
    jobs::cell_id holder) {
  if (worker_cells_.Counts(record.key)) {
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(entry,
                        Platform::DecodeWorker(record.key, *record.value));
        worker_cells_.Set(entry, holder);
        return {};
      },
      // The owner of the cell reports a fault.
      [](const failure&) {}, [] {});
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::RejectWorkerEntry(
    const jobs::topic_record& record,
    const failure& error,
    time_point now) {
  // Both may contain text of any length from the entry.
  constexpr std::size_t kMaxKeyBytes = 100;
  constexpr std::size_t kMaxErrorBytes = 300;
  if (cell* const worker_cell = CellOfWorker(record.key)) {
    worker_cell->WorkerEntryRejected(record.key);
  }
  if (!rejected_entries_.Add(record.key, record.offset)) {
    return;
  }
  metrics_.worker_entries_rejected.Add();
  if (rejected_entries_.TakeLine(record.key, now)) {
    LogEvent(kWorkerEntryRejected,
             {{"worker", record.key.substr(0, kMaxKeyBytes)},
              {"offset", absl::StrCat(record.offset)},
              {"error", Format(error).substr(0, kMaxErrorBytes)}});
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::SetSchedulerOptions(
    const jobs::fleet_scheduler_options& options) {
  for (const auto& each_cell : cells_) {
    each_cell->SetSchedulerOptions(options);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::BeginStop(time_point now,
                                                 wall_time wall) {
  const event_time_scope line_time(wall);
  stopping_ = true;
  for (const auto& each_cell : cells_) {
    each_cell->BeginStop(now);
  }
  Run(now, wall);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Run(time_point now, wall_time wall) {
  const event_time_scope line_time(wall);
  for (const auto& each_cell : cells_) {
    for (const request_outcome& result : each_cell->Expire(now)) {
      ReplyWithOutcome(result);
    }
  }
  AnswerLookups(now);
  // Empty, and so less than any time, while one has not been read to its end.
  const std::optional<time_point> all_read_until = std::min(
      AllLogsReadAt(), configuration_follower_.Reader().CompleteUntil());
  ForwardStatedRooms();
  ForwardReturnedTasks(now);
  for (const auto& each_cell : cells_) {
    // The number of cells that this VM owns or claims.
    const auto held = static_cast<std::size_t>(std::count_if(
        cells_.begin(), cells_.end(),
        [](const auto& other) { return other->IsOwnerOrClaiming(); }));
    each_cell->SetOtherLogsReadUntil(OtherLogsReadAt(*each_cell));
    each_cell->Run(each_cell->IsOwnerOrClaiming() ? held - 1 : held,
                   all_read_until, now, wall);
    if (each_cell->TakeWorkerListRequest()) {
      // A cell that was just taken over needs the whole list of workers.
      worker_follower_.Reader().Restart(now);
    }
  }
  if (!map_) {
    WriteFleetMap(now);
  }
  SendCalls(now);
  UpdateGauges(now);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::SendCalls(time_point now) {
  configuration_follower_.Send(platform_, now);
  if (!map_) {
    map_follower_.Send(platform_, now);
  }
  // Snapshots are read one after the other: on a slow link the snapshots of
  // all cells at once would not arrive within the timeout of a call. The cells
  // that this VM owns come first, as their runs wait for cancellations.
  bool snapshot_due = false;
  for (const bool owned : {true, false}) {
    for (const auto& each_cell : cells_) {
      if (each_cell->IsOwner() == owned) {
        each_cell->SendCalls(!snapshot_due, now);
        snapshot_due |= each_cell->Reader().InSnapshot();
      }
    }
  }
  if (FollowsWorkers()) {
    worker_follower_.Send(platform_, now);
  }
  ReadMachines(now);
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::AnyCellActive() const {
  return std::any_of(cells_.begin(), cells_.end(),
                     [](const auto& each_cell) { return each_cell->Active(); });
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::FollowsWorkers() const {
  return AnyCellActive() || (!map_ && bootstrap_.Begun());
}

template <fleet_platform Platform, caller_port Callers>
std::size_t control_state<Platform, Callers>::CellsOwned() const {
  return static_cast<std::size_t>(std::count_if(
      cells_.begin(), cells_.end(),
      [](const auto& each_cell) { return each_cell->IsOwner(); }));
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::Drained() const {
  return lookups_.empty() &&
         std::all_of(cells_.begin(), cells_.end(), [](const auto& each_cell) {
           return each_cell->Drained();
         });
}

template <fleet_platform Platform, caller_port Callers>
time_point control_state<Platform, Callers>::NextDeadline(
    time_point now) const {
  time_point next = now + kMaxRunInterval;
  const auto consider = [&next](std::optional<time_point> at) {
    if (at) {
      next = std::min(next, *at);
    }
  };
  consider(configuration_follower_.Reader().NextDeadline());
  if (!map_) {
    consider(map_follower_.Reader().NextDeadline());
  }
  if (FollowsWorkers()) {
    consider(worker_follower_.Reader().NextDeadline());
  }
  for (const auto& each_cell : cells_) {
    consider(each_cell->NextDeadline(now));
  }
  return std::max(next, now);
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::Ready(time_point now) const {
  return !stopping_ && configuration_ != nullptr && map_ &&
         std::all_of(cells_.begin(), cells_.end(), [&](const auto& each_cell) {
           const auto current = each_cell->Reader().CompleteUntil();
           return current && now < *current + options_.max_log_age_when_ready;
         });
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_STORE_HPP
