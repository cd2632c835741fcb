#include "skylarkbridge/daemon/served_daemon.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/base/termination.hpp"
#include "skylarkbridge/daemon/events.hpp"

namespace skylarkbridge::daemon {
namespace {

namespace leaf = boost::leaf;

bool RunAndReport(daemon& served, stop_signal& stop) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(served.Run(stop));
        return true;
      },
      [](const failure& error) {
        LogEvent(kDaemonFailed, {{"error", Format(error)}});
        return false;
      },
      [] {
        LogEvent(kDaemonFailed, {{"error", "unknown"}});
        return false;
      });
}

}  // namespace

bool ServeUntilTerminated(daemon_options options,
                          std::chrono::milliseconds drain_time) {
  BlockTerminationSignals();
  daemon served(std::move(options));
  stop_signal stop;
  bool ended_well = false;
  posix_thread runner = posix_thread::Start("daemon", [&] {
                          ended_well = RunAndReport(served, stop);
                          RequestTermination();
                        }).value();
  WaitForTermination();
  stop.Request(boot_clock::now() + drain_time);
  runner.Join();
  return ended_well;
}

}  // namespace skylarkbridge::daemon
