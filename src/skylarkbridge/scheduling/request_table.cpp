#include "skylarkbridge/scheduling/request_table.hpp"

#include <utility>

namespace skylarkbridge::scheduling {

std::optional<request_index> request_table::Add(request_record record) {
  const auto index = free_.empty() ? static_cast<request_index>(records_.size())
                                   : free_.back();
  if (!indices_.try_emplace(record.request, index).second) {
    return std::nullopt;
  }
  if (free_.empty()) {
    records_.push_back(std::move(record));
  } else {
    free_.pop_back();
    records_[index] = std::move(record);
  }
  return index;
}

std::optional<request_index> request_table::Find(request_id request) const {
  const auto found = indices_.find(request);
  return found == indices_.end() ? std::nullopt : std::optional(found->second);
}

void request_table::Remove(request_index index) {
  indices_.erase(records_[index].request);
  free_.push_back(index);
}

}  // namespace skylarkbridge::scheduling
