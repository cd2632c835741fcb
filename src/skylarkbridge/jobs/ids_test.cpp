#include "skylarkbridge/jobs/ids.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace skylarkbridge::jobs {
namespace {

// Guards against workers that get another name for a task than its caller
// chose.
TEST(IdsTest, AnIdKeepsTheCaseOfItsLetters) {
  for (const std::string text : {"00000000000000aB", "ABCDEF0123456789",
                                 "abcdef0123456789", "Ffffffffffffffff"}) {
    const std::optional<job_id> id = ParseJobId(text);
    ASSERT_TRUE(id);
    EXPECT_EQ(Format(*id), text);
    const task_ref task{*id, 1, 2, 3};
    EXPECT_EQ(ParseTaskRef(Format(task)), task);
  }
}

// Guards against one job that takes the place of another.
TEST(IdsTest, IdsThatDifferInTheCaseOfALetterAreDifferent) {
  EXPECT_NE(ParseJobId("000000000000000a"), ParseJobId("000000000000000A"));
}

TEST(IdsTest, OtherTextsAreNoIds) {
  for (const std::string text :
       {"", "0", "000000000000000g", "000000000000000-", "00000000000000000"}) {
    EXPECT_EQ(ParseJobId(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace skylarkbridge::jobs
