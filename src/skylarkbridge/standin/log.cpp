#include "skylarkbridge/standin/log.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::standin {

std::optional<coordination::log_offset> log::Append(
    const std::string& stream,
    std::vector<std::string> records) {
  absl::MutexLock lock(&mutex_);
  if (!up_) {
    return std::nullopt;
  }
  ++appends_;
  stream_records& target = streams_[stream];
  const coordination::log_offset offset = target.first + target.records.size();
  std::move(records.begin(), records.end(), std::back_inserter(target.records));
  return offset;
}

std::optional<wire::raw_page> log::Read(const std::string& stream,
                                        coordination::log_offset offset,
                                        std::size_t limit) const {
  absl::MutexLock lock(&mutex_);
  if (!up_) {
    return std::nullopt;
  }
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return wire::raw_page{};
  }
  const stream_records& source = found->second;
  wire::raw_page page{.first = source.first,
                      .end = source.first + source.records.size()};
  for (auto at = std::max(offset, page.first);
       at < page.end && page.records.size() < limit; ++at) {
    page.records.emplace_back(at, source.records[at - source.first]);
  }
  return page;
}

void log::SetUp(bool up) {
  absl::MutexLock lock(&mutex_);
  up_ = up;
}

void log::LoseReplies(int count) {
  absl::MutexLock lock(&mutex_);
  lost_replies_ = count;
}

bool log::TakeLostReply() {
  absl::MutexLock lock(&mutex_);
  return lost_replies_ > 0 && lost_replies_-- > 0;
}

void log::Trim(const std::string& stream, coordination::log_offset offset) {
  absl::MutexLock lock(&mutex_);
  stream_records& target = streams_[stream];
  while (target.first < offset && !target.records.empty()) {
    target.records.pop_front();
    ++target.first;
  }
}

std::int64_t log::Appends() const {
  absl::MutexLock lock(&mutex_);
  return appends_;
}

}  // namespace skylarkbridge::standin
