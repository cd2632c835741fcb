#include "skylarkbridge/control/topic_follower.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/control/text_format.hpp"

namespace skylarkbridge::control {

std::optional<jobs::reader_update> topic_follower::HandleReply(
    read_reply reply,
    time_point now,
    control_metrics& metrics) {
  if (const auto* const failed = std::get_if<read_failed>(&reply.outcome)) {
    reader_.Failed(reply.number, now);
    ++failed_reads_;
    metrics.Count(source_.kind, "read", failed->result);
    RecordStoreResult(failed->result, true);
    return std::nullopt;
  }
  metrics.Count(source_.kind, "read", store_result::kDone);
  RecordStoreResult(store_result::kDone, false);
  const std::optional<time_point> complete_before = reader_.CompleteUntil();
  jobs::reader_update update;
  if (std::holds_alternative<history_trimmed>(reply.outcome)) {
    reader_.Trimmed(reply.number, now);
  } else if (auto* const page =
                 std::get_if<jobs::snapshot_page>(&reply.outcome)) {
    update = reader_.Received(reply.number, std::move(*page), now);
  } else if (auto* const tail = std::get_if<jobs::tail_page>(&reply.outcome)) {
    update = reader_.Received(reply.number, std::move(*tail), now);
  }
  if (reader_.CompleteUntil() != complete_before) {
    failed_reads_ = 0;
  }
  if (update.snapshot_complete) {
    LogEvent(kSnapshotRead,
             {{"topic", Format(source_)},
              {"keys", absl::StrCat(update.snapshot_keys.size())},
              {"next", absl::StrCat(reader_.NextOffset())}});
  }
  return update;
}

std::chrono::milliseconds topic_follower::ReportAge(time_point now) {
  reported_since_ = reported_since_.value_or(now);
  const time_point current = std::max(
      *reported_since_, reader_.CompleteUntil().value_or(time_point{}));
  const auto age =
      std::max(std::chrono::milliseconds(0),
               std::chrono::floor<std::chrono::milliseconds>(now - current));
  if (age >= reader_.RegularAge() + kMaxDelay && now >= next_report_) {
    next_report_ = now + kReportInterval;
    LogEvent(kReadsBehind, {{"topic", Format(source_)},
                            {"age_ms", absl::StrCat(age.count())},
                            {"failed", absl::StrCat(failed_reads_)},
                            {"snapshot", reader_.InSnapshot() ? "yes" : "no"}});
  }
  return age;
}

void topic_follower::RecordStoreResult(store_result result, bool failed) {
  if (failed == store_lost_) {
    return;
  }
  store_lost_ = failed;
  if (failed) {
    LogEvent(kStoreLost, {{"topic", Format(source_)},
                          {"result", std::string(Name(result))}});
  } else {
    LogEvent(kStoreRegained, {{"topic", Format(source_)}});
  }
}

}  // namespace skylarkbridge::control
