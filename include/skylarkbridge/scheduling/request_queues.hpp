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

/// @brief A request that waits for a slot.
struct waiting_request {
  service_index service = 0;
  request_index request = 0;
  /// Latest time at which the request may start.
  time_point start_by;

  bool operator==(const waiting_request&) const = default;
};

/// @brief One queue per service, earliest latest start first, and the order of
/// the services that wait for a slot.
///
/// Every operation takes logarithmic time in the queue length and in the number
/// of waiting services.
class request_queues {
 public:
  void Add(const waiting_request& waiting);
  void Remove(const waiting_request& waiting);

  /// @brief Sets what decides the place of a service among the others.
  void Rank(service_index service,
            share_class rank,
            std::int64_t urgency,
            bool spill);

  /// @brief First request of the first service that may start. With
  /// @p spill_only, only services that may use another data centre count.
  std::optional<waiting_request> Next(bool spill_only) const;
  /// @brief First requests of up to @p limit services that may spill.
  std::vector<waiting_request> SpillHeads(std::size_t limit) const;
  /// @brief A request whose latest start has come; it stays queued.
  std::optional<waiting_request> Overdue(time_point now) const;

  std::size_t Length(service_index service) const;
  /// @brief Requests of the service that would start before one with
  /// @p start_by, interpolated between the first and the last of the queue.
  /// Exact ranks would need a tree with subtree sizes; latest starts are close
  /// to evenly spread when requests arrive steadily.
  std::size_t Ahead(service_index service, time_point start_by) const;

  std::optional<time_point> NextDeadline() const { return heads_.First(); }

 private:
  struct queue {
    absl::btree_set<std::pair<time_point, request_index>> waiting;
    share_class rank = share_class::kBorrowing;
    std::int64_t urgency = 0;
    bool spill = false;
  };
  using place =
      std::tuple<share_class, std::int64_t, time_point, service_index>;

  queue& At(service_index service);
  void Link(service_index service, const queue& of);
  void Unlink(service_index service, const queue& of);
  waiting_request Head(service_index service) const;

  std::vector<queue> queues_;
  absl::btree_set<place> ready_;
  absl::btree_set<place> ready_to_spill_;
  deadline_index<service_index> heads_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_REQUEST_QUEUES_HPP
