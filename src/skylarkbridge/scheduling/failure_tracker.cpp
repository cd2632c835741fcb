#include "skylarkbridge/scheduling/failure_tracker.hpp"

#include <algorithm>
#include <chrono>

namespace skylarkbridge::scheduling {
namespace {

// Bounds the memory per kind; a kind that failed on this many workers is held
// back in any case.
constexpr std::size_t kMaxFailedWorkers = 16;

std::chrono::nanoseconds Backoff(std::chrono::milliseconds first,
                                 std::chrono::milliseconds longest,
                                 unsigned level) {
  return std::min<std::chrono::nanoseconds>(
      first * (1LL << std::min(level - 1, 20U)), longest);
}

}  // namespace

bool kind_failures::RecordFailure(worker_id worker,
                                  time_point now,
                                  const failure_options& options) {
  if (!FailedOn(worker)) {
    if (workers_.size() == kMaxFailedWorkers) {
      workers_.erase(workers_.begin());
    }
    workers_.push_back(worker);
  }
  // Failures during the backoff are of tasks that started before it.
  if (now < held_until_ ||
      (backoff_level_ == 0 && workers_.size() < options.kind_workers)) {
    return false;
  }
  ++backoff_level_;
  held_until_ = now + Backoff(options.kind_backoff, options.max_kind_backoff,
                              backoff_level_);
  return true;
}

void kind_failures::RecordSuccess(time_point now) {
  workers_.clear();
  backoff_level_ = 0;
  held_until_ = {};
  last_success_ = now;
}

void kind_failures::ForgetWorker(worker_id worker) {
  std::erase(workers_, worker);
}

bool kind_failures::FailedOn(worker_id worker) const {
  return std::find(workers_.begin(), workers_.end(), worker) != workers_.end();
}

std::optional<time_point> kind_failures::HeldUntil() const {
  return backoff_level_ > 0 ? std::optional(held_until_) : std::nullopt;
}

bool worker_failures::RecordFailure(kind_index kind,
                                    std::optional<time_point> kind_last_success,
                                    time_point now,
                                    const failure_options& options) {
  if (std::find(kinds_.begin(), kinds_.end(), kind) == kinds_.end()) {
    kinds_.push_back(kind);
  }
  if (consecutive_failures_ == 0) {
    first_failure_ = now;
  }
  ++consecutive_failures_;
  successes_ = 0;
  if (now < quarantined_until_) {
    return false;
  }
  return OnProbation() || kinds_.size() >= options.worker_kinds ||
         (consecutive_failures_ >= options.worker_failures &&
          kind_last_success && *kind_last_success >= first_failure_);
}

bool worker_failures::RecordSuccess(const failure_options& options) {
  kinds_.clear();
  consecutive_failures_ = 0;
  if (!OnProbation() || ++successes_ < options.probation_successes) {
    return false;
  }
  quarantine_level_ = 0;
  quarantined_until_ = {};
  return true;
}

void worker_failures::Quarantine(time_point now,
                                 const failure_options& options) {
  ++quarantine_level_;
  quarantined_until_ =
      now + Backoff(options.quarantine_time, options.max_quarantine_time,
                    quarantine_level_);
  kinds_.clear();
  consecutive_failures_ = 0;
  successes_ = 0;
}

void worker_failures::ForgetKind(kind_index kind) {
  if (std::erase(kinds_, kind) > 0 && kinds_.empty()) {
    consecutive_failures_ = 0;
  }
}

}  // namespace skylarkbridge::scheduling
