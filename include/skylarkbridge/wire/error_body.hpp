#ifndef SKYLARKBRIDGE_WIRE_ERROR_BODY_HPP
#define SKYLARKBRIDGE_WIRE_ERROR_BODY_HPP

#include <string>
#include <string_view>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"

namespace skylarkbridge::wire {

/// @brief JSON body of an error answer:
/// {"code": ..., "message": ..., "findings": [{"place": ..., "message": ...}]}.
/// "findings" is left out when there are none.
std::string ErrorBody(std::string_view code,
                      std::string_view message,
                      const findings& found = {});

/// @brief Value of the header `Skylarkbridge-Outcome`.
std::string_view OutcomeName(scheduling::request_outcome outcome);

/// @brief Stable machine-readable code of a refusal, for example "queue_full".
std::string_view RefusalCode(scheduling::refusal_reason reason);

/// @brief One sentence for people.
std::string_view RefusalMessage(scheduling::refusal_reason reason);

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_ERROR_BODY_HPP
