#include "skylarkbridge/entry/caller_request.hpp"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace skylarkbridge::entry {
namespace {

constexpr char kDeadlineHeader[] = "Skylarkbridge-Deadline-Ms";
constexpr char kIdempotentHeader[] = "Skylarkbridge-Idempotent";
constexpr char kKeyHeader[] = "Idempotency-Key";
constexpr char kTraceHeader[] = "traceparent";
// Tells an upstream that runs several services which one is meant.
constexpr char kServiceHeader[] = "Skylarkbridge-Service";

// Headers that belong to one connection, or that this hop writes itself.
constexpr std::array kHopHeaders = {"connection",
                                    "keep-alive",
                                    "transfer-encoding",
                                    "te",
                                    "trailer",
                                    "upgrade",
                                    "host",
                                    "content-length",
                                    "proxy-authorization",
                                    "traceparent",
                                    "proxy-authenticate",
                                    "expect",
                                    "remote_addr",
                                    "remote_port",
                                    "local_addr",
                                    "local_port",
                                    "skylarkbridge-service"};

bool IsHopHeader(const std::string& name) {
  return std::any_of(
      kHopHeaders.begin(), kHopHeaders.end(),
      [&](const char* hop) { return absl::EqualsIgnoreCase(name, hop); });
}

time_point ReadDeadline(const httplib::Request& request,
                        const declaration::service& service,
                        time_point now,
                        findings& found) {
  if (!request.has_header(kDeadlineHeader)) {
    return now + service.default_deadline;
  }
  const std::string place = absl::StrCat("header ", kDeadlineHeader);
  const std::string text = request.get_header_value(kDeadlineHeader);
  std::int64_t milliseconds = 0;
  if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds <= 0) {
    found.Add(place, absl::StrCat("\"", text,
                                  "\" is not a positive number of "
                                  "milliseconds"));
  } else if (milliseconds > service.longest_deadline.count()) {
    found.Add(place, absl::StrCat(milliseconds, " is above ",
                                  service.longest_deadline.count(),
                                  ", the longest deadline of the service"));
  }
  return now + std::chrono::milliseconds(milliseconds);
}

bool ReadIdempotent(const httplib::Request& request,
                    const declaration::service& service,
                    findings& found) {
  if (!request.has_header(kIdempotentHeader)) {
    return service.idempotent;
  }
  const std::string text = request.get_header_value(kIdempotentHeader);
  if (text != "true" && text != "false") {
    found.Add(absl::StrCat("header ", kIdempotentHeader),
              absl::StrCat("\"", text, "\" is neither true nor false"));
  }
  return text == "true";
}

std::string ReadKey(const httplib::Request& request,
                    const caller_request_limits& limits,
                    findings& found) {
  std::string key = request.get_header_value(kKeyHeader);
  if (key.size() > limits.max_key_bytes) {
    found.Add(absl::StrCat("header ", kKeyHeader),
              absl::StrCat(key.size(), " bytes are above the limit of ",
                           limits.max_key_bytes));
  }
  return key;
}

gateway::header_list ReadHeaders(const httplib::Request& request,
                                 const caller_request_limits& limits,
                                 findings& found) {
  gateway::header_list headers;
  std::size_t bytes = 0;
  for (const auto& [name, value] : request.headers) {
    bytes += name.size() + value.size();
    if (!IsHopHeader(name)) {
      headers.emplace_back(name, value);
    }
  }
  if (request.headers.size() > limits.max_headers) {
    found.Add("headers", absl::StrCat(request.headers.size(),
                                      " headers are above the limit of ",
                                      limits.max_headers));
  }
  if (bytes > limits.max_header_bytes) {
    found.Add("headers", absl::StrCat(bytes, " bytes are above the limit of ",
                                      limits.max_header_bytes));
  }
  return headers;
}

}  // namespace

std::optional<caller_request> ReadCallerRequest(
    const httplib::Request& request,
    const declaration::service& service,
    const std::string& upstream_path,
    const caller_request_limits& limits,
    time_point now,
    findings& found) {
  findings faults;
  caller_request read;
  read.service = service.name;
  read.deadline = ReadDeadline(request, service, now, faults);
  read.idempotent = ReadIdempotent(request, service, faults);
  if (!read.idempotent) {
    read.idempotency_key = ReadKey(request, limits, faults);
  }
  read.trace =
      telemetry::ParseTraceparent(request.get_header_value(kTraceHeader))
          .value_or(telemetry::NewTrace());
  read.forwarded.method = request.method;
  read.forwarded.path = upstream_path.empty() ? "/" : upstream_path;
  const std::size_t query = request.target.find('?');
  if (query != std::string::npos) {
    read.forwarded.path += request.target.substr(query);
  }
  read.forwarded.headers = ReadHeaders(request, limits, faults);
  read.forwarded.headers.emplace_back(kServiceHeader, service.name);
  read.forwarded.body = request.body;
  if (!faults.Empty()) {
    found.Append(faults);
    return std::nullopt;
  }
  return read;
}

}  // namespace skylarkbridge::entry
