#include "skylarkbridge/records/fleet_map_codec.hpp"

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace skylarkbridge::records {
namespace {

std::optional<jobs::fleet_map> Decoded(std::string_view value) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<jobs::fleet_map>> {
        BOOST_LEAF_AUTO(map, DecodeFleetMap(value));
        return std::optional<jobs::fleet_map>(std::move(map));
      },
      [] { return std::optional<jobs::fleet_map>(); });
}

std::string Packed(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_msgpack(value, bytes);
  return bytes;
}

// All VMs have to read the division that one of them wrote.
TEST(FleetMapCodecTest, ReadsWhatItWrites) {
  const jobs::fleet_map map{.cells = 3, .racks = {{"r1", 2}, {"r2", 0}}};
  const keyed_record record = Encode(map);
  EXPECT_TRUE(IsFleetMapKey(record.key));
  EXPECT_EQ(Decoded(*record.value), map);
}

// A map that would send work to no cell must not be taken.
TEST(FleetMapCodecTest, RejectsBrokenMaps) {
  using nlohmann::json;
  EXPECT_FALSE(Decoded("x"));
  EXPECT_FALSE(Decoded(Packed(json::array({0, json::object()}))));
  EXPECT_FALSE(Decoded(Packed(json::array({2, {{"r1", 2}}}))));
  EXPECT_FALSE(Decoded(Packed(json::array({"two", json::object()}))));
}

}  // namespace
}  // namespace skylarkbridge::records
