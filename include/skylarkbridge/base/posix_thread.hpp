#ifndef SKYLARKBRIDGE_BASE_POSIX_THREAD_HPP
#define SKYLARKBRIDGE_BASE_POSIX_THREAD_HPP

#include <pthread.h>

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>

#include "absl/functional/any_invocable.h"

namespace skylarkbridge {

/// @brief The operating system refused to start a thread.
struct thread_start_error {
  /// errno value of pthread_create.
  int error_number = 0;
};

/// @brief POSIX thread that is joined when the object ends.
class posix_thread {
 public:
  posix_thread() = default;
  posix_thread(posix_thread&& other) noexcept;
  posix_thread& operator=(posix_thread&& other) noexcept;
  ~posix_thread();

  /// @brief Starts a thread.
  /// @param name shown by debuggers; cut to 15 characters.
  /// Fails with thread_start_error.
  static boost::leaf::result<posix_thread> Start(
      const std::string& name,
      absl::AnyInvocable<void()> body);

  /// @brief Waits until the thread has ended. Does nothing without a thread.
  void Join();

 private:
  explicit posix_thread(pthread_t handle) : handle_(handle) {}

  std::optional<pthread_t> handle_;
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_POSIX_THREAD_HPP
