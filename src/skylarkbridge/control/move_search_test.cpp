#include "skylarkbridge/control/move_search_fake.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::control {
namespace {

constexpr std::size_t kMaxMoves = 4;

/// A task of a job of its own.
sized_task Task(std::uint64_t job, std::int64_t millicores) {
  return {.task = {.job = jobs::job_id{job}},
          .need = {.millicores = millicores}};
}
const sized_task kWaiting = Task(1, 2000);

/// The workers of a cell, each with its free room and its tasks.
std::vector<filled_worker> Cell(
    const std::vector<std::pair<std::int64_t, std::vector<sized_task>>>&
        workers) {
  std::vector<filled_worker> cell;
  cell.reserve(workers.size());
  for (const auto& [room, tasks] : workers) {
    cell.push_back({.worker = absl::StrCat("w", cell.size()),
                    .room = {.millicores = room},
                    .tasks = tasks});
  }
  return cell;
}

/// The number of moves of the plan; empty without one.
std::optional<std::size_t> Moves(const std::vector<filled_worker>& cell,
                                 const sized_task& task = kWaiting,
                                 std::size_t max_moves = kMaxMoves) {
  const auto plan = FindRoomByMoves(cell, task, max_moves);
  return plan ? std::optional(plan->moves.size()) : std::nullopt;
}

// Guards against moves where a worker has room as it is.
TEST(MoveSearchTest, FreeRoomNeedsNoMove) {
  EXPECT_EQ(Moves(Cell({{1500, {Task(2, 500)}}, {2000, {}}})), 0U);
}

// Guards against a real lack of room that counts as room in pieces.
TEST(MoveSearchTest, FindsNothingWhereTheSumIsTooSmall) {
  EXPECT_EQ(Moves(Cell({{900, {Task(2, 500)}}, {1000, {Task(3, 500)}}})),
            std::nullopt);
}

// Guards against room in pieces that counts as a lack of room.
TEST(MoveSearchTest, MovesOneRun) {
  const auto plan = FindRoomByMoves(
      Cell({{1500, {Task(2, 500)}}, {500, {Task(3, 1500)}}}), kWaiting, 1);
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->worker, "w0");
  ASSERT_EQ(plan->moves.size(), 1U);
  EXPECT_EQ(plan->moves[0].task, Task(2, 500).task);
  EXPECT_EQ(plan->moves[0].to, "w1");
}

// Guards against plans that need two runs of one worker to move, to different
// workers, and are not found.
TEST(MoveSearchTest, MovesTwoRunsToDifferentWorkers) {
  const auto cell = Cell({{1000, {Task(2, 500), Task(3, 500)}},
                          {500, {Task(4, 1900)}},
                          {500, {Task(5, 1900)}}});
  EXPECT_EQ(Moves(cell), 2U);
  EXPECT_EQ(Moves(cell, kWaiting, 1), std::nullopt);
}

// Guards against a search that takes the first target for a run and finds no
// room for the next one.
TEST(MoveSearchTest, TriesAllTargetsOfEachRun) {
  EXPECT_EQ(Moves(Cell({{500, {Task(2, 600), Task(3, 900)}},
                        {900, {Task(4, 1900)}},
                        {600, {Task(5, 1900)}}})),
            2U);
}

// Guards against a wrong bound of the moves.
TEST(MoveSearchTest, MovesAtMostTheGivenNumberOfRuns) {
  const auto cell = Cell(
      {{1000,
        {Task(2, 200), Task(3, 200), Task(4, 200), Task(5, 200), Task(6, 200)}},
       {1000, {Task(7, 3000)}}});
  EXPECT_EQ(Moves(cell), std::nullopt);
  EXPECT_EQ(Moves(cell, kWaiting, 5), 5U);
}

// Guards against moves of runs that have to stay, and of runs that are as large
// as the waiting task, which would wait instead of it.
TEST(MoveSearchTest, LeavesRunsThatMayNotMove) {
  sized_task fixed = Task(2, 500);
  fixed.movable = false;
  EXPECT_EQ(Moves(Cell({{1500, {fixed}}, {500, {Task(3, 1900)}}})),
            std::nullopt);
  EXPECT_EQ(Moves(Cell({{1500, {Task(2, 2000)}}, {1900, {}}})), std::nullopt);
}

// Guards against plans that put more tasks of a step on a worker than its limit
// allows, be it the waiting task or one that moves.
TEST(MoveSearchTest, KeepsTheLimitPerWorker) {
  sized_task waiting = kWaiting;
  waiting.max_per_worker = 1;
  sized_task sibling = waiting;
  sibling.task.index = 1;
  EXPECT_EQ(Moves(Cell({{2000, {sibling}}, {1000, {Task(3, 900)}}}), waiting),
            std::nullopt);
  sized_task limited = Task(2, 500);
  limited.max_per_worker = 1;
  sized_task other = limited;
  other.task.index = 1;
  EXPECT_EQ(Moves(Cell({{1500, {limited}}, {500, {other, Task(3, 1900)}}})),
            std::nullopt);
}

// Guards against two tasks that count on the same room.
TEST(MoveSearchTest, AppliedPlansTakeTheirRoom) {
  move_search search(Cell({{1500, {Task(2, 500)}}, {500, {Task(3, 1900)}}}));
  const auto plan = search.Find(kWaiting, kMaxMoves);
  ASSERT_TRUE(plan);
  search.Apply(kWaiting, *plan);
  EXPECT_EQ(search.Workers()[0].room.millicores, 0);
  EXPECT_EQ(search.Workers()[1].room.millicores, 0);
  EXPECT_EQ(search.Workers()[0].tasks.size(), 1U);
  EXPECT_EQ(search.Workers()[1].tasks.size(), 2U);
  EXPECT_FALSE(search.Find(Task(6, 500), kMaxMoves));
}

// Guards against a search that changes the cell that it leaves.
TEST(MoveSearchTest, ASearchLeavesTheCellAsItWas) {
  move_search search(Cell({{1500, {Task(2, 500), Task(4, 700)}},
                           {600, {Task(3, 1900), Task(5, 100)}}}));
  EXPECT_TRUE(search.Find(kWaiting, kMaxMoves));
  EXPECT_FALSE(search.Find(Task(6, 4000), kMaxMoves));
  EXPECT_EQ(search.Workers()[0].room.millicores, 1500);
  EXPECT_EQ(search.Workers()[0].tasks[0].task, Task(2, 500).task);
  EXPECT_EQ(search.Workers()[0].tasks[1].task, Task(4, 700).task);
  EXPECT_EQ(search.Workers()[1].room.millicores, 600);
  EXPECT_EQ(search.Workers()[1].tasks.size(), 2U);
}

}  // namespace
}  // namespace skylarkbridge::control
