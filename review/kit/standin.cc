// Stand-ins of the users' platform for the review's cases, as PROTOCOL.md
// describes them: the platform's store and list of machines, and workers.
//
//   standin store ADDRESS MACHINES_ADDRESS HEARTBEAT_MS
//   standin worker key=value...
//   standin workers key=value...
//
// Paths that begin with /standin- are for other stand-ins only.
#include <condition_variable>
#include <mutex>
#include <set>

#include "kit.h"

namespace {

using namespace kit;

record_file record;

// ---------------------------------------------------------------- the store

constexpr std::size_t kRecordBytes = 262144;
constexpr std::size_t kRequestBytes = 2097152;

std::string Base64(const std::string& in) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      word = word << 8U |
             (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= in.size() ? digits[word >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

std::string BigEndian(std::uint64_t value, int size) {
  std::string out;
  for (int i = size - 1; i >= 0; --i) {
    out += static_cast<char>(value >> (8 * i));
  }
  return out;
}

struct producer_state {
  std::int64_t epoch = -1;
  std::int64_t next = -1;  // -1: the epoch may start at any number
  std::vector<std::pair<std::int64_t, response>> last;
};

struct topic {
  std::vector<std::string> records;
  std::map<std::string, std::size_t> newest;
  std::map<std::string, producer_state> producers;
};

struct beat {
  json entry;
  std::int64_t last = 0;
  int seq = 0;
};

class store {
 public:
  explicit store(std::int64_t heartbeat_ms) : heartbeat_ms_(heartbeat_ms) {}

  response Handle(const request& r) {
    if (r.path == "/standin-down") {
      const std::lock_guard lock(mutex_);
      down_until_[r.query.at("topic")] =
          NowMs() + std::stoll(r.query.at("for_ms"));
      record.Line("store", "the partition of " + r.query.at("topic") +
                               " is silent for " + r.query.at("for_ms") +
                               " ms");
      changed_.notify_all();
      return {};
    }
    if (r.query.contains("topic") && IsDown(r.query.at("topic"))) {
      return Silence(r.query.at("topic"));
    }
    if (r.path == "/log-append") {
      return Admit(writes_, 800) ? Append(r) : response{429};
    }
    if (r.path == "/log-read" || r.path == "/log-newest") {
      if (!Admit(reads_, 2000)) {
        return {429};
      }
      return r.path == "/log-read" ? Read(r) : Newest(r);
    }
    if (r.path == "/standin-config") {
      const std::lock_guard lock(mutex_);
      Put(topics_["keyed.op"], "config", r.body);
      record.Line("store", "config " + r.body);
      changed_.notify_all();
      return {};
    }
    if (r.path == "/standin-beat") {
      return Beat(r);
    }
    return {404};
  }

  response Machines() {
    const std::lock_guard lock(mutex_);
    json rows = json::array();
    for (const auto& [id, b] : beats_) {
      const bool up = NowMs() - b.last < 3 * heartbeat_ms_;
      json row{
          {"machine", b.entry["machine"]}, {"pool", b.entry["service"]},
          {"state", up ? "up" : "down"},   {"zone", b.entry["zone"]},
          {"labels", b.entry["labels"]},   {"capacity", b.entry["capacity"]}};
      if (up) {
        row["id"] = id;
      }
      rows.push_back(row);
    }
    return {200, json{{"machines", rows}, {"next_token", nullptr}}.dump()};
  }

  /// Removes the entries of workers that have been silent.
  void Expire() {
    const std::lock_guard lock(mutex_);
    for (auto& [id, b] : beats_) {
      if (b.seq > 0 && NowMs() - b.last >= 3 * heartbeat_ms_) {
        b.seq = 0;
        Put(topics_["keyed.servers"], id, std::nullopt);
        record.Line("store", "entry removed " + id);
        changed_.notify_all();
      }
    }
  }

 private:
  static void Add(topic& t, const std::string& content) {
    t.records.push_back(content);
    const std::size_t key_size =
        content.empty() ? 0 : static_cast<unsigned char>(content[0]);
    const std::string key = content.substr(1, key_size);
    if (content.size() > 1 + key_size) {
      t.newest[key] = t.records.size() - 1;
    } else {
      t.newest.erase(key);
    }
  }
  static void Put(topic& t,
                  const std::string& key,
                  const std::optional<std::string>& value) {
    Add(t, BigEndian(key.size(), 1) + key + value.value_or(""));
  }

  /// No answer while the partition is down; nothing is done.
  response Silence(const std::string& name) {
    while (IsDown(name)) {
      Sleep(20);
    }
    response none;
    none.drop = true;
    return none;
  }

  struct rate {
    std::int64_t second = 0;
    int calls = 0;
  };
  /// Whether a call is within the calls of this second.
  bool Admit(rate& calls, int most) {
    const std::lock_guard lock(mutex_);
    const std::int64_t second = NowMs() / 1000;
    if (calls.second != second) {
      calls = {second, 0};
    }
    return ++calls.calls <= most;
  }

  bool IsDown(const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto until = down_until_.find(name);
    return until != down_until_.end() && NowMs() < until->second;
  }

  response Append(const request& r) {
    const std::lock_guard lock(mutex_);
    const std::string name = r.query.at("topic");
    if (name == "keyed.op" || name == "keyed.servers") {
      return {403};
    }
    std::vector<std::string> contents;
    for (std::size_t at = 0; at < r.body.size();) {
      if (at + 4 > r.body.size()) {
        return {400};
      }
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8U | static_cast<unsigned char>(r.body[at + i]);
      }
      if (size > kRecordBytes || at + 4 + size > r.body.size()) {
        if (++refused_ <= 20) {
          record.Line("store", "append refused: a record of " +
                                   std::to_string(size) + " bytes");
        }
        return {400};
      }
      contents.push_back(r.body.substr(at + 4, size));
      at += 4 + size;
    }
    if (r.body.size() > kRequestBytes) {
      return {400};
    }
    topic& t = topics_[name];
    producer_state* producer = nullptr;
    std::int64_t epoch = 0;
    std::int64_t seq = 0;
    if (r.query.contains("producer")) {
      producer = &t.producers[r.query.at("producer")];
      epoch = std::stoll(r.query.at("epoch"));
      seq = std::stoll(r.query.at("seq"));
      if (epoch < producer->epoch) {
        return {409, R"({"reason":"fenced"})"};
      }
      if (epoch == producer->epoch) {
        for (const auto& [known, answer] : producer->last) {
          if (known == seq) {
            return answer;
          }
        }
        if (producer->next >= 0 && seq != producer->next) {
          return {409,
                  json{{"reason", "seq"}, {"expected", producer->next}}.dump()};
        }
      }
    }
    if (r.query.contains("at") &&
        std::stoull(r.query.at("at")) != t.records.size()) {
      return {412, json{{"end", t.records.size()}}.dump()};
    }
    if (producer != nullptr && epoch > producer->epoch) {
      *producer = producer_state();
      producer->epoch = epoch;
    }
    const std::size_t offset = t.records.size();
    for (const auto& content : contents) {
      Add(t, content);
    }
    response answer{200,
                    json{{"offset", offset}, {"end", t.records.size()}}.dump()};
    if (producer != nullptr && !contents.empty()) {
      producer->next = seq + 1;
      producer->last.emplace_back(seq, answer);
      if (producer->last.size() > 5) {
        producer->last.erase(producer->last.begin());
      }
    }
    changed_.notify_all();
    return answer;
  }

  response Read(const request& r) {
    std::unique_lock lock(mutex_);
    topic& t = topics_[r.query.at("topic")];
    const std::size_t from = std::stoull(r.query.at("from"));
    const auto wait =
        r.query.contains("wait_ms") ? std::stoll(r.query.at("wait_ms")) : 0;
    const std::size_t most =
        1024 *
        (r.query.contains("max_kb") ? std::stoull(r.query.at("max_kb")) : 1024);
    const auto is_down = [&] {
      const auto until = down_until_.find(r.query.at("topic"));
      return until != down_until_.end() && NowMs() < until->second;
    };
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&] { return t.records.size() > from || is_down(); });
    if (is_down()) {
      lock.unlock();
      return Silence(r.query.at("topic"));
    }
    std::string out = BigEndian(t.records.size(), 8) + BigEndian(0, 8);
    std::size_t bytes = 0;
    for (std::size_t at = from; at < t.records.size(); ++at) {
      if (bytes > 0 && bytes + t.records[at].size() > most) {
        break;
      }
      bytes += t.records[at].size();
      out += BigEndian(t.records[at].size(), 4) + t.records[at];
    }
    return {200, out, "application/octet-stream"};
  }

