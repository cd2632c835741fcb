#ifndef SKYLARKBRIDGE_DAEMON_KEY_PART_HPP
#define SKYLARKBRIDGE_DAEMON_KEY_PART_HPP

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/key_registry.hpp"
#include "skylarkbridge/daemon/control_messages.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"

namespace skylarkbridge::daemon {

/// @brief Requests with idempotency keys that this VM carries out.
class key_part {
 public:
  /// @brief Looks up the key of a request at its home shard's registry; null
  /// when this VM does not own the shard. Returns true when the request is to
  /// be carried out, and answers it otherwise.
  bool Admit(const request_message& message,
             shard_id home,
             coordination::key_registry* registry,
             time_point now);

  /// @brief Home shard of a request that is being carried out under a key.
  std::optional<shard_id> HomeOf(request_id request) const;
  /// @brief An upstream answered. A null @p registry was given up meanwhile.
  void Answered(const entry::ending_attempt& attempt,
                coordination::key_registry* registry);
  /// @brief The request ended without an answer.
  void Ended(const scheduling::finish_request& finish,
             coordination::key_registry* registry);

 private:
  struct running_request {
    shard_id home;
    coordination::idempotency_key key;
  };

  absl::flat_hash_map<request_id, running_request> running_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_KEY_PART_HPP
