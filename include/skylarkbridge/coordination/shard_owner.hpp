#ifndef SKYLARKBRIDGE_COORDINATION_SHARD_OWNER_HPP
#define SKYLARKBRIDGE_COORDINATION_SHARD_OWNER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/ballot.hpp"
#include "skylarkbridge/coordination/lease.hpp"
#include "skylarkbridge/coordination/owner_events.hpp"

namespace skylarkbridge::coordination {

enum class ownership { kNotOwner, kTakingOver, kOwner, kLost };

/// @brief Protections that tests switch off to show that the explorer notices.
struct owner_test_options {
  /// Waits for the leases of workers that were not fenced.
  bool wait_for_leases = true;
};

struct shard_owner_options {
  shard_id shard;
  entry_vm_id vm;
  incarnation_id incarnation;
  lease_options lease;
  /// Renewals go out after 90 to 100% of this.
  std::chrono::milliseconds renewal_interval{400};
  /// Interval at which an unanswered fence is sent again.
  std::chrono::milliseconds fence_interval{100};
  /// Pause between losing a shard and the next attempt to take it over.
  std::chrono::milliseconds retry_interval{300};
  owner_test_options test;
};

/// @brief Takes over one shard, holds the leases of its workers, and gives the
/// shard up when another VM has taken it over.
///
/// An owner renews leases only while a majority of the shard's workers has
/// acknowledged a command of the last lease duration. A successor that has
/// fenced a majority thereby bounds the time until which an earlier owner can
/// renew the lease of a worker that the successor cannot reach.
class shard_owner {
 public:
  explicit shard_owner(shard_owner_options options);

  /// @brief Sets the workers of the shard. While the shard is held, one change
  /// is applied at a time so that majorities of two VMs overlap.
  owner_commands SetWorkers(std::span<const worker_id> workers, time_point now);
  /// @brief Whether this VM is the expected owner. One that is no longer
  /// expected but has fenced a majority goes on until a successor has fenced a
  /// worker.
  owner_commands SetExpected(bool expected, time_point now);
  owner_commands Fenced(const fence_reply& reply, time_point now);
  owner_commands Renewed(const renew_reply& reply, time_point now);
  /// @brief A worker refused a command because it obeys @p higher.
  owner_commands Refused(const ballot& higher, time_point now);
  /// @brief Gives the shard up for good during a graceful stop.
  owner_commands Leave(time_point now);
  owner_commands Tick(time_point now);

  /// @brief Time at which Tick is due, if any.
  std::optional<time_point> NextDeadline() const;

  /// @brief True while a majority of the workers has answered within the lease
  /// duration. A successor that has fenced all workers may hold the shard
  /// already; the workers then refuse the commands of this VM, and whatever it
  /// grants without them must be waited for by the successor.
  bool Holds(time_point now) const;
  ownership State() const { return state_; }
  /// @brief Ballot with which the shard was taken over.
  const ballot& Takeover() const { return takeover_; }
  /// @brief Ballot for commands to @p worker, and the latest value of its
  /// clock; none when nothing may be started there at @p now.
  struct permission {
    ballot lease;
    std::chrono::nanoseconds up_for{0};
    time_point deadline;
  };
  std::optional<permission> MayCommand(worker_id worker, time_point now) const;

 private:
  enum class worker_phase { kFencing, kHeld, kUnreachable, kExpired };
  struct worker_entry {
    worker_phase phase = worker_phase::kFencing;
    ballot lease;
    time_point next_send;
    /// Issue time of the latest acknowledged command; counts for the majority.
    std::optional<time_point> acknowledged;
    time_point deadline;
    /// All leases that this VM granted have expired by then.
    time_point expired_at;
    /// Worker's clock as of the reply that arrived at `clock_read_at`.
    std::chrono::nanoseconds up_for{0};
    time_point clock_read_at;
    std::uint64_t worker_set = 0;
    /// A renewal was sent under the current ballot.
    bool granted = false;
    /// Nothing is started on it until a majority knows a worker set that
    /// contains it, so that a successor whose list lacks it sees a difference.
    bool pending = true;
    worker_inventory inventory;
    std::uint64_t renewals = 0;
  };

  bool Active() const;
  std::size_t Majority() const { return (workers_.size() / 2) + 1; }
  std::optional<time_point> AuthorityDeadline() const;
  void StartTakeover(time_point now);
  void StepDown(step_down_reason reason, time_point now, owner_commands& out);
  bool CheckAuthority(time_point now, owner_commands& out);
  void SendDue(time_point now, owner_commands& out);
  void ExpireWorkers(time_point now, owner_commands& out);
  void FinishTakeover(time_point now, owner_commands& out);
  bool WorkerSetKnown() const;
  void ConfirmWorkerSet();
  void ApplyWorkerChange(time_point now);
  void UpdateWorkerSet();
  std::chrono::nanoseconds ClockOf(const worker_entry& entry,
                                   time_point now) const;
  void ReadClock(worker_entry& entry,
                 std::chrono::nanoseconds up_for,
                 time_point now) const;
  time_point RenewalDue(worker_id worker, worker_entry& entry, time_point now);
  owner_commands Advance(time_point now, owner_commands out);

  shard_owner_options options_;
  ballot_source ballots_;
  ownership state_ = ownership::kNotOwner;
  bool expected_ = false;
  bool leaving_ = false;
  ballot takeover_;
  time_point retry_at_;
  /// Time at which a majority had been fenced in this takeover.
  std::optional<time_point> majority_fenced_at_;
  // Ordered, so that commands come out in the same order in every run.
  std::map<worker_id, worker_entry> workers_;
  std::set<worker_id> wanted_;
  std::uint64_t worker_set_ = 0;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_SHARD_OWNER_HPP
