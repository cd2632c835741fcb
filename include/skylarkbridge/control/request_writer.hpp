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

/// @brief Limits and retry intervals of a request_writer.
struct request_writer_options {
  /// Appends under way at a time.
  std::size_t max_appends = 4;
  std::size_t max_batch_records = 64;
  /// No record is added to a batch that has reached this size.
  std::size_t max_batch_bytes = 1U << 20U;
  /// Requests that wait for the store; further ones are refused.
  std::size_t max_waiting = 512;
  /// Pause before the next append after one has failed.
  std::chrono::milliseconds retry_pause{100};
  /// The store counts as down when appends have failed for this long.
  std::chrono::milliseconds down_after{1000};
  /// While the store is down, one request per interval is admitted to test
  /// whether it is back.
  std::chrono::milliseconds probe_interval{500};
  /// Limit of the keys that MayBeStored remembers; the oldest are dropped
  /// first.
  std::size_t max_uncertain_keys = 4096;
  /// A request is given up this long before its caller stops waiting.
  std::chrono::milliseconds answer_margin{100};
};

/// @brief A caller's submission or cancellation of a job that is not known to
/// be stored yet.
struct pending_request {
  std::uint64_t token = 0;
  jobs::job_id job;
  records::keyed_record record;
  time_point deadline;
  /// The record may be stored: an append of it, by this or an earlier request,
  /// had no answer.
  bool uncertain = false;
  /// The store has rejected an append of this and other records. It is written
  /// alone, which shows whether it is the one that the store does not take.
  bool alone = false;
};

/// @brief A request that was stored or given up.
struct request_outcome {
  pending_request request;
  bool stored = false;
  /// The store does not take the record.
  bool rejected = false;
};

/// @brief Writes callers' requests to the store, several with one append.
///
/// The records are idempotent by the job's id, so an append without an answer
/// is repeated. A request is reported as not run only if its record can't have
/// been stored, neither by its own appends nor by those of an earlier request
/// with the same key.
class request_writer {
 public:
  explicit request_writer(request_writer_options options) : options_(options) {}

  /// @brief Queues a request. Returns false when the queue is full or the store
  /// is down. A request refused in this way was not run, unless MayBeStored
  /// returns true for its record.
  bool Add(pending_request request, time_point now);
  /// @brief Whether an earlier request with the same key was given up after an
  /// append without an answer, so that the record may be stored.
  bool MayBeStored(const records::keyed_record& record) const {
    return uncertain_keys_.contains(record.key);
  }

  /// @brief The append to send now, if one is due. Its reply has to carry
  /// @p number.
  std::optional<append_call> Next(time_point now, std::uint64_t number);
  /// @brief Handles the reply to an append. Returns the requests that were
  /// stored, or were given up because the store is down.
  std::vector<request_outcome> Handle(const append_reply& reply,
                                      time_point now);
  /// @brief Gives up and returns the waiting requests whose deadline has
  /// passed.
  std::vector<request_outcome> Expire(time_point now);
  /// @brief Whether the append is in flight and was sent by this writer.
  bool Owns(std::uint64_t number) const { return in_flight_.contains(number); }

  /// @brief Resets StoreDown; called when the store has answered another call.
  void StoreAnswered();
  /// @brief Whether appends have failed for at least `down_after`.
  bool StoreDown(time_point now) const;
  std::size_t Waiting() const { return waiting_.size(); }
  std::optional<time_point> NextDeadline() const;
  bool Idle() const { return waiting_.empty() && in_flight_.empty(); }

 private:
  /// Moves the requests of the next append from waiting_.
  std::vector<pending_request> TakeBatch();
  /// Handles an append that the store never takes.
  std::vector<request_outcome> HandleRejected(
      std::vector<pending_request> requests);
  /// Remembers the key of the request if it is uncertain, and returns the
  /// outcome with `stored` unset.
  request_outcome GiveUp(pending_request request);

  const request_writer_options options_;
  std::deque<pending_request> waiting_;
  std::map<std::uint64_t, std::vector<pending_request>> in_flight_;
  /// Keys of given-up records whose append had no answer.
  std::set<std::string> uncertain_keys_;
  std::deque<std::string> uncertain_keys_by_age_;
  std::optional<time_point> failing_since_;
  time_point next_append_;
  time_point next_probe_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_REQUEST_WRITER_HPP
