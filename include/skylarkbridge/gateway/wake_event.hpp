#ifndef SKYLARKBRIDGE_GATEWAY_WAKE_EVENT_HPP
#define SKYLARKBRIDGE_GATEWAY_WAKE_EVENT_HPP

#include <boost/leaf/result.hpp>

#include "skylarkbridge/base/file_descriptor.hpp"

namespace skylarkbridge::gateway {

/// @brief Wakes a thread that blocks in poll.
class wake_event {
 public:
  /// @brief Fails with `failure` when there are no descriptors left.
  static boost::leaf::result<wake_event> Open();

  /// @brief Makes the descriptor readable. May be called from any thread.
  void Signal() const;
  /// @brief Makes the descriptor unreadable again.
  void Clear() const;
  /// @brief Descriptor to poll for POLLIN.
  int Descriptor() const { return descriptor_.Get(); }

 private:
  explicit wake_event(file_descriptor descriptor)
      : descriptor_(std::move(descriptor)) {}

  file_descriptor descriptor_;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_WAKE_EVENT_HPP
