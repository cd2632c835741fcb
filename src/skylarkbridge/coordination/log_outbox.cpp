#include "skylarkbridge/coordination/log_outbox.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::coordination {
namespace {

// Configuration first: its records are rare, and tasks could use all appends.
constexpr std::array kStreams = {log_stream::kConfiguration,
                                 log_stream::kTasks};

std::size_t Weight(const record_body& body) {
  const auto* snapshot = std::get_if<task_snapshot>(&body);
  return snapshot == nullptr ? 1 : 1 + snapshot->tasks.size();
}

}  // namespace

log_outbox::log_outbox(incarnation_id writer, log_outbox_options options)
    : writer_(writer), options_(options), tokens_(options.append_burst) {}

std::variant<record_id, add_refusal> log_outbox::Add(record_body body,
                                                     time_point now,
                                                     wall_time written_at) {
  outgoing& out = Of(StreamOf(body));
  if (!out.up && RefusedWhileDown(body)) {
    return add_refusal::kLogDown;
  }
  if (Size() >= options_.capacity) {
    return add_refusal::kFull;
  }
  const record_id id{writer_, next_sequence_++};
  out.queue.push_back(
      {.record = {id, written_at, std::move(body)}, .added = now});
  return id;
}

outbox_commands log_outbox::Finish(std::uint64_t append,
                                   append_result result,
                                   time_point now) {
  outbox_commands commands;
  for (const log_stream stream : kStreams) {
    outgoing& out = Of(stream);
    if (out.in_append == 0 || out.append != append) {
      continue;
    }
    switch (result) {
      case append_result::kWritten:
        Complete(stream, commands);
        break;
      case append_result::kNotWritten:
        Fail(out, now, commands);
        break;
      case append_result::kUnknown:
        LoseReply(stream, now, commands);
        break;
    }
  }
  MarkDownWhenDue(now, commands);
  return commands;
}

outbox_commands log_outbox::Observe(log_stream stream, const record_id& id) {
  outbox_commands commands;
  outgoing& out = Of(stream);
  if (id.writer != writer_ || out.in_append == 0) {
    return commands;
  }
  const auto end =
      out.queue.begin() + static_cast<std::ptrdiff_t>(out.in_append);
  const auto found = std::lower_bound(
      out.queue.begin(), end, id,
      [](const waiting_record& waiting, const record_id& wanted) {
        return waiting.record.id < wanted;
      });
  if (found == end || found->record.id != id || found->durable) {
    return commands;
  }
  found->durable = true;
  if (++out.observed == out.in_append) {
    Complete(stream, commands);
  }
  return commands;
}

outbox_commands log_outbox::ReachedEnd(log_stream stream,
                                       time_point read_sent,
                                       time_point now) {
  outbox_commands commands;
  outgoing& out = Of(stream);
  if (out.lost_at && read_sent >= *out.lost_at) {
    // The log lacks some of the records. They are written again; a delayed
    // write that still arrives is ignored by its record id.
    std::erase_if(out.queue, [&](const waiting_record& waiting) {
      if (waiting.durable) {
        commands.emplace_back(record_durable{waiting.record.id});
      }
      return waiting.durable;
    });
    out.lost_at.reset();
    out.in_append = 0;
    out.observed = 0;
    out.retry_at = now;
  } else if (!out.up && out.queue.empty()) {
    // With nothing left to write, only a read can show that the log is back.
    out.up = true;
    out.failing_since.reset();
    commands.emplace_back(log_availability{stream, true});
  }
  return commands;
}

outbox_commands log_outbox::Tick(time_point now) {
  outbox_commands commands;
  Refill(now);
  for (const log_stream stream : kStreams) {
    outgoing& out = Of(stream);
    if (out.lost_at) {
      if (now >= out.retry_at) {
        out.retry_at = now + options_.retry_delay;
        commands.emplace_back(read_to_end{stream});
      }
    } else if (out.in_append > 0 && now >= out.sent + options_.reply_timeout) {
      LoseReply(stream, now, commands);
    }
  }
  MarkDownWhenDue(now, commands);
  for (const log_stream stream : kStreams) {
    if (tokens_ > 0 && Due(Of(stream), now)) {
      Send(stream, now, commands);
    }
  }
  return commands;
}

