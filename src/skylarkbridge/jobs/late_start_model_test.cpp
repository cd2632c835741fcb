// A model of one start order without an answer, played over all interleavings
// of its arrival, the crash of its worker, the start of the next life and the
// first renewal that reaches that life. It shows what any owner can do.
//
// All that an owner decides is when and where it starts the task again, and
// when it acknowledges the end of that run. Until the worker crashes it sees
// the same in all interleavings, so that it can't choose by them.

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

/// Steps of 1 s since the order was sent.
using model_time = int;

/// The order is carried out in this step or an earlier one, or never.
constexpr model_time kLatestArrival = 15;
constexpr model_time kRunTime = 2;
/// End of the model.
constexpr model_time kEnd = kLatestArrival + 2 * kRunTime + 2;

/// What an owner does.
struct owner_plan {
  bool on_same_worker = true;
  model_time starts_again = 0;
  model_time acknowledges = 0;
};

/// What happens to the order and to its worker.
struct interleaving {
  model_time arrival = 0;
  model_time crash = 0;
  /// Start of the next life.
  model_time birth = 0;
  /// When the first renewal reaches that life, which refuses the order then.
  model_time fenced = 0;
};

/// When the next life carries out the order; nullopt if it doesn't.
std::optional<model_time> LateRun(const interleaving& play) {
  const bool accepted =
      play.arrival >= play.birth && play.arrival < play.fenced;
  return accepted ? std::optional(play.arrival) : std::nullopt;
}

/// Whether the task runs twice at a time, or again after an end that is
/// acknowledged. The life that has reported refuses the order.
bool RunsTwice(const owner_plan& plan, const interleaving& play) {
  const std::optional<model_time> late = LateRun(play);
  if (!late) {
    return false;
  }
  const model_time end = plan.starts_again + kRunTime;
  const bool lives_to_end = !plan.on_same_worker || end <= play.crash;
  const model_time ends_at = lives_to_end ? end : play.crash;
  const bool overlaps = *late < ends_at && plan.starts_again < play.fenced;
  const bool acknowledged =
      lives_to_end && (!plan.on_same_worker || plan.acknowledges <= play.crash);
  return overlaps || (acknowledged && *late >= end);
}

/// All interleavings in which the owner has started the task again before the
/// crash: what it does after that it may choose by what it has seen.
std::vector<interleaving> Interleavings(model_time starts_again) {
  std::vector<interleaving> plays;
  for (model_time arrival = 0; arrival <= kLatestArrival; ++arrival) {
    for (model_time crash = starts_again + 1; crash < kEnd; ++crash) {
      for (model_time birth = crash; birth < kEnd; ++birth) {
        for (model_time fenced = birth; fenced <= birth + 1; ++fenced) {
          plays.push_back({arrival, crash, birth, fenced});
        }
      }
    }
  }
  return plays;
}

bool IsSafe(const owner_plan& plan) {
  for (const interleaving& play : Interleavings(plan.starts_again)) {
    if (RunsTwice(plan, play)) {
      return false;
    }
  }
  return true;
}

// Guards against a change that claims to close the case without its price: no
// owner keeps a task from running twice unless it acknowledges no end of it
// before the order can arrive no more. On another worker, it can't start the
// task before that either.
TEST(LateStartModelTest, NoOwnerThatAcknowledgesBeforeTheLatestArrivalIsSafe) {
  for (model_time start = 1; start <= kLatestArrival + 1; ++start) {
    for (model_time end = start + kRunTime; end <= kEnd - 1; ++end) {
      const owner_plan same{.starts_again = start, .acknowledges = end};
      EXPECT_EQ(IsSafe(same), end > kLatestArrival) << start << ' ' << end;
      const owner_plan other{
          .on_same_worker = false, .starts_again = start, .acknowledges = end};
      EXPECT_EQ(IsSafe(other), start >= kLatestArrival) << start << ' ' << end;
    }
  }
}

// Guards against counting an unsafe plan as safe: an order that arrives once a
// renewal has reached the life does nothing, so that the time until then is all
// that an owner can shorten.
TEST(LateStartModelTest, AFencedLifeNeverRunsTheTaskTwice) {
  for (model_time start = 1; start <= kLatestArrival; ++start) {
    const owner_plan plan{.starts_again = start,
                          .acknowledges = start + kRunTime};
    for (const interleaving& play : Interleavings(start)) {
      if (play.arrival >= play.fenced || play.arrival < play.birth) {
        EXPECT_FALSE(RunsTwice(plan, play));
      }
    }
  }
}

}  // namespace
}  // namespace skylarkbridge::jobs
