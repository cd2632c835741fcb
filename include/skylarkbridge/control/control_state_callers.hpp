#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CALLERS_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CALLERS_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that serves callers.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Handle(caller_request request,
                                              time_point now,
                                              wall_time wall) {
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
        ForgetHandedIn();
        const std::int64_t long_running = jobs::LongRunningMillicores(spec);
        const jobs::cell_id runner = ChooseCell(job, spec);
        const jobs::job_accepted accepted{.job = job,
                                          .queue = queue.name,
                                          .accepted_at = wall,
                                          .spec = std::move(spec),
                                          .cell = runner};
        if (long_running > 0) {
          handed_in_[job] = {runner, long_running};
        }
        Store({.token = request.token,
               .job = job,
               .record = records::Encode(accepted),
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
std::optional<time_point> control_state<Platform, Callers>::AllReadAt() const {
  std::optional<time_point> oldest = time_point::max();
  for (const auto& part : cells_) {
    oldest = std::min(oldest, part->Reader().CurrentAt());
  }
  return oldest;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::QueryPending(
    const caller_request& request,
    const jobs::queue_configuration& queue,
    time_point now) {
  const auto read = AllReadAt();
  if (read && now < *read + options_.fresh_pending) {
    Reply(request.token, std::nullopt, "pending",
          {.kind = answer_kind::kPending, .pending = Pending(queue.name)});
    return;
  }
  lookups_.push_back(
      {.token = request.token,
       .queue = queue.name,
       .asked = now,
       .deadline = std::min(request.deadline, now + options_.lookup_timeout)});
  for (const auto& part : cells_) {
    part->RequestRefresh();
  }
}

template <fleet_platform Platform, caller_port Callers>
bool control_state<Platform, Callers>::AnswerPending(const lookup& entry,
                                                     time_point now) {
  const auto read = AllReadAt();
  const bool fresh = read && now < *read + options_.fresh_pending;
  const bool over = now >= entry.deadline;
  if (fresh || (over && read)) {
    Reply(entry.token, std::nullopt, "pending",
          {.kind = answer_kind::kPending, .pending = Pending(entry.queue)});
  } else if (over) {
    Reply(entry.token, std::nullopt, "pending",
          NotRun("the log has not been read yet"));
  }
  return fresh || over;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ForgetHandedIn() {
  std::erase_if(handed_in_, [this](const auto& entry) {
    return this->HomeOf(entry.first).Registry().Find(entry.first) != nullptr;
  });
}

template <fleet_platform Platform, caller_port Callers>
std::size_t control_state<Platform, Callers>::Pending(
    std::string_view queue) const {
  std::size_t pending = 0;
  for (const auto& part : cells_) {
    pending += part->Registry().Pending(queue);
  }
  return pending;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Query(const caller_request& request,
                                             jobs::job_id job,
                                             time_point now) {
  const jobs::job_book& book = HomeOf(job).Registry();
  const jobs::job_state* const known = book.Find(job);
  if (known == nullptr) {
    Look(request, job, options_.lookup_timeout, now);
    return;
  }
  const jobs::topic_reader& reader = RunnerOf(job).Reader();
  const auto current = reader.CurrentAt();
  const bool fresh = current && now < *current + options_.fresh_state;
  if (known->Ended() || fresh || reader.Failing()) {
    Reply(request.token, job, "query",
          {.kind = answer_kind::kState, .state = *book.Report(job)});
  } else {
    Look(request, job, options_.refresh_timeout, now);
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Look(const caller_request& request,
                                            jobs::job_id job,
                                            std::chrono::milliseconds limit,
                                            time_point now) {
  lookups_.push_back({.token = request.token,
                      .job = job,
                      .method = request.method,
                      .asked = now,
                      .deadline = std::min(request.deadline, now + limit)});
  RunnerOf(job).RequestRefresh();
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Cancel(const caller_request& request,
                                              jobs::job_id job,
                                              time_point now) {
  const jobs::job_state* const state = HomeOf(job).Registry().Find(job);
  if (state == nullptr) {
    Look(request, job, options_.lookup_timeout, now);
    return;
  }
  if (state->Ended()) {
    Reply(request.token, job, "cancel",
          {.kind = answer_kind::kCancelled, .reason = "ended before"});
    return;
  }
  Store({.token = request.token,
         .job = job,
         .record = records::Encode(jobs::job_cancelled{job}),
         .deadline = request.deadline},
        "cancel", now);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Store(const intake_item& item,
                                             std::string_view method,
                                             time_point now) {
  cell& part = HomeOf(item.job);
  if (part.EnqueueAppend(item, now)) {
    return;
  }
  Reply(item.token, item.job, method,
        part.MayBeStored(item.record)
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
void control_state<Platform, Callers>::Settle(const intake_result& result) {
  const bool cancel = result.item.record.key.front() == 'c';
  const std::string_view method = cancel ? "cancel" : "submit";
  if (!result.stored && !cancel) {
    handed_in_.erase(result.item.job);
  }
  if (result.stored) {
    Reply(result.item.token, result.item.job, method,
          {.kind = cancel ? answer_kind::kCancelled : answer_kind::kAccepted});
  } else if (result.item.uncertain) {
    Reply(result.item.token, result.item.job, method,
          Uncertain("the store did not answer"));
  } else {
    Reply(result.item.token, result.item.job, method,
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
  const jobs::job_book& book = HomeOf(entry.job).Registry();
  cell& runner = RunnerOf(entry.job);
  const bool known = book.Find(entry.job) != nullptr;
  const auto current = runner.Reader().CurrentAt();
  const bool read = current && *current >= entry.asked;
  const bool over = now >= entry.deadline;
  if (known && entry.method == caller_method::kCancel) {
    Cancel({.token = entry.token, .deadline = entry.deadline}, entry.job, now);
  } else if (known && (read || over || runner.Reader().Failing())) {
    Reply(entry.token, entry.job, "query",
          {.kind = answer_kind::kState, .state = *book.Report(entry.job)});
  } else if (!known && read) {
    Reply(entry.token, entry.job, "lookup",
          {.kind = answer_kind::kNoJob, .reason = "not in the log"});
  } else if (!known && over) {
    Reply(entry.token, entry.job, "lookup",
          NotRun("the log can't be read now"));
  } else {
    // A read that was under way when the caller asked is not enough.
    runner.RequestRefresh();
    return false;
  }
  return true;
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CALLERS_HPP
