// A start order without an answer that a worker carries out late, after it has
// started again under its id.
#include "trial.h"

using namespace trial;

namespace {

const std::string kPath = "/q/00000000000000a1";
const std::string kTask = "00000000000000a1.0.0.0";

bool Done(deployment& all, bool noted) {
  for (const history_entry& entry : all.History().All()) {
    if (entry.run.task == kTask && entry.how == (noted ? "noted done" : "done")) {
      return true;
    }
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  const arguments given = Begin(argc, argv);
  deployment all(given.temporary, given.binary, 3);
  all.Configure(Configuration("despacho"));
  for (int number = 0; number < 8; ++number) {
    all.AddWorker("i-0000000" + std::to_string(number),
                  {.service = "despacho",
                   .labels = {"a", "r1-" + std::to_string(number / 4)}});
  }
  all.StartDaemons();
  all.AwaitReady();
  Sleep(1500);
  for (auto& each : all.Workers()) {
    each->HoldNextStart(given.trouble);
  }
  if (Call(all.Frontend(0), "POST", kPath,
           {{"spec", R"({"ms":1500})"},
            {"steps", {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 256}, {"estimate_ms", 1500}}}}})
          .status != 200) {
    all.Quit(2);
  }
  const std::int64_t sent = NowMs();
  worker* holder = nullptr;
  while (given.trouble && holder == nullptr && NowMs() < sent + 3000) {
    for (auto& each : all.Workers()) {
      holder = each->HoldsStart() ? each.get() : holder;
    }
    Sleep(10);
  }
  for (auto& each : all.Workers()) {
    each->HoldNextStart(false);
  }
  while (!Done(all, true) && NowMs() < sent + 9000) {
    Sleep(10);
  }
  if (!Done(all, true)) {
    all.Quit(2);
  }
  Sleep(3000);
  if (given.trouble) {
    if (holder == nullptr) {
      all.Quit(2);
    }
    const std::string id = holder->Id();
    holder->Crash();
    Sleep(700);
    holder->Restart(id);
    Sleep(20);
    holder->CarryOutHeldStart();
    all.Publish(*holder);
  }
  Sleep(4000);
  int late = 0;
  bool done = false;
  for (const history_entry& entry : all.History().All()) {
    done |= entry.run.task == kTask && entry.how == "noted done";
    late += done && entry.run.task == kTask && entry.how == "start" ? 1 : 0;
  }
  Note("check", {{"rule", "TWICE"}, {"starts_after_done", late}, {"broken", late > 0}});
  all.Quit(late > 0 ? 1 : 0);
}
