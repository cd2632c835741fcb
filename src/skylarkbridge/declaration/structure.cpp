#include "skylarkbridge/declaration/structure.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/declaration/json.hpp"

namespace skylarkbridge::declaration {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxQuotedKey = 64;
constexpr std::size_t kMaxQuotedError = 200;

/// Receives the tokens of the parser; stops it at the first fault after which
/// the rest cannot be read.
class structure_reader {
 public:
  structure_reader(std::string_view text, findings& found)
      : text_(text), found_(found) {}

  // NOLINTBEGIN(readability-identifier-naming): named by nlohmann-json
  bool null() { return Value(); }
  bool boolean(bool) { return Value(); }
  bool number_integer(json::number_integer_t) { return Value(); }
  bool number_unsigned(json::number_unsigned_t) { return Value(); }
  bool number_float(json::number_float_t, const std::string&) {
    return Value();
  }
  bool string(std::string&) { return Value(); }
  bool binary(json::binary_t&) { return Value(); }
  bool start_object(std::size_t) { return Open(false); }
  bool start_array(std::size_t) { return Open(true); }
  bool end_object() { return Close(); }
  bool end_array() { return Close(); }
  bool key(std::string& name) {
    frame& top = frames_.back();
    top.key = absl::CEscape(name.substr(0, kMaxQuotedKey));
    if (!top.keys.insert(name).second && found_.Items().size() < kMaxFindings) {
      found_.Add(Place(), "appears twice");
    }
    return true;
  }
  bool parse_error(std::size_t position,
                   const std::string&,
                   const json::exception& error) {
    const std::string_view read =
        text_.substr(0, std::min(position, text_.size()));
    const auto line = std::count(read.begin(), read.end(), '\n') + 1;
    const std::size_t newline = read.rfind('\n');
    const std::size_t column = newline == std::string_view::npos
                                   ? read.size()
                                   : read.size() - newline - 1;
    std::string message = error.what();
    // Drops "[json.exception...] parse error at line 1, column 2: ".
    if (const std::size_t start = message.find(": ");
        start != std::string::npos) {
      message.erase(0, start + 2);
    }
    message.resize(std::min(message.size(), kMaxQuotedError));
    found_.Add(absl::StrCat("line ", line, ", column ", column),
               absl::StrCat("not valid JSON: ", absl::CEscape(message)));
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  struct frame {
    bool is_array = false;
    std::size_t count = 0;
    std::string key;
    absl::flat_hash_set<std::string> keys;
  };

  bool Value() {
    if (!frames_.empty()) {
      ++frames_.back().count;
    }
    return true;
  }

  bool Open(bool is_array) {
    Value();
    if (frames_.size() >= kMaxJsonDepth) {
      found_.Add(Place(), absl::StrCat("nested deeper than ", kMaxJsonDepth));
      return false;
    }
    frames_.push_back({.is_array = is_array});
    return true;
  }

  bool Close() {
    frames_.pop_back();
    return true;
  }

  std::string Place() const {
    std::string place;
    for (const frame& level : frames_) {
      if (level.is_array) {
        absl::StrAppend(&place, "[", level.count - 1, "]");
      } else {
        absl::StrAppend(&place, place.empty() ? "" : ".", level.key);
      }
    }
    return place;
  }

  std::string_view text_;
  findings& found_;
  std::vector<frame> frames_;
};

}  // namespace

bool CheckStructure(std::string_view text, findings& found) {
  if (text.size() > kMaxJsonBytes) {
    found.Add("input", absl::StrCat(text.size(), " bytes are more than ",
                                    kMaxJsonBytes));
    return false;
  }
  structure_reader reader(text, found);
  return json::sax_parse(text, &reader);
}

}  // namespace skylarkbridge::declaration
