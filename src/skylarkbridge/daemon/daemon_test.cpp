#include "skylarkbridge/daemon/daemon.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include "skylarkbridge/daemon/running_daemon.hpp"
#include "skylarkbridge/standin/callers.hpp"
#include "skylarkbridge/standin/fleet.hpp"

namespace skylarkbridge::daemon {
namespace {

constexpr char kPath[] = "/v1/services/label-and-slip";

declaration::configuration Declared() {
  declaration::configuration declared;
  declared.teams = {{.name = "despacho"}};
  declared.services = {{.name = "label-and-slip",
                        .team = "despacho",
                        .default_deadline = std::chrono::seconds(20),
                        .idempotent = true}};
  return declared;
}

daemon_options Options(const standin::fleet& workers,
                       entry_vm_id vm = entry_vm_id{1}) {
  daemon_options options = LoopbackOptions(workers.PlatformAddress(), vm);
  options.callers.keep_alive = std::chrono::seconds(1);
  options.callers.lame_duck = std::chrono::milliseconds(300);
  options.vm_list.interval = std::chrono::milliseconds(50);
  return options;
}

/// Key whose home shard has worker 1; a shard without workers has no owner.
std::string KeyWithHome() {
  const coordination::shard_map shards(control_options{}.shards);
  std::string key = "invoice";
  while (shards.ShardOfKey(coordination::Digest(key)) !=
         shards.ShardOf(worker_id{1})) {
    key += "-7";
  }
  return key;
}

/// Daemon on a fleet of two workers with 2 slots each.
class DaemonTest : public testing::Test {
 protected:
  DaemonTest()
      : workers_({.workers = 2,
                  .worker = {.slots = 2,
                             .service_time = std::chrono::milliseconds(1)}}),
        entry_vm_(Options(workers_)) {
    EXPECT_TRUE(entry_vm_.Publish(Declared()));
  }

  httplib::Result Post(const std::string& path,
                       const std::string& body,
                       const httplib::Headers& headers = {}) {
    const ip_address to = entry_vm_.CallersAddress();
    httplib::Client client(to.host, to.port);
    client.set_read_timeout(std::chrono::seconds(30));
    return client.Post(path, headers, body, "text/plain");
  }

  standin::fleet workers_;
  running_daemon entry_vm_;
};

// Answers that overtake each other must reach their own callers, and no worker
// may get more requests than it has slots.
TEST_F(DaemonTest, EveryCallerGetsItsOwnAnswer) {
  const standin::caller_tally tally =
      standin::SendRequests({.entries = {entry_vm_.CallersAddress()},
                             .callers = 16,
                             .requests = 400});
  EXPECT_EQ(tally.done, 400);
  EXPECT_EQ(tally.wrong, 0);
  for (std::size_t i = 0; i < workers_.Size(); ++i) {
    EXPECT_LE(workers_.Worker(i).MostAtOnce(), 2);
  }
}

// A planned stop must cut off no request: callers move to the other VM.
TEST_F(DaemonTest, GracefulStopCutsOffNothing) {
  running_daemon other(Options(workers_, entry_vm_id{2}));
  workers_.ListEntryVms({entry_vm_.Describe(), other.Describe()});
  ASSERT_TRUE(other.Get().Port().WaitUntilReady(boot_clock::now() +
                                                std::chrono::seconds(20)));
  standin::caller_tally tally;
  posix_thread load =
      posix_thread::Start("load", [&] {
        tally = standin::SendRequests(
            {.entries = {entry_vm_.CallersAddress(), other.CallersAddress()},
             .callers = 8,
             .requests = 3000});
      }).value();
  EXPECT_TRUE(entry_vm_.Stop());
  load.Join();
  EXPECT_EQ(tally.cut_off, 0);
  EXPECT_EQ(tally.wrong, 0);
  EXPECT_EQ(tally.unknown, 0);
  EXPECT_EQ(tally.done + tally.not_run, 3000);
  for (std::size_t i = 0; i < workers_.Size(); ++i) {
    EXPECT_LE(workers_.Worker(i).MostAtOnce(), 2);
  }
}

// A caller that repeats an invoice with its key must not cause a second run.
TEST_F(DaemonTest, RepeatedKeyRunsOnce) {
  const httplib::Headers headers = {{"Idempotency-Key", KeyWithHome()},
                                    {"Skylarkbridge-Idempotent", "false"}};
  const httplib::Result first = Post(kPath, "kit 7", headers);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->get_header_value("Skylarkbridge-Outcome"), "done")
      << first->body;
  const httplib::Result again = Post(kPath, "kit 8", headers);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->status, 200);
  EXPECT_EQ(again->body, "kit 7");
  EXPECT_EQ(workers_.Worker(0).Served() + workers_.Worker(1).Served(), 1);
}

// Metrics count what callers were told, and need the operators' token.
TEST_F(DaemonTest, ExposesMetricsToOperatorsOnly) {
  ASSERT_TRUE(Post(kPath, "kit"));
  const ip_address to = entry_vm_.OperatorsAddress();
  httplib::Client client(to.host, to.port);
  const httplib::Result refused = client.Get("/metrics");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 401);
  client.set_bearer_token_auth(kLoopbackToken);
  const httplib::Result metrics = client.Get("/metrics");
  ASSERT_TRUE(metrics);
  EXPECT_NE(
      metrics->body.find("skylarkbridge_requests_total{outcome=\"done\"} 1"),
      std::string::npos)
      << metrics->body;
}

// All faults of a request are reported together, and the request did not run.
TEST_F(DaemonTest, ReportsAllFaultsOfARequest) {
  const httplib::Result answer =
      Post(kPath, "kit",
           {{"Skylarkbridge-Deadline-Ms", "-5"},
            {"Skylarkbridge-Idempotent", "perhaps"}});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 400);
  EXPECT_EQ(answer->get_header_value("Skylarkbridge-Outcome"), "not-run");
  EXPECT_NE(answer->body.find("header Skylarkbridge-Deadline-Ms"),
            std::string::npos);
  EXPECT_NE(answer->body.find("header Skylarkbridge-Idempotent"),
            std::string::npos);
}

TEST_F(DaemonTest, RefusesUnknownServiceAndLargeBody) {
  const httplib::Result unknown = Post("/v1/services/none", "kit");
  ASSERT_TRUE(unknown);
  EXPECT_EQ(unknown->status, 404);
  EXPECT_NE(unknown->body.find("unknown_service"), std::string::npos);
  const httplib::Result large = Post(kPath, std::string((1 << 20) + 1, 'x'));
  ASSERT_TRUE(large);
  EXPECT_EQ(large->status, 413);
  EXPECT_NE(large->body.find("body_too_large"), std::string::npos);
}

// A daemon whose address is taken must end with an error instead of sharing
// the port or trying for ever.
TEST_F(DaemonTest, GivesUpWhenTheAddressIsTaken) {
  daemon_options options = Options(workers_);
  options.callers.address = entry_vm_.CallersAddress();
  daemon second(options);
  stop_signal stop;
  EXPECT_FALSE(second.Run(stop));
}

}  // namespace
}  // namespace skylarkbridge::daemon
