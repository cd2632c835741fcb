#include "skylarkbridge/declaration/change.hpp"

#include <algorithm>
#include <string_view>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/declaration/check.hpp"

namespace skylarkbridge::declaration {
namespace {

template <class Item>
using items_by_name = absl::btree_map<std::string, Item>;

template <class Item>
items_by_name<Item> Index(const std::vector<Item>& items) {
  items_by_name<Item> index;
  for (const Item& item : items) {
    index.try_emplace(item.name, item);
  }
  return index;
}

template <class Item>
std::vector<Item> Values(items_by_name<Item> index) {
  std::vector<Item> items;
  items.reserve(index.size());
  for (auto& [name, item] : index) {
    items.push_back(std::move(item));
  }
  return items;
}

template <class Item>
void SortByName(std::vector<Item>& items) {
  std::stable_sort(
      items.begin(), items.end(),
      [](const Item& a, const Item& b) { return a.name < b.name; });
}

template <class Item>
item_changes<Item> Compare(const std::vector<Item>& from,
                           const std::vector<Item>& to) {
  const items_by_name<Item> before = Index(from);
  const items_by_name<Item> after = Index(to);
  item_changes<Item> changes;
  for (const auto& [name, item] : after) {
    const auto it = before.find(name);
    if (it == before.end()) {
      changes.added.push_back(item);
    } else if (it->second != item) {
      changes.changed.push_back(item);
    }
  }
  for (const auto& [name, item] : before) {
    if (!after.contains(name)) {
      changes.removed.push_back(name);
    }
  }
  return changes;
}

/// Applies the changes of one list and reports those that do not fit.
template <class Item>
class list_change {
 public:
  list_change(std::string_view list, findings& found)
      : list_(list), found_(found) {}

  std::vector<Item> Apply(const std::vector<Item>& base,
                          const item_changes<Item>& changes) {
    items_by_name<Item> items = Index(base);
    for (std::size_t i = 0; i < changes.removed.size(); ++i) {
      const std::string& name = changes.removed[i];
      if (Once("removed", i, name) && items.erase(name) == 0) {
        Report("removed", i, name, "does not exist");
      }
    }
    for (std::size_t i = 0; i < changes.changed.size(); ++i) {
      const Item& item = changes.changed[i];
      const auto it = items.find(item.name);
      if (!Once("changed", i, item.name)) {
        continue;
      }
      if (it == items.end()) {
        Report("changed", i, item.name, "does not exist");
      } else {
        it->second = item;
      }
    }
    for (std::size_t i = 0; i < changes.added.size(); ++i) {
      const Item& item = changes.added[i];
      if (Once("added", i, item.name) &&
          !items.try_emplace(item.name, item).second) {
        Report("added", i, item.name, "exists already");
      }
    }
    return Values(std::move(items));
  }

 private:
  /// An item that one change names twice has no defined result.
  bool Once(std::string_view action, std::size_t i, const std::string& name) {
    if (named_.insert(name).second) {
      return true;
    }
    Report(action, i, name, "is named twice in one change");
    return false;
  }

  void Report(std::string_view action,
              std::size_t i,
              const std::string& name,
              std::string_view fault) {
    found_.Add(absl::StrCat(ToAbsl(list_), ".", ToAbsl(action), "[", i, "]"),
               absl::StrCat("\"", name.substr(0, kMaxNameLength), "\" ",
                            ToAbsl(fault)));
  }

  std::string_view list_;
  findings& found_;
  absl::flat_hash_set<std::string> named_;
};

}  // namespace

configuration Canonical(configuration config) {
  SortByName(config.teams);
  SortByName(config.services);
  SortByName(config.batch_kinds);
  return config;
}

configuration_change MakeChange(const configuration& from,
                                const configuration& to) {
  return {.teams = Compare(from.teams, to.teams),
          .services = Compare(from.services, to.services),
          .batch_kinds = Compare(from.batch_kinds, to.batch_kinds)};
}

std::optional<configuration> ApplyChange(const configuration& base,
                                         const configuration_change& change,
                                         findings& found) {
  findings faults;
  configuration result;
  result.teams =
      list_change<team>("teams", faults).Apply(base.teams, change.teams);
  result.services = list_change<service>("services", faults)
                        .Apply(base.services, change.services);
  result.batch_kinds = list_change<batch_kind>("batch_kinds", faults)
                           .Apply(base.batch_kinds, change.batch_kinds);
  faults.Append(Check(result));
  found.Append(faults);
  if (!faults.Empty()) {
    return std::nullopt;
  }
  return result;
}

}  // namespace skylarkbridge::declaration
