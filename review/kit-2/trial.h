// Stand-ins of the platform (store, list of machines), of workers and of
// clients, for the scripts in review/6 and later. They follow PROTOCOL.md and
// DEPLOY.md; where a page is silent they behave like a sound server. Everything
// listens on loopback addresses.
#ifndef REVIEW_KIT_2_TRIAL_H
#define REVIEW_KIT_2_TRIAL_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace trial {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point g_start = clock::now();

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(clock::now() - g_start).count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

/// What was sent, answered and run, one JSON object a line.
class record {
 public:
  static record& Get() {
    static record instance;
    return instance;
  }
  void Open(const std::string& path) { out_.open(path); }
  void Write(const std::string& what, json fields) {
    std::lock_guard lock(mutex_);
    json line{{"ms", NowMs()}, {"what", what}};
    line.update(fields);
    out_ << line.dump() << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline void Note(const std::string& what, json fields = json::object()) {
  record::Get().Write(what, std::move(fields));
}

/// A request and its response.
struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool Has(const std::string& name) const { return query.contains(name); }
  std::uint64_t Number(const std::string& name) const {
    return std::stoull(query.at(name));
  }
};

struct http_response {
  int status = 200;
  std::string body;
  std::string type = "application/json";
  /// The connection ends without an answer.
  bool dropped = false;
};

/// An HTTP/1.1 server on an address of its own, with a thread for each
/// connection.
class server {
 public:
  using handler = std::function<void(const http_request&, http_response&)>;

  explicit server(std::string ip) : ip_(std::move(ip)) {}
  ~server() { Stop(); }
  void Handle(handler on_request) { on_request_ = std::move(on_request); }

  void Start() {
    std::lock_guard lock(mutex_);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(listener_, 512) != 0 ||
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::cerr << "can't listen on " << ip_ << "\n";
      std::_Exit(2);
    }
    port_ = ntohs(address.sin_port);
    std::thread([this, listener = listener_] { Accept(listener); }).detach();
  }
  /// Closes the listener and all connections, as the end of a process does.
  void Stop() {
    std::lock_guard lock(mutex_);
    if (listener_ >= 0) {
      shutdown(listener_, SHUT_RDWR);
      close(listener_);
      listener_ = -1;
    }
    for (const int connection : connections_) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(connection, SHUT_RDWR);
    }
  }
  std::string Address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  void Accept(int listener) {
    for (;;) {
      const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        return;
      }
      const int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::lock_guard lock(mutex_);
        if (listener != listener_) {
          close(connection);
          return;
        }
        connections_.insert(connection);
      }
      std::thread([this, connection] {
        Serve(connection);
        std::lock_guard lock(mutex_);
        connections_.erase(connection);
        close(connection);
      }).detach();
    }
  }

  static std::string Decoded(const std::string& text) {
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
      if (text[at] == '%' && at + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        out += text[at];
      }
    }
    return out;
  }

  /// Reads one request; false at the end of the connection.
  static bool ReadRequest(int connection, std::string& buffer, http_request& request) {
    std::size_t head = 0;
    while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(connection, buffer)) {
        return false;
      }
    }
    std::istringstream lines(buffer.substr(0, head));
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string target;
    first >> request.method >> target;
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      std::istringstream pairs(target.substr(mark + 1));
      std::string pair;
      while (std::getline(pairs, pair, '&')) {
        const std::size_t equal = pair.find('=');
        request.query[pair.substr(0, equal)] =
            equal == std::string::npos ? "" : Decoded(pair.substr(equal + 1));
      }
    }
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& letter : name) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
      }
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      request.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const std::size_t length = request.headers.contains("content-length")
                                   ? std::stoull(request.headers["content-length"])
                                   : 0;
    buffer.erase(0, head + 4);
    while (buffer.size() < length) {
      if (!ReadMore(connection, buffer)) {
        return false;
      }
    }
    request.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
  }
  static bool ReadMore(int connection, std::string& buffer) {
    char bytes[65536];
    const ssize_t size = recv(connection, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  void Serve(int connection) {
    std::string buffer;
    for (;;) {
      http_request request;
      http_response response;
      if (!ReadRequest(connection, buffer, request)) {
        return;
      }
      try {
        on_request_(request, response);
      } catch (const std::exception& error) {
        Note("bad request", {{"path", request.path}, {"error", error.what()}});
        response = {.status = 400, .body = "{}"};
      }
      if (response.dropped) {
        return;
      }
      const std::string text =
          "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: " +
          response.type + "\r\nContent-Length: " + std::to_string(response.body.size()) +
          "\r\n\r\n" + response.body;
      std::size_t sent = 0;
      while (sent < text.size()) {
        const ssize_t size =
            send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
          return;
        }
        sent += static_cast<std::size_t>(size);
      }
    }
  }

  const std::string ip_;
  std::uint16_t port_ = 0;
  handler on_request_;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> connections_;
};

