#include "skylarkbridge/declaration/check.hpp"

#include <gtest/gtest.h>

#include <limits>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/declaration/declare.hpp"

namespace skylarkbridge::declaration {
namespace {

using namespace std::chrono_literals;

const team kTeam = {.name = "shop"};
const service kService = {.name = "checkout", .team = "shop"};
const batch_kind kKind = {.name = "report",
                          .team = "shop",
                          .size = {.millicores = 1, .memory_mib = 1}};

TEST(CheckTest, AcceptsDefaults) {
  EXPECT_EQ(Format(Check(Declare(kTeam, kService, kKind))), "");
}

// An operator must see all faults at once, each with its place.
TEST(CheckTest, ReportsEachFaultWithItsPlace) {
  service bad_service = kService;
  bad_service.name = "Checkout";
  bad_service.team = "shopp";
  bad_service.claim = {.minimum_permille = 700, .cap_permille = 600};
  bad_service.default_deadline = 60s;
  bad_service.urgency = -1;
  batch_kind bad_kind = kKind;
  bad_kind.size.millicores = 0;
  bad_kind.run_time = 0ms;
  bad_kind.queue_limit = 0;
  EXPECT_EQ(
      Format(Check(Declare(kTeam, kTeam, bad_service, bad_kind))),
      "teams[1].name: \"shop\" is declared twice\n"
      "services[0].name: must start with a letter a-z, contain only a-z, 0-9 "
      "and -, and not end with -\n"
      "services[0].team: team \"shopp\" is not declared\n"
      "services[0].claim.minimum_permille: 700 is above cap_permille 600\n"
      "services[0].default_deadline_ms: 60000 is above longest_deadline_ms "
      "30000\n"
      "services[0].urgency: -1 is not between 0 and 1000\n"
      "batch_kinds[0].size.millicores: 0 is not between 1 and 1024000\n"
      "batch_kinds[0].run_time_ms: 0 is not between 1 and 2592000000\n"
      "batch_kinds[0].queue_limit: 0 is not between 1 and 1000000\n");
}

// Guarantees that add up to more than the fleet cannot all be kept.
TEST(CheckTest, RefusesSumsAboveTheFleet) {
  service a = kService;
  a.claim.minimum_permille = 600;
  service b = a;
  b.name = "search";
  EXPECT_EQ(Format(Check(Declare(kTeam, a, b))),
            "services: the sum of minimum_permille of all services is 1200, "
            "more than 1000\n"
            "teams[0].claim.cap_permille: 1000 is below the sum of "
            "minimum_permille of the team's services, 1200\n");
}

// A guarantee above the team's cap breaks one of the two promises.
TEST(CheckTest, RefusesGuaranteesAboveTheTeamsCap) {
  team small = kTeam;
  small.claim.cap_permille = 200;
  batch_kind kind = kKind;
  kind.claim.minimum_permille = 201;
  EXPECT_EQ(Format(Check(Declare(small, kind))),
            "teams[0].claim.cap_permille: 200 is below the sum of "
            "minimum_permille of the team's batch kinds, 201\n");
}

// Extreme numbers must be reported and not overflow the sums.
TEST(CheckTest, SurvivesExtremeNumbers) {
  service low = kService;
  low.claim.minimum_permille = std::numeric_limits<std::int64_t>::min();
  service high = kService;
  high.name = "search";
  high.claim.minimum_permille = std::numeric_limits<std::int64_t>::max();
  EXPECT_EQ(Check(Declare(kTeam, low, high)).Items().size(), 3u);
}

// The number of items bounds the memory of a configuration.
TEST(CheckTest, BoundsTheNumberOfItems) {
  configuration config;
  for (std::size_t i = 0; i <= kMaxTeams; ++i) {
    Add(config, team{.name = absl::StrCat("t", i)});
  }
  EXPECT_EQ(Format(Check(config)), "teams: 2001 items are more than 2000\n");
}

}  // namespace
}  // namespace skylarkbridge::declaration
