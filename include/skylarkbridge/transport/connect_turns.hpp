#ifndef SKYLARKBRIDGE_TRANSPORT_CONNECT_TURNS_HPP
#define SKYLARKBRIDGE_TRANSPORT_CONNECT_TURNS_HPP

#include <chrono>
#include <deque>
#include <optional>

#include "absl/functional/any_invocable.h"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::transport {

/// @brief Begins the connection attempts to servers that may be down one by
/// one, at an interval that they all share.
///
/// The interval runs from turn to turn, whatever comes of the attempts, and a
/// turn that is late does not delay the next one.
class connect_turns {
 public:
  /// Begins an attempt. Returns false when there is no need for it any more;
  /// the turn then goes to the next one.
  using attempt = absl::AnyInvocable<bool()>;

  explicit connect_turns(std::chrono::milliseconds interval)
      : interval_(interval) {}

  /// @brief Adds an attempt behind those that wait.
  void Add(attempt begin);
  /// @brief Begins the next attempt if its turn has come.
  void Run(time_point now);
  /// @brief When Run has to be called next; empty while no attempt waits.
  std::optional<time_point> NextTurn() const;

 private:
  const std::chrono::milliseconds interval_;
  std::deque<attempt> waiting_;
  time_point next_turn_;
};

}  // namespace skylarkbridge::transport

#endif  // SKYLARKBRIDGE_TRANSPORT_CONNECT_TURNS_HPP
