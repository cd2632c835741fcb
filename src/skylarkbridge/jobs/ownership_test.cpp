#include "skylarkbridge/jobs/ownership.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

ownership OwnershipOf(const std::string& name) {
  return ownership({.vm = name, .incarnation = 1});
}

// Guards against a claim by a VM that can't read the log and takes that for
// silence of the owner.
TEST(OwnershipTest, ClaimsOnlyAfterTheLogShowsSilence) {
  ownership state = OwnershipOf("b");
  state.Observe({.claim_epoch = 1, .vm = "a", .incarnation = 5}, kNow);
  state.LogReadToEnd(kNow, kNow);
  EXPECT_FALSE(state.NextClaim(kNow + seconds(30)));
  state.LogReadToEnd(kNow + seconds(3), kNow + seconds(3));
  const auto claim = state.NextClaim(kNow + seconds(3));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->claim_epoch, 2U);
}

// Guards against a record, which any program may have written, that makes each
// takeover wait for orders that no owner gives any more.
TEST(OwnershipTest, NoRecordExtendsTheOrdersOfEarlierOwners) {
  ownership state = OwnershipOf("b");
  state.Observe({.claim_epoch = 1,
                 .vm = "a",
                 .incarnation = 5,
                 .predecessor_validity = std::chrono::hours(1)},
                kNow);
  const time_point claimed = kNow + seconds(3);
  state.LogReadToEnd(claimed, claimed);
  ASSERT_TRUE(state.NextClaim(claimed));
  state.ClaimAccepted(claimed);
  EXPECT_LE(state.PredecessorOrdersUntil(claimed),
            kNow + ownership_options().order_validity);
}

// Guards against an owner that gives orders for longer than `order_validity`
// after its last accepted write.
TEST(OwnershipTest, ConfirmationsExtendTheTimeForOrders) {
  ownership state = OwnershipOf("a");
  state.LogReadToEnd(kNow, kNow);
  const auto claim = state.NextClaim(kNow + seconds(1));
  ASSERT_TRUE(claim);
  EXPECT_TRUE(state.IsOwnClaim(*claim));
  state.ClaimAccepted(kNow + seconds(1));
  EXPECT_TRUE(state.IsOwner());
  const time_point until = state.OrdersUntil();
  state.Confirmed(kNow + seconds(2));
  EXPECT_EQ(state.OrdersUntil(), until + seconds(1));
}

// Guards against a VM that takes several cells while others own none: it ran
// out of processor time, followed the configuration 5 to 12 s late and stopped
// cancelled tasks 8 s late. A VM without a cell may notice the silence later,
// as VMs that do not own a cell read its log every 200 ms.
TEST(OwnershipTest, AnOwnerOfAnotherCellLeavesTheClaimToIdleVms) {
  constexpr milliseconds kReadLag{150};
  for (std::uint64_t incarnation = 1; incarnation <= 200; ++incarnation) {
    const auto first_claim = [incarnation](std::size_t owned) {
      ownership state({.vm = "b",
                       .incarnation = incarnation + 1000 * owned,
                       .processor_share = 0.5});
      state.Observe({.claim_epoch = 1, .vm = "a", .incarnation = 5}, kNow);
      for (time_point now = kNow;; now += milliseconds(10)) {
        state.LogReadToEnd(now, now);
        if (state.NextClaim(now, owned)) {
          return now;
        }
      }
    };
    EXPECT_LT(first_claim(0) + kReadLag, first_claim(1));
    EXPECT_LT(first_claim(1), first_claim(2));
  }
}

// Guards against two owners: a claim of a higher epoch in the log ends the
// ownership immediately.
TEST(OwnershipTest, AHigherClaimEndsTheOwnership) {
  ownership state = OwnershipOf("a");
  state.LogReadToEnd(kNow, kNow);
  state.NextClaim(kNow + seconds(1));
  state.ClaimAccepted(kNow + seconds(1));
  state.Observe({.claim_epoch = 2, .vm = "b", .incarnation = 9},
                kNow + seconds(2));
  EXPECT_FALSE(state.IsOwner());
}

