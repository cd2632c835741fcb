#include "skylarkbridge/records/job_record_codec.hpp"

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/jobs/job_limits.hpp"

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
               .interval = std::chrono::milliseconds(10)},
      .settings = queue_configuration{
          .service = "s",
          .priority = 11,
          .max_attempts = 12,
          .slack_factor = 1.5,
          .slack_time = std::chrono::milliseconds(13),
          .policy = {.decision_time = std::chrono::milliseconds(14),
                     .time_per_worker = std::chrono::milliseconds(15),
                     .permit_validity = std::chrono::milliseconds(16)}}};
  const auto decoded = RoundTrip(accepted);
  ASSERT_TRUE(decoded);
  const auto& decoded_job = std::get<job_accepted>(*decoded);
  EXPECT_EQ(decoded_job.settings, accepted.settings);
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

// Guards against a job that can't be read because of its settings, and against
// a missing limit of the attempts that is taken for a limit.
TEST(JobRecordCodecTest, TakesOddSettingsOfAJobForUnknownOnes) {
  const auto decode = [](const nlohmann::json& settings) {
    const keyed_record accepted =
        Encode(job_accepted{.job = job_id{1},
                            .queue = "r-1",
                            .spec = {.steps = {{.count = 1}}},
                            .settings = queue_configuration{.service = "s"}});
    nlohmann::json row = nlohmann::json::from_msgpack(*accepted.value);
    if (!settings.is_null()) {
      row.back() = settings;
    }
    std::string value;
    nlohmann::json::to_msgpack(row, value);
    const auto decoded = DecodeOrNothing({accepted.key, value});
    EXPECT_TRUE(decoded);
    return std::get<job_accepted>(*decoded).settings;
  };
  const auto unchanged = decode(nullptr);
  ASSERT_TRUE(unchanged);
  EXPECT_EQ(unchanged->service, "s");
  EXPECT_FALSE(unchanged->max_attempts);
  EXPECT_FALSE(decode("text"));
  EXPECT_FALSE(decode({"s", -1, 0, 1.5, 0, 0, 0, 0}));
  EXPECT_FALSE(decode({"s", 1, 0, 1e300, 0, 0, 0, 0}));
  EXPECT_FALSE(decode({"s"}));
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
                              .started = {false, true},
                              .last_ended_runs = {{1, 20'004}}}}}};
  const auto decoded = RoundTrip(advanced);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<job_advanced>(*decoded).progress, advanced.progress);
}

// Guards against lost or shifted flags of large steps, which are written
// densely, and against completed occurrences that run again.
TEST(JobRecordCodecTest, KeepsTheProgressOfLargeSteps) {
  std::mt19937 random(1);
  for (const std::size_t tasks : {64U, 65U, 66U, 71U, 72U, 1000U}) {
    job_advanced advanced{.job = job_id{1},
                          .progress = {.started = true,
                                       .steps = {{.occurrence = 7}},
                                       .complete_occurrences = 7}};
    for (std::size_t task = 0; task < tasks; ++task) {
      advanced.progress.steps[0].done.push_back(random() % 2 == 0);
      advanced.progress.steps[0].started.push_back(random() % 2 == 0);
    }
    const auto decoded = RoundTrip(advanced);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<job_advanced>(*decoded).progress, advanced.progress);
  }
}

