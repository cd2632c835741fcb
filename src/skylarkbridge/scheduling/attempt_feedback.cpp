#include "skylarkbridge/scheduling/attempt_feedback.hpp"

namespace skylarkbridge::scheduling {

namespace {

/// Weight of one answer in the fault rate of a service.
constexpr double kFaultRateWeight = 0.05;
/// From this fault rate on, the faults are attributed to the service and not to
/// its upstreams. It must be well above 0.5, because half of the upstreams may
/// fail.
constexpr double kServiceFaultThreshold = 0.7;

}  // namespace

void attempt_feedback::RecordAttempt(const request_record& record,
                                     const running_attempt& attempt,
                                     const attempt_finished& event,
                                     time_point now,
                                     latency_estimate& latency,
                                     upstream_table& upstreams) {
  const std::chrono::nanoseconds duration = now - attempt.started_at;
  if (event.result != attempt_result::kAnswered) {
    // The daemon itself ends the attempts of finished and cancelled requests,
    // and a stalled attempt has already been counted as a failure. An attempt
    // that reached its deadline within the usual service time is no evidence
    // of a fault.
    const bool deadline_too_tight = now >= record.deadline &&
                                    latency.Usable(now) &&
                                    duration < latency.HighQuantile();
    if (!record.finished && !record.cancelled && !attempt.stalled &&
        !deadline_too_tight) {
      upstreams.ReportFailure(attempt.upstream, now);
    }
    return;
  }
  if (record.service >= fault_rates_.size()) {
    fault_rates_.resize(record.service + 1);
  }
  double& fault_rate = fault_rates_[record.service];
  fault_rate +=
      ((event.upstream_fault ? 1 : 0) - fault_rate) * kFaultRateWeight;
  if (event.upstream_fault) {
    if (fault_rate < kServiceFaultThreshold) {
      upstreams.ReportFailure(attempt.upstream, now);
    }
    return;
  }
  const std::chrono::nanoseconds mean = latency.Mean();
  latency.Add(duration, now);
  if (!attempt.stalled) {
    upstreams.ReportAnswer(attempt.upstream,
                           mean.count() > 0
                               ? static_cast<double>(duration.count()) /
                                     static_cast<double>(mean.count())
                               : 1.0);
  }
}

}  // namespace skylarkbridge::scheduling
