#include "skylarkbridge/coordination/configuration_ledger.hpp"

#include <gtest/gtest.h>

#include <memory>

#include "log_fake.hpp"

namespace skylarkbridge::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A configuration is a line of words; a difference adds one. "bad" anywhere
/// makes the whole invalid.
struct words_scheme {
  std::optional<std::string> Check(const std::string& text,
                                   findings& found) const {
    if (text.find("bad") != std::string::npos) {
      found.Add("words", "\"bad\" is not allowed");
      return std::nullopt;
    }
    return text;
  }
  std::optional<std::string> Apply(const std::string& base,
                                   const std::string& difference,
                                   findings& found) const {
    return Check(base.empty() ? difference : base + " " + difference, found);
  }
  std::vector<std::string> Changes(const std::string& from,
                                   const std::string& to) const {
    return {"from \"" + from + "\" to \"" + to + "\""};
  }
};

using ledger_type = configuration_ledger<words_scheme>;

struct stream_writer {
  std::uint64_t writer = 1;
  log_offset offset = 0;
  std::uint64_t sequence = 0;

  stored_record Next(record_body body) {
    return {offset++, {{{writer}, ++sequence}, {}, std::move(body)}};
  }
  stored_record Full(version_number base, std::string text) {
    return Next(configuration_published{base, true, std::move(text)});
  }
  stored_record Difference(version_number base, std::string text) {
    return Next(configuration_published{base, false, std::move(text)});
  }
};

template <class T, class List>
const T* FindEvent(const List& events) {
  for (const auto& event : events) {
    if (const T* wanted = std::get_if<T>(&event)) {
      return wanted;
    }
  }
  return nullptr;
}

// Of two concurrent publishes the same one must win on every VM, and the loser
// must learn who won and what changed.
TEST(ConfigurationLedgerTest, TheFirstInLogOrderWins) {
  ledger_type ledger({}, {});
  stream_writer log;
  ledger.Apply(log.Full(0, "a"));
  const stored_record winner = log.Difference(1, "b");
  ledger.Apply(winner);
  ledger.Apply(log.Difference(2, "d"));
  const stored_record loser = log.Difference(1, "c");
  const auto lost = ledger.Apply(loser);
  const auto* conflict = FindEvent<publish_conflict>(lost);
  ASSERT_NE(conflict, nullptr);
  EXPECT_EQ(conflict->record, loser.record.id);
  EXPECT_EQ(conflict->winner, winner.record.id);
  EXPECT_EQ(conflict->changes,
            (std::vector<std::string>{"from \"a\" to \"a b\"",
                                      "from \"a b\" to \"a b d\""}));
  EXPECT_EQ(ledger.InEffect().text, "a b d");
}

// A difference that is fine alone but makes the whole invalid must not count,
// and must leave its base open for the next publish.
TEST(ConfigurationLedgerTest, ChecksTheWholeBeforeItCounts) {
  ledger_type ledger({}, {});
  stream_writer log;
  ledger.Apply(log.Full(0, "a b"));
  const auto events = ledger.Apply(log.Difference(1, "bad"));
  ASSERT_NE(FindEvent<publish_invalid>(events), nullptr);
  EXPECT_EQ(ledger.Tag().number, 1);
  ledger.Apply(log.Difference(1, "c"));
  EXPECT_EQ(ledger.InEffect().text, "a b c");
  const auto unknown = ledger.Apply(log.Difference(9, "d"));
  EXPECT_NE(FindEvent<publish_invalid>(unknown), nullptr);
}

// A record written twice after a lost reply must not be told to its operator
// as a conflict with itself.
TEST(ConfigurationLedgerTest, IgnoresARepeatedRecord) {
  ledger_type ledger({}, {});
  stream_writer log;
  stored_record published = log.Full(0, "a");
  ledger.Apply(published);
  published.offset = log.offset++;
  EXPECT_TRUE(ledger.Apply(published).empty());
}

// Versions from peers must work while the log is down, and an older one must
// never take a VM back.
TEST(ConfigurationLedgerTest, NeverGoesBack) {
  ledger_type ledger({}, {});
  const time_point now{seconds(1)};
  EXPECT_EQ(ledger.State(), configuration_state::kUnknown);
  const known_version newer{7, "g", 40};
  const known_version older{6, "f", 39};
  EXPECT_EQ(ledger.Offer({3}, newer.Tag(), now),
            (configuration_event_list{fetch_configuration{{3}, newer.Tag()}}));
  EXPECT_EQ(ledger.Receive(newer.Tag(), newer),
            (configuration_event_list{configuration_in_effect{newer.Tag()}}));
  EXPECT_TRUE(ledger.Receive(older.Tag(), older).empty());
  EXPECT_TRUE(ledger.Offer({2}, older.Tag(), now).empty());
  stream_writer log;
  ledger.Apply(log.Full(0, "a"));
  EXPECT_EQ(ledger.InEffect().number, 7);
}

