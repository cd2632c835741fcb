#ifndef SKYLARKBRIDGE_SCHEDULING_RETRY_BUDGET_HPP
#define SKYLARKBRIDGE_SCHEDULING_RETRY_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace skylarkbridge::scheduling {

/// @brief Limits on retries and hedges.
struct retry_options {
  /// Retries and hedges per first attempt, in thousandths. The target is at
  /// most 1.1 attempts per request while half of the upstreams fail.
  std::int64_t budget_permille = 90;
  /// Initial balance: retries and hedges that are allowed before any traffic.
  std::int64_t initial_attempts = 3;
  /// Maximum balance: unused retries and hedges that can accumulate.
  std::int64_t max_saved_attempts = 20;
  /// Whether a second attempt of an idempotent request is started while a slow
  /// first one is still running.
  bool hedging = false;
};

/// @brief Limits retries and hedges of one service to a fraction of its first
/// attempts.
class retry_budget {
 public:
  explicit retry_budget(const retry_options& options)
      : deposit_(options.budget_permille),
        limit_(options.max_saved_attempts * kAttemptCost),
        balance_(options.initial_attempts * kAttemptCost) {}

  /// @brief Records a first attempt.
  void Deposit() { balance_ = std::min(balance_ + deposit_, limit_); }

  /// @brief Whether the balance covers a retry or a hedge.
  bool CanWithdraw() const { return balance_ >= kAttemptCost; }
  /// @brief Records a retry or a hedge. CanWithdraw must be true.
  void Withdraw() { balance_ -= kAttemptCost; }

 private:
  /// Balances are in thousandths of an attempt.
  static constexpr std::int64_t kAttemptCost = 1000;

  std::int64_t deposit_;
  std::int64_t limit_;
  std::int64_t balance_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_RETRY_BUDGET_HPP
