#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CALLERS_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CALLERS_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that serves callers.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Handle(caller_request request,
                                              time_point now,
                                              wall_time wall) {
  const event_time_scope line_time(wall);
  if (configuration_ == nullptr) {
    Reply(request.token, std::nullopt, "any", NotRun("no configuration yet"));
    return;
  }
  if (!map_) {
    Reply(request.token, std::nullopt, "any",
          NotRun("the fleet's cells are not known yet"));
    return;
  }
  const jobs::queue_configuration* queue =
      configuration_->Match(request.host, request.path);
  if (queue == nullptr) {
    Reply(request.token, std::nullopt, "any",
          {.kind = answer_kind::kNoQueue, .reason = "no queue for the path"});
    return;
  }
  const std::string_view rest =
      std::string_view(request.path).substr(queue->path_prefix.size());
  if (rest.empty() && request.method == caller_method::kQuery) {
    QueryPending(request, *queue, now);
    return;
  }
  const std::optional<jobs::job_id> job = jobs::ParseJobId(rest);
  if (!job || request.method == caller_method::kOther) {
    Reply(request.token, std::nullopt, "any",
          {.kind = answer_kind::kInvalid, .reason = "no such call"});
    return;
  }
  switch (request.method) {
    case caller_method::kSubmit:
      Submit(request, *queue, *job, now, wall);
      break;
    case caller_method::kCancel:
      Cancel(request, *job, now);
      break;
    default:
      Query(request, *job, now);
      break;
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Submit(
    const caller_request& request,
    const jobs::queue_configuration& queue,
    jobs::job_id job,
    time_point now,
    wall_time wall) {
  if (HomeOf(job).Registry().Find(job) != nullptr) {
    Reply(request.token, job, "submit",
          {.kind = answer_kind::kAccepted, .reason = "known"});
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(spec, Platform::DecodeJob(request.body));
        if (const auto fault = jobs::FindStorageFault(spec)) {
          return boost::leaf::new_error(failure{"job", std::string(*fault)});
        }
        RemoveConfirmedSubmissions();
        const std::int64_t long_running = jobs::LongRunningMillicores(spec);
        const jobs::cell_id running_cell = ChooseCell(job, spec);
        const jobs::job_accepted accepted{
            .job = job,
            .queue = queue.name,
            .accepted_at = wall,
            .spec = std::move(spec),
            .cell = running_cell,
            .settings = jobs::SettingsOfTasks(queue)};
        records::keyed_record record = records::Encode(accepted);
        if (record.Bytes() > options_.max_record_bytes) {
          return boost::leaf::new_error(
              failure{"job", "is too large for a record"});
        }
        if (long_running > 0) {
          unconfirmed_submissions_[job] = {running_cell, long_running};
        }
        Store({.token = request.token,
               .job = job,
               .record = std::move(record),
               .deadline = request.deadline},
              "submit", now);
        return {};
      },
      [&](const failure& error) {
        Reply(request.token, job, "submit",
              {.kind = answer_kind::kInvalid, .reason = Format(error)});
      },
      [&] {
        Reply(request.token, job, "submit",
              {.kind = answer_kind::kInvalid, .reason = "not a job"});
      });
}

template <fleet_platform Platform, caller_port Callers>
std::optional<time_point> control_state<Platform, Callers>::AllLogsReadAt()
    const {
  std::optional<time_point> oldest = time_point::max();
  for (const auto& each_cell : cells_) {
    oldest = std::min(oldest, each_cell->Reader().CompleteUntil());
  }
  return oldest;
}

template <fleet_platform Platform, caller_port Callers>
std::optional<time_point> control_state<Platform, Callers>::OtherLogsReadAt(
    const cell& own) const {
  std::optional<time_point> oldest = time_point::max();
  for (const auto& each_cell : cells_) {
    if (each_cell.get() != &own) {
      oldest = std::min(oldest, each_cell->Reader().CompleteUntil());
    }
  }
  return oldest;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::QueryPending(
    const caller_request& request,
    const jobs::queue_configuration& queue,
    time_point now) {
  const auto logs_read_at = AllLogsReadAt();
  if (logs_read_at && now < *logs_read_at + options_.max_pending_age) {
    Reply(request.token, std::nullopt, "pending",
          {.kind = answer_kind::kPending, .pending = Pending(queue.name)});
    return;
  }
  lookups_.push_back(
      {.token = request.token,
       .queue = queue.name,
       .requested_at = now,
       .deadline = std::min(request.deadline, now + options_.lookup_timeout)});
  for (const auto& each_cell : cells_) {
    each_cell->RequestRefresh();
  }
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::AnswerPending(const lookup& entry,
                                                     time_point now) {
  const auto logs_read_at = AllLogsReadAt();
  const bool fresh =
      logs_read_at && now < *logs_read_at + options_.max_pending_age;
  const bool expired = now >= entry.deadline;
  if (fresh || (expired && logs_read_at)) {
    Reply(entry.token, std::nullopt, "pending",
          {.kind = answer_kind::kPending, .pending = Pending(entry.queue)});
  } else if (expired) {
    Reply(entry.token, std::nullopt, "pending",
          NotRun("the log has not been read yet"));
  }
  return fresh || expired;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::RemoveConfirmedSubmissions() {
  std::erase_if(unconfirmed_submissions_, [this](const auto& entry) {
    return this->HomeOf(entry.first).Registry().Find(entry.first) != nullptr;
  });
}

template <fleet_platform Platform, caller_port Callers>
std::size_t control_state<Platform, Callers>::Pending(
    std::string_view queue) const {
  std::size_t pending = 0;
  for (const auto& each_cell : cells_) {
    pending += each_cell->Registry().CountUnstarted(queue);
  }
  return pending;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Query(const caller_request& request,
                                             jobs::job_id job,
                                             time_point now) {
  const jobs::job_registry& registry = HomeOf(job).Registry();
  const jobs::job_state* const known = registry.Find(job);
  if (known == nullptr) {
    AddLookup(request, job, options_.lookup_timeout, now);
    return;
  }
  const jobs::topic_reader& reader = RunningCellOf(job).Reader();
  const auto current = reader.CompleteUntil();
  const bool fresh = current && now < *current + options_.max_state_age;
  if (known->Ended() || fresh || reader.Failing()) {
    Reply(request.token, job, "query",
          {.kind = answer_kind::kState, .state = *registry.ReportedState(job)});
  } else {
    AddLookup(request, job, options_.refresh_timeout, now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::AddLookup(
    const caller_request& request,
    jobs::job_id job,
    std::chrono::milliseconds limit,
    time_point now) {
  lookups_.push_back({.token = request.token,
                      .job = job,
                      .method = request.method,
                      .requested_at = now,
                      .deadline = std::min(request.deadline, now + limit)});
  RunningCellOf(job).RequestRefresh();
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Cancel(const caller_request& request,
                                              jobs::job_id job,
                                              time_point now) {
  const jobs::job_state* const state = HomeOf(job).Registry().Find(job);
  if (state == nullptr) {
    AddLookup(request, job, options_.lookup_timeout, now);
    return;
  }
  if (state->Ended()) {
    Reply(request.token, job, "cancel",
          {.kind = answer_kind::kCancelled, .reason = "ended before"});
    return;
  }
  StoreCancellation(request.token, job, request.deadline, now);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::StoreCancellation(std::uint64_t token,
                                                         jobs::job_id job,
                                                         time_point deadline,
                                                         time_point now) {
  Store({.token = token,
         .job = job,
         .record = records::Encode(jobs::job_cancelled{job}),
         .deadline = deadline},
        "cancel", now);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Store(const pending_request& request,
                                             std::string_view method,
                                             time_point now) {
  cell& home = HomeOf(request.job);
  if (home.EnqueueAppend(request, now)) {
    return;
  }
  Reply(request.token, request.job, method,
        home.MayBeStored(request.record)
            ? Uncertain("the store is away and may hold an earlier request")
            : NotRun("the store is away"));
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Reply(std::uint64_t token,
                                             std::optional<jobs::job_id> job,
                                             std::string_view method,
                                             caller_answer answer) {
  metrics_.Count(method, answer.kind);
  if (answer.kind != answer_kind::kState &&
      answer.kind != answer_kind::kPending) {
    LogEvent(kRequestAnswered,
             {{"job", job ? jobs::Format(*job) : ""},
              {"method", std::string(method)},
              {"answer", std::string(Name(answer.kind))},
              {"reason", answer.reason},
              {"version", absl::StrCat(ConfigurationVersion())}});
  }
  callers_.Answer(token, std::move(answer));
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ReplyWithOutcome(
    const request_outcome& result) {
  // The keys of cancel records start with 'c'.
  const bool cancel = result.request.record.key.front() == 'c';
  const std::string_view method = cancel ? "cancel" : "submit";
  if (!result.stored && !cancel) {
    unconfirmed_submissions_.erase(result.request.job);
  }
  if (result.stored && cancel &&
      HomeOf(result.request.job).Registry().Find(result.request.job) ==
          nullptr) {
    Reply(result.request.token, result.request.job, method,
          {.kind = answer_kind::kNoJob, .reason = "not in the log"});
  } else if (result.stored) {
    Reply(result.request.token, result.request.job, method,
          {.kind = cancel ? answer_kind::kCancelled : answer_kind::kAccepted});
  } else if (result.rejected && !result.request.uncertain) {
    Reply(result.request.token, result.request.job, method,
          {.kind = answer_kind::kInvalid,
           .reason = "the store does not take the record"});
  } else if (result.request.uncertain) {
    Reply(result.request.token, result.request.job, method,
          Uncertain("the store did not answer"));
  } else {
    Reply(result.request.token, result.request.job, method,
          NotRun("the store refused the record"));
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::AnswerLookups(time_point now) {
  for (lookup& entry : std::exchange(lookups_, {})) {
    if (!AnswerLookup(entry, now)) {
      lookups_.push_back(std::move(entry));
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::AnswerLookup(const lookup& entry,
                                                    time_point now) {
  if (!entry.queue.empty()) {
    return AnswerPending(entry, now);
  }
  const jobs::job_registry& registry = HomeOf(entry.job).Registry();
  cell& running_cell = RunningCellOf(entry.job);
  const bool known = registry.Find(entry.job) != nullptr;
  const auto current = running_cell.Reader().CompleteUntil();
  const bool read_since_request = current && *current >= entry.requested_at;
  const bool expired = now >= entry.deadline;
  if (known && entry.method == caller_method::kCancel) {
    Cancel({.token = entry.token, .deadline = entry.deadline}, entry.job, now);
  } else if (known && (read_since_request || expired ||
                       running_cell.Reader().Failing())) {
    Reply(entry.token, entry.job, "query",
          {.kind = answer_kind::kState,
           .state = *registry.ReportedState(entry.job)});
  } else if (!known && read_since_request &&
             entry.method == caller_method::kCancel) {
    // The job may be on its way to the log. A stored cancellation holds for a
    // job that is accepted later, too.
    StoreCancellation(entry.token, entry.job, entry.deadline, now);
  } else if (!known && read_since_request) {
    Reply(entry.token, entry.job, "lookup",
          {.kind = answer_kind::kNoJob, .reason = "not in the log"});
  } else if (!known && expired) {
    Reply(entry.token, entry.job, "lookup",
          NotRun("the log can't be read now"));
  } else {
    // A read sent before the request may miss newer records, so another one is
    // needed.
    running_cell.RequestRefresh();
    return false;
  }
  return true;
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CALLERS_HPP
