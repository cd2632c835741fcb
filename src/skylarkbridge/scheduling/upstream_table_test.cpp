#include "skylarkbridge/scheduling/upstream_table.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart = time_point(seconds(100));

void AddLive(upstream_table& table, std::uint64_t id) {
  table.Update({{id}, upstream_status::kLive, {1}, 4, 4}, kStart);
}

void FailThreeTimes(upstream_table& table,
                    upstream_index index,
                    time_point now) {
  for (int i = 0; i < 3; ++i) {
    table.ReportFailure(index, now);
  }
}

// Guards against readmitting an ejected upstream with all its slots: if it
// still fails, that many requests would fail with it.
TEST(UpstreamTableTest, ReadmitsOnProbation) {
  upstream_table table;
  AddLive(table, 1);
  AddLive(table, 2);
  FailThreeTimes(table, 0, kStart);
  ASSERT_EQ(table.Candidates(locality::kLocal).size(), 1U);
  ASSERT_EQ(table.NextDeadline(), kStart + seconds(1));
  const time_point readmitted = kStart + seconds(1);
  table.Advance(readmitted);
  ASSERT_EQ(table.Candidates(locality::kLocal).size(), 2U);
  EXPECT_TRUE(table.AcquireSlot(0, readmitted));
  EXPECT_FALSE(table.AcquireSlot(0, readmitted));
  table.ReleaseSlot(0);
  table.ReportFailure(0, readmitted);
  EXPECT_EQ(table.NextDeadline(), readmitted + seconds(2));
  table.Advance(readmitted + seconds(2));
  for (int i = 0; i < 3; ++i) {
    table.ReportAnswer(0, 1);
  }
  EXPECT_TRUE(table.AcquireSlot(0, readmitted + seconds(2)));
  EXPECT_TRUE(table.AcquireSlot(0, readmitted + seconds(2)));
}

// Guards against an overload of the remaining upstreams. When most upstreams
// are ejected, the cause is probably elsewhere, and ejection must be ignored.
TEST(UpstreamTableTest, IgnoresEjectionAbovePanicThreshold) {
  upstream_table table;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    AddLive(table, id);
  }
  for (upstream_index index = 0; index < 7; ++index) {
    FailThreeTimes(table, index, kStart);
  }
  EXPECT_EQ(table.Candidates(locality::kLocal).size(), 3U);
  EXPECT_EQ(table.Capacity(), 12);
  FailThreeTimes(table, 7, kStart);
  EXPECT_EQ(table.Candidates(locality::kLocal).size(), 10U);
  EXPECT_EQ(table.Capacity(), 40);
}

// Guards against candidate lists that disagree with the entries. An upstream
// would then exceed its slots or receive no requests.
TEST(UpstreamTableTest, CandidatesMatchEntriesAfterRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    upstream_table table(
        {.data_centre = data_centre_id{1}, .panic_permille = 1000});
    std::vector<upstream_index> running;
    time_point now = kStart;
    for (int step = 0; step < 2000; ++step) {
      now += milliseconds(random() % 20);
      table.Advance(now);
      const locality location =
          random() % 3 == 0 ? locality::kRemote : locality::kLocal;
      const candidate_view view = table.Candidates(location);
      switch (random() % 4) {
        case 0:
          table.Update({{random() % 20},
                        static_cast<upstream_status>(random() % 3),
                        {1 + random() % 2},
                        static_cast<std::int64_t>(random() % 5),
                        static_cast<std::int64_t>(random() % 5),
                        now + milliseconds(random() % 400)},
                       now);
          break;
        case 1:
        case 2:
          if (view.size() > 0) {
            const upstream_index index = view.Index(random() % view.size());
            ASSERT_TRUE(table.AcquireSlot(index, now)) << "seed " << seed;
            running.push_back(index);
          }
          break;
        default:
          if (!running.empty()) {
            if (random() % 3 == 0) {
              table.ReportFailure(running.back(), now);
            }
            table.ReleaseSlot(running.back());
            running.pop_back();
          }
      }
      std::set<std::uint64_t> listed_upstreams;
      const candidate_view after = table.Candidates(location);
      for (std::size_t at = 0; at < after.size(); ++at) {
        const upstream_entry& entry = after[at];
        ASSERT_TRUE(listed_upstreams.insert(entry.state.upstream.value).second);
        ASSERT_EQ(entry.state.status, upstream_status::kLive);
        ASSERT_LT(entry.in_use,
                  std::min(entry.state.slots, entry.state.connections));
      }
      ASSERT_GE(table.Capacity(), 0);
    }
  }
}

}  // namespace
}  // namespace skylarkbridge::scheduling
