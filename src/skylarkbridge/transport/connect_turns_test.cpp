#include "skylarkbridge/transport/connect_turns.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>

namespace skylarkbridge::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInterval{5};
constexpr time_point kStart{seconds(1000)};

/// Servers that refuse all connections, each of which is tried again at once.
struct refusing_servers {
  explicit refusing_servers(int count) {
    for (int server = 0; server < count; ++server) {
      Try(server);
    }
  }
  void Try(int server) {
    turns.Add([this, server] {
      ++attempts[server];
      Try(server);
      return true;
    });
  }
  int Total() const {
    int total = 0;
    for (const auto& [server, count] : attempts) {
      total += count;
    }
    return total;
  }

  connect_turns turns{kInterval};
  std::map<int, int> attempts;
};

// Guards against a first attempt that waits although nothing was tried before.
TEST(ConnectTurnsTest, TheFirstAttemptBeginsAtOnce) {
  refusing_servers servers(1);
  EXPECT_LE(servers.turns.NextTurn(), kStart);
  servers.turns.Run(kStart);
  EXPECT_EQ(servers.attempts[0], 1);
  EXPECT_EQ(servers.turns.NextTurn(), kStart + kInterval);
}

// Guards against connection attempts that fill the link of a VM when many
// workers are down, and against workers that get no turn.
TEST(ConnectTurnsTest, AllServersShareTheInterval) {
  constexpr int kServers = 20;
  refusing_servers servers(kServers);
  const time_point end = kStart + kServers * kInterval;
  for (time_point now = kStart; now < end; now += milliseconds(1)) {
    servers.turns.Run(now);
  }
  EXPECT_EQ(servers.Total(), kServers);
  EXPECT_EQ(servers.attempts.size(), static_cast<std::size_t>(kServers));
}

// Guards against a next life that is reached late beside load (TWICE,
// review/7): each wake-up of the thread that is late put off all later ones.
TEST(ConnectTurnsTest, ALateTurnDoesNotDelayTheNextOne) {
  refusing_servers servers(1);
  servers.turns.Run(kStart);
  servers.turns.Run(kStart + kInterval + milliseconds(4));
  EXPECT_EQ(servers.attempts[0], 2);
  EXPECT_EQ(servers.turns.NextTurn(), kStart + 2 * kInterval);
}

// Guards against a burst of attempts after the process was suspended.
TEST(ConnectTurnsTest, MissedTurnsAreNotMadeUpFor) {
  refusing_servers servers(3);
  servers.turns.Run(kStart);
  servers.turns.Run(kStart + seconds(1));
  EXPECT_EQ(servers.Total(), 2);
  EXPECT_EQ(servers.turns.NextTurn(), kStart + seconds(1) + kInterval);
}

// Guards against turns that are lost to requests that have ended meanwhile.
TEST(ConnectTurnsTest, AnAttemptThatIsNotNeededTakesNoTurn) {
  connect_turns turns(kInterval);
  bool begun = false;
  turns.Add([] { return false; });
  turns.Add([&begun] { return begun = true; });
  turns.Run(kStart);
  EXPECT_TRUE(begun);
  EXPECT_FALSE(turns.NextTurn());
}

}  // namespace
}  // namespace skylarkbridge::transport
