#ifndef SKYLARKBRIDGE_WIRE_JSON_FIELDS_HPP
#define SKYLARKBRIDGE_WIRE_JSON_FIELDS_HPP

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/coordination/ballot.hpp"
#include "skylarkbridge/encoding/bounded_parse.hpp"
#include "skylarkbridge/encoding/numbers.hpp"

namespace skylarkbridge::wire {

using json = nlohmann::ordered_json;

/// @brief Reads the fields of one JSON object and collects what is wrong.
class json_fields {
 public:
  json_fields(const json& object, std::string place, findings& found)
      : object_(object), place_(std::move(place)), found_(found) {
    if (!object_.is_object()) {
      found_.Add(place_, "is not an object");
    }
  }

  template <class T = std::uint64_t>
  T Number(const char* key) {
    const json* field = Find(key);
    if (field == nullptr || !field->is_number_unsigned()) {
      Fault(key, "is not a non-negative integer");
      return {};
    }
    const auto number = field->get<std::uint64_t>();
    if (!std::in_range<T>(number)) {
      Fault(key, "is too large");
      return {};
    }
    return static_cast<T>(number);
  }

  /// @brief A number of @p Unit, which is at most encoding::kMaxDuration.
  template <class Unit>
  Unit Duration(const char* key) {
    const auto count = Number<std::int64_t>(key);
    if (count >
        std::chrono::duration_cast<Unit>(encoding::kMaxDuration).count()) {
      Fault(key, "is too long");
      return {};
    }
    return Unit(count);
  }

  std::string Text(const char* key) {
    const json* field = Find(key);
    if (field == nullptr || !field->is_string()) {
      Fault(key, "is not a text");
      return {};
    }
    return field->get<std::string>();
  }

  std::optional<std::string> OptionalText(const char* key) {
    if (Find(key) == nullptr) {
      return std::nullopt;
    }
    return Text(key);
  }

  bool Flag(const char* key) {
    const json* field = Find(key);
    if (field == nullptr || !field->is_boolean()) {
      Fault(key, "is neither true nor false");
      return false;
    }
    return field->get<bool>();
  }

  /// @brief Reader of a nested object; every field of a missing one is a fault.
  json_fields Object(const char* key) {
    static const json missing;
    const json* field = Find(key);
    return {field == nullptr ? missing : *field, Place(key), found_};
  }

  bool Has(const char* key) const { return Find(key) != nullptr; }

  /// @brief Calls @p read with a reader for each element of an array.
  template <class Read>
  void ForEach(const char* key, std::size_t limit, Read read) {
    const json* field = Find(key);
    if (field == nullptr || !field->is_array() || field->size() > limit) {
      Fault(key, absl::StrCat("is not an array of at most ", limit, " items"));
      return;
    }
    for (std::size_t i = 0; i < field->size(); ++i) {
      json_fields item((*field)[i], absl::StrCat(Place(key), "[", i, "]"),
                       found_);
      read(item);
    }
  }

  void Fault(const char* key, const std::string& message) {
    found_.Add(Place(key), message);
  }

 private:
  const json* Find(const char* key) const {
    const auto found = object_.is_object() ? object_.find(key) : object_.end();
    return found == object_.end() ? nullptr : &*found;
  }
  std::string Place(const char* key) const {
    return place_.empty() ? key : absl::StrCat(place_, ".", key);
  }

  const json& object_;
  std::string place_;
  findings& found_;
};

/// @brief Parses a JSON document; null when it is malformed or nested too
/// deeply.
inline json ParseDocument(std::string_view text) {
  json document = encoding::ParseJsonOrDiscard<json>(text);
  return document.is_discarded() ? json() : document;
}

inline json ToJson(const coordination::ballot& value) {
  return {{"round", value.round},
          {"vm", value.vm.value},
          {"incarnation", value.incarnation.value}};
}

inline coordination::ballot ReadBallot(json_fields fields) {
  return {.round = fields.Number("round"),
          .vm = {fields.Number("vm")},
          .incarnation = {fields.Number("incarnation")}};
}

inline json ToJson(const resources& value) {
  return {{"millicores", value.millicores},
          {"memory_mib", value.memory_mib},
          {"accelerators", value.accelerators}};
}

inline resources ReadResources(json_fields fields) {
  return {.millicores = fields.Number<std::int64_t>("millicores"),
          .memory_mib = fields.Number<std::int64_t>("memory_mib"),
          .accelerators = fields.Number<std::int64_t>("accelerators")};
}

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_JSON_FIELDS_HPP
