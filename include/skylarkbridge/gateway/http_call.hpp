#ifndef SKYLARKBRIDGE_GATEWAY_HTTP_CALL_HPP
#define SKYLARKBRIDGE_GATEWAY_HTTP_CALL_HPP

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>

#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/gateway/http_error.hpp"

namespace httplib {
class Client;
}

namespace skylarkbridge::gateway {

/// @brief One kept-alive HTTP connection to a service of the platform, for one
/// thread.
class http_call {
 public:
  explicit http_call(ip_address address);
  ~http_call();
  http_call(http_call&&) noexcept;
  http_call& operator=(http_call&&) noexcept;

  /// @brief Body of the answer with status 200. Fails with call_failure.
  boost::leaf::result<std::string> Get(const std::string& path,
                                       time_point deadline);
  boost::leaf::result<std::string> Post(const std::string& path,
                                        const std::string& body,
                                        time_point deadline);

 private:
  ip_address address_;
  std::unique_ptr<httplib::Client> client_;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_HTTP_CALL_HPP
