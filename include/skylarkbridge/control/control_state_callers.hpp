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
    Reply(
        request.token, std::nullopt, "pending",
        {.kind = answer_kind::kPending, .pending = book_.Pending(queue->name)});
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
  if (book_.Find(job) != nullptr) {
    Reply(request.token, job, "submit",
          {.kind = answer_kind::kAccepted, .reason = "known"});
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(spec, Platform::DecodeJob(request.body));
        const jobs::job_accepted accepted{.job = job,
                                          .queue = queue.name,
                                          .accepted_at = wall,
                                          .spec = std::move(spec)};
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
void control_state<Platform, Callers>::Query(const caller_request& request,
                                             jobs::job_id job,
                                             time_point now) {
  if (const auto state = book_.Report(job)) {
    Reply(request.token, job, "query",
          {.kind = answer_kind::kState, .state = *state});
    return;
  }
  lookups_.push_back(
      {.token = request.token,
       .job = job,
       .method = caller_method::kQuery,
       .asked = now,
       .deadline = std::min(request.deadline, now + options_.lookup_timeout)});
  refresh_wanted_ = true;
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::Cancel(const caller_request& request,
                                              jobs::job_id job,
                                              time_point now) {
  const jobs::job_state* state = book_.Find(job);
  if (state == nullptr) {
    lookups_.push_back({.token = request.token,
                        .job = job,
                        .method = caller_method::kCancel,
                        .asked = now,
                        .deadline = std::min(request.deadline,
                                             now + options_.lookup_timeout)});
    refresh_wanted_ = true;
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
  if (intake_.Add(item, now)) {
    return;
  }
  Reply(item.token, item.job, method,
        intake_.InDoubt(item.record)
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
  std::deque<lookup> waiting = std::exchange(lookups_, {});
  for (lookup& entry : waiting) {
    const bool known = book_.Find(entry.job) != nullptr;
    const bool current =
        job_reader_.CurrentAt() && *job_reader_.CurrentAt() >= entry.asked;
    if (known) {
      const caller_request request{.token = entry.token,
                                   .method = entry.method,
                                   .deadline = entry.deadline};
      if (entry.method == caller_method::kCancel) {
        Cancel(request, entry.job, now);
      } else {
        Query(request, entry.job, now);
      }
    } else if (current) {
      Reply(entry.token, entry.job, "lookup",
            {.kind = answer_kind::kNoJob, .reason = "not in the log"});
    } else if (now >= entry.deadline) {
      Reply(entry.token, entry.job, "lookup",
            NotRun("the log can't be read now"));
    } else {
      lookups_.push_back(std::move(entry));
    }
  }
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CALLERS_HPP
