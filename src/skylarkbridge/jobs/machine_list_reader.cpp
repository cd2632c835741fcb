#include "skylarkbridge/jobs/machine_list_reader.hpp"

#include <utility>

namespace skylarkbridge::jobs {

std::optional<machine_page_request> machine_list_reader::Next(bool needed,
                                                              time_point now) {
  if (!needed) {
    reading_.reset();
    readings_in_a_row_ = 0;
  }
  if (!needed || request_under_way_ || now < next_request_) {
    return std::nullopt;
  }
  if (!reading_) {
    reading_ = machine_list{.requested_at = now};
    pages_ = 0;
    next_token_.clear();
  }
  request_under_way_ = true;
  return machine_page_request{.number = ++last_number_,
                              .page_token = next_token_};
}

std::optional<machine_list> machine_list_reader::Handle(
    std::uint64_t number,
    const std::optional<machine_page>& page,
    time_point now) {
  if (!request_under_way_ || number != last_number_) {
    return std::nullopt;
  }
  request_under_way_ = false;
  if (!reading_) {
    return std::nullopt;
  }
  if (!page || !Add(*page)) {
    reading_.reset();
    next_request_ = now + options_.retry_delay;
    return std::nullopt;
  }
  if (!next_token_.empty()) {
    return std::nullopt;
  }
  next_request_ = now + (++readings_in_a_row_ == 1 ? options_.interval
                                                   : options_.later_interval);
  return std::exchange(reading_, std::nullopt);
}

bool machine_list_reader::Add(const machine_page& page) {
  for (const auto& [machine, worker] : page.workers) {
    // A machine may be on two pages when others join in between. If its worker
    // has changed since, neither page tells which one is there.
    const auto [entry, added] = reading_->workers.try_emplace(machine, worker);
    if (!added && entry->second != worker) {
      return false;
    }
  }
  const bool repeats =
      !page.next_token.empty() && page.next_token == next_token_;
  next_token_ = page.next_token;
  return !repeats && ++pages_ <= options_.max_pages;
}

}  // namespace skylarkbridge::jobs