inline std::string Base64(const std::string& bytes) {
  constexpr char kLetters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      group = group << 8 |
              (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
    }
    for (std::size_t letter = 0; letter < 4; ++letter) {
      text += at + letter > bytes.size() ? '=' : kLetters[group >> (18 - 6 * letter) & 63];
    }
  }
  return text;
}

/// The platform's metadata store, in its form as a log.
class store {
 public:
  explicit store(const std::string& ip) : server_(ip) {
    server_.Handle([this](const http_request& request, http_response& response) {
      if (request.path == "/log-append") {
        Append(request, response);
      } else if (request.path == "/log-read") {
        Read(request, response);
      } else if (request.path == "/log-newest") {
        Newest(request, response);
      } else {
        response.status = 404;
      }
    });
  }
  void Start() { server_.Start(); }
  void Stop() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    server_.Stop();
  }
  std::string Address() const { return server_.Address(); }

  /// A record of the operator, of a worker or of another writer.
  void Put(const std::string& topic, const std::string& key,
           const std::optional<std::string>& value) {
    std::string content(1, static_cast<char>(key.size()));
    content += key;
    if (value) {
      content += *value;
    }
    {
      std::lock_guard lock(mutex_);
      topics_[topic].push_back(content);
    }
    changed_.notify_all();
  }

 private:
  struct producer {
    std::uint64_t epoch = 0;
    std::uint64_t seq = 0;
    bool any = false;
    std::deque<std::pair<std::uint64_t, std::string>> last;
  };

  static std::string BigEndian(std::uint64_t value, int size) {
    std::string bytes;
    for (int byte = size - 1; byte >= 0; --byte) {
      bytes.push_back(static_cast<char>(value >> (8 * byte) & 0xFF));
    }
    return bytes;
  }

  void Append(const http_request& request, http_response& response) {
    const std::string topic = request.query.at("topic");
    if (topic == "keyed.op" || topic == "keyed.servers") {
      response.status = 403;
      return;
    }
    std::vector<std::string> records;
    std::string_view body = request.body;
    while (body.size() >= 4) {
      std::uint64_t size = 0;
      for (int byte = 0; byte < 4; ++byte) {
        size = size << 8 | static_cast<unsigned char>(body[byte]);
      }
      body.remove_prefix(4);
      records.emplace_back(body.substr(0, size));
      body.remove_prefix(size);
    }
    Sleep(2);
    std::lock_guard lock(mutex_);
    std::vector<std::string>& log = topics_[topic];
    if (request.Has("producer")) {
      producer& known = producers_[topic + "|" + request.query.at("producer")];
      const std::uint64_t epoch = request.Number("epoch");
      const std::uint64_t seq = request.Number("seq");
      if (known.any && epoch < known.epoch) {
        Json(response, 409, {{"reason", "fenced"}});
        return;
      }
      if (known.any && epoch == known.epoch) {
        for (const auto& [number, answer] : known.last) {
          if (number == seq) {
            response.body = answer;
            return;
          }
        }
        if (seq != known.seq + 1) {
          Json(response, 409, {{"reason", "seq"}, {"seq", known.seq + 1}});
          return;
        }
      }
      if (request.Has("at") && request.Number("at") != log.size()) {
        Json(response, 412, {{"end", log.size()}});
        return;
      }
      if (!known.any || epoch > known.epoch) {
        known.last.clear();
      }
      known.any = true;
      known.epoch = epoch;
      known.seq = seq;
      Take(log, records, response);
      known.last.emplace_back(seq, response.body);
      if (known.last.size() > 5) {
        known.last.pop_front();
      }
      return;
    }
    if (request.Has("at") && request.Number("at") != log.size()) {
      Json(response, 412, {{"end", log.size()}});
      return;
    }
    Take(log, records, response);
  }
  void Take(std::vector<std::string>& log, const std::vector<std::string>& records,
            http_response& response) {
    const std::size_t offset = log.size();
    log.insert(log.end(), records.begin(), records.end());
    Json(response, 200, {{"offset", offset}, {"end", log.size()}});
    changed_.notify_all();
  }
  static void Json(http_response& response, int status, const json& body) {
    response.status = status;
    response.body = body.dump();
  }

  void Read(const http_request& request, http_response& response) {
    const std::string topic = request.query.at("topic");
    const std::uint64_t from = request.Number("from");
    const std::uint64_t wait =
        request.Has("wait_ms") ? request.Number("wait_ms") : 0;
    const std::size_t most =
        (request.Has("max_kb") ? request.Number("max_kb") : 1024) << 10;
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, milliseconds(wait), [&] {
      return stopping_ || topics_[topic].size() > from;
    });
    const std::vector<std::string>& log = topics_[topic];
    std::string body = BigEndian(log.size(), 8) + BigEndian(0, 8);
    for (std::uint64_t at = from; at < log.size(); ++at) {
      if (at > from && body.size() + log[at].size() > most) {
        break;
      }
      body += BigEndian(log[at].size(), 4) + log[at];
    }
    response.body = body;
    response.type = "application/octet-stream";
  }

  void Newest(const http_request& request, http_response& response) {
    const std::string topic = request.query.at("topic");
    const std::string after =
        request.Has("depends_on") ? request.query.at("depends_on") : "";
    std::lock_guard lock(mutex_);
    const std::vector<std::string>& log = topics_[topic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t at = 0; at < log.size(); ++at) {
      const std::size_t key_size = static_cast<unsigned char>(log[at][0]);
      const std::string key = log[at].substr(1, key_size);
      if (log[at].size() == 1 + key_size) {
        newest.erase(key);
      } else {
        newest[key] = at;
      }
    }
    json items = json::array();
    bool more = false;
    for (const auto& [key, at] : newest) {
      if (!after.empty() && key <= after) {
        continue;
      }
      if (items.size() == 500) {
        more = true;
        break;
      }
      items.push_back({{"key", key},
                       {"value", Base64(log[at].substr(1 + key.size()))},
                       {"offset", at}});
    }
    Json(response, 200,
         {{"items", items}, {"more_pages", more}, {"end", log.size()}});
  }

  server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::map<std::string, std::vector<std::string>> topics_;
  std::map<std::string, producer> producers_;
};

