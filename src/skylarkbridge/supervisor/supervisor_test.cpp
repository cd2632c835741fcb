#include "skylarkbridge/supervisor/supervisor.hpp"

#include <gtest/gtest.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <string>
#include <vector>

#include "absl/synchronization/notification.h"
#include "skylarkbridge/base/failure.hpp"

namespace skylarkbridge::supervisor {
namespace {

namespace leaf = boost::leaf;

/// Records what children do, in order.
class journal {
 public:
  void Add(std::string line) {
    absl::MutexLock lock(&mutex_);
    lines_.push_back(std::move(line));
  }
  std::vector<std::string> Lines() const {
    absl::MutexLock lock(&mutex_);
    return lines_;
  }

 private:
  mutable absl::Mutex mutex_;
  std::vector<std::string> lines_;
};

child_spec Steady(const std::string& name, journal& log) {
  return {.name = name, .run = [&log, name](stop_signal& stop) {
            log.Add("start " + name);
            stop.Wait();
            log.Add("stop " + name);
            return leaf::result<void>();
          }};
}

/// Fails its first runs, then asks the whole tree to stop.
child_spec FailsThenStops(int failures, stop_signal& root, journal& log) {
  return {.name = "flaky",
          .run = [&root, &log, left = failures](
                     stop_signal& stop) mutable -> leaf::result<void> {
            log.Add("start flaky");
            if (left-- > 0) {
              return leaf::new_error(failure{"flaky", "broken"});
            }
            root.Request(boot_clock::now());
            stop.Wait();
            return {};
          }};
}

using lines = std::vector<std::string>;

// A failing child must not take its siblings down with one-for-one.
TEST(SupervisorTest, OneForOneRestartsOnlyTheFailedChild) {
  journal log;
  stop_signal stop;
  supervisor tree("root", {});
  tree.Add(Steady("a", log));
  tree.Add(FailsThenStops(2, stop, log));
  EXPECT_TRUE(tree.Run(stop));
  int starts_of_a = 0;
  int starts_of_flaky = 0;
  for (const std::string& line : log.Lines()) {
    starts_of_a += line == "start a" ? 1 : 0;
    starts_of_flaky += line == "start flaky" ? 1 : 0;
  }
  EXPECT_EQ(starts_of_a, 1);
  EXPECT_EQ(starts_of_flaky, 3);
}

// Children that depend on a failed one must start again after it.
TEST(SupervisorTest, RestForOneRestartsLaterChildren) {
  journal log;
  stop_signal stop;
  absl::Notification both_started;
  int starts_of_last = 0;
  supervisor tree("root", {.strategy = restart_strategy::kRestForOne});
  tree.Add(Steady("first", log));
  tree.Add({.name = "middle",
            .run = [&, failed = false](
                       stop_signal& own) mutable -> leaf::result<void> {
              both_started.WaitForNotification();
              if (!std::exchange(failed, true)) {
                return leaf::new_error(failure{"middle", "broken"});
              }
              own.Wait();
              return {};
            }});
  tree.Add({.name = "last", .run = [&](stop_signal& own) {
              if (++starts_of_last == 1) {
                both_started.Notify();
              } else {
                stop.Request(boot_clock::now());
              }
              own.Wait();
              return leaf::result<void>();
            }});
  EXPECT_TRUE(tree.Run(stop));
  EXPECT_EQ(starts_of_last, 2);
  EXPECT_EQ(log.Lines(), (lines{"start first", "stop first"}));
}

// A child that throws must be restarted like one that returns an error.
TEST(SupervisorTest, RestartsAfterException) {
  stop_signal stop;
  int runs = 0;
  supervisor tree("root", {});
  tree.Add({.name = "thrower", .run = [&](stop_signal& own) {
              if (++runs == 1) {
                throw std::runtime_error("boom");
              }
              stop.Request(boot_clock::now());
              own.Wait();
              return leaf::result<void>();
            }});
  EXPECT_TRUE(tree.Run(stop));
  EXPECT_EQ(runs, 2);
}

// A child that never comes up must not be restarted for ever: its supervisor
// gives up, and so does the parent in turn.
TEST(SupervisorTest, EscalatesThroughTheTree) {
  stop_signal stop;
  int runs = 0;
  supervisor tree("root", {.limits = {.max_restarts = 1}});
  supervisor& inner =
      tree.AddSupervisor("inner", {.limits = {.max_restarts = 2}});
  inner.Add({.name = "broken", .run = [&](stop_signal&) -> leaf::result<void> {
               ++runs;
               return leaf::new_error(failure{"broken", "no start"});
             }});
  const std::string error = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(tree.Run(stop));
        return std::string("none");
      },
      [](const failure& found) { return Format(found); },
      [] { return std::string("unknown"); });
  EXPECT_EQ(error,
            "supervisor root: child inner needs more restarts than the limit "
            "of 1");
  EXPECT_EQ(runs, 6);
}

// Children stop in reverse order, so that what accepts work ends before what
// carries it out.
TEST(SupervisorTest, StopsInReverseOrder) {
  journal log;
  stop_signal stop;
  supervisor tree("root", {});
  tree.Add(Steady("a", log));
  tree.Add(Steady("b", log));
  tree.Add(FailsThenStops(0, stop, log));
  EXPECT_TRUE(tree.Run(stop));
  const lines seen = log.Lines();
  ASSERT_EQ(seen.size(), 5u);
  EXPECT_EQ((lines{seen.end() - 2, seen.end()}), (lines{"stop b", "stop a"}));
}

TEST(RestartIntensityTest, ForgetsOldRestarts) {
  restart_intensity intensity(
      {.max_restarts = 1, .window = std::chrono::seconds(10)});
  const time_point start{std::chrono::hours(1)};
  EXPECT_TRUE(intensity.Allow(start));
  EXPECT_FALSE(intensity.Allow(start + std::chrono::seconds(5)));
  EXPECT_TRUE(intensity.Allow(start + std::chrono::seconds(20)));
}

}  // namespace
}  // namespace skylarkbridge::supervisor