// Guards against flags that other writers leave in a record.
TEST(JobRecordCodecTest, RejectsOddFlags) {
  using nlohmann::json;
  EXPECT_TRUE(DecodeOrNothing(ProgressRecord(
      json::array({0, 0, json::array({7, "00"}), json::array()}))));
  for (const json& flags :
       {json::array({7, "0"}), json::array({7, "000"}), json::array({-1, ""}),
        json::array({100'000'000, "0"}), json::array({7}), json(7)}) {
    EXPECT_FALSE(DecodeOrNothing(
        ProgressRecord(json::array({0, 0, flags, json::array()}))))
        << flags;
  }
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
          .steps = {
              {.step = 1,
               .delegations = {
                   {4, {.cell = 3, .first_run = 20'006, .owner_epoch = 5}},
                   {5, {.cell = 1, .first_run = 20'001}}}}}}};
  const auto decoded = RoundTrip(advanced);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<job_advanced>(*decoded).progress, advanced.progress);
}

// Guards against a successor for which the waits of tasks begin anew.
TEST(JobRecordCodecTest, KeepsTheBeginningsOfWaits) {
  const wall_time since{std::chrono::milliseconds(1'700'000'000'123)};
  const job_advanced advanced{
      .job = job_id{1},
      .progress = {.started = true,
                   .steps = {{.step = 1, .waiting_since = {{4, since}}}}}};
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
      .room = {{"service",
                {{.millicores = 4000, .memory_mb = 5}, {.millicores = 200}}}}};
  EXPECT_EQ(std::get<ownership_record>(*RoundTrip(owner)), owner);
  const leased_workers leased{
      .claim_epoch = 7,
      .workers = {"x", "y"},
      .unreported = {{"y", std::chrono::milliseconds(5200)}},
      .ends_stored_from = 3,
      .addresses = {{"x", "10.0.0.1:80"}}};
  EXPECT_EQ(std::get<leased_workers>(*RoundTrip(leased)), leased);
}

/// An owner's record with this column of its room.
std::optional<log_record> DecodeOwnerWithRoom(const nlohmann::json& room) {
  const nlohmann::json row =
      nlohmann::json::array({7, "a", 9, false, 1400, 250, room});
  std::string bytes;
  nlohmann::json::to_msgpack(row, bytes);
  return DecodeOrNothing({.key = "owner", .value = bytes});
}

// Guards against versions that do not read each other's room during a rolling
// restart: earlier ones write and read one piece for each service.
TEST(JobRecordCodecTest, ReadsTheRoomOfEarlierVersions) {
  const auto decoded =
      DecodeOwnerWithRoom(nlohmann::json::array({{"service", {4000, 5, 0}}}));
  ASSERT_TRUE(decoded);
  const room_pieces expected{
      {"service", {{.millicores = 4000, .memory_mb = 5}}}};
  EXPECT_EQ(std::get<ownership_record>(*decoded).room, expected);
}

// Guards against odd statements of room that hide the owner, or that other
// cells calculate with.
TEST(JobRecordCodecTest, LeavesOutRoomThatCannotBeStated) {
  const std::vector<nlohmann::json> odd_rooms = {
      nlohmann::json::array({{"service", {kMaxAmount + 1, 0, 0}}}),
      nlohmann::json::array({{"service", {1000, -1, 0}}}),
      nlohmann::json::array({{"service", {1000, 0, 1e300}}}),
      nlohmann::json::array({{"service", {0, 0, 0}}}),
      nlohmann::json::array({{"service", {1000}}}),
      nlohmann::json::array({{"service", "all"}}),
      nlohmann::json::array({{1000, {1000, 0, 0}}}),
      nlohmann::json::array({nlohmann::json::array()}),
      "room",
  };
  for (const nlohmann::json& room : odd_rooms) {
    SCOPED_TRACE(room.dump());
    const auto decoded = DecodeOwnerWithRoom(room);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<ownership_record>(*decoded).claim_epoch, 7U);
    EXPECT_TRUE(std::get<ownership_record>(*decoded).room.empty());
  }
}

// Guards against work for each of many pieces in every placement pass.
TEST(JobRecordCodecTest, ReadsABoundedNumberOfPieces) {
  nlohmann::json row = nlohmann::json::array({"service"});
  for (int piece = 0; piece < 1000; ++piece) {
    row.push_back({1000, 0, 0});
  }
  const auto decoded = DecodeOwnerWithRoom(nlohmann::json::array({row}));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<ownership_record>(*decoded).room.at("service").size(),
            kMaxStatedPieces);
}

// Guards against a record that ends every process that reads it, again at each
// start: the parser recurses, and 60 KB of nested arrays overflow its stack.
TEST(JobRecordCodecTest, RejectsDeeplyNestedRecords) {
  constexpr std::size_t kDepth = 200'000;
  const std::string job = Format(job_id{1});
  for (const std::string& key : {"j" + job, "c" + job, "p" + job,
                                 std::string("owner"), std::string("leased")}) {
    EXPECT_FALSE(
        DecodeOrNothing({.key = key, .value = std::string(kDepth, '\x91')}))
        << key;
  }
}

// Guards against a length prefix that is far larger than the record and makes
// the reader allocate memory for it.
TEST(JobRecordCodecTest, RejectsLengthsBeyondTheRecord) {
  const std::string job = Format(job_id{1});
  for (const char* const value :
       {"\xDD\xFF\xFF\xFF\xFF", "\xDF\xFF\xFF\xFF\xFF", "\xDB\xFF\xFF\xFF\xFF",
        "\xC6\xFF\xFF\xFF\xFF", "\xC9\xFF\xFF\xFF\xFF"}) {
    EXPECT_FALSE(DecodeOrNothing({.key = "j" + job, .value = value}));
    EXPECT_FALSE(DecodeOrNothing({.key = "owner", .value = value}));
  }
}

std::string ToMessagePack(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_msgpack(value, bytes);
  return bytes;
}

/// The record of an accepted job with one step, as JSON.
nlohmann::json AcceptedJob() {
  return nlohmann::json::from_msgpack(
      *Encode(job_accepted{.job = job_id{1},
                           .queue = "q",
                           .spec = {.payload = "p", .steps = {{.count = 2}}}})
           .value);
}

bool Accepts(char kind, const nlohmann::json& value) {
  return DecodeOrNothing({.key = std::string(1, kind) + Format(job_id{1}),
                          .value = ToMessagePack(value)})
      .has_value();
}

// Guards against records with numbers that the JSON library converts to others:
// 4 billion tasks were created, and a step that doesn't exist was read.
TEST(JobRecordCodecTest, RejectsJobsWithNumbersOutOfRange) {
  EXPECT_TRUE(Accepts('j', AcceptedJob()));
  const auto accepts_step = [](std::size_t column,
                               const nlohmann::json& value) {
    nlohmann::json record = AcceptedJob();
    record[3][0][column] = value;
    return Accepts('j', record);
  };
  for (const nlohmann::json& count :
       {nlohmann::json(4'000'000'000), nlohmann::json(-1), nlohmann::json(1e30),
        nlohmann::json(4'294'967'298), nlohmann::json(0.5),
        nlohmann::json(true)}) {
    EXPECT_FALSE(accepts_step(0, count)) << count;
  }
  EXPECT_FALSE(accepts_step(1, {-1, 0, 0}));
  EXPECT_FALSE(accepts_step(1, {1e18, 0, 0}));
  EXPECT_FALSE(accepts_step(2, 9e18));
  EXPECT_FALSE(accepts_step(3, {0}));
  EXPECT_FALSE(accepts_step(3, {4'000'000'000}));
  EXPECT_FALSE(accepts_step(13, -1));
  const auto accepts_job = [](std::size_t column, const nlohmann::json& value) {
    nlohmann::json record = AcceptedJob();
    record[column] = value;
    return Accepts('j', record);
  };
  EXPECT_FALSE(accepts_job(1, 1e30));
  EXPECT_FALSE(accepts_job(3, nullptr));
  EXPECT_FALSE(accepts_job(4, 4'000'000'000));
  EXPECT_FALSE(accepts_job(5, 18'446'744'073'709'551'615U));
  EXPECT_FALSE(accepts_job(7, -1));
}

// As above, for progress, ownership and leased workers.
TEST(JobRecordCodecTest, RejectsOtherRecordsWithNumbersOutOfRange) {
  const auto progress = [](const nlohmann::json& step) {
    return Accepts(
        'p', nlohmann::json::array({true, 0, nlohmann::json::array({step})}));
  };
  using nlohmann::json;
  EXPECT_TRUE(progress(json::parse(R"([0,0,"1",[[0,[1]]]])")));
  for (const char* const step :
       {R"([-1,0,"1",[]])", R"([0,4294967296,"1",[]])",
        R"([0,0,"1",[[-1,[1]]]])", R"([0,0,"1",[[0,[-1]]]])",
        R"([0,0,"1",[[0,[1e30]]]])", R"([0,0,"1",[[0,1]]])",
        R"([0,0,"1",null])", R"([0,0,"1",[],"",[[0,[[1,9]]]]])",
        R"([0,0,"1",[],"",[[0,[[-1,1]]]]])"}) {
    EXPECT_FALSE(progress(json::parse(step))) << step;
  }
  const auto owner = [](const char* value) {
    return DecodeOrNothing(
               {.key = "owner", .value = ToMessagePack(json::parse(value))})
        .has_value();
  };
  EXPECT_TRUE(owner(R"([7,"a",9,true,1400,250])"));
  EXPECT_TRUE(owner(R"([7,"a",18446744073709551615,true,1400])"));
  for (const char* const value :
       {R"([-7,"a",9,true,1400])", R"([18446744073709551615,"a",9,true,1400])",
        R"([7,"a",9,true,-1])", R"([7,"a",9,true,9e18])",
        R"([7,"a",9,true,1400,-5])", R"([7,"a",9,true,1400,1e18])"}) {
    EXPECT_FALSE(owner(value)) << value;
  }
  EXPECT_FALSE(DecodeOrNothing(
      {.key = "leased",
       .value = ToMessagePack(json::parse(R"([18446744073709551615,[]])"))}));
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
