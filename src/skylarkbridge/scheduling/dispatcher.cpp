#include "skylarkbridge/scheduling/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::scheduling {

namespace {

/// Maximum number of queued retries that are skipped per event because only
/// upstreams that they have already tried have a free slot. Bounds the work of
/// one event.
constexpr std::size_t kMaxSkippedRetries = 4;
/// Number of services whose first queued request is considered for a start in
/// another data centre.
constexpr std::size_t kMaxSpillCandidates = 8;
constexpr std::int64_t kPermille = 1000;

void Refuse(request_id request,
            refusal_reason reason,
            std::optional<time_point> retry_at,
            request_commands& commands) {
  commands.emplace_back(
      finish_request{request, request_outcome::kNotRun, reason, retry_at});
}

}  // namespace

template <routing_policy Policy>
basic_dispatcher<Policy>::basic_dispatcher(dispatcher_options options)
    : options_(options),
      admission_(options.admission),
      upstreams_(options.upstreams),
      router_(options.seed),
      timers_(options.timers) {}

template <routing_policy Policy>
request_commands basic_dispatcher<Policy>::Configure(
    const declaration::configuration& config,
    time_point now) {
  admission_.Configure(config);
  budgets_.resize(admission_.ServiceCount(), retry_budget(options_.retry));
  return Tick(now);
}

template <routing_policy Policy>
request_commands basic_dispatcher<Policy>::Update(const upstream_state& state,
                                                  time_point now) {
  upstreams_.Update(state, now);
  return Tick(now);
}

template <routing_policy Policy>
request_commands basic_dispatcher<Policy>::Arrive(const request_arrived& event,
                                                  time_point now) {
  request_commands commands;
  Advance(now, commands);
  const std::optional<service_index> service = admission_.Find(event.service);
  if (!service) {
    Refuse(event.request,
           admission_.ServiceCount() == 0 ? refusal_reason::kNoConfiguration
                                          : refusal_reason::kUnknownService,
           std::nullopt, commands);
  } else if (event.deadline <= now) {
    Refuse(event.request, refusal_reason::kDeadlinePassed, std::nullopt,
           commands);
  } else if (admission_.CannotMeetDeadline(*service, event.deadline, now)) {
    Refuse(event.request, refusal_reason::kDeadlineTooClose,
           RetryAt(*service, now), commands);
  } else if (!upstreams_.HasUpstreams()) {
    Refuse(event.request, refusal_reason::kNoUpstream, RetryAt(*service, now),
           commands);
  } else if (const std::optional<request_index> index =
                 requests_.Add({.request = event.request,
                                .service = *service,
                                .deadline = event.deadline,
                                .idempotent = event.idempotent})) {
    if (admission_.MayStartNow(*service) &&
        (TryStart(*index, locality::kLocal, true, now, commands) ||
         (MaySpill(requests_.At(*index), now) &&
          TryStart(*index, locality::kRemote, true, now, commands)))) {
      return commands;
    }
    const time_point start_by =
        admission_.LatestStart(*service, event.deadline, false, now);
    const refusal_reason reason =
        admission_.CheckQueue(*service, start_by, now);
    if (reason != refusal_reason::kNone) {
      FinishUnanswered(*index, reason, now, commands);
    } else {
      requests_.At(*index).start_by = start_by;
      admission_.Enqueue({*service, *index, start_by}, now);
    }
  }
  StartQueued(now, commands);
  return commands;
}

