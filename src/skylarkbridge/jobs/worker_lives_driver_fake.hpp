#ifndef SKYLARKBRIDGE_JOBS_WORKER_LIVES_DRIVER_FAKE_HPP
#define SKYLARKBRIDGE_JOBS_WORKER_LIVES_DRIVER_FAKE_HPP

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {

inline constexpr job_id kJob{1};
inline constexpr worker_start_time kFirstLife{std::chrono::seconds(1)};
inline constexpr worker_start_time kSecondLife{std::chrono::seconds(2)};

/// @brief Orders of one call of Run, by kind.
struct sent_orders {
  std::vector<renew_order> renewals;
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
};

/// @brief Runs a scheduler against workers that state their start time. A test
/// answers the orders itself or lets RunRounds do so.
struct lives_driver : scheduler_driver {
  lives_driver() { Begin(); }

  void List(const std::string& id,
            worker_start_time born,
            std::int64_t millicores) {
    scheduler.WorkerListed(
        {.worker = id,
         .service = "service",
         .address = id,
         .capacity = {.millicores = millicores, .memory_mb = 1000},
         .start_time = born},
        now);
  }
  /// Lists a worker, which reports.
  void Join(const std::string& id, std::int64_t millicores) {
    List(id, kFirstLife, millicores);
    start_times[id] = kFirstLife;
    RunRounds();
  }
  /// Runs the scheduler and answers nothing.
  sent_orders RunUnanswered() {
    AllowOrders(now);
    scheduler.Run(now, kWall);
    sent_orders sent;
    for (const order& any : scheduler.TakeOrders()) {
      if (const auto* renewal = std::get_if<renew_order>(&any)) {
        sent.renewals.push_back(*renewal);
      } else if (const auto* start = std::get_if<start_order>(&any)) {
        sent.starts.push_back(*start);
      } else if (const auto* stop = std::get_if<stop_order>(&any)) {
        sent.stops.push_back(*stop);
      }
    }
    return sent;
  }
  /// Submits a job with one task, and returns the order that starts it.
  start_order SubmitOne() {
    Submit(kJob, {.count = 1, .need = {.millicores = 600}});
    const sent_orders sent = RunUnanswered();
    EXPECT_EQ(sent.starts.size(), 1U);
    return sent.starts.empty() ? start_order() : sent.starts.front();
  }
  void Answer(const start_order& start, order_result result) {
    scheduler.Handle(start_reply{.worker = start.target.worker,
                                 .run = start.run,
                                 .result = result,
                                 .fence = start.target.fence},
                     now);
    if (result == order_result::kDone) {
      starts.push_back(start);
    }
  }
  /// Lets w0 report its ends, which are stored, and returns the renewal that
  /// acknowledges them.
  renew_order ReportEnds() {
    for (const renew_order& renewal : RunUnanswered().renewals) {
      AnswerRenewal(renewal);
    }
    scheduler.TakeRecords(now);
    scheduler.RecordsStored(scheduler.WriteNumber(), now);
    const sent_orders sent = RunUnanswered();
    EXPECT_EQ(sent.renewals.size(), 1U);
    return sent.renewals.empty() ? renew_order() : sent.renewals.front();
  }
  /// Leaves a renewal without an answer.
  void Fail(const renew_order& renewal) {
    scheduler.Handle(renew_reply{.worker = renewal.target.worker,
                                 .renewal_number = renewal.renewal_number,
                                 .fence = renewal.target.fence},
                     now);
  }
  std::size_t RunsOn(const std::string& id) const {
    return scheduler.Workers().at(id).runs.size();
  }
};

inline step_spec Tasks(std::uint32_t count, std::int64_t millicores) {
  return {.count = count, .need = {.millicores = millicores}};
}

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_WORKER_LIVES_DRIVER_FAKE_HPP
