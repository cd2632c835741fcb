#include "skylarkbridge/records/fleet_map_codec.hpp"

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace skylarkbridge::records {
namespace {

std::optional<jobs::fleet_map> TryDecode(std::string_view value) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<jobs::fleet_map>> {
        BOOST_LEAF_AUTO(map, DecodeFleetMap(value));
        return std::optional<jobs::fleet_map>(std::move(map));
      },
      [] { return std::optional<jobs::fleet_map>(); });
}

std::string ToMessagePack(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_msgpack(value, bytes);
  return bytes;
}

// Guards against a map that the VMs other than its writer can't read.
TEST(FleetMapCodecTest, DecodesWhatItEncodes) {
  const jobs::fleet_map map{.cells = 3, .racks = {{"r1", 2}, {"r2", 0}}};
  const keyed_record record = Encode(map);
  EXPECT_TRUE(IsFleetMapKey(record.key));
  EXPECT_EQ(TryDecode(*record.value), map);
}

// Guards against a map that assigns work to cells that don't exist.
TEST(FleetMapCodecTest, RejectsInvalidMaps) {
  using nlohmann::json;
  EXPECT_FALSE(TryDecode("x"));
  EXPECT_FALSE(TryDecode(ToMessagePack(json::array({0, json::object()}))));
  EXPECT_FALSE(TryDecode(ToMessagePack(json::array({2, {{"r1", 2}}}))));
  EXPECT_FALSE(TryDecode(ToMessagePack(json::array({"two", json::object()}))));
  EXPECT_FALSE(
      TryDecode(ToMessagePack(json::array({4'000'000'000, json::object()}))));
  EXPECT_FALSE(TryDecode(ToMessagePack(json::array({-1, json::object()}))));
  EXPECT_FALSE(TryDecode(ToMessagePack(json::array({2, 0}))));
  EXPECT_FALSE(
      TryDecode(ToMessagePack(json::array({4'294'967'297, json::object()}))));
  EXPECT_FALSE(TryDecode(ToMessagePack(json::array({2, {{"r1", 0.5}}}))));
}

// Guards against a map that ends every process that reads it, again at each
// start: the parser recurses.
TEST(FleetMapCodecTest, RejectsADeeplyNestedMap) {
  constexpr std::size_t kDepth = 200'000;
  EXPECT_FALSE(TryDecode(std::string(kDepth, '\x91')));
}

}  // namespace
}  // namespace skylarkbridge::records
