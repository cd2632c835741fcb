#include "skylarkbridge/records/job_record_codec.hpp"

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>

#include "skylarkbridge/base/failure.hpp"

namespace skylarkbridge::records {
namespace {

using namespace jobs;

/// Decodes a record; nullopt if that fails.
std::optional<log_record> DecodeOrNothing(const keyed_record& encoded) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<log_record>> {
        std::optional<std::string_view> value;
        if (encoded.value) {
          value = *encoded.value;
        }
        return Decode(encoded.key, value);
      },
      [](const failure&) { return std::optional<log_record>(); },
      [] { return std::optional<log_record>(); });
}

/// Encodes and decodes a record; nullopt if decoding fails.
std::optional<log_record> RoundTrip(const log_record& record) {
  return DecodeOrNothing(Encode(record));
}

/// The encoded progress of a job with one step.
keyed_record ProgressRecord(const nlohmann::json& step_row) {
  std::string value;
  nlohmann::json::to_msgpack(
      nlohmann::json::array({true, 0, nlohmann::json::array({step_row})}),
      value);
  return {.key = Encode(job_advanced{.job = job_id{1}}).key,
          .value = std::move(value)};
}

// Guards against fields that are lost: a successor starts tasks from these
// records.
TEST(JobRecordCodecTest, KeepsEveryFieldOfAJob) {
  const job_accepted accepted{
      .job = job_id{0xfedcba9876543210},
      .queue = "r-1",
      .accepted_at = wall_time(std::chrono::seconds(5)),
      .spec = {.payload = std::string("a\0b", 3),
               .steps = {{.count = 3,
                          .need = {1, 2, 3},
                          .estimate = std::chrono::milliseconds(4),
                          .depends_on = {},
                          .checkpoints = true,
                          .gang = true,
                          .rack_local = true,
                          .required_label = "l",
                          .data_rack = "r",
                          .max_per_worker = 5,
                          .speculative = true,
                          .long_running = true,
                          .image = "i",
                          .latency_target = std::chrono::milliseconds(6),
                          .best_effort = true,
                          .disruption_budget = 7}},
               .repeat_count = 8,
               .first_due = wall_time(std::chrono::seconds(9)),
               .interval = std::chrono::milliseconds(10)}};
  const auto decoded = RoundTrip(accepted);
  ASSERT_TRUE(decoded);
  const auto& decoded_job = std::get<job_accepted>(*decoded);
  EXPECT_EQ(decoded_job.job, accepted.job);
  EXPECT_EQ(decoded_job.accepted_at, accepted.accepted_at);
  EXPECT_EQ(decoded_job.spec.payload, accepted.spec.payload);
  EXPECT_EQ(decoded_job.spec.first_due, accepted.spec.first_due);
  const step_spec& step = decoded_job.spec.steps.at(0);
  EXPECT_EQ(step.need, accepted.spec.steps[0].need);
  EXPECT_EQ(step.max_per_worker, 5U);
  EXPECT_EQ(step.image, "i");
  EXPECT_EQ(step.latency_target, std::chrono::milliseconds(6));
  EXPECT_TRUE(step.best_effort && step.gang && step.long_running);
  EXPECT_EQ(step.disruption_budget, 7);
}

