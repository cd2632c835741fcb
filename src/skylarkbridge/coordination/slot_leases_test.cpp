#include "skylarkbridge/coordination/slot_leases.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::coordination {
namespace {

using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr worker_id kWorker{7};
const ballot kLender{3, {1}, {10}};
const slot_holder_id kA{{1}, {10}};
const slot_holder_id kB{{2}, {20}};

class SlotLeasesTest : public testing::Test {
 protected:
  SlotLeasesTest() { lender_.SetWorker(kWorker, {8, 64}, now_); }

  void Renew(slot_holder& holder, std::int64_t wanted) {
    if (const auto grant =
            lender_.Request(holder.MakeRequest(wanted, now_), now_)) {
      holder.Apply(*grant, now_);
    }
  }

  time_point now_ = kStart + seconds(60);
  slot_lender lender_{{}, kLender, kStart};
  slot_holder a_{{}, kA};
  slot_holder b_{{}, kB};
};

// More lent than there is means a worker over its capacity.
TEST_F(SlotLeasesTest, LendsWhatThereIsAndReclaimsByDemand) {
  Renew(a_, 20);
  EXPECT_EQ(a_.Free(kWorker, now_), 8);
  Renew(b_, 20);
  EXPECT_EQ(b_.Free(kWorker, now_), 0);
  Renew(a_, 20);  // Learns that it should keep four.
  Renew(a_, 20);  // Returns the others.
  Renew(b_, 20);
  EXPECT_EQ(a_.Free(kWorker, now_), 4);
  EXPECT_EQ(b_.Free(kWorker, now_), 4);
  EXPECT_EQ(lender_.InUse(kWorker, now_), (slot_room{8, 64}));
}

// A slot in use must not be returned, whatever the lender asks for.
TEST_F(SlotLeasesTest, KeepsSlotsInUse) {
  Renew(a_, 8);
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(a_.Use(kWorker, now_ + seconds(1), now_));
  }
  Renew(b_, 8);
  Renew(a_, 8);
  Renew(a_, 8);
  Renew(b_, 8);
  EXPECT_EQ(b_.Free(kWorker, now_), 2);
}

// A VM that was paused past its lease must not dispatch.
TEST_F(SlotLeasesTest, HolderChecksTheDeadlineBeforeEachUse) {
  Renew(a_, 8);
  EXPECT_FALSE(a_.Use(kWorker, now_ + seconds(9), now_));
  const time_point later = now_ + seconds(5);
  EXPECT_FALSE(a_.Use(kWorker, later, later));
}

// A lent slot counts as used until its lease and margin have passed.
TEST_F(SlotLeasesTest, LentSlotsComeBackAfterLeaseAndMargin) {
  Renew(a_, 8);
  now_ += seconds(5);
  lender_.Tick(now_);
  EXPECT_EQ(lender_.InUse(kWorker, now_).slots, 8);
  now_ += std::chrono::milliseconds(303);
  lender_.Tick(now_);
  EXPECT_EQ(lender_.InUse(kWorker, now_).slots, 0);
}

// Seed 3000200: a grant that answers an older request than the latest would
// bring back slots that were returned since.
TEST_F(SlotLeasesTest, IgnoresAnswersToOlderRequests) {
  const auto first = lender_.Request(a_.MakeRequest(8, now_), now_);
  const slot_request second = a_.MakeRequest(0, now_);
  a_.Apply(*first, now_);
  EXPECT_EQ(a_.Free(kWorker, now_), 0);
  EXPECT_TRUE(lender_.Request(second, now_));
  EXPECT_EQ(lender_.InUse(kWorker, now_).slots, 0);
}

// After a takeover holders go on with what they have, and nothing else is lent
// until the leases of the earlier lender have ended.
TEST_F(SlotLeasesTest, TakeoverKeepsReportedSlotsAndLendsNoOthers) {
  Renew(a_, 3);
  slot_lender successor({}, {4, {2}, {20}}, now_);
  successor.SetWorker(kWorker, {8, 64}, now_);
  const auto grant = successor.Request(a_.MakeRequest(8, now_), now_);
  a_.Apply(*grant, now_);
  EXPECT_EQ(a_.Free(kWorker, now_), 3);
  EXPECT_EQ(successor.InUse(kWorker, now_).slots, 8);
  now_ += seconds(6);
  EXPECT_EQ(successor.InUse(kWorker, now_).slots, 3);
}

}  // namespace
}  // namespace skylarkbridge::coordination
