#include "skylarkbridge/scheduling/worker_table.hpp"

#include <algorithm>
#include <chrono>

namespace skylarkbridge::scheduling {
namespace {

// Sufficient for a worker that ends 4 tasks per second and whose reports lag by
// one minute.
constexpr std::size_t kMaxClosedSpans = 256;

}  // namespace

double worker_entry::ExposurePerTask() const {
  constexpr double kReferenceMillicores = 16'000;
  return kReferenceMillicores / static_cast<double>(std::max<std::int64_t>(
                                    state.capacity.millicores, 1000));
}

void worker_entry::BeginExposure(const task_entry& task, time_point now) {
  EndExposure(task.id, now);
  open_spans.push_back({.kind = task.kind,
                        .task = task.id,
                        .amount = static_cast<double>(task.processor_permille) /
                                  1000 * ExposurePerTask(),
                        .begin = now});
}

void worker_entry::EndExposure(task_id task, time_point now) {
  const auto found =
      std::find_if(open_spans.begin(), open_spans.end(),
                   [&](const exposure_span& s) { return s.task == task; });
  if (found == open_spans.end()) {
    return;
  }
  if (closed_spans.size() == kMaxClosedSpans) {
    closed_spans.erase(closed_spans.begin(),
                       closed_spans.begin() + kMaxClosedSpans / 2);
  }
  found->end = now;
  closed_spans.push_back(*found);
  *found = open_spans.back();
  open_spans.pop_back();
}

std::vector<exposure> worker_entry::ExposureDuring(time_point begin,
                                                   time_point end) const {
  std::vector<exposure> exposures;
  const double length = std::chrono::duration<double>(end - begin).count();
  const auto add = [&](const exposure_span& span) {
    const double overlap =
        std::chrono::duration<double>(std::min(span.end, end) -
                                      std::max(span.begin, begin))
            .count();
    if (overlap <= 0 || length <= 0) {
      return;
    }
    const double amount = span.amount * overlap / length;
    const auto same =
        std::find_if(exposures.begin(), exposures.end(),
                     [&](const exposure& e) { return e.kind == span.kind; });
    if (same == exposures.end()) {
      exposures.push_back({.kind = span.kind, .amount = amount});
    } else {
      same->amount += amount;
    }
  };
  std::for_each(open_spans.begin(), open_spans.end(), add);
  std::for_each(closed_spans.begin(), closed_spans.end(), add);
  return exposures;
}

void worker_entry::DropExposureBefore(time_point oldest) {
  std::erase_if(closed_spans,
                [&](const exposure_span& span) { return span.end < oldest; });
}

worker_index worker_table::Find(worker_id id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? kNone : found->second;
}

worker_index worker_table::Ensure(worker_id id) {
  const worker_index known = Find(id);
  if (known != kNone) {
    return known;
  }
  worker_index index = 0;
  if (free_.empty()) {
    index = static_cast<worker_index>(entries_.size());
    entries_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  entries_[index].used = true;
  entries_[index].state.worker = id;
  by_id_.emplace(id, index);
  return index;
}

void worker_table::Remove(worker_index index) {
  by_id_.erase(entries_[index].state.worker);
  entries_[index] = {};
  free_.push_back(index);
}

}  // namespace skylarkbridge::scheduling