  response Newest(const request& r) {
    const std::lock_guard lock(mutex_);
    topic& t = topics_[r.query.at("topic")];
    const auto after = r.query.find("depends_on");
    auto next = after == r.query.end() ? t.newest.begin()
                                       : t.newest.upper_bound(after->second);
    json items = json::array();
    std::size_t bytes = 0;
    for (; next != t.newest.end() && items.size() < 500 && bytes < 1000000;
         ++next) {
      const std::string& content = t.records[next->second];
      bytes += content.size();
      items.push_back(
          {{"key", next->first},
           {"value", Base64(content.substr(1 + next->first.size()))},
           {"offset", next->second}});
    }
    return {200, json{{"items", items},
                      {"more_pages", next != t.newest.end()},
                      {"end", t.records.size()}}
                     .dump()};
  }

  response Beat(const request& r) {
    const std::lock_guard lock(mutex_);
    beat& b = beats_[r.query.at("id")];
    json entry = json::parse(r.body);
    json compared = entry;
    compared.erase("clock_ms");
    json known = b.entry;
    if (known.is_object()) {
      known.erase("clock_ms");
    }
    const bool changed = b.seq == 0 || known != compared;
    b.entry = entry;
    b.last = NowMs();
    entry["seq"] = ++b.seq;
    if (changed) {
      Put(topics_["keyed.servers"], r.query.at("id"), entry.dump());
      changed_.notify_all();
    }
    return {};
  }

