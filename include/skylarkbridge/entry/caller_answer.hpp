#ifndef SKYLARKBRIDGE_ENTRY_CALLER_ANSWER_HPP
#define SKYLARKBRIDGE_ENTRY_CALLER_ANSWER_HPP

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/entry/request_runner.hpp"

namespace httplib {
struct Response;
}

namespace skylarkbridge::entry {

/// @brief Writes the answer to a caller, with the header
/// `Skylarkbridge-Outcome`.
///
/// Done passes on the upstream's status, headers and body. Not-run is 429 or
/// 503 with `Retry-After` in seconds, or 404 for an unknown service. Unknown is
/// 504 when the deadline has passed and 502 otherwise.
void WriteCallerAnswer(request_answer answer,
                       time_point now,
                       httplib::Response& response);

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_CALLER_ANSWER_HPP
