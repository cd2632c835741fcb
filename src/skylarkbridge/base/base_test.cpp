#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/event_log.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/one_shot.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/base/stop_signal.hpp"

namespace skylarkbridge {
namespace {

/// How often the text occurs in the log.
int Count(std::string_view log, std::string_view text) {
  int found = 0;
  for (std::size_t at = log.find(text); at != std::string_view::npos;
       at = log.find(text, at + 1)) {
    ++found;
  }
  return found;
}

// A full mailbox must refuse instead of blocking a traffic thread.
TEST(MailboxTest, RefusesWhenFull) {
  mailbox<int> box(2);
  EXPECT_TRUE(box.TrySend(1));
  EXPECT_TRUE(box.TrySend(2));
  EXPECT_FALSE(box.TrySend(3));
  EXPECT_TRUE(box.SendUnbounded(4));
  EXPECT_EQ(box.ReceiveAll(std::nullopt), (std::vector<int>{1, 2, 4}));
}

// Guards against a wait that is measured from a message that was taken before.
TEST(MailboxTest, TellsWhenTheFirstMessageOfABatchWasSent) {
  mailbox<int> box(2);
  EXPECT_FALSE(box.ReceiveBatch(boot_clock::now()).first_sent_at);
  const time_point before = boot_clock::now();
  box.TrySend(1);
  const time_point after = boot_clock::now();
  box.SendUnbounded(2);
  const mailbox_batch<int> first = box.ReceiveBatch(std::nullopt);
  EXPECT_EQ(first.messages, (std::vector<int>{1, 2}));
  ASSERT_TRUE(first.first_sent_at);
  EXPECT_GE(*first.first_sent_at, before);
  EXPECT_LE(*first.first_sent_at, after);
  box.TrySend(3);
  EXPECT_GE(box.ReceiveBatch(std::nullopt).first_sent_at, after);
}

// A closed mailbox must wake its receiver, or a stop would hang.
TEST(MailboxTest, CloseWakesReceiver) {
  mailbox<int> box(2);
  std::vector<int> received{0};
  posix_thread receiver = posix_thread::Start("receiver", [&] {
                            received = box.ReceiveAll(std::nullopt);
                          }).value();
  box.Close();
  receiver.Join();
  EXPECT_TRUE(received.empty());
  EXPECT_FALSE(box.TrySend(1));
}

// A reply after the deadline must not reach a later reader of the slot.
TEST(OneShotTest, RefusesReplyAfterDeadline) {
  one_shot<int> slot;
  EXPECT_EQ(slot.Wait(boot_clock::now()), std::nullopt);
  EXPECT_FALSE(slot.Set(7));
}

TEST(OneShotTest, KeepsFirstReply) {
  one_shot<int> slot;
  EXPECT_TRUE(slot.Set(1));
  EXPECT_FALSE(slot.Set(2));
  EXPECT_EQ(slot.Wait(boot_clock::now()), 1);
}

// A callback registered after the request must still run, or a thread that
// starts during a stop would never end.
TEST(StopSignalTest, RunsLateCallback) {
  stop_signal stop;
  const time_point deadline = boot_clock::now();
  stop.Request(deadline);
  std::optional<time_point> seen;
  stop.OnRequest([&](time_point drain_deadline) { seen = drain_deadline; });
  EXPECT_EQ(seen, deadline);
}

// All faults of an address are reported together, each with its place.
TEST(IpAddressTest, ReportsAllFaults) {
  findings found;
  EXPECT_FALSE(
      ParseIpAddress("localhost:70000", "flag --peer_address[2]", found));
  EXPECT_EQ(Format(found),
            "flag --peer_address[2]: \"localhost\" is not an IPv4 number\n"
            "flag --peer_address[2]: port 70000 is above 65535\n");
}

// A line that is no JSON would be lost to the tools that read the logs.
TEST(EventLogTest, WritesJsonWithEscapedValues) {
  constexpr event_definition kEvent{1, event_severity::kInfo, "thing_done",
                                    "a b c"};
  const std::string line =
      FormatEvent(kEvent, {{"a", "x \"y\"\n"}, {"b", ""}, {"c", "\xff"}});
  EXPECT_TRUE(line.starts_with("{\"time\":")) << line;
  EXPECT_TRUE(line.ends_with(
      "\"event\":1,\"severity\":\"info\",\"name\":\"thing_done\","
      "\"a\":\"x \\\"y\\\"\\u000a\",\"c\":\"\\u00ff\"}"))
      << line;
}

// Guards against lines of a process in virtual time that carry the time of the
// machine's clock, from which no timeline can be read.
TEST(EventLogTest, LinesCarryTheTimeOfTheScope) {
  constexpr event_definition kEvent{1, event_severity::kInfo, "thing_done", ""};
  constexpr wall_time kOuter{std::chrono::milliseconds(1'700'000'000'250)};
  {
    const event_time_scope outer(kOuter);
    {
      const event_time_scope inner(kOuter + std::chrono::seconds(3));
      EXPECT_TRUE(FormatEvent(kEvent, {})
                      .starts_with("{\"time\":1700000003.250,\"event\":1"));
    }
    EXPECT_TRUE(FormatEvent(kEvent, {})
                    .starts_with("{\"time\":1700000000.250,\"event\":1"));
  }
  EXPECT_FALSE(FormatEvent(kEvent, {}).starts_with("{\"time\":1700000000"));
}

// Guards against warnings that are lost among many lines: an owner under load
// logs more than the budget, and the lines that tell its trouble were dropped.
TEST(EventLogTest, KeepsRoomForWarnings) {
  constexpr event_definition kFrequent{1, event_severity::kInfo, "frequent",
                                       ""};
  constexpr event_definition kRare{2, event_severity::kWarning, "rare", ""};
  testing::internal::CaptureStdout();
  for (int line = 0; line < 5000; ++line) {
    LogEvent(kFrequent, {});
  }
  for (int line = 0; line < 20; ++line) {
    LogEvent(kRare, {});
  }
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_LT(Count(log, "\"name\":\"frequent\""), 5000);
  EXPECT_EQ(Count(log, "\"rare\""), 20);
}

// Guards against the decisions of an owner that are dropped for lines which
// all VMs write.
TEST(EventLogTest, KeepsRoomForDecisions) {
  constexpr event_definition kFrequent{1, event_severity::kInfo, "frequent",
                                       ""};
  constexpr event_definition kDecided{2, event_severity::kInfo, "decided", "",
                                      log_class::kDecision};
  testing::internal::CaptureStdout();
  for (int line = 0; line < 5000; ++line) {
    LogEvent(kFrequent, {});
  }
  for (int line = 0; line < 1000; ++line) {
    LogEvent(kDecided, {});
  }
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_EQ(Count(log, "\"decided\""), 1000);
}

// Guards against a log of which a third are notices of dropped lines: one
// preceded each line that was written while the budget was used up.
TEST(EventLogTest, WritesFewNoticesOfDroppedLines) {
  constexpr event_definition kFrequent{1, event_severity::kInfo, "frequent",
                                       ""};
  testing::internal::CaptureStdout();
  const time_point begin = boot_clock::now();
  const time_point end = begin + std::chrono::milliseconds(300);
  while (boot_clock::now() < end) {
    LogEvent(kFrequent, {});
  }
  const auto seconds =
      std::chrono::floor<std::chrono::seconds>(boot_clock::now() - begin);
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_LE(Count(log, "\"log_lines_dropped\""), seconds.count() + 1);
}

// Guards against a log that does not tell which lines it lacks: among those
// left out were the decisions on restarts, and only their number was known.
// Also against a notice that grows with the number of kinds.
TEST(EventLogTest, CountsDroppedLinesByKind) {
  constexpr event_definition kFrequent{1, event_severity::kInfo, "frequent",
                                       "what"};
  constexpr event_definition kRare{2, event_severity::kWarning, "rare", ""};
  testing::internal::CaptureStdout();
  for (int line = 0; line < 5000; ++line) {
    LogEvent(kFrequent, {});
  }
  // The first ends the count of the lines before, whatever they were. All of
  // them together keep the budget below that of infos for 0.1 s.
  for (int line = 0; line < 40; ++line) {
    LogEvent(kRare, {});
  }
  testing::internal::GetCapturedStdout();
  testing::internal::CaptureStdout();
  for (int kind = 0; kind < 50; ++kind) {
    LogEvent(kFrequent, {{"what", absl::StrCat("kind_", kind)}});
  }
  LogEvent(kFrequent, {{"what", "kind_0"}});
  LogEvent(kRare, {});
  const std::string log = testing::internal::GetCapturedStdout();
  EXPECT_NE(log.find("\"lines\":\"51\",\"kinds\":\"other:18 "
                     "frequent/kind_0:2 frequent/kind_9:1"),
            std::string::npos)
      << log;
}

}  // namespace
}  // namespace skylarkbridge
