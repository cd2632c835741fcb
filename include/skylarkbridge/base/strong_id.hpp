#ifndef SKYLARKBRIDGE_BASE_STRONG_ID_HPP
#define SKYLARKBRIDGE_BASE_STRONG_ID_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <utility>

namespace skylarkbridge {

/// @brief Integer identifier that converts to no other kind of identifier.
template <class Tag>
struct strong_id {
  std::uint64_t value = 0;

  auto operator<=>(const strong_id&) const = default;

  template <class H>
  friend H AbslHashValue(H hash, const strong_id& id) {
    return H::combine(std::move(hash), id.value);
  }
  friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
    return out << id.value;
  }
};

}  // namespace skylarkbridge

template <class Tag>
struct std::hash<skylarkbridge::strong_id<Tag>> {
  std::size_t operator()(skylarkbridge::strong_id<Tag> id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

#endif  // SKYLARKBRIDGE_BASE_STRONG_ID_HPP
