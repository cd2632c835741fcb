#include "skylarkbridge/scheduling/request_queues.hpp"

namespace skylarkbridge::scheduling {

void request_queues::Add(const waiting_request& waiting) {
  queue& of = At(waiting.service);
  Unlink(waiting.service, of);
  of.waiting.insert({waiting.start_by, waiting.request});
  Link(waiting.service, of);
}

void request_queues::Remove(const waiting_request& waiting) {
  queue& of = At(waiting.service);
  Unlink(waiting.service, of);
  of.waiting.erase({waiting.start_by, waiting.request});
  Link(waiting.service, of);
}

void request_queues::Rank(service_index service,
                          share_class rank,
                          std::int64_t urgency,
                          bool spill) {
  queue& of = At(service);
  if (of.rank == rank && of.urgency == urgency && of.spill == spill) {
    return;
  }
  Unlink(service, of);
  of.rank = rank;
  of.urgency = urgency;
  of.spill = spill;
  Link(service, of);
}

std::optional<waiting_request> request_queues::Next(bool spill_only) const {
  const auto& order = spill_only ? ready_to_spill_ : ready_;
  if (order.empty()) {
    return std::nullopt;
  }
  return Head(std::get<service_index>(*order.begin()));
}

std::vector<waiting_request> request_queues::SpillHeads(
    std::size_t limit) const {
  std::vector<waiting_request> heads;
  for (auto at = ready_to_spill_.begin();
       at != ready_to_spill_.end() && heads.size() < limit; ++at) {
    heads.push_back(Head(std::get<service_index>(*at)));
  }
  return heads;
}

std::optional<waiting_request> request_queues::Overdue(time_point now) const {
  const std::optional<time_point> first = heads_.First();
  if (!first || *first > now) {
    return std::nullopt;
  }
  return Head(heads_.FirstKey());
}

std::size_t request_queues::Length(service_index service) const {
  return service < queues_.size() ? queues_[service].waiting.size() : 0;
}

std::size_t request_queues::Ahead(service_index service,
                                  time_point start_by) const {
  if (Length(service) == 0) {
    return 0;
  }
  const auto& waiting = queues_[service].waiting;
  const time_point first = waiting.begin()->first;
  const time_point last = waiting.rbegin()->first;
  if (start_by >= last) {
    return waiting.size();
  }
  if (start_by <= first) {
    return 0;
  }
  return static_cast<std::size_t>(
      static_cast<double>(waiting.size()) *
      static_cast<double>((start_by - first).count()) /
      static_cast<double>((last - first).count()));
}

request_queues::queue& request_queues::At(service_index service) {
  if (service >= queues_.size()) {
    queues_.resize(service + 1);
  }
  return queues_[service];
}

void request_queues::Link(service_index service, const queue& of) {
  if (of.waiting.empty()) {
    return;
  }
  const time_point first = of.waiting.begin()->first;
  heads_.Insert(first, service);
  if (of.rank == share_class::kAtCap) {
    return;
  }
  const place at{of.rank, -of.urgency, first, service};
  ready_.insert(at);
  if (of.spill) {
    ready_to_spill_.insert(at);
  }
}

void request_queues::Unlink(service_index service, const queue& of) {
  if (of.waiting.empty()) {
    return;
  }
  const time_point first = of.waiting.begin()->first;
  heads_.Erase(first, service);
  if (of.rank == share_class::kAtCap) {
    return;
  }
  const place at{of.rank, -of.urgency, first, service};
  ready_.erase(at);
  if (of.spill) {
    ready_to_spill_.erase(at);
  }
}

waiting_request request_queues::Head(service_index service) const {
  const auto& [start_by, request] = *queues_[service].waiting.begin();
  return {.service = service, .request = request, .start_by = start_by};
}

}  // namespace skylarkbridge::scheduling
