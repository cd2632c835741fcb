#include "skylarkbridge/declaration/diff.hpp"

#include <chrono>
#include <type_traits>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/declaration/change.hpp"
#include "skylarkbridge/declaration/fields.hpp"

namespace skylarkbridge::declaration {
namespace {

/// Lists the plain fields of an item with their values as text.
struct describer {
  std::vector<field_change>& out;
  std::string path;
  std::string label;

  template <class T>
  void operator()(const field& about, const T& value) {
    const std::string full = absl::StrCat(path, ToAbsl(about.key));
    const std::string words = absl::StrCat(label, ToAbsl(about.label));
    if constexpr (has_fields<const T>) {
      VisitFields(value, describer{out, full + ".",
                                   words.empty() ? words : words + " "});
    } else {
      out.push_back({.field = full,
                     .label = words,
                     .unit = std::string(about.unit),
                     .old_value = Text(value)});
    }
  }

  static std::string Text(const std::string& value) { return value; }
  static std::string Text(bool value) { return value ? "true" : "false"; }
  static std::string Text(std::int64_t value) { return absl::StrCat(value); }
  static std::string Text(std::chrono::milliseconds value) {
    return absl::StrCat(value.count());
  }
};

template <class Item>
std::vector<field_change> Describe(const Item& item) {
  std::vector<field_change> fields;
  VisitFields(item, describer{fields, "", ""});
  return fields;
}

template <class Item>
std::vector<field_change> CompareFields(const Item& from, const Item& to) {
  const std::vector<field_change> after = Describe(to);
  std::vector<field_change> differences;
  std::size_t i = 0;
  for (field_change& before : Describe(from)) {
    before.new_value = after[i++].old_value;
    if (before.old_value != before.new_value) {
      differences.push_back(std::move(before));
    }
  }
  return differences;
}

template <class Item>
void AddChanges(item_kind kind,
                const std::vector<Item>& from,
                const item_changes<Item>& changes,
                std::vector<item_change>& out) {
  absl::flat_hash_map<std::string, const Item*> before;
  for (const Item& item : from) {
    before.try_emplace(item.name, &item);
  }
  for (const Item& item : changes.added) {
    out.push_back({kind, change_action::kAdded, item.name, {}});
  }
  for (const Item& item : changes.changed) {
    out.push_back({kind, change_action::kChanged, item.name,
                   CompareFields(*before.at(item.name), item)});
  }
  for (const std::string& name : changes.removed) {
    out.push_back({kind, change_action::kRemoved, name, {}});
  }
}

std::string FormatField(const field_change& change) {
  return absl::StrCat(change.label, " ", change.old_value, " -> ",
                      change.new_value, change.unit.empty() ? "" : " ",
                      change.unit);
}

}  // namespace

std::string_view Name(item_kind kind) {
  switch (kind) {
    case item_kind::kTeam:
      return "team";
    case item_kind::kService:
      return "service";
    case item_kind::kBatchKind:
      return "batch kind";
  }
  return "";
}

std::string_view Name(change_action action) {
  switch (action) {
    case change_action::kAdded:
      return "added";
    case change_action::kChanged:
      return "changed";
    case change_action::kRemoved:
      return "removed";
  }
  return "";
}

std::vector<item_change> Diff(const configuration& from,
                              const configuration& to) {
  const configuration_change change = MakeChange(from, to);
  std::vector<item_change> out;
  AddChanges(item_kind::kTeam, from.teams, change.teams, out);
  AddChanges(item_kind::kService, from.services, change.services, out);
  AddChanges(item_kind::kBatchKind, from.batch_kinds, change.batch_kinds, out);
  return out;
}

std::string Format(const item_change& change) {
  const std::string item =
      absl::StrCat(ToAbsl(Name(change.kind)), " ", change.name, ": ");
  if (change.action != change_action::kChanged) {
    return absl::StrCat(item, ToAbsl(Name(change.action)));
  }
  return item + absl::StrJoin(change.fields, ", ",
                              [](std::string* out, const field_change& field) {
                                absl::StrAppend(out, FormatField(field));
                              });
}

std::string Format(const std::vector<item_change>& changes) {
  std::string text;
  for (const item_change& change : changes) {
    absl::StrAppend(&text, Format(change), "\n");
  }
  return text;
}

}  // namespace skylarkbridge::declaration
