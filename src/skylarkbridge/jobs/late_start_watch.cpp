#include "skylarkbridge/jobs/late_start_watch.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

void late_start_watch::Add(const std::string& worker, time_point arrives_by) {
  time_point& latest = arrives_by_[worker];
  latest = std::max(latest, arrives_by);
}

void late_start_watch::AddEarlierOwners(time_point arrives_by) {
  of_earlier_owners_arrive_by_ = arrives_by;
}

bool late_start_watch::IsWatched(const std::string& worker,
                                 time_point now) const {
  if (now < of_earlier_owners_arrive_by_) {
    return true;
  }
  const auto found = arrives_by_.find(worker);
  return found != arrives_by_.end() && now < found->second;
}

void late_start_watch::RemoveOver(time_point now) {
  std::erase_if(arrives_by_,
                [now](const auto& entry) { return now >= entry.second; });
}

void late_start_watch::Clear() {
  arrives_by_.clear();
  of_earlier_owners_arrive_by_ = {};
}

}  // namespace skylarkbridge::jobs