// Guards against a cell without an owner for the silence limit after a release,
// and against claims of a VM that is stopping.
TEST(OwnershipTest, ClaimsAReleasedCellWithoutWaitingForSilence) {
  ownership state = OwnershipOf("b");
  state.Observe(
      {.claim_epoch = 4, .vm = "a", .incarnation = 5, .released = true}, kNow);
  state.LogReadToEnd(kNow, kNow);
  ownership stopping = state;
  EXPECT_FALSE(stopping.Release(kNow));
  EXPECT_FALSE(stopping.NextClaim(kNow + milliseconds(400)));
  const auto claim = state.NextClaim(kNow + milliseconds(400));
  ASSERT_TRUE(claim);
  EXPECT_EQ(state.PredecessorOrdersUntil(kNow), kNow);
}

// Guards against counting the validity of a silent predecessor's orders from
// the claim instead of from its last write, which the successor has read: lost
// tasks would restart later than needed.
TEST(OwnershipTest, CountsPredecessorValidityFromItsLastWrite) {
  const ownership_options options{.vm = "b", .incarnation = 1};
  ownership state(options);
  state.Observe({.claim_epoch = 4, .vm = "a", .incarnation = 5}, kNow);
  state.LogReadToEnd(kNow + seconds(3), kNow + seconds(3));
  ASSERT_TRUE(state.NextClaim(kNow + seconds(3)));
  state.ClaimAccepted(kNow + seconds(3));
  EXPECT_EQ(state.PredecessorOrdersUntil(kNow + seconds(3)),
            kNow + options.order_validity);
}

// Guards against reads that extend an owner's time for orders: its successor
// does not see them.
TEST(OwnershipTest, ReadsDoNotExtendTheTimeForOrders) {
  ownership state = OwnershipOf("a");
  state.LogReadToEnd(kNow, kNow);
  ASSERT_TRUE(state.NextClaim(kNow + seconds(1)));
  state.ClaimAccepted(kNow + seconds(1));
  const time_point until = state.OrdersUntil();
  state.LogReadToEnd(kNow + seconds(4), kNow + seconds(4));
  EXPECT_EQ(state.OrdersUntil(), until);
  EXPECT_EQ(state.ConfirmedAt(), kNow + seconds(4));
}

// Guards against ignoring owners before the last one in two takeovers in a row:
// an owner that can't reach the store may still give orders after its successor
// has released the cell.
TEST(OwnershipTest, WaitsForAnUnreachableOwnerBeforeOneThatReleased) {
  ownership first = OwnershipOf("b");
  first.Observe({.claim_epoch = 4, .vm = "cut off", .incarnation = 5}, kNow);
  first.LogReadToEnd(kNow + seconds(3), kNow + seconds(3));
  ASSERT_TRUE(first.NextClaim(kNow + seconds(3)));
  first.ClaimAccepted(kNow + seconds(3));
  const auto release = first.Release(kNow + seconds(4));
  ASSERT_TRUE(release);
  ownership second = OwnershipOf("c");
  second.Observe(*release, kNow + seconds(4));
  second.LogReadToEnd(kNow + seconds(4), kNow + seconds(4));
  ASSERT_TRUE(second.NextClaim(kNow + seconds(5)));
  second.ClaimAccepted(kNow + seconds(5));
  EXPECT_EQ(second.PredecessorOrdersUntil(kNow + seconds(5)),
            kNow + seconds(6));
}

// Guards against a restarted owner that waits for its own earlier process,
// which has ended, or that does not wait for the owners before it.
TEST(OwnershipTest, ARestartedOwnerWaitsOnlyForEarlierOwners) {
  ownership state = OwnershipOf("a");
  state.Observe({.claim_epoch = 4,
                 .vm = "a",
                 .incarnation = 77,
                 .predecessor_validity = milliseconds(1400)},
                kNow);
  state.LogReadToEnd(kNow, kNow);
  ASSERT_TRUE(state.NextClaim(kNow + milliseconds(400)));
  state.ClaimAccepted(kNow + milliseconds(400));
  EXPECT_EQ(state.PredecessorOrdersUntil(kNow + milliseconds(400)),
            kNow + milliseconds(1400));
}

