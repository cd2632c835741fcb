#include "skylarkbridge/jobs/vm_capacity.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {
namespace {

/// Bandwidth that an owner needs for each worker of its cell. A busy worker
/// sends and receives about half of it; the other half is left for the log,
/// callers and bursts of starts.
constexpr double kLinkMbpsPerWorker = 0.08;
/// A smaller cell has too little room for wide steps.
constexpr std::size_t kMinWorkersPerCell = 16;
/// Share of a core that schedules kMaxWorkersPerCell workers.
constexpr double kShareOfLargestCell = 0.5;

constexpr double kKbPerMbit = 1000.0 / 8;
constexpr double kTailPageSeconds = 0.1;
/// A page has to hold some records, which may be of several KB.
constexpr int kMinTailPageKb = 24;
constexpr int kMaxTailPageKb = 128;

/// Largest record that the store accepts: 256 KB.
constexpr double kLargestRecordMbit = 262'144 * 8 / 1e6;
/// Keeps a failure of the store from going unnoticed on any link.
constexpr std::chrono::milliseconds kMaxLargestRecordTime{3000};

double WorkersOnLink(const vm_capacity& vm) {
  return vm.link_mbps / kLinkMbpsPerWorker;
}

}  // namespace

std::size_t WorkersPerCell(const vm_capacity& vm) {
  const double workers =
      std::min<double>(WorkersOnLink(vm), kMaxWorkersPerCell);
  return std::max(static_cast<std::size_t>(workers), kMinWorkersPerCell);
}

int MaxTailPageKb(const vm_capacity& vm) {
  const double page = vm.link_mbps * kKbPerMbit * kTailPageSeconds;
  return static_cast<int>(
      std::clamp<double>(page, kMinTailPageKb, kMaxTailPageKb));
}

std::chrono::milliseconds LargestRecordTime(const vm_capacity& vm) {
  const std::chrono::duration<double> time(kLargestRecordMbit / vm.link_mbps);
  return std::min(std::chrono::ceil<std::chrono::milliseconds>(time),
                  kMaxLargestRecordTime);
}

double UsableProcessorShare(const vm_capacity& vm) {
  const double share_for_link =
      WorkersOnLink(vm) / kMaxWorkersPerCell * kShareOfLargestCell;
  return std::min(vm.processor_share, share_for_link);
}

}  // namespace skylarkbridge::jobs
