#ifndef SKYLARKBRIDGE_CONTROL_REQUEST_WRITER_HPP
#define SKYLARKBRIDGE_CONTROL_REQUEST_WRITER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/ports.hpp"

namespace skylarkbridge::control {

struct request_writer_options {
  /// Appends under way at a time.
  std::size_t max_appends = 4;
  std::size_t max_batch_records = 64;
  std::size_t max_batch_bytes = 1U << 20U;
  /// Requests that wait for the store; further ones are refused.
  std::size_t max_waiting = 512;
  /// Pause after the store refused an append.
  std::chrono::milliseconds retry{100};
  /// The store counts as down when appends have failed for so long.
  std::chrono::milliseconds down_after{1000};
  /// Between two requests that try a store that is down.
  std::chrono::milliseconds probe_interval{500};
  /// Records without an answer that are remembered; the oldest are forgotten.
  std::size_t max_uncertain_keys = 4096;
  /// A request is given up this long before its caller stops waiting.
  std::chrono::milliseconds answer_margin{100};
};

/// @brief One acceptance or cancel of a caller, until it is durable.
struct pending_request {
  std::uint64_t token = 0;
  jobs::job_id job;
  records::keyed_record record;
  time_point deadline;
  /// An append with it had no answer, so it may be stored.
  bool uncertain = false;
};

/// @brief An item that is settled.
struct request_outcome {
  pending_request item;
  bool stored = false;
};

/// @brief Writes what callers hand in, several requests with one append.
///
/// The records are idempotent by the job's id, so an append without an answer
/// is repeated. Only a request of which no append can have been carried out,
/// nor one of an earlier request with the same record, is reported as not run.
class request_writer {
 public:
  explicit request_writer(request_writer_options options) : options_(options) {}

  /// @brief Returns false when the store can't take the request now. It has
  /// not run then, unless MayBeStored says otherwise.
  bool Add(pending_request item, time_point now);
  /// @brief Whether an earlier request with the same record was given up while
  /// its append had no answer, so the record may be stored.
  bool MayBeStored(const records::keyed_record& record) const {
    return doubts_.contains(record.key);
  }

  /// @brief The append to send now, if one is due.
  std::optional<append_call> Next(time_point now, std::uint64_t number);
  std::vector<request_outcome> Handle(const append_reply& reply,
                                      time_point now);
  /// @brief Items whose time is over.
  std::vector<request_outcome> Expire(time_point now);
  /// @brief Whether the append is one of this intake.
  bool Owns(std::uint64_t number) const { return under_way_.contains(number); }

  /// @brief Another call to the store was answered.
  void StoreAnswered();
  bool StoreDown(time_point now) const;
  std::size_t Waiting() const { return waiting_.size(); }
  std::optional<time_point> NextDeadline() const;
  bool Idle() const { return waiting_.empty() && under_way_.empty(); }

 private:
  /// Settles an item that is not known to be stored.
  request_outcome GiveUp(pending_request item);

  const request_writer_options options_;
  std::deque<pending_request> waiting_;
  std::map<std::uint64_t, std::vector<pending_request>> under_way_;
  /// Keys of records that were given up without an answer.
  std::set<std::string> doubts_;
  std::deque<std::string> doubts_by_age_;
  std::optional<time_point> failing_since_;
  time_point due_;
  time_point next_probe_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_REQUEST_WRITER_HPP