struct run_key {
  std::string task;
  std::uint64_t run = 0;
  auto operator<=>(const run_key&) const = default;
};

/// A run or its end, as a worker saw it.
struct history_entry {
  std::int64_t at_ms = 0;
  std::string worker;
  run_key run;
  std::string how;  // "start", or how it has ended
  std::int64_t capacity = 0;  // of the worker, at a start
};

/// What all workers saw, in order.
class history {
 public:
  void Add(history_entry entry) {
    Note(entry.how == "start"               ? "run begins"
         : entry.how.starts_with("noted ") ? "end taken note of"
                                           : "run ends",
         {{"worker", entry.worker}, {"task", entry.run.task},
          {"run", entry.run.run}, {"how", entry.how}});
    std::lock_guard lock(mutex_);
    entries_.push_back(std::move(entry));
  }
  std::vector<history_entry> All() {
    std::lock_guard lock(mutex_);
    return entries_;
  }

 private:
  std::mutex mutex_;
  std::vector<history_entry> entries_;
};

struct worker_kind {
  std::string service;
  std::int64_t cpu = 16000;
  std::int64_t mem_mb = 64000;
  std::vector<std::string> labels{"a", "r1-1"};
  std::string zone = "zone-a";
};

/// A worker. A task's `spec` is JSON: `ms` is how long it works, `end` how it
/// ends ("done" by default).
class worker {
 public:
  worker(const std::string& ip, std::string id, worker_kind kind, history& seen)
      : server_(ip), kind_(std::move(kind)), history_(seen), id_(std::move(id)) {
    Begin();
    server_.Handle([this](const http_request& request, http_response& response) {
      Answer(request, response);
    });
  }
  ~worker() { Close(); }

  void Open() {
    server_.Start();
    ticker_ = std::thread([this] { Tick(); });
  }
  void Close() {
    closing_ = true;
    changed_.notify_all();
    if (ticker_.joinable()) {
      ticker_.join();
    }
    server_.Stop();
  }

  /// The process dies: all that runs is gone, and nobody listens.
  void Crash() {
    {
      std::lock_guard lock(mutex_);
      Note("worker crashes", {{"worker", id_}});
      up_ = false;
      for (const auto& [key, run] : runs_) {
        history_.Add({NowMs(), id_, key, "crash"});
      }
      runs_.clear();
      changed_.notify_all();
    }
    server_.Stop();
  }
  /// A new life, under another id or the same, maybe of another size.
  void Restart(const std::string& id, std::optional<std::int64_t> cpu = std::nullopt) {
    {
      std::lock_guard lock(mutex_);
      id_ = id;
      kind_.cpu = cpu.value_or(kind_.cpu);
      Begin();
      up_ = true;
      Note("worker starts", {{"worker", id_}, {"born", born_}});
    }
    server_.Start();
  }

