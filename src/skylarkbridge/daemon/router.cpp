#include "skylarkbridge/daemon/router.hpp"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::daemon {

using coordination::log_stream;

router::router(const router_options& options,
               control_port& port,
               const gateway::address_book& addresses)
    : options_(options),
      port_(port),
      addresses_(addresses),
      appends_(options.queue_capacity),
      task_reads_(options.queue_capacity),
      configuration_reads_(options.queue_capacity) {
  for (std::size_t i = 0; i < options_.worker_threads; ++i) {
    workers_.push_back(
        std::make_unique<gateway::job_queue<wire::worker_command>>(
            options_.queue_capacity));
  }
}

void router::Route(control_output output) {
  std::visit([this](auto& one) { Route(std::move(one)); }, output);
}

void router::Route(wire::worker_command command) {
  const std::size_t thread = wire::WorkerOf(command).value % workers_.size();
  wire::worker_command copy = command;
  if (!workers_[thread]->Add(std::move(command))) {
    port_.Messages().SendUnbounded(
        worker_message{std::move(copy), std::nullopt});
  }
}

void router::Route(coordination::append_records append) {
  const std::uint64_t number = append.append;
  if (!appends_.Add(std::move(append))) {
    port_.Messages().SendUnbounded(
        append_message{number, coordination::append_result::kNotWritten});
  }
}

void router::Route(read_stream read) {
  const auto failed = page_message{read.stream, read.read.read, std::nullopt};
  auto& queue =
      read.stream == log_stream::kTasks ? task_reads_ : configuration_reads_;
  if (!queue.Add(read)) {
    port_.Messages().SendUnbounded(failed);
  }
}

void router::Route(const send_to_peer& send) {
  if (peers_ != nullptr) {
    peers_->Send(send.to, send.address, send.message);
  }
}

void router::Route(forget_peer forget) {
  if (peers_ != nullptr) {
    peers_->Forget(forget.vm);
  }
}

void router::AddChildren(supervisor::supervisor& platform) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    platform.Add({.name = absl::StrCat("workers", i),
                  .run = [this, i](stop_signal& stop) {
                    gateway::worker_client client(options_.workers, addresses_);
                    return workers_[i]->Run(
                        stop, [&](wire::worker_command command) {
                          auto reply = client.Call(command);
                          port_.Messages().SendUnbounded(worker_message{
                              std::move(command), std::move(reply)});
                        });
                  }});
  }
  platform.Add({.name = "log_append", .run = [this](stop_signal& stop) {
                  gateway::log_client client(options_.log);
                  return appends_.Run(
                      stop, [&](const coordination::append_records& append) {
                        const auto result =
                            client.Append(StreamName(append.stream), append);
                        port_.Messages().SendUnbounded(
                            append_message{append.append, result});
                      });
                }});
  AddReader(platform, "log_tasks", task_reads_);
  AddReader(platform, "log_config", configuration_reads_);
}

void router::AddReader(supervisor::supervisor& platform,
                       const char* name,
                       gateway::job_queue<read_stream>& reads) {
  platform.Add({.name = name, .run = [this, &reads](stop_signal& stop) {
                  gateway::log_client client(options_.log);
                  return reads.Run(stop, [&](const read_stream& read) {
                    port_.Messages().SendUnbounded(page_message{
                        read.stream, read.read.read,
                        client.Read(StreamName(read.stream), read.read)});
                  });
                }});
}

std::string router::StreamName(log_stream stream) const {
  return stream == log_stream::kTasks ? options_.log.task_stream
                                      : options_.log.configuration_stream;
}

}  // namespace skylarkbridge::daemon
