#ifndef SKYLARKBRIDGE_GATEWAY_JOB_QUEUE_HPP
#define SKYLARKBRIDGE_GATEWAY_JOB_QUEUE_HPP

#include <boost/leaf/result.hpp>
#include <concepts>
#include <cstddef>
#include <utility>

#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/stop_signal.hpp"

namespace skylarkbridge::gateway {

/// @brief Jobs that one traffic thread carries out in order.
template <class Job>
class job_queue {
 public:
  /// @param capacity most jobs that wait.
  explicit job_queue(std::size_t capacity) : jobs_(capacity) {}

  /// @brief Adds a job. Returns false when the queue is full.
  bool Add(Job job) { return jobs_.TrySend(std::move(job)); }

  /// @brief Calls @p carry_out for each job until @p stop is requested; the
  /// body of a supervisor child. Jobs that wait at the stop are carried out
  /// until the drain deadline.
  template <std::invocable<Job> CarryOut>
  boost::leaf::result<void> Run(stop_signal& stop, CarryOut carry_out) {
    jobs_.Reopen();
    stop.OnRequest([this](time_point) { jobs_.Close(); });
    while (true) {
      const bool last = jobs_.Closed();
      for (Job& job : jobs_.ReceiveAll(std::nullopt)) {
        if (stop.Requested() && boot_clock::now() >= *stop.DrainDeadline()) {
          return {};
        }
        carry_out(std::move(job));
      }
      if (last) {
        return {};
      }
    }
  }

 private:
  mailbox<Job> jobs_;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_JOB_QUEUE_HPP
