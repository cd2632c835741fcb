#ifndef SKYLARKBRIDGE_SUPERVISOR_CHILD_SPEC_HPP
#define SKYLARKBRIDGE_SUPERVISOR_CHILD_SPEC_HPP

#include <boost/leaf/result.hpp>
#include <string>

#include "absl/functional/any_invocable.h"
#include "skylarkbridge/base/stop_signal.hpp"

namespace skylarkbridge::supervisor {

/// @brief When a child that has ended is started again.
enum class restart_policy {
  /// After every end.
  kPermanent,
  /// Only after a failure.
  kTransient,
};

/// @brief One child of a supervisor.
struct child_spec {
  /// Shown in logs and as the thread's name.
  std::string name;
  /// Body of the child, run on a thread of its own and called again for each
  /// restart. It returns success when the stop signal asked for it, and an
  /// error (or throws) otherwise.
  absl::AnyInvocable<boost::leaf::result<void>(stop_signal& stop)> run;
  restart_policy policy = restart_policy::kPermanent;
};

}  // namespace skylarkbridge::supervisor

#endif  // SKYLARKBRIDGE_SUPERVISOR_CHILD_SPEC_HPP
