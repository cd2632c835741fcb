#include "skylarkbridge/entry/request_runner.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

namespace skylarkbridge::entry {
namespace {

using scheduling::attempt_result;
using scheduling::finish_request;
using scheduling::refusal_reason;
using scheduling::request_outcome;
using scheduling::start_attempt;

constexpr request_id kRequest{7};

/// Control thread that answers with a script; an empty script never answers.
class control_fake {
 public:
  bool Arrive(const arriving_request&,
              const std::shared_ptr<request_reply>& reply) {
    if (full) {
      return false;
    }
    Answer(*reply);
    return true;
  }
  bool Finish(const ending_attempt& event,
              const std::shared_ptr<request_reply>& reply) {
    finished.push_back(event.finished);
    stored.push_back(event.stored_answer);
    Answer(*reply);
    return true;
  }
  std::shared_ptr<const declaration::configuration> Declared() {
    return nullptr;
  }

  bool full = false;
  std::deque<request_order> script;
  std::vector<std::optional<std::string>> stored;
  std::vector<scheduling::attempt_finished> finished;

 private:
  void Answer(request_reply& reply) {
    if (!script.empty()) {
      reply.Set(script.front());
      script.pop_front();
    }
  }
};

class upstreams_fake {
 public:
  gateway::upstream_result Send(worker_id upstream,
                                const gateway::upstream_request& request,
                                time_point) {
    called.push_back(upstream);
    trace_headers.push_back(request.headers.back().second);
    gateway::upstream_result result = results.front();
    results.pop_front();
    return result;
  }

  std::deque<gateway::upstream_result> results;
  std::vector<worker_id> called;
  std::vector<std::string> trace_headers;
};

/// Keeps the spans of a request.
struct span_list {
  void Record(const telemetry::finished_span& span) { spans.push_back(span); }
  std::vector<telemetry::finished_span> spans;
};

start_attempt Start(std::uint32_t attempt, std::uint64_t upstream) {
  return {kRequest, attempt, worker_id{upstream}, time_point::max()};
}

class RequestRunnerTest : public testing::Test {
 protected:
  request_answer Run(
      std::chrono::milliseconds deadline = std::chrono::seconds(20)) {
    request_runner runner(control_, upstreams_, spans_);
    caller_request request;
    request.service = "label-and-slip";
    request.idempotency_key = key_;
    request.deadline = boot_clock::now() + deadline;
    request.trace = telemetry::NewTrace();
    trace_ = request.trace.trace;
    return runner.Run(kRequest, request);
  }

  std::string key_;
  control_fake control_;
  upstreams_fake upstreams_;
  span_list spans_;
  telemetry::trace_id trace_{};
};

TEST_F(RequestRunnerTest, PassesOnTheAnswer) {
  control_.script = {Start(1, 3)};
  upstreams_.results = {
      {attempt_result::kAnswered,
       gateway::upstream_response{.status = 200, .body = "slip"}}};
  const request_answer answer = Run();
  EXPECT_EQ(answer.finish.outcome, request_outcome::kDone);
  EXPECT_EQ(answer.response->body, "slip");
  ASSERT_EQ(control_.finished.size(), 1u);
  EXPECT_EQ(control_.finished[0].result, attempt_result::kAnswered);
}

// A full control mailbox must be told to the caller as not-run at once.
TEST_F(RequestRunnerTest, FullMailboxIsNotRun) {
  control_.full = true;
  const request_answer answer = Run();
  EXPECT_EQ(answer.finish.outcome, request_outcome::kNotRun);
  EXPECT_EQ(answer.finish.reason, refusal_reason::kQueueFull);
  EXPECT_TRUE(upstreams_.called.empty());
}

// Nothing is known of earlier requests with the key, so that not-run would be
// a claim without proof.
TEST_F(RequestRunnerTest, KeyedRequestIsNeverNotRunUnasked) {
  key_ = "invoice-7";
  control_.full = true;
  EXPECT_EQ(Run().finish.outcome, request_outcome::kUnknown);
  control_.full = false;
  EXPECT_EQ(Run(std::chrono::milliseconds(1)).finish.outcome,
            request_outcome::kUnknown);
  EXPECT_TRUE(upstreams_.called.empty());
}

// A control thread that restarts never answers; nothing was dispatched, so the
// caller hears not-run.
TEST_F(RequestRunnerTest, NoCommandIsNotRun) {
  EXPECT_EQ(Run(std::chrono::milliseconds(1)).finish.outcome,
            request_outcome::kNotRun);
}

// The same after an attempt that may have run must not claim not-run.
TEST_F(RequestRunnerTest, NoCommandAfterUnknownAttemptIsUnknown) {
  control_.script = {Start(1, 3)};
  upstreams_.results = {{attempt_result::kUnknown, std::nullopt, "timeout"}};
  EXPECT_EQ(Run(std::chrono::milliseconds(1)).finish.outcome,
            request_outcome::kUnknown);
}

TEST_F(RequestRunnerTest, RetriesWhenToldTo) {
  control_.script = {Start(1, 3), Start(2, 4)};
  upstreams_.results = {
      {attempt_result::kNotStarted, std::nullopt, "refused"},
      {attempt_result::kAnswered, gateway::upstream_response{.status = 200}}};
  EXPECT_EQ(Run().finish.outcome, request_outcome::kDone);
  EXPECT_EQ(upstreams_.called, (std::vector{worker_id{3}, worker_id{4}}));
}

// A repeated key must get the bytes of the first answer without a second run.
TEST_F(RequestRunnerTest, ReplaysTheStoredAnswer) {
  key_ = "invoice-7";
  control_.script = {Start(1, 3)};
  const std::string bytes("slip \0 7", 8);
  upstreams_.results = {
      {attempt_result::kAnswered,
       gateway::upstream_response{
           .status = 201, .headers = {{"X-Slip", "7"}}, .body = bytes}}};
  Run();
  ASSERT_TRUE(control_.stored[0]);
  control_.script = {replay_answer{kRequest, *control_.stored[0]}};
  const request_answer again = Run();
  EXPECT_EQ(again.finish.outcome, request_outcome::kDone);
  EXPECT_EQ(again.response->status, 201);
  EXPECT_EQ(again.response->body, bytes);
  EXPECT_EQ(again.response->headers, (gateway::header_list{{"X-Slip", "7"}}));
  EXPECT_EQ(upstreams_.called.size(), 1u);
}

// Each hop has a span of the caller's trace, and the upstream gets the span of
// its own attempt.
TEST_F(RequestRunnerTest, RecordsASpanPerHop) {
  control_.script = {Start(1, 3)};
  upstreams_.results = {
      {attempt_result::kAnswered, gateway::upstream_response{.status = 200}}};
  Run();
  ASSERT_EQ(spans_.spans.size(), 2u);
  EXPECT_EQ(spans_.spans[0].name, "admission");
  EXPECT_EQ(spans_.spans[1].name, "attempt");
  EXPECT_EQ(spans_.spans[1].context.trace, trace_);
  EXPECT_EQ(upstreams_.trace_headers[0],
            telemetry::FormatTraceparent(spans_.spans[1].context));
}

}  // namespace
}  // namespace skylarkbridge::entry
