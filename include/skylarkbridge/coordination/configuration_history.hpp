#ifndef SKYLARKBRIDGE_COORDINATION_CONFIGURATION_HISTORY_HPP
#define SKYLARKBRIDGE_COORDINATION_CONFIGURATION_HISTORY_HPP

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/coordination/log_record.hpp"

namespace skylarkbridge::coordination {

/// @brief The last versions with the records that won and what they changed,
/// to tell the loser of a conflict.
class configuration_history {
 public:
  explicit configuration_history(std::size_t capacity) : capacity_(capacity) {}

  void Add(version_number number,
           const record_id& record,
           std::vector<std::string> changes) {
    if (versions_.size() >= capacity_) {
      versions_.pop_front();
    }
    versions_.push_back({number, record, std::move(changes)});
  }

  void Clear() { versions_.clear(); }

  bool Won(const record_id& record) const {
    return std::any_of(
        versions_.begin(), versions_.end(),
        [&](const auto& entry) { return entry.record == record; });
  }

  /// @brief Record that won on @p base, if it is remembered.
  std::optional<record_id> WinnerOn(version_number base) const {
    for (const version_entry& entry : versions_) {
      if (entry.number == base + 1) {
        return entry.record;
      }
    }
    return std::nullopt;
  }

  /// @brief Changes of all versions after @p base, oldest first.
  std::vector<std::string> ChangesSince(version_number base) const {
    std::vector<std::string> changes;
    if (!WinnerOn(base)) {
      changes.emplace_back("versions after " + std::to_string(base) +
                           " are no longer remembered");
    }
    for (const version_entry& entry : versions_) {
      if (entry.number > base) {
        changes.insert(changes.end(), entry.changes.begin(),
                       entry.changes.end());
      }
    }
    return changes;
  }

 private:
  struct version_entry {
    version_number number = 0;
    record_id record;
    std::vector<std::string> changes;
  };

  std::size_t capacity_;
  std::deque<version_entry> versions_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_CONFIGURATION_HISTORY_HPP
