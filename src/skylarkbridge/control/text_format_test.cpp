#include "skylarkbridge/control/text_format.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <set>
#include <string_view>

namespace skylarkbridge::control {
namespace {

constexpr jobs::task_ref kTask{.job = jobs::job_id{0x2a}, .index = 3};

// Guards against lines on a task that name no task, because it has not run
// under this owner.
TEST(TextFormatTest, NamesATaskWithoutARun) {
  EXPECT_EQ(Format(jobs::run_ref{.task = kTask}), "000000000000002a.0.0.3");
}

TEST(TextFormatTest, NamesARun) {
  EXPECT_EQ(Format(jobs::run_ref{.task = kTask, .run = 2}),
            "000000000000002a.0.0.3/2");
}

// Guards against a line on a worker as a whole that names a task.
TEST(TextFormatTest, NamesNoTaskWithoutOne) {
  EXPECT_EQ(Format(jobs::run_ref()), "");
}

// Guards against two reasons that the log does not tell apart.
TEST(TextFormatTest, NamesEachDelegationObstacleDifferently) {
  using jobs::delegation_obstacle;
  std::set<std::string_view> names;
  const int last = static_cast<int>(delegation_obstacle::kNoStatedRoom);
  for (int obstacle = 0; obstacle <= last; ++obstacle) {
    names.insert(Name(static_cast<delegation_obstacle>(obstacle)));
  }
  EXPECT_EQ(names.size(), static_cast<std::size_t>(last) + 1);
  EXPECT_FALSE(names.contains("unknown"));
}

// The same for the reasons why no smaller run is relocated.
TEST(TextFormatTest, NamesEachRelocationObstacleDifferently) {
  using jobs::relocation_obstacle;
  std::set<std::string_view> names;
  const int last = static_cast<int>(relocation_obstacle::kNoTarget);
  for (int obstacle = 0; obstacle <= last; ++obstacle) {
    names.insert(Name(static_cast<relocation_obstacle>(obstacle)));
  }
  EXPECT_EQ(names.size(), static_cast<std::size_t>(last) + 1);
  EXPECT_FALSE(names.contains("unknown"));
}

// Guards against a line on a search that does not say what its runs lacked.
TEST(TextFormatTest, ListsTheRunsOfASearchByObstacle) {
  using jobs::relocation_obstacle;
  jobs::relocation_refusal refusal;
  refusal.Add(relocation_obstacle::kDisruptionBudget);
  refusal.Add(relocation_obstacle::kTooLittleRoom);
  refusal.Add(relocation_obstacle::kTooLittleRoom);
  EXPECT_EQ(Format(refusal),
            "no_relocation_for disruption_budget runs too_little_room 2 "
            "disruption_budget 1");
}

// Guards against a count of runs where none was looked at.
TEST(TextFormatTest, ListsNoRunsWithoutASearch) {
  EXPECT_EQ(Format(jobs::relocation_refusal{
                .obstacle = jobs::relocation_obstacle::kShortWait}),
            "no_relocation_for short_wait");
}

TEST(TextFormatTest, NamesThePlaceInAQueue) {
  EXPECT_EQ(Format(jobs::queue_place{.place = 3, .tasks = 57}),
            "place 3 of 57");
}

// Guards against a summary whose numbers can't be told apart, or that a tool
// can't take to pieces.
TEST(TextFormatTest, ListsTheSumsOfABacklogByReason) {
  jobs::restart_backlog backlog;
  backlog.by_obstacle[jobs::restart_obstacle::kRoom] = {
      .tasks = 41,
      .need_millicores = 98'250,
      .smallest_need_millicores = 1200,
      .longest_wait = std::chrono::milliseconds(12'870)};
  backlog.by_obstacle[jobs::restart_obstacle::kUnstoredEnd] = {
      .tasks = 1,
      .need_millicores = 1800,
      .smallest_need_millicores = 1800,
      .longest_wait = std::chrono::milliseconds(640)};
  EXPECT_EQ(FormatReasons(backlog),
            "unstored_end tasks 1 need_millicores 1800 smallest_millicores "
            "1800 longest_ms 640; room tasks 41 need_millicores 98250 "
            "smallest_millicores 1200 longest_ms 12870");
}

TEST(TextFormatTest, ListsWaitingTasks) {
  const jobs::queued_restart restarts[] = {
      {.run = {.task = kTask, .run = 2},
       .place = {.place = 41, .tasks = 57},
       .obstacle = jobs::restart_obstacle::kRoom,
       .need_millicores = 2200,
       .waited = std::chrono::milliseconds(13'100)},
      {.run = {.task = kTask}, .place = {.place = 42, .tasks = 57}}};
  EXPECT_EQ(FormatQueue(restarts),
            "000000000000002a.0.0.3/2 place 41 of 57 waited_ms 13100 "
            "need_millicores 2200 waited_for room; 000000000000002a.0.0.3 "
            "place 42 of 57 waited_ms 0 need_millicores 0 waited_for nothing");
}

// Guards against two stages that share a label of the metrics.
TEST(TextFormatTest, NamesEachRestartStageDifferently) {
  std::set<std::string_view> names;
  for (const jobs::restart_stage_bound& bound : jobs::kRestartStageBounds) {
    names.insert(Name(bound.stage));
  }
  EXPECT_EQ(names.size(), jobs::kRestartStageCount);
  EXPECT_FALSE(names.contains("unknown"));
  EXPECT_FALSE(names.contains("all"));
}

TEST(TextFormatTest, NamesTheLongestStage) {
  EXPECT_EQ(
      Format(jobs::longest_restart_stage{jobs::restart_stage::kUnstoredEnd,
                                         std::chrono::milliseconds(1250)}),
      "longest_stage unstored_end stage_ms 1250");
}

}  // namespace
}  // namespace skylarkbridge::control