// A text that does not belong to its digest, or that is invalid, must be
// refused, and heartbeats must not make the VM ask for it again.
TEST(ConfigurationLedgerTest, RefusesABadVersionFromAPeer) {
  ledger_type ledger({}, {});
  const time_point now{seconds(1)};
  const known_version bad{7, "bad", 40};
  ledger.Offer({3}, bad.Tag(), now);
  const auto events = ledger.Receive(bad.Tag(), bad);
  EXPECT_NE(FindEvent<peer_version_refused>(events), nullptr);
  EXPECT_TRUE(ledger.Offer({3}, bad.Tag(), now).empty());
  const auto forged = ledger.Receive({7, 1}, {7, "fine", 40});
  EXPECT_NE(FindEvent<peer_version_refused>(forged), nullptr);
  EXPECT_EQ(ledger.State(), configuration_state::kUnknown);
}

// While the log works, the text must not travel between peers as well; at
// 18,000 changes a day that would use the budget of traffic.
TEST(ConfigurationLedgerTest, LeavesTheLogTimeToDeliver) {
  ledger_type ledger({}, {});
  stream_writer log;
  ledger.Apply(log.Full(0, "a"));
  const version_tag next = known_version{2, "a b"}.Tag();
  time_point now{seconds(1)};
  EXPECT_TRUE(ledger.Offer({2}, next, now).empty());
  ledger.Apply(log.Difference(1, "b"));
  now += seconds(5);
  EXPECT_TRUE(ledger.Tick(now).empty());
  EXPECT_EQ(ledger.NextDeadline(), std::nullopt);
}

// After a gap a VM must not take a record for a winner that lost to one in the
// gap.
TEST(ConfigurationLedgerTest, WaitsForASnapshotAfterAGap) {
  ledger_type ledger({}, {});
  stream_writer log;
  ledger.Apply(log.Full(0, "a"));
  ledger.Skip({1, 3});
  log.offset = 3;
  const stored_record late = log.Difference(1, "c");
  ledger.Apply(late);
  EXPECT_EQ(ledger.InEffect().text, "a");
  const auto events = ledger.Apply(log.Next(
      configuration_snapshot{{.number = 3, .text = "x", .valid_until = 3}}));
  const auto* replaced = FindEvent<configuration_replaced>(events);
  ASSERT_NE(replaced, nullptr);
  EXPECT_EQ(replaced->offset, 3);
  const auto again = ledger.Apply(late);
  EXPECT_NE(FindEvent<publish_conflict>(again), nullptr);
  EXPECT_EQ(ledger.InEffect().text, "x");
}

// A VM that went on after a gap must return to the versions of the others, or
// it would refuse every later base.
TEST(ConfigurationLedgerTest, TakesASnapshotAfterAnAcceptedGap) {
  ledger_type ledger({}, {});
  stream_writer log;
  ledger.Apply(log.Full(0, "a"));
  ledger.Skip({1, 3});
  ledger.AcceptGap();
  log.offset = 3;
  ledger.Apply(log.Difference(2, "c"));
  EXPECT_EQ(ledger.Tag().number, 1) << "its base stands in the gap";
  const stored_record snapshot = log.Next(
      configuration_snapshot{{.number = 3, .text = "a b c", .valid_until = 4}});
  EXPECT_NE(FindEvent<configuration_replaced>(ledger.Apply(snapshot)), nullptr);
  ledger.Apply(snapshot);
  ledger.Apply(log.Difference(3, "d"));
  EXPECT_EQ(ledger.InEffect().text, "a b c d");
}

/// One VM that folds the log and passes versions to its peers.
struct vm_fake {
  vm_fake(virtual_time& time, log_fake& log, std::uint64_t id)
      : vm{id}, client(time, log, id, log_stream::kConfiguration) {}
  entry_vm_id vm;
  log_client_fake client;
  std::optional<ledger_type> ledger{std::in_place, words_scheme{},
                                    configuration_ledger_options{}};
};

/// Eight VMs on one log with 1.5 ms between them and a heartbeat per 500 ms.
class fleet_fake {
 public:
  fleet_fake() {
    for (std::uint64_t i = 1; i <= 8; ++i) {
      vms.push_back(std::make_unique<vm_fake>(time, log, i));
      vm_fake& vm = *vms.back();
      vm.client.on_record = [this, &vm](const stored_record& stored) {
        Run(vm, vm.ledger->Apply(stored));
      };
      vm.client.on_end = [&vm] { vm.ledger->ReachedEnd(); };
    }
    Beat();
  }

