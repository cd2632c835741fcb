#ifndef SKYLARKBRIDGE_SCENARIO_REQUEST_SIDE_HPP
#define SKYLARKBRIDGE_SCENARIO_REQUEST_SIDE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/scenario/command.hpp"
#include "skylarkbridge/scenario/fleet_fake.hpp"
#include "skylarkbridge/scheduling/dispatcher.hpp"

namespace skylarkbridge::scenario {

/// @brief One entry VM's dispatcher with callers and upstreams around it.
class request_side {
 public:
  explicit request_side(fleet_fake& fleet) : fleet_(fleet) {}

  struct flood {
    std::int64_t count = 0;
    std::chrono::milliseconds over{0};
    std::chrono::milliseconds deadline{0};
    bool idempotent = false;
  };
  void Configure();
  void Flood(const std::string& service, const flood& what);
  void Cancel(const std::string& service, std::int64_t count);
  /// @brief The worker has changed; its attempts are cut off when it is lost.
  void Update(worker_id worker);
  void Show(command& line) const;

 private:
  struct open_request {
    std::string service;
    time_point arrived;
    std::string answer;
    bool fault = false;
  };
  struct tally {
    std::int64_t arrived = 0;
    std::int64_t done = 0;
    std::int64_t unknown = 0;
    std::int64_t attempts = 0;
    std::int64_t faults = 0;
    std::map<std::string, std::int64_t> not_run;
    std::vector<std::chrono::nanoseconds> latencies;
  };
  using attempt_key = std::pair<request_id, std::uint32_t>;

  void Arrive(const std::string& service, const flood& what);
  void Do(const scheduling::request_commands& commands);
  void Do(const scheduling::start_attempt& start);
  void Do(const scheduling::finish_request& finish);
  void End(const scheduling::start_attempt& start,
           scheduling::attempt_result result,
           bool fault);

  fleet_fake& fleet_;
  scheduling::dispatcher dispatcher_;
  deadline_timer timer_{fleet_.time};
  std::uint64_t last_request_ = 0;
  std::map<request_id, open_request> open_;
  std::map<request_id, bool> idempotent_;
  std::map<attempt_key, scheduling::start_attempt> running_;
  std::map<std::string, tally> tallies_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_REQUEST_SIDE_HPP