template <routing_policy Policy>
request_commands basic_dispatcher<Policy>::Finish(const attempt_finished& event,
                                                  time_point now) {
  request_commands commands;
  Advance(now, commands);
  if (const std::optional<request_index> index =
          requests_.Find(event.request)) {
    EndAttempt(*index, event, now, commands);
  }
  StartQueued(now, commands);
  return commands;
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::EndAttempt(request_index index,
                                          const attempt_finished& event,
                                          time_point now,
                                          request_commands& commands) {
  request_record& record = requests_.At(index);
  const auto found = std::ranges::find(record.running, event.attempt,
                                       &running_attempt::attempt);
  if (found == record.running.end()) {
    return;
  }
  const running_attempt ended = *found;
  record.running.erase(found);
  timers_.Disarm(index, ended);
  feedback_.RecordAttempt(record, ended, event, now,
                          admission_.Latency(record.service), upstreams_);
  upstreams_.ReleaseSlot(ended.upstream);
  admission_.ReleaseSlot(record.service);
  record.may_have_run |= event.result == attempt_result::kUnknown;

  if (!record.finished && event.result == attempt_result::kAnswered) {
    commands.emplace_back(finish_request{.request = event.request,
                                         .outcome = request_outcome::kDone});
    record.finished = true;
  }
  if (!record.running.empty()) {
    return;
  }
  if (record.finished) {
    requests_.Remove(index);
  } else if (MayRetry(record, now)) {
    budgets_[record.service].Withdraw();
    const time_point start_by =
        admission_.LatestStart(record.service, record.deadline, true, now);
    record.start_by = start_by;
    admission_.Enqueue({record.service, index, start_by}, now);
  } else {
    FinishUnanswered(index,
                     record.cancelled         ? refusal_reason::kCancelled
                     : record.deadline <= now ? refusal_reason::kDeadlinePassed
                     : record.may_have_run    ? refusal_reason::kNone
                                           : refusal_reason::kUpstreamRefused,
                     now, commands);
  }
}

template <routing_policy Policy>
request_commands basic_dispatcher<Policy>::Cancel(request_id request,
                                                  time_point now) {
  request_commands commands;
  Advance(now, commands);
  if (const std::optional<request_index> index = requests_.Find(request)) {
    request_record& record = requests_.At(*index);
    record.cancelled = true;
    if (record.start_by) {
      Dequeue(*index);
      FinishUnanswered(*index, refusal_reason::kCancelled, now, commands);
    }
  }
  StartQueued(now, commands);
  return commands;
}

template <routing_policy Policy>
request_commands basic_dispatcher<Policy>::Tick(time_point now) {
  request_commands commands;
  Advance(now, commands);
  StartQueued(now, commands);
  return commands;
}

template <routing_policy Policy>
std::optional<time_point> basic_dispatcher<Policy>::NextDeadline() const {
  std::optional<time_point> next;
  for (const std::optional<time_point>& due :
       {admission_.Queues().NextDeadline(), timers_.NextDeadline(),
        upstreams_.NextDeadline()}) {
    if (due && (!next || *due < *next)) {
      next = due;
    }
  }
  return next;
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::Advance(time_point now,
                                       request_commands& commands) {
  upstreams_.Advance(now);
  while (const std::optional<attempt_key> key = timers_.PopDue(now)) {
    CheckAttempt(*key, now, commands);
  }
  admission_.SetCapacity(upstreams_.Capacity());
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::CheckAttempt(const attempt_key& key,
                                            time_point now,
                                            request_commands& commands) {
  const auto [index, number] = key;
  request_record& record = requests_.At(index);
  running_attempt& attempt =
      *std::ranges::find(record.running, number, &running_attempt::attempt);
  attempt.check_at.reset();
  if (!attempt.hedge_next) {
    attempt.stalled = true;
    upstreams_.ReportFailure(attempt.upstream, now);
    return;
  }
  attempt.hedge_next = false;
  timers_.Arm(index, attempt, record.deadline,
              admission_.Latency(record.service), now);
  TryHedge(index, now, commands);
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::TryHedge(request_index index,
                                        time_point now,
                                        request_commands& commands) {
  const request_record& record = requests_.At(index);
  // A hedge must not take a slot that a queued request could use.
  if (record.finished || record.running.size() != 1 || !MayRetry(record, now) ||
      !admission_.MayStartNow(record.service)) {
    return;
  }
  if (TryStart(index, locality::kLocal, false, now, commands)) {
    budgets_[record.service].Withdraw();
  }
}

template <routing_policy Policy>
bool basic_dispatcher<Policy>::MaySpill(const request_record& record,
                                        time_point now) {
  return admission_.Declared(record.service).spill &&
         !admission_.CannotMeetDeadline(
             record.service, record.deadline - options_.remote_round_trip, now);
}

template <routing_policy Policy>
bool basic_dispatcher<Policy>::TryStart(request_index index,
                                        locality location,
                                        bool allow_tried,
                                        time_point now,
                                        request_commands& commands) {
  request_record& record = requests_.At(index);
  const candidate_view candidates = upstreams_.Candidates(location);
  std::optional<upstream_index> chosen =
      router_.Choose(candidates, record.tried);
  if (!chosen && allow_tried) {
    chosen = router_.Choose(candidates, {});
  }
  if (!chosen || !upstreams_.AcquireSlot(*chosen, now)) {
    return false;
  }
  admission_.AcquireSlot(record.service);
  if (record.attempts == 0) {
    budgets_[record.service].Deposit();
  }
  ++record.attempts;
  if (std::ranges::find(record.tried, *chosen) == record.tried.end()) {
    record.tried.push_back(*chosen);
  }
  record.running.push_back(
      {.attempt = record.attempts,
       .upstream = *chosen,
       .started_at = now,
       .hedge_next = options_.retry.hedging && record.idempotent});
  timers_.Arm(index, record.running.back(), record.deadline,
              admission_.Latency(record.service), now);
  commands.emplace_back(start_attempt{record.request, record.attempts,
                                      upstreams_.At(*chosen).state.upstream,
                                      record.deadline});
  return true;
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::StartQueued(time_point now,
                                           request_commands& commands) {
  admission_.SetCapacity(upstreams_.Capacity());
  while (const std::optional<waiting_request> overdue =
             admission_.Queues().Overdue(now)) {
    Dequeue(overdue->request);
    FinishUnanswered(overdue->request,
                     requests_.At(overdue->request).deadline <= now
                         ? refusal_reason::kDeadlinePassed
                     : upstreams_.Capacity() == 0 ? refusal_reason::kNoUpstream
                     : admission_.BelowCap(overdue->service)
                         ? refusal_reason::kDeadlineTooClose
                         : refusal_reason::kOverShare,
                     now, commands);
  }
  StartQueuedLocally(now, commands);
  StartQueuedRemotely(now, commands);
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::StartQueuedLocally(time_point now,
                                                  request_commands& commands) {
  absl::InlinedVector<waiting_request, kMaxSkippedRetries> skipped;
  while (upstreams_.Candidates(locality::kLocal).size() > 0) {
    const std::optional<waiting_request> next = admission_.Queues().Next(false);
    if (!next) {
      break;
    }
    const bool allow_tried = skipped.size() == kMaxSkippedRetries;
    if (TryStart(next->request, locality::kLocal, allow_tried, now, commands)) {
      Dequeue(next->request);
    } else if (allow_tried) {
      break;
    } else {
      admission_.Remove(*next);
      skipped.push_back(*next);
    }
  }
  for (const waiting_request& retry : skipped) {
    admission_.Enqueue(retry, now);
  }
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::StartQueuedRemotely(time_point now,
                                                   request_commands& commands) {
  bool started = true;
  while (started && upstreams_.Candidates(locality::kRemote).size() > 0) {
    started = false;
    for (const waiting_request& head :
         admission_.Queues().SpillHeads(kMaxSpillCandidates)) {
      if (MaySpill(requests_.At(head.request), now) &&
          TryStart(head.request, locality::kRemote, true, now, commands)) {
        Dequeue(head.request);
        started = true;
        break;
      }
    }
  }
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::Dequeue(request_index index) {
  request_record& record = requests_.At(index);
  admission_.Remove({record.service, index, *record.start_by});
  record.start_by.reset();
}

template <routing_policy Policy>
bool basic_dispatcher<Policy>::MayRetry(const request_record& record,
                                        time_point now) {
  return !record.cancelled && record.attempts < options_.max_attempts &&
         (record.idempotent ||
          (!record.may_have_run && record.running.empty())) &&
         !admission_.CannotMeetDeadline(record.service, record.deadline, now) &&
         budgets_[record.service].CanWithdraw();
}

template <routing_policy Policy>
std::optional<time_point> basic_dispatcher<Policy>::RetryAt(
    service_index service,
    time_point now) {
  const std::chrono::nanoseconds wait = std::max<std::chrono::nanoseconds>(
      admission_.ExpectedQueueWait(service), options_.min_retry_delay);
  // Adds up to 50% of jitter, so that refused callers don't retry all at once.
  const auto jitter_permille = static_cast<std::int64_t>(
      RandomBelow(router_.Random(), static_cast<std::size_t>(kPermille / 2)));
  return now + wait + wait * jitter_permille / kPermille;
}

template <routing_policy Policy>
void basic_dispatcher<Policy>::FinishUnanswered(request_index index,
                                                refusal_reason reason,
                                                time_point now,
                                                request_commands& commands) {
  const request_record& record = requests_.At(index);
  if (record.may_have_run) {
    commands.emplace_back(finish_request{
        record.request, request_outcome::kUnknown, reason, std::nullopt});
  } else {
    Refuse(record.request, reason,
           reason == refusal_reason::kCancelled ? std::nullopt
                                                : RetryAt(record.service, now),
           commands);
  }
  requests_.Remove(index);
}

template class basic_dispatcher<power_of_two_choices<latency_cost>>;
template class basic_dispatcher<power_of_two_choices<outstanding_cost>>;
template class basic_dispatcher<full_scan<latency_cost>>;
template class basic_dispatcher<full_scan<outstanding_cost>>;
template class basic_dispatcher<round_robin>;
template class basic_dispatcher<random_choice>;

}  // namespace skylarkbridge::scheduling
