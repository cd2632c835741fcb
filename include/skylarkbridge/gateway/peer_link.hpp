#ifndef SKYLARKBRIDGE_GATEWAY_PEER_LINK_HPP
#define SKYLARKBRIDGE_GATEWAY_PEER_LINK_HPP

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/file_descriptor.hpp"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/gateway/peer_hello.hpp"
#include "skylarkbridge/gateway/reconnect_delay.hpp"
#include "skylarkbridge/gateway/send_queue.hpp"
#include "skylarkbridge/gateway/wake_event.hpp"

namespace skylarkbridge::gateway {

struct peer_link_options {
  reconnect_options reconnect;
  send_queue_limits queue;
  /// A message that waits longer is dropped: a late heartbeat would pass a
  /// dead VM off as alive.
  std::chrono::milliseconds message_age{1000};
  /// For the connection and the exchange of hellos together.
  std::chrono::milliseconds connect_timeout{1000};
  /// The connection fails when it takes no bytes, or the peer acknowledges
  /// none, for this time.
  std::chrono::milliseconds send_timeout{3000};
};

struct peer_target {
  entry_vm_id vm;
  ip_address address;

  bool operator==(const peer_target&) const = default;
};

/// @brief Sends messages to one peer at a time over a connection of its own,
/// and connects again when it breaks.
///
/// A frame that was partly written when the connection broke is not sent
/// again, as the peer may have it.
class peer_link {
 public:
  /// @param seed of the random part of the waits. Fails with `failure`.
  static boost::leaf::result<std::unique_ptr<peer_link>> Open(
      const peer_identity& identity,
      peer_link_options options,
      std::uint64_t seed);

  /// @brief Sends to this peer from now on. Another target drops what is
  /// queued and closes the connection; nothing leaves the link idle.
  void SetTarget(std::optional<peer_target> target);

  /// @brief Queues a frame without blocking. False when the queue is full or
  /// there is no target.
  bool TrySend(std::string frame);

  /// @brief Body of the child that runs the link. After a stop request it
  /// sends what is queued, until the drain deadline.
  boost::leaf::result<void> Run(stop_signal& stop);

 private:
  struct work {
    std::optional<peer_target> target;
    std::uint64_t generation = 0;
    bool has_frames = false;
  };

  peer_link(const peer_identity& identity,
            peer_link_options options,
            std::uint64_t seed,
            wake_event wake);

  work CurrentWork();
  bool Changed(std::uint64_t generation) const;
  std::string TakeFrames();
  boost::leaf::result<void> Serve(const work& job, const stop_signal& stop);
  boost::leaf::result<file_descriptor> Connect(const work& job) const;
  boost::leaf::result<void> ExchangeHello(const file_descriptor& socket,
                                          const work& job,
                                          time_point deadline) const;
  boost::leaf::result<void> SendQueued(const file_descriptor& socket,
                                       const work& job,
                                       const stop_signal& stop);
  bool ServeAndReport(const work& job, const stop_signal& stop);
  void WaitForRetry(const work& job, const stop_signal& stop);

  const peer_identity& identity_;
  const peer_link_options options_;
  const wake_event wake_;
  reconnect_delay delay_;

  mutable absl::Mutex mutex_;
  std::optional<peer_target> target_ ABSL_GUARDED_BY(mutex_);
  /// Rises with each change of the target.
  std::uint64_t generation_ ABSL_GUARDED_BY(mutex_) = 0;
  send_queue queue_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_PEER_LINK_HPP
