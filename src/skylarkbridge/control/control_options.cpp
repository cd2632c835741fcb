#include "skylarkbridge/control/control_options.hpp"

#include <algorithm>

namespace skylarkbridge::control {

std::chrono::milliseconds FollowerPause(const control_options& options,
                                        jobs::cell_id cells) {
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double, std::milli>(options.follower_pause) *
      cells / options.ownership.processor_share);
  return std::clamp(pause, options.least_follower_pause,
                    options.most_follower_pause);
}

std::chrono::microseconds WriteInterval(const control_options& options,
                                        jobs::cell_id cells) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::duration<double>(cells / (options.owners_share_of_writes *
                                             options.store_writes_per_second)));
}

}  // namespace skylarkbridge::control