  const std::int64_t heartbeat_ms_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::int64_t> down_until_;
  rate writes_;
  rate reads_;
  /// Appends with a record that is too large; the first ones are recorded.
  int refused_ = 0;
  std::map<std::string, topic> topics_;
  std::map<std::string, beat> beats_;
};

// --------------------------------------------------------------- one worker

/// What a task does, from the job's `spec`: "STEP:key=value,...;STEP:...".
/// work: milliseconds; lasts: until it is stopped; gang: members that must be
/// present; fail_once: the first run of the task ends `failed`; fail_at: the
/// task with the index 0 fails once, so many milliseconds after its start.
std::map<std::string, std::string> Behaviour(const std::string& spec,
                                             const std::string& step) {
  std::istringstream steps(spec);
  std::string part;
  std::map<std::string, std::string> found;
  while (std::getline(steps, part, ';')) {
    const auto colon = part.find(':');
    if (part.substr(0, colon) != step || colon == std::string::npos) {
      continue;
    }
    std::istringstream pairs(part.substr(colon + 1));
    std::string pair;
    while (std::getline(pairs, pair, ',')) {
      const auto equals = pair.find('=');
      found[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
  }
  return found;
}

constexpr std::int64_t kGangTimeoutMs = 3000;

struct run_state {
  std::int64_t run = 0;
  std::string step_name;  // ID.K.STEP
  std::map<std::string, std::string> behaviour;
  std::int64_t started = 0;
  std::int64_t work = 0;
  std::int64_t stop_at = 0;
  /// When all members of a gang were there; 0 before.
  std::int64_t present_at = 0;
};

struct end_row {
  std::int64_t number = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;
};

class worker {
 public:
  explicit worker(std::map<std::string, std::string> options)
      : options_(std::move(options)),
        born_(UnixMs()),
        started_(NowMs()),
        cpu_(std::stoll(options_["cpu"])) {}

  response Handle(const request& r) {
    // A cut worker receives nothing.
    bool held = false;
    while (cut) {
      held = true;
      Sleep(20);
    }
    if (held) {
      return {.drop = true};
    }
    response answer = Execute(r);
    while (cut) {
      held = true;
      Sleep(20);
    }
    if (held) {
      answer.drop = true;
    }
    return answer;
  }

  void Tick() {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = NowMs();
    const bool lapsed = Clock() >= lease_;
    if (lapsed && !lapsed_) {
      Note("lease lapsed");
    }
    lapsed_ = lapsed;
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, state] : running_) {
      if (lapsed) {
        ends.emplace_back(task, "lapsed");
      } else if (state.stop_at > 0 && now >= state.stop_at) {
        ends.emplace_back(task, "stopped");
      } else if (const auto how = OwnEnd(task, state, now); !how.empty()) {
        ends.emplace_back(task, how);
      }
    }
    for (const auto& [task, how] : ends) {
      End(task, how);
    }
    if (!ends.empty()) {
      changed_.notify_all();
    }
  }

  json Entry() {
    return {{"service", options_["service"]},
            {"address", options_["address"]},
            {"zone", options_["zone"]},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"capacity", {{"cpu", cpu_}, {"mem_mb", 64000}, {"gpu", 0}}},
            {"labels", {options_["kind"], options_["rack"]}},
            {"machine", options_["machine"]},
            {"clock_ms", Clock()},
            {"born", born_}};
  }

  std::string& Option(const std::string& name) { return options_[name]; }

  static std::atomic<bool> cut;

 private:
  std::int64_t Clock() const { return NowMs() - started_ + 1000; }

  void Note(const std::string& what) {
    record.Line("worker:" + options_["id"], what);
  }

  /// How the run ends by itself now; empty while it does not.
  std::string OwnEnd(const std::string& task,
                     run_state& state,
                     std::int64_t now) {
    std::int64_t since = state.started;
    if (state.behaviour.contains("gang")) {
      if (GangEnded(state)) {
        return "broken";
      }
      if (state.present_at == 0) {
        state.present_at = GangPresentAt(state);
      }
      if (state.present_at == 0) {
        return now >= state.started + kGangTimeoutMs ? "alone" : "";
      }
      since = state.present_at;
    }
    const auto fail_at = state.behaviour.find("fail_at");
    if (fail_at != state.behaviour.end() && task.ends_with(".0") &&
        now >= since + std::stoll(fail_at->second) && FailsNow(task)) {
      return "failed";
    }
    if (state.behaviour.contains("lasts") || now < since + state.work) {
      return "";
    }
    return state.behaviour.contains("fail_once") && FailsNow(task) ? "failed"
                                                                   : "done";
  }

  /// Members on other workers are seen through files in a common folder.
  std::int64_t GangPresentAt(const run_state& state) {
    std::int64_t last = 0;
    for (int i = 0; i < std::stoi(state.behaviour.at("gang")); ++i) {
      std::ifstream in(GangFile(state, std::to_string(i)));
      std::int64_t at = 0;
      if (!(in >> at)) {
        return 0;
      }
      last = std::max(last, at);
    }
    return last;
  }

  std::string GangFile(const run_state& state, const std::string& index) {
    return options_["shared"] + "/gang-" + state.step_name + "-" +
           std::to_string(state.run) + "-" + index;
  }

  /// Whether a member of the run has ended on another worker before it was
  /// done. Members that are done end at the same time.
  bool GangEnded(const run_state& state) {
    for (int i = 0; i < std::stoi(state.behaviour.at("gang")); ++i) {
      if (access((GangFile(state, std::to_string(i)) + "-ended").c_str(),
                 F_OK) == 0) {
        return true;
      }
    }
    return false;
  }

  /// True once for each task.
  bool FailsNow(const std::string& task) {
    const std::string marker = options_["shared"] + "/failed-" + task;
    const int fd = open(marker.c_str(), O_CREAT | O_EXCL | O_WRONLY, 0644);
    if (fd >= 0) {
      close(fd);
    }
    return fd >= 0;
  }

  void End(const std::string& task, const std::string& how) {
    const auto found = running_.find(task);
    const std::int64_t run = found->second.run;
    highest_[task] = std::max(highest_[task], run);
    if (found->second.behaviour.contains("gang") && how != "done") {
      std::ofstream(GangFile(found->second, task.substr(task.rfind('.') + 1)) +
                    "-ended");
    }
    running_.erase(found);
    finished_.push_back({++last_end_, task, run, how});
    Note("end " + task + " run " + std::to_string(run) + " " + how +
         " number " + std::to_string(last_end_));
  }

  response Answer(int status, json body) {
    body["clock_ms"] = Clock();
    body["born"] = born_;
    return {status, body.dump()};
  }

  response Execute(const request& r) {
    if (r.path == "/healthz") {
      return {};
    }
    const auto instance = r.headers.find("expect-instance");
    if (instance != r.headers.end() && instance->second != options_["id"]) {
      return Answer(421, json::object());
    }
    const json body = json::parse(r.body, nullptr, false);
    if (!body.is_object()) {
      return Answer(400, json::object());
    }
    std::unique_lock lock(mutex_);
    const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
    if (token < fence_) {
      return Answer(409, {{"reason", "fence"}});
    }
    fence_ = token;
    if (r.path == "/run-start") {
      return Start(body);
    }
    if (r.path == "/run-stop") {
      return Stop(body);
    }
    if (r.path == "/hold") {
      return Hold(body, lock);
    }
    if (r.path == "/pace") {
      return Answer(200, json::object());
    }
    return Answer(404, json::object());
  }

  void ExtendLease(std::int64_t expires) {
    lease_ = std::max(lease_, std::min(expires, Clock() + 6000));
  }

  response Start(const json& body) {
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run_id");
    const std::int64_t expires = body.at("expires_ms");
    if (expires <= Clock()) {
      return Answer(409, {{"reason", "late"}});
    }
    ExtendLease(expires);
    const auto there = running_.find(task);
    if (there != running_.end() && there->second.run == run) {
      return Answer(200, json::object());
    }
    const auto highest = highest_.find(task);
    if (there != running_.end() ||
        (highest != highest_.end() && run <= highest->second)) {
      return Answer(409, {{"reason", "old"}});
    }
    run_state state;
    state.run = run;
    state.started = NowMs();
    const auto last_dot = task.rfind('.');
    state.step_name = task.substr(0, last_dot);
    const auto step_dot = state.step_name.rfind('.');
    state.behaviour = Behaviour(body.value("spec", std::string()),
                                state.step_name.substr(step_dot + 1));
    state.work = state.behaviour.contains("work")
                     ? std::stoll(state.behaviour["work"])
                     : 500;
    if (state.behaviour.contains("gang")) {
      std::ofstream(GangFile(state, task.substr(last_dot + 1)))
          << state.started;
    }
    running_[task] = state;
    Note("start " + task + " run " + std::to_string(run) + " token " +
         std::to_string(fence_));
    return Answer(200, json::object());
  }

  response Stop(const json& body) {
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run_id");
    const auto there = running_.find(task);
    if (there != running_.end() && there->second.run == run) {
      if (there->second.stop_at == 0) {
        there->second.stop_at = NowMs() + 100;
        Note("stop " + task + " run " + std::to_string(run));
      }
    } else {
      highest_[task] = std::max(highest_[task], run);
    }
    return Answer(200, json::object());
  }

  response Hold(const json& body, std::unique_lock<std::mutex>& lock) {
    const std::int64_t cursor = body.value("ack_cursor", std::int64_t{0});
    std::erase_if(finished_, [&](const end_row& end) {
      if (end.number <= cursor) {
        Note("acknowledged " + end.task + " run " + std::to_string(end.run) +
             " " + end.how);
        return true;
      }
      return false;
    });
    if (body.contains("expires_ms")) {
      ExtendLease(body.at("expires_ms"));
    }
    const std::int64_t wait = body.value("wait_ms", std::int64_t{0});
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&] { return !finished_.empty(); });
    json running = json::array();
    for (const auto& [task, state] : running_) {
      const std::int64_t age = NowMs() - state.started;
      const bool lasts = state.behaviour.contains("lasts");
      const bool gang_waits =
          state.behaviour.contains("gang") && state.present_at == 0;
      const std::int64_t percent =
          lasts ? ((gang_waits || age < 300) ? 0 : 100)
                : std::min<std::int64_t>(
                      99, state.work > 0 ? 100 * age / state.work : 0);
      running.push_back({task, state.run, "", percent, lasts ? 5 : 100});
    }
    json finished = json::array();
    for (const auto& end : finished_) {
      if (finished.size() < 500) {
        finished.push_back({end.number, end.task, end.run, end.how, ""});
      }
    }
    return Answer(200, {{"running", running}, {"finished", finished}});
  }

  std::map<std::string, std::string> options_;
  const std::int64_t born_;
  const std::int64_t started_;
  const std::int64_t cpu_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_ = 0;
  bool lapsed_ = true;
  std::map<std::string, run_state> running_;
  std::map<std::string, std::int64_t> highest_;
  std::vector<end_row> finished_;
  std::int64_t last_end_ = 0;
};

