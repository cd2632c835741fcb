#ifndef SKYLARKBRIDGE_DAEMON_REQUEST_TABLE_HPP
#define SKYLARKBRIDGE_DAEMON_REQUEST_TABLE_HPP

#include <memory>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/daemon/control_messages.hpp"
#include "skylarkbridge/scheduling/dispatcher.hpp"

namespace skylarkbridge::daemon {

/// @brief Joins the dispatcher with the traffic threads that wait for its
/// commands. Used by the control thread only.
class request_table {
 public:
  explicit request_table(scheduling::dispatcher_options options)
      : dispatcher_(options) {}

  void Handle(request_message message, time_point now);
  void Handle(attempt_message message, time_point now);
  void Configure(const declaration::configuration& configuration,
                 time_point now);
  void Update(const scheduling::upstream_state& state, time_point now);
  void Tick(time_point now);
  std::optional<time_point> NextDeadline() const;

 private:
  void Carry(scheduling::request_commands commands, time_point now);
  bool Deliver(const scheduling::request_command& command);

  scheduling::dispatcher dispatcher_;
  absl::flat_hash_map<request_id, std::shared_ptr<entry::request_reply>>
      replies_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_REQUEST_TABLE_HPP
