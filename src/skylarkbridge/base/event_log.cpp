#include "skylarkbridge/base/event_log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/events.hpp"
#include "skylarkbridge/base/log_budget.hpp"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {
namespace {

/// A write of at most so many bytes to a pipe that polls as writable does not
/// block.
constexpr std::size_t kMaxLineBytes = 4096;
/// The field of an event that divides its lines into kinds.
constexpr std::string_view kKindField = "what";
/// Kinds of dropped lines that are counted apart until the next notice.
constexpr std::size_t kMaxDroppedKinds = 32;
constexpr std::string_view kOtherKinds = "other";
/// Interval of the notices of dropped lines between infos. A warning always
/// follows the notice of the lines dropped before it.
constexpr std::chrono::seconds kNoticeInterval{1};

/// Time of the lines of this thread; empty for that of the machine's clock.
thread_local std::optional<wall_time> scoped_time;

wall_time LineTime() {
  return scoped_time.value_or(std::chrono::time_point_cast<wall_time::duration>(
      std::chrono::system_clock::now()));
}

std::string_view Name(event_severity severity) {
  switch (severity) {
    case event_severity::kInfo:
      return "info";
    case event_severity::kWarning:
      return "warning";
    case event_severity::kError:
      return "error";
  }
  return "error";
}

void AppendQuoted(std::string_view text, std::string& line) {
  line += '"';
  for (const char letter : text) {
    const auto code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      line += '\\';
      line += letter;
    } else if (code < 0x20 || code >= 0x7F) {
      // Bytes beyond ASCII may be no valid UTF-8.
      absl::StrAppend(&line, absl::StrFormat("\\u%04x", code));
    } else {
      line += letter;
    }
  }
  line += '"';
}

/// Name of the event, with the kind of the line where it has one.
std::string KindOf(const event_definition& event,
                   std::initializer_list<event_field> fields) {
  for (const event_field& field : fields) {
    if (field.name == kKindField) {
      return absl::StrCat(ToAbsl(event.name), "/", field.value);
    }
  }
  return std::string(event.name);
}

/// Counts the lines that were left out since the last notice.
class dropped_lines {
 public:
  void Add(std::string kind) {
    ++total_;
    const bool separate =
        kinds_.size() < kMaxDroppedKinds || kinds_.contains(kind);
    ++kinds_[separate ? std::move(kind) : std::string(kOtherKinds)];
  }
  bool Empty() const { return total_ == 0; }
  /// Returns the line that reports the counts, and begins anew.
  std::string TakeNotice() {
    std::vector<std::pair<std::uint64_t, std::string>> by_count;
    for (const auto& [kind, lines] : std::exchange(kinds_, {})) {
      by_count.emplace_back(lines, kind);
    }
    std::sort(by_count.rbegin(), by_count.rend());
    const std::string kinds =
        absl::StrJoin(by_count, " ", [](std::string* text, const auto& entry) {
          absl::StrAppend(text, entry.second, ":", entry.first);
        });
    return FormatEvent(
        base::kLogLinesDropped,
        {{"lines", absl::StrCat(std::exchange(total_, 0))}, {"kinds", kinds}});
  }

 private:
  std::uint64_t total_ = 0;
  std::map<std::string, std::uint64_t> kinds_;
};

/// Limits the volume and never waits for the reader of the log.
class line_writer {
 public:
  void Write(const event_definition& event,
             std::initializer_list<event_field> fields)
      ABSL_LOCKS_EXCLUDED(mutex_) {
    std::string line = FormatEvent(event, fields);
    const log_class line_class = event.severity == event_severity::kInfo
                                     ? event.line_class
                                     : log_class::kRare;
    absl::MutexLock lock(&mutex_);
    const time_point now = boot_clock::now();
    if (!budget_.Has(line_class, now) || !Writable()) {
      dropped_.Add(KindOf(event, fields));
      return;
    }
    if (!dropped_.Empty() &&
        (event.severity != event_severity::kInfo || now >= next_notice_)) {
      next_notice_ = now + kNoticeInterval;
      WriteNotice();
    }
    budget_.Take(line_class);
    if (!WriteLine(std::move(line))) {
      dropped_.Add(KindOf(event, fields));
    }
  }

 private:
  static bool Writable() {
    pollfd descriptor{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
  }

  void WriteNotice() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    budget_.Take(log_class::kRare);
    if (!WriteLine(dropped_.TakeNotice())) {
      dropped_.Add(KindOf(base::kLogLinesDropped, {}));
    }
  }

  /// Returns false when the line could not be written.
  bool WriteLine(std::string line) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (line.size() >= kMaxLineBytes) {
      line.resize(kMaxLineBytes - 1);
    }
    line += '\n';
    return write(STDOUT_FILENO, line.data(), line.size()) >= 0;
  }

  absl::Mutex mutex_;
  log_budget budget_ ABSL_GUARDED_BY(mutex_){boot_clock::now()};
  time_point next_notice_ ABSL_GUARDED_BY(mutex_);
  dropped_lines dropped_ ABSL_GUARDED_BY(mutex_);
};

line_writer& Writer() {
  static line_writer writer;
  return writer;
}

}  // namespace

event_time_scope::event_time_scope(wall_time time)
    : outer_(std::exchange(scoped_time, time)) {}

event_time_scope::~event_time_scope() {
  scoped_time = outer_;
}

std::string FormatEvent(const event_definition& event,
                        std::initializer_list<event_field> fields) {
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(LineTime());
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  std::string line =
      absl::StrFormat("{\"time\":%d.%03d,\"event\":%d,\"severity\":",
                      seconds.time_since_epoch().count(),
                      (now - seconds).count(), event.number);
  AppendQuoted(Name(event.severity), line);
  line += ",\"name\":";
  AppendQuoted(event.name, line);
  for (const event_field& field : fields) {
    if (field.value.empty()) {
      continue;
    }
    line += ',';
    AppendQuoted(field.name, line);
    line += ':';
    AppendQuoted(field.value, line);
  }
  line += '}';
  return line;
}

void LogEvent(const event_definition& event,
              std::initializer_list<event_field> fields) {
  Writer().Write(event, fields);
}

}  // namespace skylarkbridge
