#ifndef SKYLARKBRIDGE_TELEMETRY_SCOPED_SPAN_HPP
#define SKYLARKBRIDGE_TELEMETRY_SCOPED_SPAN_HPP

#include <chrono>
#include <string>
#include <utility>

#include "skylarkbridge/telemetry/span.hpp"

namespace skylarkbridge::telemetry {

/// @brief Records a span from its construction to its end of scope.
template <span_sink Sink>
class scoped_span {
 public:
  scoped_span(Sink& sink,
              const trace_context& parent,
              std::string name,
              span_kind kind)
      : sink_(sink) {
    span_.context = NewSpan(parent);
    span_.parent = parent.span;
    span_.name = std::move(name);
    span_.kind = kind;
    span_.start = std::chrono::system_clock::now();
  }
  scoped_span(const scoped_span&) = delete;
  scoped_span& operator=(const scoped_span&) = delete;
  ~scoped_span() {
    span_.end = std::chrono::system_clock::now();
    sink_.Record(std::move(span_));
  }

  const trace_context& Context() const { return span_.context; }
  void AddAttribute(std::string key, std::string value) {
    span_.attributes.push_back({std::move(key), std::move(value)});
  }
  void MarkError() { span_.error = true; }

 private:
  Sink& sink_;
  finished_span span_;
};

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_SCOPED_SPAN_HPP
