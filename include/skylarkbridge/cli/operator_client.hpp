#ifndef SKYLARKBRIDGE_CLI_OPERATOR_CLIENT_HPP
#define SKYLARKBRIDGE_CLI_OPERATOR_CLIENT_HPP

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "skylarkbridge/base/ip_address.hpp"

namespace skylarkbridge::cli {

struct operator_client_options {
  ip_address address;
  std::string token;
  /// For connecting, and for each read and write.
  std::chrono::milliseconds timeout = std::chrono::seconds(10);
  /// 160,000 open tasks of about 100 bytes fit.
  std::size_t max_answer_bytes = 32'000'000;
};

struct operator_answer {
  int status = 0;
  std::string body;
  /// Header Skylarkbridge-Version; empty when missing.
  std::string version;
};

/// @brief Calls the operators' interface of a daemon, one connection per call.
class operator_client {
 public:
  explicit operator_client(operator_client_options options);

  /// @param method for example "GET".
  /// @param path with the query.
  /// Fails with `failure` when no whole answer came or it is too large.
  boost::leaf::result<operator_answer> Call(const std::string& method,
                                            const std::string& path,
                                            const std::string& body = "") const;

 private:
  operator_client_options options_;
};

}  // namespace skylarkbridge::cli

#endif  // SKYLARKBRIDGE_CLI_OPERATOR_CLIENT_HPP
