// Tests of the record of delegated tasks that were given back.

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::records {
namespace {

using namespace jobs;
using nlohmann::json;

/// Decodes a record; nullopt if that fails.
std::optional<log_record> DecodeOrNothing(const std::string& key,
                                          const std::string& value) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<log_record>> {
        return Decode(key, value);
      },
      [](const failure&) { return std::optional<log_record>(); },
      [] { return std::optional<log_record>(); });
}

std::optional<log_record> DecodeRows(const json& rows) {
  std::string value;
  json::to_msgpack(json::array({3, rows}), value);
  return DecodeOrNothing("returned", value);
}

// Guards against a successor that starts a task which its predecessor gave
// back.
TEST(ReturnedTasksCodecTest, KeepsEveryField) {
  const returned_tasks returned{
      .claim_epoch = 3,
      .tasks = {
          {.task = {.job = job_id{0xfedcba9876543210}, .step = 2, .index = 7},
           .first_run = 10'002,
           .next_run = 30'005,
           .crashes = {{2, crash_evidence::kSuspected},
                       {10'003, crash_evidence::kBlamed}}},
          {.task = {.job = job_id{1}},
           .first_run = 1,
           .next_run = 2,
           .waiting_since =
               wall_time(std::chrono::milliseconds(1'700'000'000'123))},
          {.task = {.job = job_id{2}}, .first_run = 1, .next_run = 2}}};
  const keyed_record encoded = Encode(returned);
  const auto decoded = DecodeOrNothing(encoded.key, *encoded.value);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<returned_tasks>(*decoded), returned);
}

// Guards against a return that versions without the crashes can't read, or that
// this version can't read from them.
TEST(ReturnedTasksCodecTest, ARowWithoutCrashesEndsBeforeThem) {
  const returned_tasks returned{
      .claim_epoch = 3,
      .tasks = {{.task = {.job = job_id{1}}, .first_run = 1, .next_run = 2}}};
  const std::string task = Format(task_ref{.job = job_id{1}});
  std::string value;
  json::to_msgpack(json::array({3, json::array({json::array({task, 1, 2})})}),
                   value);
  EXPECT_EQ(*Encode(returned).value, value);
}

// Guards against a task that is taken from its cell because of a row that no
// owner wrote.
TEST(ReturnedTasksCodecTest, RefusesRecordsOfAnotherForm) {
  const std::string task = Format(task_ref{.job = job_id{1}});
  EXPECT_TRUE(DecodeRows(json::array({json::array({task, 1, 2})})));
  EXPECT_FALSE(DecodeRows("rows"));
  EXPECT_FALSE(DecodeRows(json::array({task})));
  EXPECT_FALSE(DecodeRows(json::array({json::array({task, 1})})));
  EXPECT_FALSE(DecodeRows(json::array({json::array({"1.0.0", 1, 2})})));
  EXPECT_FALSE(DecodeRows(json::array({json::array({task, 0, 2})})));
  EXPECT_FALSE(DecodeRows(json::array({json::array({task, 1, -2})})));
  EXPECT_FALSE(DecodeRows(json::array({json::array({task, 1, 2, "runs"})})));
  const json evidence_out_of_range = json::array({json::array({1, 3})});
  EXPECT_FALSE(DecodeRows(
      json::array({json::array({task, 1, 2, evidence_out_of_range})})));
  EXPECT_FALSE(
      DecodeRows(json::array({json::array({task, 1, 2, json::array(), -1})})));
}

}  // namespace
}  // namespace skylarkbridge::records
