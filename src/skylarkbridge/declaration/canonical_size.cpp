#include "skylarkbridge/declaration/canonical_size.hpp"

#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/declaration/fields.hpp"

namespace skylarkbridge::declaration {
namespace {

constexpr std::size_t kIndent = 2;

std::size_t Size(const std::string& value, std::size_t) {
  return value.size() + 2;
}
std::size_t Size(bool value, std::size_t) {
  return value ? 4 : 5;
}
std::size_t Size(std::int64_t value, std::size_t) {
  return absl::StrCat(value).size();
}
std::size_t Size(std::chrono::milliseconds value, std::size_t) {
  return absl::StrCat(value.count()).size();
}

template <has_fields T>
std::size_t Size(const T& value, std::size_t depth);

/// Each member stands on an indented line that ends with a comma or, for the
/// last one, without; the brackets and the closing line follow.
template <class Item>
std::size_t Size(const std::vector<Item>& list, std::size_t depth) {
  if (list.empty()) {
    return 2;
  }
  std::size_t size = 0;
  for (const Item& item : list) {
    size += (depth + 1) * kIndent + Size(item, depth + 1) + 2;
  }
  return size + 2 + depth * kIndent;
}

struct member_counter {
  std::size_t depth;
  std::size_t size = 0;

  template <class T>
  void operator()(const field& about, const T& value) {
    // Quotes, colon and space around the key take 4 bytes.
    size += depth * kIndent + about.key.size() + 4 + Size(value, depth) + 2;
  }
};

template <has_fields T>
std::size_t Size(const T& value, std::size_t depth) {
  member_counter members{.depth = depth + 1};
  VisitFields(value, members);
  return members.size + 2 + depth * kIndent;
}

}  // namespace

std::size_t CanonicalSize(const configuration& config) {
  return Size(config, 0) + 1;
}

}  // namespace skylarkbridge::declaration