  /// Time until version @p number is in effect on all VMs.
  milliseconds TimeUntil(version_number number) {
    const time_point start = time.Now();
    const auto behind = [&](const auto& vm) {
      return vm->ledger->Tag().number < number;
    };
    while (std::any_of(vms.begin(), vms.end(), behind) &&
           time.Now() - start < seconds(60)) {
      time.RunFor(milliseconds(1));
    }
    return std::chrono::duration_cast<milliseconds>(time.Now() - start);
  }

  virtual_time time;
  log_fake log;
  std::vector<std::unique_ptr<vm_fake>> vms;

 private:
  void Beat() {
    for (const auto& vm : vms) {
      OfferToAll(*vm);
      Run(*vm, vm->ledger->Tick(time.Now()));
    }
    time.After(milliseconds(500), [this] { Beat(); });
  }
  void OfferToAll(const vm_fake& from) {
    for (const auto& vm : vms) {
      if (vm->vm != from.vm) {
        time.After(
            std::chrono::microseconds(1500),
            [this, to = vm.get(), id = from.vm, tag = from.ledger->Tag()] {
              Run(*to, to->ledger->Offer(id, tag, time.Now()));
              TickAt(*to);
            });
      }
    }
  }
  void TickAt(vm_fake& vm) {
    if (const auto at = vm.ledger->NextDeadline()) {
      time.After(*at - time.Now(),
                 [this, &vm] { Run(vm, vm.ledger->Tick(time.Now())); });
    }
  }
  void Run(vm_fake& vm, const configuration_event_list& events) {
    for (const auto& event : events) {
      if (const auto* fetch = std::get_if<fetch_configuration>(&event)) {
        const known_version version =
            vms[fetch->peer.value - 1]->ledger->ForPeer();
        time.After(milliseconds(3), [this, &vm, version] {
          Run(vm, vm.ledger->Receive(version.Tag(), version));
        });
      } else if (std::get_if<configuration_in_effect>(&event) != nullptr) {
        OfferToAll(vm);
      }
    }
  }
};

// An accepted configuration must be in effect on 8 VMs within 2 s.
TEST(ConfigurationFleetTest, IsInEffectOnAllVmsWithTheLogUp) {
  fleet_fake fleet;
  fleet.vms[0]->client.Add(configuration_published{0, true, "a"});
  const milliseconds first = fleet.TimeUntil(1);
  fleet.time.RunFor(seconds(5));
  fleet.vms[3]->client.Add(configuration_published{1, false, "b"});
  const milliseconds second = fleet.TimeUntil(2);
  RecordProperty("first_ms", std::to_string(first.count()));
  RecordProperty("second_ms", std::to_string(second.count()));
  EXPECT_LE(first, seconds(2));
  EXPECT_LE(second, seconds(2));
}

// The log stops right after one VM has read a version; the others, and a VM
// that starts during the outage, must get it from their peers.
TEST(ConfigurationFleetTest, IsInEffectOnAllVmsWithTheLogDown) {
  fleet_fake fleet;
  fleet.vms[0]->client.Add(configuration_published{0, true, "a"});
  fleet.TimeUntil(1);
  fleet.time.RunFor(seconds(1));
  fleet.log.up = false;
  fleet.time.RunFor(seconds(5));
  stream_writer direct{.writer = 99, .offset = 1};
  fleet.vms[5]->ledger->Apply(direct.Difference(1, "b"));
  const milliseconds down = fleet.TimeUntil(2);
  RecordProperty("down_ms", std::to_string(down.count()));
  EXPECT_LE(down, seconds(2));
  fleet.vms[2]->ledger.emplace(words_scheme{}, configuration_ledger_options{});
  const milliseconds start = fleet.TimeUntil(2);
  RecordProperty("start_ms", std::to_string(start.count()));
  EXPECT_LE(start, seconds(2));
}

// With the log down and no configuration at any peer, a VM must say so instead
// of serving with an empty one.
TEST(ConfigurationFleetTest, SaysThatNoConfigurationIsKnown) {
  fleet_fake fleet;
  fleet.log.up = false;
  fleet.time.RunFor(seconds(10));
  for (const auto& vm : fleet.vms) {
    EXPECT_EQ(vm->ledger->State(), configuration_state::kUnknown);
  }
  fleet.log.up = true;
  fleet.time.RunFor(seconds(10));
  EXPECT_EQ(fleet.vms[0]->ledger->State(), configuration_state::kNonePublished);
}

}  // namespace
}  // namespace skylarkbridge::coordination
