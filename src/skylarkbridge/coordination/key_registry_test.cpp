#include "skylarkbridge/coordination/key_registry.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::coordination {
namespace {

using std::chrono::seconds;

constexpr time_point kTakeover{std::chrono::hours(1)};
constexpr time_point kLater = kTakeover + seconds(60);
const ballot kMine{3, {1}, {10}};

key_registry Registry(key_registry_options options = {}) {
  return {options, kMine, kTakeover};
}
const idempotency_key kKey{"order-17", std::nullopt};

// A repeated request must get the stored answer and must not run again.
TEST(KeyRegistryTest, RepeatsTheStoredAnswerUntilTheDeadline) {
  key_registry keys = Registry();
  const time_point deadline = kLater + seconds(5);
  EXPECT_EQ(keys.Begin(kKey, {1}, deadline, kLater).state, key_state::kRun);
  EXPECT_EQ(keys.Begin(kKey, {2}, deadline, kLater).state,
            key_state::kInProgress);
  keys.Finish(kKey, "label");
  EXPECT_EQ(keys.Begin(kKey, {3}, deadline, kLater + seconds(4)),
            (key_answer{key_state::kDone, "label"}));
  keys.Tick(kLater + seconds(20));
  EXPECT_EQ(keys.Keys(), 0U);
  EXPECT_EQ(keys.AnswerBytes(), 0U);
}

// An earlier owner may have run the key.
TEST(KeyRegistryTest, AnswersUnknownForKeysOfEarlierOwners) {
  key_registry keys = Registry();
  const time_point early = kTakeover + seconds(29);
  EXPECT_EQ(keys.Begin(kKey, {1}, early + seconds(1), early).state,
            key_state::kUnknown);
  EXPECT_EQ(
      keys.Begin({"2-9", ballot{2, {9}, {9}}}, {2}, kLater + seconds(1), kLater)
          .state,
      key_state::kUnknown);
  EXPECT_EQ(keys.Begin(keys.Issue(), {3}, early + seconds(1), early).state,
            key_state::kRun);
}

// "Not-run" is final for the request that was told so, but not for a retry.
TEST(KeyRegistryTest, LateCopyOfNotRunRequestDoesNotRun) {
  key_registry keys = Registry();
  const time_point deadline = kLater + seconds(5);
  keys.Begin(kKey, {1}, deadline, kLater);
  keys.NotRun(kKey, {1});
  EXPECT_EQ(keys.Begin(kKey, {1}, deadline, kLater).state, key_state::kNotRun);
  EXPECT_EQ(keys.Begin(kKey, {2}, deadline, kLater).state, key_state::kRun);
  keys.Lose(kKey);
  keys.NotRun(kKey, {2});
  EXPECT_EQ(keys.Begin(kKey, {3}, deadline, kLater).state, key_state::kUnknown);
}

// Memory must stay bounded; a full registry refuses instead of forgetting.
TEST(KeyRegistryTest, IsBoundedInKeysAndBytes) {
  key_registry keys = Registry({.max_keys = 1, .max_answer_bytes = 4});
  const time_point deadline = kLater + seconds(5);
  keys.Begin(kKey, {1}, deadline, kLater);
  EXPECT_EQ(keys.Begin({"other", {}}, {2}, deadline, kLater).state,
            key_state::kNotRun);
  keys.Finish(kKey, "12345");
  EXPECT_EQ(keys.Begin(kKey, {3}, deadline, kLater).state, key_state::kUnknown);
  EXPECT_EQ(keys.AnswerBytes(), 0U);
}

}  // namespace
}  // namespace skylarkbridge::coordination
