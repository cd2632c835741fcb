#ifndef SKYLARKBRIDGE_ENTRY_REQUEST_CONTROL_HPP
#define SKYLARKBRIDGE_ENTRY_REQUEST_CONTROL_HPP

#include <concepts>
#include <memory>

#include "skylarkbridge/base/one_shot.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"

namespace skylarkbridge::entry {

/// @brief Where a traffic thread waits for the next command of its request.
using request_reply = one_shot<scheduling::request_command>;

/// @brief The control thread, as the callers' front end sees it.
///
/// Arrive and Finish return false when the message was not taken; the control
/// thread then knows nothing of it.
template <class T>
concept request_control = requires(T& control,
                                   const scheduling::request_arrived& arrived,
                                   const scheduling::attempt_finished& finished,
                                   std::shared_ptr<request_reply> reply) {
  { control.Arrive(arrived, reply) } -> std::same_as<bool>;
  { control.Finish(finished, reply) } -> std::same_as<bool>;
  {
    control.Declared()
    } -> std::same_as<std::shared_ptr<const declaration::configuration>>;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_REQUEST_CONTROL_HPP
