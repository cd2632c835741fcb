#include "skylarkbridge/scenario/fleet_world.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/declaration/check.hpp"
#include "skylarkbridge/declaration/declare.hpp"
#include "skylarkbridge/scenario/declared_words.hpp"
#include "skylarkbridge/scenario/fleet_fake.hpp"
#include "skylarkbridge/scenario/request_side.hpp"
#include "skylarkbridge/scenario/task_side.hpp"
#include "skylarkbridge/scenario/world.hpp"

namespace skylarkbridge::scenario {

using std::chrono::milliseconds;

static_assert(world<fleet_world>);

struct fleet_world::parts {
  fleet_fake fleet;
  request_side requests{fleet};
  task_side tasks{fleet};

  /// Applies a change to the workers that the words name: `worker N`,
  /// `workers N M` (from N to M) or `rack N`.
  template <class Change>
  void Workers(command& line, Change change) {
    std::vector<worker_id> chosen;
    if (line.Take({"rack"})) {
      const rack_id rack{line.Unsigned("rack")};
      for (const auto& [id, worker] : fleet.workers) {
        if (worker.rack == rack) {
          chosen.push_back(id);
        }
      }
    } else {
      const bool range = line.Take({"workers"});
      if (!range && !line.Take({"worker"})) {
        line.Fail("expected worker, workers or rack");
      }
      const worker_id first{line.Unsigned("first worker")};
      const worker_id last =
          range ? worker_id{line.Unsigned("last worker")} : first;
      for (const auto& [id, worker] : fleet.workers) {
        if (first <= id && id <= last) {
          chosen.push_back(id);
        }
      }
    }
    if (chosen.empty()) {
      line.Fail("no such worker");
    }
    if (!line.Done()) {
      return;
    }
    for (const worker_id id : chosen) {
      change(id, fleet.workers.at(id));
      requests.Update(id);
      tasks.Update(id);
    }
  }
};

fleet_world::fleet_world() : parts_(std::make_unique<parts>()) {}
fleet_world::~fleet_world() = default;
fleet_world::fleet_world(fleet_world&&) noexcept = default;
fleet_world& fleet_world::operator=(fleet_world&&) noexcept = default;

bool fleet_world::Run(command& line) {
  return Declare(line) || Work(line) || Fault(line) || Show(line);
}

void fleet_world::Advance(milliseconds duration) {
  parts_->fleet.time.RunFor(duration);
}

std::vector<std::string> fleet_world::Violations() const {
  std::vector<std::string> all = parts_->fleet.checker.Violations();
  const auto& leases = parts_->tasks.Violations();
  all.insert(all.end(), leases.begin(), leases.end());
  return all;
}

bool fleet_world::Declare(command& line) {
  fleet_fake& fleet = parts_->fleet;
  if (line.Take({"team"})) {
    declaration::team team{.name = line.Word("name")};
    team.claim = ReadShare(line);
    team.quota.millicores =
        declaration::Cores(line.Number("quota_cores", std::int64_t{0}));
    if (line.Done()) {
      Replace(fleet.declared.teams, std::move(team));
    }
  } else if (line.Take({"service"})) {
    const milliseconds takes = line.Duration("takes", milliseconds(20));
    declaration::service service = ReadService(line);
    if (line.Done()) {
      fleet.behaviour[service.name].takes = takes;
      Replace(fleet.declared.services, std::move(service));
    }
  } else if (line.Take({"kind"})) {
    true_behaviour truth;
    declaration::batch_kind kind = ReadKind(line, truth);
    if (line.Done()) {
      fleet.behaviour[kind.name] = truth;
      Replace(fleet.declared.batch_kinds, std::move(kind));
    }
  } else if (line.Take({"configure"})) {
    const findings found = declaration::Check(fleet.declared);
    for (const finding& fault : found.Items()) {
      line.Print(absl::StrCat(fault.place, ": ", fault.message));
    }
    if (line.Done() && found.Empty()) {
      parts_->requests.Configure();
      parts_->tasks.Configure();
    }
  } else if (line.Take({"workers"})) {
    const std::int64_t count = line.Number("count");
    const fleet_worker worker = ReadWorker(line);
    const std::int64_t racks =
        std::max<std::int64_t>(1, line.Number("racks", std::int64_t{1}));
    if (!line.Done()) {
      return true;
    }
    for (std::int64_t i = 1; i <= count; ++i) {
      const worker_id id{static_cast<std::uint64_t>(i)};
      fleet.workers[id] = worker;
      fleet.workers[id].rack = {
          static_cast<std::uint64_t>(((i - 1) * racks / count) + 1)};
      fleet.checker.WorkerAdded(
          id, {.slots = worker.slots, .connections = worker.connections});
      parts_->requests.Update(id);
      parts_->tasks.Update(id);
    }
  } else {
    return false;
  }
  return true;
}

bool fleet_world::Work(command& line) {
  const bool flood = line.Take({"flood"});
  const bool submit = !flood && line.Take({"submit"});
  if (!flood && !submit && !line.Take({"cancel"})) {
    return false;
  }
  const std::string name = line.Word("service or kind");
  const std::int64_t count = line.Number("count");
  const auto& services = parts_->fleet.declared.services;
  const bool is_service =
      std::any_of(services.begin(), services.end(),
                  [&](const auto& service) { return service.name == name; });
  if (!flood && !submit) {
    if (line.Done()) {
      parts_->requests.Cancel(name, count);
      parts_->tasks.Cancel(name, count);
    }
    return true;
  }
  const milliseconds over = line.Duration("over", milliseconds(0));
  if (!is_service) {
    if (line.Done()) {
      parts_->tasks.Submit(name, count, over);
    }
    return true;
  }
  const request_side::flood what{
      .count = count,
      .over = over,
      .deadline = line.Duration("deadline", milliseconds(1000)),
      .idempotent = line.Flag("idempotent")};
  if (line.Done()) {
    parts_->requests.Flood(name, what);
  }
  return true;
}

bool fleet_world::Fault(command& line) {
  using enum worker_condition;
  const auto now = parts_->fleet.time.Now();
  const auto set = [&](worker_condition condition) {
    parts_->Workers(line, [condition](worker_id, fleet_worker& worker) {
      worker.condition = condition;
    });
    return true;
  };
  if (line.Take({"fail"})) {
    return set(kFailing);
  }
  if (line.Take({"refuse"})) {
    return set(kRefusing);
  }
  if (line.Take({"silence"})) {
    return set(kSilent);
  }
  if (line.Take({"lose"})) {
    return set(kLost);
  }
  if (line.Take({"recover"})) {
    return set(kHealthy);
  }
  if (line.Take({"leaving"})) {
    parts_->Workers(line, [&](worker_id id, fleet_worker& worker) {
      worker.leaving = true;
      parts_->fleet.checker.UpstreamLeaving(id, now);
    });
    return true;
  }
  return false;
}

bool fleet_world::Show(command& line) {
  if (line.Take({"show", "requests"})) {
    parts_->requests.Show(line);
  } else if (line.Take({"show", "tasks"})) {
    parts_->tasks.Show(line);
  } else if (line.Take({"show", "workers"})) {
    parts_->tasks.ShowWorkers(line);
  } else if (line.Take({"show", "waiting"})) {
    parts_->tasks.ShowWaiting(line);
  } else if (line.Take({"settled"})) {
    parts_->fleet.checker.CheckSettled();
  } else {
    return false;
  }
  line.Done();
  return true;
}

}  // namespace skylarkbridge::scenario
