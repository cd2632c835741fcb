#include "skylarkbridge/scheduling/attempt_feedback.hpp"

namespace skylarkbridge::scheduling {

namespace {

/// Weight of one answer in the fault rate of a service.
constexpr double kFaultWeight = 0.05;
/// Above this fault rate the service itself is at fault, and its faults say
/// nothing about single upstreams. Half of the upstreams may fail, so it must
/// be well above one half.
constexpr double kServiceAtFault = 0.7;

}  // namespace

void attempt_feedback::Learn(const request_record& record,
                             const running_attempt& attempt,
                             const attempt_finished& event,
                             time_point now,
                             latency_estimate& latency,
                             upstream_table& upstreams) {
  const std::chrono::nanoseconds taken = now - attempt.started_at;
  if (event.result != attempt_result::kAnswered) {
    // The daemon itself ends the attempts of a request that is finished or
    // cancelled, and a stalled attempt has been counted. An attempt that ran
    // into a tight deadline within the usual service time shows nothing.
    const bool tight =
        now >= record.deadline && latency.Usable(now) && taken < latency.High();
    if (!record.finished && !record.cancelled && !attempt.stalled && !tight) {
      upstreams.Failed(attempt.upstream, now);
    }
    return;
  }
  if (record.service >= fault_rates_.size()) {
    fault_rates_.resize(record.service + 1);
  }
  double& fault_rate = fault_rates_[record.service];
  fault_rate += ((event.upstream_fault ? 1 : 0) - fault_rate) * kFaultWeight;
  if (event.upstream_fault) {
    if (fault_rate < kServiceAtFault) {
      upstreams.Failed(attempt.upstream, now);
    }
    return;
  }
  const std::chrono::nanoseconds mean = latency.Mean();
  latency.Add(taken, now);
  if (!attempt.stalled) {
    upstreams.Answered(attempt.upstream,
                       mean.count() > 0 ? static_cast<double>(taken.count()) /
                                              static_cast<double>(mean.count())
                                        : 1.0);
  }
}

}  // namespace skylarkbridge::scheduling
