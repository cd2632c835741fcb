#include "skylarkbridge/declaration/json.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/declaration/check.hpp"
#include "skylarkbridge/declaration/diff.hpp"
#include "skylarkbridge/declaration/fields.hpp"
#include "skylarkbridge/declaration/structure.hpp"

namespace skylarkbridge::declaration {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using std::chrono::milliseconds;

constexpr int kIndent = 2;
constexpr std::size_t kMaxQuotedKey = 64;
constexpr std::size_t kMaxListItems =
    std::max({kMaxTeams, kMaxServices, kMaxBatchKinds});

template <class T>
inline constexpr bool kIsVector = false;
template <class T>
inline constexpr bool kIsVector<std::vector<T>> = true;

struct json_writer {
  ordered_json& out;

  template <class T>
  void operator()(const field& about, const T& value) {
    out[std::string(about.key)] = Write(value);
  }

  template <class T>
  static ordered_json Write(const T& value) {
    if constexpr (has_fields<const T>) {
      ordered_json object = ordered_json::object();
      VisitFields(value, json_writer{object});
      return object;
    } else if constexpr (kIsVector<T>) {
      ordered_json list = ordered_json::array();
      for (const auto& item : value) {
        list.push_back(Write(item));
      }
      return list;
    } else if constexpr (std::is_same_v<T, milliseconds>) {
      return value.count();
    } else {
      return value;
    }
  }
};

/// Names that break the rules may hold any bytes; they are replaced, as dump
/// throws on bytes that are not UTF-8.
std::string Dump(const ordered_json& document) {
  return document.dump(kIndent, ' ', false,
                       ordered_json::error_handler_t::replace) +
         "\n";
}

/// Collects findings up to the limit, and counts the rest.
class bounded_findings {
 public:
  explicit bounded_findings(findings& out) : out_(out) {}

  void Add(std::string_view place, std::string_view message) {
    places_.insert(std::string(place));
    if (places_.size() > kMaxFindings) {
      ++hidden_;
      return;
    }
    out_.Add(place.empty() ? "input" : place, message);
  }

  /// Whether the place, or a place that contains it, has a finding.
  bool Covers(std::string_view place) const {
    for (std::size_t end = place.size(); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos
                        : place.find_last_of(".[", end - 1)) {
      if (places_.contains(std::string(place.substr(0, end)))) {
        return true;
      }
    }
    return false;
  }

  void Finish() {
    if (hidden_ > 0) {
      out_.Add("input", absl::StrCat(hidden_, " more findings are not shown"));
    }
  }

 private:
  findings& out_;
  absl::flat_hash_set<std::string> places_;
  std::size_t hidden_ = 0;
};

/// Reads the fields of one object. Passed to VisitFields.
class object_reader {
 public:
  object_reader(const json& in, std::string place, bounded_findings& found)
      : in_(in), place_(std::move(place)), found_(found) {}

  template <class T>
  void operator()(const field& about, T& value) {
    known_.insert(about.key);
    const auto it = in_.find(about.key);
    if (it != in_.end()) {
      Read(*it, Place(about.key), value, found_);
    } else if (about.required) {
      found_.Add(Place(about.key), "is missing");
    }
  }

  void ReportUnknownKeys() {
    for (const auto& [key, value] : in_.items()) {
      if (!known_.contains(key)) {
        found_.Add(Place(absl::CEscape(key.substr(0, kMaxQuotedKey))),
                   "unknown key");
      }
    }
  }

  template <has_fields T>
  static void Read(const json& in,
                   const std::string& place,
                   T& value,
                   bounded_findings& found) {
    if (!in.is_object()) {
      Expected("an object", in, place, found);
      return;
    }
    object_reader reader(in, place, found);
    VisitFields(value, reader);
    reader.ReportUnknownKeys();
  }

 private:
  std::string Place(std::string_view key) const {
    return absl::StrCat(place_, place_.empty() ? "" : ".", ToAbsl(key));
  }

  static void Expected(std::string_view type,
                       const json& in,
                       const std::string& place,
                       bounded_findings& found) {
    found.Add(place, absl::StrCat("expected ", ToAbsl(type), ", found ",
                                  in.type_name()));
  }

