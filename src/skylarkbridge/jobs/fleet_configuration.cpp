#include "skylarkbridge/jobs/fleet_configuration.hpp"

namespace skylarkbridge::jobs {

queue_configuration SettingsOfTasks(const queue_configuration& queue) {
  return {.service = queue.service,
          .priority = queue.priority,
          .max_attempts = queue.max_attempts,
          .slack_factor = queue.slack_factor,
          .slack_time = queue.slack_time,
          .policy = queue.policy};
}

const queue_configuration* fleet_configuration::Match(
    std::string_view host,
    std::string_view path) const {
  const queue_configuration* best = nullptr;
  for (const queue_configuration& queue : queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const queue_configuration* fleet_configuration::Find(
    std::string_view name) const {
  for (const queue_configuration& queue : queues) {
    if (queue.name == name) {
      return &queue;
    }
  }
  return nullptr;
}

}  // namespace skylarkbridge::jobs
