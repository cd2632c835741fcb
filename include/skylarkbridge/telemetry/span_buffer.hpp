#ifndef SKYLARKBRIDGE_TELEMETRY_SPAN_BUFFER_HPP
#define SKYLARKBRIDGE_TELEMETRY_SPAN_BUFFER_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/telemetry/span.hpp"

namespace skylarkbridge::telemetry {

/// @brief Bounded buffer between traffic threads and the exporter. Satisfies
/// span_sink.
///
/// A full buffer drops and counts the span. The lock is held for one move of a
/// span or one swap of the buffer, never during an export.
class span_buffer {
 public:
  /// @param capacity most spans that wait for export.
  explicit span_buffer(std::size_t capacity);

  /// @brief Adds a span of a sampled trace; ignores the others.
  void Record(finished_span span);

  /// @brief Takes all spans. Waits until there are @p enough, the deadline has
  /// passed or Flush was called.
  std::vector<finished_span> Take(std::size_t enough, time_point deadline);

  /// @brief Makes each Take return at once, until Resume.
  void Flush();
  void Resume();

  std::size_t Capacity() const { return capacity_; }
  /// @brief Spans dropped since the construction.
  std::uint64_t Dropped() const;

 private:
  struct wanted {
    const span_buffer* buffer;
    std::size_t enough;
  };
  static bool Ready(wanted* wait);

  const std::size_t capacity_;
  mutable absl::Mutex mutex_;
  std::vector<finished_span> spans_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
  bool flushing_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_SPAN_BUFFER_HPP
