#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 3;
/// The platform's bounds on the VMs' knowledge of a configuration and of a
/// worker that drains.
constexpr milliseconds kMaxConfigurationTime{3000};
constexpr milliseconds kMaxDrainTime{3000};

/// A cell of 120 workers with 320 long-running tasks, in which about 400 batch
/// tasks start each second.
class busy_cell {
 public:
  explicit busy_cell(const processor_options& processor)
      : fleet_({.vms = kVms,
                .workers = 120,
                .worker_millicores = 32'000,
                .processor = processor}) {
    fleet_.Advance(seconds(4));
    owner_ = fleet_.Owner().value();
    for (int submitted = 0; submitted < 40; ++submitted) {
      long_running_.push_back(NextJob());
      fleet_.Submit(OtherVm(), long_running_.back(),
                    "-3000 600000 0 8 queue=serving");
      fleet_.Advance(milliseconds(50));
    }
    fleet_.Advance(seconds(2));
  }

  void RunLoad(milliseconds time) {
    constexpr milliseconds kSubmitInterval{100};
    constexpr int kJobsAtOnce = 4;
    for (const time_point end = fleet_.Now() + time; fleet_.Now() < end;) {
      for (int submitted = 0; submitted < kJobsAtOnce; ++submitted) {
        fleet_.Submit(OtherVm(), NextJob(), "3000 1200 0 8 4");
      }
      fleet_.Advance(kSubmitInterval);
    }
  }
  void CancelLongRunningJobs() {
    for (const jobs::job_id job : long_running_) {
      fleet_.Send(OtherVm(), caller_method::kCancel, job);
    }
  }
  /// Number of tasks of the long-running jobs that run.
  std::size_t LongRunningTasks() const {
    std::size_t running = 0;
    for (const jobs::job_id job : long_running_) {
      for (std::uint32_t index = 0; index < 8; ++index) {
        running += fleet_.Checker().Running({.job = job, .index = index});
      }
    }
    return running;
  }
  bool OwnerKnowsDraining(const std::string& worker) const {
    const auto& workers = fleet_.Cell(owner_).Scheduler().Workers();
    const auto found = workers.find(worker);
    return found != workers.end() && found->second.entry.draining;
  }
  const processor_fake& OwnersProcessor() const {
    return *fleet_.Processor(owner_);
  }
  std::size_t Owner() const { return owner_; }
  virtual_fleet& Fleet() { return fleet_; }

 private:
  std::size_t OtherVm() const { return (owner_ + 1) % kVms; }
  jobs::job_id NextJob() { return jobs::job_id{++last_job_ * 7919}; }

  virtual_fleet fleet_;
  std::size_t owner_ = 0;
  std::uint64_t last_job_ = 0;
  std::vector<jobs::job_id> long_running_;
};

/// Fraction of a processor that the owner of a busy cell uses.
double OwnersLoad() {
  constexpr seconds kTime{4};
  busy_cell cell({.share = 1});
  cell.RunLoad(seconds(3));
  const nanoseconds before = cell.OwnersProcessor().Used();
  cell.RunLoad(kTime);
  return static_cast<double>((cell.OwnersProcessor().Used() - before).count()) /
         static_cast<double>(nanoseconds(kTime).count());
}

/// The processor of VMs whose owner has @p overload times the work that its
/// share allows.
processor_options Overloaded(double overload) {
  return {.share = OwnersLoad() / overload};
}

// Guards against an owner without processor time that learns seconds late of
// cancels, configurations and draining workers.
TEST(CancelTest, StopsTheRunsOfACancelledJobWhileTheOwnerIsOverloaded) {
  busy_cell cell(Overloaded(1.2));
  virtual_fleet& fleet = cell.Fleet();
  cell.RunLoad(seconds(3));
  ASSERT_GT(cell.LongRunningTasks(), 0U);
  cell.CancelLongRunningJobs();
  fleet.PublishConfiguration(2);
  fleet.DrainWorker("w0", seconds(10));
  cell.RunLoad(std::max(kMaxConfigurationTime, kMaxDrainTime));
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    EXPECT_EQ(fleet.Control(vm).ConfigurationVersion(), 2U) << "VM " << vm;
  }
  EXPECT_TRUE(cell.OwnerKnowsDraining("w0"));
  cell.RunLoad(seconds(4));
  EXPECT_EQ(cell.LongRunningTasks(), 0U);
  EXPECT_EQ(fleet.Owner(), cell.Owner());
  EXPECT_EQ(absl::StrJoin(fleet.Checker().Violations(), "\n"), "");
}

// Guards against an overloaded owner that discards replies which arrived in
// time: it sends the calls again, which adds to its work.
TEST(CancelTest, AnOverloadedOwnerLosesNoReplies) {
  busy_cell cell(Overloaded(2.5));
  cell.RunLoad(seconds(10));
  EXPECT_EQ(cell.OwnersProcessor().LostReplies(), 0U);
}

}  // namespace
}  // namespace skylarkbridge::control
