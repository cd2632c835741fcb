#ifndef SKYLARKBRIDGE_ENTRY_STORED_ANSWER_HPP
#define SKYLARKBRIDGE_ENTRY_STORED_ANSWER_HPP

#include <optional>
#include <string>

#include "skylarkbridge/gateway/upstream_client.hpp"

namespace skylarkbridge::entry {

/// @brief An upstream's answer as bytes that are kept under an idempotency key.
/// Nothing when it is too large to be kept.
std::optional<std::string> EncodeStoredAnswer(
    const gateway::upstream_response& response);

/// @brief Nothing when the bytes are damaged.
std::optional<gateway::upstream_response> DecodeStoredAnswer(
    const std::string& bytes);

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_STORED_ANSWER_HPP
