#include "skylarkbridge/jobs/fleet_scheduler.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::jobs {
namespace {

/// Added to the time by which every lease of an earlier owner has ended.
constexpr std::chrono::milliseconds kLeaseMargin{200};
/// Longest time between two passes of an owner.
constexpr std::chrono::milliseconds kPassInterval{100};

}  // namespace

fleet_scheduler::fleet_scheduler(fleet_scheduler_options options)
    : options_(options), jobs_(options.jobs), permits_(options.permits) {}

void fleet_scheduler::Begin(epoch own,
                            const job_registry& book,
                            const std::vector<std::string>& leased,
                            time_point earlier_stop_by,
                            time_point now,
                            wall_time wall) {
  End();
  active_ = true;
  own_ = own;
  book_ = &book;
  unaccounted_ = {leased.begin(), leased.end()};
  unaccounted_until_ = LongestLease(earlier_stop_by);
  for (const auto& [id, state] : book.Jobs()) {
    if (!state.Ended() && book.RunsHere(state)) {
      jobs_.Add(id, state, !unaccounted_.empty(), now, wall);
    }
  }
  place_wanted_ = true;
}

time_point fleet_scheduler::LongestLease(time_point now) const {
  return now + kLeaseMargin +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             options_.max_lease * worker_lease::kClockSlowness);
}

void fleet_scheduler::End() {
  active_ = false;
  fenced_ = false;
  jobs_ = job_table(options_.jobs);
  workers_.clear();
  unaccounted_.clear();
  idle_jobs_.clear();
  kept_for_.clear();
  permits_.Clear();
  registering_.clear();
  leased_changed_ = false;
  store_number_ = 0;
  orders_.clear();
}

void fleet_scheduler::Configure(
    std::shared_ptr<const fleet_configuration> configuration) {
  configuration_ = std::move(configuration);
  place_wanted_ = true;
}

void fleet_scheduler::Accepted(job_id job,
                               const job_state& state,
                               bool may_have_run,
                               time_point now,
                               wall_time wall) {
  if (!active_ || state.Ended()) {
    return;
  }
  jobs_.Add(job, state, may_have_run && !unaccounted_.empty(), now, wall);
  if (may_have_run) {
    for (auto& [id, session] : workers_) {
      for (auto& [run, seen] : session.runs) {
        if (run.task.job == job && jobs_.CanAdopt(run)) {
          jobs_.RecordStart(run, id);
          seen.detached = false;
          Note(scheduling_event::kRunAdopted, run, id, "known late");
        }
      }
    }
  }
  place_wanted_ = true;
}

void fleet_scheduler::Cancelled(job_id job, time_point now) {
  if (!active_) {
    return;
  }
  RequestStops(jobs_.Remove(job), false);
  for (auto& [id, session] : workers_) {
    for (auto& [run, state] : session.runs) {
      if (run.task.job == job) {
        state.stop_wanted = true;
      }
    }
    SendStops(session, now);
  }
}

void fleet_scheduler::Run(time_point now, wall_time wall) {
  if (!active_ || now >= orders_until_) {
    return;
  }
  jobs_.StartDue(wall);
  ExpireLeases(now);
  CheckAccounted(now);
  for (auto& [id, session] : workers_) {
    SendStops(session, now);
    if (!session.renewal_under_way && now >= session.next_renewal) {
      Renew(session, now);
    }
  }
  Place(now);
}

time_point fleet_scheduler::NextDeadline(time_point now) const {
  time_point next = now + kPassInterval;
  if (!active_) {
    return next;
  }
  for (const auto& [id, session] : workers_) {
    if (!session.renewal_under_way) {
      next = std::min(next, session.next_renewal);
    }
  }
  return next;
}

std::vector<order> fleet_scheduler::TakeOrders() {
  return std::exchange(orders_, {});
}

std::vector<scheduling_note> fleet_scheduler::TakeNotes() {
  return std::exchange(notes_, {});
}

bool fleet_scheduler::HasRecords() const {
  if (!active_) {
    return false;
  }
  const bool ends_wait =
      std::any_of(workers_.begin(), workers_.end(), [this](const auto& entry) {
        const auto& waiting = entry.second.ends_waiting;
        return !waiting.empty() && waiting.back().second > store_number_;
      });
  return leased_changed_ || jobs_.HasChanges() || ends_wait;
}

std::vector<log_record> fleet_scheduler::TakeRecords() {
  ++store_number_;
  std::vector<log_record> records;
  for (job_advanced& change : jobs_.TakeChanges()) {
    records.emplace_back(std::move(change));
  }
  if (std::exchange(leased_changed_, false)) {
    leased_workers leased{.claim_epoch = own_};
    for (const auto& [id, session] : workers_) {
      leased.workers.push_back(id);
      if (!session.registered) {
        registering_.try_emplace(id, store_number_);
      }
    }
    for (const std::string& worker : unaccounted_) {
      if (!workers_.contains(worker)) {
        leased.workers.push_back(worker);
      }
    }
    records.emplace_back(std::move(leased));
  }
  return records;
}

void fleet_scheduler::Stored(std::uint64_t number, time_point now) {
  for (auto entry = registering_.begin(); entry != registering_.end();) {
    if (entry->second > number) {
      ++entry;
      continue;
    }
    if (const auto worker = workers_.find(entry->first);
        worker != workers_.end()) {
      worker->second.registered = true;
    }
    place_wanted_ = true;
    entry = registering_.erase(entry);
  }
  for (auto& [id, session] : workers_) {
    bool acknowledge = false;
    while (!session.ends_waiting.empty() &&
           session.ends_waiting.front().second <= number) {
      session.ends_stored = session.ends_waiting.front().first;
      session.ends_waiting.pop_front();
      acknowledge = true;
    }
    if (acknowledge) {
      session.next_renewal = now;
    }
  }
}

void fleet_scheduler::CheckAccounted(time_point now) {
  if (unaccounted_.empty()) {
    return;
  }
  if (now >= unaccounted_until_) {
    unaccounted_.clear();
  }
  std::erase_if(unaccounted_, [this](const std::string& worker) {
    const auto session = workers_.find(worker);
    return session != workers_.end() && session->second.accounted;
  });
  if (unaccounted_.empty()) {
    jobs_.AllowUnreportedTasks();
    place_wanted_ = true;
    Note(scheduling_event::kUnaccountedReleased, {}, "");
  }
}

const queue_configuration* fleet_scheduler::Queue(job_id id) const {
  const open_job* job = jobs_.Find(id);
  return job == nullptr || configuration_ == nullptr
             ? nullptr
             : configuration_->Find(job->queue);
}

worker_target fleet_scheduler::Target(const worker_session& session) const {
  return {.worker = session.entry.worker,
          .address = session.entry.address,
          .fence = own_};
}

void fleet_scheduler::Note(scheduling_event event,
                           const run_ref& run,
                           const std::string& worker,
                           std::string detail) {
  notes_.push_back({event, run, worker, std::move(detail)});
}

}  // namespace skylarkbridge::jobs