std::atomic<bool> worker::cut = false;

int RunStore(const std::string& address,
             const std::string& machines,
             std::int64_t heartbeat_ms) {
  static store the_store(heartbeat_ms);
  std::thread([] {
    for (;;) {
      Sleep(50);
      the_store.Expire();
    }
  }).detach();
  std::thread([machines] {
    Serve(machines, [](const request& r) {
      return r.path == "/machines" ? the_store.Machines() : response{404};
    });
  }).detach();
  Serve(address, [](const request& r) { return the_store.Handle(r); });
  return 0;
}

/// Runs one of several workers of this process.
void RunOneOfMany(std::map<std::string, std::string> options) {
  auto* const one = new worker(options);
  std::thread([one] {
    for (;;) {
      one->Tick();
      Sleep(10);
    }
  }).detach();
  std::thread([one, options]() mutable {
    const auto interval = std::stoll(options["heartbeat_ms"]);
    for (;;) {
      Call(options["store"], "POST", "/standin-beat?id=" + options["id"],
           one->Entry().dump());
      Sleep(interval);
    }
  }).detach();
  std::thread([one, options]() mutable {
    Serve(options["address"],
          [one](const request& r) { return one->Handle(r); });
  }).detach();
}

/// Workers i-1 to i-COUNT, eight a rack, at hosts 100 and up of `prefix`.
int RunWorkers(std::map<std::string, std::string> options) {
  const int count = std::stoi(options["count"]);
  for (int i = 1; i <= count; ++i) {
    options["id"] = "i-" + std::to_string(i);
    options["machine"] = "m-" + std::to_string(i);
    options["rack"] = "r1-" + std::to_string((i + 7) / 8);
    options["address"] = options["prefix"] + std::to_string(99 + i) + ":8080";
    RunOneOfMany(options);
  }
  for (;;) {
    Sleep(1000);
  }
}

