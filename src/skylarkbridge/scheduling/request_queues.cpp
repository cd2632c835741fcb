#include "skylarkbridge/scheduling/request_queues.hpp"

namespace skylarkbridge::scheduling {

void request_queues::Add(const waiting_request& waiting) {
  queue& service_queue = At(waiting.service);
  RemoveFromOrder(waiting.service, service_queue);
  service_queue.waiting.insert({waiting.start_by, waiting.request});
  AddToOrder(waiting.service, service_queue);
}

void request_queues::Remove(const waiting_request& waiting) {
  queue& service_queue = At(waiting.service);
  RemoveFromOrder(waiting.service, service_queue);
  service_queue.waiting.erase({waiting.start_by, waiting.request});
  AddToOrder(waiting.service, service_queue);
}

void request_queues::SetPriority(service_index service,
                                 share_class rank,
                                 std::int64_t urgency,
                                 bool spill) {
  queue& service_queue = At(service);
  if (service_queue.rank == rank && service_queue.urgency == urgency &&
      service_queue.spill == spill) {
    return;
  }
  RemoveFromOrder(service, service_queue);
  service_queue.rank = rank;
  service_queue.urgency = urgency;
  service_queue.spill = spill;
  AddToOrder(service, service_queue);
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
  const std::optional<time_point> first = first_deadlines_.First();
  if (!first || *first > now) {
    return std::nullopt;
  }
  return Head(first_deadlines_.FirstKey());
}

std::size_t request_queues::Length(service_index service) const {
  return service < queues_.size() ? queues_[service].waiting.size() : 0;
}

std::size_t request_queues::EstimateAhead(service_index service,
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

void request_queues::AddToOrder(service_index service,
                                const queue& service_queue) {
  if (service_queue.waiting.empty()) {
    return;
  }
  const time_point first = service_queue.waiting.begin()->first;
  first_deadlines_.Insert(first, service);
  if (service_queue.rank == share_class::kAtCap) {
    return;
  }
  const service_order at{service_queue.rank, -service_queue.urgency, first,
                         service};
  ready_.insert(at);
  if (service_queue.spill) {
    ready_to_spill_.insert(at);
  }
}

void request_queues::RemoveFromOrder(service_index service,
                                     const queue& service_queue) {
  if (service_queue.waiting.empty()) {
    return;
  }
  const time_point first = service_queue.waiting.begin()->first;
  first_deadlines_.Erase(first, service);
  if (service_queue.rank == share_class::kAtCap) {
    return;
  }
  const service_order at{service_queue.rank, -service_queue.urgency, first,
                         service};
  ready_.erase(at);
  if (service_queue.spill) {
    ready_to_spill_.erase(at);
  }
}

waiting_request request_queues::Head(service_index service) const {
  const auto& [start_by, request] = *queues_[service].waiting.begin();
  return {.service = service, .request = request, .start_by = start_by};
}

}  // namespace skylarkbridge::scheduling
