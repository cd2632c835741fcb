#include "skylarkbridge/gateway/log_client.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/gateway/events.hpp"
#include "skylarkbridge/wire/log_protocol.hpp"

namespace skylarkbridge::gateway {
namespace {

namespace leaf = boost::leaf;
using coordination::append_result;
using page = std::optional<coordination::read_page>;

std::string RecordsPath(const std::string& stream) {
  return absl::StrCat("/v1/streams/", stream, "/records");
}

}  // namespace

log_client::log_client(log_client_options options)
    : options_(std::move(options)), call_(options_.address) {}

append_result log_client::Append(const std::string& stream,
                                 const coordination::append_records& append) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<append_result> {
        BOOST_LEAF_CHECK(
            call_.Post(RecordsPath(stream), wire::EncodeAppend(append.records),
                       boot_clock::now() + options_.append_timeout));
        return append_result::kWritten;
      },
      [](const call_failure& error) {
        LogEvent(kLogUnavailable,
                 {{"place", error.place}, {"error", error.message}});
        return error.may_have_happened ? append_result::kUnknown
                                       : append_result::kNotWritten;
      },
      [] { return append_result::kUnknown; });
}

page log_client::Read(const std::string& stream,
                      const coordination::read_log& read) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<page> {
        BOOST_LEAF_AUTO(
            body, call_.Get(absl::StrCat(RecordsPath(stream), "?offset=",
                                         read.offset, "&limit=", read.limit),
                            boot_clock::now() + options_.read_timeout));
        findings found;
        page result = wire::DecodePage(body, found);
        if (!found.Empty()) {
          LogEvent(kLogRecordMalformed,
                   {{"stream", stream}, {"error", Format(found)}});
        }
        return result;
      },
      [](const call_failure& error) {
        LogEvent(kLogUnavailable,
                 {{"place", error.place}, {"error", error.message}});
        return page();
      },
      [] { return page(); });
}

}  // namespace skylarkbridge::gateway
