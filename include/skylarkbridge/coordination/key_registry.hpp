#ifndef SKYLARKBRIDGE_COORDINATION_KEY_REGISTRY_HPP
#define SKYLARKBRIDGE_COORDINATION_KEY_REGISTRY_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/ballot.hpp"

namespace skylarkbridge::coordination {

/// @brief Key under which a request runs at most once until its deadline.
struct idempotency_key {
  std::string text;
  /// Takeover ballot of the owner that issued the key; none when the caller
  /// chose it.
  std::optional<ballot> issued_under;

  bool operator==(const idempotency_key&) const = default;
};

enum class key_state {
  /// First sight: the caller of Begin must dispatch the request once and then
  /// report Finish or NotRun.
  kRun,
  /// An earlier request with the key is being carried out.
  kInProgress,
  /// The stored answer is returned.
  kDone,
  /// The key may have run; nothing is dispatched.
  kUnknown,
  /// Nothing was dispatched and no earlier attempt of the key can have run.
  kNotRun,
};

struct key_answer {
  key_state state = key_state::kUnknown;
  std::optional<std::string> answer;

  bool operator==(const key_answer&) const = default;
};

struct key_registry_options {
  /// Longest deadline that a request may ask for. A key chosen by the caller
  /// may have run under an earlier owner within this time after a takeover.
  std::chrono::milliseconds longest_deadline = std::chrono::seconds(30);
  /// A key is remembered this much longer than its deadline, for repeats that
  /// wait unread in a stalled front end. Front ends drop requests that may have
  /// waited longer.
  std::chrono::milliseconds unread_margin = std::chrono::seconds(1);
  /// Keys remembered at a time; further new keys are refused as not-run.
  std::size_t max_keys = 10'000;
  std::size_t max_key_bytes = 256;
  /// Largest single answer that is stored; a repeat of a larger one is answered
  /// unknown.
  std::size_t max_answer_bytes = std::size_t{16} * 1024;
  std::size_t max_total_answer_bytes = std::size_t{8} * 1024 * 1024;
  /// Requests answered not-run whose late copies are still recognised.
  std::size_t max_refused_requests = 10'000;
};

/// @brief Outcomes of idempotency keys at their home shard. Used only while the
/// shard owner holds the shard, from `ready` until `step_down`.
class key_registry {
 public:
  /// @param takeover ballot of the takeover.
  /// @param exclusive_since time from `ready`.
  key_registry(key_registry_options options,
               const ballot& takeover,
               time_point exclusive_since);

  /// @brief Issues a key that embeds the takeover ballot.
  idempotency_key Issue();

  /// @brief Looks the key up for one request and remembers it until the margin
  /// after @p deadline. A copy of a request that was answered not-run stays
  /// not-run.
  key_answer Begin(const idempotency_key& key,
                   request_id request,
                   time_point deadline,
                   time_point now);
  /// @brief The dispatched request was answered in full.
  void Finish(const idempotency_key& key, std::string answer);
  /// @brief The dispatched request has an unknown outcome.
  void Lose(const idempotency_key& key);
  /// @brief It is proven that the dispatched request did not run. A later
  /// request with the key may run.
  void NotRun(const idempotency_key& key, request_id request);
  /// @brief Forgets keys whose deadline has passed.
  void Tick(time_point now);

  std::optional<time_point> NextDeadline() const;
  std::size_t Keys() const { return keys_.size(); }
  std::size_t AnswerBytes() const { return answer_bytes_; }

 private:
  struct entry {
    key_state state = key_state::kInProgress;
    std::optional<std::string> answer;
    time_point deadline;
  };

  entry* InProgress(const idempotency_key& key);
  key_answer Refuse(request_id request);
  void Forget(const std::string& text);

  key_registry_options options_;
  ballot takeover_;
  time_point callers_keys_from_;
  std::uint64_t issued_ = 0;
  std::size_t answer_bytes_ = 0;
  absl::flat_hash_map<std::string, entry> keys_;
  std::set<std::pair<time_point, std::string>> deadlines_;
  absl::flat_hash_set<request_id> refused_;
  std::deque<request_id> refused_order_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_KEY_REGISTRY_HPP
