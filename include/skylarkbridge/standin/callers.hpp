#ifndef SKYLARKBRIDGE_STANDIN_CALLERS_HPP
#define SKYLARKBRIDGE_STANDIN_CALLERS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::standin {

struct caller_options {
  /// Tried in turn when a connection cannot be opened, as the platform's
  /// balancer would.
  std::vector<ip_address> entries;
  std::string path = "/v1/services/label-and-slip";
  std::size_t callers = 16;
  /// Requests of all callers together.
  std::int64_t requests = 1000;
  std::size_t body_bytes = 64;
  /// Each caller waits this long between its requests.
  std::chrono::microseconds think_time{0};
};

/// @brief What callers were told.
struct caller_tally {
  std::int64_t done = 0;
  std::int64_t not_run = 0;
  /// The answer said that the outcome is unknown.
  std::int64_t unknown = 0;
  /// The connection ended before a whole answer came.
  std::int64_t cut_off = 0;
  /// Answers with the bytes of another request.
  std::int64_t wrong = 0;
  /// Of all requests, sorted.
  std::vector<boot_clock::duration> latencies;
  boot_clock::duration elapsed{0};
};

/// @brief Sends requests from several callers, each of which waits for its
/// answer before the next request. Every body is different, so that an answer
/// to another request is noticed.
caller_tally SendRequests(const caller_options& options);

/// @brief Latency at a quantile from 0 to 1; zero without requests.
boot_clock::duration Quantile(const caller_tally& tally, double quantile);

}  // namespace skylarkbridge::standin

#endif  // SKYLARKBRIDGE_STANDIN_CALLERS_HPP
