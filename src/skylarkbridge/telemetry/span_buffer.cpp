#include "skylarkbridge/telemetry/span_buffer.hpp"

#include <utility>

#include "absl/time/time.h"

namespace skylarkbridge::telemetry {

span_buffer::span_buffer(std::size_t capacity) : capacity_(capacity) {
  spans_.reserve(capacity);
}

void span_buffer::Record(finished_span span) {
  if (!span.context.sampled) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  if (spans_.size() >= capacity_) {
    ++dropped_;
    return;
  }
  spans_.push_back(std::move(span));
}

std::vector<finished_span> span_buffer::Take(std::size_t enough,
                                             time_point deadline) {
  // Reserved before the lock is taken, so that Record never allocates under it.
  std::vector<finished_span> taken;
  taken.reserve(capacity_);
  wanted wait{this, enough};
  absl::MutexLock lock(&mutex_);
  mutex_.AwaitWithTimeout(absl::Condition(&span_buffer::Ready, &wait),
                          absl::FromChrono(deadline - boot_clock::now()));
  taken.swap(spans_);
  return taken;
}

bool span_buffer::Ready(wanted* wait) {
  wait->buffer->mutex_.AssertHeld();
  return wait->buffer->flushing_ || wait->buffer->spans_.size() >= wait->enough;
}

void span_buffer::Flush() {
  absl::MutexLock lock(&mutex_);
  flushing_ = true;
}

void span_buffer::Resume() {
  absl::MutexLock lock(&mutex_);
  flushing_ = false;
}

std::uint64_t span_buffer::Dropped() const {
  absl::MutexLock lock(&mutex_);
  return dropped_;
}

}  // namespace skylarkbridge::telemetry
