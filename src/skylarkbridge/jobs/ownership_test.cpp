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
  ownership vm = OwnershipOf("b");
  vm.Observe({.claim = 1, .vm = "a", .incarnation = 5}, kNow);
  vm.LogReadToEnd(kNow, kNow);
  EXPECT_FALSE(vm.NextClaim(kNow + seconds(30)));
  vm.LogReadToEnd(kNow + seconds(3), kNow + seconds(3));
  const auto claim = vm.NextClaim(kNow + seconds(3));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->claim, 2U);
}

// Guards against an owner that gives orders for longer than `validity` after
// its last accepted write.
TEST(OwnershipTest, ConfirmationsExtendTheTimeForOrders) {
  ownership vm = OwnershipOf("a");
  vm.LogReadToEnd(kNow, kNow);
  const auto claim = vm.NextClaim(kNow + seconds(1));
  ASSERT_TRUE(claim);
  EXPECT_TRUE(vm.IsOwnClaim(*claim));
  vm.ClaimAccepted(kNow + seconds(1));
  EXPECT_TRUE(vm.IsOwner());
  const time_point until = vm.OrdersUntil();
  vm.Confirmed(kNow + seconds(2));
  EXPECT_EQ(vm.OrdersUntil(), until + seconds(1));
}

// Guards against two owners: a claim of a higher epoch in the log ends the
// ownership immediately.
TEST(OwnershipTest, AHigherClaimEndsTheOwnership) {
  ownership vm = OwnershipOf("a");
  vm.LogReadToEnd(kNow, kNow);
  vm.NextClaim(kNow + seconds(1));
  vm.ClaimAccepted(kNow + seconds(1));
  vm.Observe({.claim = 2, .vm = "b", .incarnation = 9}, kNow + seconds(2));
  EXPECT_FALSE(vm.IsOwner());
}

// Guards against a cell without an owner for the silence limit after a release,
// and against claims of a VM that is stopping.
TEST(OwnershipTest, ClaimsAReleasedCellWithoutWaitingForSilence) {
  ownership vm = OwnershipOf("b");
  vm.Observe({.claim = 4, .vm = "a", .incarnation = 5, .released = true}, kNow);
  vm.LogReadToEnd(kNow, kNow);
  ownership stopping = vm;
  EXPECT_FALSE(stopping.Release(kNow));
  EXPECT_FALSE(stopping.NextClaim(kNow + milliseconds(400)));
  const auto claim = vm.NextClaim(kNow + milliseconds(400));
  ASSERT_TRUE(claim);
  EXPECT_EQ(vm.PredecessorOrdersUntil(kNow), kNow);
}

// Guards against a wait that is counted from the claim: lost tasks would
// restart later than needed. A silent owner's time for orders counts from its
// last write, which the successor has read.
TEST(OwnershipTest, ASilentPredecessorsOrdersEndAfterItsLastWrite) {
  const ownership_options options{.vm = "b", .incarnation = 1};
  ownership vm(options);
  vm.Observe({.claim = 4, .vm = "a", .incarnation = 5}, kNow);
  vm.LogReadToEnd(kNow + seconds(3), kNow + seconds(3));
  ASSERT_TRUE(vm.NextClaim(kNow + seconds(3)));
  vm.ClaimAccepted(kNow + seconds(3));
  EXPECT_EQ(vm.PredecessorOrdersUntil(kNow + seconds(3)),
            kNow + options.validity);
}

// Guards against reads that extend an owner's time for orders: its successor
// does not see them.
TEST(OwnershipTest, ReadsDoNotExtendTheTimeForOrders) {
  ownership vm = OwnershipOf("a");
  vm.LogReadToEnd(kNow, kNow);
  ASSERT_TRUE(vm.NextClaim(kNow + seconds(1)));
  vm.ClaimAccepted(kNow + seconds(1));
  const time_point until = vm.OrdersUntil();
  vm.LogReadToEnd(kNow + seconds(4), kNow + seconds(4));
  EXPECT_EQ(vm.OrdersUntil(), until);
  EXPECT_EQ(vm.ConfirmedAt(), kNow + seconds(4));
}

// Guards against two takeovers in a row that lose track of the first owner. If
// that is cut off, it may still give orders after its successor has released
// the cell.
TEST(OwnershipTest, WaitsForTheOwnerBeforeAnOwnerThatReleased) {
  ownership first = OwnershipOf("b");
  first.Observe({.claim = 4, .vm = "cut off", .incarnation = 5}, kNow);
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
  ownership vm = OwnershipOf("a");
  vm.Observe({.claim = 4,
              .vm = "a",
              .incarnation = 77,
              .predecessor_validity = milliseconds(1400)},
             kNow);
  vm.LogReadToEnd(kNow, kNow);
  ASSERT_TRUE(vm.NextClaim(kNow + milliseconds(400)));
  vm.ClaimAccepted(kNow + milliseconds(400));
  EXPECT_EQ(vm.PredecessorOrdersUntil(kNow + milliseconds(400)),
            kNow + milliseconds(1400));
}

// Guards against a first owner that waits without any predecessor.
TEST(OwnershipTest, TheFirstOwnerHasNoPredecessor) {
  ownership vm = OwnershipOf("a");
  vm.LogReadToEnd(kNow, kNow);
  ASSERT_TRUE(vm.NextClaim(kNow + seconds(1)));
  vm.ClaimAccepted(kNow + seconds(1));
  EXPECT_EQ(vm.PredecessorOrdersUntil(kNow + seconds(1)), kNow + seconds(1));
}

// Guards against cells that are spread without regard to the VMs' processor
// shares: a VM with a tenth of a core would own as many as one with half a
// core.
TEST(OwnershipTest, FastVmsWithFewCellsClaimFirst) {
  const auto first_claim_at = [](double share, std::size_t owned) {
    ownership vm({.vm = "a", .incarnation = 1, .processor_share = share});
    vm.LogReadToEnd(kNow, kNow);
    time_point at = kNow;
    while (!vm.NextClaim(at, owned)) {
      at += milliseconds(1);
    }
    return at;
  };
  EXPECT_LT(first_claim_at(0.5, 0), first_claim_at(0.5, 2));
  EXPECT_LT(first_claim_at(0.5, 1), first_claim_at(0.12, 0));
}

// Guards against a restarted owner that waits for the silence of its own
// earlier process.
TEST(OwnershipTest, ARestartedOwnerClaimsWithoutWaitingForSilence) {
  ownership vm = OwnershipOf("a");
  vm.Observe({.claim = 4, .vm = "a", .incarnation = 77}, kNow);
  vm.LogReadToEnd(kNow, kNow);
  EXPECT_TRUE(vm.NextClaim(kNow + milliseconds(400)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
