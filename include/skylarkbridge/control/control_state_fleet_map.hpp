#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_FLEET_MAP_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_FLEET_MAP_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that divides the fleet into cells.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ApplyFleetMap(
    const jobs::reader_update& update,
    time_point now) {
  for (const jobs::topic_record& record : update.records) {
    if (map_ || !records::IsFleetMapKey(record.key) || !record.value) {
      continue;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(map, records::DecodeFleetMap(*record.value));
          CreateCells(std::move(map));
          return {};
        },
        [&](const failure& error) {
          LogRejectedRecord(topic_kind::kFleetMap, record.offset, error);
        },
        [] {});
  }
  if (!map_ && update.snapshot_complete) {
    bootstrap_.Begin(now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::CreateCells(jobs::fleet_map map) {
  map_ = std::move(map);
  LogEvent(kFleetDivided, {{"cells", absl::StrCat(map_->cells)},
                           {"racks", absl::StrCat(map_->racks.size())}});
  for (jobs::cell_id number = 0; number < map_->cells; ++number) {
    cells_.push_back(
        std::make_unique<cell>(options_, number, *map_, platform_, metrics_));
    if (configuration_ != nullptr) {
      cells_.back()->Configure(configuration_);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::WriteFleetMap(time_point now) {
  const auto map = stopping_ ? std::nullopt : bootstrap_.NextMap(now);
  if (!map) {
    return;
  }
  LogEvent(kFleetMapWritten, {{"cells", absl::StrCat(map->cells)},
                              {"racks", absl::StrCat(map->racks.size())}});
  // The append requires an empty topic, so that only the first map is stored.
  platform_.Append({.target = {topic_kind::kFleetMap},
                    .expected_end = 0,
                    .batch = {records::Encode(*map)}},
                   now + options_.append_timeout);
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_FLEET_MAP_HPP
