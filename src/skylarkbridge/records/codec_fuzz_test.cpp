// Decodes mutated records. FIRST_SEED and LAST_SEED select other seeds.

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/encoding/mutation_fake.hpp"
#include "skylarkbridge/jobs/job_limits.hpp"
#include "skylarkbridge/records/fleet_map_codec.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::records {
namespace {

using encoding::DecodeMutatedInputs;
using encoding::MessagePackTokens;
using namespace jobs;

/// Decodes a record; nullopt if that fails.
std::optional<log_record> DecodeOrNothing(std::string_view key,
                                          std::string_view value) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<log_record>> {
        return Decode(key, value);
      },
      [](const failure& error) {
        EXPECT_LT(error.message.size(), 400U);
        return std::optional<log_record>();
      },
      [] { return std::optional<log_record>(); });
}

// Guards against a record that ends the process, or with values out of their
// ranges, which the scheduler would use as they are.
TEST(CodecFuzzTest, RecordsOfJobs) {
  const std::vector<keyed_record> valid_records = {
      Encode(job_accepted{
          .job = job_id{1},
          .queue = "q",
          .accepted_at = wall_time(std::chrono::seconds(1'796'455'144)),
          .spec = {.payload = "payload",
                   .steps = {{.count = 3, .need = {100, 200, 1}},
                             {.count = 2, .depends_on = {0}, .image = "i"}},
                   .repeat_count = 2,
                   .interval = std::chrono::milliseconds(100)}}),
      Encode(job_cancelled{.job = job_id{1}}),
      Encode(job_advanced{
          .job = job_id{1},
          .progress = {.started = true,
                       .steps = {{.occurrence = 1,
                                  .step = 1,
                                  .done = {true, false},
                                  .failures = {{1, {1, 10'001}}},
                                  .started = {true, true},
                                  .crashes =
                                      {{0,
                                        {{1,
                                          crash_evidence::kSuspected}}}}}}}}),
      Encode(ownership_record{.claim_epoch = 7, .vm = "a", .incarnation = 9}),
      Encode(leased_workers{.claim_epoch = 7, .workers = {"x", "y"}}),
      Encode(returned_tasks{
          .claim_epoch = 7,
          .tasks = {{.task = {.job = job_id{1}},
                     .first_run = 2,
                     .next_run = 10'003,
                     .crashes = {{2, crash_evidence::kBlamed}}}}})};
  for (const keyed_record& valid : valid_records) {
    DecodeMutatedInputs(
        {*valid.value}, MessagePackTokens(), [&](const std::string& input) {
          const std::optional<log_record> record =
              DecodeOrNothing(valid.key, input);
          if (!record) {
            return;
          }
          if (const auto* const accepted =
                  std::get_if<job_accepted>(&*record)) {
            EXPECT_FALSE(FindFault(accepted->spec));
          } else if (const auto* const owner =
                         std::get_if<ownership_record>(&*record)) {
            EXPECT_LE(owner->claim_epoch, kMaxEpoch);
            EXPECT_GE(owner->predecessor_validity.count(), 0);
          } else if (const auto* const returned =
                         std::get_if<returned_tasks>(&*record)) {
            for (const returned_task& task : returned->tasks) {
              EXPECT_GE(task.first_run, 1U);
              EXPECT_LE(task.next_run, kMaxRunNumber);
            }
          }
        });
    // Keys may be any bytes.
    DecodeMutatedInputs(
        {valid.key}, MessagePackTokens(),
        [&](const std::string& key) { DecodeOrNothing(key, *valid.value); });
  }
}

// As above, for the map of the fleet.
TEST(CodecFuzzTest, FleetMaps) {
  const keyed_record valid =
      Encode(fleet_map{.cells = 3, .racks = {{"r1", 2}, {"r2", 0}}});
  DecodeMutatedInputs({*valid.value}, MessagePackTokens(),
                      [](const std::string& input) {
                        boost::leaf::try_handle_all(
                            [&]() -> boost::leaf::result<void> {
                              BOOST_LEAF_AUTO(map, DecodeFleetMap(input));
                              EXPECT_GT(map.cells, 0U);
                              EXPECT_LE(map.cells, kMaxCells);
                              for (const auto& [rack, cell] : map.racks) {
                                EXPECT_LT(cell, map.cells);
                              }
                              return {};
                            },
                            [] {});
                      });
}

}  // namespace
}  // namespace skylarkbridge::records
