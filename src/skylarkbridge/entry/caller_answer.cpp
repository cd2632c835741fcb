#include "skylarkbridge/entry/caller_answer.hpp"

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/wire/error_body.hpp"

namespace skylarkbridge::entry {
namespace {

using scheduling::refusal_reason;
using scheduling::request_outcome;

constexpr char kOutcomeHeader[] = "Skylarkbridge-Outcome";
constexpr std::chrono::seconds kDefaultRetry{1};

int RefusalStatus(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kUnknownService:
      return 404;
    case refusal_reason::kQueueFull:
    case refusal_reason::kOverShare:
      return 429;
    default:
      return 503;
  }
}

int UnknownStatus(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kDeadlinePassed:
      return 504;
    case refusal_reason::kKeyInProgress:
      return 409;
    case refusal_reason::kKeyHomeElsewhere:
      return 503;
    default:
      return 502;
  }
}

void PassOn(gateway::upstream_response from, httplib::Response& response) {
  response.status = from.status;
  for (auto& [name, value] : from.headers) {
    if (!absl::EqualsIgnoreCase(name, "Connection") &&
        !absl::EqualsIgnoreCase(name, "Keep-Alive") &&
        !absl::EqualsIgnoreCase(name, "Transfer-Encoding") &&
        !absl::EqualsIgnoreCase(name, "Content-Length")) {
      response.headers.emplace(std::move(name), std::move(value));
    }
  }
  response.body = std::move(from.body);
}

std::int64_t RetryAfterSeconds(const scheduling::finish_request& finish,
                               time_point now) {
  if (!finish.retry_at) {
    return kDefaultRetry.count();
  }
  const auto wait =
      std::chrono::ceil<std::chrono::seconds>(*finish.retry_at - now);
  return std::max<std::int64_t>(1, wait.count());
}

}  // namespace

void WriteCallerAnswer(request_answer answer,
                       time_point now,
                       httplib::Response& response) {
  const scheduling::finish_request& finish = answer.finish;
  response.set_header(kOutcomeHeader,
                      std::string(wire::OutcomeName(finish.outcome)));
  if (finish.outcome == request_outcome::kDone && answer.response) {
    PassOn(std::move(*answer.response), response);
    return;
  }
  if (finish.outcome == request_outcome::kNotRun) {
    response.status = RefusalStatus(finish.reason);
    if (response.status != 404) {
      response.set_header("Retry-After",
                          std::to_string(RetryAfterSeconds(finish, now)));
    }
  } else {
    response.status = UnknownStatus(finish.reason);
  }
  std::string message(wire::RefusalMessage(finish.reason));
  if (!answer.detail.empty()) {
    absl::StrAppend(&message, " (", answer.detail, ")");
  }
  response.set_content(
      wire::ErrorBody(wire::RefusalCode(finish.reason), message),
      "application/json");
}

}  // namespace skylarkbridge::entry
