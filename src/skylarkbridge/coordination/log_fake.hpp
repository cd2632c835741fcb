#ifndef SKYLARKBRIDGE_COORDINATION_LOG_FAKE_HPP
#define SKYLARKBRIDGE_COORDINATION_LOG_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <functional>
#include <set>
#include <variant>
#include <vector>

#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_outbox.hpp"
#include "virtual_time_fake.hpp"

namespace skylarkbridge::coordination {

/// One stream of the platform's log, with the faults that tests need.
struct log_fake {
  std::vector<log_record> records;
  log_offset first = 0;
  bool up = true;
  std::chrono::milliseconds latency{20};
  /// Appends that take effect although their reply is lost.
  int lost_replies = 0;
  /// Writes that take effect this long after their reply was lost.
  std::chrono::milliseconds write_delay{0};

  void Trim(log_offset offset) { first = offset; }
  void Write(const std::vector<log_record>& added) {
    records.insert(records.end(), added.begin(), added.end());
  }
  read_page Read(log_offset offset, std::size_t limit) const {
    read_page page{.first = first, .end = records.size()};
    for (log_offset i = std::max(offset, first);
         i < records.size() && page.records.size() < limit; ++i) {
      page.records.push_back({i, records[i]});
    }
    return page;
  }
};

/// Outbox and cursor of one VM on a stream.
class log_client_fake {
 public:
  log_client_fake(virtual_time& time,
                  log_fake& log,
                  std::uint64_t vm,
                  log_stream stream = log_stream::kTasks,
                  log_outbox_options options = {})
      : outbox({vm}, options), time_(time), log_(log), stream_(stream) {
    TickLater();
  }

  std::variant<record_id, add_refusal> Add(record_body body) {
    return outbox.Add(std::move(body), time_.Now(), time_.Wall());
  }

  log_outbox outbox;
  log_cursor cursor{{}};
  std::set<record_id> durable;
  std::set<record_id> refused;
  std::vector<offset_gap> gaps;
  int rewinds = 0;
  std::function<void(const stored_record&)> on_record = [](const auto&) {};
  std::function<void(const offset_gap&)> on_gap = [](const auto&) {};
  std::function<void()> on_end = [] {};

 private:
  void TickLater() {
    time_.After(std::chrono::milliseconds(10), [this] {
      Run(outbox.Tick(time_.Now()));
      Run(cursor.Tick(time_.Now()));
      TickLater();
    });
  }
  void Run(const outbox_commands& commands) {
    for (const auto& command : commands) {
      std::visit([this](const auto& c) { Do(c); }, command);
    }
  }
  void Run(const cursor_commands& commands) {
    for (const auto& command : commands) {
      std::visit([this](const auto& c) { Do(c); }, command);
    }
  }
  void Do(const append_records& command) {
    if (!log_.up) {
      Reply(command.append, append_result::kNotWritten);
    } else if (log_.lost_replies > 0) {
      --log_.lost_replies;
      time_.After(log_.write_delay,
                  [this, command] { log_.Write(command.records); });
    } else {
      log_.Write(command.records);
      Reply(command.append, append_result::kWritten);
    }
  }
  void Reply(std::uint64_t append, append_result result) {
    time_.After(log_.latency, [this, append, result] {
      Run(outbox.Finish(append, result, time_.Now()));
    });
  }
  void Do(const read_log& command) {
    const bool up = log_.up;
    read_page page = log_.Read(command.offset, command.limit);
    time_.After(log_.latency, [this, command, up, page] {
      if (up) {
        Run(cursor.Receive(command.read, page, time_.Now()));
      } else {
        cursor.Fail(command.read, time_.Now());
      }
    });
  }
  void Do(const read_to_end& /*command*/) { cursor.ReadSoon(); }
  void Do(const record_durable& command) { durable.insert(command.id); }
  void Do(const record_refused& command) { refused.insert(command.id); }
  void Do(const log_availability& /*command*/) {}
  void Do(const stored_record& stored) {
    on_record(stored);
    Run(outbox.Observe(stream_, stored.record.id));
  }
  void Do(const offset_gap& gap) {
    gaps.push_back(gap);
    on_gap(gap);
  }
  void Do(const log_rewound& /*command*/) { ++rewinds; }
  void Do(const reached_end& command) {
    on_end();
    Run(outbox.ReachedEnd(stream_, command.read_sent, time_.Now()));
  }

  virtual_time& time_;
  log_fake& log_;
  const log_stream stream_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_LOG_FAKE_HPP
