#include "skylarkbridge/scenario/configuration_world.hpp"

#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/scenario/centres_fake.hpp"
#include "skylarkbridge/scenario/world.hpp"

namespace skylarkbridge::scenario {

using coordination::configuration_state;
using coordination::member_status;
using coordination::upstream_status;
using std::chrono::milliseconds;

static_assert(world<configuration_world>);

namespace {

std::string VersionOf(const centres_fake::vm& vm) {
  switch (vm.configuration.State()) {
    case configuration_state::kUnknown:
      return "unknown, refuses traffic";
    case configuration_state::kNonePublished:
      return "none published";
    case configuration_state::kInEffect:
      return absl::StrCat("version ", vm.configuration.Tag().number, " \"",
                          vm.configuration.InEffect().text, "\"");
  }
  return "?";
}

std::string Name(upstream_status status) {
  switch (status) {
    case upstream_status::kLive:
      return "live";
    case upstream_status::kLeaving:
      return "leaving";
    case upstream_status::kGone:
      return "gone";
  }
  return "?";
}

/// For example "11, 12: dead" for each different view.
template <class View>
void PrintViews(command& line, const centres_fake& fake, View view) {
  std::map<std::string, std::vector<std::uint64_t>> seen;
  for (const auto& [id, vm] : fake.vms) {
    if (!vm.paused) {
      seen[view(vm)].push_back(id.value);
    }
  }
  for (const auto& [text, ids] : seen) {
    line.Print(absl::StrCat("vm ", absl::StrJoin(ids, ", "), ": ", text));
  }
}

}  // namespace

struct configuration_world::parts {
  std::unique_ptr<centres_fake> fake;
};

configuration_world::configuration_world()
    : parts_(std::make_unique<parts>()) {}
configuration_world::~configuration_world() = default;
configuration_world::configuration_world(configuration_world&&) noexcept =
    default;
configuration_world& configuration_world::operator=(
    configuration_world&&) noexcept = default;

bool configuration_world::Run(command& line) {
  if (line.Take({"centres"})) {
    const std::uint64_t centres = line.Unsigned("centres");
    const std::int64_t vms = line.Number("vms", std::int64_t{2});
    if (centres < 1 || centres > 30 || vms < 1 || vms > 9) {
      line.Fail("there are 1 to 30 data centres with 1 to 9 VMs each");
    }
    if (line.Done()) {
      parts_->fake = std::make_unique<centres_fake>(
          centres, static_cast<std::uint64_t>(vms));
    }
    return true;
  }
  return parts_->fake && (Work(line) || Fault(line) || Show(line));
}

void configuration_world::Advance(milliseconds duration) {
  if (parts_->fake) {
    parts_->fake->time.RunFor(duration);
  }
}

std::vector<std::string> configuration_world::Violations() const {
  return parts_->fake ? parts_->fake->checker.Violations()
                      : std::vector<std::string>();
}

bool configuration_world::Work(command& line) {
  centres_fake& fake = *parts_->fake;
  if (line.Take({"publish", "vm"})) {
    const entry_vm_id id{line.Unsigned("VM")};
    const std::uint64_t base =
        line.Take({"base"}) ? line.Unsigned("base version") : 0;
    const std::string text = line.Rest();
    if (text.empty()) {
      line.Fail("words of the configuration are missing");
    }
    if (fake.Find(id) == nullptr) {
      line.Fail("no such VM");
    }
    if (line.Done()) {
      fake.Publish(id, base, text);
    }
    return true;
  }
  const bool leaving = line.Take({"observe", "leaving"});
  if (leaving || line.Take({"observe", "gone"})) {
    if (!line.Take({"worker"})) {
      line.Fail("expected worker");
    }
    const worker_id worker{line.Unsigned("worker")};
    const entry_vm_id id{
        static_cast<std::uint64_t>(line.Number("vm", std::int64_t{11}))};
    if (line.Done()) {
      fake.Observe(
          id, worker,
          leaving ? upstream_status::kLeaving : upstream_status::kGone);
    }
    return true;
  }
  return false;
}

bool configuration_world::Fault(command& line) {
  centres_fake& fake = *parts_->fake;
  const auto vm = [&](auto change) {
    const entry_vm_id id{line.Unsigned("VM")};
    centres_fake::vm* found = fake.Find(id);
    if (found == nullptr) {
      line.Fail("no such VM");
    }
    if (line.Done()) {
      change(id, *found);
    }
    return true;
  };
  if (line.Take({"kill", "vm"})) {
    return vm([&](entry_vm_id id, auto&) { fake.Kill(id); });
  }
  if (line.Take({"pause", "vm"})) {
    return vm([&](entry_vm_id id, auto& at) {
      at.paused = true;
      fake.checker.VmExcused(id);
    });
  }
  if (line.Take({"resume", "vm"})) {
    return vm([](entry_vm_id, auto& at) { at.paused = false; });
  }
  if (line.Take({"leave", "vm"})) {
    return vm([&](entry_vm_id id, auto& at) {
      fake.Do(id,
              at.members.Announce(member_status::kLeaving, fake.time.Now()));
    });
  }
  if (line.Take({"start", "vm"})) {
    const entry_vm_id id{line.Unsigned("VM")};
    if (line.Done()) {
      fake.Start(id);
    }
  } else if (line.Take({"partition", "centre"})) {
    const std::uint64_t centre = line.Unsigned("data centre");
    if (line.Done()) {
      fake.partitioned.insert(centre);
      for (const auto& [id, at] : fake.vms) {
        if (centres_fake::CentreOf(id) == centre) {
          fake.checker.VmExcused(id);
        }
      }
    }
  } else if (line.Take({"heal"})) {
    fake.partitioned.clear();
  } else if (line.Take({"log", "down"})) {
    fake.log_up = false;
  } else if (line.Take({"log", "up"})) {
    fake.log_up = true;
    fake.log_replies_lost = false;
  } else if (line.Take({"log", "loses", "replies"})) {
    fake.log_replies_lost = true;
  } else {
    return false;
  }
  line.Done();
  return true;
}

bool configuration_world::Show(command& line) {
  centres_fake& fake = *parts_->fake;
  if (line.Take({"show", "configuration"})) {
    PrintViews(line, fake, VersionOf);
  } else if (line.Take({"show", "publishes"})) {
    for (const centres_fake::publish& item : fake.publishes) {
      line.Print(absl::StrCat("vm ", item.vm.value, " on base ", item.base,
                              " \"", item.text, "\": ", item.result));
    }
  } else if (line.Take({"show", "member"})) {
    const entry_vm_id id{line.Unsigned("VM")};
    if (line.Done()) {
      PrintViews(line, fake, [id](const centres_fake::vm& vm) {
        const auto entry = vm.members.Find(id);
        return std::string(entry ? coordination::Name(entry->status)
                                 : "unknown");
      });
    }
  } else if (line.Take({"show", "upstream"})) {
    const worker_id id{line.Unsigned("worker")};
    if (line.Done()) {
      PrintViews(line, fake, [id](const centres_fake::vm& vm) {
        const auto entry = vm.members.Find(id);
        return entry ? Name(entry->status) : "no news";
      });
    }
  } else {
    return false;
  }
  line.Done();
  return true;
}

}  // namespace skylarkbridge::scenario
