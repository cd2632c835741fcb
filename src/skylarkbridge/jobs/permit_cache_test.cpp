#include "skylarkbridge/jobs/permit_cache.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};
constexpr step_ref kStep{job_id{1}, 0, 2};
constexpr placement_policy kPolicy{.decision_time = milliseconds(20),
                                   .time_per_worker = milliseconds(2),
                                   .permit_validity = milliseconds(2000)};

permit_reply Reply(std::vector<permit> eligible) {
  return {.step = TaskOf(kStep, 0),
          .result = order_result::kDone,
          .eligible = std::move(eligible),
          .validity = kPolicy.permit_validity};
}

// A start without a valid ticket is rejected by the worker and wastes a pass.
TEST(PermitCacheTest, GivesTicketsUntilTheyEnd) {
  permit_cache book({});
  const auto request = book.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->workers.size(), 2U);
  EXPECT_EQ(request->expected, milliseconds(24));
  EXPECT_FALSE(book.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow));
  book.Handle(Reply({{"w1", "ticket"}}), kNow + milliseconds(30));
  EXPECT_EQ(book.Find(kStep, "w0", kNow + seconds(1)), nullptr);
  ASSERT_NE(book.Find(kStep, "w1", kNow + seconds(1)), nullptr);
  EXPECT_EQ(*book.Find(kStep, "w1", kNow + seconds(1)), "ticket");
  EXPECT_EQ(book.Find(kStep, "w1", kNow + milliseconds(1800)), nullptr);
}

// What the policy has decided does not change, so it is not asked again.
TEST(PermitCacheTest, AsksOnlyAboutWorkersThatMayBeAllowed) {
  permit_cache book({});
  ASSERT_TRUE(book.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow));
  book.Handle(Reply({{"w1", "ticket"}}), kNow);
  EXPECT_FALSE(book.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow));
  const auto later =
      book.NextRequest(kStep, {"w0", "w1", "w2"}, kPolicy, kNow + seconds(3));
  ASSERT_TRUE(later);
  EXPECT_EQ(later->workers, (std::vector<std::string>{"w1", "w2"}));
}

// A new life of a worker, and a worker that refused, need a new ticket.
TEST(PermitCacheTest, ForgetsTicketsThatNoLongerCount) {
  permit_cache book({});
  ASSERT_TRUE(book.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow));
  book.Handle(Reply({{"w0", "a"}, {"w1", "b"}}), kNow);
  book.WorkerRestarted("w0");
  book.Refused(kStep, "w1");
  EXPECT_EQ(book.Find(kStep, "w0", kNow), nullptr);
  EXPECT_EQ(book.Find(kStep, "w1", kNow), nullptr);
  const auto again = book.NextRequest(kStep, {"w0", "w1"}, kPolicy, kNow);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->workers.size(), 2U);
}

// A service that is overloaded must not be pressed.
TEST(PermitCacheTest, WaitsAfterARequestThatFailed) {
  permit_cache book({});
  ASSERT_TRUE(book.NextRequest(kStep, {"w0"}, kPolicy, kNow));
  book.Handle({.step = TaskOf(kStep, 0), .result = order_result::kUnhealthy},
              kNow);
  EXPECT_FALSE(book.NextRequest(kStep, {"w0"}, kPolicy, kNow));
  EXPECT_TRUE(
      book.NextRequest(kStep, {"w0"}, kPolicy, kNow + milliseconds(300)));
  const step_ref others[] = {{job_id{2}, 0, 0}, {job_id{3}, 0, 0}};
  EXPECT_TRUE(
      book.NextRequest(others[0], {"w0"}, kPolicy, kNow + milliseconds(300)));
  EXPECT_FALSE(
      book.NextRequest(others[1], {"w0"}, kPolicy, kNow + milliseconds(300)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