  template <class Item>
  static void Read(const json& in,
                   const std::string& place,
                   std::vector<Item>& value,
                   bounded_findings& found) {
    if (!in.is_array()) {
      Expected("an array", in, place, found);
      return;
    }
    if (in.size() > kMaxListItems) {
      found.Add(place, absl::StrCat(in.size(), " items are more than ",
                                    kMaxListItems));
      return;
    }
    value.resize(in.size());
    for (std::size_t i = 0; i < in.size(); ++i) {
      Read(in[i], absl::StrCat(place, "[", i, "]"), value[i], found);
    }
  }

  static void Read(const json& in,
                   const std::string& place,
                   std::string& value,
                   bounded_findings& found) {
    if (!in.is_string()) {
      Expected("a string", in, place, found);
      return;
    }
    value = in.get<std::string>();
  }

  static void Read(const json& in,
                   const std::string& place,
                   bool& value,
                   bounded_findings& found) {
    if (!in.is_boolean()) {
      Expected("true or false", in, place, found);
      return;
    }
    value = in.get<bool>();
  }

  static void Read(const json& in,
                   const std::string& place,
                   std::int64_t& value,
                   bounded_findings& found) {
    if (!in.is_number_integer()) {
      Expected("an integer", in, place, found);
      return;
    }
    if (in.is_number_unsigned() &&
        in.get<std::uint64_t>() >
            static_cast<std::uint64_t>(
                std::numeric_limits<std::int64_t>::max())) {
      found.Add(place, absl::StrCat(in.get<std::uint64_t>(), " is too large"));
      return;
    }
    value = in.get<std::int64_t>();
  }

  static void Read(const json& in,
                   const std::string& place,
                   milliseconds& value,
                   bounded_findings& found) {
    std::int64_t count = value.count();
    Read(in, place, count, found);
    value = milliseconds(count);
  }

  const json& in_;
  std::string place_;
  bounded_findings& found_;
  absl::flat_hash_set<std::string_view> known_;
};

template <class T>
void ReadDocument(std::string_view text,
                  T& value,
                  findings& faults,
                  bounded_findings& bounded) {
  if (CheckStructure(text, faults)) {
    object_reader::Read(json::parse(text), "", value, bounded);
  }
}

}  // namespace

std::string PrintJson(const configuration& config) {
  return Dump(json_writer::Write(Canonical(config)));
}

std::optional<configuration> ParseJson(std::string_view text, findings& found) {
  findings faults;
  bounded_findings bounded(faults);
  configuration config;
  ReadDocument(text, config, faults, bounded);
  // A field of the wrong type keeps its default, about which nothing more is
  // to be said.
  const findings content = Check(config);
  for (const finding& item : content.Items()) {
    if (!bounded.Covers(item.place)) {
      bounded.Add(item.place, item.message);
    }
  }
  bounded.Finish();
  found.Append(faults);
  if (!faults.Empty()) {
    return std::nullopt;
  }
  return config;
}

std::string PrintChangeJson(const configuration_change& change) {
  return Dump(json_writer::Write(change));
}

std::optional<configuration_change> ParseChangeJson(std::string_view text,
                                                    findings& found) {
  findings faults;
  bounded_findings bounded(faults);
  configuration_change change;
  ReadDocument(text, change, faults, bounded);
  bounded.Finish();
  found.Append(faults);
  if (!faults.Empty()) {
    return std::nullopt;
  }
  return change;
}

std::string PrintJson(const std::vector<item_change>& changes) {
  ordered_json list = ordered_json::array();
  for (const item_change& change : changes) {
    ordered_json item = {{"kind", std::string(Name(change.kind))},
                         {"action", std::string(Name(change.action))},
                         {"name", change.name},
                         {"fields", ordered_json::array()},
                         {"text", Format(change)}};
    for (const field_change& field : change.fields) {
      item["fields"].push_back({{"field", field.field},
                                {"unit", field.unit},
                                {"old", field.old_value},
                                {"new", field.new_value}});
    }
    list.push_back(std::move(item));
  }
  return Dump(list);
}

}  // namespace skylarkbridge::declaration