  std::string Id() {
    std::lock_guard lock(mutex_);
    return id_;
  }
  bool Up() {
    std::lock_guard lock(mutex_);
    return up_;
  }
  std::string Address() const { return server_.Address(); }
  worker_kind Kind() {
    std::lock_guard lock(mutex_);
    return kind_;
  }
  /// The runs, with the share of its speed at which each works.
  std::map<run_key, int> Running() {
    std::lock_guard lock(mutex_);
    std::map<run_key, int> shares;
    for (const auto& [key, run] : runs_) {
      shares[key] = run.percent;
    }
    return shares;
  }
  /// The tail of the response times that tasks that last report.
  void SetTail(int ms) { tail_ms_ = ms; }
  /// The next start gets no answer, and waits for CarryOutHeldStart.
  void HoldNextStart(bool hold) {
    std::lock_guard lock(mutex_);
    hold_next_start_ = hold;
  }
  bool HoldsStart() {
    std::lock_guard lock(mutex_);
    return held_start_.has_value();
  }
  /// The start that got no answer is carried out by the present life.
  void CarryOutHeldStart() {
    json order;
    {
      std::lock_guard lock(mutex_);
      order = *held_start_;
    }
    http_response answered;
    Start(order, answered);
    Note("late start", {{"worker", Id()}, {"task", order.at("task")},
                        {"run", order.at("run_id")}, {"status", answered.status},
                        {"answer", answered.body}});
  }
  /// The first order for each run that paces it down to nothing gets no answer
  /// and is carried out later by this time; 0 for none.
  void SetLatePaces(std::int64_t ms) {
    std::lock_guard lock(mutex_);
    late_pace_ms_ = ms;
  }

  /// What the worker says of itself in the store.
  json Entry(const std::string& state = "ready") {
    std::lock_guard lock(mutex_);
    json entry{{"service", kind_.service},
               {"address", Address()},
               {"zone", kind_.zone},
               {"version", "v1"},
               {"slots", 8},
               {"state", state},
               {"cold_remaining_ms", 0},
               {"capacity", {{"cpu", kind_.cpu}, {"mem_mb", kind_.mem_mb}, {"gpu", 0}}},
               {"labels", kind_.labels},
               {"clock_ms", ClockMs()},
               {"born", born_},
               {"seq", ++seq_}};
    if (state == "draining") {
      entry["remaining_ms"] = 4000;
    }
    return entry;
  }

 private:
  struct running {
    double work_ms = 0;  // left, at full speed
    double all_ms = 0;
    std::int64_t worked_until = 0;
    int percent = 100;  // of its speed
    bool lasts = false;
    std::string how;
    std::int64_t stop_at = -1;

    void WorkUntil(std::int64_t now) {
      work_ms -= static_cast<double>(now - worked_until) * percent / 100;
      worked_until = now;
    }
  };
  struct ended {
    std::uint64_t number = 0;
    run_key run;
    std::string how;
  };

  void Answer(const http_request& request, http_response& response) {
    {
      std::lock_guard lock(mutex_);
      const auto intended = request.headers.find("expect-instance");
      if (!up_) {
        response.dropped = true;
        return;
      }
      if (intended != request.headers.end() && intended->second != id_) {
        response.status = 421;
        return;
      }
    }
    if (request.path == "/healthz") {
      return;
    }
    const json order = json::parse(request.body);
    if (request.path == "/run-start") {
      Start(order, response);
    } else if (request.path == "/run-stop") {
      StopRun(order, response);
    } else if (request.path == "/hold") {
      Hold(order, response);
    } else if (request.path == "/pace") {
      Pace(order, response);
    } else {
      response.status = 404;
    }
  }

  void Begin() {
    born_ = UnixMs();
    clock_zero_ = NowMs();
    seq_ = 0;
    fence_ = 0;
    lease_until_ = 0;
    next_end_ = 1;
    runs_.clear();
    ends_.clear();
    highest_.clear();
  }
  std::int64_t ClockMs() const { return NowMs() - clock_zero_; }

  void Answer(http_response& response, int status, json body) {
    body["clock_ms"] = ClockMs();
    response.status = status;
    response.body = body.dump();
  }
  bool Fenced(const json& order, http_response& response) {
    const std::uint64_t token = order.value("fencing_token", std::uint64_t{0});
    if (token < fence_) {
      Answer(response, 409, {{"reason", "fence"}});
      return true;
    }
    fence_ = token;
    return false;
  }
  void Lease(const json& order) {
    if (order.contains("expires_ms")) {
      lease_until_ = std::max(
          lease_until_,
          std::min(order["expires_ms"].get<std::int64_t>(), ClockMs() + 6000));
    }
  }

