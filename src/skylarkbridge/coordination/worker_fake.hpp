#ifndef SKYLARKBRIDGE_COORDINATION_WORKER_FAKE_HPP
#define SKYLARKBRIDGE_COORDINATION_WORKER_FAKE_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/coordination/invariant_checker.hpp"
#include "skylarkbridge/coordination/lease.hpp"
#include "skylarkbridge/coordination/network_fake.hpp"
#include "skylarkbridge/coordination/owner_events.hpp"

namespace skylarkbridge::coordination {

/// @brief Platform worker with ballots, leases, inventory and checkpoints.
class worker_fake {
 public:
  struct start {
    task_id task;
    std::uint32_t attempt = 0;
    bool idempotent = false;
    std::optional<std::string> checkpoint;
    std::chrono::nanoseconds runs_for{0};
    attempt_end end = attempt_end::kSucceeded;
  };

  worker_fake(worker_id worker, network_fake& net, invariant_checker& checker)
      : id(worker), net_(net), checker_(checker) {
    clock.rate_ppm = net.Uniform(8000) - 4000;
    started_ = -std::chrono::seconds(10);
    checker.WorkerAdded(id, {.slots = kSlots + 1, .connections = 1});
  }

  fence_reply Fence(const fence_worker& command) {
    if (command.fence > obeyed_) {
      displaced_ = std::exchange(obeyed_, command.fence);
      renewed_up_for_ = {};
    }
    fence_reply reply{.fence = command.fence,
                      .sent = command.sent,
                      .obeyed = fencing ? obeyed_ : command.fence,
                      .displaced = fencing ? displaced_ : ballot{},
                      .up_for = UpFor(),
                      .worker_set = worker_set_,
                      .inventory = {.worker = id}};
    for (const auto& [task, run] : running_) {
      reply.inventory.running.push_back({task, run.attempt});
    }
    reply.inventory.ended = Ended();
    return reply;
  }

  renew_reply Renew(const renew_lease& command) {
    renew_reply reply{.worker = id,
                      .lease = command.lease,
                      .sent = command.sent,
                      .granted = command.granted};
    // In order, so that a late renewal does not bring back an older worker set.
    if (Obeys(command.lease) && Fresh(command.up_for) &&
        command.up_for >= renewed_up_for_) {
      reply.accepted = true;
      renewed_up_for_ = command.up_for;
      worker_set_ = command.worker_set == 0 ? worker_set_ : command.worker_set;
      lease_end_ = std::max(lease_end_, Now() + command.granted);
      net_.After(command.granted + command.granted / 200,
                 [this, life = life_] { life == life_ ? Expire() : void(); });
    }
    reply.obeyed = fencing ? obeyed_ : command.lease;
    reply.up_for = UpFor();
    reply.worker_set = worker_set_;
    return reply;
  }

  /// @brief Starts an attempt, or tells how it ended; none means refused by
  /// ballot.
  std::optional<attempt_end> Run(const ballot& lease,
                                 std::chrono::nanoseconds up_for,
                                 const start& what) {
    Expire();
    if (!Obeys(lease)) {
      return std::nullopt;
    }
    const auto ended = ended_.find({what.task, what.attempt});
    if (ended != ended_.end()) {
      return ended->second.end;
    }
    const auto run = running_.find(what.task);
    if (run != running_.end() && run->second.attempt == what.attempt) {
      return attempt_end::kSucceeded;
    }
    if (what.attempt <= last_attempt_[what.task] || !Fresh(up_for) ||
        Now() >= lease_end_ || running_.size() >= kSlots ||
        run != running_.end()) {
      Refuse(what.task, what.attempt);
      return attempt_end::kNotStarted;
    }
    last_attempt_[what.task] = what.attempt;
    running_[what.task] = what;
    checker_.TaskStarted({what.task,
                          id,
                          what.attempt,
                          what.idempotent,
                          what.checkpoint,
                          {.slots = 1}},
                         net_.GlobalTime());
    net_.After(what.runs_for, [this, what, life = life_] {
      const auto found = running_.find(what.task);
      if (life == life_ && found != running_.end() &&
          found->second.attempt == what.attempt) {
        Expire();
        End(what.task, what.end, std::nullopt);
      }
    });
    return attempt_end::kSucceeded;
  }

