#ifndef SKYLARKBRIDGE_COORDINATION_ENTRY_VM_FAKE_HPP
#define SKYLARKBRIDGE_COORDINATION_ENTRY_VM_FAKE_HPP

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/coordination/network_fake.hpp"
#include "skylarkbridge/coordination/shard_map.hpp"
#include "skylarkbridge/coordination/shard_owner.hpp"
#include "skylarkbridge/coordination/task_lifecycle.hpp"
#include "skylarkbridge/coordination/task_log_fake.hpp"
#include "skylarkbridge/coordination/worker_fake.hpp"

namespace skylarkbridge::coordination {

/// @brief What all fakes of one run share.
struct cluster_fake {
  network_fake net;
  invariant_checker checker{};
  task_log_fake log{checker};
  std::map<worker_id, std::unique_ptr<worker_fake>> workers;
  owner_test_options owner_test;
  lifecycle_test_options lifecycle_test;
  /// Every VM believes that it is the expected owner.
  bool all_expected = false;
  std::uint64_t incarnations = 0;
  /// Requests that reached an upstream, and how often callers were told each
  /// outcome.
  std::set<request_id> carried;
  std::array<std::uint64_t, 3> told{};
  /// Times at which a VM completed a takeover.
  std::vector<std::pair<std::chrono::nanoseconds, entry_vm_id>> takeovers;
};

/// @brief Entry VM: a shard owner, a task lifecycle, a log fold and a random
/// scheduler, driven by a timer.
class entry_vm_fake {
 public:
  using peers = std::vector<std::unique_ptr<entry_vm_fake>>;

  entry_vm_fake(entry_vm_id vm, cluster_fake& cluster, const peers& all)
      : id(vm), cluster_(cluster), net_(cluster.net), peers_(all) {
    clock_.rate_ppm = net_.Uniform(8000) - 4000;
    Start();
  }

  void Start() {
    alive = true;
    incarnation_ = ++cluster_.incarnations;
    owner.emplace(shard_owner_options{
        .vm = id, .incarnation = {incarnation_}, .test = cluster_.owner_test});
    tasks.reset();
    open_.clear();
    unwritten_.clear();
    heard_.clear();
    offset_ = 0;
    ListWorkers(std::nullopt);
    Timer();
  }
  void Kill() {
    ++life_;
    alive = false;
    tasks.reset();
  }
  void Pause() { paused = true; }
  void Resume() {
    paused = false;
    for (const auto& what : std::exchange(backlog_, {})) {
      what();
    }
  }

  /// @brief Runs @p what in this process, after a pause if there is one.
  void Deliver(const network_fake::action& what) {
    const auto guarded = [this, what, life = life_] {
      if (alive && life == life_) {
        what();
      }
    };
    if (paused) {
      backlog_.emplace_back(guarded);
    } else {
      guarded();
    }
  }

  entry_vm_id id;
  bool alive = false;
  bool paused = false;
  std::optional<shard_owner> owner;
  std::optional<task_lifecycle> tasks;

  void Evict(task_id task) {
    if (tasks) {
      Do(tasks->Evict(task, Now()));
    }
  }
  void Ended(worker_id worker, const ended_attempt& ended) {
    if (tasks) {
      Do(tasks->Ended(worker, ended, Now()));
    }
  }
  time_point Now() const { return clock_.Read(net_.Now()); }
  /// Gives the VM the list of workers, perhaps without one of them.
  void ListWorkers(std::optional<worker_id> missing) {
    std::vector<worker_id> workers;
    for (const auto& [worker, fake] : cluster_.workers) {
      if (worker != missing) {
        workers.push_back(worker);
      }
    }
    Do(owner->SetWorkers(workers, Now()));
  }
  std::uint64_t Incarnation() const { return incarnation_; }

 private:
  /// Sends @p what to a worker and its result, if any, back to this process.
  template <class Command, class Reply>
  void Call(worker_id worker, Command command, Reply on_reply) {
    net_.Send(id.value, worker.value,
              [this, worker, command, on_reply, life = life_] {
                worker_fake& target = *cluster_.workers.at(worker);
                if (!target.alive) {
                  return;
                }
                const auto reply = command(target);
                net_.Send(worker.value, id.value,
                          [this, reply, on_reply, life] {
                            if (life == life_) {
                              Deliver([=] { on_reply(reply); });
                            }
                          });
              });
  }

  void Timer() {
    net_.After(std::chrono::milliseconds(20), [this, life = life_] {
      if (life == life_) {
        Deliver([this] {
          Tick();
          Timer();
        });
      }
    });
  }

