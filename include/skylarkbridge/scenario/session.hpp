#ifndef SKYLARKBRIDGE_SCENARIO_SESSION_HPP
#define SKYLARKBRIDGE_SCENARIO_SESSION_HPP

#include <chrono>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "skylarkbridge/scenario/command.hpp"
#include "skylarkbridge/scenario/world.hpp"

namespace skylarkbridge::scenario {

/// @brief One run of a scenario from time 0. A command goes to every part that
/// knows it: a worker that dies ends both requests and tasks.
template <world... Worlds>
class basic_session {
 public:
  /// @brief Output lines of the command; "error: ..." when it is not valid.
  std::vector<std::string> Run(std::string_view text) {
    command line(text);
    if (line.Take({"advance"})) {
      const auto duration = line.Duration("duration");
      if (line.Done()) {
        std::apply([&](auto&... part) { (part.Advance(duration), ...); },
                   worlds_);
      }
    } else if (line.Take({"check"})) {
      if (line.Done()) {
        Check(line);
      }
    } else if (!RunInAll(text, line)) {
      line.Fail("unknown command");
    }
    if (line.Error()) {
      return {"error: " + *line.Error()};
    }
    return std::move(line.Output());
  }

 private:
  bool RunInAll(std::string_view text, command& line) {
    bool known = false;
    std::apply(
        [&](auto&... part) {
          ((known = RunIn(part, text, line) || known), ...);
        },
        worlds_);
    return known;
  }

  /// Each part reads the words from their beginning.
  template <class World>
  static bool RunIn(World& part, std::string_view text, command& all) {
    command line(text);
    const bool known = part.Run(line);
    if (line.Error()) {
      all.Fail(*line.Error());
    }
    for (std::string& output : line.Output()) {
      all.Print(std::move(output));
    }
    return known;
  }

  void Check(command& line) {
    std::apply(
        [&](auto&... part) {
          const auto print = [&](const std::vector<std::string>& violations) {
            for (const std::string& violation : violations) {
              line.Print(violation);
            }
          };
          (print(part.Violations()), ...);
        },
        worlds_);
    if (line.Output().empty()) {
      line.Print("no violations");
    }
  }

  std::tuple<Worlds...> worlds_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_SESSION_HPP
