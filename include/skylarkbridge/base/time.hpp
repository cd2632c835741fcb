#ifndef SKYLARKBRIDGE_BASE_TIME_HPP
#define SKYLARKBRIDGE_BASE_TIME_HPP

#include <chrono>
#include <concepts>

namespace skylarkbridge {

/// @brief Clock that never jumps and keeps running while the VM is paused.
///
/// It reads CLOCK_BOOTTIME. CLOCK_MONOTONIC stands still during a suspend, so a
/// lease checked against it would look valid after the VM resumes.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// @brief Point in time on the clock of this process; comparable only within
/// one VM.
using time_point = boot_clock::time_point;

/// @brief Point in calendar time, for records and spans that other VMs read.
using wall_time = std::chrono::sys_time<std::chrono::nanoseconds>;

/// @brief Source of the current time.
template <class T>
concept clock_source = requires(T& clock) {
  { clock.Now() } -> std::same_as<time_point>;
};

/// @brief The clock of the machine.
struct system_clock_source {
  time_point Now() const noexcept { return boot_clock::now(); }
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_TIME_HPP
