#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_PORT_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_PORT_HPP

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/daemon/control_messages.hpp"

namespace skylarkbridge::daemon {

/// @brief What traffic threads see of the control thread: a bounded mailbox and
/// the configuration in force.
class control_port {
 public:
  /// @param capacity most arrivals that wait for the control thread.
  explicit control_port(std::size_t capacity) : messages_(capacity) {}

  bool Arrive(const scheduling::request_arrived& arrived,
              std::shared_ptr<entry::request_reply> reply) {
    return messages_.TrySend(request_message{arrived, std::move(reply)});
  }

  // Bounded by the attempts that were started, and never refused: a lost
  // message would leave a slot in use.
  bool Finish(const scheduling::attempt_finished& finished,
              std::shared_ptr<entry::request_reply> reply) {
    return messages_.SendUnbounded(attempt_message{finished, std::move(reply)});
  }

  bool Configure(
      std::shared_ptr<const declaration::configuration> configuration) {
    return messages_.SendUnbounded(
        configuration_message{std::move(configuration)});
  }

  bool Update(wire::vm_list list) {
    return messages_.TrySend(vm_list_message{std::move(list)});
  }

  /// @brief Configuration in force, or null while there is none.
  std::shared_ptr<const declaration::configuration> Declared() const {
    absl::MutexLock lock(&mutex_);
    return declared_;
  }

  /// @brief Called by the control thread when a configuration takes effect.
  void SetDeclared(
      std::shared_ptr<const declaration::configuration> configuration) {
    absl::MutexLock lock(&mutex_);
    declared_ = std::move(configuration);
  }

  mailbox<control_message>& Messages() { return messages_; }

 private:
  mailbox<control_message> messages_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const declaration::configuration> declared_
      ABSL_GUARDED_BY(mutex_);
};

static_assert(entry::request_control<control_port>);

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_PORT_HPP
