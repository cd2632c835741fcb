#include "skylarkbridge/records/fleet_map_codec.hpp"

#include <nlohmann/json.hpp>
#include <string>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/encoding/bounded_parse.hpp"

namespace skylarkbridge::records {
namespace {

using nlohmann::json;

constexpr std::string_view kMapKey = "map";

}  // namespace

keyed_record Encode(const jobs::fleet_map& map) {
  std::string bytes;
  json::to_msgpack(json::array({map.cells, map.racks}), bytes);
  return {.key = std::string(kMapKey), .value = std::move(bytes)};
}

bool IsFleetMapKey(std::string_view key) {
  return key == kMapKey;
}

boost::leaf::result<jobs::fleet_map> DecodeFleetMap(std::string_view value) {
  try {
    const json decoded = encoding::ParseMessagePack(value);
    jobs::fleet_map map{
        .cells = decoded.at(0),
        .racks = decoded.at(1).get<std::map<std::string, jobs::cell_id>>()};
    if (map.cells == 0) {
      return boost::leaf::new_error(failure{"fleet map", "has no cells"});
    }
    for (const auto& [rack, cell] : map.racks) {
      if (cell >= map.cells) {
        return boost::leaf::new_error(
            failure{"fleet map", "rack " + rack + " is in an unknown cell"});
      }
    }
    return map;
  } catch (const json::exception& error) {
    return boost::leaf::new_error(
        failure{"fleet map", encoding::Message(error)});
  }
}

}  // namespace skylarkbridge::records
