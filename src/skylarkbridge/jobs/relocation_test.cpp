#include "skylarkbridge/jobs/relocation.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

relocatable_run Held(std::uint32_t index,
                     const std::string& worker,
                     std::int64_t held,
                     std::int64_t missing) {
  return {.run = {{job_id{1}, 0, 0, index}, 1},
          .worker = worker,
          .held = {.millicores = held},
          .missing = {.millicores = missing}};
}

std::vector<std::uint32_t> Ranked(const std::vector<relocatable_run>& runs) {
  std::vector<std::uint32_t> indices;
  for (const relocatable_run& run : RankRunsToRelocate(runs)) {
    indices.push_back(run.run.task.index);
  }
  return indices;
}

// Guards against a run that is stopped although its room does not suffice.
TEST(RelocationTest, LeavesOutRunsThatHoldTooLittle) {
  EXPECT_EQ(Ranked({Held(0, "w0", 400, 500), Held(1, "w1", 500, 500)}),
            std::vector<std::uint32_t>{1});
}

// The same for an amount other than the processor time.
TEST(RelocationTest, LeavesOutRunsThatHoldTooLittleMemory) {
  relocatable_run run = Held(0, "w0", 500, 500);
  run.missing.memory_mb = 1;
  EXPECT_TRUE(Ranked({run}).empty());
}

// Guards against the move of a larger run than needed, which finds room on
// fewer workers.
TEST(RelocationTest, PrefersTheSmallestRunThenTheWorkerThatLacksLeast) {
  EXPECT_EQ(Ranked({Held(0, "w0", 900, 100), Held(1, "w0", 500, 100),
                    Held(2, "w1", 500, 50)}),
            (std::vector<std::uint32_t>{2, 1, 0}));
}

}  // namespace
}  // namespace skylarkbridge::jobs
