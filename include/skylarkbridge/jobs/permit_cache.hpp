#ifndef SKYLARKBRIDGE_JOBS_PERMIT_CACHE_HPP
#define SKYLARKBRIDGE_JOBS_PERMIT_CACHE_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/fleet_configuration.hpp"
#include "skylarkbridge/jobs/job_table.hpp"
#include "skylarkbridge/jobs/orders.hpp"

namespace skylarkbridge::jobs {

struct permit_options {
  /// Maximum number of workers in a request; the policy takes time for each.
  std::size_t workers_per_request = 30;
  /// Maximum number of concurrent requests. Kept small, because the policy
  /// handles the calls of a VM one at a time.
  std::size_t max_requests = 2;
  /// Delay before a request is repeated after it failed.
  std::chrono::milliseconds retry_delay{250};
  /// A permit is not used if it expires within this time, because the order to
  /// start takes time to reach the worker.
  std::chrono::milliseconds expiry_margin{300};
};

/// @brief Caches the permits of the placement policy for each step, and decides
/// which workers to request permits for.
class permit_cache {
 public:
  explicit permit_cache(permit_options options) : options_(options) {}

  /// @brief Returns the ticket of the permit for a start on the worker; null
  /// without a valid permit. A ticket is the token that a start order carries
  /// as proof of its permit.
  const std::string* FindTicket(const step_ref& step,
                                const std::string& worker,
                                time_point now) const;
  /// @brief Returns the request to send now, if one is due.
  /// @param workers candidates for the step, the best first.
  std::optional<permit_request> NextRequest(
      const step_ref& step,
      const std::vector<std::string>& workers,
      const placement_policy_timing& policy,
      time_point now);
  /// @brief Stores the permits of a reply.
  void Handle(const permit_reply& reply, time_point now);

  /// @brief The worker's process has restarted. Its permits are dropped, as
  /// they were issued for the earlier process.
  void WorkerRestarted(const std::string& worker);
  /// @brief The worker refused the permit of a start. The permit is dropped.
  void Refused(const step_ref& step, const std::string& worker);
  /// @brief Drops the permits of steps whose jobs are no longer open.
  void DropClosedSteps(const job_table& jobs);
  void Clear() { steps_.clear(); }

 private:
  struct granted_permit {
    std::string ticket;
    time_point valid_until;
  };
  struct step_permits {
    std::map<std::string, granted_permit> granted;
    /// Workers that the policy does not allow; its decisions are final.
    std::set<std::string> denied;
    /// Workers of the request in flight; empty for none.
    std::vector<std::string> requested;
    time_point sent_at;
    time_point next_request_at;
  };

  std::size_t RequestsInFlight() const;

  const permit_options options_;
  std::map<step_ref, step_permits> steps_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PERMIT_CACHE_HPP