  /// @brief Stops an attempt, or tells that it does not run and never will.
  std::optional<attempt_end> Stop(const ballot& lease,
                                  task_id task,
                                  std::uint32_t attempt) {
    Expire();
    if (!Obeys(lease)) {
      return std::nullopt;
    }
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.attempt == attempt) {
      End(task, attempt_end::kStopped,
          absl::StrCat(task.value, "@", id.value, ".", attempt, ".", life_));
    } else if (!ended_.contains({task, attempt})) {
      Refuse(task, attempt);
      return attempt_end::kNotStarted;
    }
    return attempt_end::kStopped;
  }

  void Acknowledge(const ballot& lease, task_id task, std::uint32_t attempt) {
    if (Obeys(lease)) {
      ended_.erase({task, attempt});
    }
  }

  std::vector<ended_attempt> Ended() const {
    std::vector<ended_attempt> all;
    for (const auto& [task, ended] : ended_) {
      all.push_back(ended);
    }
    return all;
  }

  void Kill() {
    ++life_;
    alive = false;
    checker_.WorkerDied(id);
    running_.clear();
    ended_.clear();
    last_attempt_.clear();
    obeyed_ = displaced_ = {};
    worker_set_ = 0;
    lease_end_ = {};
  }
  int Life() const { return life_; }
  void Restart() {
    alive = true;
    started_ = net_.Now();
  }

  worker_id id;
  clock_fake clock;
  bool alive = true;
  /// Protection that tests switch off: refusing lower ballots.
  bool fencing = true;
  /// Called with each end as it happens.
  std::function<void(const ballot&, const ended_attempt&)> on_end;

 private:
  static constexpr std::size_t kSlots = 2;

  time_point Now() const { return clock.Read(net_.Now()); }
  std::chrono::nanoseconds UpFor() const {
    return Now() - clock.Read(started_);
  }
  bool Obeys(const ballot& lease) const {
    return fencing ? lease == obeyed_ : lease.round > 0;
  }
  bool Fresh(std::chrono::nanoseconds up_for) const {
    return up_for <= UpFor() &&
           UpFor() - up_for <= lease_options{}.max_command_age;
  }
  void End(task_id task,
           attempt_end end,
           std::optional<std::string> checkpoint) {
    const auto found = running_.find(task);
    if (found == running_.end()) {
      return;
    }
    const ended_attempt ended{task, found->second.attempt, end, checkpoint};
    running_.erase(found);
    ended_[{task, ended.attempt}] = ended;
    checker_.TaskEnded(task, id, end, std::move(checkpoint));
    on_end(obeyed_, ended);
  }
  void Refuse(task_id task, std::uint32_t attempt) {
    std::uint32_t& last = last_attempt_[task];
    // An attempt seen before may have run and been acknowledged; listing it as
    // not started would tell a successor a falsehood.
    if (attempt > last) {
      last = attempt;
      ended_[{task, attempt}] = {task, attempt, attempt_end::kNotStarted};
    }
  }
  void Expire() {
    while (!running_.empty() && Now() >= lease_end_) {
      End(running_.begin()->first, attempt_end::kStopped, std::nullopt);
    }
  }

  network_fake& net_;
  invariant_checker& checker_;
  std::chrono::nanoseconds started_{0};
  ballot obeyed_;
  ballot displaced_;
  std::uint64_t worker_set_ = 0;
  std::chrono::nanoseconds renewed_up_for_{0};
  time_point lease_end_;
  int life_ = 0;
  std::map<task_id, start> running_;
  std::map<std::pair<task_id, std::uint32_t>, ended_attempt> ended_;
  std::map<task_id, std::uint32_t> last_attempt_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_WORKER_FAKE_HPP
