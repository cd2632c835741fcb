#ifndef SKYLARKBRIDGE_COORDINATION_TASK_OUTCOME_HPP
#define SKYLARKBRIDGE_COORDINATION_TASK_OUTCOME_HPP

namespace skylarkbridge::coordination {

/// @brief How a task ended for whoever submitted it.
enum class task_outcome {
  kSucceeded,
  kFailed,
  kCancelled,
  /// A non-idempotent task may have run, wholly or in part.
  kUnknown,
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_TASK_OUTCOME_HPP
