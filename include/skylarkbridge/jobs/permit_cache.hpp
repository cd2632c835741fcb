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
  /// Workers that one request names; the policy takes time for each.
  std::size_t workers_per_request = 30;
  /// Requests under way at a time; the policy handles one call of a VM after
  /// the other.
  std::size_t max_requests = 2;
  /// Pause before a request is repeated that had no answer or was refused.
  std::chrono::milliseconds retry{250};
  /// A permit that ends sooner is not used: the start is on its way meanwhile.
  std::chrono::milliseconds margin{300};
};

/// @brief The permits of the placement policy for the steps of queues that have
/// one, and which workers are still to be asked about.
class permit_cache {
 public:
  explicit permit_cache(permit_options options) : options_(options) {}

  /// @brief The ticket for a start; null without a valid permit.
  const std::string* Find(const step_ref& step,
                          const std::string& worker,
                          time_point now) const;
  /// @brief The request to send now, if one is due.
  /// @param workers those that the step could use, the best first.
  std::optional<permit_request> NextRequest(
      const step_ref& step,
      const std::vector<std::string>& workers,
      const placement_policy& policy,
      time_point now);
  void Handle(const permit_reply& reply, time_point now);

  /// @brief The worker started anew; permits name its life before.
  void WorkerRestarted(const std::string& worker);
  /// @brief The worker refused a start for want of a permit.
  void Refused(const step_ref& step, const std::string& worker);
  /// @brief Forgets the steps that are not open any more.
  void DropClosedSteps(const job_table& jobs);
  void Clear() { steps_.clear(); }

 private:
  struct granted_permit {
    std::string ticket;
    time_point until;
  };
  struct step_permits {
    std::map<std::string, granted_permit> granted;
    /// Workers that the policy does not allow; this never changes.
    std::set<std::string> barred;
    /// Workers of the request that is under way; empty for none.
    std::vector<std::string> asked;
    time_point sent;
    time_point next_request;
  };

  std::size_t UnderWay() const;

  const permit_options options_;
  std::map<step_ref, step_permits> steps_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PERMIT_CACHE_HPP
