#include "skylarkbridge/jobs/machine_list_reader.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr machine_list_reader_options kOptions{
    .interval = milliseconds(200),
    .later_interval = milliseconds(500),
    .retry_delay = milliseconds(500),
    .max_pages = 3};

class MachineListReaderTest : public testing::Test {
 protected:
  /// Requests the next page and hands over @p page.
  std::optional<machine_list> Read(const std::optional<machine_page>& page) {
    const auto request = reader_.Next(true, now_);
    EXPECT_TRUE(request);
    return request ? reader_.Handle(request->number, page, now_) : std::nullopt;
  }

  machine_list_reader reader_{kOptions};
  time_point now_{std::chrono::hours(1)};
};

// Guards against readings while nobody waits for them: each one is priced and
// counts for the limit of all VMs.
TEST_F(MachineListReaderTest, ReadsNothingWhileNothingIsNeeded) {
  EXPECT_FALSE(reader_.Next(false, now_));
}

// Guards against a list that misses the machines of all pages but one.
TEST_F(MachineListReaderTest, JoinsThePages) {
  const time_point requested_at = now_;
  EXPECT_FALSE(Read(machine_page{{{"m1", "w1"}}, "p2"}));
  now_ += milliseconds(30);
  const auto request = reader_.Next(true, now_);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->page_token, "p2");
  const auto list =
      reader_.Handle(request->number, machine_page{{{"m2", ""}}, ""}, now_);
  ASSERT_TRUE(list);
  EXPECT_EQ(list->requested_at, requested_at);
  EXPECT_EQ(list->workers,
            (std::map<std::string, std::string>{{"m1", "w1"}, {"m2", ""}}));
}

// Guards against two requests at once.
TEST_F(MachineListReaderTest, SendsOneRequestAtATime) {
  ASSERT_TRUE(reader_.Next(true, now_));
  EXPECT_FALSE(reader_.Next(true, now_));
}

// Guards against a part of a list that counts as the whole one, and against
// requests without a pause while the platform serves none.
TEST_F(MachineListReaderTest, BeginsAnewAfterAPageThatFailed) {
  EXPECT_FALSE(Read(machine_page{{{"m1", "w1"}}, "p2"}));
  EXPECT_FALSE(Read(std::nullopt));
  EXPECT_FALSE(reader_.Next(true, now_));
  now_ += kOptions.retry_delay;
  const auto list = Read(machine_page{{{"m2", "w2"}}, ""});
  ASSERT_TRUE(list);
  EXPECT_EQ(list->requested_at, now_);
  EXPECT_FALSE(Names(*list, "w1"));
}

// Guards against readings without a pause, and against many of them while a
// worker is cut off for seconds.
TEST_F(MachineListReaderTest, WaitsLongerAfterTheSecondReadingInARow) {
  EXPECT_TRUE(Read(machine_page{}));
  EXPECT_FALSE(reader_.Next(true, now_));
  now_ += kOptions.interval;
  EXPECT_TRUE(Read(machine_page{}));
  now_ += kOptions.interval;
  EXPECT_FALSE(reader_.Next(true, now_));
  now_ += kOptions.later_interval - kOptions.interval;
  EXPECT_TRUE(Read(machine_page{}));
}

// Guards against a later wait whose first two readings are as far apart as the
// last ones of an earlier wait.
TEST_F(MachineListReaderTest, WaitsLessAgainInALaterWait) {
  EXPECT_TRUE(Read(machine_page{}));
  now_ += kOptions.interval;
  EXPECT_TRUE(Read(machine_page{}));
  EXPECT_FALSE(reader_.Next(false, now_));
  now_ += kOptions.later_interval;
  EXPECT_TRUE(Read(machine_page{}));
  now_ += kOptions.interval;
  EXPECT_TRUE(Read(machine_page{}));
}

// Guards against a reading that never ends.
TEST_F(MachineListReaderTest, GivesUpAReadingWithoutAnEnd) {
  EXPECT_FALSE(Read(machine_page{{}, "p2"}));
  EXPECT_FALSE(Read(machine_page{{}, "p2"}));
  EXPECT_FALSE(reader_.Next(true, now_));
  now_ += kOptions.retry_delay;
  for (const char* token : {"a", "b", "c", "d"}) {
    EXPECT_FALSE(Read(machine_page{{}, token}));
  }
  EXPECT_FALSE(reader_.Next(true, now_));
}

// Guards against a list that does not name a worker which was on a machine at
// the time of either page.
TEST_F(MachineListReaderTest, GivesUpAReadingThatContradictsItself) {
  EXPECT_FALSE(Read(machine_page{{{"m1", "w1"}}, "p2"}));
  EXPECT_FALSE(Read(machine_page{{{"m1", "w2"}}, ""}));
}

// Guards against a late reply that becomes part of the next reading.
TEST_F(MachineListReaderTest, IgnoresTheReplyOfAnAbandonedReading) {
  const auto request = reader_.Next(true, now_);
  ASSERT_TRUE(request);
  EXPECT_FALSE(reader_.Next(false, now_));
  EXPECT_FALSE(reader_.Next(true, now_));
  EXPECT_FALSE(
      reader_.Handle(request->number, machine_page{{{"m1", "w1"}}, ""}, now_));
  EXPECT_TRUE(reader_.Next(true, now_));
}

}  // namespace
}  // namespace skylarkbridge::jobs
