#include "skylarkbridge/base/posix_thread.hpp"

#include <boost/leaf/error.hpp>
#include <memory>
#include <utility>

namespace skylarkbridge {
namespace {

constexpr std::size_t kMaxThreadNameLength = 15;

void* RunBody(void* argument) {
  std::unique_ptr<absl::AnyInvocable<void()>> body(
      static_cast<absl::AnyInvocable<void()>*>(argument));
  (*body)();
  return nullptr;
}

}  // namespace

posix_thread::posix_thread(posix_thread&& other) noexcept
    : handle_(std::exchange(other.handle_, std::nullopt)) {}

posix_thread& posix_thread::operator=(posix_thread&& other) noexcept {
  if (this != &other) {
    Join();
    handle_ = std::exchange(other.handle_, std::nullopt);
  }
  return *this;
}

posix_thread::~posix_thread() {
  Join();
}

boost::leaf::result<posix_thread> posix_thread::Start(
    const std::string& name,
    absl::AnyInvocable<void()> body) {
  auto argument = std::make_unique<absl::AnyInvocable<void()>>(std::move(body));
  pthread_t handle{};
  const int error = pthread_create(&handle, nullptr, &RunBody, argument.get());
  if (error != 0) {
    return boost::leaf::new_error(thread_start_error{error});
  }
  argument.release();  // NOLINT(bugprone-unused-return-value): RunBody owns it
  pthread_setname_np(handle, name.substr(0, kMaxThreadNameLength).c_str());
  return posix_thread(handle);
}

void posix_thread::Join() {
  if (handle_) {
    pthread_join(*handle_, nullptr);
    handle_.reset();
  }
}

}  // namespace skylarkbridge
