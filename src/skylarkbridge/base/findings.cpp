#include "skylarkbridge/base/findings.hpp"

#include "absl/strings/str_cat.h"

namespace skylarkbridge {

void findings::Add(std::string_view place, std::string_view message) {
  items_.push_back({std::string(place), std::string(message)});
}

void findings::Append(const findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string Format(const findings& all) {
  std::string text;
  for (const finding& item : all.Items()) {
    absl::StrAppend(&text, item.place, ": ", item.message, "\n");
  }
  return text;
}

}  // namespace skylarkbridge