std::optional<time_point> log_outbox::NextDeadline() const {
  std::optional<time_point> next;
  const auto consider = [&next](time_point at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const outgoing& out : streams_) {
    if (out.queue.empty()) {
      continue;
    }
    if (out.lost_at) {
      consider(out.retry_at);
    } else if (out.in_append > 0) {
      consider(out.sent + options_.reply_timeout);
    } else {
      const time_point added = out.queue.front().added;
      time_point at = out.queue.size() >= options_.batch_records
                          ? added
                          : added + options_.batch_delay;
      at = std::max(at, out.retry_at);
      if (tokens_ == 0 && next_token_) {
        at = std::max(at, *next_token_);
      }
      consider(at);
    }
    if (out.up && out.failing_since) {
      consider(*out.failing_since + options_.down_after);
    }
  }
  return next;
}

std::size_t log_outbox::Size() const {
  std::size_t sum = 0;
  for (const outgoing& out : streams_) {
    sum += out.queue.size();
  }
  return sum;
}

void log_outbox::Complete(log_stream stream, outbox_commands& commands) {
  outgoing& out = Of(stream);
  for (std::size_t i = 0; i < out.in_append; ++i) {
    commands.emplace_back(record_durable{out.queue.front().record.id});
    out.queue.pop_front();
  }
  out.in_append = 0;
  out.observed = 0;
  out.lost_at.reset();
  out.failing_since.reset();
  if (!out.up) {
    out.up = true;
    commands.emplace_back(log_availability{stream, true});
  }
}

void log_outbox::Fail(outgoing& out,
                      time_point now,
                      outbox_commands& commands) {
  for (std::size_t i = 0; i < out.in_append; ++i) {
    --out.queue[i].unproven_appends;
  }
  out.in_append = 0;
  out.observed = 0;
  out.lost_at.reset();
  out.retry_at = now + options_.retry_delay;
  if (!out.failing_since) {
    out.failing_since = now;
  }
  if (!out.up) {
    RefuseUnsent(out, commands);
  }
}

void log_outbox::LoseReply(log_stream stream,
                           time_point now,
                           outbox_commands& commands) {
  outgoing& out = Of(stream);
  if (out.lost_at) {
    return;
  }
  out.lost_at = now;
  out.retry_at = now + options_.retry_delay;
  if (!out.failing_since) {
    out.failing_since = out.sent;
  }
  commands.emplace_back(read_to_end{stream});
}

void log_outbox::MarkDownWhenDue(time_point now, outbox_commands& commands) {
  for (const log_stream stream : kStreams) {
    outgoing& out = Of(stream);
    if (out.up && out.failing_since &&
        now >= *out.failing_since + options_.down_after) {
      out.up = false;
      commands.emplace_back(log_availability{stream, false});
      RefuseUnsent(out, commands);
    }
  }
}

void log_outbox::RefuseUnsent(outgoing& out, outbox_commands& commands) {
  std::erase_if(out.queue, [&](const waiting_record& waiting) {
    const bool refuse =
        waiting.unproven_appends == 0 && RefusedWhileDown(waiting.record.body);
    if (refuse) {
      commands.emplace_back(record_refused{waiting.record.id});
    }
    return refuse;
  });
}

bool log_outbox::Due(const outgoing& out, time_point now) const {
  if (out.queue.empty() || out.in_append > 0 || now < out.retry_at) {
    return false;
  }
  return out.queue.size() >= options_.batch_records ||
         now >= out.queue.front().added + options_.batch_delay;
}

void log_outbox::Send(log_stream stream,
                      time_point now,
                      outbox_commands& commands) {
  outgoing& out = Of(stream);
  out.append = next_append_++;
  out.sent = now;
  append_records command{.append = out.append, .stream = stream};
  std::size_t weight = 0;
  for (waiting_record& waiting : out.queue) {
    weight += Weight(waiting.record.body);
    if (weight > options_.batch_records && !command.records.empty()) {
      break;
    }
    ++waiting.unproven_appends;
    command.records.push_back(waiting.record);
  }
  out.in_append = command.records.size();
  commands.emplace_back(std::move(command));
  ++appends_;
  --tokens_;
  if (!next_token_) {
    next_token_ = now + options_.append_interval;
  }
}

void log_outbox::Refill(time_point now) {
  while (next_token_ && now >= *next_token_) {
    ++tokens_;
    if (tokens_ >= options_.append_burst) {
      next_token_.reset();
    } else {
      *next_token_ += options_.append_interval;
    }
  }
}

}  // namespace skylarkbridge::coordination
