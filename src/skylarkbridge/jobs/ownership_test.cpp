#include "skylarkbridge/jobs/ownership.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

ownership Vm(const std::string& name) {
  return ownership({.vm = name, .incarnation = 1});
}

// What a VM can't read is no silence of the owner.
TEST(OwnershipTest, ClaimsOnlyAfterSilenceThatTheLogShows) {
  ownership vm = Vm("b");
  vm.Observe({.claim = 1, .vm = "a", .incarnation = 5}, kNow);
  vm.LogReadToEnd(kNow, kNow);
  EXPECT_FALSE(vm.NextClaim(kNow + seconds(30)));
  vm.LogReadToEnd(kNow + seconds(3), kNow + seconds(3));
  const auto claim = vm.NextClaim(kNow + seconds(3));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->claim, 2U);
}

// An owner whose claim is known gives no orders after its rights end.
TEST(OwnershipTest, OrdersEndWithoutConfirmation) {
  ownership vm = Vm("a");
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

// A higher claim in the log ends the ownership at once.
TEST(OwnershipTest, AHigherClaimEndsTheOwnership) {
  ownership vm = Vm("a");
  vm.LogReadToEnd(kNow, kNow);
  vm.NextClaim(kNow + seconds(1));
  vm.ClaimAccepted(kNow + seconds(1));
  vm.Observe({.claim = 2, .vm = "b", .incarnation = 9}, kNow + seconds(2));
  EXPECT_FALSE(vm.IsOwner());
}

// A release is taken over without waiting for silence; a VM that stops claims
// nothing.
TEST(OwnershipTest, AReleaseIsTakenOverAtOnce) {
  ownership vm = Vm("b");
  vm.Observe({.claim = 4, .vm = "a", .incarnation = 5, .released = true}, kNow);
  vm.LogReadToEnd(kNow, kNow);
  ownership stopping = vm;
  EXPECT_FALSE(stopping.Release(kNow));
  EXPECT_FALSE(stopping.NextClaim(kNow + milliseconds(400)));
  const auto claim = vm.NextClaim(kNow + milliseconds(400));
  ASSERT_TRUE(claim);
  EXPECT_EQ(vm.PredecessorOrdersUntil(kNow), kNow);
}

// What an owner that is silent may still order ends with its last write, which
// the successor has read; waiting from the claim on keeps lost tasks for
// longer.
TEST(OwnershipTest, ASilentPredecessorsStopByItsLastWrite) {
  const ownership_options options{.vm = "b", .incarnation = 1};
  ownership vm(options);
  vm.Observe({.claim = 4, .vm = "a", .incarnation = 5}, kNow);
  vm.LogReadToEnd(kNow + seconds(3), kNow + seconds(3));
  ASSERT_TRUE(vm.NextClaim(kNow + seconds(3)));
  vm.ClaimAccepted(kNow + seconds(3));
  EXPECT_EQ(vm.PredecessorOrdersUntil(kNow + seconds(3)),
            kNow + options.validity);
}

// Reads don't prolong an owner's right to give orders: its successor does not
// see them.
TEST(OwnershipTest, OnlyWritesProlongTheOrders) {
  ownership vm = Vm("a");
  vm.LogReadToEnd(kNow, kNow);
  ASSERT_TRUE(vm.NextClaim(kNow + seconds(1)));
  vm.ClaimAccepted(kNow + seconds(1));
  const time_point until = vm.OrdersUntil();
  vm.LogReadToEnd(kNow + seconds(4), kNow + seconds(4));
  EXPECT_EQ(vm.OrdersUntil(), until);
  EXPECT_EQ(vm.ConfirmedAt(), kNow + seconds(4));
}

// An owner that gave up says nothing of the one before it, which may be cut off
// and go on giving orders: it must not be forgotten with the second takeover.
TEST(OwnershipTest, RemembersTheOwnerBeforeAnOwnerThatGaveUp) {
  ownership first = Vm("b");
  first.Observe({.claim = 4, .vm = "cut off", .incarnation = 5}, kNow);
  first.LogReadToEnd(kNow + seconds(3), kNow + seconds(3));
  ASSERT_TRUE(first.NextClaim(kNow + seconds(3)));
  first.ClaimAccepted(kNow + seconds(3));
  const auto release = first.Release(kNow + seconds(4));
  ASSERT_TRUE(release);
  ownership second = Vm("c");
  second.Observe(*release, kNow + seconds(4));
  second.LogReadToEnd(kNow + seconds(4), kNow + seconds(4));
  ASSERT_TRUE(second.NextClaim(kNow + seconds(5)));
  second.ClaimAccepted(kNow + seconds(5));
  EXPECT_EQ(second.PredecessorOrdersUntil(kNow + seconds(5)),
            kNow + seconds(6));
}

// A process that starts on the VM of the owner knows that this one has ended,
// and for how long those before it count.
TEST(OwnershipTest, ARestartedOwnerWaitsOnlyForThoseBefore) {
  ownership vm = Vm("a");
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

// The first owner of all has nobody to wait for.
TEST(OwnershipTest, TheFirstOwnerHasNoPredecessor) {
  ownership vm = Vm("a");
  vm.LogReadToEnd(kNow, kNow);
  ASSERT_TRUE(vm.NextClaim(kNow + seconds(1)));
  vm.ClaimAccepted(kNow + seconds(1));
  EXPECT_EQ(vm.PredecessorOrdersUntil(kNow + seconds(1)), kNow + seconds(1));
}

// Cells go to strong VMs that hold few, or one of a tenth of a core would own
// as much as one of a half.
TEST(OwnershipTest, StrongVmsWithFewCellsClaimFirst) {
  const auto first_claim = [](double share, std::size_t owned) {
    ownership vm({.vm = "a", .incarnation = 1, .processor_share = share});
    vm.LogReadToEnd(kNow, kNow);
    time_point at = kNow;
    while (!vm.NextClaim(at, owned)) {
      at += milliseconds(1);
    }
    return at;
  };
  EXPECT_LT(first_claim(0.5, 0), first_claim(0.5, 2));
  EXPECT_LT(first_claim(0.5, 1), first_claim(0.12, 0));
}

// A process that starts again on the owner's VM knows that the earlier one has
// ended.
TEST(OwnershipTest, ARestartedOwnerClaimsAtOnce) {
  ownership vm = Vm("a");
  vm.Observe({.claim = 4, .vm = "a", .incarnation = 77}, kNow);
  vm.LogReadToEnd(kNow, kNow);
  EXPECT_TRUE(vm.NextClaim(kNow + milliseconds(400)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
