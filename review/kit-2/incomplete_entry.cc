// An entry in the list of workers by another writer, with fields missing, under
// the id of a worker of another service.
#include "trial.h"

using namespace trial;

namespace {

const std::string kPath = "/q/00000000000000a";

}  // namespace

int main(int argc, char** argv) {
  const arguments given = Begin(argc, argv);
  deployment all(given.temporary, given.binary, 3);
  // The queue's tasks run on `despacho`; no configuration sends any queue to
  // `etiquetas`.
  json configuration = Configuration("despacho");
  configuration["services"].push_back(configuration["services"][0]);
  configuration["services"][1]["name"] = "etiquetas";
  all.Configure(configuration);
  for (int number = 0; number < 4; ++number) {
    all.AddWorker("i-0000000" + std::to_string(number),
                  {.service = "despacho",
                   .labels = {"a", "r1-" + std::to_string(number / 2)}});
  }
  worker& other = all.AddWorker("i-00000009", {.service = "etiquetas", .labels = {"a", "r1-9"}});
  all.StartDaemons();
  all.AwaitReady();
  const auto submit = [&](int number) {
    return Call(all.Frontend(number % 3), "POST", kPath + std::to_string(number),
                {{"spec", R"({"ms":700})"},
                 {"steps", {{{"count", 8}, {"cpu", 1000}, {"mem_mb", 256}, {"estimate_ms", 700}}}}})
        .status;
  };
  if (submit(0) != 200) {
    all.Quit(2);
  }
  Sleep(3000);
  if (given.trouble) {
    // It lacks version, slots, cold_remaining_ms, seq, clock_ms and born.
    json entry = other.Entry();
    entry["service"] = "despacho";
    for (const char* field : {"version", "slots", "cold_remaining_ms", "seq", "clock_ms", "born"}) {
      entry.erase(field);
    }
    Note("entry of another writer", entry);
    all.Store().Put("keyed.servers", other.Id(), entry.dump());
  }
  for (int number = 1; number < 9; ++number) {
    if (submit(number) != 200) {
      all.Quit(2);
    }
    Sleep(170);
  }
  // The worker writes its own entry again, as each heartbeat_ms (1500 ms).
  all.Publish(other);
  Sleep(3000);
  int starts = 0;
  for (const history_entry& entry : all.History().All()) {
    starts += entry.how == "start" && entry.worker == other.Id() ? 1 : 0;
  }
  Note("check", {{"rule", "ROUTE"}, {"starts_on_the_other_service", starts},
                 {"broken", starts > 0}});
  all.Quit(starts > 0 ? 1 : 0);
}