  void Start(const json& order, http_response& response) {
    std::lock_guard lock(mutex_);
    const run_key key{order.at("task"), order.at("run_id")};
    if (hold_next_start_) {
      hold_next_start_ = false;
      held_start_ = order;
      Note("start without an answer",
           {{"worker", id_}, {"task", key.task}, {"run", key.run}});
      response.dropped = true;
      return;
    }
    if (Fenced(order, response)) {
      return;
    }
    if (runs_.contains(key)) {
      Answer(response, 200, json::object());
      return;
    }
    if (order.at("expires_ms").get<std::int64_t>() <= ClockMs()) {
      Answer(response, 409, {{"reason", "late"}});
      return;
    }
    Lease(order);
    if (const auto known = highest_.find(key.task);
        known != highest_.end() && key.run <= known->second) {
      Answer(response, 409, {{"reason", "old"}});
      return;
    }
    const json spec = json::parse(order.at("spec").get<std::string>());
    const double work = spec.value("ms", 1000);
    runs_[key] = {.work_ms = work,
                  .all_ms = std::max(1.0, work),
                  .worked_until = ClockMs(),
                  .lasts = spec.value("lasts", false),
                  .how = spec.value("end", "done")};
    history_.Add({NowMs(), id_, key, "start", kind_.cpu});
    Answer(response, 200, json::object());
  }

  void StopRun(const json& order, http_response& response) {
    std::lock_guard lock(mutex_);
    if (Fenced(order, response)) {
      return;
    }
    const run_key key{order.at("task"), order.at("run_id")};
    auto& highest = highest_[key.task];
    highest = std::max(highest, key.run);
    if (const auto run = runs_.find(key); run != runs_.end()) {
      run->second.stop_at = ClockMs() + 100;
    }
    Answer(response, 200, json::object());
  }

  void Hold(const json& order, http_response& response) {
    std::unique_lock lock(mutex_);
    if (Fenced(order, response)) {
      return;
    }
    Lease(order);
    const std::uint64_t acknowledged = order.value("ack_cursor", std::uint64_t{0});
    std::erase_if(ends_, [&](const ended& end) {
      if (end.number <= acknowledged) {
        history_.Add({NowMs(), id_, end.run, "noted " + end.how});
      }
      return end.number <= acknowledged;
    });
    const std::int64_t life = born_;
    if (ends_.empty()) {
      changed_.wait_for(lock, milliseconds(order.value("wait_ms", 0)), [&] {
        return closing_ || !up_ || born_ != life || !ends_.empty();
      });
    }
    if (!up_ || born_ != life) {
      response.dropped = true;
      return;
    }
    json running = json::array();
    for (auto& [key, run] : runs_) {
      run.WorkUntil(ClockMs());
      const int percent =
          run.lasts ? 100 : static_cast<int>(100 * (1 - std::max(0.0, run.work_ms) / run.all_ms));
      // A task that lasts gives its tail, any other one its use of processors.
      running.push_back({key.task, key.run, "", percent, run.lasts ? tail_ms_.load() : 1000});
    }
    json finished = json::array();
    for (const ended& end : ends_) {
      if (finished.size() < 500) {
        finished.push_back({end.number, end.run.task, end.run.run, end.how, ""});
      }
    }
    Answer(response, 200,
           {{"born", born_}, {"running", running}, {"finished", finished}});
  }

  void Pace(const json& order, http_response& response) {
    std::lock_guard lock(mutex_);
    if (Fenced(order, response)) {
      return;
    }
    const run_key key{order.at("task"), order.at("run_id")};
    if (late_pace_ms_ > 0 && order.at("percent") == 0 && late_paces_.insert(key).second) {
      Note("pace without an answer", {{"worker", id_}, {"task", key.task}, {"run", key.run}});
      response.dropped = true;
      std::thread([this, order, delay = late_pace_ms_] {
        Sleep(delay);
        http_response unused;
        Pace(order, unused);
      }).detach();
      return;
    }
    if (const auto run = runs_.find(key); run != runs_.end()) {
      run->second.WorkUntil(ClockMs());
      run->second.percent = order.at("percent");
      Note("pace", {{"worker", id_}, {"task", key.task}, {"run", key.run},
                    {"percent", run->second.percent}});
    }
    Answer(response, 200, json::object());
  }

