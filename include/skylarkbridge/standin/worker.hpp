#ifndef SKYLARKBRIDGE_STANDIN_WORKER_HPP
#define SKYLARKBRIDGE_STANDIN_WORKER_HPP

#include <atomic>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <string>

#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/gateway/http_listener.hpp"
#include "skylarkbridge/standin/service_window.hpp"
#include "skylarkbridge/standin/worker_tasks.hpp"
#include "skylarkbridge/wire/vm_list.hpp"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace skylarkbridge::standin {

struct worker_options {
  worker_id worker;
  data_centre_id data_centre{1};
  rack_id rack;
  std::int64_t slots = 8;
  std::int64_t connections = 64;
  resources capacity{.millicores = 32'000, .memory_mib = 125'000};
  /// Time that a request takes, spent waiting.
  std::chrono::microseconds service_time{0};
  /// Time that a batch task takes, spent waiting.
  std::chrono::milliseconds task_run_time = std::chrono::milliseconds(200);
};

/// @brief Stand-in for a worker: answers requests with the bytes that it got,
/// and runs batch tasks by waiting.
///
/// It counts the requests that run at a time, so that tests see whether it was
/// ever given more than it has slots for.
class worker {
 public:
  explicit worker(worker_options options);

  /// @brief Body of a supervisor child.
  boost::leaf::result<void> Run(stop_signal& stop);

  /// @brief Entry for the VM list; waits until the port is known.
  wire::worker_vm Describe(time_point deadline);

  std::int64_t Served() const { return served_.load(); }
  std::int64_t MostAtOnce() const { return most_at_once_.load(); }
  worker_tasks& Tasks() { return tasks_; }

 private:
  void Install(httplib::Server& server);
  void InstallTasks(httplib::Server& server);
  void Serve(const httplib::Request& request, httplib::Response& response);
  std::string Carry(const wire::worker_command& command);

  const worker_options options_;
  worker_tasks tasks_;
  service_window services_;
  gateway::http_listener listener_;
  std::atomic<std::int64_t> running_ = 0;
  std::atomic<std::int64_t> most_at_once_ = 0;
  std::atomic<std::int64_t> served_ = 0;
};

}  // namespace skylarkbridge::standin

#endif  // SKYLARKBRIDGE_STANDIN_WORKER_HPP
