#ifndef SKYLARKBRIDGE_TELEMETRY_SPAN_HPP
#define SKYLARKBRIDGE_TELEMETRY_SPAN_HPP

#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/telemetry/trace_context.hpp"

namespace skylarkbridge::telemetry {

/// @brief Role of the process in a hop, as in OTLP.
enum class span_kind { kInternal = 1, kServer = 2, kClient = 3 };

struct span_attribute {
  std::string key;
  std::string value;
};

/// @brief One finished hop of a request or a task.
struct finished_span {
  trace_context context;
  /// All zero for the first span of a trace.
  span_id parent{};
  std::string name;
  span_kind kind = span_kind::kInternal;
  wall_time start;
  wall_time end;
  std::vector<span_attribute> attributes;
  bool error = false;
};

/// @brief Takes finished spans without blocking the calling thread.
template <class T>
concept span_sink = requires(T& sink, finished_span span) {
  sink.Record(std::move(span));
};

/// @brief Sink that drops all spans.
struct null_span_sink {
  void Record(const finished_span&) {}
};

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_SPAN_HPP
