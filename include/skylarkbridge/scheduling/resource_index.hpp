#ifndef SKYLARKBRIDGE_SCHEDULING_RESOURCE_INDEX_HPP
#define SKYLARKBRIDGE_SCHEDULING_RESOURCE_INDEX_HPP

#include <cstddef>
#include <vector>

#include "skylarkbridge/base/resources.hpp"

namespace skylarkbridge::scheduling {

/// @brief Finds workers with room without a scan over all of them.
///
/// A tree of maxima per dimension: a subtree in which some dimension is too
/// small everywhere is skipped at once.
class resource_index {
 public:
  static constexpr std::size_t kNotFound = static_cast<std::size_t>(-1);

  /// @brief Sets the room at a position, and grows the index when needed.
  void Set(std::size_t position, const resources& room);
  /// @brief Takes a position out of every search.
  void Clear(std::size_t position);
  /// @return the first position at or after @p position with room for
  /// @p need, or kNotFound.
  std::size_t NextFrom(std::size_t position, const resources& need) const;
  /// @brief Largest value of each dimension; zero when nothing is set.
  resources Largest() const;
  /// @brief Positions, including cleared ones.
  std::size_t Size() const { return leaves_; }

 private:
  void Grow(std::size_t positions);

  std::size_t leaves_ = 0;
  /// Node 1 is the root; node n has the children 2n and 2n + 1.
  std::vector<resources> nodes_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_RESOURCE_INDEX_HPP
