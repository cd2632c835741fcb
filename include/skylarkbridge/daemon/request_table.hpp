#ifndef SKYLARKBRIDGE_DAEMON_REQUEST_TABLE_HPP
#define SKYLARKBRIDGE_DAEMON_REQUEST_TABLE_HPP

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/daemon/control_messages.hpp"
#include "skylarkbridge/daemon/slot_part.hpp"
#include "skylarkbridge/scheduling/dispatcher.hpp"

namespace skylarkbridge::daemon {

/// @brief Joins the dispatcher with the traffic threads that wait for its
/// commands. Used by the control thread only.
class request_table {
 public:
  request_table(scheduling::dispatcher_options options, slot_part& slots)
      : slots_(slots), dispatcher_(options) {}

  void Handle(request_message message, time_point now);
  void Handle(attempt_message message, time_point now);
  void Configure(const declaration::configuration& configuration,
                 time_point now);
  void Update(const scheduling::upstream_state& state, time_point now);
  void Tick(time_point now);
  std::optional<time_point> NextDeadline() const;

  /// @brief Requests that ended without an answer since the last call.
  std::vector<scheduling::finish_request> TakeEnded() {
    return std::exchange(ended_, {});
  }

 private:
  void Carry(scheduling::request_commands commands, time_point now);
  /// Hands a command to the waiting traffic thread. A start takes a slot
  /// first. False when the command cannot be carried out.
  bool Deliver(scheduling::request_command command, time_point now);

  slot_part& slots_;
  std::vector<scheduling::finish_request> ended_;
  scheduling::dispatcher dispatcher_;
  absl::flat_hash_map<request_id, std::shared_ptr<entry::request_reply>>
      replies_;
  /// Upstream of each attempt that holds a slot.
  absl::flat_hash_map<std::pair<request_id, std::uint32_t>, worker_id> used_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_REQUEST_TABLE_HPP
