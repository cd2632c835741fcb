#ifndef SKYLARKBRIDGE_JOBS_FENCING_TOKEN_HPP
#define SKYLARKBRIDGE_JOBS_FENCING_TOKEN_HPP

#include <compare>
#include <cstdint>

#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::jobs {

/// @brief Fencing token of the orders to a worker. The worker refuses orders
/// with a lower token than the highest one that it has seen since its start.
///
/// An owner raises `sequence` when an order to the worker got no answer. The
/// incarnation of the worker that answers a renewal with the new token refuses
/// all orders that were sent before, however late they arrive.
struct fencing_token {
  epoch owner_epoch = 0;
  std::uint32_t sequence = 0;

  auto operator<=>(const fencing_token&) const = default;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FENCING_TOKEN_HPP
