#ifndef SKYLARKBRIDGE_SCHEDULING_DEADLINE_INDEX_HPP
#define SKYLARKBRIDGE_SCHEDULING_DEADLINE_INDEX_HPP

#include <optional>
#include <utility>

#include "absl/container/btree_set.h"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::scheduling {

/// @brief Set of keys ordered by due time. Unlike the entries of a
/// deadline_queue, keys can be erased before they are due. Insert, Erase and
/// PopDue take logarithmic time, First and FirstKey constant time.
template <class Key>
class deadline_index {
 public:
  void Insert(time_point due, Key key) { entries_.insert({due, key}); }
  void Erase(time_point due, Key key) { entries_.erase({due, key}); }

  /// @brief Earliest due time, if there is any key.
  std::optional<time_point> First() const {
    return entries_.empty() ? std::nullopt
                            : std::optional(entries_.begin()->first);
  }

  /// @brief Key with the earliest due time. The index must not be empty.
  const Key& FirstKey() const { return entries_.begin()->second; }

  /// @brief Removes and returns the key with the earliest due time, if it is
  /// due at @p now.
  std::optional<Key> PopDue(time_point now) {
    if (entries_.empty() || entries_.begin()->first > now) {
      return std::nullopt;
    }
    const Key key = entries_.begin()->second;
    entries_.erase(entries_.begin());
    return key;
  }

 private:
  absl::btree_set<std::pair<time_point, Key>> entries_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_DEADLINE_INDEX_HPP