  void End(const run_key& key, const std::string& how) {
    ends_.push_back({next_end_++, key, how});
    auto& highest = highest_[key.task];
    highest = std::max(highest, key.run);
    history_.Add({NowMs(), id_, key, how});
  }
  void Tick() {
    while (!closing_) {
      {
        std::lock_guard lock(mutex_);
        bool any = false;
        for (auto run = runs_.begin(); run != runs_.end();) {
          std::string how;
          run->second.WorkUntil(ClockMs());
          if (run->second.stop_at >= 0 && ClockMs() >= run->second.stop_at) {
            how = "stopped";
          } else if (!run->second.lasts && run->second.work_ms <= 0) {
            how = run->second.how;
          } else if (ClockMs() >= lease_until_) {
            how = "lapsed";
          }
          if (how.empty()) {
            ++run;
            continue;
          }
          End(run->first, how);
          run = runs_.erase(run);
          any = true;
        }
        if (any) {
          changed_.notify_all();
        }
      }
      Sleep(5);
    }
  }

  server server_;
  worker_kind kind_;
  history& history_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> closing_ = false;
  std::atomic<int> tail_ms_ = 10;
  std::int64_t late_pace_ms_ = 0;
  bool hold_next_start_ = false;
  std::optional<json> held_start_;
  std::set<run_key> late_paces_;
  std::thread ticker_;
  bool up_ = true;
  std::string id_;
  std::int64_t born_ = 0;
  std::int64_t clock_zero_ = 0;
  std::uint64_t seq_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ = 0;
  std::uint64_t next_end_ = 1;
  std::map<run_key, running> runs_;
  std::vector<ended> ends_;
  std::map<std::string, std::uint64_t> highest_;
};

/// A machine of the platform's list, with the worker that is its present life.
struct machine {
  std::string name;
  worker* life = nullptr;
};

/// The platform's list of machines.
class machine_list {
 public:
  explicit machine_list(const std::string& ip) : server_(ip) {
    server_.Handle([this](const http_request& request, http_response& response) {
      if (request.path != "/machines") {
        response.status = 404;
        return;
      }
      std::lock_guard lock(mutex_);
      json rows = json::array();
      for (const machine& each : machines_) {
        const worker_kind kind = each.life->Kind();
        json row{{"machine", each.name}, {"pool", kind.service},
                 {"state", each.life->Up() ? "up" : "down"},
                 {"zone", kind.zone}, {"labels", kind.labels},
                 {"capacity", {{"cpu", kind.cpu}, {"mem_mb", kind.mem_mb}, {"gpu", 0}}},
                 {"id", each.life->Id()}};
        rows.push_back(row);
      }
      response.body = json{{"machines", rows}, {"next_token", nullptr}}.dump();
    });
  }
  void Add(machine each) {
    std::lock_guard lock(mutex_);
    machines_.push_back(std::move(each));
  }
  void Start() { server_.Start(); }
  void Stop() { server_.Stop(); }
  std::string Address() const { return server_.Address(); }

 private:
  server server_;
  std::mutex mutex_;
  std::vector<machine> machines_;
};

/// A daemon, started with the command of deploy/system.toml.
class daemon {
 public:
  daemon(std::string binary, std::string settings, std::string log)
      : binary_(std::move(binary)), settings_(std::move(settings)), log_(std::move(log)) {}
  ~daemon() { Kill(); }
  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log_.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("SKYLARKBRIDGE_BOOT", settings_.c_str(), 1);
      execl(binary_.c_str(), binary_.c_str(), "fleet", nullptr);
      _exit(127);
    }
  }
  void Signal(int number) {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// Whether the process has ended by itself.
  bool Ended() {
    if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) == 0) {
      return false;
    }
    pid_ = -1;
    return true;
  }

 private:
  std::string binary_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = -1;
};

struct answer {
  int status = 0;  // 0: no answer
  json body;
  std::string text;
};

