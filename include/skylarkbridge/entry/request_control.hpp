#ifndef SKYLARKBRIDGE_ENTRY_REQUEST_CONTROL_HPP
#define SKYLARKBRIDGE_ENTRY_REQUEST_CONTROL_HPP

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "skylarkbridge/base/one_shot.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"

namespace skylarkbridge::entry {

/// @brief Ends a request with the answer that an earlier request with the same
/// idempotency key got.
struct replay_answer {
  request_id request;
  /// As written by EncodeStoredAnswer.
  std::string answer;
};

/// @brief What a traffic thread is told to do next.
using request_order = std::variant<scheduling::start_attempt,
                                   scheduling::finish_request,
                                   replay_answer>;

/// @brief Where a traffic thread waits for the next order about its request.
using request_reply = one_shot<request_order>;

/// @brief A request as the control thread gets it.
struct arriving_request {
  scheduling::request_arrived arrived;
  /// Key under which the request runs at most once; empty without one.
  std::string idempotency_key;
};

/// @brief The end of an attempt as the control thread gets it.
struct ending_attempt {
  scheduling::attempt_finished finished;
  /// The whole answer, for requests with an idempotency key.
  std::optional<std::string> stored_answer;
};

/// @brief The control thread, as the callers' front end sees it.
///
/// Arrive and Finish return false when the message was not taken; the control
/// thread then knows nothing of it.
template <class T>
concept request_control = requires(T& control,
                                   const arriving_request& arrived,
                                   const ending_attempt& finished,
                                   std::shared_ptr<request_reply> reply) {
  { control.Arrive(arrived, reply) } -> std::same_as<bool>;
  { control.Finish(finished, reply) } -> std::same_as<bool>;
  {
    control.Declared()
    } -> std::same_as<std::shared_ptr<const declaration::configuration>>;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_REQUEST_CONTROL_HPP
