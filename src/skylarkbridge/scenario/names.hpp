#ifndef SKYLARKBRIDGE_SCENARIO_NAMES_HPP
#define SKYLARKBRIDGE_SCENARIO_NAMES_HPP

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/scheduling/task_events.hpp"

namespace skylarkbridge::scenario {

inline std::string Name(scheduling::refusal_reason reason) {
  using enum scheduling::refusal_reason;
  switch (reason) {
    case kNone:
      return "none";
    case kUnknownService:
      return "unknown service";
    case kQueueFull:
      return "queue full";
    case kDeadlineTooClose:
      return "deadline too close";
    case kDeadlinePassed:
      return "deadline passed";
    case kOverShare:
      return "over share";
    case kNoUpstream:
      return "no upstream";
    case kUpstreamRefused:
      return "upstream refused";
    case kCancelled:
      return "cancelled";
    case kStopping:
      return "stopping";
    case kNoConfiguration:
      return "no configuration";
    case scheduling::refusal_reason::kKeyHomeElsewhere:
      return "key home elsewhere";
    case scheduling::refusal_reason::kKeyInProgress:
      return "key in progress";
    case scheduling::refusal_reason::kKeyOutcomeUnknown:
      return "key outcome unknown";
  }
  return "?";
}

inline std::string Name(scheduling::task_refusal reason) {
  using enum scheduling::task_refusal;
  switch (reason) {
    case kUnknownKind:
      return "unknown kind";
    case kNeverFits:
      return "never fits";
    case kQueueFull:
      return "queue full";
    case kTooManyFailures:
      return "too many failures";
    case kOverQuota:
      return "over quota";
    case kOutcomeUnknown:
      return "outcome unknown";
  }
  return "?";
}

/// @brief For example " (queue full 3, no upstream 1)"; empty for none.
template <class Count>
std::string Listed(const std::map<std::string, Count>& counts) {
  return counts.empty()
             ? ""
             : absl::StrCat(
                   " (", absl::StrJoin(counts, ", ", absl::PairFormatter(" ")),
                   ")");
}

template <class Count>
Count Sum(const std::map<std::string, Count>& counts) {
  Count sum = 0;
  for (const auto& [name, count] : counts) {
    sum += count;
  }
  return sum;
}

/// @brief Quantile in whole milliseconds, rounded down; 0 for no values.
inline std::int64_t QuantileMs(std::vector<std::chrono::nanoseconds> values,
                               std::int64_t permille) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = std::min<std::size_t>(
      values.size() - 1,
      values.size() * static_cast<std::size_t>(permille) / 1000);
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), nth, values.end());
  return std::chrono::duration_cast<std::chrono::milliseconds>(*nth).count();
}

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_NAMES_HPP
