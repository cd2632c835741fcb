#include "skylarkbridge/daemon/key_part.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::daemon {
namespace {

using coordination::key_state;
using scheduling::refusal_reason;
using scheduling::request_outcome;

void Refuse(const request_message& message,
            request_outcome outcome,
            refusal_reason reason) {
  message.reply->Set(
      scheduling::finish_request{.request = message.request.arrived.request,
                                 .outcome = outcome,
                                 .reason = reason});
}

}  // namespace

bool key_part::Admit(const request_message& message,
                     shard_id home,
                     coordination::key_registry* registry,
                     time_point now) {
  if (registry == nullptr) {
    // Only the home shard knows whether an earlier request with the key ran.
    Refuse(message, request_outcome::kUnknown,
           refusal_reason::kKeyHomeElsewhere);
    return false;
  }
  const scheduling::request_arrived& arrived = message.request.arrived;
  // One key may be used for different services.
  coordination::idempotency_key key{
      .text =
          absl::StrCat(arrived.service, " ", message.request.idempotency_key)};
  coordination::key_answer answer =
      registry->Begin(key, arrived.request, arrived.deadline, now);
  switch (answer.state) {
    case key_state::kRun:
      running_[arrived.request] = {home, std::move(key)};
      return true;
    case key_state::kDone:
      message.reply->Set(entry::replay_answer{
          arrived.request, std::move(answer.answer).value_or("")});
      return false;
    case key_state::kInProgress:
      Refuse(message, request_outcome::kUnknown,
             refusal_reason::kKeyInProgress);
      return false;
    case key_state::kUnknown:
      Refuse(message, request_outcome::kUnknown,
             refusal_reason::kKeyOutcomeUnknown);
      return false;
    case key_state::kNotRun:
      Refuse(message, request_outcome::kNotRun, refusal_reason::kQueueFull);
      return false;
  }
  return false;
}

std::optional<shard_id> key_part::HomeOf(request_id request) const {
  const auto found = running_.find(request);
  return found == running_.end() ? std::nullopt
                                 : std::optional(found->second.home);
}

void key_part::Answered(const entry::ending_attempt& attempt,
                        coordination::key_registry* registry) {
  const auto found = running_.find(attempt.finished.request);
  if (found == running_.end()) {
    return;
  }
  if (registry != nullptr) {
    if (attempt.stored_answer) {
      registry->Finish(found->second.key, *attempt.stored_answer);
    } else {
      registry->Lose(found->second.key);
    }
  }
  running_.erase(found);
}

void key_part::Ended(const scheduling::finish_request& finish,
                     coordination::key_registry* registry) {
  const auto found = running_.find(finish.request);
  if (found == running_.end()) {
    return;
  }
  if (registry != nullptr) {
    if (finish.outcome == request_outcome::kNotRun) {
      registry->NotRun(found->second.key, finish.request);
    } else {
      registry->Lose(found->second.key);
    }
  }
  running_.erase(found);
}

}  // namespace skylarkbridge::daemon
