// Jobs that can never be done, and an ordinary job of a less urgent queue.
#include "trial.h"

using namespace trial;

namespace {

constexpr int kWorkers = 8;
constexpr std::int64_t kWorkerCpu = 16'000;
/// Requests a second to the urgent queue.
constexpr int kRequestsPerSecond = 20;
/// While such jobs come, one request of the urgent queue in 20 is one (0.05).
constexpr int kShare = 20;
constexpr int kWindows = 5;
constexpr std::int64_t kWindowMs = 3000;
constexpr std::int64_t kPauseMs = 1000;

std::string Id(int number) {
  std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

json Step(int count, std::int64_t cpu) {
  return {{"count", count}, {"cpu", cpu}, {"mem_mb", 256}, {"estimate_ms", 200}};
}

bool Runs(deployment& all, const std::string& id) {
  for (auto& each : all.Workers()) {
    for (const auto& [run, share] : each->Running()) {
      if (run.task.starts_with(id)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  const arguments given = Begin(argc, argv);
  deployment all(given.temporary, given.binary, 3);
  json configuration = Configuration("entry-desk");
  json& routes = configuration["routes"];
  routes.push_back(routes[0]);
  routes[1]["name"] = "r-less-urgent";
  routes[1]["path_prefix"] = "/later/";
  routes[1]["priority"] = 2;
  routes[1]["target_latency_ms"] = 1000;
  all.Configure(configuration);
  for (int number = 0; number < kWorkers; ++number) {
    all.AddWorker("i-0000000" + std::to_string(number),
                  {.service = "entry-desk",
                   .cpu = kWorkerCpu,
                   .labels = {"a", "r1-" + std::to_string(number / 4)}});
  }
  all.StartDaemons();
  all.AwaitReady();

  int number = 0;
  int unplaceable = 0;
  for (int window = 0; window < kWindows; ++window) {
    const std::int64_t end = NowMs() + kWindowMs;
    while (NowMs() < end) {
      const bool can_never_be_done = given.trouble && number % kShare == kShare - 1;
      json steps = {Step(1, 500)};
      if (can_never_be_done) {
        // Four steps, the most that a job of the site has, each of which needs
        // more than any worker has.
        steps = {Step(1, kWorkerCpu + 4000), Step(1, kWorkerCpu + 4000),
                 Step(1, kWorkerCpu + 4000), Step(1, kWorkerCpu + 4000)};
        ++unplaceable;
      }
      ++number;
      Call(all.Frontend(static_cast<std::size_t>(number) % 3), "POST", "/q/" + Id(number),
           {{"spec", R"({"ms":100})"}, {"steps", steps}});
      Sleep(1000 / kRequestsPerSecond);
    }
    Sleep(kPauseMs);
  }
  // An ordinary job of the less urgent queue: a sixteenth of the capacity.
  const std::string later = Id(900000);
  if (Call(all.Frontend(0), "POST", "/later/" + later,
           {{"spec", R"({"ms":1000})"}, {"steps", {Step(8, 1000)}}}).status != 200) {
    all.Quit(2);
  }
  Note("the traffic ends", {{"requests", number}, {"can_never_be_done", unplaceable}});

  // finish_s (14 s) after the end of the traffic.
  Sleep(14'000);
  std::int64_t idle_since = NowMs();
  std::int64_t longest_idle = 0;
  std::string state;
  for (const std::int64_t end = NowMs() + 20'000; NowMs() < end && state != "completed";
       Sleep(100)) {
    if (Runs(all, later)) {
      idle_since = NowMs();
    }
    longest_idle = std::max(longest_idle, NowMs() - idle_since);
    if (NowMs() / 100 % 20 == 0) {
      const answer got = Call(all.Frontend(1), "GET", "/later/" + later);
      state = got.status == 200 ? got.body.value("state", "") : state;
    }
  }
  std::size_t running = 0;
  for (auto& each : all.Workers()) {
    running += each->Running().size();
  }
  int starts = 0;
  for (const history_entry& entry : all.History().All()) {
    starts += entry.how == "start" && entry.run.task.starts_with(later) ? 1 : 0;
  }
  const bool broken = state != "completed" && longest_idle > 3000;
  Note("check", {{"rule", "LOST"}, {"state", state}, {"longest_idle_ms", longest_idle},
                 {"starts_of_the_job", starts}, {"runs_on_all_workers", running},
                 {"broken", broken}});
  all.Quit(broken ? 1 : 0);
}
