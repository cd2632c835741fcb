#include "skylarkbridge/jobs/unplaced_shapes.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::jobs {
namespace {

constexpr resources kNeed{.millicores = 500, .memory_mb = 100};

// Guards against a look at all workers for each step that waits.
TEST(UnplacedShapesTest, ALargerNeedOfTheSameKindHasNoRoom) {
  unplaced_shapes shapes;
  EXPECT_FALSE(shapes.HasNoRoom({}, kNeed));
  shapes.Add({}, kNeed);
  EXPECT_TRUE(shapes.HasNoRoom({}, kNeed));
  EXPECT_TRUE(shapes.HasNoRoom(
      {}, {.millicores = 500, .memory_mb = 101, .accelerators = 1}));
}

// The tests below guard against passing over a step that fits.
TEST(UnplacedShapesTest, ANeedThatIsSmallerInOneResourceMayHaveRoom) {
  unplaced_shapes shapes;
  shapes.Add({}, kNeed);
  EXPECT_FALSE(shapes.HasNoRoom({}, {.millicores = 499, .memory_mb = 900}));
  EXPECT_FALSE(shapes.HasNoRoom({}, {.millicores = 900, .memory_mb = 99}));
}

TEST(UnplacedShapesTest, AnotherKindMayHaveRoom) {
  unplaced_shapes shapes;
  shapes.Add({}, kNeed);
  EXPECT_FALSE(shapes.HasNoRoom({.service = "other"}, kNeed));
  EXPECT_FALSE(shapes.HasNoRoom({.image = "other"}, kNeed));
  EXPECT_FALSE(shapes.HasNoRoom({.required_label = "gpu"}, kNeed));
  EXPECT_FALSE(shapes.HasNoRoom({.long_running = true}, kNeed));
  EXPECT_FALSE(shapes.HasNoRoom({.best_effort = true}, kNeed));
  EXPECT_FALSE(shapes.HasNoRoom({.needs_idle_share = true}, kNeed));
}

TEST(UnplacedShapesTest, ASmallerNeedReplacesALargerOne) {
  unplaced_shapes shapes;
  shapes.Add({}, kNeed);
  shapes.Add({}, {.millicores = 400, .memory_mb = 100});
  shapes.Add({}, {.millicores = 600, .memory_mb = 50});
  EXPECT_TRUE(shapes.HasNoRoom({}, {.millicores = 400, .memory_mb = 100}));
  EXPECT_TRUE(shapes.HasNoRoom({}, {.millicores = 600, .memory_mb = 50}));
  EXPECT_FALSE(shapes.HasNoRoom({}, {.millicores = 599, .memory_mb = 99}));
}

}  // namespace
}  // namespace skylarkbridge::jobs
