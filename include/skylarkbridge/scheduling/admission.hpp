#ifndef SKYLARKBRIDGE_SCHEDULING_ADMISSION_HPP
#define SKYLARKBRIDGE_SCHEDULING_ADMISSION_HPP

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

struct admission_options {
  /// Longest wait for the first start. A request that would wait longer is
  /// refused; the aim for urgent work is 3.2 s, less one service time.
  std::chrono::milliseconds max_queue_wait = std::chrono::milliseconds(3000);
  /// A queue that has not been empty for this long is a standing queue: it
  /// adds delay and no throughput, so its length is then held down.
  std::chrono::milliseconds burst_allowance = std::chrono::milliseconds(500);
  /// Longest wait in a standing queue, in thousandths of the high quantile of
  /// the service time.
  std::int64_t standing_wait_permille = 100;
  /// Whether requests are refused on the learnt service time and the queue
  /// ahead. Off only to measure what this brings.
  bool early_refusal = true;
  latency_estimate_options latency = {};
};

/// @brief Decides which requests may wait and which waiting request gets the
/// next free slot.
class admission {
 public:
  explicit admission(admission_options options = {}) : options_(options) {}

  /// @brief Replaces the declared services and teams. Requests of a service
  /// that is no longer declared keep waiting, without a guaranteed share.
  void Configure(const declaration::configuration& config);
  /// @brief Number of services known so far, declared or not; indices are
  /// below it.
  std::size_t Services() const { return services_.size(); }
  /// @brief Sets the usable slots; ranks all services anew when they changed.
  void SetCapacity(std::int64_t slots);

  std::optional<service_index> Find(const std::string& name) const;
  const declaration::service& Declared(service_index service) const {
    return services_[service].declared;
  }
  latency_estimate& Latency(service_index service) {
    return services_[service].latency;
  }

  /// @brief Whether a request could start ahead of the queue without taking the
  /// turn of another.
  bool MayStartNow(service_index service) const;
  /// @brief Whether caps leave room for one more attempt of the service.
  bool BelowCap(service_index service) const {
    return ledger_.ClassOf(service) != share_class::kAtCap;
  }
  void Take(service_index service);
  void Return(service_index service);

  /// @brief Latest start of a request; a request that arrived earlier and is
  /// retried is not bound by the longest wait.
  time_point StartBy(service_index service,
                     time_point deadline,
                     bool retry,
                     time_point now) const;
  /// @brief Whether the learnt service time leaves no room before
  /// @p deadline, even with a free slot.
  bool TooLate(service_index service,
               time_point deadline,
               time_point now) const;
  /// @brief Reason not to queue a request, or kNone.
  refusal_reason CheckQueue(service_index service,
                            time_point start_by,
                            time_point now) const;
  /// @brief Expected wait behind @p ahead requests of the service.
  std::chrono::nanoseconds Wait(service_index service, std::size_t ahead) const;
  /// @brief Expected wait until the whole queue of the service has started.
  std::chrono::nanoseconds Backlog(service_index service) const {
    return Wait(service, queues_.Length(service));
  }

  void Enqueue(const waiting_request& waiting, time_point now);
  void Remove(const waiting_request& waiting) { queues_.Remove(waiting); }
  const request_queues& Queues() const { return queues_; }

 private:
  struct entry {
    declaration::service declared;
    latency_estimate latency;
    /// Until then the queue counts as a burst; meaningful while it is not
    /// empty.
    time_point burst_until;
    bool current = false;
  };

  void Rank(service_index service);
  void RankTeam(std::uint32_t team);

  admission_options options_;
  std::vector<entry> services_;
  std::vector<std::vector<service_index>> services_of_team_;
  absl::flat_hash_map<std::string, service_index> indices_;
  share_ledger ledger_;
  request_queues queues_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_ADMISSION_HPP
