#include "skylarkbridge/scenario/centres_fake.hpp"

#include <algorithm>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace skylarkbridge::scenario {

using coordination::configuration_in_effect;
using coordination::configuration_published;
using coordination::fetch_configuration;
using coordination::publish_accepted;
using coordination::publish_conflict;
using coordination::publish_invalid;
using coordination::send_heartbeat;
using coordination::send_update;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{20};
/// Each VM reads the log every 200 ms.
constexpr std::uint64_t kReadRounds = 10;
constexpr milliseconds kLogDelay{5};
/// A writer without a reply looks its record up in the log, and writes it again
/// when it is not there.
constexpr milliseconds kLogRetry{500};
constexpr milliseconds kListInterval{5000};
constexpr std::chrono::microseconds kInside{500};
constexpr std::chrono::microseconds kAcross{1500};

}  // namespace

std::optional<std::string> words_scheme::Check(const std::string& text,
                                               findings& found) const {
  if (text.find("invalid") != std::string::npos) {
    found.Add("words", "\"invalid\" is not allowed");
    return std::nullopt;
  }
  return text;
}

std::optional<std::string> words_scheme::Apply(const std::string& base,
                                               const std::string& difference,
                                               findings& found) const {
  return Check(base.empty() ? difference : absl::StrCat(base, " ", difference),
               found);
}

std::vector<std::string> words_scheme::Changes(const std::string& from,
                                               const std::string& to) const {
  return {absl::StrCat("\"", from, "\" became \"", to, "\"")};
}

centres_fake::centres_fake(std::uint64_t centres,
                           std::uint64_t vms_per_centre) {
  for (std::uint64_t centre = 1; centre <= centres; ++centre) {
    for (std::uint64_t number = 1; number <= vms_per_centre; ++number) {
      Start({(centre * 10) + number});
    }
  }
  Tick();
  ReadLog();
  ListVms();
}

void centres_fake::Start(entry_vm_id id) {
  ++generation_;
  vms.erase(id);
  vms.emplace(
      std::piecewise_construct, std::forward_as_tuple(id),
      std::forward_as_tuple(
          coordination::member_entry{
              .vm = id,
              .data_centre = {CentreOf(id)},
              .address = {"10.0.0.1", static_cast<std::uint16_t>(id.value)},
              .life = {time.Wall(), {generation_}}},
          time.Now()));
}

void centres_fake::Kill(entry_vm_id id) {
  vms.erase(id);
  checker.VmExcused(id);
}

centres_fake::vm* centres_fake::Find(entry_vm_id id) {
  const auto found = vms.find(id);
  return found == vms.end() ? nullptr : &found->second;
}

void centres_fake::Publish(entry_vm_id id,
                           coordination::version_number base,
                           const std::string& text) {
  publishes.push_back({.vm = id, .base = base, .text = text});
  const std::size_t publish = publishes.size() - 1;
  if (!log_up || !ReachesPlatform(id)) {
    publishes.back().result = "refused, the log cannot be reached";
    return;
  }
  const coordination::log_record record{
      .id = {.writer = {1000 + id.value}, .sequence = ++sequence_},
      .written_at = time.Wall(),
      .body = configuration_published{base, base == 0, text}};
  publish_of_[record.id] = publish;
  Append(id, publish, record);
}

void centres_fake::Append(entry_vm_id id,
                          std::size_t publish,
                          const coordination::log_record& record) {
  time.After(kLogDelay, [=, this] {
    if (log_up) {
      log.push_back({log.size(), record});
    }
    if (!log_up || log_replies_lost) {
      time.After(kLogRetry, [=, this] {
        const bool written = std::any_of(
            log.begin(), log.end(),
            [&](const auto& stored) { return stored.record.id == record.id; });
        if (!log_up || !written) {
          Append(id, publish, record);
        }
      });
    }
  });
}

void centres_fake::Observe(entry_vm_id id,
                           worker_id worker,
                           coordination::upstream_status status) {
  if (vm* at = Find(id)) {
    Do(id, at->members.Note({worker, status, time.Wall()}, time.Now()));
  }
}

bool centres_fake::Linked(entry_vm_id a, entry_vm_id b) const {
  return CentreOf(a) == CentreOf(b) || (!partitioned.contains(CentreOf(a)) &&
                                        !partitioned.contains(CentreOf(b)));
}

bool centres_fake::ReachesPlatform(entry_vm_id id) const {
  return !partitioned.contains(CentreOf(id));
}

