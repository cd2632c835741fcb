#ifndef SKYLARKBRIDGE_COORDINATION_REQUEST_FAKE_HPP
#define SKYLARKBRIDGE_COORDINATION_REQUEST_FAKE_HPP

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/coordination/entry_vm_fake.hpp"
#include "skylarkbridge/coordination/key_registry.hpp"
#include "skylarkbridge/coordination/slot_leases.hpp"

namespace skylarkbridge::coordination {

/// @brief The request side of an entry VM: keys and slots as holder, and as
/// lender and home of keys while its VM owns the shard. All requests are
/// non-idempotent.
class request_side_fake {
 public:
  using sides = std::vector<std::unique_ptr<request_side_fake>>;

  request_side_fake(entry_vm_fake& vm,
                    cluster_fake& cluster,
                    const sides& all,
                    bool check_deadline)
      : vm_(vm), cluster_(cluster), net_(cluster.net), all_(all) {
    slots_.check_deadline = check_deadline;
    BorrowSlots();
  }

  /// @param key one that starts with "none" is not looked up, like a request
  /// without a key.
  void Arrive(request_id request, const std::string& key) {
    cluster_.checker.CallerAsked(request, key);
    vm_.Deliver([=, this, sent = net_.Now()] {
      Sync();
      if (net_.Now() - sent > key_registry_options{}.unread_margin) {
        return;  // The front end drops what it read after a stall.
      }
      const time_point deadline = vm_.Now() + std::chrono::seconds(1);
      waiting_[request] = {{key, std::nullopt}, deadline};
      if (key.starts_with("none")) {
        Answered(request, key_answer{key_state::kRun, std::nullopt});
        return;
      }
      request_side_fake* home = Home();
      if (home == nullptr) {
        waiting_.erase(request);
        Tell(request, told_outcome::kNotRun);
        return;
      }
      Ask(
          *home,
          [=](request_side_fake& owner) {
            return owner.Begin({key, std::nullopt}, request);
          },
          [=, this](const std::optional<key_answer>& answer) {
            if (waiting_.contains(request)) {
              Answered(request, answer);
            }
          });
      net_.After(std::chrono::milliseconds(400), [=, this, i = incarnation_] {
        vm_.Deliver([=, this] {
          // Not dispatched, and a later answer is ignored.
          if (i == incarnation_ && waiting_.erase(request) > 0) {
            Tell(request, told_outcome::kNotRun);
          }
        });
      });
    });
  }

 private:
  struct waiting {
    idempotency_key key;
    time_point deadline;
  };

  /// Follows restarts of the process and changes of ownership.
  void Sync() {
    if (incarnation_ != vm_.Incarnation()) {
      incarnation_ = vm_.Incarnation();
      waiting_.clear();
      dispatched_.clear();
      holder_.emplace(slots_, slot_holder_id{vm_.id, {vm_.Incarnation()}});
      lender_.reset();
      keys_.reset();
    }
    const bool owns = vm_.owner->Holds(vm_.Now());
    if (!owns || takeover_ != vm_.owner->Takeover()) {
      lender_.reset();
      keys_.reset();
    }
    if (owns && !lender_) {
      takeover_ = vm_.owner->Takeover();
      lender_.emplace(slots_, takeover_, vm_.Now());
      for (const auto& [worker, fake] : cluster_.workers) {
        lender_->SetWorker(worker, {1, 1}, vm_.Now());
      }
      keys_.emplace(
          key_registry_options{.longest_deadline = std::chrono::seconds(2)},
          takeover_, vm_.Now());
    }
  }

  request_side_fake* Home() {
    for (const auto& side : all_) {
      if (side->vm_.alive && side->vm_.owner->State() == ownership::kOwner) {
        return side.get();
      }
    }
    return nullptr;
  }

  /// Runs @p what at another VM and @p on_reply here with its result.
  template <class What, class Reply>
  void Ask(request_side_fake& to, What what, Reply on_reply) {
    net_.Send(vm_.id.value, to.vm_.id.value, [=, this, &to, i = incarnation_] {
      to.vm_.Deliver([=, this, &to] {
        to.Sync();
        const auto reply = what(to);
        net_.Send(to.vm_.id.value, vm_.id.value, [=, this] {
          vm_.Deliver([=, this] {
            Sync();
            if (i == incarnation_) {
              on_reply(reply);
            }
          });
        });
      });
    });
  }

  std::optional<key_answer> Begin(const idempotency_key& key,
                                  request_id request) {
    if (!keys_) {
      return std::nullopt;
    }
    return keys_->Begin(key, request, vm_.Now() + std::chrono::seconds(1),
                        vm_.Now());
  }

