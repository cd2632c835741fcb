#ifndef SKYLARKBRIDGE_BASE_EVENT_LOG_HPP
#define SKYLARKBRIDGE_BASE_EVENT_LOG_HPP

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkbridge/base/log_budget.hpp"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {

enum class event_severity { kInfo, kWarning, kError };

/// @brief A numbered log event. Each has one row in docs/events.md.
struct event_definition {
  int number = 0;
  event_severity severity = event_severity::kInfo;
  std::string_view name;
  /// Names of the fields, separated by spaces, in the order in which they are
  /// written.
  std::string_view fields;
  /// Of an info; warnings and errors are always log_class::kRare.
  log_class line_class = log_class::kBulk;
};

/// @brief One field of a log event.
struct event_field {
  std::string_view name;
  std::string value;
};

/// @brief Sets the time of the lines that the calling thread logs until the end
/// of the scope. Without a scope, a line has the time of the machine's clock.
class event_time_scope {
 public:
  explicit event_time_scope(wall_time time);
  event_time_scope(const event_time_scope&) = delete;
  event_time_scope& operator=(const event_time_scope&) = delete;
  ~event_time_scope();

 private:
  const std::optional<wall_time> outer_;
};

/// @brief Formats one line of JSON with the time of day in seconds, the event's
/// number, severity and name, and the fields as strings. Empty fields are left
/// out.
std::string FormatEvent(const event_definition& event,
                        std::initializer_list<event_field> fields);

/// @brief Writes the event to standard output as one line. Never waits: lines
/// beyond the volume that is allowed, or that the reader does not take, are
/// counted and left out.
void LogEvent(const event_definition& event,
              std::initializer_list<event_field> fields);

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_EVENT_LOG_HPP