  void Tick() {
    const time_point now = Now();
    if (++ticks_ % 7 == 0) {
      Heartbeat(now);
      ReadLog();
      for (const auto& [sequence, record] : unwritten_) {
        Append(record);
      }
    }
    Do(owner->Tick(now));
    if (tasks) {
      Do(tasks->Tick(now));
      Schedule(now);
    }
  }

  void Heartbeat(time_point now) {
    std::vector<entry_vm_id> live{id};
    for (const auto& peer : peers_) {
      if (peer->id == id) {
        continue;
      }
      net_.Send(id.value, peer->id.value, [from = id, to = peer.get()] {
        to->Deliver([=] { to->heard_[from] = to->Now(); });
      });
      const auto heard = heard_.find(peer->id);
      if (heard != heard_.end() &&
          now - heard->second < std::chrono::milliseconds(750)) {
        live.push_back(peer->id);
      }
    }
    Do(owner->SetExpected(
        cluster_.all_expected || ExpectedOwner({0}, live) == id, now));
  }

  void ReadLog() {
    net_.Send(id.value, 99, [this, life = life_, sent = Now(), from = offset_] {
      if (!cluster_.log.up || life != life_) {
        return;
      }
      const std::vector<record_fake>& all = cluster_.log.records;
      std::vector<record_fake> part(
          all.begin() + static_cast<std::ptrdiff_t>(from), all.end());
      net_.Send(99, id.value, [=, this] {
        Deliver([=, this] {
          if (from != offset_ || life != life_) {
            return;
          }
          offset_ += part.size();
          for (const record_fake& record : part) {
            Fold(record);
          }
          if (tasks && sent >= joined_at_) {
            Do(tasks->LogCurrent(Now()));
          }
        });
      });
    });
  }

  void Fold(const record_fake& record) {
    if (record.id.first == incarnation_) {
      unwritten_.erase(record.id.second);
    }
    const task_id task = record.task.task;
    if (record.kind == record_kind_fake::kAccepted) {
      open_[task] = record.task;
    }
    const auto found = open_.find(task);
    if (found == open_.end()) {
      return;
    }
    open_task& facts = found->second;
    facts.attempts = std::max(facts.attempts, record.attempt);
    facts.start_claimed |= record.kind == record_kind_fake::kClaimed;
    facts.cancelled |= record.kind == record_kind_fake::kCancelled;
    if (record.kind == record_kind_fake::kCheckpoint) {
      facts.checkpoint = record.checkpoint;
    }
    const open_task copy = facts;
    if (record.kind == record_kind_fake::kEnded) {
      open_.erase(found);
    }
    if (!tasks) {
      return;
    }
    switch (record.kind) {
      case record_kind_fake::kAccepted:
        Do(tasks->Accept(copy, Now()));
        break;
      case record_kind_fake::kClaimed:
        Do(tasks->Claimed(task, record.attempt, record.claimant, Now()));
        break;
      case record_kind_fake::kCancelled:
        Do(tasks->Cancel(task, Now()));
        break;
      case record_kind_fake::kEnded:
        Do(tasks->Recorded(task, Now()));
        break;
      case record_kind_fake::kCheckpoint:
        break;
    }
  }

  void Write(record_fake record) {
    record.id = {incarnation_, ++written_};
    unwritten_[written_] = record;
    Append(record);
  }
  void Append(const record_fake& record) {
    net_.Send(id.value, 99, [this, record] { cluster_.log.Append(record); });
  }

  void Schedule(time_point now) {
    std::vector<worker_id> usable;
    for (const auto& [worker, fake] : cluster_.workers) {
      if (owner->MayCommand(worker, now)) {
        usable.push_back(worker);
      }
    }
    if (usable.empty()) {
      return;
    }
    for (const task_id task : std::exchange(offered_, {})) {
      Do(tasks->Start(task,
                      usable[static_cast<std::size_t>(net_.Uniform(
                          static_cast<std::int64_t>(usable.size())))],
                      now));
    }
  }

