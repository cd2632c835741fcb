#include "skylarkbridge/gateway/http_call.hpp"

#include <httplib.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <chrono>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::gateway {
namespace {

namespace leaf = boost::leaf;

bool ProvesNotSent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

void SetTimeouts(httplib::Client& client, time_point deadline) {
  const auto remaining =
      std::max(std::chrono::microseconds(1),
               std::chrono::duration_cast<std::chrono::microseconds>(
                   deadline - boot_clock::now()));
  client.set_connection_timeout(remaining);
  client.set_read_timeout(remaining);
  client.set_write_timeout(remaining);
}

leaf::result<std::string> Body(httplib::Result answer,
                               const std::string& place) {
  if (!answer) {
    return leaf::new_error(call_failure{place, to_string(answer.error()),
                                        !ProvesNotSent(answer.error())});
  }
  if (answer->status != 200) {
    return leaf::new_error(call_failure{
        place, absl::StrCat("status ", answer->status, " ", answer->body),
        answer->status >= 500 && answer->status != 503});
  }
  return std::move(answer->body);
}

}  // namespace

http_call::http_call(ip_address address)
    : address_(std::move(address)),
      client_(std::make_unique<httplib::Client>(address_.host, address_.port)) {
  client_->set_keep_alive(true);
  client_->set_tcp_nodelay(true);
}

http_call::~http_call() = default;
http_call::http_call(http_call&&) noexcept = default;
http_call& http_call::operator=(http_call&&) noexcept = default;

leaf::result<std::string> http_call::Get(const std::string& path,
                                         time_point deadline) {
  SetTimeouts(*client_, deadline);
  return Body(client_->Get(path), absl::StrCat("GET ", Format(address_), path));
}

leaf::result<std::string> http_call::Post(const std::string& path,
                                          const std::string& body,
                                          time_point deadline) {
  SetTimeouts(*client_, deadline);
  return Body(client_->Post(path, body, "application/json"),
              absl::StrCat("POST ", Format(address_), path));
}

}  // namespace skylarkbridge::gateway
