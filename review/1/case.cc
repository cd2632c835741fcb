// A part of the store is down while the owner of a cell dies.
#include "deployment.h"

using namespace kit;

namespace {

/// FNV-1a of the job's id, by which the project names a job's home cell.
std::uint64_t Hash(const std::string& bytes) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
  }
  return hash;
}

}  // namespace

int main(int argc, char** argv) {
  deployment fleet(ReadOptions(argc, argv));
  // Both have the first of two cells as their home.
  std::vector<std::string> ids;
  for (std::uint64_t number = 0x5c0e7a21d94b36f0; ids.size() < 2; ++number) {
    char id[20];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(number));
    if (Hash(id) % 2 == 0) {
      ids.push_back(id);
    }
  }
  fleet.StartPlatform();
  fleet.Configure(
      Configuration(1, json::array({Route("r-jobs", "/lohu930/", 4)})));
  fleet.StartWorkers(128, 16000);
  Sleep(4000);
  fleet.StartVm(1);
  fleet.WaitReady(1);
  Sleep(4000);
  fleet.StartVm(2, 0.12);
  fleet.WaitReady(2);
  // A lasting job in the first cell, so that the next one runs in the second.
  fleet.Submit(1, "/lohu930/" + ids[0],
               {{"spec", "0:lasts"},
                {"steps", json::array({{{"count", 1},
                                        {"cpu", 2000},
                                        {"mem_mb", 100},
                                        {"estimate_ms", 500},
                                        {"long_running", true}}})}});
  Sleep(3000);
  fleet.Submit(1, "/lohu930/" + ids[1],
               {{"spec", "0:work=800;1:lasts"},
                {"steps", json::array({{{"count", 1},
                                        {"cpu", 2000},
                                        {"mem_mb", 100},
                                        {"estimate_ms", 800}},
                                       {{"count", 1},
                                        {"cpu", 2000},
                                        {"mem_mb", 100},
                                        {"estimate_ms", 500},
                                        {"depends_on", json::array({0})},
                                        {"long_running", true}}})}});
  const std::string task = ids[1] + ".0.0.0";
  const auto starts = [&](const record_line& line) {
    return line.what.starts_with("start " + task + " ");
  };
  if (!fleet.WaitFor(5000, starts)) {
    fleet.Quit(2, "the task did not start");
  }
  if (fleet.Trouble()) {
    fleet.TakePartitionDown("keyed.jobs.0", 4500);
    Sleep(200);
    fleet.KillVm(1);
    Sleep(3500);
    fleet.StartVm(1);
  }
  Sleep(16000);
  fleet.State(2, "/lohu930/" + ids[1]);
  // TWICE: a start after a run has ended `done`, if that end is taken note of.
  // An end counts as taken note of when `ack_cursor` reaches it, unless the
  // worker's lease lapsed between the two.
  bool done = false;
  bool lapsed = false;
  bool noted = false;
  bool again = false;
  std::string ran_on;
  for (const auto& line : fleet.Record()) {
    again = again || (done && starts(line));
    if (line.what.starts_with("end " + task + " ") && !done) {
      ran_on = line.who;
    }
    lapsed = lapsed || (done && !noted && line.who == ran_on &&
                        line.what == "lease lapsed");
    done = done || (line.what.starts_with("end " + task + " ") &&
                    line.what.find(" done ") != std::string::npos);
    noted = noted || (line.what.starts_with("acknowledged " + task + " ") &&
                      line.what.ends_with(" done"));
  }
  if (again && noted && !lapsed) {
    fleet.Quit(1, "TWICE: " + task +
                      " was started again after its end `done` "
                      "was taken note of");
  }
  if (again) {
    fleet.Quit(2, "the lease lapsed before the end was taken note of");
  }
  fleet.Quit(done && noted ? 0 : 2,
             done ? "the task ran once" : "the task did not end");
}
