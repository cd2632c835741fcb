#ifndef SKYLARKBRIDGE_DECLARATION_FIELDS_HPP
#define SKYLARKBRIDGE_DECLARATION_FIELDS_HPP

#include <concepts>
#include <string_view>
#include <type_traits>

#include "skylarkbridge/declaration/change.hpp"
#include "skylarkbridge/declaration/configuration.hpp"

/// The one list of fields that printing, reading and comparing share, so that
/// no field can be missing from one of them.
namespace skylarkbridge::declaration {

struct field {
  /// Key in JSON.
  std::string_view key;
  /// Name in words; nothing for a group whose members speak for themselves.
  std::string_view label;
  std::string_view unit;
  /// Whether JSON input must contain it.
  bool required = false;
};

template <class T, class Plain>
concept maybe_const = std::same_as<std::remove_const_t<T>, Plain>;

template <maybe_const<share> T, class Visitor>
void VisitFields(T& item, Visitor&& visit) {
  visit(field{"minimum_permille", "minimum", "permille"},
        item.minimum_permille);
  visit(field{"cap_permille", "cap", "permille"}, item.cap_permille);
}

template <maybe_const<resources> T, class Visitor>
void VisitFields(T& item, Visitor&& visit) {
  visit(field{"millicores", "processors", "millicores"}, item.millicores);
  visit(field{"memory_mib", "memory", "MiB"}, item.memory_mib);
  visit(field{"accelerators", "accelerators"}, item.accelerators);
}

template <maybe_const<team> T, class Visitor>
void VisitFields(T& item, Visitor&& visit) {
  visit(field{.key = "name", .label = "name", .required = true}, item.name);
  visit(field{"claim"}, item.claim);
  visit(field{"quota", "quota of"}, item.quota);
}

template <maybe_const<service> T, class Visitor>
void VisitFields(T& item, Visitor&& visit) {
  visit(field{.key = "name", .label = "name", .required = true}, item.name);
  visit(field{.key = "team", .label = "team", .required = true}, item.team);
  visit(field{"claim"}, item.claim);
  visit(field{"default_deadline_ms", "default deadline", "ms"},
        item.default_deadline);
  visit(field{"longest_deadline_ms", "longest deadline", "ms"},
        item.longest_deadline);
  visit(field{"latency_objective_ms", "latency objective", "ms"},
        item.latency_objective);
  visit(field{"idempotent", "idempotent"}, item.idempotent);
  visit(field{"spill", "spill"}, item.spill);
  visit(field{"queue_limit", "queue limit", "requests"}, item.queue_limit);
  visit(field{"urgency", "urgency"}, item.urgency);
}

template <maybe_const<batch_kind> T, class Visitor>
void VisitFields(T& item, Visitor&& visit) {
  visit(field{.key = "name", .label = "name", .required = true}, item.name);
  visit(field{.key = "team", .label = "team", .required = true}, item.team);
  visit(field{"claim"}, item.claim);
  visit(field{"size"}, item.size);
  visit(field{"run_time_ms", "run time", "ms"}, item.run_time);
  visit(field{"idempotent", "idempotent"}, item.idempotent);
  visit(field{"checkpoints", "checkpoints"}, item.checkpoints);
  visit(field{"rack_limit", "rack limit", "tasks"}, item.rack_limit);
  visit(field{"queue_limit", "queue limit", "tasks"}, item.queue_limit);
  visit(field{"urgency", "urgency"}, item.urgency);
}

template <maybe_const<configuration> T, class Visitor>
void VisitFields(T& item, Visitor&& visit) {
  visit(field{"teams"}, item.teams);
  visit(field{"services"}, item.services);
  visit(field{"batch_kinds"}, item.batch_kinds);
}

template <class T>
inline constexpr bool kIsItemChanges = false;
template <class Item>
inline constexpr bool kIsItemChanges<item_changes<Item>> = true;

template <class T, class Visitor>
requires kIsItemChanges<std::remove_const_t<T>>
void VisitFields(T& item, Visitor&& visit) {
  visit(field{"added"}, item.added);
  visit(field{"changed"}, item.changed);
  visit(field{"removed"}, item.removed);
}

template <maybe_const<configuration_change> T, class Visitor>
void VisitFields(T& item, Visitor&& visit) {
  visit(field{"teams"}, item.teams);
  visit(field{"services"}, item.services);
  visit(field{"batch_kinds"}, item.batch_kinds);
}

struct ignore_fields {
  template <class T>
  void operator()(const field&, T&) const {}
};

/// @brief A struct whose fields can be visited.
template <class T>
concept has_fields = requires(T& item) {
  VisitFields(item, ignore_fields{});
};

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_FIELDS_HPP
