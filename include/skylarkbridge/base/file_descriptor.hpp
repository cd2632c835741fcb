#ifndef SKYLARKBRIDGE_BASE_FILE_DESCRIPTOR_HPP
#define SKYLARKBRIDGE_BASE_FILE_DESCRIPTOR_HPP

#include <utility>

namespace skylarkbridge {

/// @brief Owns a file descriptor and closes it.
class file_descriptor {
 public:
  file_descriptor() = default;
  explicit file_descriptor(int value) : value_(value) {}
  file_descriptor(file_descriptor&& other) noexcept
      : value_(std::exchange(other.value_, -1)) {}
  file_descriptor& operator=(file_descriptor&& other) noexcept;
  ~file_descriptor() { Reset(); }

  bool Valid() const { return value_ >= 0; }
  int Get() const { return value_; }
  /// @brief Closes the descriptor, if there is one.
  void Reset() noexcept;

 private:
  int value_ = -1;
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_FILE_DESCRIPTOR_HPP
