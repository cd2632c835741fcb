#include "skylarkbridge/control/control_options.hpp"

#include <algorithm>

namespace skylarkbridge::control {

std::chrono::milliseconds FollowerPause(const control_options& options,
                                        jobs::cell_id cells) {
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double, std::milli>(
          options.follower_pause_per_cell) *
      cells / options.ownership.processor_share);
  return std::clamp(pause, options.min_follower_pause,
                    options.max_follower_pause);
}

std::chrono::microseconds WriteInterval(const control_options& options,
                                        jobs::cell_id cells) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::duration<double>(cells / (options.owner_write_share *
                                             options.store_writes_per_second)));
}

}  // namespace skylarkbridge::control
