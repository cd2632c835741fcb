#include "skylarkbridge/entry/stored_answer.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "skylarkbridge/wire/peer_codec.hpp"
#include "skylarkbridge/wire/peer_message.hpp"

namespace skylarkbridge::entry {

namespace leaf = boost::leaf;

std::optional<std::string> EncodeStoredAnswer(
    const gateway::upstream_response& response) {
  wire::forward_answer answer{
      .outcome = wire::forward_outcome::kDone,
      .status = static_cast<std::uint16_t>(response.status),
      .body = response.body};
  for (const auto& [name, value] : response.headers) {
    answer.headers.push_back({name, value});
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(bytes, wire::EncodePeerMessage(answer));
        return std::optional(std::move(bytes));
      },
      [] { return std::optional<std::string>(); });
}

std::optional<gateway::upstream_response> DecodeStoredAnswer(
    const std::string& bytes) {
  using result = std::optional<gateway::upstream_response>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<result> {
        BOOST_LEAF_AUTO(message, wire::DecodePeerMessage(bytes));
        const auto* answer = std::get_if<wire::forward_answer>(&message);
        if (answer == nullptr) {
          return result();
        }
        gateway::upstream_response response{.status = answer->status,
                                            .body = answer->body};
        for (const wire::http_header& header : answer->headers) {
          response.headers.emplace_back(header.name, header.value);
        }
        return result(std::move(response));
      },
      [] { return result(); });
}

}  // namespace skylarkbridge::entry
