#include "skylarkbridge/cli/operator_client.hpp"

#include <httplib.h>

#include <boost/leaf/error.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"

namespace skylarkbridge::cli {

namespace leaf = boost::leaf;

operator_client::operator_client(operator_client_options options)
    : options_(std::move(options)) {}

leaf::result<operator_answer> operator_client::Call(
    const std::string& method,
    const std::string& path,
    const std::string& body) const {
  const std::string place =
      absl::StrCat(method, " ", Format(options_.address), path);
  httplib::Client client(options_.address.host, options_.address.port);
  client.set_connection_timeout(options_.timeout);
  client.set_read_timeout(options_.timeout);
  client.set_write_timeout(options_.timeout);

  httplib::Request request;
  request.method = method;
  request.path = path;
  request.headers = {{"Authorization", "Bearer " + options_.token},
                     {"Accept", "application/json"}};
  if (!body.empty()) {
    request.headers.emplace("Content-Type", "application/json");
    request.body = body;
  }
  operator_answer answer;
  bool too_large = false;
  request.content_receiver = [&](const char* data, std::size_t length,
                                 std::uint64_t, std::uint64_t) {
    too_large = answer.body.size() + length > options_.max_answer_bytes;
    if (!too_large) {
      answer.body.append(data, length);
    }
    return !too_large;
  };
  const httplib::Result result = client.send(request);
  if (too_large) {
    return leaf::new_error(
        failure{place, absl::StrCat("the answer is larger than ",
                                    options_.max_answer_bytes, " bytes")});
  }
  if (!result) {
    return leaf::new_error(failure{
        place,
        absl::StrCat("no answer: ", httplib::to_string(result.error()))});
  }
  answer.status = result->status;
  answer.version = result->get_header_value("Skylarkbridge-Version");
  return answer;
}

}  // namespace skylarkbridge::cli
