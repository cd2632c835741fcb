// Directed tests of records that are larger than the store takes.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kLargeJob{0x10};
constexpr std::uint64_t kFirstSmallJob = 0x20;
constexpr std::uint64_t kSmallJobs = 4;

/// Submits small jobs and returns whether all of them complete.
bool SmallJobsComplete(virtual_fleet& fleet) {
  for (std::uint64_t index = 0; index < kSmallJobs; ++index) {
    fleet.Submit(index % 2, jobs::job_id{kFirstSmallJob + index},
                 "500 300 0 1");
    fleet.Advance(milliseconds(100));
  }
  fleet.Advance(seconds(5));
  bool all = true;
  for (std::uint64_t index = 0; index < kSmallJobs; ++index) {
    all &= fleet.Checker().Done(jobs::job_id{kFirstSmallJob + index});
  }
  return all;
}

// Guards against a recurring job whose record grows with each occurrence until
// the store takes it no more, and no job in the fleet goes on (review/2).
TEST(LargeRecordTest, ALargeRecurringJobHoldsUpNoOtherJob) {
  constexpr std::size_t kRecordBytes = 12'000;
  virtual_fleet fleet({.vms = 2,
                       .worker_millicores = 16'000,
                       .max_record_bytes = kRecordBytes,
                       .known_max_record_bytes = kRecordBytes});
  fleet.Advance(seconds(2));
  fleet.Submit(0, kLargeJob, "100 300 0 700 repeat=40 max_per_worker=1");
  fleet.Advance(seconds(6));
  EXPECT_TRUE(SmallJobsComplete(fleet));
  EXPECT_EQ(fleet.Store().RejectedAppends(), 0);
  EXPECT_EQ(absl::StrJoin(fleet.Checker().Violations(), "\n"), "");
}

// Guards against a record that the store rejects and that its owner and each
// successor write again without end: only its own job fails.
TEST(LargeRecordTest, AJobWhoseProgressTheStoreRejectsFailsAlone) {
  virtual_fleet fleet(
      {.vms = 2, .worker_millicores = 16'000, .max_record_bytes = 600});
  fleet.Advance(seconds(2));
  fleet.Submit(0, kLargeJob, "100 300 0 4000");
  fleet.Advance(seconds(3));
  EXPECT_TRUE(SmallJobsComplete(fleet));
  EXPECT_GT(fleet.Store().RejectedAppends(), 0);
  const std::uint64_t query = fleet.Send(1, caller_method::kQuery, kLargeJob);
  fleet.Advance(seconds(1));
  ASSERT_NE(fleet.AnswerTo(query), nullptr);
  EXPECT_EQ(fleet.AnswerTo(query)->state, jobs::reported_state::kFailed);
}

// Guards against a job that is larger than a record and whose append keeps the
// requests of other callers from the store.
TEST(LargeRecordTest, AJobThatIsTooLargeToStoreIsRejectedAtOnce) {
  for (const std::size_t known : {2000U, 262'144U}) {
    SCOPED_TRACE(testing::Message() << "known limit " << known);
    virtual_fleet fleet(
        {.vms = 2, .max_record_bytes = 2000, .known_max_record_bytes = known});
    fleet.Advance(seconds(2));
    const std::uint64_t large = fleet.Submit(
        0, kLargeJob, "500 300 0 1 padding=" + std::string(3000, 'x'));
    const std::uint64_t small =
        fleet.Submit(0, jobs::job_id{kFirstSmallJob}, "500 300 0 1");
    fleet.Advance(milliseconds(500));
    ASSERT_NE(fleet.AnswerTo(large), nullptr);
    EXPECT_EQ(fleet.AnswerTo(large)->kind, answer_kind::kInvalid);
    ASSERT_NE(fleet.AnswerTo(small), nullptr);
    EXPECT_EQ(fleet.AnswerTo(small)->kind, answer_kind::kAccepted);
    EXPECT_TRUE(SmallJobsComplete(fleet));
  }
}

}  // namespace
}  // namespace skylarkbridge::control
