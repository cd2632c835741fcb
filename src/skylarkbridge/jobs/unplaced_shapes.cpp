#include "skylarkbridge/jobs/unplaced_shapes.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

step_kind KindOf(const step_spec& step,
                 std::string_view service,
                 bool starving) {
  return {.service = service,
          .image = step.image,
          .required_label = step.required_label,
          .long_running = step.long_running,
          .best_effort = step.best_effort,
          .needs_idle_share = step.best_effort && !starving};
}

void unplaced_shapes::Add(const step_kind& kind, const resources& need) {
  std::vector<resources>& needs = needs_[kind];
  std::erase_if(needs,
                [&need](const resources& other) { return Fits(need, other); });
  needs.push_back(need);
}

bool unplaced_shapes::HasNoRoom(const step_kind& kind,
                                const resources& need) const {
  const auto needs = needs_.find(kind);
  return needs != needs_.end() &&
         std::any_of(
             needs->second.begin(), needs->second.end(),
             [&need](const resources& other) { return Fits(other, need); });
}

}  // namespace skylarkbridge::jobs
