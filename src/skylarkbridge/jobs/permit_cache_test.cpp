#include "skylarkbridge/jobs/permit_cache.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};
constexpr step_ref kStep{job_id{1}, 0, 2};
constexpr placement_policy_timing kPolicy{
    .decision_time = milliseconds(20),
    .time_per_worker = milliseconds(2),
    .permit_validity = milliseconds(2000)};

permit_reply Reply(std::vector<permit> eligible) {
  return {.step = TaskOf(kStep, 0),
          .result = order_result::kDone,
          .eligible = std::move(eligible),
          .validity = kPolicy.permit_validity};
}

// Guards against starts without a valid ticket, which workers refuse.
TEST(PermitCacheTest, ReturnsTicketsUntilTheyExpire) {
  permit_cache cache({});
  const auto request = cache.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->workers.size(), 2U);
  EXPECT_EQ(request->expected, milliseconds(24));
  EXPECT_FALSE(cache.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow));
  cache.Handle(Reply({{"w1", "ticket"}}), kNow + milliseconds(30));
  EXPECT_EQ(cache.FindTicket(kStep, "w0", kNow + seconds(1)), nullptr);
  ASSERT_NE(cache.FindTicket(kStep, "w1", kNow + seconds(1)), nullptr);
  EXPECT_EQ(*cache.FindTicket(kStep, "w1", kNow + seconds(1)), "ticket");
  EXPECT_EQ(cache.FindTicket(kStep, "w1", kNow + milliseconds(1800)), nullptr);
}

// Guards against repeated requests for workers that the policy has denied; its
// decisions are final.
TEST(PermitCacheTest, RequestsNoPermitForDeniedWorkers) {
  permit_cache cache({});
  ASSERT_TRUE(cache.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow));
  cache.Handle(Reply({{"w1", "ticket"}}), kNow);
  EXPECT_FALSE(cache.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow));
  const auto later =
      cache.NextRequest(kStep, {"w0", "w1", "w2"}, kPolicy, kNow + seconds(3));
  ASSERT_TRUE(later);
  EXPECT_EQ(later->workers, (std::vector<std::string>{"w1", "w2"}));
}

// Guards against the use of tickets that were issued before the worker
// restarted or that it has refused.
TEST(PermitCacheTest, DropsTicketsOfRestartedAndRefusingWorkers) {
  permit_cache cache({});
  ASSERT_TRUE(cache.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow));
  cache.Handle(Reply({{"w0", "a"}, {"w1", "b"}}), kNow);
  cache.WorkerRestarted("w0");
  cache.Refused(kStep, "w1");
  EXPECT_EQ(cache.FindTicket(kStep, "w0", kNow), nullptr);
  EXPECT_EQ(cache.FindTicket(kStep, "w1", kNow), nullptr);
  const auto repeated = cache.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow);
  ASSERT_TRUE(repeated);
  EXPECT_EQ(repeated->workers.size(), 2U);
}

// Guards against retries without a delay and too many concurrent requests,
// which would overload the policy service further.
TEST(PermitCacheTest, WaitsAfterAFailedRequest) {
  permit_cache cache({});
  ASSERT_TRUE(cache.NextRequest(kStep, {"w0"}, kPolicy, kNow));
  cache.Handle({.step = TaskOf(kStep, 0), .result = order_result::kUnhealthy},
               kNow);
  EXPECT_FALSE(cache.NextRequest(kStep, {"w0"}, kPolicy, kNow));
  EXPECT_TRUE(
      cache.NextRequest(kStep, {"w0"}, kPolicy, kNow + milliseconds(300)));
  const step_ref others[] = {{job_id{2}, 0, 0}, {job_id{3}, 0, 0}};
  EXPECT_TRUE(
      cache.NextRequest(others[0], {"w0"}, kPolicy, kNow + milliseconds(300)));
  EXPECT_FALSE(
      cache.NextRequest(others[1], {"w0"}, kPolicy, kNow + milliseconds(300)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
