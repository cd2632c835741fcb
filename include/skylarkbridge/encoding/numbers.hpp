#ifndef SKYLARKBRIDGE_ENCODING_NUMBERS_HPP
#define SKYLARKBRIDGE_ENCODING_NUMBERS_HPP

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkbridge/encoding/bounded_parse.hpp"

/// @brief Numbers of documents that other programs have written. The conversion
/// of the JSON library wraps or saturates a number beyond the target type.
namespace skylarkbridge::encoding {

/// @brief Both ends are included.
template <std::integral Number>
struct number_range {
  Number min = std::numeric_limits<Number>::min();
  Number max = std::numeric_limits<Number>::max();
};

/// @brief Longest duration, and latest time since the epoch of its clock, that
/// is accepted. Twice as much is still in the range of std::chrono::nanoseconds
/// (292 years).
inline constexpr std::chrono::milliseconds kMaxDuration =
    std::chrono::years(100);

/// @brief Returns an integer, also one that is written with an empty fraction.
/// Throws nlohmann::json::exception for any other value and for one out of
/// @p range.
template <std::integral Number>
Number ToInteger(const nlohmann::json& value, number_range<Number> range = {}) {
  const auto in_range = [&range](auto number) {
    return std::cmp_greater_equal(number, range.min) &&
           std::cmp_less_equal(number, range.max);
  };
  if (value.is_number_unsigned() && in_range(value.get<std::uint64_t>())) {
    return static_cast<Number>(value.get<std::uint64_t>());
  }
  if (value.is_number_integer() && !value.is_number_unsigned() &&
      in_range(value.get<std::int64_t>())) {
    return static_cast<Number>(value.get<std::int64_t>());
  }
  if (value.is_number_float()) {
    // Doubles hold every integer up to this one.
    constexpr double kMaxExact = 9'007'199'254'740'992;
    const double number = value.get<double>();
    if (std::abs(number) <= kMaxExact && std::trunc(number) == number &&
        in_range(static_cast<std::int64_t>(number))) {
      return static_cast<Number>(number);
    }
  }
  ThrowInvalid("a number is not an integer or out of its range");
}

/// @brief Returns a number without its fraction. Throws
/// nlohmann::json::exception for any other value and for one out of @p range.
template <std::integral Number>
Number ToWholePart(const nlohmann::json& value, number_range<Number> range) {
  if (!value.is_number_float()) {
    return ToInteger(value, range);
  }
  return ToInteger(nlohmann::json(std::trunc(value.get<double>())), range);
}

/// @brief Returns a number of milliseconds without its fraction. Throws
/// nlohmann::json::exception unless it is a number from 0 to kMaxDuration.
inline std::chrono::milliseconds ToMilliseconds(const nlohmann::json& value) {
  return std::chrono::milliseconds(
      ToWholePart<std::int64_t>(value, {0, kMaxDuration.count()}));
}

}  // namespace skylarkbridge::encoding

#endif  // SKYLARKBRIDGE_ENCODING_NUMBERS_HPP
