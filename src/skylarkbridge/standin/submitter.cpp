#include "skylarkbridge/standin/submitter.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/base/stop_signal.hpp"

namespace skylarkbridge::standin {
namespace {

constexpr std::chrono::seconds kReadTimeout{30};
constexpr std::chrono::milliseconds kPollInterval{50};

std::string TextField(const std::string& body, const char* key) {
  const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  const auto field = parsed.is_object() ? parsed.find(key) : parsed.end();
  return parsed.is_object() && field != parsed.end() && field->is_string()
             ? field->get<std::string>()
             : std::string();
}

submit_tally RunSubmitter(const ip_address& entry,
                          const std::string& body,
                          std::atomic<std::int64_t>& left) {
  httplib::Client client(entry.host, entry.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(kReadTimeout);
  submit_tally tally;
  while (left.fetch_sub(1) > 0) {
    const httplib::Result answer =
        client.Post("/v1/tasks", body, "application/json");
    if (answer && answer->status == 202) {
      tally.accepted.push_back(TextField(answer->body, "id"));
    } else if (answer &&
               answer->get_header_value("Skylarkbridge-Outcome") == "not-run") {
      ++tally.not_run;
    } else {
      ++tally.unknown;
    }
  }
  return tally;
}

}  // namespace

submit_tally SubmitTasks(const ip_address& entry,
                         const std::string& kind,
                         std::int64_t count,
                         std::size_t submitters) {
  const std::string body = nlohmann::json{{"kind", kind}}.dump();
  std::atomic<std::int64_t> left = count;
  std::vector<submit_tally> parts(submitters);
  {
    std::vector<posix_thread> threads;
    for (std::size_t i = 0; i < submitters; ++i) {
      threads.push_back(posix_thread::Start("submitter", [&, i] {
                          parts[i] = RunSubmitter(entry, body, left);
                        }).value());
    }
  }
  submit_tally total;
  for (submit_tally& part : parts) {
    std::move(part.accepted.begin(), part.accepted.end(),
              std::back_inserter(total.accepted));
    total.not_run += part.not_run;
    total.unknown += part.unknown;
  }
  return total;
}

std::map<std::string, std::int64_t> AwaitTasks(
    const ip_address& entry,
    const std::vector<std::string>& tasks,
    time_point deadline) {
  httplib::Client client(entry.host, entry.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  stop_signal never;
  std::map<std::string, std::int64_t> outcomes;
  for (const std::string& task : tasks) {
    std::string outcome = "open";
    while (outcome == "open") {
      const httplib::Result answer = client.Get("/v1/tasks/" + task);
      const std::string told = answer && answer->status == 200
                                   ? TextField(answer->body, "outcome")
                                   : std::string();
      if (!told.empty()) {
        outcome = told;
      } else if (boot_clock::now() >= deadline) {
        break;
      } else {
        never.WaitUntil(boot_clock::now() + kPollInterval);
      }
    }
    ++outcomes[outcome];
  }
  return outcomes;
}

}  // namespace skylarkbridge::standin
