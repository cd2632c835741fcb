#ifndef SKYLARKBRIDGE_ENTRY_REQUEST_RUNNER_HPP
#define SKYLARKBRIDGE_ENTRY_REQUEST_RUNNER_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/entry/caller_request.hpp"
#include "skylarkbridge/entry/request_control.hpp"
#include "skylarkbridge/entry/stored_answer.hpp"
#include "skylarkbridge/gateway/upstream_client.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/telemetry/scoped_span.hpp"

namespace skylarkbridge::entry {

/// @brief What the caller is told, with the upstream's answer for kDone.
struct request_answer {
  scheduling::finish_request finish;
  std::optional<gateway::upstream_response> response;
  /// Why there is no answer from the upstream.
  std::string detail;
};

/// @brief Runs one request on the calling traffic thread: asks the control
/// thread what to do, sends the attempts, and reports how they ended.
template <request_control Control,
          gateway::upstream_gateway Upstreams,
          telemetry::span_sink Sink>
class request_runner {
 public:
  request_runner(Control& control, Upstreams& upstreams, Sink& spans)
      : control_(control), upstreams_(upstreams), spans_(spans) {}

  request_answer Run(request_id id, caller_request request) {
    auto reply = std::make_shared<request_reply>();
    if (!control_.Arrive({.arrived = {.request = id,
                                      .service = request.service,
                                      .deadline = request.deadline,
                                      .idempotent = request.idempotent},
                          .idempotency_key = request.idempotency_key},
                         reply)) {
      request_answer full = Refusal(id, scheduling::refusal_reason::kQueueFull);
      if (!request.idempotency_key.empty()) {
        full.finish.outcome = scheduling::request_outcome::kUnknown;
      }
      return full;
    }
    // Without the control thread's word, an earlier request with the key may
    // have run.
    bool dispatched = !request.idempotency_key.empty();
    std::string detail;
    while (true) {
      std::optional<request_order> command = Await(*reply, request);
      if (!command) {
        return Abandoned(id, dispatched, std::move(detail));
      }
      if (auto* finish = std::get_if<scheduling::finish_request>(&*command)) {
        return {*finish, std::nullopt, std::move(detail)};
      }
      if (const auto* replay = std::get_if<replay_answer>(&*command)) {
        return Replay(*replay);
      }
      const auto& start = std::get<scheduling::start_attempt>(*command);
      gateway::upstream_result ended = Attempt(start, request);
      detail = ended.detail;
      reply = std::make_shared<request_reply>();
      const bool reported =
          control_.Finish({.finished = {.request = id,
                                        .attempt = start.attempt,
                                        .result = ended.result,
                                        .upstream_fault = IsFault(ended)},
                           .stored_answer = Store(request, ended)},
                          reply);
      if (ended.result == scheduling::attempt_result::kAnswered) {
        return {{.request = id, .outcome = scheduling::request_outcome::kDone},
                std::move(ended.response),
                {}};
      }
      dispatched =
          dispatched || ended.result == scheduling::attempt_result::kUnknown;
      if (!reported) {
        return Abandoned(id, dispatched, std::move(detail));
      }
    }
  }

 private:
  // The control thread ends a request at its deadline. A command that is still
  // missing this long after it will not come, as the control thread was
  // restarted; the one-shot reply then refuses a late command.
  static constexpr auto kCommandGrace = std::chrono::milliseconds(500);

  static bool IsFault(const gateway::upstream_result& ended) {
    return ended.response && ended.response->status >= 500;
  }

  static std::optional<std::string> Store(
      const caller_request& request,
      const gateway::upstream_result& ended) {
    return request.idempotency_key.empty() || !ended.response
               ? std::nullopt
               : EncodeStoredAnswer(*ended.response);
  }

  static request_answer Replay(const replay_answer& replay) {
    request_answer answer{
        {.request = replay.request}, DecodeStoredAnswer(replay.answer), {}};
    if (answer.response) {
      answer.finish.outcome = scheduling::request_outcome::kDone;
    }
    return answer;
  }

  std::optional<request_order> Await(request_reply& reply,
                                     const caller_request& request) {
    telemetry::scoped_span span(spans_, request.trace, "admission",
                                telemetry::span_kind::kInternal);
    return reply.Wait(request.deadline + kCommandGrace);
  }

  gateway::upstream_result Attempt(const scheduling::start_attempt& start,
                                   caller_request& request) {
    telemetry::scoped_span span(spans_, request.trace, "attempt",
                                telemetry::span_kind::kClient);
    span.AddAttribute("upstream", std::to_string(start.upstream.value));
    span.AddAttribute("attempt", std::to_string(start.attempt));
    gateway::upstream_request outgoing = request.forwarded;
    outgoing.headers.emplace_back("traceparent",
                                  telemetry::FormatTraceparent(span.Context()));
    gateway::upstream_result ended =
        upstreams_.Send(start.upstream, outgoing, start.deadline);
    if (ended.result != scheduling::attempt_result::kAnswered) {
      span.MarkError();
    }
    return ended;
  }

  static request_answer Refusal(request_id id,
                                scheduling::refusal_reason reason) {
    return {{.request = id,
             .outcome = scheduling::request_outcome::kNotRun,
             .reason = reason},
            std::nullopt,
            {}};
  }

  static request_answer Abandoned(request_id id,
                                  bool dispatched,
                                  std::string detail) {
    request_answer answer =
        Refusal(id, scheduling::refusal_reason::kDeadlinePassed);
    if (dispatched) {
      answer.finish.outcome = scheduling::request_outcome::kUnknown;
    }
    answer.detail = std::move(detail);
    return answer;
  }

  Control& control_;
  Upstreams& upstreams_;
  Sink& spans_;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_REQUEST_RUNNER_HPP
