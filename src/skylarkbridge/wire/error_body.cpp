#include "skylarkbridge/wire/error_body.hpp"

#include <nlohmann/json.hpp>

namespace skylarkbridge::wire {
namespace {

using scheduling::refusal_reason;
using scheduling::request_outcome;

}  // namespace

std::string ErrorBody(std::string_view code,
                      std::string_view message,
                      const findings& found) {
  nlohmann::ordered_json body = {{"code", code}, {"message", message}};
  for (const finding& item : found.Items()) {
    body["findings"].push_back(
        {{"place", item.place}, {"message", item.message}});
  }
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

std::string_view OutcomeName(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::kDone:
      return "done";
    case request_outcome::kNotRun:
      return "not-run";
    case request_outcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view RefusalCode(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kUnknownService:
      return "unknown_service";
    case refusal_reason::kQueueFull:
      return "queue_full";
    case refusal_reason::kDeadlineTooClose:
      return "deadline_too_close";
    case refusal_reason::kDeadlinePassed:
      return "deadline_passed";
    case refusal_reason::kOverShare:
      return "over_share";
    case refusal_reason::kNoUpstream:
      return "no_upstream";
    case refusal_reason::kUpstreamRefused:
      return "upstream_refused";
    case refusal_reason::kCancelled:
      return "cancelled";
    case refusal_reason::kStopping:
      return "stopping";
    case refusal_reason::kNoConfiguration:
      return "no_configuration";
    case refusal_reason::kKeyHomeElsewhere:
      return "key_home_elsewhere";
    case refusal_reason::kKeyInProgress:
      return "key_in_progress";
    case refusal_reason::kKeyOutcomeUnknown:
      return "key_outcome_unknown";
    case refusal_reason::kNone:
      break;
  }
  return "outcome_unknown";
}

std::string_view RefusalMessage(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kUnknownService:
      return "The configuration in force declares no such service.";
    case refusal_reason::kQueueFull:
      return "Too many requests wait for this service.";
    case refusal_reason::kDeadlineTooClose:
      return "The request could not be answered before its deadline.";
    case refusal_reason::kDeadlinePassed:
      return "The deadline of the request has passed.";
    case refusal_reason::kOverShare:
      return "The service or its team uses all of its share.";
    case refusal_reason::kNoUpstream:
      return "No upstream can take the request now.";
    case refusal_reason::kUpstreamRefused:
      return "Every upstream that was tried refused the request.";
    case refusal_reason::kCancelled:
      return "The request was cancelled before it ran.";
    case refusal_reason::kStopping:
      return "This VM is stopping.";
    case refusal_reason::kNoConfiguration:
      return "This VM has no configuration yet.";
    case refusal_reason::kKeyHomeElsewhere:
      return "This VM does not own the home shard of the idempotency key.";
    case refusal_reason::kKeyInProgress:
      return "A request with this idempotency key is being carried out.";
    case refusal_reason::kKeyOutcomeUnknown:
      return "A request with this idempotency key may have run.";
    case refusal_reason::kNone:
      break;
  }
  return "The request may have run; no whole answer came.";
}

}  // namespace skylarkbridge::wire
