#include "skylarkbridge/scenario/request_side.hpp"

#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "skylarkbridge/scenario/names.hpp"

namespace skylarkbridge::scenario {

using coordination::told_outcome;
using scheduling::attempt_result;
using scheduling::request_outcome;

void request_side::Configure() {
  Do(dispatcher_.Configure(fleet_.declared, fleet_.time.Now()));
}

void request_side::Flood(const std::string& service, const flood& what) {
  for (std::int64_t i = 0; i < what.count; ++i) {
    fleet_.time.After(what.over * i / what.count,
                      [=, this] { Arrive(service, what); });
  }
}

void request_side::Cancel(const std::string& service, std::int64_t count) {
  std::vector<request_id> cancelled;
  for (const auto& [request, open] : open_) {
    if (open.service == service && std::ssize(cancelled) < count) {
      cancelled.push_back(request);
    }
  }
  for (const request_id request : cancelled) {
    Do(dispatcher_.Cancel(request, fleet_.time.Now()));
  }
}

void request_side::Update(worker_id worker) {
  using scheduling::upstream_status;
  const fleet_worker& state = fleet_.workers.at(worker);
  const bool lost = state.condition == worker_condition::kLost;
  if (lost) {
    const auto running = running_;
    for (const auto& [key, start] : running) {
      if (start.upstream == worker) {
        End(start, attempt_result::kUnknown, false);
      }
    }
  }
  Do(dispatcher_.Update({.upstream = worker,
                         .status = lost            ? upstream_status::kGone
                                   : state.leaving ? upstream_status::kLeaving
                                                   : upstream_status::kLive,
                         .slots = state.slots,
                         .connections = state.connections},
                        fleet_.time.Now()));
}

void request_side::Arrive(const std::string& service, const flood& what) {
  const request_id request{++last_request_};
  open_[request] = {.service = service, .arrived = fleet_.time.Now()};
  idempotent_[request] = what.idempotent;
  ++tallies_[service].arrived;
  fleet_.checker.CallerAsked(request, absl::StrCat("request ", request.value));
  Do(dispatcher_.Arrive({.request = request,
                         .service = service,
                         .deadline = fleet_.time.Now() + what.deadline,
                         .idempotent = what.idempotent},
                        fleet_.time.Now()));
}

void request_side::Do(const scheduling::request_commands& commands) {
  for (const scheduling::request_command& item : commands) {
    std::visit([this](const auto& c) { Do(c); }, item);
  }
  timer_.Arm(dispatcher_.NextDeadline(),
             [this] { Do(dispatcher_.Tick(fleet_.time.Now())); });
}

void request_side::Do(const scheduling::start_attempt& start) {
  running_[{start.request, start.attempt}] = start;
  const std::string& service = open_.at(start.request).service;
  ++tallies_[service].attempts;
  const auto after = [&](std::chrono::nanoseconds delay, attempt_result result,
                         bool fault) {
    const auto left = start.deadline - fleet_.time.Now();
    // The entry VM cuts an attempt off at its deadline.
    if (delay > left) {
      delay = left;
      result = attempt_result::kUnknown;
      fault = false;
    }
    fleet_.time.After(delay, [=, this] { End(start, result, fault); });
  };
  const worker_condition condition =
      fleet_.workers.at(start.upstream).condition;
  if (condition == worker_condition::kRefusing ||
      condition == worker_condition::kLost) {
    after(std::chrono::milliseconds(1), attempt_result::kNotStarted, false);
    return;
  }
  fleet_.checker.RequestStarted(
      {.request = start.request,
       .worker = start.upstream,
       .key = absl::StrCat("request ", start.request.value),
       .idempotent = idempotent_.at(start.request),
       .takes = {.slots = 1, .connections = 1}},
      fleet_.time.Now());
  if (condition == worker_condition::kSilent) {
    after(std::chrono::hours(24), attempt_result::kUnknown, false);
  } else if (condition == worker_condition::kFailing) {
    after(std::chrono::milliseconds(2), attempt_result::kAnswered, true);
  } else {
    const auto takes = fleet_.Uniform(fleet_.behaviour[service].takes);
    after(takes * (1000 + fleet_.noise_permille[start.upstream]) / 1000,
          attempt_result::kAnswered, false);
  }
}

void request_side::End(const scheduling::start_attempt& start,
                       attempt_result result,
                       bool fault) {
  if (running_.erase({start.request, start.attempt}) == 0) {
    return;
  }
  const auto open = open_.find(start.request);
  if (result == attempt_result::kAnswered) {
    const std::string answer = absl::StrCat("answer to ", start.request.value,
                                            " by ", start.upstream.value);
    if (open != open_.end()) {
      open->second.answer = answer;
      open->second.fault = fault;
    }
    fleet_.checker.RequestEnded(start.request, start.upstream, answer);
  } else {
    fleet_.checker.RequestEnded(start.request, start.upstream, std::nullopt);
  }
  Do(dispatcher_.Finish({.request = start.request,
                         .attempt = start.attempt,
                         .result = result,
                         .upstream_fault = fault},
                        fleet_.time.Now()));
}

void request_side::Do(const scheduling::finish_request& finish) {
  const auto found = open_.find(finish.request);
  // The checker reports a second answer to one caller.
  const open_request open =
      found == open_.end() ? open_request{} : found->second;
  tally& counts = tallies_[open.service];
  switch (finish.outcome) {
    case request_outcome::kDone:
      ++counts.done;
      counts.faults += open.fault ? 1 : 0;
      counts.latencies.push_back(fleet_.time.Now() - open.arrived);
      fleet_.checker.CallerTold(finish.request, told_outcome::kDone,
                                open.answer);
      break;
    case request_outcome::kNotRun:
      ++counts.not_run[Name(finish.reason)];
      fleet_.checker.CallerTold(finish.request, told_outcome::kNotRun);
      break;
    case request_outcome::kUnknown:
      ++counts.unknown;
      fleet_.checker.CallerTold(finish.request, told_outcome::kUnknown);
      break;
  }
  if (found != open_.end()) {
    open_.erase(found);
  }
}

void request_side::Show(command& line) const {
  for (const auto& [service, counts] : tallies_) {
    std::int64_t open = 0;
    for (const auto& [request, state] : open_) {
      open += state.service == service ? 1 : 0;
    }
    line.Print(absl::StrCat(service, ": ", counts.arrived, " arrived, ",
                            counts.done, " done, ", counts.faults,
                            " of them faults, ", Sum(counts.not_run),
                            " not run", Listed(counts.not_run), ", ",
                            counts.unknown, " unknown, ", open, " open"));
    line.Print(absl::StrCat(service, ": ", counts.attempts, " attempts, p50 ",
                            QuantileMs(counts.latencies, 500), " ms, p99 ",
                            QuantileMs(counts.latencies, 990), " ms"));
  }
}

}  // namespace skylarkbridge::scenario
