// Tests that the control thread sleeps while it waits. A control state that is
// due again at once keeps its thread busy: on a VM with a small share of a core
// it then falls behind with everything else.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

#include "skylarkbridge/control/virtual_fleet_fake.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A run may leave a few calls that are due at once.
constexpr int kMaxRunsDueAtOnce = 5;

std::unique_ptr<virtual_fleet> StartedFleet(
    const virtual_fleet::options& options) {
  auto fleet = std::make_unique<virtual_fleet>(options);
  fleet->Advance(seconds(5));
  return fleet;
}

// Guards against a busy thread while the snapshot of one cell is read and those
// of other cells have to wait.
TEST(ControlLoopTest, SleepsWhileTheSnapshotOfAnotherCellIsRead) {
  auto fleet = StartedFleet({.vms = 3, .workers = 9, .cells = 3});
  const records::keyed_record record =
      records::Encode(jobs::job_cancelled{jobs::job_id{0xffff}});
  for (jobs::cell_id cell = 0; cell < 3; ++cell) {
    fleet->Store().Put({topic_kind::kJobs, cell}, record.key, record.value);
  }
  fleet->TrimStore();
  const std::size_t owner = *fleet->Owner(0);
  const int before = fleet->RunsDueAtOnce(owner);
  fleet->LoseSnapshotAnswers(owner, 0, 1);
  fleet->Advance(seconds(3));
  EXPECT_LE(fleet->RunsDueAtOnce(owner) - before, kMaxRunsDueAtOnce);
}

// Guards against a busy thread while requests of callers wait for appends that
// are in flight.
TEST(ControlLoopTest, SleepsWhileRequestsWaitForAppendsInFlight) {
  auto fleet = StartedFleet({});
  fleet->SetStoreDelay(milliseconds(150));
  const int before = fleet->RunsDueAtOnce(0);
  for (std::uint64_t id = 1; id <= 10; ++id) {
    fleet->Submit(0, jobs::job_id{id}, "500 300 0 1");
    fleet->Advance(milliseconds(10));
  }
  fleet->Advance(seconds(2));
  EXPECT_LE(fleet->RunsDueAtOnce(0) - before, kMaxRunsDueAtOnce);
}

// Guards against a busy thread of an owner that may not give orders, as the
// store has accepted no write for some time.
TEST(ControlLoopTest, SleepsWhileItMayNotGiveOrders) {
  auto fleet = StartedFleet({});
  const std::size_t owner = *fleet->Owner();
  const int before = fleet->RunsDueAtOnce(owner);
  fleet->SetStoreDown(true);
  fleet->Advance(seconds(10));
  EXPECT_LE(fleet->RunsDueAtOnce(owner) - before, kMaxRunsDueAtOnce);
}

}  // namespace
}  // namespace skylarkbridge::control
