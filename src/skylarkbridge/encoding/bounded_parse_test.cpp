#include "skylarkbridge/encoding/bounded_parse.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace skylarkbridge::encoding {
namespace {

using nlohmann::json;

/// Arrays within each other.
json Nested(std::size_t depth) {
  json value = 1;
  for (std::size_t level = 0; level < depth; ++level) {
    value = json::array({std::move(value)});
  }
  return value;
}

std::string ToMessagePack(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

// Guards against a bound that refuses what it allows, or allows more.
TEST(BoundedParseTest, AcceptsTheDeepestDocumentAndNoDeeperOne) {
  const json deepest = Nested(kMaxDepth);
  const json deeper = Nested(kMaxDepth + 1);
  EXPECT_EQ(ParseJson(deepest.dump()), deepest);
  EXPECT_EQ(ParseMessagePack(ToMessagePack(deepest)), deepest);
  EXPECT_THROW(ParseJson(deeper.dump()), json::exception);
  EXPECT_TRUE(ParseJsonOrDiscard(deeper.dump()).is_discarded());
  EXPECT_THROW(ParseMessagePack(ToMessagePack(deeper)), json::exception);
}

// Guards against brackets in texts that count as nesting.
TEST(BoundedParseTest, IgnoresBracketsInTexts) {
  const json value = {
      {"text", std::string(1000, '[') + "\"\\" + std::string(1000, '{')}};
  EXPECT_EQ(ParseJson(value.dump()), value);
  EXPECT_EQ(ParseMessagePack(ToMessagePack(value)), value);
}

// Guards against depth that no longer counts after a container has ended.
TEST(BoundedParseTest, CountsOnlyOpenContainers) {
  json wide = json::array();
  for (std::size_t item = 0; item < 10 * kMaxDepth; ++item) {
    wide.push_back(json::object({{"k", json::array()}}));
  }
  EXPECT_EQ(ParseJson(wide.dump()), wide);
  EXPECT_EQ(ParseMessagePack(ToMessagePack(wide)), wide);
}

// Guards against a scan that loses its place after a value of some type, and so
// misses nesting that follows it.
TEST(BoundedParseTest, FindsNestingAfterValuesOfEachType) {
  const std::vector<json> values = {
      nullptr,
      true,
      1,
      -1,
      -100,
      200,
      70'000,
      5'000'000'000,
      -70'000,
      -5'000'000'000,
      1.5,
      "text",
      std::string(100, 'a'),
      std::string(300, 'a'),
      std::string(70'000, 'a'),
      json::binary({1, 2, 3}),
      json::binary({1}, 5),
      json::binary({1, 2, 3}, 5),
      json::binary(std::vector<std::uint8_t>(300)),
      json::binary(std::vector<std::uint8_t>(70'000)),
      json::binary(std::vector<std::uint8_t>(300), 5),
      json(std::vector<int>(20, 1)),
      json(std::vector<int>(70'000, 1)),
      json{{"a", 1}}};
  for (const json& value : values) {
    const std::string shallow = ToMessagePack(json::array({value, 1}));
    EXPECT_FALSE(IsMessagePackOutOfBounds(shallow)) << value.type_name();
    const std::string deep =
        ToMessagePack(json::array({value, Nested(kMaxDepth)}));
    EXPECT_TRUE(IsMessagePackOutOfBounds(deep)) << value.type_name();
  }
}

// Guards against containers that state more items than follow them.
TEST(BoundedParseTest, RejectsCountsBeyondTheDocument) {
  for (const char* const bytes :
       {"\xDD\xFF\xFF\xFF\xFF\x01", "\xDF\xFF\xFF\xFF\xFF\x01", "\x92\x01"}) {
    EXPECT_TRUE(IsMessagePackOutOfBounds(bytes));
    EXPECT_THROW(ParseMessagePack(bytes), json::exception);
  }
}

// Guards against an exception that quotes a document, as a whole or with bytes
// that no answer can contain.
TEST(BoundedParseTest, BoundsTheTextOfExceptions) {
  try {
    ParseJson("[\"" + std::string(100'000, 'a'));
    FAIL();
  } catch (const json::exception& error) {
    EXPECT_GT(std::string(error.what()).size(), 1000U);
    EXPECT_LT(Message(error).size(), 1000U);
  }
  try {
    ParseJson("[\"a\xFF");
    FAIL();
  } catch (const json::exception& error) {
    EXPECT_NE(Message(error).find("a?"), std::string::npos) << Message(error);
  }
}

}  // namespace
}  // namespace skylarkbridge::encoding