// Guards against a first owner that waits without any predecessor.
TEST(OwnershipTest, TheFirstOwnerHasNoPredecessor) {
  ownership state = OwnershipOf("a");
  state.LogReadToEnd(kNow, kNow);
  ASSERT_TRUE(state.NextClaim(kNow + seconds(1)));
  state.ClaimAccepted(kNow + seconds(1));
  EXPECT_EQ(state.PredecessorOrdersUntil(kNow + seconds(1)), kNow + seconds(1));
}

// Guards against cells that are spread without regard to the VMs' processor
// shares: a VM with a tenth of a core would own as many as one with half a
// core.
TEST(OwnershipTest, FastVmsWithFewCellsClaimFirst) {
  const auto first_claim_at = [](double share, std::size_t owned) {
    ownership state({.vm = "a", .incarnation = 1, .processor_share = share});
    state.LogReadToEnd(kNow, kNow);
    time_point at = kNow;
    while (!state.NextClaim(at, owned)) {
      at += milliseconds(1);
    }
    return at;
  };
  EXPECT_LT(first_claim_at(0.5, 0), first_claim_at(0.5, 2));
  EXPECT_LT(first_claim_at(0.5, 1), first_claim_at(0.12, 0));
}

/// When a VM with the share claims the cell of an owner that is well and states
/// @p owner_millicores; empty within 10 s.
std::optional<milliseconds> HandOverTime(double share,
                                         std::size_t owned,
                                         std::int64_t owner_millicores,
                                         bool can_read_log = true,
                                         bool can_read_others = true) {
  ownership state({.vm = "b", .incarnation = 1, .processor_share = share});
  for (milliseconds time{}; time < seconds(10); time += milliseconds(100)) {
    const time_point now = kNow + time;
    state.Observe({.claim_epoch = 1,
                   .vm = "a",
                   .incarnation = 5,
                   .millicores_per_cell = owner_millicores},
                  now);
    state.LogReadToEnd(can_read_log ? now : kNow, now);
    if (state.NextClaim(now, owned, can_read_others ? now : kNow)) {
      EXPECT_EQ(state.ClaimReason(), claim_reason::kMoreProcessorTime);
      state.ClaimAccepted(now);
      // The owner may have written up to now.
      EXPECT_EQ(state.PredecessorOrdersUntil(now),
                now + ownership_options().order_validity);
      return time;
    }
  }
  return std::nullopt;
}

// Guards against an owner that keeps a cell for which another VM has much more
// processor time, and against moves that gain little.
TEST(OwnershipTest, AVmWithTwiceTheProcessorTimeTakesTheCellOver) {
  EXPECT_TRUE(HandOverTime(0.5, 0, 120));
  EXPECT_TRUE(HandOverTime(0.5, 0, 250));
  EXPECT_TRUE(HandOverTime(0.5, 1, 120));
  EXPECT_FALSE(HandOverTime(0.5, 0, 500));
  EXPECT_FALSE(HandOverTime(0.5, 1, 250));
  EXPECT_FALSE(HandOverTime(0.12, 0, 250));
}

// Guards against a hand-over to a VM that has just started, or that itself does
// not follow the log, those of other cells or the configuration.
TEST(OwnershipTest, TakesACellOverOnlyAfterADelayAndWithAFreshLog) {
  EXPECT_GE(HandOverTime(0.5, 0, 120), ownership_options().hand_over_delay);
  EXPECT_LE(HandOverTime(0.5, 0, 120), seconds(2));
  EXPECT_FALSE(HandOverTime(0.5, 0, 120, false, true));
  EXPECT_FALSE(HandOverTime(0.5, 0, 120, true, false));
}

// Guards against taking cells from owners whose version does not state its
// processor time.
TEST(OwnershipTest, TakesNothingFromAnOwnerOfUnknownSize) {
  EXPECT_FALSE(HandOverTime(0.5, 0, 0));
}

// Guards against a restarted owner that waits for the silence of its own
// earlier process.
TEST(OwnershipTest, ARestartedOwnerClaimsWithoutWaitingForSilence) {
  ownership state = OwnershipOf("a");
  state.Observe({.claim_epoch = 4, .vm = "a", .incarnation = 77}, kNow);
  state.LogReadToEnd(kNow, kNow);
  EXPECT_TRUE(state.NextClaim(kNow + milliseconds(400)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