/// One request on a connection of its own. Status 0: no answer.
inline answer Request(const std::string& address, const std::string& method,
                      const std::string& path, const std::string& body,
                      std::int64_t timeout_ms) {
  const std::size_t colon = address.find(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{.tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  answer got;
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: clients.example\r\n" +
                     "Deadline-Ms: 3000\r\nConnection: close\r\n";
  if (!body.empty()) {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  std::string received;
  if (connect(connection, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0 &&
      send(connection, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size())) {
    char bytes[65536];
    for (ssize_t size = 0; (size = recv(connection, bytes, sizeof bytes, 0)) > 0;) {
      received.append(bytes, static_cast<std::size_t>(size));
    }
  }
  close(connection);
  const std::size_t head = received.find("\r\n\r\n");
  if (head != std::string::npos && received.size() > 12) {
    got.status = std::stoi(received.substr(9, 3));
    got.text = received.substr(head + 4);
    got.body = json::parse(got.text, nullptr, false);
  }
  return got;
}

/// A client's call to the front door of a daemon.
inline answer Call(const std::string& address, const std::string& method,
                   const std::string& path, const json& body = nullptr) {
  const answer got =
      Request(address, method, path, body.is_null() ? "" : body.dump(), 3200);
  json line{{"method", method}, {"path", path}, {"status", got.status}, {"answer", got.body}};
  if (!body.is_null()) {
    line["body"] = body;
  }
  Note("call", line);
  return got;
}

/// A small deployment: a store, a list of machines, workers and daemons.
class deployment {
 public:
  deployment(std::string folder, std::string binary, int daemons)
      : folder_(std::move(folder)), binary_(std::move(binary)), base_(BaseAddress()),
        store_(Ip()), machines_(Ip()) {
    store_.Start();
    machines_.Start();
    for (int number = 0; number < daemons; ++number) {
      AddDaemon(number);
    }
  }
  ~deployment() { End(); }

  worker& AddWorker(const std::string& id, const worker_kind& kind) {
    workers_.push_back(std::make_unique<worker>(Ip(), id, kind, history_));
    worker& added = *workers_.back();
    added.Open();
    machines_.Add({"m-" + std::to_string(workers_.size()), &added});
    Publish(added);
    return added;
  }
  /// The worker writes its entry.
  void Publish(worker& each, const std::string& state = "ready") {
    const json entry = each.Entry(state);
    Note("entry", {{"worker", each.Id()}, {"state", state}});
    store_.Put("keyed.servers", each.Id(), entry.dump());
  }
  void Unpublish(const std::string& id) {
    Note("entry removed", {{"worker", id}});
    store_.Put("keyed.servers", id, std::nullopt);
  }
  void Configure(const json& configuration) {
    store_.Put("keyed.op", "config", configuration.dump());
  }
  void StartDaemons() {
    for (auto& each : daemons_) {
      each->Start();
    }
  }
  /// Waits until all daemons are ready. Ends the trial with 2 if they aren't.
  void AwaitReady() {
    for (const auto& [frontend, readiness] : addresses_) {
      const std::int64_t until = NowMs() + 25'000;
      while (Request(readiness, "GET", "/readyz", "", 1000).status != 200) {
        if (NowMs() > until) {
          Note("not ready", {{"address", readiness}});
          Quit(2);
        }
        Sleep(100);
      }
    }
    Note("ready");
  }
  /// The daemon whose metrics say that it owns a cell; none: Daemons().
  std::size_t Owner() {
    for (std::size_t number = 0; number < daemons_.size(); ++number) {
      const std::string& frontend = addresses_[number].first;
      const std::string text =
          Request(frontend.substr(0, frontend.find(':')) + ":9100", "GET", "/metrics", "", 1000).text;
      const std::size_t at = text.find("\nskylarkbridge_cells_owned ");
      if (at != std::string::npos && text[at + 27] != '0') {
        return number;
      }
    }
    return daemons_.size();
  }
  std::string Frontend(std::size_t number) const { return addresses_[number].first; }
  daemon& Daemon(std::size_t number) { return *daemons_[number]; }
  std::size_t Daemons() const { return daemons_.size(); }
  store& Store() { return store_; }
  history& History() { return history_; }
  std::vector<std::unique_ptr<worker>>& Workers() { return workers_; }

  void End() {
    daemons_.clear();
    store_.Stop();
    machines_.Stop();
    for (auto& each : workers_) {
      each->Close();
    }
  }
  /// Ends all processes and exits.
  [[noreturn]] void Quit(int status) {
    Note("result", {{"exit", status}});
    daemons_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
    std::_Exit(status);
  }

 private:
  static std::string BaseAddress() {
    const int pid = getpid();
    return "127." + std::to_string(20 + pid % 200) + "." +
           std::to_string(1 + pid / 200 % 250) + ".";
  }
  std::string Ip() { return base_ + std::to_string(next_ip_++); }
  void AddDaemon(int number) {
    const std::string ip = Ip();
    const std::string zone = std::string("zone-") + static_cast<char>('a' + number % 4);
    const std::string frontend = ip + ":8161";
    const std::string readiness = ip + ":8167";
    const json settings{
        {"node_name", "edge-" + std::to_string(number)}, {"role", "fleet"},
        {"machine_class", "edge"}, {"serves", {"edge"}}, {"ip", ip}, {"zone", zone},
        {"region", "region"},
        {"zones", {{"zone-a", "region"}, {"zone-b", "region"}, {"zone-c", "region"}, {"zone-d", "region"}}},
        {"listen", {{"frontend", frontend}, {"readiness", readiness}}},
        {"internal_ports", {7720, 7735}}, {"seeds", json::array()},
        {"bootstrap", true}, {"fault_counted", false},
        {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
        {"data_dir", nullptr}, {"discovery", "platform"}, {"entry", "vip"},
        {"heartbeat_ms", 1500},
        {"contracts", {"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"}},
        {"fault_tolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
        {"bounds",
         {{"seed_lag_s", 3}, {"addr_reuse_s", 2}, {"contact_ms", 3000}, {"ack_ms", 4000},
          {"catch_up_s", 4}, {"drain_ms", 2000}, {"grace_s", 6}, {"loss_slack_ms", 200},
          {"config_apply_ms", 2000}, {"rollback_slack_ms", 250}, {"max_skew_ms", 5000},
          {"recovery_s", 12}, {"hold_max_ms", 6000}, {"stop_timeout_ms", 900},
          {"gang_timeout_ms", 3000}, {"cancel_ms", 3000}, {"visible_ms", 3000},
          {"early_ms", 250}, {"finish_s", 14}, {"status_s", 120}, {"remote_factor", 2},
          {"checkpoint_s", 0.5}, {"restore_ms", 100}, {"notice_ms", 4500},
          {"migrate_s", 1.5}, {"maintenance_s", 2}, {"fencing_required", false},
          {"lease_ms", 3000}, {"thaw_slack_ms", 300}, {"pace_ms", 100},
          {"interference_ms", 4000}}},
        {"orders", "invocation"}, {"advice", ""},
        {"platform",
         {{"address", store_.Address()}, {"form", "log"}, {"writes_per_s", 600},
          {"reads_per_s", 2000}, {"parts", 12}, {"append_ms", 2.0}, {"part_mb_per_s", 20.0},
          {"read_mb_per_s", 80.0}, {"record_bytes", 262144}, {"request_bytes", 2097152},
          {"keep_s", 300}, {"partition_mb", 200}, {"ttl_min_ms", 1000}}},
        {"cloud_api",
         {{"address", machines_.Address()}, {"rate_per_s", 60.0}, {"duties", json::array()},
          {"duty_per_s", 60.0}}}};
    const std::string path = folder_ + "/boot-" + std::to_string(number) + ".json";
    std::ofstream(path) << settings.dump(2);
    daemons_.push_back(std::make_unique<daemon>(
        binary_, path, folder_ + "/edge-" + std::to_string(number) + ".log"));
    addresses_.emplace_back(frontend, readiness);
  }

  const std::string folder_;
  const std::string binary_;
  const std::string base_;
  int next_ip_ = 2;
  store store_;
  machine_list machines_;
  history history_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::vector<std::pair<std::string, std::string>> addresses_;
};

/// A configuration with one queue under `/q/`, whose tasks run on `service`.
inline json Configuration(const std::string& service, int max_attempts = 3) {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-q"}, {"host", "clients.example"}, {"path_prefix", "/q/"},
             {"kind", "non_idempotent"}, {"timeout_ms", 3000},
             {"target_latency_ms", 250}, {"priority", 0}, {"service", service},
             {"max_attempts", max_attempts}, {"slack_factor", 2.0}}}},
          {"services",
           {{{"name", service}, {"health_path", "/healthz"}, {"max_conns", 64},
             {"protocol", "h1"}, {"tls", false}, {"rejects_overload", false},
             {"standby", false}}}},
          {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}}}};
}

/// Arguments of a trial: the folder of the case, the binary, and 0 or 1.
struct arguments {
  std::string temporary;
  std::string binary;
  bool trouble = true;
};

inline arguments Begin(int argc, char** argv, unsigned seconds = 115) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4) {
    std::cerr << "usage: TRIAL RECORD BINARY TROUBLE\n";
    std::exit(2);
  }
  record::Get().Open(argv[1]);
  std::thread([seconds] {
    Sleep(seconds * 1000);
    Note("result", {{"exit", 2}, {"why", "the trial took too long"}});
    std::_Exit(2);
  }).detach();
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr || access(argv[2], X_OK) != 0) {
    Note("result", {{"exit", 2}, {"why", "no temporary folder or no binary"}});
    std::exit(2);
  }
  return {pattern, argv[2], std::string(argv[3]) != "0"};
}

}  // namespace trial

#endif  // REVIEW_KIT_2_TRIAL_H