// Guards against lost progress: failed runs and done tasks decide whether a
// task may start again.
TEST(JobRecordCodecTest, KeepsTheProgress) {
  const job_advanced advanced{
      .job = job_id{1},
      .progress = {.started = true,
                   .status = job_status::kFailed,
                   .steps = {{.occurrence = 2,
                              .step = 1,
                              .done = {true, false, true},
                              .failures = {{4, {1, 10'001}}},
                              .started = {false, true}}}}};
  const auto decoded = RoundTrip(advanced);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<job_advanced>(*decoded).progress, advanced.progress);
}

// Guards against a successor that starts a task again which crashes its
// workers: the crashes have to be kept, also without the column before theirs.
TEST(JobRecordCodecTest, KeepsTheCrashes) {
  const job_advanced advanced{
      .job = job_id{1},
      .progress = {
          .started = true,
          .steps = {{.step = 1,
                     .crashes = {{4,
                                  {{1, crash_evidence::kSuspected},
                                   {2, crash_evidence::kBlamed},
                                   {10'001, crash_evidence::kPending}}}}}}}};
  const auto decoded = RoundTrip(advanced);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<job_advanced>(*decoded).progress, advanced.progress);
}

// Guards against a task that two cells run: its delegation has to be kept, also
// without the columns before it.
TEST(JobRecordCodecTest, KeepsTheDelegations) {
  const job_advanced advanced{
      .job = job_id{1},
      .progress = {
          .started = true,
          .steps = {{.step = 1,
                     .delegations = {{4, {.cell = 3, .first_run = 20'006}},
                                     {5, {.cell = 1, .first_run = 20'001}}}}}}};
  const auto decoded = RoundTrip(advanced);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<job_advanced>(*decoded).progress, advanced.progress);
}

// Guards against losing the progress of jobs at an update: earlier versions
// wrote no started tasks.
TEST(JobRecordCodecTest, ReadsTheProgressThatEarlierVersionsWrote) {
  const auto decoded = DecodeOrNothing(ProgressRecord(
      nlohmann::json::array({2, 1, "101",
                             nlohmann::json::array({nlohmann::json::array(
                                 {4, nlohmann::json::array({1, 10'001})})})})));
  ASSERT_TRUE(decoded);
  const job_progress expected{.started = true,
                              .steps = {{.occurrence = 2,
                                         .step = 1,
                                         .done = {true, false, true},
                                         .failures = {{4, {1, 10'001}}}}}};
  EXPECT_EQ(std::get<job_advanced>(*decoded).progress, expected);
}

// Guards against records that earlier versions, which run beside this one
// during a rolling restart, can't read: they expect four columns at the front
// and ignore others.
TEST(JobRecordCodecTest, KeepsTheColumnsThatEarlierVersionsRead) {
  const auto row_of = [](const step_progress& step) {
    const keyed_record encoded = Encode(job_advanced{
        .job = job_id{1}, .progress = {.started = true, .steps = {step}}});
    return nlohmann::json::from_msgpack(*encoded.value).at(2).at(0);
  };
  step_progress step{.occurrence = 2, .step = 1, .done = {true, false}};
  const nlohmann::json earlier_row =
      nlohmann::json::array({2, 1, "10", nlohmann::json::array()});
  EXPECT_EQ(row_of(step), earlier_row);
  step.started = {true, true};
  nlohmann::json row = row_of(step);
  ASSERT_EQ(row.size(), 5U);
  row.erase(4);
  EXPECT_EQ(row, earlier_row);
}

// Guards against a successor that gives orders too early, or that does not know
// on which workers tasks may run.
TEST(JobRecordCodecTest, KeepsOwnershipAndLeasedWorkers) {
  const ownership_record owner{
      .claim_epoch = 7,
      .vm = "a",
      .incarnation = 9,
      .released = true,
      .predecessor_validity = std::chrono::milliseconds(1400),
      .millicores_per_cell = 250,
      .room = {{"service", {.millicores = 4000, .memory_mb = 5}}}};
  EXPECT_EQ(std::get<ownership_record>(*RoundTrip(owner)), owner);
  const leased_workers leased{.claim_epoch = 7, .workers = {"x", "y"}};
  EXPECT_EQ(std::get<leased_workers>(*RoundTrip(leased)), leased);
}

// Guards against damaged records that are accepted; other programs may write to
// the topic.
TEST(JobRecordCodecTest, RejectsDamagedRecords) {
  std::mt19937_64 random(7);
  const keyed_record valid =
      Encode(job_advanced{.job = job_id{1}, .progress = {.started = true}});
  int rejected = 0;
  constexpr int kInputs = 2000;
  for (int input = 0; input < kInputs; ++input) {
    std::string value = *valid.value;
    for (int change = 0; change < 3; ++change) {
      value[random() % value.size()] = static_cast<char>(random());
    }
    value.resize(random() % (value.size() + 1));
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(decoded, Decode(valid.key, value));
          static_cast<void>(decoded);
          return {};
        },
        [&](const failure&) { ++rejected; }, [] {});
  }
  EXPECT_GT(rejected, kInputs / 2);
}

}  // namespace
}  // namespace skylarkbridge::records
