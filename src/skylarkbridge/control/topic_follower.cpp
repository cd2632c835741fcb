#include "skylarkbridge/control/topic_follower.hpp"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/control/text_format.hpp"

namespace skylarkbridge::control {

std::optional<jobs::reader_news> topic_follower::Take(
    read_reply reply,
    time_point now,
    control_metrics& metrics) {
  if (const auto* const failed = std::get_if<read_failed>(&reply.outcome)) {
    reader_.Failed(reply.number, now);
    metrics.Count(source_.kind, "read", failed->result);
    NoteStore(failed->result, true);
    return std::nullopt;
  }
  metrics.Count(source_.kind, "read", store_result::kDone);
  NoteStore(store_result::kDone, false);
  jobs::reader_news news;
  if (std::holds_alternative<history_trimmed>(reply.outcome)) {
    reader_.Trimmed(reply.number, now);
  } else if (auto* const page =
                 std::get_if<jobs::snapshot_page>(&reply.outcome)) {
    news = reader_.Took(reply.number, std::move(*page), now);
  } else if (auto* const tail = std::get_if<jobs::tail_page>(&reply.outcome)) {
    news = reader_.Took(reply.number, std::move(*tail), now);
  }
  if (news.snapshot_complete) {
    LogEvent(kSnapshotRead, {{"topic", Format(source_)},
                             {"keys", absl::StrCat(news.snapshot_keys.size())},
                             {"next", absl::StrCat(reader_.NextOffset())}});
  }
  return news;
}

void topic_follower::NoteStore(store_result result, bool failed) {
  if (failed == lost_) {
    return;
  }
  lost_ = failed;
  if (failed) {
    LogEvent(kStoreLost, {{"topic", Format(source_)},
                          {"result", std::string(Name(result))}});
  } else {
    LogEvent(kStoreRegained, {{"topic", Format(source_)}});
  }
}

}  // namespace skylarkbridge::control
