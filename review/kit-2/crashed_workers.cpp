// Workers that crash under a job, one after the other, and a job that is shown
// as failed although none of its runs has ended `failed`.
#include "trial.hpp"

using namespace trial;

namespace {

constexpr int kWorkers = 8;
constexpr int kCrashes = 4;
const std::string kPath = "/q/00000000000000a1";

worker* Running(deployment& all) {
  for (auto& each : all.Workers()) {
    if (each->Up() && !each->Running().empty()) {
      return each.get();
    }
  }
  return nullptr;
}

}  // namespace

int main(int argc, char** argv) {
  const arguments given = Begin(argc, argv);
  deployment all(given.temporary, given.binary, 3);
  all.Configure(Configuration("despacho"));
  for (int number = 0; number < kWorkers; ++number) {
    all.AddWorker("i-0000000" + std::to_string(number),
                  {.service = "despacho",
                   .labels = {"a", "r1-" + std::to_string(number / 4)}});
  }
  all.StartDaemons();
  all.AwaitReady();
  const answer job =
      Call(all.Frontend(0), "POST", kPath,
           {{"spec", R"({"ms":4000})"},
            {"steps", {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 256}, {"estimate_ms", 4000}}}}});
  if (job.status != 200) {
    all.Quit(2);
  }
  int crashes = 0;
  std::string state;
  for (const std::int64_t end = NowMs() + 60'000;
       NowMs() < end && state != "completed" && state != "failed";) {
    worker* const busy = Running(all);
    if (given.trouble && busy != nullptr && crashes < kCrashes) {
      // The worker that has just begun the task crashes, and its machine is
      // back after 2.5 s (over addr_reuse_s) with a new worker at the same
      // address.
      Sleep(300);
      const std::string old_id = busy->Id();
      busy->Crash();
      ++crashes;
      Sleep(2500);
      busy->Restart("i-1000000" + std::to_string(crashes));
      all.Publish(*busy);
      std::thread([&all, old_id] {
        Sleep(2000);  // three heartbeat intervals of silence
        all.Unpublish(old_id);
      }).detach();
    }
    Sleep(100);
    if (NowMs() / 100 % 5 == 0) {
      const answer got = Call(all.Frontend(1), "GET", kPath);
      if (got.status == 200) {
        state = got.body.value("state", "");
      }
    }
  }
  Sleep(3000);
  const answer shown = Call(all.Frontend(2), "GET", kPath);
  if (shown.status == 200) {
    state = shown.body.value("state", "");
  }
  int failed_ends = 0;
  for (const history_entry& entry : all.History().All()) {
    failed_ends += entry.how == "failed" ? 1 : 0;
  }
  const bool broken = state == "failed" && failed_ends == 0;
  Note("check", {{"rule", "LOST"}, {"shown", state}, {"runs_ended_failed", failed_ends},
                 {"crashes", crashes}, {"broken", broken}});
  all.Quit(broken ? 1 : state == "completed" ? 0 : 2);
}
