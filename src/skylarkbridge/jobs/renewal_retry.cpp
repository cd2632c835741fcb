#include "skylarkbridge/jobs/renewal_retry.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxDelayFactor = 5;

/// Adds up to a quarter, so that the retries of several workers and owners
/// spread out. Consecutive renewals get different delays.
milliseconds WithJitter(milliseconds delay, std::uint64_t renewal_number) {
  constexpr std::uint64_t kSteps = 8;
  // An odd multiplier visits all steps before it repeats one.
  const auto step = static_cast<milliseconds::rep>(renewal_number * 5 % kSteps);
  return delay + delay * step / static_cast<milliseconds::rep>(4 * kSteps);
}

/// Interval at which one of the watched workers may be tried.
milliseconds ShareOfBudget(const renewal_retry_options& options,
                           std::size_t watched) {
  return options.watched_interval *
         static_cast<milliseconds::rep>(std::max<std::size_t>(watched, 1));
}

/// Delay from a failed renewal to a worker that is not watched to the next one.
milliseconds UsualDelay(const renewal_retry_options& options,
                        const silent_worker& worker) {
  return options.delay * std::clamp(worker.failed_renewals, 1, kMaxDelayFactor);
}

}  // namespace

milliseconds RenewalRetryDelay(const renewal_retry_options& options,
                               const silent_worker& worker) {
  const milliseconds usual = UsualDelay(options, worker);
  if (worker.watched == 0) {
    return usual;
  }
  return std::min(usual, WithJitter(ShareOfBudget(options, worker.watched),
                                    worker.renewal_number));
}

milliseconds RenewalHedgeDelay(const renewal_retry_options& options,
                               const silent_worker& worker) {
  return WithJitter(
      std::max(options.hedge_delay, ShareOfBudget(options, worker.watched)),
      worker.renewal_number);
}

bool ReconnectsForRenewal(const renewal_retry_options& options,
                          const silent_worker& worker) {
  return worker.watched > 0 &&
         ShareOfBudget(options, worker.watched) < UsualDelay(options, worker);
}

}  // namespace skylarkbridge::jobs
