#ifndef SKYLARKBRIDGE_SCHEDULING_ADMISSION_CONTROLLER_HPP
#define SKYLARKBRIDGE_SCHEDULING_ADMISSION_CONTROLLER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/latency_estimate.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/scheduling/request_queues.hpp"
#include "skylarkbridge/scheduling/share_ledger.hpp"

namespace skylarkbridge::scheduling {

/// @brief Limits on the time that requests may spend in the queue.
struct admission_options {
  /// Longest wait for the first attempt. A request that would wait longer is
  /// refused. The target for urgent requests is 3.2 s, and what remains of it
  /// is left for one service time.
  std::chrono::milliseconds max_queue_wait = std::chrono::milliseconds(3000);
  /// A queue that has held requests without a break for this long is a
  /// standing queue. It adds delay without throughput, so the wait in it is
  /// limited.
  std::chrono::milliseconds burst_allowance = std::chrono::milliseconds(500);
  /// Longest wait in a standing queue, in thousandths of the high quantile of
  /// the service time (latency_estimate::HighQuantile).
  std::int64_t standing_wait_permille = 100;
  /// Whether a request is refused when the estimated service time and the queue
  /// ahead of it show that it would be late. Disabled only in benchmarks that
  /// measure the effect of early refusal.
  bool early_refusal = true;
  latency_estimate_options latency = {};
};

/// @brief Decides which requests may be queued and which queued request gets
/// the next free slot.
class admission_controller {
 public:
  explicit admission_controller(admission_options options = {})
      : options_(options) {}

  /// @brief Replaces the declared services and teams. Queued requests of a
  /// service that is no longer declared stay queued, without a guaranteed
  /// share.
  void Configure(const declaration::configuration& config);
  /// @brief Number of services that were ever declared. Service indices are
  /// below this number.
  std::size_t ServiceCount() const { return services_.size(); }
  /// @brief Sets the number of usable slots. A changed number updates the
  /// priority of every service.
  void SetCapacity(std::int64_t slots);

  /// @brief Index of a service that is declared now.
  std::optional<service_index> Find(const std::string& name) const;
  /// @brief Latest declaration of the service.
  const declaration::service& Declared(service_index service) const {
    return services_[service].declared;
  }
  latency_estimate& Latency(service_index service) {
    return services_[service].latency;
  }

  /// @brief Whether a request of the service may start at once: the service is
  /// below its cap, and no queued request could take the slot first.
  bool MayStartNow(service_index service) const;
  /// @brief Whether the caps of the service and its team allow one more
  /// attempt.
  bool BelowCap(service_index service) const {
    return ledger_.ClassOf(service) != share_class::kAtCap;
  }
  /// @brief Charges a slot to the service and its team.
  void AcquireSlot(service_index service);
  /// @brief Returns a slot of the service and its team.
  void ReleaseSlot(service_index service);

  /// @brief Latest time at which a request may start. A retry is not bound by
  /// max_queue_wait.
  time_point LatestStart(service_index service,
                         time_point deadline,
                         bool retry,
                         time_point now) const;
  /// @brief Whether an attempt that starts at @p now is expected to end after
  /// @p deadline.
  bool CannotMeetDeadline(service_index service,
                          time_point deadline,
                          time_point now) const;
  /// @brief Reason for which a request must not be queued, or kNone.
  refusal_reason CheckQueue(service_index service,
                            time_point start_by,
                            time_point now) const;
  /// @brief Expected wait of a request with @p ahead requests of its service
  /// before it.
  std::chrono::nanoseconds ExpectedWait(service_index service,
                                        std::size_t ahead) const;
  /// @brief Expected time until every queued request of the service has
  /// started.
  std::chrono::nanoseconds ExpectedQueueWait(service_index service) const {
    return ExpectedWait(service, queues_.Length(service));
  }

  void Enqueue(const waiting_request& waiting, time_point now);
  void Remove(const waiting_request& waiting) { queues_.Remove(waiting); }
  const request_queues& Queues() const { return queues_; }

 private:
  struct service_entry {
    declaration::service declared;
    latency_estimate latency;
    /// Time at which the queue becomes a standing queue unless it empties
    /// before. Valid only while the queue is not empty.
    time_point burst_until;
    /// Whether the current configuration declares the service.
    bool is_declared = false;
  };

  void UpdatePriority(service_index service);
  void UpdateTeamPriorities(std::uint32_t team);

  admission_options options_;
  std::vector<service_entry> services_;
  std::vector<std::vector<service_index>> services_of_team_;
  absl::flat_hash_map<std::string, service_index> indices_;
  share_ledger ledger_;
  request_queues queues_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_ADMISSION_CONTROLLER_HPP
