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

/// @brief Sort key of the kinds with waiting tasks.
struct queue_key {
  bool below_minimum = false;
  std::int64_t urgency = 0;
  std::uint64_t sequence = 0;
  kind_index kind = kNone;

  bool operator==(const queue_key&) const = default;
  /// @brief True if this is served before @p other: kinds below their minimum
  /// first, then by urgency and by order of submission.
  bool operator<(const queue_key& other) const;
};

/// @brief Scheduling state of the queue of one kind.
enum class queue_state {
  kEmpty,
  /// Not tried since the queue or the free resources changed.
  kReady,
  /// No worker has enough free resources for the first task.
  kInsufficientResources,
  /// Blocked by a cap, a quota or failures.
  kHeld,
};

/// @brief Declaration, queue and current use of one batch kind.
struct kind_entry {
  declaration::batch_kind declared;
  /// False for a kind that was removed or is known only from running tasks.
  bool is_declared = false;
  team_index team = kNone;
  task_list waiting;
  std::int64_t running = 0;
  resources leased;
  /// Part of `leased` that belongs to tasks being evicted or stopped.
  resources leases_ending;
  usage_model usage;
  kind_failures failures;
  /// Running tasks that were started as trials.
  std::int64_t trials = 0;
  absl::flat_hash_map<rack_id, std::int64_t> per_rack;
  queue_state state = queue_state::kEmpty;
  waiting_reason held_reason = waiting_reason::kShareCap;
  queue_key key;
  /// Number of tasks for which a worker is reserved.
  std::int64_t reservations = 0;
  /// Size of the lease for which no worker had enough free resources at the
  /// last attempt. The kind is tried again when that much becomes free or its
  /// lease becomes smaller.
  resources unplaceable_lease;
};

/// @brief Declaration and current use of one team.
struct team_entry {
  declaration::team declared;
  resources leased;
  resources leases_ending;
  std::vector<kind_index> kinds;
};

/// @brief Kinds and teams, the resources that they lease, and the rules of
/// shares: a guaranteed minimum, a cap, and for teams a quota. Minimum and cap
/// are thousandths of the processors of the fleet.
class kind_table {
 public:
  /// @brief Replaces the declarations; keeps leases and learnt usage.
  void Configure(const declaration::configuration& config);
  /// @return kNone if the name is unknown.
  kind_index Find(const std::string& name) const;
  /// @brief Finds a kind; adds an undeclared one if the name is unknown.
  kind_index Ensure(const std::string& name);

  kind_entry& operator[](kind_index index) { return kinds_[index]; }
  const kind_entry& operator[](kind_index index) const { return kinds_[index]; }
  const team_entry& Team(kind_index kind) const {
    return teams_[kinds_[kind].team];
  }
  std::size_t Size() const { return kinds_.size(); }

  void Lease(kind_index kind, const resources& amount);
  void Release(kind_index kind, const resources& amount);
  /// @brief Adds @p amount to the leases of the kind that are about to be
  /// released; a negative amount subtracts from them.
  void MarkEnding(kind_index kind, const resources& amount);

  /// @brief True if the kind or its team holds less than its minimum.
  /// @param fleet total capacity of the workers that accept work.
  /// @param promised millicores to count in addition to the current leases.
  bool BelowMinimum(kind_index kind,
                    const resources& fleet,
                    std::int64_t promised = 0) const;
  /// @brief True if the kind and its team keep their minimum after releasing
  /// @p amount.
  bool KeepsMinimumWithout(kind_index kind,
                           const resources& amount,
                           const resources& fleet) const;
  /// @return the cap or quota that a further lease of @p need would exceed, if
  /// any.
  std::optional<waiting_reason> BlockingReason(kind_index kind,
                                               const resources& need,
                                               const resources& fleet) const;
  /// @brief True if a single task of this size is within the quota of the team.
  bool TaskFitsQuota(kind_index kind, const resources& need) const;

 private:
  team_index EnsureTeam(const std::string& name);

  /// A deque, so that references stay valid when kinds are added.
  std::deque<kind_entry> kinds_;
  std::vector<team_entry> teams_;
  absl::flat_hash_map<std::string, kind_index> kind_names_;
  absl::flat_hash_map<std::string, team_index> team_names_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_KIND_TABLE_HPP
