#ifndef SKYLARKBRIDGE_SCHEDULING_RESOURCE_INDEX_HPP
#define SKYLARKBRIDGE_SCHEDULING_RESOURCE_INDEX_HPP

#include <cstddef>
#include <vector>

#include "skylarkbridge/base/resources.hpp"

namespace skylarkbridge::scheduling {

/// @brief Finds workers with enough resources without a scan over all of them.
///
/// A binary tree that stores in each node the largest value per dimension. A
/// search skips each subtree whose largest value is too small in some
/// dimension.
class resource_index {
 public:
  static constexpr std::size_t kNotFound = static_cast<std::size_t>(-1);

  /// @brief Sets the resources at a position; grows the index if needed.
  void Set(std::size_t position, const resources& available);
  /// @brief Excludes a position from searches.
  void Clear(std::size_t position);
  /// @return the first position at or after @p position whose resources are
  /// at least @p need, or kNotFound.
  std::size_t NextFrom(std::size_t position, const resources& need) const;
  /// @brief Largest value of each dimension; zero if nothing is set.
  resources Largest() const;
  /// @brief Number of positions, including unused ones.
  std::size_t Size() const { return leaves_; }

 private:
  void Grow(std::size_t positions);

  std::size_t leaves_ = 0;
  /// Node 1 is the root; node n has the children 2n and 2n + 1.
  std::vector<resources> nodes_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_RESOURCE_INDEX_HPP
