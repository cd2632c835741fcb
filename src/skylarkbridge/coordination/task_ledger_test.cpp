#include "skylarkbridge/coordination/task_ledger.hpp"

#include <gtest/gtest.h>

#include "log_fake.hpp"
#include "skylarkbridge/coordination/snapshot_schedule.hpp"

namespace skylarkbridge::coordination {
namespace {

using std::chrono::seconds;

/// Writes records of one writer at rising offsets.
struct stream_writer {
  std::uint64_t writer = 1;
  std::uint64_t sequence = 0;
  log_offset offset = 0;

  stored_record Next(record_body body) {
    return {offset++, {{{writer}, ++sequence}, {}, std::move(body)}};
  }
};

task_accepted Accepted(std::uint64_t task, bool idempotent = true) {
  return {.task = {task}, .kind = "manifest", .idempotent = idempotent};
}

// A record that was written twice must not reopen a finished task, which would
// run it a second time.
TEST(TaskLedgerTest, IgnoresARepeatedRecord) {
  task_ledger ledger({});
  stream_writer writer;
  stored_record accepted = writer.Next(Accepted(1));
  ledger.Apply(accepted);
  ledger.Apply(writer.Next(task_finished{{1}}));
  accepted.offset = writer.offset++;
  EXPECT_TRUE(ledger.Apply(accepted).empty());
  EXPECT_TRUE(ledger.OpenTasks().empty());
}

TEST(TaskLedgerTest, FoldsTheLifeOfATask) {
  task_ledger ledger({});
  stream_writer writer;
  ledger.Apply(writer.Next(Accepted(1, false)));
  ledger.Apply(writer.Next(task_start_claimed{{1}, 1}));
  EXPECT_TRUE(ledger.Find({1})->start_claimed);
  ledger.Apply(writer.Next(task_checkpointed{{1}, 1, "page 40", true}));
  ledger.Apply(writer.Next(task_cancelled{{1}}));
  const open_task expected{.task = {1},
                           .kind = "manifest",
                           .idempotent = false,
                           .attempts = 1,
                           .checkpoint = "page 40",
                           .cancelled = true};
  ASSERT_NE(ledger.Find({1}), nullptr);
  EXPECT_EQ(*ledger.Find({1}), expected);
  EXPECT_EQ(ledger.Apply(writer.Next(task_finished{{1}, 1})),
            (ledger_events{task_closed{{1}}}));
}

// Late news of an old attempt must not take a task back to an old checkpoint
// or bring back a claim that has ended.
TEST(TaskLedgerTest, IgnoresNewsOfAnOlderAttempt) {
  task_ledger ledger({});
  stream_writer writer;
  ledger.Apply(writer.Next(Accepted(1, false)));
  ledger.Apply(writer.Next(task_start_claimed{{1}, 2}));
  ledger.Apply(writer.Next(task_checkpointed{{1}, 2, "new", true}));
  ledger.Apply(writer.Next(task_checkpointed{{1}, 1, "old"}));
  ledger.Apply(writer.Next(task_start_claimed{{1}, 1}));
  EXPECT_EQ(ledger.Find({1})->checkpoint, "new");
  EXPECT_FALSE(ledger.Find({1})->start_claimed);
}

// Folding must not keep anything of finished tasks, or a daemon would grow by
// 42,000 jobs a day.
TEST(TaskLedgerTest, KeepsOnlyOpenTasks) {
  task_ledger ledger({});
  stream_writer writer;
  for (std::uint64_t i = 0; i < 100'000; ++i) {
    ledger.Apply(writer.Next(Accepted(i)));
    ledger.Apply(writer.Next(task_finished{{i}}));
  }
  EXPECT_TRUE(ledger.OpenTasks().empty());
  EXPECT_EQ(ledger.Writers(), 1);
}

// A VM that starts after records were trimmed must reach the same tasks as one
// that read them all, including records between the snapshot's offset and the
// snapshot itself.
TEST(TaskLedgerTest, StartsFromASnapshotAfterATrim) {
  virtual_time time;
  log_fake log;
  stream_writer writer;
  task_ledger old({.tasks_per_part = 3});
  const auto write = [&](record_body body) {
    stored_record stored = writer.Next(std::move(body));
    log.Write({stored.record});
    old.Apply(stored);
  };
  for (std::uint64_t i = 0; i < 10; ++i) {
    write(Accepted(i));
  }
  const std::vector<task_snapshot> snapshot = old.Snapshot();
  ASSERT_EQ(snapshot.size(), 4);
  write(task_finished{{4}});
  write(Accepted(11));
  for (const task_snapshot& part : snapshot) {
    write(part);
  }
  write(task_cancelled{{5}});
  log.Trim(10);

  log_client_fake vm(time, log, 2);
  task_ledger fresh({});
  vm.on_gap = [&](const offset_gap& gap) { fresh.Skip(gap); };
  vm.on_record = [&](const stored_record& stored) {
    for (const ledger_event& event : fresh.Apply(stored)) {
      if (const auto* replaced = std::get_if<tasks_replaced>(&event)) {
        vm.cursor.Seek(replaced->offset);
      }
    }
  };
  time.RunFor(seconds(1));
  EXPECT_EQ(vm.gaps, (std::vector{offset_gap{0, 10}}));
  EXPECT_TRUE(fresh.Certain());
  EXPECT_EQ(fresh.OpenTasks(), old.OpenTasks());
  EXPECT_EQ(fresh.Next(), old.Next());
}

// A snapshot from before the gap would hide the records in the gap.
TEST(TaskLedgerTest, WaitsForASnapshotThatCoversTheGap) {
  task_ledger ledger({});
  stream_writer writer{.offset = 20};
  ledger.Skip({0, 20});
  ledger.Apply(writer.Next(task_snapshot{.valid_until = 19}));
  EXPECT_FALSE(ledger.Certain());
  ledger.Apply(writer.Next(task_snapshot{.valid_until = 20}));
  EXPECT_TRUE(ledger.Certain());
}

// After a gap that nobody can fill, a claim may be lost, so a non-idempotent
// task must not start again.
TEST(TaskLedgerTest, TreatsTasksAsClaimedAfterAnAcceptedGap) {
  task_ledger ledger({});
  stream_writer writer;
  ledger.Apply(writer.Next(Accepted(1, false)));
  ledger.Apply(writer.Next(Accepted(2, true)));
  ledger.Skip({2, 5});
  EXPECT_EQ(ledger.AcceptGap(), (ledger_events{task_changed{{1}}}));
  EXPECT_TRUE(ledger.Find({1})->start_claimed);
  EXPECT_FALSE(ledger.Find({2})->start_claimed);
}

// A task that finished in an accepted gap must go once a VM that read it writes
// a snapshot, or it would run again after every takeover.
TEST(TaskLedgerTest, TakesASnapshotAfterAnAcceptedGap) {
  task_ledger ledger({});
  stream_writer writer;
  ledger.Apply(writer.Next(Accepted(1)));
  ledger.Skip({1, 5});
  ledger.AcceptGap();
  EXPECT_TRUE(ledger.Certain());
  stream_writer other{.writer = 2, .offset = 5};
  const ledger_events events =
      ledger.Apply(other.Next(task_snapshot{.valid_until = 5}));
  EXPECT_EQ(events, (ledger_events{snapshot_seen{5, {}}, tasks_replaced{5}}));
  EXPECT_TRUE(ledger.OpenTasks().empty());
}

// The same snapshot written by two VMs must change nothing.
TEST(TaskLedgerTest, IgnoresASecondSnapshot) {
  task_ledger ledger({});
  stream_writer a;
  ledger.Apply(a.Next(Accepted(1)));
  const task_snapshot snapshot = ledger.Snapshot().front();
  ledger.Apply(a.Next(task_finished{{1}}));
  stream_writer b{.writer = 2, .offset = a.offset};
  EXPECT_EQ(ledger.Apply(b.Next(snapshot)),
            (ledger_events{snapshot_seen{1, {}}}));
  EXPECT_TRUE(ledger.OpenTasks().empty());
}

// A dead VM must not keep the snapshot from being written before records
// expire, and the live ones should write one, not eight.
TEST(SnapshotScheduleTest, TheNextVmWritesWhenTheFirstIsSilent) {
  snapshot_schedule schedule({.interval = seconds(600), .grace = seconds(15)});
  const wall_time start{seconds(1000)};
  schedule.RecordSeen(start);
  EXPECT_FALSE(schedule.Due(5, 0, start + seconds(599)));
  EXPECT_TRUE(schedule.Due(5, 0, start + seconds(600)));
  EXPECT_FALSE(schedule.Due(5, 1, start + seconds(600)));
  EXPECT_TRUE(schedule.Due(5, 1, start + seconds(615)));
  schedule.SnapshotSeen(5, start + seconds(601));
  EXPECT_FALSE(schedule.Due(5, 1, start + seconds(615)));
  std::vector<entry_vm_id> live{{1}, {2}, {3}, {4}};
  std::set<std::size_t> ranks;
  for (const entry_vm_id vm : live) {
    ranks.insert(SnapshotRank(vm, live, log_stream::kTasks, 77));
  }
  EXPECT_EQ(ranks, (std::set<std::size_t>{0, 1, 2, 3}));
}

}  // namespace
}  // namespace skylarkbridge::coordination
