#include "skylarkbridge/scheduling/upstream_table.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

namespace {

constexpr std::int64_t kPermille = 1000;

/// Bounds of one sample of the relative latency, so that a single outlier can't
/// exclude an upstream or attract all requests to it.
constexpr double kLowestRelativeLatency = 0.2;
constexpr double kHighestRelativeLatency = 20;

}  // namespace

void upstream_table::Update(const upstream_state& state, time_point now) {
  const auto known = indices_.find(state.upstream);
  if (known == indices_.end() && state.status == upstream_status::kGone) {
    return;
  }
  upstream_index index = 0;
  if (known != indices_.end()) {
    index = known->second;
    leases_.Erase(entries_[index].state.lease_deadline, index);
  } else if (!free_.empty()) {
    index = free_.back();
    free_.pop_back();
    entries_[index] = {};
  } else {
    index = static_cast<upstream_index>(entries_.size());
    entries_.emplace_back();
  }
  indices_[state.upstream] = index;
  upstream_entry& entry = entries_[index];
  entry.state = state;
  entry.lease_expired = state.lease_deadline <= now;
  if (!entry.lease_expired) {
    leases_.Insert(state.lease_deadline, index);
  }
  UpdateGroup(index);
  if (state.status == upstream_status::kGone && entry.in_use == 0) {
    FreeEntry(index);
  }
}

void upstream_table::Advance(time_point now) {
  while (const std::optional<upstream_index> index = leases_.PopDue(now)) {
    entries_[*index].lease_expired = true;
    UpdateGroup(*index);
  }
  while (const std::optional<upstream_index> index = ejections_.PopDue(now)) {
    StartProbation(entries_[*index].health);
    UpdateGroup(*index);
  }
}

candidate_view upstream_table::Candidates(locality location) const {
  return {entries_, groups_[GroupOf(location, false)].candidates,
          IgnoresEjection(location)
              ? &groups_[GroupOf(location, true)].candidates
              : nullptr};
}

bool upstream_table::AcquireSlot(upstream_index index, time_point now) {
  upstream_entry& entry = entries_[index];
  if (entry.state.lease_deadline <= now || !entry.position) {
    return false;
  }
  ++entry.in_use;
  UpdateGroup(index);
  return true;
}

void upstream_table::ReleaseSlot(upstream_index index) {
  upstream_entry& entry = entries_[index];
  --entry.in_use;
  UpdateGroup(index);
  if (entry.state.status == upstream_status::kGone && entry.in_use == 0) {
    FreeEntry(index);
  }
}

void upstream_table::ReportFailure(upstream_index index, time_point now) {
  upstream_entry& entry = entries_[index];
  if (RecordFailure(entry.health, options_.ejection, now)) {
    ejections_.Insert(entry.health.ejected_until, index);
    UpdateGroup(index);
  }
}

void upstream_table::ReportAnswer(upstream_index index, double ratio) {
  upstream_entry& entry = entries_[index];
  entry.relative_latency +=
      (std::clamp(ratio, kLowestRelativeLatency, kHighestRelativeLatency) -
       entry.relative_latency) *
      options_.latency_weight;
  if (RecordSuccess(entry.health, options_.ejection)) {
    UpdateGroup(index);
  }
}

std::int64_t upstream_table::Capacity() const {
  const std::int64_t local = SlotsOf(locality::kLocal);
  return local > 0 ? local : SlotsOf(locality::kRemote);
}

bool upstream_table::IgnoresEjection(locality location) const {
  const std::int64_t ejected = groups_[GroupOf(location, true)].upstreams;
  const std::int64_t all =
      groups_[GroupOf(location, false)].upstreams + ejected;
  return ejected * kPermille > options_.panic_permille * all;
}

std::int64_t upstream_table::SlotsOf(locality location) const {
  return groups_[GroupOf(location, false)].slots +
         (IgnoresEjection(location) ? groups_[GroupOf(location, true)].slots
                                    : 0);
}

std::int64_t upstream_table::Limit(const upstream_entry& entry) const {
  if (entry.state.status != upstream_status::kLive || entry.lease_expired) {
    return 0;
  }
  const std::int64_t limit =
      std::min(entry.state.slots, entry.state.connections);
  return entry.health.status == health_status::kProbation
             ? std::min<std::int64_t>(limit, 1)
             : limit;
}

void upstream_table::UpdateGroup(upstream_index index) {
  upstream_entry& entry = entries_[index];
  const std::int64_t limit = Limit(entry);
  const bool local =
      !options_.data_centre || entry.state.data_centre == *options_.data_centre;
  const std::size_t target =
      GroupOf(local ? locality::kLocal : locality::kRemote,
              entry.health.status == health_status::kEjected);
  if (entry.counted_group !=
      (limit > 0 ? std::optional(target) : std::nullopt)) {
    RemoveFromCandidates(entry);
    if (entry.counted_group) {
      group& counted = groups_[*entry.counted_group];
      --counted.upstreams;
      counted.slots -= entry.counted_slots;
    }
    entry.counted_group.reset();
    entry.counted_slots = 0;
    if (limit > 0) {
      entry.counted_group = target;
      ++groups_[target].upstreams;
    }
  }
  if (entry.counted_group) {
    groups_[target].slots += limit - entry.counted_slots;
    entry.counted_slots = limit;
  }
  const bool has_free_slot = entry.in_use < limit;
  if (has_free_slot && !entry.position) {
    entry.position = groups_[target].candidates.size();
    groups_[target].candidates.push_back(index);
  } else if (!has_free_slot) {
    RemoveFromCandidates(entry);
  }
}

void upstream_table::RemoveFromCandidates(upstream_entry& entry) {
  if (!entry.position) {
    return;
  }
  std::vector<upstream_index>& list = groups_[*entry.counted_group].candidates;
  const upstream_index last = list.back();
  list[*entry.position] = last;
  entries_[last].position = *entry.position;
  list.pop_back();
  entry.position.reset();
}

void upstream_table::FreeEntry(upstream_index index) {
  const upstream_entry& entry = entries_[index];
  if (!entry.lease_expired) {
    leases_.Erase(entry.state.lease_deadline, index);
  }
  if (entry.health.status == health_status::kEjected) {
    ejections_.Erase(entry.health.ejected_until, index);
  }
  indices_.erase(entry.state.upstream);
  free_.push_back(index);
}

}  // namespace skylarkbridge::scheduling
