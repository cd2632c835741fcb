// Tests of records that nest so deeply that a parser which recurses overflows
// its stack.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::seconds;

constexpr jobs::job_id kJob{1};

/// A MessagePack document of that many nested arrays.
std::string DeepRecord() {
  constexpr std::size_t kDepth = 200'000;
  return std::string(kDepth, '\x91');
}

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

// Guards against a record that ends every VM which reads it, and again each VM
// that starts later: it stays in the topic's snapshot.
TEST(DeepRecordTest, DoesNotStopTheJobsOfACell) {
  virtual_fleet fleet({});
  fleet.Advance(seconds(2));
  const std::string other_job = jobs::Format(jobs::job_id{0x99});
  for (const std::string& key :
       {"j" + other_job, "c" + other_job, "p" + other_job,
        std::string("leased"), std::string("unknown")}) {
    fleet.Store().Put({topic_kind::kJobs, 0}, key, DeepRecord());
  }
  fleet.Advance(seconds(1));
  fleet.KillVm(1);
  fleet.StartVm(1);
  fleet.Advance(seconds(2));
  const std::uint64_t token = fleet.Submit(1, kJob, "1000 200 0 2");
  fleet.Advance(seconds(5));
  ASSERT_NE(fleet.AnswerTo(token), nullptr);
  EXPECT_EQ(fleet.AnswerTo(token)->kind, answer_kind::kAccepted);
  EXPECT_TRUE(fleet.Checker().Done(kJob));
  EXPECT_EQ(Violations(fleet), "");
}

// As above, for the topic with the map of the fleet, in which all VMs read one
// record before they do anything else.
TEST(DeepRecordTest, DoesNotEndTheVmsThatReadTheFleetMap) {
  virtual_fleet fleet({});
  fleet.Advance(seconds(2));
  fleet.Store().Put({topic_kind::kFleetMap}, "map", DeepRecord());
  fleet.KillVm(1);
  fleet.StartVm(1);
  fleet.Advance(seconds(2));
  const std::uint64_t token = fleet.Submit(0, kJob, "1000 200 0 2");
  fleet.Advance(seconds(5));
  ASSERT_NE(fleet.AnswerTo(token), nullptr);
  EXPECT_EQ(fleet.AnswerTo(token)->kind, answer_kind::kAccepted);
  EXPECT_EQ(Violations(fleet), "");
}

}  // namespace
}  // namespace skylarkbridge::control
