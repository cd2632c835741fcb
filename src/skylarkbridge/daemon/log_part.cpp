#include "skylarkbridge/daemon/log_part.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::daemon {

using coordination::log_stream;

log_part::log_part(const log_part_options& options,
                   entry_vm_id self,
                   incarnation_id writer)
    : self_(self),
      writer_(writer),
      outbox_(writer, options.outbox),
      task_cursor_(options.cursor),
      configuration_cursor_(options.cursor),
      tasks_(options.tasks),
      configuration_({}, options.configuration),
      task_snapshots_(options.snapshots),
      configuration_snapshots_(options.snapshots) {}

std::variant<coordination::record_id, coordination::add_refusal> log_part::Add(
    coordination::record_body body,
    const instant& at) {
  return outbox_.Add(std::move(body), at.now, at.wall);
}

void log_part::AddFact(coordination::record_body body, const instant& at) {
  if (!waiting_facts_.empty() ||
      std::holds_alternative<coordination::add_refusal>(
          outbox_.Add(body, at.now, at.wall))) {
    waiting_facts_.push_back(std::move(body));
  }
}

log_step log_part::Appended(std::uint64_t append,
                            coordination::append_result result,
                            const instant& at) {
  log_step step;
  Take(outbox_.Finish(append, result, at.now), step);
  // What was written is folded when it is read back; read it at once.
  task_cursor_.ReadSoon();
  configuration_cursor_.ReadSoon();
  return step;
}

log_step log_part::PageRead(log_stream stream,
                            std::uint64_t read,
                            std::optional<coordination::read_page> page,
                            const instant& at) {
  log_step step;
  if (page) {
    Take(stream, Cursor(stream).Receive(read, std::move(*page), at.now), at,
         step);
  } else {
    Cursor(stream).Fail(read, at.now);
  }
  return step;
}

log_step log_part::Tick(const std::vector<entry_vm_id>& live,
                        const instant& at) {
  log_step step;
  while (!waiting_facts_.empty() &&
         std::holds_alternative<coordination::record_id>(
             outbox_.Add(waiting_facts_.front(), at.now, at.wall))) {
    waiting_facts_.pop_front();
  }
  WriteSnapshots(live, at);
  Take(outbox_.Tick(at.now), step);
  Take(log_stream::kTasks, task_cursor_.Tick(at.now), at, step);
  Take(log_stream::kConfiguration, configuration_cursor_.Tick(at.now), at,
       step);
  for (coordination::configuration_event& event : configuration_.Tick(at.now)) {
    step.events.emplace_back(std::move(event));
  }
  return step;
}

time_point log_part::NextDeadline() const {
  time_point next = std::min(task_cursor_.NextDeadline(),
                             configuration_cursor_.NextDeadline());
  for (const std::optional<time_point> other :
       {outbox_.NextDeadline(), configuration_.NextDeadline()}) {
    next = std::min(next, other.value_or(next));
  }
  return next;
}

coordination::log_cursor& log_part::Cursor(log_stream stream) {
  return stream == log_stream::kTasks ? task_cursor_ : configuration_cursor_;
}

void log_part::Take(coordination::outbox_commands commands, log_step& step) {
  for (coordination::outbox_command& command : commands) {
    if (auto* append = std::get_if<coordination::append_records>(&command)) {
      step.outputs.emplace_back(std::move(*append));
    } else if (auto* read = std::get_if<coordination::read_to_end>(&command)) {
      Cursor(read->stream).ReadSoon();
    } else if (auto* durable =
                   std::get_if<coordination::record_durable>(&command)) {
      step.events.emplace_back(*durable);
    } else if (auto* refused =
                   std::get_if<coordination::record_refused>(&command)) {
      step.events.emplace_back(*refused);
    } else if (auto* state =
                   std::get_if<coordination::log_availability>(&command)) {
      step.events.emplace_back(*state);
    }
  }
}

void log_part::Take(log_stream stream,
                    coordination::cursor_commands commands,
                    const instant& at,
                    log_step& step) {
  for (coordination::cursor_command& command : commands) {
    if (const auto* read = std::get_if<coordination::read_log>(&command)) {
      step.outputs.emplace_back(read_stream{stream, *read});
    } else if (const auto* stored =
                   std::get_if<coordination::stored_record>(&command)) {
      TakeRecord(stream, *stored, step);
    } else if (const auto* gap =
                   std::get_if<coordination::offset_gap>(&command)) {
      stream == log_stream::kTasks ? tasks_.Skip(*gap)
                                   : configuration_.Skip(*gap);
    } else if (const auto* end =
                   std::get_if<coordination::reached_end>(&command)) {
      Take(outbox_.ReachedEnd(stream, end->read_sent, at.now), step);
      if (stream == log_stream::kConfiguration) {
        configuration_.ReachedEnd();
      } else if (tasks_.Certain()) {
        step.events.emplace_back(tasks_current{end->read_sent});
      }
    }
  }
}

void log_part::TakeRecord(log_stream stream,
                          const coordination::stored_record& stored,
                          log_step& step) {
  Take(outbox_.Observe(stream, stored.record.id), step);
  if (stream == log_stream::kTasks) {
    TakeTaskRecord(stored, step);
    return;
  }
  configuration_snapshots_.RecordSeen(stored.record.written_at);
  for (coordination::configuration_event& event :
       configuration_.Apply(stored)) {
    if (const auto* seen = std::get_if<coordination::snapshot_seen>(&event)) {
      configuration_snapshots_.SnapshotSeen(seen->valid_until,
                                            seen->written_at);
    } else if (const auto* replaced =
                   std::get_if<coordination::configuration_replaced>(&event)) {
      configuration_cursor_.Seek(replaced->offset);
    }
    step.events.emplace_back(std::move(event));
  }
}

void log_part::TakeTaskRecord(const coordination::stored_record& stored,
                              log_step& step) {
  task_snapshots_.RecordSeen(stored.record.written_at);
  coordination::ledger_events events = tasks_.Apply(stored);
  for (const coordination::ledger_event& event : events) {
    if (const auto* seen = std::get_if<coordination::snapshot_seen>(&event)) {
      task_snapshots_.SnapshotSeen(seen->valid_until, seen->written_at);
    } else if (const auto* replaced =
                   std::get_if<coordination::tasks_replaced>(&event)) {
      task_cursor_.Seek(replaced->offset);
    }
  }
  if (!events.empty()) {
    step.events.emplace_back(
        task_record_folded{stored.record, std::move(events)});
  }
}

void log_part::WriteSnapshots(const std::vector<entry_vm_id>& live,
                              const instant& at) {
  const auto due = [&](const coordination::snapshot_schedule& schedule,
                       log_stream stream, coordination::log_offset next) {
    return schedule.Due(
        next, SnapshotRank(self_, live, stream, schedule.LastValidUntil()),
        at.wall);
  };
  if (tasks_.Certain() && task_cursor_.CaughtUp() &&
      due(task_snapshots_, log_stream::kTasks, tasks_.Next())) {
    task_snapshots_.SnapshotSeen(tasks_.Next(), at.wall);
    for (coordination::task_snapshot& part : tasks_.Snapshot()) {
      static_cast<void>(Add(std::move(part), at));
    }
  }
  if (configuration_.Certain() && configuration_cursor_.CaughtUp() &&
      configuration_.InEffect().number > 0 &&
      due(configuration_snapshots_, log_stream::kConfiguration,
          configuration_.Next())) {
    configuration_snapshots_.SnapshotSeen(configuration_.Next(), at.wall);
    static_cast<void>(Add(configuration_.Snapshot(), at));
  }
}

}  // namespace skylarkbridge::daemon
