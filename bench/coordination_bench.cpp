#include <benchmark/benchmark.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "skylarkbridge/base/manual_clock.hpp"
#include "skylarkbridge/coordination/configuration_ledger.hpp"
#include "skylarkbridge/coordination/membership.hpp"
#include "skylarkbridge/coordination/task_ledger.hpp"
#include "skylarkbridge/wire/frame.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"

namespace skylarkbridge::coordination {
namespace {

/// Records of a stream as one writer puts them there.
class stream_builder {
 public:
  explicit stream_builder(log_offset first = 0) : first_(first) {}

  void Add(record_body body) {
    const log_offset index = records_.size();
    stored_record& stored = records_.emplace_back();
    stored.offset = first_ + index;
    stored.record.id = {{first_ + 1}, index + 1};
    stored.record.body = std::move(body);
  }
  std::vector<stored_record> Take() { return std::move(records_); }

 private:
  log_offset first_;
  std::vector<stored_record> records_;
};

std::vector<stored_record> AcceptedTasks(std::uint64_t count) {
  stream_builder stream;
  for (std::uint64_t i = 0; i < count; ++i) {
    stream.Add(task_accepted{.task = {i}, .kind = "colour-match"});
  }
  return stream.Take();
}

// Open tasks read from their acceptance records.
void FoldOpenTasks(benchmark::State& state) {
  const auto records = AcceptedTasks(state.range(0));
  for (auto _ : state) {
    task_ledger ledger({});
    for (const stored_record& stored : records) {
      benchmark::DoNotOptimize(ledger.Apply(stored));
    }
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(FoldOpenTasks)->Arg(10'000)->Unit(benchmark::kMillisecond);

// A start from a snapshot, as after a restart with trimmed records.
void StartFromSnapshot(benchmark::State& state) {
  task_ledger old({});
  for (const stored_record& stored : AcceptedTasks(state.range(0))) {
    old.Apply(stored);
  }
  stream_builder stream(old.Next());
  for (task_snapshot& part : old.Snapshot()) {
    stream.Add(std::move(part));
  }
  const auto records = stream.Take();
  for (auto _ : state) {
    task_ledger ledger({});
    ledger.Skip({0, old.Next()});
    for (const stored_record& stored : records) {
      benchmark::DoNotOptimize(ledger.Apply(stored));
    }
    if (ledger.OpenTasks().size() != old.OpenTasks().size()) {
      state.SkipWithError("the snapshot was not taken");
    }
  }
}
BENCHMARK(StartFromSnapshot)->Arg(10'000)->Unit(benchmark::kMillisecond);

void WriteSnapshot(benchmark::State& state) {
  task_ledger ledger({});
  for (const stored_record& stored : AcceptedTasks(state.range(0))) {
    ledger.Apply(stored);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(ledger.Snapshot());
  }
}
BENCHMARK(WriteSnapshot)->Arg(10'000)->Unit(benchmark::kMillisecond);

/// Takes every text as it is, so that only the fold is measured.
struct plain_scheme {
  std::optional<std::string> Check(const std::string& text,
                                   findings& /*found*/) const {
    return text;
  }
  std::optional<std::string> Apply(const std::string& base,
                                   const std::string& /*difference*/,
                                   findings& /*found*/) const {
    return base;
  }
  std::vector<std::string> Changes(const std::string& /*from*/,
                                   const std::string& /*to*/) const {
    return {"claim of team a"};
  }
};

// A day of changes at the target size, 18,000, to a text of 200 KB.
void FoldConfiguration(benchmark::State& state) {
  stream_builder stream;
  stream.Add(configuration_published{0, true, std::string(200'000, 'x')});
  for (version_number base = 1; base < 18'000; ++base) {
    stream.Add(configuration_published{base, false, "claim"});
  }
  const auto records = stream.Take();
  for (auto _ : state) {
    configuration_ledger<plain_scheme> ledger({}, {});
    for (const stored_record& stored : records) {
      benchmark::DoNotOptimize(ledger.Apply(stored));
    }
  }
  state.SetItemsProcessed(state.iterations() *
                          static_cast<std::int64_t>(records.size()));
}
BENCHMARK(FoldConfiguration)->Unit(benchmark::kMillisecond)->Iterations(1);

/// One VM among others that all heartbeat to it.
class fleet_benchmark {
 public:
  explicit fleet_benchmark(std::uint64_t members)
      : vm_(Entry(0), {}, clock_.Now()) {
    for (std::uint64_t i = 1; i < members; ++i) {
      beats_.push_back({.sender = Entry(i)});
      Send(vm_.Hear(beats_.back(), clock_.Now()));
    }
    for (heartbeat& beat : beats_) {
      beat.table_digest = vm_.TableDigest();
    }
  }

  /// One second of virtual time.
  void RunSecond() {
    const time_point end = clock_.Now() + std::chrono::seconds(1);
    time_point next_beats = clock_.Now();
    int round = 0;
    while (clock_.Now() < end) {
      if (clock_.Now() >= next_beats) {
        for (const heartbeat& beat : beats_) {
          // Members of other data centres heartbeat to a few VMs here.
          const bool local = beat.sender.data_centre.value == 0;
          if (local || (round == 0 && beat.sender.vm.value % 64 == 9)) {
            Send(vm_.Hear(beat, clock_.Now()));
          }
        }
        ++round;
        next_beats += std::chrono::milliseconds(500);
      }
      Send(vm_.Tick(clock_.Now()));
      clock_.AdvanceTo(std::min({vm_.NextDeadline(), next_beats, end}));
    }
  }

  std::uint64_t Messages() const { return messages_; }
  std::uint64_t Bytes() const { return bytes_; }

 private:
  static member_entry Entry(std::uint64_t vm) {
    return {.vm = {vm},
            .data_centre = {vm / 8},
            .address = {"10.0.0.1", 7000},
            .life = {{}, {vm + 1}}};
  }
  void Send(const membership_commands& commands) {
    for (const auto& command : commands) {
      if (const auto* beat = std::get_if<send_heartbeat>(&command)) {
        ++messages_;
        bytes_ += Size(beat->message);
      } else if (const auto* update = std::get_if<send_update>(&command)) {
        ++messages_;
        bytes_ += Size(update->message);
      }
    }
  }
  // Encoded once per number of members, as only the tick is measured.
  std::size_t Size(const wire::peer_message& message) {
    const auto* update = std::get_if<member_update>(&message);
    std::size_t& size = sizes_[update == nullptr ? 0 : update->members.size()];
    if (size == 0) {
      size = wire::EncodePeerMessage(message).value().size() +
             wire::kFrameHeaderBytes;
    }
    return size;
  }

  manual_clock clock_;
  membership vm_;
  std::vector<heartbeat> beats_;
  std::map<std::size_t, std::size_t> sizes_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
};

// Processor time of a second, and what this VM sends in it.
void MembershipSecond(benchmark::State& state) {
  fleet_benchmark fleet(state.range(0));
  fleet.RunSecond();
  const std::uint64_t messages = fleet.Messages();
  const std::uint64_t bytes = fleet.Bytes();
  for (auto _ : state) {
    fleet.RunSecond();
  }
  const auto seconds = static_cast<double>(state.iterations());
  state.counters["messages_per_s"] =
      static_cast<double>(fleet.Messages() - messages) / seconds;
  state.counters["bytes_per_s"] =
      static_cast<double>(fleet.Bytes() - bytes) / seconds;
}
BENCHMARK(MembershipSecond)
    ->Arg(8)
    ->Arg(64)
    ->Arg(184)
    ->Unit(benchmark::kMicrosecond);

wire::peer_message Message(std::int64_t kind) {
  if (kind == 0) {
    return heartbeat{.sender = {.vm = {1}, .address = {"10.0.0.1", 7000}}};
  }
  return wire::forward_request{.service = "entry-desk",
                               .method = "POST",
                               .path = "/heats",
                               .headers = {{"Content-Type", "text/plain"}},
                               .body = std::string(2000, 'x')};
}

// 0 is a heartbeat, 1 a forwarded request with a body of 2 KB.
void EncodePeer(benchmark::State& state) {
  const wire::peer_message message = Message(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::EncodePeerMessage(message));
  }
}
BENCHMARK(EncodePeer)->Arg(0)->Arg(1);

void DecodePeer(benchmark::State& state) {
  const std::string body =
      wire::EncodePeerMessage(Message(state.range(0))).value();
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::DecodePeerMessage(body));
  }
}
BENCHMARK(DecodePeer)->Arg(0)->Arg(1);

}  // namespace
}  // namespace skylarkbridge::coordination

BENCHMARK_MAIN();
