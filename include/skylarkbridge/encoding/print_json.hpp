#ifndef SKYLARKBRIDGE_ENCODING_PRINT_JSON_HPP
#define SKYLARKBRIDGE_ENCODING_PRINT_JSON_HPP

#include <nlohmann/json.hpp>
#include <string>

namespace skylarkbridge::encoding {

/// @brief Prints a document without spaces. Replaces bytes that are not UTF-8,
/// for which the JSON library throws by default; texts may come from records
/// and requests of other programs.
template <class Json>
std::string PrintJson(const Json& document) {
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace skylarkbridge::encoding

#endif  // SKYLARKBRIDGE_ENCODING_PRINT_JSON_HPP
