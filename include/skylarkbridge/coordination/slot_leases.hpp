#ifndef SKYLARKBRIDGE_COORDINATION_SLOT_LEASES_HPP
#define SKYLARKBRIDGE_COORDINATION_SLOT_LEASES_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/ballot.hpp"
#include "skylarkbridge/coordination/lease.hpp"

namespace skylarkbridge::coordination {

/// @brief Slots and connections of one worker.
struct slot_room {
  std::int64_t slots = 0;
  std::int64_t connections = 0;

  bool operator==(const slot_room&) const = default;
};

/// @brief Ordered, so that lending is the same in every run.
using worker_slots = std::map<worker_id, slot_room>;

struct slot_lease_options {
  /// A lent slot may be used this long after the holder's request.
  std::chrono::milliseconds duration = std::chrono::seconds(5);
  /// Rate margin and longest time of a message on its way.
  lease_options clock;
  /// Checks the deadline before each use; tests switch it off.
  bool check_deadline = true;
};

/// @brief A process that borrows slots.
struct slot_holder_id {
  entry_vm_id vm;
  incarnation_id incarnation;

  auto operator<=>(const slot_holder_id&) const = default;
};

/// @brief Asks a shard owner to lend slots and to renew the lease of those
/// held.
struct slot_request {
  slot_holder_id holder;
  /// Rises with each request of the holder, to whichever lender.
  std::uint64_t sequence = 0;
  /// Issue time by the holder's clock.
  time_point sent;
  /// Lender of the last grant that the holder applied.
  ballot lender;
  /// All that the holder has; the rest of the last grant is returned. Grants
  /// that answer earlier requests are ignored from now on.
  worker_slots held;
  /// Slots that the holder wants in total.
  std::int64_t wanted = 0;

  bool operator==(const slot_request&) const = default;
};

/// @brief Replaces what the holder has of this shard.
struct slot_grant {
  slot_holder_id holder;
  ballot lender;
  /// Taken from the request.
  std::uint64_t sequence = 0;
  /// Taken from the request; the holder's deadline counts from it.
  time_point sent;
  std::chrono::nanoseconds duration{0};
  worker_slots lent;
  /// The holder should return idle slots above this number.
  std::int64_t keep = 0;

  bool operator==(const slot_grant&) const = default;
};

/// @brief Lends the slots of a shard's workers. Used only while the shard owner
/// holds the shard.
///
/// After a takeover nothing is lent until the leases of the earlier owner have
/// expired, apart from what holders report, which they go on using.
class slot_lender {
 public:
  slot_lender(slot_lease_options options,
              const ballot& takeover,
              time_point exclusive_since);

  /// @brief Sets what a worker has; zero for one that is leaving.
  void SetWorker(worker_id worker, const slot_room& room, time_point now);
  /// @brief Lends, renews and takes back slots in one step. None when a later
  /// request of the holder came first.
  std::optional<slot_grant> Request(const slot_request& request,
                                    time_point now);
  /// @brief Frees what holders did not renew in time.
  void Tick(time_point now);

  /// @brief Slots of @p worker that are lent or may still be used under an
  /// earlier owner.
  slot_room InUse(worker_id worker, time_point now) const;
  std::optional<time_point> NextDeadline() const;

 private:
  struct borrower {
    std::uint64_t sequence = 0;
    worker_slots lent;
    std::int64_t wanted = 0;
    time_point expired_at;
  };

  std::int64_t FairShare(const slot_holder_id& holder,
                         std::int64_t wanted) const;
  slot_room Lent(worker_id worker) const;
  void Lend(borrower& to, std::int64_t count, time_point now);
  void AdoptReported(borrower& to, const slot_request& request, time_point now);

  slot_lease_options options_;
  ballot takeover_;
  time_point foreign_leases_end_;
  worker_slots workers_;
  std::map<slot_holder_id, borrower> borrowers_;
};

/// @brief The holder's side: what this VM may use on the workers of one shard.
class slot_holder {
 public:
  slot_holder(slot_lease_options options, slot_holder_id self);

  /// @brief A request for @p wanted slots, keeping those in use and up to the
  /// number that the lender lets it keep.
  slot_request MakeRequest(std::int64_t wanted, time_point now);
  /// @brief Applies the answer to the latest request, once. Other grants are
  /// ignored: the lender relies on what the latest request says.
  void Apply(const slot_grant& grant, time_point now);

  /// @brief Takes one slot and connection for an attempt that has ended by
  /// @p ends_by. False when none is free or the lease ends before.
  bool Use(worker_id worker, time_point ends_by, time_point now);
  void Release(worker_id worker);

  /// @brief Free slots of @p worker; zero when the lease has expired.
  std::int64_t Free(worker_id worker, time_point now) const;
  /// @brief Slots of @p worker that this VM has, in use or not.
  std::int64_t Held(worker_id worker) const;
  time_point Deadline() const { return deadline_; }

 private:
  slot_lease_options options_;
  slot_holder_id self_;
  ballot lender_;
  std::uint64_t sequence_ = 0;
  bool answered_ = true;
  time_point deadline_;
  std::int64_t keep_ = 0;
  worker_slots held_;
  std::map<worker_id, std::int64_t> used_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_SLOT_LEASES_HPP
