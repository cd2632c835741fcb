#ifndef SKYLARKBRIDGE_SCHEDULING_KIND_TABLE_HPP
#define SKYLARKBRIDGE_SCHEDULING_KIND_TABLE_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/batch_status.hpp"
#include "skylarkbridge/scheduling/failure_tracker.hpp"
#include "skylarkbridge/scheduling/task_table.hpp"
#include "skylarkbridge/scheduling/usage_model.hpp"

namespace skylarkbridge::scheduling {

/// @brief Order in which kinds with waiting tasks are served.
struct queue_key {
  bool under_minimum = false;
  std::int64_t urgency = 0;
  std::uint64_t sequence = 0;
  kind_index kind = kNone;

  bool operator==(const queue_key&) const = default;
  /// @brief True when this is served before @p other.
  bool operator<(const queue_key& other) const;
};

enum class queue_state {
  kEmpty,
  /// Not tried since it or the room changed.
  kReady,
  kInsufficientResources,
  /// Stopped by a cap, a quota or failures.
  kHeld,
};

struct kind_entry {
  declaration::batch_kind declared;
  /// False for a kind that is only known from running tasks or was removed.
  bool is_declared = false;
  team_index team = kNone;
  task_list waiting;
  std::int64_t running = 0;
  resources leased;
  /// Leased to tasks that are being evicted or stopped.
  resources ending;
  usage_model usage;
  kind_failures failures;
  /// Tasks started while the kind was on trial that have not ended.
  std::int64_t trials = 0;
  absl::flat_hash_map<rack_id, std::int64_t> per_rack;
  queue_state state = queue_state::kEmpty;
  waiting_reason held_reason = waiting_reason::kShareCap;
  queue_key key;
  /// Tasks for which a worker is reserved.
  std::int64_t reservations = 0;
  /// Lease at the last try; a smaller one is worth another try.
  resources last_tried_lease;
};

struct team_entry {
  declaration::team declared;
  resources leased;
  resources ending;
  std::vector<kind_index> kinds;
};

/// @brief Kinds and teams with what they hold, and the rules of shares: a
/// guaranteed minimum, a cap, and for teams a quota. Parts of the fleet are
/// counted in processors.
class kind_table {
 public:
  /// @brief Replaces the declaration and keeps what was learnt and leased.
  void Configure(const declaration::configuration& config);
  kind_index Find(const std::string& name) const;
  /// @brief Adds an undeclared kind when the name is unknown.
  kind_index Ensure(const std::string& name);

  kind_entry& operator[](kind_index index) { return kinds_[index]; }
  const kind_entry& operator[](kind_index index) const { return kinds_[index]; }
  const team_entry& Team(kind_index kind) const {
    return teams_[kinds_[kind].team];
  }
  std::size_t Size() const { return kinds_.size(); }

  void Lease(kind_index kind, const resources& amount);
  void Release(kind_index kind, const resources& amount);
  /// @brief Marks part of what the kind holds as being given back, or, with a
  /// negative amount, as no longer so.
  void MarkEnding(kind_index kind, const resources& amount);

  /// @param fleet capacity of all workers that get work.
  /// @param promised processors beyond those the kind holds.
  bool UnderMinimum(kind_index kind,
                    const resources& fleet,
                    std::int64_t promised = 0) const;
  /// @brief True when the kind and its team keep their minimum without
  /// @p amount.
  bool KeepsMinimumWithout(kind_index kind,
               const resources& amount,
               const resources& fleet) const;
  std::optional<waiting_reason> BlockingReason(kind_index kind,
                                        const resources& need,
                                        const resources& fleet) const;
  /// @brief True when one task of this size is within the quota of the team.
  bool WithinQuota(kind_index kind, const resources& need) const;

 private:
  team_index EnsureTeam(const std::string& name);

  /// A deque keeps references valid while kinds are added.
  std::deque<kind_entry> kinds_;
  std::vector<team_entry> teams_;
  absl::flat_hash_map<std::string, kind_index> kind_names_;
  absl::flat_hash_map<std::string, team_index> team_names_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_KIND_TABLE_HPP
