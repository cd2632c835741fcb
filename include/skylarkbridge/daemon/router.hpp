#ifndef SKYLARKBRIDGE_DAEMON_ROUTER_HPP
#define SKYLARKBRIDGE_DAEMON_ROUTER_HPP

#include <cstddef>
#include <memory>
#include <vector>

#include "skylarkbridge/daemon/control_outputs.hpp"
#include "skylarkbridge/daemon/control_port.hpp"
#include "skylarkbridge/gateway/job_queue.hpp"
#include "skylarkbridge/gateway/log_client.hpp"
#include "skylarkbridge/gateway/tcp_peer_transport.hpp"
#include "skylarkbridge/gateway/worker_client.hpp"
#include "skylarkbridge/supervisor/supervisor.hpp"

namespace skylarkbridge::daemon {

struct router_options {
  gateway::log_client_options log;
  gateway::worker_client_options workers;
  /// Threads that carry commands to workers; each worker belongs to one.
  std::size_t worker_threads = 4;
  /// Most commands that wait for one thread.
  std::size_t queue_capacity = 10'000;
};

/// @brief Queues between the control thread and the threads that talk to the
/// platform.
class router {
 public:
  router(const router_options& options,
         control_port& port,
         const gateway::address_book& addresses);

  /// @brief Hands an output to the thread that carries it out.
  void Route(control_output output);

  /// @brief Sets what carries messages to peers; call before the control
  /// thread starts.
  void SetPeers(gateway::tcp_peer_transport* peers) { peers_ = peers; }

  /// @brief Adds the threads to a supervisor.
  void AddChildren(supervisor::supervisor& platform);

 private:
  void Route(wire::worker_command command);
  void Route(coordination::append_records append);
  void Route(read_stream read);
  void Route(const send_to_peer& send);
  void Route(forget_peer forget);
  void AddReader(supervisor::supervisor& platform,
                 const char* name,
                 gateway::job_queue<read_stream>& reads);
  std::string StreamName(coordination::log_stream stream) const;

  const router_options options_;
  control_port& port_;
  const gateway::address_book& addresses_;
  gateway::tcp_peer_transport* peers_ = nullptr;
  std::vector<std::unique_ptr<gateway::job_queue<wire::worker_command>>>
      workers_;
  gateway::job_queue<coordination::append_records> appends_;
  gateway::job_queue<read_stream> task_reads_;
  gateway::job_queue<read_stream> configuration_reads_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_ROUTER_HPP
