// Helpers of the review's cases: HTTP over loopback, processes, and the record.
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using nlohmann::json;

inline std::int64_t NowMs() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Appends one line to the record: monotonic milliseconds, who, what.
class record_file {
 public:
  void Open(const std::string& path) {
    fd_ = open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  }
  void Line(const std::string& who, const std::string& what) const {
    const std::string line =
        std::to_string(NowMs()) + " " + who + " " + what + "\n";
    if (fd_ >= 0 && write(fd_, line.data(), line.size()) < 0) {
      perror("record");
    }
  }

 private:
  int fd_ = -1;
};

struct request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct response {
  int status = 200;
  std::string body = "{}";
  std::string type = "application/json";
  /// Close the connection without an answer.
  bool drop = false;
};

inline std::string Decode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline sockaddr_in Address(const std::string& text) {
  const auto colon = text.rfind(':');
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(std::stoi(text.substr(colon + 1)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &a.sin_addr);
  return a;
}

/// Reads bytes until @p data holds a whole HTTP message. Returns the size of
/// the head, or nothing at the end of the connection.
inline std::optional<std::size_t> ReadMessage(int fd,
                                              std::string& data,
                                              std::size_t& body_size,
                                              std::int64_t deadline) {
  for (;;) {
    const auto end = data.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::string head = data.substr(0, end + 4);
      std::transform(head.begin(), head.end(), head.begin(), ::tolower);
      body_size = 0;
      const auto at = head.find("\r\ncontent-length:");
      if (at != std::string::npos) {
        body_size = std::strtoul(head.c_str() + at + 17, nullptr, 10);
      }
      if (data.size() >= end + 4 + body_size) {
        return end + 4;
      }
    }
    if (deadline > 0) {
      pollfd p{fd, POLLIN, 0};
      const auto left = deadline - NowMs();
      if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0) {
        return std::nullopt;
      }
    }
    char buffer[65536];
    const auto n = recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0) {
      return std::nullopt;
    }
    data.append(buffer, n);
  }
}

inline bool WriteAll(int fd, const std::string& data) {
  std::size_t done = 0;
  while (done < data.size()) {
    const auto n =
        send(fd, data.data() + done, data.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += n;
  }
  return true;
}

inline request ParseRequest(const std::string& head, std::string body) {
  request r;
  r.body = std::move(body);
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  std::istringstream first(line);
  std::string target;
  first >> r.method >> target;
  const auto mark = target.find('?');
  r.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::istringstream pairs(target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      const auto equals = pair.find('=');
      r.query[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : Decode(pair.substr(equals + 1));
    }
  }
  while (std::getline(lines, line) && line != "\r") {
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    while (!value.empty() && (value.front() == ' ')) {
      value.erase(0, 1);
    }
    while (!value.empty() && (value.back() == '\r')) {
      value.pop_back();
    }
    r.headers[name] = value;
  }
  return r;
}

/// Serves HTTP/1.1 with one thread for each connection; does not return.
inline void Serve(const std::string& address,
                  const std::function<response(const request&)>& handler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in a = Address(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 ||
      listen(listener, 512) != 0) {
    perror(("listen " + address).c_str());
    _exit(3);
  }
  for (;;) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      Sleep(10);
      continue;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::thread([fd, &handler] {
      std::string data;
      std::size_t body_size = 0;
      while (const auto head = ReadMessage(fd, data, body_size, 0)) {
        const request r =
            ParseRequest(data.substr(0, *head), data.substr(*head, body_size));
        data.erase(0, *head + body_size);
        const response answer = handler(r);
        if (answer.drop) {
          break;
        }
        const bool close_after =
            r.headers.contains("connection") &&
            r.headers.at("connection").find("close") != std::string::npos;
        std::ostringstream out;
        out << "HTTP/1.1 " << answer.status
            << " X\r\nContent-Type: " << answer.type
            << "\r\nContent-Length: " << answer.body.size() << "\r\n"
            << (close_after ? "Connection: close\r\n" : "") << "\r\n"
            << answer.body;
        if (!WriteAll(fd, out.str()) || close_after) {
          break;
        }
      }
      close(fd);
    }).detach();
  }
}

struct reply {
  /// 0 when there was no complete answer.
  int status = 0;
  std::string body;
};

inline reply Call(const std::string& address,
                  const std::string& method,
                  const std::string& target,
                  const std::string& body = "",
                  const std::string& host = "",
                  std::int64_t timeout_ms = 3000) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  reply result;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in a = Address(address);
  connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
  pollfd p{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (poll(&p, 1, static_cast<int>(timeout_ms)) <= 0 ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(fd);
    return result;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  std::ostringstream out;
  out << method << " " << target
      << " HTTP/1.1\r\nHost: " << (host.empty() ? address : host)
      << "\r\nConnection: close\r\n";
  if (method == "POST") {
    out << "Content-Type: application/json\r\n";
  }
  out << "Deadline-Ms: " << timeout_ms << "\r\nContent-Length: " << body.size()
      << "\r\n\r\n"
      << body;
  std::string data;
  std::size_t body_size = 0;
  if (WriteAll(fd, out.str())) {
    if (const auto head = ReadMessage(fd, data, body_size, deadline)) {
      result.status = std::atoi(data.c_str() + 9);
      result.body = data.substr(*head, body_size);
    }
  }
  close(fd);
  return result;
}

/// Starts a program; it ends with this process.
inline pid_t Spawn(const std::vector<std::string>& words,
                   const std::vector<std::string>& environment,
                   const std::string& log,
                   const std::string& folder = "") {
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(3);
  }
  const int fd = open(log.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
  dup2(fd, 1);
  dup2(fd, 2);
  if (!folder.empty() && chdir(folder.c_str()) != 0) {
    _exit(3);
  }
  std::vector<char*> args;
  for (const auto& word : words) {
    args.push_back(const_cast<char*>(word.c_str()));
  }
  args.push_back(nullptr);
  std::vector<char*> env;
  for (const auto& entry : environment) {
    env.push_back(const_cast<char*>(entry.c_str()));
  }
  env.push_back(nullptr);
  execve(args[0], args.data(), env.data());
  _exit(3);
}

}  // namespace kit

#endif  // REVIEW_KIT_H
