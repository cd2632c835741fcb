#include "skylarkbridge/entry/submit_request.hpp"

#include <nlohmann/json.hpp>

#include "skylarkbridge/encoding/bounded_parse.hpp"

namespace skylarkbridge::entry {

std::optional<std::string> ReadSubmitRequest(std::string_view body,
                                             findings& found) {
  const nlohmann::json document = encoding::ParseJsonOrDiscard(body);
  if (!document.is_object()) {
    found.Add("body", "is not a JSON object");
    return std::nullopt;
  }
  findings faults;
  for (const auto& [key, value] : document.items()) {
    if (key != "kind") {
      faults.Add(key, "is not a known key");
    }
  }
  const auto kind = document.find("kind");
  if (kind == document.end() || !kind->is_string()) {
    faults.Add("kind", "is not a text");
  }
  found.Append(faults);
  return faults.Empty() ? std::optional(kind->get<std::string>())
                        : std::nullopt;
}

}  // namespace skylarkbridge::entry