void centres_fake::Send(entry_vm_id from,
                        entry_vm_id to,
                        const std::function<void(vm&)>& what) {
  if (!Linked(from, to)) {
    return;
  }
  time.After(CentreOf(from) == CentreOf(to) ? kInside : kAcross, [=, this] {
    vm* target = Find(to);
    if (target != nullptr && !target->paused && Linked(from, to)) {
      what(*target);
    }
  });
}

void centres_fake::Tick() {
  for (auto& [id, at] : vms) {
    if (!at.paused) {
      Do(id, at.members.Tick(time.Now()));
      Do(id, at.configuration.Tick(time.Now()));
    }
  }
  checker.CheckTime(time.Now());
  time.After(kTick, [this] { Tick(); });
}

void centres_fake::ReadLog() {
  for (auto& [id, at] : vms) {
    // VMs read in turn, so that an outage can come between two of them.
    const bool due =
        (read_round_ + (3 * CentreOf(id)) + id.value) % kReadRounds == 0;
    if (!due || at.paused || !log_up || !ReachesPlatform(id)) {
      continue;
    }
    while (at.configuration.Next() < log.size()) {
      Do(id, at.configuration.Apply(log[at.configuration.Next()]));
    }
    at.configuration.ReachedEnd();
  }
  ++read_round_;
  time.After(kTick, [this] { ReadLog(); });
}

void centres_fake::ListVms() {
  std::vector<coordination::listed_vm> list;
  for (const auto& [id, at] : vms) {
    list.push_back(
        {id, at.members.Self().data_centre, at.members.Self().address});
  }
  // The list lags: VMs get what was true one interval ago.
  time.After(kListInterval, [this, list] {
    for (auto& [id, at] : vms) {
      if (!at.paused && ReachesPlatform(id)) {
        Do(id, at.members.ListVms(list, time.Now()));
      }
    }
    ListVms();
  });
}

void centres_fake::Do(entry_vm_id from,
                      const coordination::membership_commands& commands) {
  for (const auto& item : commands) {
    if (const auto* beat = std::get_if<send_heartbeat>(&item)) {
      Send(from, beat->to, [=, this, to = beat->to, m = beat->message](vm& at) {
        Do(to, at.members.Hear(m, time.Now()));
        Do(to, at.configuration.Offer(from, m.configuration, time.Now()));
      });
    } else if (const auto* update = std::get_if<send_update>(&item)) {
      Send(from, update->to,
           [=, this, to = update->to, m = update->message](vm& at) {
             Do(to, at.members.Receive(from, m, time.Now()));
           });
    }
  }
}

void centres_fake::Do(entry_vm_id at,
                      const coordination::configuration_event_list& events) {
  for (const auto& item : events) {
    if (const auto* effect = std::get_if<configuration_in_effect>(&item)) {
      vms.at(at).members.SetConfiguration(effect->version);
      checker.ConfigurationInForce(at, effect->version.number, time.Now());
    } else if (const auto* fetch = std::get_if<fetch_configuration>(&item)) {
      Send(at, fetch->peer,
           [=, this, peer = fetch->peer, wanted = fetch->version](vm& from) {
             if (from.configuration.Tag() == wanted) {
               Send(peer, at,
                    [=, this, part = from.configuration.ForPeer()](vm& to) {
                      Do(at, to.configuration.Receive(wanted, part));
                    });
             }
           });
    } else if (const auto* won = std::get_if<publish_accepted>(&item)) {
      checker.ConfigurationAccepted(won->version.number, time.Now());
      Result(won->record, absl::StrCat("version ", won->version.number));
    } else if (const auto* lost = std::get_if<publish_conflict>(&item)) {
      Result(lost->record, absl::StrCat("conflict, version ",
                                        lost->latest.number, " is in effect: ",
                                        absl::StrJoin(lost->changes, "; ")));
    } else if (const auto* bad = std::get_if<publish_invalid>(&item)) {
      std::string faults;
      for (const finding& fault : bad->faults) {
        absl::StrAppend(&faults, " ", fault.place, ": ", fault.message);
      }
      Result(bad->record, absl::StrCat("invalid,", faults));
    }
  }
}

void centres_fake::Result(const coordination::record_id& record,
                          std::string text) {
  std::string& result = publishes[publish_of_.at(record)].result;
  // All VMs must come to the same result.
  if (result != "no result yet" && result != text) {
    text = absl::StrCat(result, " AND ", text);
  }
  result = std::move(text);
}

}  // namespace skylarkbridge::scenario
