#include "skylarkbridge/control/rejected_entries.hpp"

namespace skylarkbridge::control {

bool rejected_entries::Add(const std::string& key, std::uint64_t offset) {
  if (keys_.size() >= options_.max_keys && !keys_.contains(key)) {
    keys_.clear();
  }
  const auto [entry, added] =
      keys_.try_emplace(key, rejected_key{.offset = offset});
  if (added) {
    return true;
  }
  const bool is_new = offset > entry->second.offset;
  if (is_new) {
    entry->second.offset = offset;
  }
  return is_new;
}

bool rejected_entries::TakeLine(const std::string& key, time_point now) {
  rejected_key& known = keys_[key];
  if (known.next_line && now < *known.next_line) {
    return false;
  }
  if (now >= second_ends_) {
    second_ends_ = now + std::chrono::seconds(1);
    lines_ = 0;
  }
  if (lines_ >= options_.max_lines_per_second) {
    return false;
  }
  ++lines_;
  known.next_line = now + options_.key_interval;
  return true;
}

}  // namespace skylarkbridge::control
