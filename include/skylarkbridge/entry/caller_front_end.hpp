#ifndef SKYLARKBRIDGE_ENTRY_CALLER_FRONT_END_HPP
#define SKYLARKBRIDGE_ENTRY_CALLER_FRONT_END_HPP

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "skylarkbridge/entry/caller_answer.hpp"
#include "skylarkbridge/entry/caller_request.hpp"
#include "skylarkbridge/entry/request_metrics.hpp"
#include "skylarkbridge/entry/request_runner.hpp"
#include "skylarkbridge/wire/error_body.hpp"

namespace skylarkbridge::entry {

/// @brief HTTP interface for callers of services:
/// GET, POST, PUT and DELETE on /v1/services/NAME[/PATH].
template <request_control Control,
          gateway::upstream_gateway Upstreams,
          telemetry::span_sink Sink>
class caller_front_end {
 public:
  caller_front_end(Control& control,
                   Upstreams& upstreams,
                   Sink& spans,
                   request_metrics& metrics,
                   caller_request_limits limits = {})
      : control_(control),
        runner_(control, upstreams, spans),
        spans_(spans),
        metrics_(metrics),
        limits_(limits) {}

  /// @brief Adds the routes to a server.
  void Install(httplib::Server& server) {
    const httplib::Server::Handler handler =
        [this](const httplib::Request& request, httplib::Response& response) {
          Handle(request, response);
        };
    server.Get(kPattern, handler);
    server.Post(kPattern, handler);
    server.Put(kPattern, handler);
    server.Delete(kPattern, handler);
  }

 private:
  static constexpr char kPattern[] = R"(/v1/services/([^/]+)(/.*)?)";

  void Handle(const httplib::Request& request, httplib::Response& response) {
    const time_point now = boot_clock::now();
    const request_id id{next_id_.fetch_add(1, std::memory_order_relaxed)};
    const auto declared = control_.Declared();
    const declaration::service* service =
        declared == nullptr ? nullptr : Find(*declared, request.matches[1]);
    if (service == nullptr) {
      Refuse(id,
             declared == nullptr ? scheduling::refusal_reason::kNoConfiguration
                                 : scheduling::refusal_reason::kUnknownService,
             now, response);
      return;
    }
    findings found;
    std::optional<caller_request> read = ReadCallerRequest(
        request, *service, request.matches[2], limits_, now, found);
    if (!read) {
      response.status = 400;
      response.set_header("Skylarkbridge-Outcome", "not-run");
      response.set_content(
          wire::ErrorBody("bad_request", "The request is malformed.", found),
          "application/json");
      return;
    }
    telemetry::scoped_span span(spans_, read->trace, "request",
                                telemetry::span_kind::kServer);
    span.AddAttribute("service", read->service);
    read->trace = span.Context();
    request_answer answer = runner_.Run(id, std::move(*read));
    span.AddAttribute("outcome",
                      std::string(wire::OutcomeName(answer.finish.outcome)));
    metrics_.Record(answer.finish.outcome, boot_clock::now() - now);
    WriteCallerAnswer(std::move(answer), boot_clock::now(), response);
  }

  static const declaration::service* Find(
      const declaration::configuration& declared,
      const std::string& name) {
    const auto found = std::find_if(
        declared.services.begin(), declared.services.end(),
        [&](const declaration::service& one) { return one.name == name; });
    return found == declared.services.end() ? nullptr : &*found;
  }

  static void Refuse(request_id id,
                     scheduling::refusal_reason reason,
                     time_point now,
                     httplib::Response& response) {
    WriteCallerAnswer({{.request = id,
                        .outcome = scheduling::request_outcome::kNotRun,
                        .reason = reason},
                       std::nullopt,
                       {}},
                      now, response);
  }

  Control& control_;
  request_runner<Control, Upstreams, Sink> runner_;
  Sink& spans_;
  request_metrics& metrics_;
  const caller_request_limits limits_;
  std::atomic<std::uint64_t> next_id_ = 1;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_CALLER_FRONT_END_HPP
