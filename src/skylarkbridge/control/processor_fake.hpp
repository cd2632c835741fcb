#ifndef SKYLARKBRIDGE_CONTROL_PROCESSOR_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_PROCESSOR_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::control {

/// @brief Time of a whole processor that the work of a VM takes. The defaults
/// were measured on the real functions.
struct processor_costs {
  std::chrono::nanoseconds request{8'000};
  /// A reply whose body fits into one read of the connection.
  std::chrono::nanoseconds reply{8'000};
  /// Each further read of a connection.
  std::chrono::nanoseconds further_read{2'000};
  /// Decoding one run in a worker's report.
  std::chrono::nanoseconds reported_run{2'000};
  /// Decoding and applying one record of a log.
  std::chrono::nanoseconds record{8'000};
  /// Handling a reply on the control thread.
  std::chrono::nanoseconds handled_reply{4'000};
  /// A pass of the control state.
  std::chrono::nanoseconds pass{55'000};
  /// A pass, for each step that is ready to start.
  std::chrono::nanoseconds ready_step{200};
};

/// @brief The processor share of a VM whose work takes place in virtual time.
struct processor_options {
  /// Fraction of a processor; 0 for work that takes no time.
  double share = 0;
  /// Bytes that one read of a connection returns.
  std::size_t read_bytes = std::size_t{64} << 10U;
  processor_costs costs = {};
};

/// @brief A request to send or a reply to receive on the traffic thread.
struct traffic_work {
  /// Turns of the thread: one, and one for each further read of a reply.
  std::size_t turns = 1;
  bool begun = false;
  std::chrono::nanoseconds first_turn{};
  std::chrono::nanoseconds further_turn{};
  /// A reply is lost when a turn after its first begins later.
  time_point deadline = time_point::max();
  /// Called in the last turn, or when the reply is lost.
  std::function<void(bool in_time)> finish;
};

/// @brief Divides the processor share of a VM between its traffic thread, which
/// takes its work in turn like the HTTP client, and its control thread.
class processor_fake {
 public:
  /// Makes a pass of the control thread and returns its time; zero when there
  /// is nothing to do.
  using control_pass = std::function<std::chrono::nanoseconds()>;

  explicit processor_fake(const processor_options& settings)
      : options_(settings) {}

  void Add(traffic_work work) { queue_.push_back(std::move(work)); }

  /// @brief Works for the VM's share of @p time. The thread that has used less
  /// time comes first. Work that takes longer is paid from later calls.
  void Work(std::chrono::nanoseconds time,
            time_point now,
            const control_pass& pass) {
    credit_ = std::min(credit_, std::chrono::nanoseconds(0)) +
              std::chrono::duration_cast<std::chrono::nanoseconds>(
                  time * options_.share);
    bool control_idle = false;
    while (credit_.count() > 0 && !(control_idle && queue_.empty())) {
      if (queue_.empty() || (!control_idle && control_time_ <= traffic_time_)) {
        const std::chrono::nanoseconds cost = pass();
        control_idle = cost.count() == 0;
        Spend(cost, control_time_);
      } else {
        Spend(TakeTurn(now), traffic_time_);
        control_idle = false;
      }
    }
    if (control_idle || queue_.empty()) {
      // An idle thread gains no claim on later time.
      control_time_ = traffic_time_ = std::max(control_time_, traffic_time_);
    }
  }

  /// @brief Processor time that was used.
  std::chrono::nanoseconds Used() const { return used_; }
  /// @brief Requests and replies that wait for the traffic thread.
  std::size_t Waiting() const { return queue_.size(); }
  /// @brief Replies that arrived in time and were lost.
  std::size_t LostReplies() const { return lost_replies_; }

 private:
  void Spend(std::chrono::nanoseconds cost, std::chrono::nanoseconds& thread) {
    thread += cost;
    used_ += cost;
    credit_ -= cost;
  }

  std::chrono::nanoseconds TakeTurn(time_point now) {
    traffic_work work = std::move(queue_.front());
    queue_.pop_front();
    const std::chrono::nanoseconds cost =
        work.begun ? work.further_turn : work.first_turn;
    if (work.begun && now > work.deadline) {
      ++lost_replies_;
      work.finish(false);
    } else if (--work.turns == 0) {
      work.finish(true);
    } else {
      work.begun = true;
      queue_.push_back(std::move(work));
    }
    return cost;
  }

  const processor_options options_;
  std::deque<traffic_work> queue_;
  std::chrono::nanoseconds credit_{};
  std::chrono::nanoseconds traffic_time_{};
  std::chrono::nanoseconds control_time_{};
  std::chrono::nanoseconds used_{};
  std::size_t lost_replies_ = 0;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_PROCESSOR_FAKE_HPP
