#ifndef SKYLARKBRIDGE_GATEWAY_LOG_CLIENT_HPP
#define SKYLARKBRIDGE_GATEWAY_LOG_CLIENT_HPP

#include <chrono>
#include <concepts>
#include <optional>
#include <string>

#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_outbox.hpp"
#include "skylarkbridge/gateway/http_call.hpp"

namespace skylarkbridge::gateway {

/// @brief The platform's log, for one thread.
template <class T>
concept log_service = requires(T& log,
                               const std::string& stream,
                               const coordination::append_records& append,
                               const coordination::read_log& read) {
  { log.Append(stream, append) } -> std::same_as<coordination::append_result>;
  // Nothing when the read failed.
  {
    log.Read(stream, read)
    } -> std::same_as<std::optional<coordination::read_page>>;
};

struct log_client_options {
  ip_address address;
  /// Streams of the data centre's tasks and of the configuration.
  std::string task_stream = "tasks-1";
  std::string configuration_stream = "configuration";
  std::chrono::milliseconds append_timeout = std::chrono::seconds(1);
  std::chrono::milliseconds read_timeout = std::chrono::seconds(2);
};

/// @brief The log over HTTP.
class log_client {
 public:
  explicit log_client(log_client_options options);

  coordination::append_result Append(
      const std::string& stream,
      const coordination::append_records& append);
  std::optional<coordination::read_page> Read(
      const std::string& stream,
      const coordination::read_log& read);

 private:
  const log_client_options options_;
  http_call call_;
};

static_assert(log_service<log_client>);

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_LOG_CLIENT_HPP
