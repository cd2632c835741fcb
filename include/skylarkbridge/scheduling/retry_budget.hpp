#ifndef SKYLARKBRIDGE_SCHEDULING_RETRY_BUDGET_HPP
#define SKYLARKBRIDGE_SCHEDULING_RETRY_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace skylarkbridge::scheduling {

struct retry_options {
  /// Further attempts that each first attempt pays for, in thousandths. The aim
  /// is at most 1.1 attempts per request while half of the upstreams fail.
  std::int64_t budget_permille = 90;
  /// Further attempts that a service may make before it had any traffic.
  std::int64_t initial_attempts = 3;
  /// Most further attempts that can be saved up.
  std::int64_t max_saved_attempts = 20;
  /// Whether a second attempt of an idempotent request starts while a slow
  /// first one still runs.
  bool hedging = false;
};

/// @brief Limits further attempts to a share of the first attempts.
class retry_budget {
 public:
  explicit retry_budget(const retry_options& options)
      : deposit_(options.budget_permille),
        limit_(options.max_saved_attempts * kCost),
        balance_(options.initial_attempts * kCost) {}

  /// @brief Records a first attempt.
  void Deposit() { balance_ = std::min(balance_ + deposit_, limit_); }

  bool CanWithdraw() const { return balance_ >= kCost; }
  /// @brief Pays for a further attempt; only after CanWithdraw.
  void Withdraw() { balance_ -= kCost; }

 private:
  static constexpr std::int64_t kCost = 1000;

  std::int64_t deposit_;
  std::int64_t limit_;
  std::int64_t balance_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_RETRY_BUDGET_HPP
