#include "skylarkbridge/base/file_descriptor.hpp"

#include <unistd.h>

namespace skylarkbridge {

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept {
  if (this != &other) {
    Reset();
    value_ = std::exchange(other.value_, -1);
  }
  return *this;
}

void file_descriptor::Reset() noexcept {
  if (value_ >= 0) {
    close(value_);
    value_ = -1;
  }
}

}  // namespace skylarkbridge
