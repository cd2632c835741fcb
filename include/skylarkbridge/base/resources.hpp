#ifndef SKYLARKBRIDGE_BASE_RESOURCES_HPP
#define SKYLARKBRIDGE_BASE_RESOURCES_HPP

#include <compare>
#include <cstdint>

namespace skylarkbridge {

/// @brief Room on a worker, or what a task needs of it.
struct resources {
  /// Thousandths of a processor.
  std::int64_t millicores = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const resources&) const = default;

  resources& operator+=(const resources& other) {
    millicores += other.millicores;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    millicores -= other.millicores;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
};

/// @brief True when @p need is at most @p room in every dimension.
constexpr bool Fits(const resources& need, const resources& room) {
  return need.millicores <= room.millicores &&
         need.memory_mib <= room.memory_mib &&
         need.accelerators <= room.accelerators;
}

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_RESOURCES_HPP
