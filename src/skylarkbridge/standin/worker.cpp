#include "skylarkbridge/standin/worker.hpp"

#include <httplib.h>

#include "absl/cleanup/cleanup.h"

namespace skylarkbridge::standin {
namespace {

constexpr char kLoopback[] = "127.0.0.1";

// Threads for commands of entry VMs, besides those for requests.
constexpr std::size_t kCommandConnections = 16;

void RaiseTo(std::atomic<std::int64_t>& highest, std::int64_t value) {
  std::int64_t seen = highest.load();
  while (seen < value && !highest.compare_exchange_weak(seen, value)) {
  }
}

}  // namespace

worker::worker(worker_options options)
    : options_(options),
      tasks_({.worker = options.worker,
              .capacity = options.capacity,
              .run_time = options.task_run_time}),
      listener_({.address = {kLoopback, 0},
                 .threads = static_cast<std::size_t>(options.connections) +
                            kCommandConnections,
                 .lame_duck = std::chrono::milliseconds(0)},
                [this](httplib::Server& server) { Install(server); }) {}

boost::leaf::result<void> worker::Run(stop_signal& stop) {
  return listener_.Run(stop);
}

wire::worker_vm worker::Describe(time_point deadline) {
  return {.worker = options_.worker,
          .address = {kLoopback, listener_.WaitForPort(deadline)},
          .data_centre = options_.data_centre,
          .rack = options_.rack,
          .slots = options_.slots,
          .connections = options_.connections,
          .capacity = options_.capacity};
}

void worker::Install(httplib::Server& server) {
  InstallTasks(server);
  const auto serve = [this](const httplib::Request& request,
                            httplib::Response& response) {
    Serve(request, response);
  };
  server.Get(".*", serve);
  server.Post(".*", serve);
  server.Put(".*", serve);
  server.Delete(".*", serve);
}

void worker::Serve(const httplib::Request& request,
                   httplib::Response& response) {
  RaiseTo(most_at_once_, running_.fetch_add(1) + 1);
  const absl::Cleanup leave = [this] { running_.fetch_sub(1); };
  const time_point start = boot_clock::now();
  if (options_.service_time.count() > 0) {
    stop_signal never;
    never.WaitUntil(start + options_.service_time);
  }
  served_.fetch_add(1);
  response.set_content(request.body.empty() ? request.path : request.body,
                       "application/octet-stream");
  services_.Record(request.get_header_value("Skylarkbridge-Service"),
                   boot_clock::now() - start);
}

void worker::InstallTasks(httplib::Server& server) {
  server.Post(R"(/v1/worker/([a-z]+))", [this](const httplib::Request& request,
                                               httplib::Response& response) {
    findings found;
    const auto command = wire::DecodeCommand(std::string(request.matches[1]),
                                             request.body, found);
    if (!command) {
      response.status = 400;
      response.set_content(Format(found), "text/plain");
      return;
    }
    response.set_content(Carry(*command), "application/json");
  });
}

std::string worker::Carry(const wire::worker_command& command) {
  wire::worker_reply reply = tasks_.Handle(command, boot_clock::now());
  if (auto* report = std::get_if<wire::report_answer>(&reply)) {
    report->windows.back().services = services_.Take();
  }
  return wire::EncodeReply(reply);
}

}  // namespace skylarkbridge::standin
