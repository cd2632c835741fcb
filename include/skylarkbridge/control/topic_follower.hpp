#ifndef SKYLARKBRIDGE_CONTROL_TOPIC_FOLLOWER_HPP
#define SKYLARKBRIDGE_CONTROL_TOPIC_FOLLOWER_HPP

#include <chrono>
#include <optional>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/control_metrics.hpp"
#include "skylarkbridge/control/control_options.hpp"
#include "skylarkbridge/control/ports.hpp"
#include "skylarkbridge/jobs/topic_reader.hpp"

namespace skylarkbridge::control {

/// @brief Follows one topic of the store: sends reads, handles their replies,
/// and logs when calls to the topic begin to fail and when they succeed again.
class topic_follower {
 public:
  topic_follower(topic source,
                 jobs::topic_reader_options reader_options,
                 const control_options& options)
      : source_(source),
        reader_(reader_options),
        read_timeout_(source.kind == topic_kind::kConfiguration
                          ? options.configuration_read_timeout
                          : options.read_timeout),
        snapshot_timeout_(options.snapshot_timeout) {}

  /// @brief Sends the next read, if one is due.
  template <fleet_platform Platform>
  void Send(Platform& platform, time_point now) {
    Send(platform, reader_.Next(now), now);
  }
  /// @brief Reads the tail at once, even while another read waits for a record.
  template <fleet_platform Platform>
  void Refresh(Platform& platform, time_point now) {
    Send(platform, reader_.Refresh(now), now);
  }
  /// @brief Handles the reply to a read and returns its records; empty when the
  /// read failed.
  std::optional<jobs::reader_update> HandleReply(read_reply reply,
                                                 time_point now,
                                                 control_metrics& metrics);
  /// @brief Tracks whether calls to the topic fail, and emits store_lost or
  /// store_regained when this changes. @p result alone doesn't tell: a fenced
  /// append, for example, is no failure of the store.
  void RecordStoreResult(store_result result, bool failed);
  /// @brief Returns how long ago the topic was read to its end, and logs
  /// reads_behind when that is kMaxDelay more than between regular reads. Call
  /// it at regular intervals while the topic is followed.
  std::chrono::milliseconds ReportAge(time_point now);
  /// @brief The topic is not followed at present; its age starts at zero with
  /// the next ReportAge.
  void PauseReports() { reported_since_.reset(); }

  jobs::topic_reader& Reader() { return reader_; }
  const jobs::topic_reader& Reader() const { return reader_; }

 private:
  /// Delay of the reads that is logged.
  static constexpr std::chrono::milliseconds kMaxDelay{1000};
  /// Interval between two of these events.
  static constexpr std::chrono::milliseconds kReportInterval{1000};
  static constexpr int kFailedReadFactor = 2;

  template <fleet_platform Platform>
  void Send(Platform& platform,
            const std::optional<jobs::read_request>& call,
            time_point now) {
    if (call) {
      platform.Read(source_, *call,
                    call->snapshot ? now + snapshot_timeout_
                                   : now + call->tail->wait + TailTimeout());
    }
  }
  /// Longer after a failed read: on a congested link the answer is late but
  /// does arrive, and a shorter wait would never see it.
  std::chrono::milliseconds TailTimeout() const {
    return failed_reads_ > 0 ? kFailedReadFactor * read_timeout_
                             : read_timeout_;
  }

  const topic source_;
  jobs::topic_reader reader_;
  const std::chrono::milliseconds read_timeout_;
  const std::chrono::milliseconds snapshot_timeout_;
  bool store_lost_ = false;
  /// Failed reads since the topic was last read to its end.
  int failed_reads_ = 0;
  /// Since when ReportAge has been called; empty while reports are paused.
  std::optional<time_point> reported_since_;
  time_point next_report_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_TOPIC_FOLLOWER_HPP
