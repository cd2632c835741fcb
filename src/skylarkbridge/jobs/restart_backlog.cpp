#include "skylarkbridge/jobs/restart_backlog.hpp"

#include <algorithm>
#include <tuple>

namespace skylarkbridge::jobs {
namespace {

bool HasWaitedLonger(const queued_restart& left, const queued_restart& right) {
  return std::tie(right.waited, left.place.place) <
         std::tie(left.waited, right.place.place);
}

bool NeedsLess(const queued_restart& left, const queued_restart& right) {
  return std::tie(left.need_millicores, left.place.place) <
         std::tie(right.need_millicores, right.place.place);
}

}  // namespace

void restart_group::Add(const queued_restart& restart) {
  smallest_need_millicores =
      tasks == 0 ? restart.need_millicores
                 : std::min(smallest_need_millicores, restart.need_millicores);
  ++tasks;
  need_millicores += restart.need_millicores;
  longest_wait = std::max(longest_wait, restart.waited);
}

restart_backlog SummarizeRestarts(const std::vector<queued_restart>& queue) {
  restart_backlog backlog;
  for (const queued_restart& restart : queue) {
    backlog.all.Add(restart);
    backlog.by_obstacle[restart.obstacle].Add(restart);
  }
  return backlog;
}

std::set<std::size_t> ChooseRestartsToReport(
    const std::vector<queued_restart>& queue,
    std::chrono::milliseconds min_wait,
    std::size_t limit) {
  std::vector<queued_restart> delayed = queue;
  std::erase_if(delayed, [min_wait](const queued_restart& restart) {
    return restart.waited < min_wait;
  });
  std::sort(delayed.begin(), delayed.end(), HasWaitedLonger);
  const auto oldest_end =
      delayed.begin() +
      static_cast<std::ptrdiff_t>(std::min(limit, delayed.size()));
  std::sort(oldest_end, delayed.end(), NeedsLess);
  delayed.resize(std::min(2 * limit, delayed.size()));
  std::set<std::size_t> places;
  for (const queued_restart& restart : delayed) {
    places.insert(restart.place.place);
  }
  return places;
}

std::vector<queued_restart> NextRestartsToList(
    std::vector<queued_restart> queue,
    const task_ref& last,
    std::size_t limit) {
  std::sort(queue.begin(), queue.end(),
            [&last](const queued_restart& left, const queued_restart& right) {
              return std::make_tuple(left.run.task <= last, left.run.task) <
                     std::make_tuple(right.run.task <= last, right.run.task);
            });
  queue.resize(std::min(limit, queue.size()));
  return queue;
}

}  // namespace skylarkbridge::jobs