  void Answered(request_id request, const std::optional<key_answer>& answer) {
    const waiting entry = waiting_.at(request);
    waiting_.erase(request);
    if (answer && answer->state == key_state::kRun) {
      if (!Dispatch(request, entry)) {
        Report([=](key_registry& keys) { keys.NotRun(entry.key, request); });
        Tell(request, told_outcome::kNotRun);
      }
    } else if (!answer || answer->state == key_state::kNotRun) {
      Tell(request, told_outcome::kNotRun);
    } else if (answer->state == key_state::kDone) {
      Tell(request, told_outcome::kDone, *answer->answer);
    } else {
      Tell(request, told_outcome::kUnknown);
    }
  }

  bool Dispatch(request_id request, const waiting& entry) {
    for (const auto& [id, fake] : cluster_.workers) {
      worker_fake* worker = fake.get();
      if (!holder_->Use(id, entry.deadline, vm_.Now())) {
        continue;
      }
      const auto ends_at = net_.Now() + (entry.deadline - vm_.Now());
      dispatched_[request] = id;
      net_.Send(vm_.id.value, id.value, [=, this] {
        // The connection is closed at the end of the attempt, and a connection
        // carries a request once.
        if (worker->alive && net_.Now() < ends_at &&
            cluster_.carried.insert(request).second) {
          RunOn(*worker, request, entry, ends_at);
        }
      });
      net_.After(ends_at - net_.Now(), [=, this, i = incarnation_] {
        vm_.Deliver([=, this] {
          if (i == incarnation_ && Finished(request)) {
            Report([=](key_registry& keys) { keys.Lose(entry.key); });
            Tell(request, told_outcome::kUnknown);
          }
        });
      });
      return true;
    }
    return false;
  }

  void RunOn(worker_fake& worker,
             request_id request,
             const waiting& entry,
             std::chrono::nanoseconds ends_at) {
    cluster_.checker.RequestStarted({request,
                                     worker.id,
                                     entry.key.text,
                                     false,
                                     {.slots = 1, .connections = 1}},
                                    net_.GlobalTime());
    const auto end = std::min(net_.Now() + net_.Milliseconds(20, 900), ends_at);
    net_.After(end - net_.Now(), [=, this, &worker, life = worker.Life(),
                                  i = incarnation_] {
      const std::string answer = absl::StrCat("answer ", entry.key.text);
      const bool complete = end < ends_at && life == worker.Life();
      cluster_.checker.RequestEnded(
          request, worker.id, complete ? std::optional(answer) : std::nullopt);
      if (!complete) {
        return;
      }
      net_.Send(worker.id.value, vm_.id.value, [=, this] {
        vm_.Deliver([=, this] {
          if (i == incarnation_ && Finished(request)) {
            Report([=](key_registry& keys) { keys.Finish(entry.key, answer); });
            Tell(request, told_outcome::kDone, answer);
          }
        });
      });
    });
  }

  bool Finished(request_id request) {
    const auto found = dispatched_.find(request);
    if (found == dispatched_.end()) {
      return false;
    }
    holder_->Release(found->second);
    dispatched_.erase(found);
    return true;
  }

  template <class What>
  void Report(What what) {
    if (request_side_fake* home = Home()) {
      Ask(
          *home,
          [=](request_side_fake& owner) {
            if (owner.keys_) {
              what(*owner.keys_);
            }
            return 0;
          },
          [](int) {});
    }
  }

  void Tell(request_id request,
            told_outcome outcome,
            const std::string& answer = {}) {
    cluster_.checker.CallerTold(request, outcome, answer);
    ++cluster_.told[static_cast<std::size_t>(outcome)];
  }

  void BorrowSlots() {
    vm_.Deliver([this] {
      Sync();
      if (request_side_fake* home = Home()) {
        const slot_request request =
            holder_->MakeRequest(net_.Uniform(9), vm_.Now());
        Ask(
            *home,
            [=](request_side_fake& owner) -> std::optional<slot_grant> {
              if (!owner.lender_) {
                return std::nullopt;
              }
              return owner.lender_->Request(request, owner.vm_.Now());
            },
            [this](const std::optional<slot_grant>& grant) {
              if (grant) {
                holder_->Apply(*grant, vm_.Now());
              }
            });
      }
    });
    net_.After(std::chrono::milliseconds(300), [this] { BorrowSlots(); });
  }

  entry_vm_fake& vm_;
  cluster_fake& cluster_;
  network_fake& net_;
  const sides& all_;
  slot_lease_options slots_{.duration = std::chrono::seconds(2)};
  std::uint64_t incarnation_ = 0;
  ballot takeover_;
  std::optional<slot_holder> holder_;
  std::optional<slot_lender> lender_;
  std::optional<key_registry> keys_;
  std::map<request_id, waiting> waiting_;
  std::map<request_id, worker_id> dispatched_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_REQUEST_FAKE_HPP
