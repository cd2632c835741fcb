#ifndef SKYLARKBRIDGE_RECORDS_FLEET_MAP_CODEC_HPP
#define SKYLARKBRIDGE_RECORDS_FLEET_MAP_CODEC_HPP

#include <boost/leaf/result.hpp>
#include <string_view>

#include "skylarkbridge/jobs/fleet_map.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::records {

/// @brief Encodes the fleet map as MessagePack, under its only key.
keyed_record Encode(const jobs::fleet_map& map);

/// @brief Whether a record with this key holds the fleet map.
bool IsFleetMapKey(std::string_view key);

/// @brief Decodes the fleet map. Fails with `failure` when Encode can't have
/// written the value.
boost::leaf::result<jobs::fleet_map> DecodeFleetMap(std::string_view value);

}  // namespace skylarkbridge::records

#endif  // SKYLARKBRIDGE_RECORDS_FLEET_MAP_CODEC_HPP
