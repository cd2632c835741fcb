#include "skylarkbridge/jobs/delegation_targets.hpp"

namespace skylarkbridge::jobs {
namespace {

/// The record of a delegation is written, read by the other owner, and counted
/// in a statement that is read here, within about 1.5 s.
constexpr std::chrono::milliseconds kCountedFor{2000};

}  // namespace

std::optional<resources> delegation_targets::Room(const stated_room& stated,
                                                  const std::string& service,
                                                  time_point now) const {
  const auto largest = stated.largest.find(service);
  if (largest == stated.largest.end() || now >= stated.valid_until) {
    return std::nullopt;
  }
  resources room = largest->second;
  for (const counted_task& task : counted_) {
    if (task.cell == stated.cell && task.service == service &&
        now < task.counted_until) {
      room -= task.need;
    }
  }
  return room;
}

std::optional<cell_id> delegation_targets::Choose(const std::string& service,
                                                  const resources& need,
                                                  time_point now) const {
  std::optional<cell_id> chosen;
  resources most;
  for (const stated_room& stated : rooms_) {
    const std::optional<resources> room = Room(stated, service, now);
    if (room && Fits(need, *room) &&
        (!chosen || room->millicores > most.millicores)) {
      chosen = stated.cell;
      most = *room;
    }
  }
  return chosen;
}

void delegation_targets::Count(cell_id cell,
                               const std::string& service,
                               const resources& need,
                               time_point now) {
  std::erase_if(counted_, [now](const counted_task& task) {
    return now >= task.counted_until;
  });
  counted_.push_back({.cell = cell,
                      .service = service,
                      .need = need,
                      .counted_until = now + kCountedFor});
}

void delegation_targets::Clear() {
  rooms_.clear();
  counted_.clear();
}

}  // namespace skylarkbridge::jobs
