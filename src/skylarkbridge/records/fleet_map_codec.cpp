#include "skylarkbridge/records/fleet_map_codec.hpp"

#include <nlohmann/json.hpp>
#include <string>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/encoding/bounded_parse.hpp"
#include "skylarkbridge/encoding/numbers.hpp"

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
    jobs::fleet_map map{.cells = encoding::ToInteger<jobs::cell_id>(
                            decoded.at(0), {1, jobs::kMaxCells})};
    const json& racks = decoded.at(1);
    if (!racks.is_object()) {
      encoding::ThrowInvalid("the racks are not a map");
    }
    for (const auto& [rack, cell] : racks.items()) {
      map.racks[rack] =
          encoding::ToInteger<jobs::cell_id>(cell, {0, map.cells - 1});
    }
    return map;
  } catch (const json::exception& error) {
    return boost::leaf::new_error(
        failure{"fleet map", encoding::Message(error)});
  }
}

}  // namespace skylarkbridge::records
