#ifndef SKYLARKBRIDGE_ENCODING_BOUNDED_PARSE_HPP
#define SKYLARKBRIDGE_ENCODING_BOUNDED_PARSE_HPP

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

/// @brief Parsers for documents that other programs have written. The stack and
/// the memory that they take are bounded by the size of the document.
namespace skylarkbridge::encoding {

/// @brief Deepest nesting of arrays and objects that is accepted. Copies of a
/// document and the MessagePack parser recurse, so that deeper ones could
/// overflow the stack.
inline constexpr std::size_t kMaxDepth = 64;

/// @brief Whether JSON text nests deeper than kMaxDepth. Malformed text is
/// judged up to any point.
bool IsTooDeep(std::string_view json_text);

/// @brief Whether the containers of a MessagePack document nest deeper than
/// kMaxDepth, or one states more items than bytes follow.
bool IsMessagePackOutOfBounds(std::string_view bytes);

/// @brief Throws nlohmann::json::exception with @p reason.
[[noreturn]] void ThrowInvalid(const std::string& reason);

/// @brief Returns @p value. Throws nlohmann::json::exception when it is not an
/// array; a loop over another value would visit the value itself.
const nlohmann::json& RequireArray(const nlohmann::json& value);

/// @brief Returns the text of an exception, which may quote the document: with
/// bounded length, and "?" for every byte that is not printable ASCII.
std::string Message(const nlohmann::json::exception& error);

/// @brief Parses JSON text. Throws nlohmann::json::exception when it is
/// malformed or nests deeper than kMaxDepth.
template <class Json = nlohmann::json>
Json ParseJson(std::string_view text) {
  if (IsTooDeep(text)) {
    ThrowInvalid("nested too deeply");
  }
  return Json::parse(text);
}

/// @brief Like ParseJson, but returns a discarded value instead of throwing.
template <class Json = nlohmann::json>
Json ParseJsonOrDiscard(std::string_view text) {
  return IsTooDeep(text) ? Json(nlohmann::detail::value_t::discarded)
                         : Json::parse(text, nullptr, false);
}

/// @brief Parses a MessagePack document. Throws nlohmann::json::exception when
/// it is malformed or IsMessagePackOutOfBounds.
nlohmann::json ParseMessagePack(std::string_view bytes);

}  // namespace skylarkbridge::encoding

#endif  // SKYLARKBRIDGE_ENCODING_BOUNDED_PARSE_HPP
