// A configuration drops the route of a running job; a later one adds it again.
#include "deployment.h"

using namespace kit;

int main(int argc, char** argv) {
  deployment fleet(ReadOptions(argc, argv));
  const std::string id = "7e209c43fb6d581a";
  const std::string path = "/lohu930/" + id;
  const json route = Route("r-jobs", "/lohu930/", 4);
  const json other = Route("r-other", "/pule252/", 4);
  fleet.StartPlatform();
  fleet.Configure(Configuration(1, json::array({route, other})));
  for (int i = 1; i <= 4; ++i) {
    fleet.StartWorker({.id = "i-" + std::to_string(i),
                       .machine = "m-" + std::to_string(i),
                       .rack = "r1-" + std::to_string(i)});
  }
  Sleep(500);
  fleet.StartVm(1);
  fleet.StartVm(2);
  fleet.WaitReady(1);
  fleet.WaitReady(2);

  // Four attempts; the first run ends `failed` after 5 s, the next one `done`.
  fleet.Submit(1, path,
               {{"spec", "0:work=5000,fail_once"},
                {"steps",
                 {{{"count", 1},
                   {"cpu", 2000},
                   {"mem_mb", 100},
                   {"estimate_ms", 5000}}}}});
  if (!fleet.WaitFor(15000, [&](const record_line& line) {
        return line.what.starts_with("start " + id + ".0.0.0 ");
      })) {
    fleet.Quit(2, "the task did not start");
  }
  Sleep(1000);
  if (fleet.Trouble()) {
    fleet.Configure(Configuration(4, json::array({other})));
  }
  if (!fleet.WaitFor(15000, [&](const record_line& line) {
        return line.what.starts_with("end " + id + ".0.0.0 ") &&
               line.what.find(" failed ") != std::string::npos;
      })) {
    fleet.Quit(2, "the first run did not end");
  }
  Sleep(2000);
  if (fleet.Trouble()) {
    fleet.Configure(Configuration(9, json::array({route, other})));
  }
  Sleep(14000);
  fleet.State(1, path);
  Sleep(3500);
  const std::string state = fleet.State(2, path);
  int failed = 0;
  for (const auto& line : fleet.Record()) {
    failed += line.what.starts_with("end " + id) &&
              line.what.find(" failed ") != std::string::npos;
  }
  if (state == "failed" && failed < 4) {
    fleet.Quit(1, "LOST: the job is shown as failed after " +
                      std::to_string(failed) + " of 4 attempts");
  }
  fleet.Quit(state == "completed" ? 0 : 2, "state " + state);
}
