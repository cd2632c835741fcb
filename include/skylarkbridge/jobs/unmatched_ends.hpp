#ifndef SKYLARKBRIDGE_JOBS_UNMATCHED_ENDS_HPP
#define SKYLARKBRIDGE_JOBS_UNMATCHED_ENDS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief The end of a run whose task the owner does not know yet.
struct unmatched_end {
  std::string worker;
  ended_task end;
  time_point reported_at;
  /// The worker still lists the end, and forgets it once it is acknowledged.
  bool listed = true;
};

/// @brief The ends that workers have reported of tasks that the owner does not
/// know yet: the acceptance of their jobs stands in the log of another cell
/// which this VM has not read far enough, or their occurrence is not due by its
/// clock.
///
/// They are kept until their tasks are known, or until the logs show that their
/// jobs are gone. Until then they are not acknowledged.
class unmatched_ends {
 public:
  void Add(unmatched_end end) { ends_.push_back(std::move(end)); }
  /// @brief Removes and returns the ends for which @p is_settled holds.
  template <class Predicate>
  std::vector<unmatched_end> TakeIf(Predicate is_settled) {
    std::vector<unmatched_end> settled;
    std::vector<unmatched_end> others;
    for (unmatched_end& end : ends_) {
      (is_settled(end) ? settled : others).push_back(std::move(end));
    }
    ends_ = std::move(others);
    return settled;
  }
  /// @brief Lowest number of an end that the worker lists; nullopt for none.
  std::optional<std::uint64_t> FirstListed(const std::string& worker) const;
  /// @brief The process of the worker has ended. Its next life numbers its ends
  /// from 1 again.
  void WorkerRestarted(const std::string& worker);
  bool Empty() const { return ends_.empty(); }
  void Clear() { ends_.clear(); }

 private:
  /// In the order in which they were reported.
  std::vector<unmatched_end> ends_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_UNMATCHED_ENDS_HPP
