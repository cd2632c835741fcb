#include "skylarkbridge/scheduling/resource_index.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {
namespace {

// Fits no request, not even one for zero resources.
constexpr resources kCleared{.millicores = -1,
                             .memory_mib = -1,
                             .accelerators = -1};

resources Max(const resources& a, const resources& b) {
  return {.millicores = std::max(a.millicores, b.millicores),
          .memory_mib = std::max(a.memory_mib, b.memory_mib),
          .accelerators = std::max(a.accelerators, b.accelerators)};
}

}  // namespace

void resource_index::Grow(std::size_t positions) {
  std::size_t leaves = std::max<std::size_t>(leaves_, 1);
  while (leaves < positions) {
    leaves *= 2;
  }
  std::vector<resources> nodes(2 * leaves, kCleared);
  if (leaves_ > 0) {
    std::copy(nodes_.begin() + static_cast<std::ptrdiff_t>(leaves_),
              nodes_.end(),
              nodes.begin() + static_cast<std::ptrdiff_t>(leaves));
  }
  for (std::size_t node = leaves - 1; node > 0; --node) {
    nodes[node] = Max(nodes[2 * node], nodes[2 * node + 1]);
  }
  nodes_.swap(nodes);
  leaves_ = leaves;
}

void resource_index::Set(std::size_t position, const resources& available) {
  if (position >= leaves_) {
    Grow(position + 1);
  }
  std::size_t node = leaves_ + position;
  nodes_[node] = available;
  for (node /= 2; node > 0; node /= 2) {
    const resources highest = Max(nodes_[2 * node], nodes_[2 * node + 1]);
    if (highest == nodes_[node]) {
      break;
    }
    nodes_[node] = highest;
  }
}

void resource_index::Clear(std::size_t position) {
  Set(position, kCleared);
}

resources resource_index::Largest() const {
  return leaves_ == 0 ? resources{} : Max(nodes_[1], {});
}

std::size_t resource_index::NextFrom(std::size_t position,
                                     const resources& need) const {
  if (position >= leaves_) {
    return kNotFound;
  }
  std::size_t node = leaves_ + position;
  while (true) {
    if (Fits(need, nodes_[node])) {
      if (node >= leaves_) {
        return node - leaves_;
      }
      node *= 2;
      continue;
    }
    while (node % 2 == 1) {
      node /= 2;
    }
    if (node == 0) {
      return kNotFound;
    }
    ++node;
  }
}

}  // namespace skylarkbridge::scheduling
