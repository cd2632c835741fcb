// A small deployment on loopback: the platform's stand-ins, workers, and the
// project's own program in as many processes as the case asks for.
#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include <filesystem>
#include <random>

#include "kit.h"

namespace kit {

/// A line of the record: "MS WHO WHAT".
struct record_line {
  std::int64_t at = 0;
  std::string who;
  std::string what;
};

/// The words of a line.
inline std::vector<std::string> Words(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> words;
  std::string word;
  while (in >> word) {
    words.push_back(word);
  }
  return words;
}

struct worker_spec {
  std::string id;
  std::string machine;
  std::string kind = "a";
  std::string rack = "r1-1";
  std::int64_t cpu = 16000;
};

/// Arguments of a case: its folder, the repository, the program of the deploy
/// file, and whether the disruption is to happen.
struct case_options {
  std::string folder;
  std::string repository;
  bool trouble = true;
};

inline case_options ReadOptions(int argc, char** argv) {
  if (argc != 3) {
    std::fputs("usage: case FOLDER REPOSITORY\n", stderr);
    std::exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
}

class deployment {
 public:
  static constexpr std::int64_t kHeartbeatMs = 1100;

  explicit deployment(case_options options) : options_(std::move(options)) {
    signal(SIGPIPE, SIG_IGN);
    std::random_device random;
    // An own part of 127.0.0.0/8, so that the ports are free.
    prefix_ = "127." + std::to_string(20 + random() % 200) + "." +
              std::to_string(random() % 250) + ".";
    char folder[] = "/tmp/review-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
      Quit(2, "no temporary folder");
    }
    temporary_ = folder;
    record_path_ = options_.folder + "/record.txt";
    std::ofstream(record_path_).close();
    record_.Open(record_path_);
    Log("case", options_.trouble ? "with the disruption"
                                 : "without the disruption (TROUBLE=0)");
  }

  [[noreturn]] void Quit(int status, const std::string& why) {
    Log("case", std::string(status == 1   ? "BROKEN: "
                            : status == 0 ? "HELD: "
                                          : "COULD NOT RUN: ") +
                    why);
    std::printf("%s\n", why.c_str());
    for (const pid_t pid : children_) {
      kill(pid, SIGKILL);
    }
    for (const pid_t pid : children_) {
      waitpid(pid, nullptr, 0);
    }
    if (!temporary_.empty() && std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(temporary_);
    } else {
      std::printf("kept %s\n", temporary_.c_str());
    }
    std::exit(status);
  }

  void Log(const std::string& who, const std::string& what) {
    record_.Line(who, what);
  }

  void StartPlatform() {
    children_.push_back(
        Spawn({Standin(), "store", StoreAddress(), prefix_ + "1:8170",
               std::to_string(kHeartbeatMs)},
              {"RECORD=" + record_path_}, temporary_ + "/store.log"));
    for (int i = 0; i < 100; ++i) {
      if (Call(StoreAddress(), "GET", "/log-newest?topic=keyed.op&part=0")
              .status == 200) {
        return;
      }
      Sleep(50);
    }
    Quit(2, "the stand-in of the store did not start");
  }

  /// What the operator writes.
  void Configure(const json& configuration) {
    Call(StoreAddress(), "POST", "/standin-config", configuration.dump());
  }

  void StartWorker(const worker_spec& spec) {
    if (!worker_hosts_.contains(spec.machine)) {
      worker_hosts_[spec.machine] =
          100 + static_cast<int>(worker_hosts_.size());
    }
    const pid_t pid =
        Spawn({Standin(), "worker", "id=" + spec.id, "machine=" + spec.machine,
               "kind=" + spec.kind, "rack=" + spec.rack,
               "cpu=" + std::to_string(spec.cpu), "service=desk", "zone=z-a",
               "address=" + prefix_ +
                   std::to_string(worker_hosts_[spec.machine]) + ":8080",
               "store=" + StoreAddress(),
               "heartbeat_ms=" + std::to_string(kHeartbeatMs),
               "shared=" + temporary_},
              {"RECORD=" + record_path_}, temporary_ + "/" + spec.id + ".log");
    children_.push_back(pid);
    workers_[spec.id] = pid;
  }

  /// Starts workers i-1 to i-COUNT in one process.
  void StartWorkers(int count, std::int64_t cpu) {
    children_.push_back(
        Spawn({Standin(), "workers", "count=" + std::to_string(count), "kind=a",
               "cpu=" + std::to_string(cpu), "service=desk", "zone=z-a",
               "prefix=" + prefix_, "store=" + StoreAddress(),
               "heartbeat_ms=" + std::to_string(kHeartbeatMs),
               "shared=" + temporary_},
              {"RECORD=" + record_path_}, temporary_ + "/workers.log"));
  }

  /// The store answers no call to the partition of a topic for a while.
  void TakePartitionDown(const std::string& topic, std::int64_t for_ms) {
    Call(StoreAddress(), "POST",
         "/standin-down?topic=" + topic + "&for_ms=" + std::to_string(for_ms));
  }

  void KillWorker(const std::string& id) {
    Log("case", "SIGKILL worker " + id);
    kill(workers_[id], SIGKILL);
    Reap(workers_[id]);
  }
  void SignalWorker(const std::string& id, int signal) {
    kill(workers_[id], signal);
  }

  /// Starts the program of the deploy file as VM number @p vm, from 1.
  void StartVm(int vm, double cpu_share = 0.25) {
    const std::string ip = prefix_ + std::to_string(10 + vm);
    const std::string name = "edge-z-a-" + std::to_string(vm);
    json settings = {
        {"node_name", name},
        {"role", "fleet"},
        {"machine_class", "edge"},
        {"serves", {"edge"}},
        {"ip", ip},
        {"zone", "z-a"},
        {"region", "z"},
        {"zones", {{"z-a", "z"}}},
        {"listen",
         {{"frontend", ip + ":8161"},
          {"readiness", ip + ":8167"},
          {"control", ip + ":8166"}}},
        {"internal_ports", {7720, 7735}},
        {"seeds", json::array()},
        {"bootstrap", true},
        {"fault_counted", false},
        {"limits",
         {{"cpu_share", cpu_share},
          {"cores", 1},
          {"memory_mb", 260},
          {"max_fds", 4100},
          {"link_mbps", 1000.0},
          {"disk_mb", 0}}},
        {"data_dir", nullptr},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeat_ms", kHeartbeatMs},
        {"contracts",
         {"base", "drain", "config", "cost", "recover", "sched", "platform",
          "advice", "upkeep", "sharing"}},
        {"fault_tolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
        {"bounds",
         {{"seed_lag_s", 3},
          {"addr_reuse_s", 2},
          {"contact_ms", 3000},
          {"ack_ms", 4000},
          {"catch_up_s", 4},
          {"drain_ms", 2000},
          {"grace_s", 6},
          {"loss_slack_ms", 200},
          {"config_apply_ms", 2000},
          {"rollback_slack_ms", 250},
          {"max_skew_ms", 5000},
          {"recovery_s", 12},
          {"hold_max_ms", 6000},
          {"stop_timeout_ms", 400},
          {"gang_timeout_ms", 3000},
          {"cancel_ms", 3000},
          {"visible_ms", 3000},
          {"early_ms", 250},
          {"finish_s", 14},
          {"status_s", 120},
          {"remote_factor", 3},
          {"checkpoint_s", 0.5},
          {"restore_ms", 100},
          {"notice_ms", 4500},
          {"migrate_s", 1.5},
          {"maintenance_s", 2},
          {"fencing_required", false},
          {"lease_ms", 3000},
          {"thaw_slack_ms", 300},
          {"pace_ms", 100},
          {"interference_ms", 4000}}},
        {"orders", "invocation"},
        {"advice", nullptr},
        {"platform",
         {{"address", StoreAddress()},
          {"form", "log"},
          {"writes_per_s", 800},
          {"reads_per_s", 2000},
          {"parts", 12},
          {"append_ms", 2.0},
          {"part_mb_per_s", 20.0},
          {"read_mb_per_s", 80.0},
          {"record_bytes", 262144},
          {"request_bytes", 2097152},
          {"keep_s", 300},
          {"partition_mb", 200},
          {"ttl_min_ms", 1000}}},
        {"cloud_api",
         {{"address", prefix_ + "1:8170"},
          {"rate_per_s", 60.0},
          {"duties", json::array()},
          {"duty_per_s", 60.0}}}};
    const std::string file = temporary_ + "/" + name + ".json";
    std::ofstream(file) << settings.dump(1);
    const pid_t pid =
        Spawn({options_.repository + "/target/src/skylarkbridge/skylarkbridge",
               "fleet"},
              {"PATH=/usr/bin:/bin", "HOME=" + temporary_, "LANG=C.UTF-8",
               "SKYLARKBRIDGE_BOOT=" + file},
              temporary_ + "/" + name + ".log", options_.repository);
    children_.push_back(pid);
    vms_[vm] = pid;
    Log("case", "started VM " + name);
  }

  void KillVm(int vm) {
    Log("case", "SIGKILL VM " + std::to_string(vm));
    kill(vms_[vm], SIGKILL);
    Reap(vms_[vm]);
  }
  void SignalVm(int vm, int signal) {
    Log("case",
        "signal " + std::to_string(signal) + " to VM " + std::to_string(vm));
    kill(vms_[vm], signal);
  }

  std::string Frontend(int vm) const {
    return prefix_ + std::to_string(10 + vm) + ":8161";
  }

  void WaitReady(int vm) {
    const std::string address = prefix_ + std::to_string(10 + vm) + ":8167";
    for (int i = 0; i < 250; ++i) {
      if (Call(address, "GET", "/readyz", "", "", 500).status == 200) {
        Log("case", "VM " + std::to_string(vm) + " is ready");
        return;
      }
      Sleep(100);
    }
    Quit(2, "VM " + std::to_string(vm) + " did not become ready");
  }

  /// A client's call. Every call and answer is in the record.
  reply Client(int vm,
               const std::string& method,
               const std::string& path,
               const std::string& body = "") {
    const reply answer =
        Call(Frontend(vm), method, path, body, "desk.example", 3000);
    Log("client", method + " " + path + " to VM " + std::to_string(vm) +
                      (body.empty() ? "" : " " + body.substr(0, 400)) + " -> " +
                      std::to_string(answer.status) + " " + answer.body);
    return answer;
  }

  /// Submits a job as a client does, with repeats; quits if it is not accepted.
  void Submit(int vm, const std::string& path, const json& job) {
    for (int i = 0; i < 5; ++i) {
      if (Client(vm, "POST", path, job.dump()).status / 100 == 2) {
        return;
      }
      Sleep(1000);
    }
    Quit(2, "the job was not accepted: " + path);
  }

  std::string State(int vm, const std::string& path) {
    const reply answer = Client(vm, "GET", path);
    const json body = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object()
               ? body.value("state", std::string("?"))
               : std::to_string(answer.status);
  }

  std::vector<record_line> Record() const {
    std::ifstream in(record_path_);
    std::vector<record_line> lines;
    std::string text;
    while (std::getline(in, text)) {
      record_line line;
      std::istringstream words(text);
      words >> line.at >> line.who;
      std::getline(words, line.what);
      if (!line.what.empty()) {
        line.what.erase(0, 1);
      }
      lines.push_back(line);
    }
    return lines;
  }

  /// Waits until a line of the record satisfies @p wanted, at most @p ms.
  template <class Wanted>
  std::optional<record_line> WaitFor(std::int64_t ms, Wanted wanted) {
    const std::int64_t end = NowMs() + ms;
    for (;;) {
      for (const auto& line : Record()) {
        if (wanted(line)) {
          return line;
        }
      }
      if (NowMs() >= end) {
        return std::nullopt;
      }
      Sleep(20);
    }
  }

  bool Trouble() const { return options_.trouble; }
  const std::string& Temporary() const { return temporary_; }

 private:
  std::string Standin() const {
    return options_.repository + "/review/bin/standin";
  }
  std::string StoreAddress() const { return prefix_ + "1:8169"; }
  void Reap(pid_t pid) {
    waitpid(pid, nullptr, 0);
    std::erase(children_, pid);
  }

  const case_options options_;
  std::string prefix_;
  std::string temporary_;
  std::string record_path_;
  record_file record_;
  std::vector<pid_t> children_;
  std::map<std::string, pid_t> workers_;
  std::map<std::string, int> worker_hosts_;
  std::map<int, pid_t> vms_;
};

/// A route of a configuration, as `fleetbench wire` prints it.
inline json Route(const std::string& name,
                  const std::string& prefix,
                  int max_attempts) {
  return {{"name", name},
          {"host", "desk.example"},
          {"path_prefix", prefix},
          {"kind", "non_idempotent"},
          {"timeout_ms", 3000},
          {"target_latency_ms", 1000},
          {"priority", 0},
          {"service", "desk"},
          {"max_attempts", max_attempts},
          {"slack_factor", 2.0}};
}

inline json Configuration(int version, const json& routes) {
  return {{"version", version},
          {"routes", routes},
          {"services",
           {{{"name", "desk"},
             {"health_path", "/healthz"},
             {"max_conns", 64},
             {"protocol", "h1"},
             {"tls", false},
             {"rejects_overload", false},
             {"standby", false}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

}  // namespace kit

#endif  // REVIEW_DEPLOYMENT_H
