#ifndef SKYLARKBRIDGE_DECLARATION_DECLARE_HPP
#define SKYLARKBRIDGE_DECLARATION_DECLARE_HPP

#include <concepts>
#include <cstdint>
#include <iostream>
#include <utility>

#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::declaration {

/// @brief A team, a service or a batch kind.
template <class T>
concept declared_item = std::same_as<T, team> || std::same_as<T, service> ||
    std::same_as<T, batch_kind>;

inline void Add(configuration& config, team item) {
  config.teams.push_back(std::move(item));
}
inline void Add(configuration& config, service item) {
  config.services.push_back(std::move(item));
}
inline void Add(configuration& config, batch_kind item) {
  config.batch_kinds.push_back(std::move(item));
}

/// @brief Makes a configuration of teams, services and batch kinds in any
/// order.
template <declared_item... Items>
configuration Declare(Items... items) {
  configuration config;
  (Add(config, std::move(items)), ...);
  return config;
}

/// @brief Millicores of a number of whole processors.
constexpr std::int64_t Cores(std::int64_t count) {
  return count * 1000;
}

/// @brief Mebibytes of a number of gibibytes.
constexpr std::int64_t Gibibytes(std::int64_t count) {
  return count * 1024;
}

/// @brief Prints the canonical JSON of a sound configuration to @p out, or all
/// findings to @p errors. Returns the exit code for `main`: 0 or 1.
int PrintOrReport(const configuration& config,
                  std::ostream& out = std::cout,
                  std::ostream& errors = std::cerr);

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_DECLARE_HPP
