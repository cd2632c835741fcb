#include "skylarkbridge/declaration/change.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/declaration/declare.hpp"
#include "skylarkbridge/declaration/diff.hpp"
#include "skylarkbridge/declaration/json.hpp"

namespace skylarkbridge::declaration {
namespace {

const team kTeam = {.name = "shop"};

std::int64_t Small(std::mt19937& random) {
  return static_cast<std::int64_t>(random() % 3);
}

configuration Sample(std::mt19937& random) {
  configuration config = Declare(kTeam);
  for (int i = 0; i < 8; ++i) {
    if (random() % 2 == 0) {
      Add(config, service{.name = absl::StrCat("s", i),
                          .team = "shop",
                          .queue_limit = Small(random)});
    }
    if (random() % 2 == 0) {
      Add(config, batch_kind{.name = absl::StrCat("b", i),
                             .team = "shop",
                             .size = {.millicores = 1 + Small(random),
                                      .memory_mib = 1}});
    }
  }
  return config;
}

// A VM that receives changes must end with the same configuration as one that
// receives the whole.
TEST(ChangeTest, AppliedChangeGivesTheNewConfiguration) {
  constexpr unsigned kSeed = 7;
  constexpr int kPairs = 500;
  std::cout << "seed " << kSeed << ", " << kPairs << " pairs\n";
  std::mt19937 random(kSeed);
  for (int i = 0; i < kPairs; ++i) {
    const configuration from = Sample(random);
    const configuration to = Sample(random);
    findings found;
    const auto change =
        ParseChangeJson(PrintChangeJson(MakeChange(from, to)), found);
    ASSERT_TRUE(change.has_value()) << Format(found);
    ASSERT_EQ(ApplyChange(from, *change, found), Canonical(to));
    ASSERT_EQ(change->Empty(), Canonical(from) == Canonical(to));
  }
}

// A change that was made for another base must not be applied in part.
TEST(ChangeTest, RefusesAChangeOfAnotherBase) {
  const configuration base = Declare(kTeam);
  configuration_change change;
  change.teams.added = {kTeam};
  change.services.changed = {{.name = "a", .team = "none"}};
  change.services.removed = {"b", "b"};
  findings found;
  EXPECT_FALSE(ApplyChange(base, change, found).has_value());
  EXPECT_EQ(Format(found),
            "teams.added[0]: \"shop\" exists already\n"
            "services.removed[0]: \"b\" does not exist\n"
            "services.removed[1]: \"b\" is named twice in one change\n"
            "services.changed[0]: \"a\" does not exist\n");
}

// Removing a team that is still in use must be refused as a whole.
TEST(ChangeTest, ChecksTheResult) {
  const configuration base =
      Declare(kTeam, service{.name = "a", .team = "shop"});
  configuration_change change;
  change.teams.removed = {"shop"};
  findings found;
  EXPECT_FALSE(ApplyChange(base, change, found).has_value());
  EXPECT_EQ(Format(found), "services[0].team: team \"shop\" is not declared\n");
}

// The loser of two publishes reads these words to see what changed.
TEST(DiffTest, SaysInWordsWhatChanged) {
  configuration from = Declare(
      kTeam, service{.name = "despacho", .team = "shop", .claim = {0, 600}},
      batch_kind{.name = "manifest", .team = "shop"});
  configuration to = from;
  to.teams[0].quota.memory_mib = 5;
  to.services[0].claim.cap_permille = 700;
  to.services[0].idempotent = true;
  to.batch_kinds[0].name = "match";
  EXPECT_EQ(Format(Diff(from, to)),
            "team shop: quota of memory 0 -> 5 MiB\n"
            "service despacho: cap 600 -> 700 permille, idempotent false -> "
            "true\n"
            "batch kind match: added\n"
            "batch kind manifest: removed\n");
  EXPECT_EQ(Diff(from, to)[1].fields[0].field, "claim.cap_permille");
  EXPECT_TRUE(Diff(from, from).empty());
}

}  // namespace
}  // namespace skylarkbridge::declaration
