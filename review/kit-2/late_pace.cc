// Batch tasks that are paced down to nothing, and orders on pace that get no
// answer and are carried out late.
#include "trial.h"

using namespace trial;

namespace {

constexpr int kWorkers = 4;
/// An order without an answer is carried out 2 to 12 s later.
constexpr std::int64_t kLateMs = 8000;
const std::string kServing = "/q/00000000000000a1";
const std::string kBatch = "/q/00000000000000b2";
const std::string kBatchId = "00000000000000b2";

struct batch_state {
  int runs = 0;
  int at_work = 0;  // of these, at a share above 0
};

batch_state Batch(deployment& all) {
  batch_state state;
  for (auto& each : all.Workers()) {
    for (const auto& [run, share] : each->Running()) {
      if (run.task.starts_with(kBatchId)) {
        ++state.runs;
        state.at_work += share > 0 ? 1 : 0;
      }
    }
  }
  return state;
}

}  // namespace

int main(int argc, char** argv) {
  const arguments given = Begin(argc, argv);
  deployment all(given.temporary, given.binary, 3);
  all.Configure(Configuration("despacho"));
  for (int number = 0; number < kWorkers; ++number) {
    all.AddWorker("i-0000000" + std::to_string(number),
                  {.service = "despacho",
                   .labels = {"a", "r1-" + std::to_string(number / 2)}});
  }
  all.StartDaemons();
  all.AwaitReady();

  // A job that serves users, with a task on each worker.
  const answer serving =
      Call(all.Frontend(0), "POST", kServing,
           {{"spec", R"({"lasts":true})"},
            {"steps",
             {{{"count", kWorkers}, {"cpu", 2000}, {"mem_mb", 512}, {"image", "web"},
               {"target_ms", 100}, {"long_running", true}, {"anti_affinity", 1}}}}});
  Sleep(2000);
  // A batch job that fills what the other one leaves.
  const answer batch =
      Call(all.Frontend(1), "POST", kBatch,
           {{"spec", R"({"ms":15000})"},
            {"steps",
             {{{"count", 2}, {"cpu", 3000}, {"mem_mb", 512}, {"estimate_ms", 15000},
               {"image", "batch"}, {"fills", true}}}}});
  if (serving.status != 200 || batch.status != 200) {
    all.Quit(2);
  }
  Sleep(1000);
  // Its users press: the tail is over its target until 1 s after the batch
  // tasks have been paced down to nothing.
  for (auto& each : all.Workers()) {
    each->SetTail(300);
    each->SetLatePaces(given.trouble ? kLateMs : 0);
  }
  Note("tail", {{"ms", 300}});
  const std::int64_t until = NowMs() + 8000;
  for (batch_state state = Batch(all); state.runs == 0 || state.at_work > 0;
       state = Batch(all)) {
    if (NowMs() > until) {
      Note("the batch tasks were not paced down");
      all.Quit(2);
    }
    Sleep(20);
  }
  Sleep(1000);
  // The load of the users falls.
  for (auto& each : all.Workers()) {
    each->SetTail(10);
  }
  Note("tail", {{"ms", 10}});
  // All late orders have been carried out.
  Sleep(kLateMs);

  // No disruption from here on, and no traffic. After finish_s (14 s) a job may
  // have nothing at work for 3 s at most while there is room for it.
  Sleep(14'000);
  std::int64_t idle_since = NowMs();
  std::int64_t longest_idle = 0;
  bool completed = false;
  for (const std::int64_t end = NowMs() + 30'000; NowMs() < end && !completed; Sleep(100)) {
    if (Batch(all).at_work > 0) {
      idle_since = NowMs();
    }
    longest_idle = std::max(longest_idle, NowMs() - idle_since);
    if (NowMs() / 100 % 20 == 0) {
      const answer state = Call(all.Frontend(0), "GET", kBatch);
      completed = state.status == 200 && state.body.value("state", "") == "completed";
    }
  }
  const batch_state left = Batch(all);
  const bool broken = !completed && longest_idle > 3000;
  Note("check", {{"rule", "LOST"}, {"completed", completed}, {"longest_idle_ms", longest_idle},
                 {"runs", left.runs}, {"runs_at_work", left.at_work}, {"broken", broken}});
  all.Quit(broken ? 1 : 0);
}
