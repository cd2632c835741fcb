#include "skylarkbridge/jobs/job_limits.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

bool IsAmount(std::int64_t amount) {
  return amount >= 0 && amount <= kMaxAmount;
}

std::optional<std::string_view> FindFault(const step_spec& step,
                                          std::size_t step_index) {
  if (step.count == 0 || step.count > kMaxTasksPerJob) {
    return "a step has no tasks or too many";
  }
  if (!IsAmount(step.need.millicores) || !IsAmount(step.need.memory_mb) ||
      !IsAmount(step.need.accelerators)) {
    return "a step needs an amount out of range";
  }
  if (step.estimate < milliseconds::zero() || step.estimate > kMaxEstimate ||
      step.latency_target < milliseconds::zero() ||
      step.latency_target > kMaxEstimate) {
    return "a step has a duration out of range";
  }
  if (std::any_of(
          step.depends_on.begin(), step.depends_on.end(),
          [&](std::uint32_t earlier) { return earlier >= step_index; })) {
    return "a step depends on one that is not earlier";
  }
  return std::nullopt;
}

std::optional<std::string_view> FindScheduleFault(const job_spec& spec,
                                                  std::uint64_t tasks) {
  const milliseconds first_due =
      std::chrono::floor<milliseconds>(spec.first_due.time_since_epoch());
  if (first_due < milliseconds::zero() || first_due > kMaxDueTime ||
      spec.interval < milliseconds::zero() || spec.interval > kMaxDueTime) {
    return "a due time is out of range";
  }
  if (spec.repeat_count == 0) {
    return std::nullopt;
  }
  if (spec.repeat_count > kMaxTasksOfAllOccurrences / tasks) {
    return "too many tasks in all occurrences";
  }
  if (spec.interval > (kMaxDueTime - first_due) / spec.repeat_count) {
    return "a due time is out of range";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string_view> FindFault(const job_spec& spec) {
  std::uint64_t tasks = 0;
  milliseconds estimate{};
  for (std::size_t index = 0; index < spec.steps.size(); ++index) {
    const step_spec& step = spec.steps[index];
    if (const auto fault = FindFault(step, index)) {
      return fault;
    }
    tasks += step.count;
    estimate += step.estimate;
    if (tasks > kMaxTasksPerJob) {
      return "too many tasks";
    }
    if (estimate > kMaxEstimate) {
      return "the estimates are too long";
    }
  }
  if (spec.steps.empty()) {
    return "no steps";
  }
  return FindScheduleFault(spec, tasks);
}

std::optional<std::string_view> FindStorageFault(const job_spec& spec) {
  std::uint64_t long_running = 0;
  for (const step_spec& step : spec.steps) {
    long_running += step.long_running ? step.count : 0;
  }
  if (long_running * std::max(spec.repeat_count, 1U) > kMaxLongRunningTasks) {
    return "too many long-running tasks";
  }
  return std::nullopt;
}

}  // namespace skylarkbridge::jobs
