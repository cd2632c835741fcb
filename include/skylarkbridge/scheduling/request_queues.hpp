#ifndef SKYLARKBRIDGE_SCHEDULING_REQUEST_QUEUES_HPP
#define SKYLARKBRIDGE_SCHEDULING_REQUEST_QUEUES_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "absl/container/btree_set.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/deadline_index.hpp"
#include "skylarkbridge/scheduling/share_ledger.hpp"

namespace skylarkbridge::scheduling {

/// @brief Position of a request in the request table.
using request_index = std::uint32_t;

/// @brief A queued request.
struct waiting_request {
  service_index service = 0;
  request_index request = 0;
  /// Latest time at which the request may start.
  time_point start_by;

  bool operator==(const waiting_request&) const = default;
};

/// @brief One queue per service, and the order in which the services receive
/// free slots. Each queue is ordered by start_by, earliest first.
///
/// Every operation takes logarithmic time in the queue length and in the number
/// of services with queued requests, except where stated otherwise.
class request_queues {
 public:
  void Add(const waiting_request& waiting);
  void Remove(const waiting_request& waiting);

  /// @brief Sets the priority of a service and whether its requests may spill
  /// to another data centre. Services are ordered by share class, then by
  /// higher urgency, then by the start_by of their first request.
  void SetPriority(service_index service,
                   share_class rank,
                   std::int64_t urgency,
                   bool spill);

  /// @brief First request of the first service that may start. With
  /// @p spill_only, services that may not spill are left out.
  std::optional<waiting_request> Next(bool spill_only) const;
  /// @brief First requests of up to @p limit services that may spill, in the
  /// order of the services. Takes linear time in @p limit.
  std::vector<waiting_request> SpillHeads(std::size_t limit) const;
  /// @brief A request whose latest start has been reached, if any. It stays
  /// queued.
  std::optional<waiting_request> Overdue(time_point now) const;

  /// @brief Number of queued requests of the service.
  std::size_t Length(service_index service) const;
  /// @brief Estimated number of requests of the service that would start before
  /// one with @p start_by, interpolated between the first and the last of the
  /// queue. An exact number would need a tree with subtree sizes. Latest starts
  /// are distributed almost evenly when requests arrive at a steady rate.
  std::size_t EstimateAhead(service_index service, time_point start_by) const;

  /// @brief Earliest start_by of all queued requests, if any.
  std::optional<time_point> NextDeadline() const {
    return first_deadlines_.First();
  }

 private:
  /// Queued requests of one service, ordered by latest start.
  struct queue {
    absl::btree_set<std::pair<time_point, request_index>> waiting;
    share_class rank = share_class::kBorrowing;
    std::int64_t urgency = 0;
    bool spill = false;
  };
  /// Share class, negated urgency, latest start of the first request, and
  /// index.
  using service_order =
      std::tuple<share_class, std::int64_t, time_point, service_index>;

  queue& At(service_index service);
  void AddToOrder(service_index service, const queue& service_queue);
  void RemoveFromOrder(service_index service, const queue& service_queue);
  waiting_request Head(service_index service) const;

  std::vector<queue> queues_;
  /// Services with queued requests that are not at their cap.
  absl::btree_set<service_order> ready_;
  /// Services in ready_ whose requests may spill.
  absl::btree_set<service_order> ready_to_spill_;
  /// Services by the latest start of their first request.
  deadline_index<service_index> first_deadlines_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_REQUEST_QUEUES_HPP
