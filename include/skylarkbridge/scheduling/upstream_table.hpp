#ifndef SKYLARKBRIDGE_SCHEDULING_UPSTREAM_TABLE_HPP
#define SKYLARKBRIDGE_SCHEDULING_UPSTREAM_TABLE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/deadline_index.hpp"
#include "skylarkbridge/scheduling/outlier_ejection.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"

namespace skylarkbridge::scheduling {

/// @brief Position of an upstream in the upstream table.
using upstream_index = std::uint32_t;

/// @brief Options of the upstream table.
struct upstream_options {
  /// Data centre of this VM. Without it every upstream counts as local.
  std::optional<data_centre_id> data_centre;
  /// Panic threshold: ejection is ignored while more than this fraction of the
  /// upstreams with a lease is ejected, in thousandths. 700 covers the design
  /// target that half of the upstreams fail, with a margin for false positives.
  std::int64_t panic_permille = 700;
  /// Weight of a new answer in the relative latency.
  double latency_weight = 0.1;
  ejection_options ejection = {};
};

/// @brief Whether an upstream is in the data centre of this VM.
enum class locality { kLocal, kRemote };

/// @brief State, load and health of one upstream.
struct upstream_entry {
  upstream_state state;
  /// Number of running attempts.
  std::int64_t in_use = 0;
  /// Moving average of the ratio of its service times to the mean of the
  /// service; 1 is average.
  double relative_latency = 1;
  upstream_health health;
  bool lease_expired = false;
  /// Group whose totals include this entry; none while the entry allows no
  /// attempts.
  std::optional<std::size_t> counted_group;
  /// Slots of this entry in the total of the group.
  std::int64_t counted_slots = 0;
  /// Position in the candidates of the group; set only with a free slot.
  std::optional<std::size_t> position;
};

/// @brief Upstreams of one locality that have a free slot. Becomes invalid when
/// the table changes.
class candidate_view {
 public:
  candidate_view(const std::vector<upstream_entry>& entries,
                 const std::vector<upstream_index>& healthy,
                 const std::vector<upstream_index>* ejected)
      : entries_(entries), healthy_(healthy), ejected_(ejected) {}

  std::size_t size() const {
    return healthy_.size() + (ejected_ == nullptr ? 0 : ejected_->size());
  }
  upstream_index Index(std::size_t at) const {
    return at < healthy_.size() ? healthy_[at]
                                : (*ejected_)[at - healthy_.size()];
  }
  const upstream_entry& operator[](std::size_t at) const {
    return entries_[Index(at)];
  }

 private:
  const std::vector<upstream_entry>& entries_;
  const std::vector<upstream_index>& healthy_;
  const std::vector<upstream_index>* ejected_;
};

/// @brief Upstreams with their free slots, and the candidates for an attempt.
///
/// An upstream has a free slot while it is live, its lease is valid, and it has
/// fewer running attempts than slots and connections. Upstreams with a free
/// slot are kept in dense lists, so that routing needs no scan.
class upstream_table {
 public:
  explicit upstream_table(upstream_options options = {}) : options_(options) {}

  /// @brief Adds or changes an upstream. One that is gone is removed as soon as
  /// its last attempt has ended.
  void Update(const upstream_state& state, time_point now);
  /// @brief Removes candidates whose lease has ended and readmits upstreams
  /// whose ejection has ended. Must be called before Candidates.
  void Advance(time_point now);

  /// @brief Upstreams that may receive an attempt. Includes ejected upstreams
  /// while the fraction of ejected upstreams is above the panic threshold.
  candidate_view Candidates(locality location) const;
  const upstream_entry& At(upstream_index index) const {
    return entries_[index];
  }
  /// @brief Acquires a slot and a connection. Returns false when the upstream
  /// has no free slot or its lease has ended at @p now.
  [[nodiscard]] bool AcquireSlot(upstream_index index, time_point now);
  /// @brief Releases a slot and a connection.
  void ReleaseSlot(upstream_index index);

  /// @brief Records a failed attempt, which may eject the upstream.
  void ReportFailure(upstream_index index, time_point now);
  /// @brief Records an answered attempt whose service time was @p ratio times
  /// the mean of the service.
  void ReportAnswer(upstream_index index, double ratio);

  /// @brief Number of usable slots in the data centre of this VM. If there are
  /// none, number of usable slots in the other data centres.
  std::int64_t Capacity() const;
  /// @brief Whether the table has any upstream.
  bool HasUpstreams() const { return !indices_.empty(); }
  /// @brief End of the next ejection, if any.
  std::optional<time_point> NextDeadline() const { return ejections_.First(); }

 private:
  /// Upstreams of one locality, either the ejected ones or the others.
  struct group {
    /// Upstreams with a free slot.
    std::vector<upstream_index> candidates;
    /// Number of upstreams that allow attempts, with or without a free slot.
    std::int64_t upstreams = 0;
    std::int64_t slots = 0;
  };

  static std::size_t GroupOf(locality location, bool ejected) {
    return (location == locality::kLocal ? 0U : 2U) + (ejected ? 1U : 0U);
  }
  /// Whether the fraction of ejected upstreams is above the panic threshold.
  bool IgnoresEjection(locality location) const;
  std::int64_t SlotsOf(locality location) const;
  /// Number of concurrent attempts that the upstream may have now.
  std::int64_t Limit(const upstream_entry& entry) const;
  /// Updates the group of the entry and the totals of the group, and lists the
  /// entry as a candidate while it has a free slot.
  void UpdateGroup(upstream_index index);
  void RemoveFromCandidates(upstream_entry& entry);
  void FreeEntry(upstream_index index);

  upstream_options options_;
  std::vector<upstream_entry> entries_;
  std::vector<upstream_index> free_;
  absl::flat_hash_map<worker_id, upstream_index> indices_;
  std::array<group, 4> groups_;
  deadline_index<upstream_index> leases_;
  deadline_index<upstream_index> ejections_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_UPSTREAM_TABLE_HPP