int RunWorker(std::map<std::string, std::string> options) {
  // Handled by the thread below; not in a handler.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  sigaddset(&signals, SIGUSR2);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  static worker the_worker(options);
  record.Line("worker:" + options["id"], "up at " + options["address"]);
  std::thread([signals] {
    for (;;) {
      int signal = 0;
      sigwait(&signals, &signal);
      worker::cut = signal == SIGUSR1;
    }
  }).detach();
  std::thread([] {
    for (;;) {
      the_worker.Tick();
      Sleep(5);
    }
  }).detach();
  std::thread([options]() mutable {
    const auto interval = std::stoll(options["heartbeat_ms"]);
    for (;;) {
      Call(options["store"], "POST", "/standin-beat?id=" + options["id"],
           the_worker.Entry().dump());
      Sleep(interval);
    }
  }).detach();
  Serve(options["address"],
        [](const request& r) { return the_worker.Handle(r); });
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::string role = argc > 1 ? argv[1] : "";
  if (const char* path = getenv("RECORD")) {
    record.Open(path);
  }
  if (role == "store" && argc == 5) {
    return RunStore(argv[2], argv[3], std::atoll(argv[4]));
  }
  if (role == "worker" || role == "workers") {
    std::map<std::string, std::string> options;
    for (int i = 2; i < argc; ++i) {
      const std::string word = argv[i];
      options[word.substr(0, word.find('='))] = word.substr(word.find('=') + 1);
    }
    return role == "worker" ? RunWorker(options) : RunWorkers(options);
  }
  std::fputs("usage: standin store|worker ...\n", stderr);
  return 2;
}
