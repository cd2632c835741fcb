#ifndef SKYLARKBRIDGE_SUPERVISOR_SUPERVISOR_HPP
#define SKYLARKBRIDGE_SUPERVISOR_SUPERVISOR_HPP

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/supervisor/child_spec.hpp"
#include "skylarkbridge/supervisor/restart_intensity.hpp"

namespace skylarkbridge::supervisor {

/// @brief Which children are restarted when one has failed.
enum class restart_strategy {
  /// Only the failed child.
  kOneForOne,
  /// The failed child and all that were added after it.
  kRestForOne,
};

struct supervisor_options {
  restart_strategy strategy = restart_strategy::kOneForOne;
  restart_limits limits;
};

/// @brief Starts its children in order, restarts those that fail, and stops
/// them in reverse order.
///
/// A supervisor is itself the body of a child of its parent (see
/// AddSupervisor), which gives the tree.
class supervisor {
 public:
  supervisor(std::string name, supervisor_options options);
  ~supervisor();
  supervisor(const supervisor&) = delete;
  supervisor& operator=(const supervisor&) = delete;

  /// @brief Adds a child. Call only before Run.
  void Add(child_spec spec);

  /// @brief Adds a nested supervisor, which is restarted as a whole when it
  /// gives up. The reference stays valid as long as this object.
  supervisor& AddSupervisor(std::string name, supervisor_options options);

  /// @brief Runs the children until @p stop is requested, then stops them in
  /// reverse order by the drain deadline. Fails with `failure` when there were
  /// more restarts than the limits allow.
  boost::leaf::result<void> Run(stop_signal& stop);

 private:
  struct child;
  struct exit_notice {
    /// Nothing when the notice asks the supervisor itself to stop.
    std::optional<std::size_t> index;
    std::size_t generation = 0;
    /// Nothing when the child ended without an error.
    std::optional<std::string> error;
  };

  boost::leaf::result<void> Start(std::size_t index);
  boost::leaf::result<void> StartFrom(std::size_t index);
  void StopFrom(std::size_t index, time_point drain_deadline);
  boost::leaf::result<void> HandleExit(const exit_notice& notice,
                                       restart_intensity& intensity);
  boost::leaf::result<void> Restart(std::size_t index);

  const std::string name_;
  const supervisor_options options_;
  std::deque<std::unique_ptr<child>> children_;
  std::deque<std::unique_ptr<supervisor>> nested_;
  mailbox<exit_notice> exits_;
};

}  // namespace skylarkbridge::supervisor

#endif  // SKYLARKBRIDGE_SUPERVISOR_SUPERVISOR_HPP
