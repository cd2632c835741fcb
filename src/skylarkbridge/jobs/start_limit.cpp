#include "skylarkbridge/jobs/start_limit.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

start_limit::start_limit(start_limit_options options)
    : options_(options),
      limit_(static_cast<double>(options.initial_limit)),
      fast_growth_until_(static_cast<double>(options.max_limit)) {}

void start_limit::Sent(const run_ref& run, time_point now) {
  in_flight_[run] = {.sent_at = now, .slow_at = now + options_.max_latency};
}

void start_limit::Answered(const run_ref& run, time_point now) {
  const auto found = in_flight_.find(run);
  if (found == in_flight_.end()) {
    return;
  }
  if (now > found->second.slow_at) {
    Decrease(found->second, now);
  } else {
    Increase();
  }
  in_flight_.erase(found);
}

void start_limit::Unanswered(const run_ref& run, time_point now) {
  const auto found = in_flight_.find(run);
  if (found != in_flight_.end()) {
    Decrease(found->second, now);
    in_flight_.erase(found);
  }
}

void start_limit::Clear() {
  *this = start_limit(options_);
}

void start_limit::Increase() {
  // A limit that is not used says nothing about what the owner can carry.
  if (2 * in_flight_.size() < Limit()) {
    return;
  }
  limit_ += limit_ < fast_growth_until_ ? 1 : 1 / limit_;
  limit_ = std::min(limit_, static_cast<double>(options_.max_limit));
}

void start_limit::Decrease(const start_in_flight& start, time_point now) {
  if (start.sent_at < decreased_at_) {
    return;
  }
  limit_ = std::max(limit_ * options_.decrease_factor,
                    static_cast<double>(options_.min_limit));
  fast_growth_until_ = limit_;
  decreased_at_ = now;
}

}  // namespace skylarkbridge::jobs