  void Do(const owner_commands& commands) {
    for (const owner_command& command : commands) {
      std::visit([this](const auto& c) { Do(c); }, command);
    }
  }
  void Do(const fence_worker& c) {
    Call(
        c.worker, [c](worker_fake& w) { return w.Fence(c); },
        [this](const fence_reply& r) { Do(owner->Fenced(r, Now())); });
  }
  void Do(const renew_lease& c) {
    Call(
        c.worker,
        [c](worker_fake& w) { return std::pair(w.Renew(c), w.Ended()); },
        [this](const std::pair<renew_reply, std::vector<ended_attempt>>& r) {
          Do(owner->Renewed(r.first, Now()));
          for (const ended_attempt& ended : r.second) {
            Ended(r.first.worker, ended);
          }
        });
  }
  void Do(const ready& c) {
    cluster_.takeovers.emplace_back(net_.Now(), id);
    std::vector<open_task> open;
    for (const auto& [task, facts] : open_) {
      open.push_back(facts);
    }
    offered_.clear();
    joined_at_ = Now();
    tasks.emplace(task_lifecycle_options{.test = cluster_.lifecycle_test});
    Do(tasks->Own(c, open, Now()));
  }
  void Do(const worker_joined& c) {
    joined_at_ = Now();
    Do(tasks->Joined(c.inventory, Now()));
  }
  void Do(const worker_unreachable& c) {
    Do(tasks->Unreachable(c.worker, Now()));
  }
  void Do(const worker_expired& c) { Do(tasks->Expired(c.worker, Now())); }
  void Do(const step_down&) { tasks.reset(); }

  void Do(const lifecycle_commands& commands) {
    for (const lifecycle_command& command : commands) {
      std::visit([this](const auto& c) { Do(c); }, command);
    }
  }
  void Do(const offer_task& c) { offered_.insert(c.task); }
  void Do(const withdraw_task& c) { offered_.erase(c.task); }
  void Do(const claim_start& c) {
    Write({.kind = record_kind_fake::kClaimed,
           .task = {.task = c.task},
           .attempt = c.attempt,
           .claimant = owner->Takeover()});
  }
  void Do(const record_checkpoint& c) {
    Write({.kind = record_kind_fake::kCheckpoint,
           .task = {.task = c.task},
           .attempt = c.attempt,
           .checkpoint = c.checkpoint});
  }
  void Do(const record_end& c) {
    Write({.kind = record_kind_fake::kEnded, .task = {.task = c.task}});
  }
  void Do(const run_attempt& c) {
    const auto permission = owner->MayCommand(c.worker, Now());
    if (!permission) {
      Do(tasks->NotSent(c.task, c.attempt, Now()));
      return;
    }
    const worker_fake::start start{.task = c.task,
                                   .attempt = c.attempt,
                                   // Odd tasks are not idempotent.
                                   .idempotent = c.task.value % 2 == 0,
                                   .checkpoint = c.checkpoint,
                                   .runs_for = net_.Milliseconds(100, 1500),
                                   .end = net_.Chance(10)
                                              ? attempt_end::kFailed
                                              : attempt_end::kSucceeded};
    Call(
        c.worker,
        [start, p = *permission](worker_fake& w) {
          return w.Run(p.lease, p.up_for, start);
        },
        [this, c](const std::optional<attempt_end>& r) {
          if (!tasks || !r) {
            return;
          }
          if (*r == attempt_end::kNotStarted) {
            Ended(c.worker, {c.task, c.attempt, *r});
          } else {
            Do(tasks->Started(c.worker, {c.task, c.attempt}, Now()));
          }
        });
  }
  void Do(const stop_attempt& c) {
    if (const auto permission = owner->MayCommand(c.worker, Now())) {
      Call(
          c.worker,
          [c, lease = permission->lease](worker_fake& w) {
            return w.Stop(lease, c.task, c.attempt);
          },
          [this, c](const std::optional<attempt_end>& r) {
            if (r == attempt_end::kNotStarted) {
              Ended(c.worker, {c.task, c.attempt, *r});
            }
          });
    }
  }
  void Do(const acknowledge_attempt& c) {
    if (const auto permission = owner->MayCommand(c.worker, Now())) {
      net_.Send(id.value, c.worker.value, [c, this, lease = permission->lease] {
        cluster_.workers.at(c.worker)->Acknowledge(lease, c.task, c.attempt);
      });
    }
  }

  cluster_fake& cluster_;
  network_fake& net_;
  const peers& peers_;
  clock_fake clock_;
  std::uint64_t incarnation_ = 0;
  int life_ = 0;
  std::uint64_t ticks_ = 0;
  std::vector<network_fake::action> backlog_;
  std::map<entry_vm_id, time_point> heard_;
  std::map<task_id, open_task> open_;
  std::set<task_id> offered_;
  time_point joined_at_;
  std::size_t offset_ = 0;
  std::uint64_t written_ = 0;
  std::map<std::uint64_t, record_fake> unwritten_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_ENTRY_VM_FAKE_HPP
