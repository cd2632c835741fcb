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

struct upstream_options {
  /// Data centre of this VM; without it every upstream counts as local.
  std::optional<data_centre_id> data_centre;
  /// Ejection is ignored while more than this part of the upstreams that hold
  /// a lease is ejected. 700 lets half of the upstreams fail, which is the case
  /// that the design page asks for, with room for wrong suspicions.
  std::int64_t panic_permille = 700;
  /// Weight of one answer in the relative latency.
  double latency_weight = 0.1;
  ejection_options ejection = {};
};

/// @brief Where an upstream stands relative to this VM.
enum class locality { kLocal, kRemote };

struct upstream_entry {
  upstream_state state;
  /// Attempts that run on it.
  std::int64_t in_use = 0;
  /// Its service time over the mean of each service, averaged.
  double relative_latency = 1;
  upstream_health health;
  bool lease_expired = false;
  /// Group and slots under which the entry is counted, if it is.
  std::optional<std::size_t> counted_group;
  std::int64_t counted_slots = 0;
  /// Place in the list of candidates of the group, if it has room.
  std::optional<std::size_t> position;
};

/// @brief Upstreams of one locality that have room now.
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

/// @brief Upstreams, the room on each, and which of them may get an attempt.
///
/// An upstream has room while it is live, its lease runs and fewer attempts run
/// on it than its slots and its connections allow. Upstreams with room are kept
/// in dense lists, so that a choice needs no scan.
class upstream_table {
 public:
  explicit upstream_table(upstream_options options = {}) : options_(options) {}

  void Update(const upstream_state& state, time_point now);
  /// @brief Withdraws upstreams whose lease has ended and readmits upstreams
  /// whose ejection has ended. Must run before a choice.
  void Advance(time_point now);

  candidate_view Candidates(locality where) const;
  const upstream_entry& At(upstream_index index) const {
    return entries_[index];
  }
  /// @brief Takes a slot and a connection. Returns false when the upstream has
  /// no room or its lease has ended at @p now.
  [[nodiscard]] bool Take(upstream_index index, time_point now);
  void Return(upstream_index index);

  void Failed(upstream_index index, time_point now);
  /// @brief Records an answer that took @p ratio of the mean service time.
  void Answered(upstream_index index, double ratio);

  /// @brief Usable slots of the own data centre, or of the others when the own
  /// one has none.
  std::int64_t Capacity() const;
  /// @brief Whether any upstream is known that is not gone.
  bool Any() const { return !indices_.empty(); }
  /// @brief End of the next ejection.
  std::optional<time_point> NextDeadline() const { return ejections_.First(); }

 private:
  /// Upstreams of one locality and one side of ejection.
  struct group {
    std::vector<upstream_index> with_room;
    std::int64_t upstreams = 0;
    std::int64_t slots = 0;
  };

  static std::size_t GroupOf(locality where, bool ejected) {
    return (where == locality::kLocal ? 0U : 2U) + (ejected ? 1U : 0U);
  }
  bool Panics(locality where) const;
  std::int64_t SlotsOf(locality where) const;
  std::int64_t Limit(const upstream_entry& entry) const;
  void Refresh(upstream_index index);
  void Unlist(upstream_entry& entry);
  void Free(upstream_index index);

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
