#include "skylarkbridge/coordination/key_registry.hpp"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::coordination {

key_registry::key_registry(key_registry_options options,
                           const ballot& takeover,
                           time_point exclusive_since)
    : options_(options),
      takeover_(takeover),
      callers_keys_from_(exclusive_since + options.longest_deadline +
                         options.unread_margin) {}

idempotency_key key_registry::Issue() {
  return {absl::StrCat(takeover_.round, "-", takeover_.vm.value, "-",
                       takeover_.incarnation.value, "-", ++issued_),
          takeover_};
}

key_answer key_registry::Refuse(request_id request) {
  if (refused_.insert(request).second) {
    refused_order_.push_back(request);
    if (refused_order_.size() > options_.max_refused_requests) {
      refused_.erase(refused_order_.front());
      refused_order_.pop_front();
    }
  }
  return {key_state::kNotRun, std::nullopt};
}

key_answer key_registry::Begin(const idempotency_key& key,
                               request_id request,
                               time_point deadline,
                               time_point now) {
  Tick(now);
  if (refused_.contains(request)) {
    return {key_state::kNotRun, std::nullopt};
  }
  const bool passed = deadline <= now;
  deadline = std::min(deadline, now + options_.longest_deadline) +
             options_.unread_margin;
  const auto found = keys_.find(key.text);
  if (found != keys_.end()) {
    entry& known = found->second;
    if (deadline > known.deadline) {
      deadlines_.erase({known.deadline, key.text});
      known.deadline = deadline;
      deadlines_.emplace(deadline, key.text);
    }
    return {known.state, known.answer};
  }
  const bool foreign = key.issued_under ? *key.issued_under != takeover_
                                        : now < callers_keys_from_;
  if (foreign) {
    // An earlier owner may have dispatched the key.
    return {key_state::kUnknown, std::nullopt};
  }
  if (passed || key.text.size() > options_.max_key_bytes ||
      keys_.size() >= options_.max_keys) {
    return Refuse(request);
  }
  keys_[key.text] = {.deadline = deadline};
  deadlines_.emplace(deadline, key.text);
  return {key_state::kRun, std::nullopt};
}

key_registry::entry* key_registry::InProgress(const idempotency_key& key) {
  const auto found = keys_.find(key.text);
  if (found == keys_.end() || found->second.state != key_state::kInProgress) {
    return nullptr;
  }
  return &found->second;
}

void key_registry::Finish(const idempotency_key& key, std::string answer) {
  entry* known = InProgress(key);
  if (known == nullptr) {
    return;
  }
  if (answer.size() > options_.max_answer_bytes ||
      answer_bytes_ + answer.size() > options_.max_total_answer_bytes) {
    known->state = key_state::kUnknown;
    return;
  }
  answer_bytes_ += answer.size();
  known->state = key_state::kDone;
  known->answer = std::move(answer);
}

void key_registry::Lose(const idempotency_key& key) {
  if (entry* known = InProgress(key)) {
    known->state = key_state::kUnknown;
  }
}

void key_registry::NotRun(const idempotency_key& key, request_id request) {
  if (InProgress(key) != nullptr) {
    Forget(key.text);
    Refuse(request);
  }
}

void key_registry::Forget(const std::string& text) {
  const auto found = keys_.find(text);
  if (found->second.answer) {
    answer_bytes_ -= found->second.answer->size();
  }
  deadlines_.erase({found->second.deadline, text});
  keys_.erase(found);
}

void key_registry::Tick(time_point now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    // A copy: Forget erases the element that holds the text.
    const std::string text = deadlines_.begin()->second;
    Forget(text);
  }
}

std::optional<time_point> key_registry::NextDeadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

}  // namespace skylarkbridge::coordination
