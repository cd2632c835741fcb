#ifndef SKYLARKBRIDGE_CONTROL_REJECTED_ENTRIES_HPP
#define SKYLARKBRIDGE_CONTROL_REJECTED_ENTRIES_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::control {

struct rejected_entries_options {
  /// Minimum time between two log lines on entries of one key.
  std::chrono::milliseconds key_interval{60'000};
  /// Log lines in one second, over all keys.
  int max_lines_per_second = 5;
  /// Keys that are remembered. An entry of a forgotten key counts as new.
  std::size_t max_keys = 1000;
};

/// @brief The entries of the list of workers that could not be decoded.
/// Decides which of them count as new and which are logged: any writer of the
/// list may repeat them, and each snapshot of the list contains them again.
class rejected_entries {
 public:
  explicit rejected_entries(rejected_entries_options options = {})
      : options_(options) {}

  /// @brief Records an entry. Returns whether it has not been seen before.
  /// @param offset offset of the entry in the topic.
  bool Add(const std::string& key, std::uint64_t offset);
  /// @brief Returns whether a line on the key may be logged now, and counts it.
  bool TakeLine(const std::string& key, time_point now);

 private:
  struct rejected_key {
    std::uint64_t offset = 0;
    std::optional<time_point> next_line;
  };

  const rejected_entries_options options_;
  std::map<std::string, rejected_key> keys_;
  /// End of the second in which lines_ were logged.
  time_point second_ends_;
  int lines_ = 0;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_REJECTED_ENTRIES_HPP
