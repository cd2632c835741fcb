#include "skylarkbridge/gateway/wake_event.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/leaf/error.hpp>
#include <cerrno>
#include <cstdint>
#include <cstring>

#include "skylarkbridge/base/failure.hpp"

namespace skylarkbridge::gateway {

boost::leaf::result<wake_event> wake_event::Open() {
  file_descriptor descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!descriptor.Valid()) {
    return boost::leaf::new_error(failure{"eventfd", std::strerror(errno)});
  }
  return wake_event(std::move(descriptor));
}

void wake_event::Signal() const {
  const std::uint64_t one = 1;
  // It fails only when the counter is full, and then the event is signalled.
  [[maybe_unused]] const auto written =
      write(descriptor_.Get(), &one, sizeof(one));
}

void wake_event::Clear() const {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto taken =
      read(descriptor_.Get(), &count, sizeof(count));
}

}  // namespace skylarkbridge::gateway
