#include "skylarkbridge/standin/callers.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <optional>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/base/stop_signal.hpp"

namespace skylarkbridge::standin {
namespace {

// An answer slower than this counts as cut off.
constexpr std::chrono::seconds kReadTimeout{30};

/// One caller with one connection.
class caller {
 public:
  caller(const caller_options& options, std::size_t number)
      : options_(options), number_(number), entry_(number) {
    Connect();
  }

  void Send(std::int64_t request) {
    const std::string body = Body(request);
    const time_point start = boot_clock::now();
    httplib::Result answer = client_->Post(options_.path, body, "text/plain");
    for (std::size_t i = 1; !answer && i < options_.entries.size() &&
                            answer.error() == httplib::Error::Connection;
         ++i) {
      MoveOn();
      answer = client_->Post(options_.path, body, "text/plain");
    }
    tally_.latencies.push_back(boot_clock::now() - start);
    Count(answer, body);
    if (answer && answer->get_header_value("Connection") == "close") {
      MoveOn();
    }
  }

  const caller_tally& Tally() const { return tally_; }

 private:
  void Connect() {
    const ip_address& to = options_.entries[entry_ % options_.entries.size()];
    client_.emplace(to.host, to.port);
    client_->set_keep_alive(true);
    client_->set_tcp_nodelay(true);
    client_->set_read_timeout(kReadTimeout);
  }

  // The balancer sends no new connections to a VM that is draining; those in
  // the accept queue of a closing listener would be reset by the kernel.
  void MoveOn() {
    ++entry_;
    Connect();
  }

  std::string Body(std::int64_t request) const {
    std::string body = absl::StrCat("request ", request, " of ", number_, " ");
    body.resize(std::max(body.size(), options_.body_bytes), '.');
    return body;
  }

  void Count(const httplib::Result& answer, const std::string& body) {
    if (!answer) {
      ++tally_.cut_off;
      return;
    }
    const std::string outcome =
        answer->get_header_value("Skylarkbridge-Outcome");
    if (outcome == "done" || outcome.empty()) {
      ++tally_.done;
      tally_.wrong += answer->body == body ? 0 : 1;
    } else if (outcome == "not-run") {
      ++tally_.not_run;
    } else {
      ++tally_.unknown;
    }
  }

  const caller_options& options_;
  const std::size_t number_;
  std::size_t entry_;
  std::optional<httplib::Client> client_;
  caller_tally tally_;
};

caller_tally RunCaller(const caller_options& options,
                       std::size_t number,
                       std::atomic<std::int64_t>& left) {
  caller one(options, number);
  stop_signal never;
  std::int64_t request = left.fetch_sub(1);
  while (request > 0) {
    one.Send(request);
    if (options.think_time.count() > 0) {
      never.WaitUntil(boot_clock::now() + options.think_time);
    }
    request = left.fetch_sub(1);
  }
  return one.Tally();
}

void Add(const caller_tally& part, caller_tally& total) {
  total.done += part.done;
  total.not_run += part.not_run;
  total.unknown += part.unknown;
  total.cut_off += part.cut_off;
  total.wrong += part.wrong;
  total.latencies.insert(total.latencies.end(), part.latencies.begin(),
                         part.latencies.end());
}

}  // namespace

caller_tally SendRequests(const caller_options& options) {
  std::atomic<std::int64_t> left = options.requests;
  std::vector<caller_tally> parts(options.callers);
  const time_point start = boot_clock::now();
  {
    std::vector<posix_thread> threads;
    for (std::size_t i = 0; i < options.callers; ++i) {
      threads.push_back(posix_thread::Start("caller", [&, i] {
                          parts[i] = RunCaller(options, i, left);
                        }).value());
    }
  }
  caller_tally total;
  total.elapsed = boot_clock::now() - start;
  for (const caller_tally& part : parts) {
    Add(part, total);
  }
  std::sort(total.latencies.begin(), total.latencies.end());
  return total;
}

boot_clock::duration Quantile(const caller_tally& tally, double quantile) {
  if (tally.latencies.empty()) {
    return boot_clock::duration(0);
  }
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(tally.latencies.size() - 1));
  return tally.latencies[index];
}

}  // namespace skylarkbridge::standin
