#ifndef SKYLARKBRIDGE_CONTROL_PORTS_HPP
#define SKYLARKBRIDGE_CONTROL_PORTS_HPP

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/fleet_configuration.hpp"
#include "skylarkbridge/jobs/fleet_map.hpp"
#include "skylarkbridge/jobs/job_registry.hpp"
#include "skylarkbridge/jobs/machine_list_reader.hpp"
#include "skylarkbridge/jobs/orders.hpp"
#include "skylarkbridge/jobs/topic_reader.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::control {

/// @brief Kinds of topics in the store.
enum class topic_kind {
  kConfiguration,
  kWorkers,
  /// The division of the fleet into cells.
  kFleetMap,
  /// The log of one cell: its jobs and its ownership.
  kJobs,
};

/// @brief One topic of the store.
struct topic {
  topic_kind kind = topic_kind::kJobs;
  /// The cell whose log this is; only used with kJobs.
  jobs::cell_id cell = 0;

  auto operator<=>(const topic&) const = default;
};

/// @brief Epoch and sequence number of an owner's write. The store uses them to
/// refuse the writes of an earlier owner and to store a repeated write only
/// once.
struct sequenced_write {
  jobs::epoch epoch = 0;
  std::uint64_t sequence = 0;
};

/// @brief Appends records to a topic, all or none.
struct append_call {
  topic target;
  /// The reply carries the same number.
  std::uint64_t number = 0;
  /// Set for claims and for the writes of an owner.
  std::optional<sequenced_write> sequenced;
  /// The store appends only if the log ends at this offset.
  std::optional<std::uint64_t> expected_end;
  std::vector<records::keyed_record> batch;
};

/// @brief Result of a call to the store.
enum class store_result {
  kDone,
  /// The store did nothing: it is overloaded or down.
  kRefused,
  /// The store did nothing, and never takes these records: one is too large.
  kRejected,
  /// The log holds a write of a higher epoch.
  kFenced,
  /// The log does not end at the expected offset.
  kEndMoved,
  /// The sequence number does not follow the last one of the epoch.
  kOutOfSequence,
  /// The call was not sent.
  kNotSent,
  /// The records may be stored already, or may still be stored later.
  kNoAnswer,
};

/// @brief The reply to the append with the same number.
struct append_reply {
  topic target;
  std::uint64_t number = 0;
  store_result result = store_result::kNoAnswer;
  /// Offset of the first record of the batch; only set with kDone.
  std::uint64_t offset = 0;
};

/// @brief The store no longer holds the records that a read asked for.
struct history_trimmed {};
/// @brief A read failed.
struct read_failed {
  store_result result = store_result::kNoAnswer;
};

/// @brief The reply to the read with the same number.
struct read_reply {
  topic source;
  std::uint64_t number = 0;
  std::variant<jobs::snapshot_page,
               jobs::tail_page,
               history_trimmed,
               read_failed>
      outcome;
};

/// @brief The reply to the request of a page of the list of machines with the
/// same number.
struct machine_page_reply {
  std::uint64_t number = 0;
  /// Empty when the platform gave none that can be used.
  std::optional<jobs::machine_page> page;
};

/// @brief Any reply of the platform to an earlier call.
using platform_reply = std::variant<append_reply,
                                    read_reply,
                                    machine_page_reply,
                                    jobs::renew_reply,
                                    jobs::start_reply,
                                    jobs::stop_reply,
                                    jobs::pace_reply,
                                    jobs::permit_reply>;

/// @brief Access to the store, the workers and the list of machines, as the
/// control thread uses it. Append, Read, ReadMachines and SendOrder return at
/// once; each is followed by exactly one platform_reply, no later than its
/// deadline.
template <class T>
concept fleet_platform = requires(T& platform,
                                  append_call append,
                                  topic source,
                                  const jobs::read_request& read,
                                  const jobs::machine_page_request& page,
                                  const jobs::order& order,
                                  const std::string& key,
                                  std::string_view bytes,
                                  time_point deadline) {
  platform.Append(std::move(append), deadline);
  platform.Read(source, read, deadline);
  platform.ReadMachines(page, deadline);
  platform.SendOrder(order, deadline);
  {
    T::DecodeConfiguration(bytes)
    } -> std::same_as<boost::leaf::result<jobs::fleet_configuration>>;
  {
    T::DecodeWorker(key, bytes)
    } -> std::same_as<boost::leaf::result<jobs::worker_entry>>;
  { T::DecodeJob(bytes) } -> std::same_as<boost::leaf::result<jobs::job_spec>>;
  { T::IsConfiguration(key) } -> std::same_as<bool>;
};

enum class caller_method { kSubmit, kQuery, kCancel, kOther };

/// @brief A request of a caller.
struct caller_request {
  /// Identifies the request in the answer.
  std::uint64_t token = 0;
  caller_method method = caller_method::kOther;
  std::string host;
  std::string path;
  std::string body;
  /// When the caller stops waiting.
  time_point deadline;
};

/// @brief Kinds of answers to callers.
enum class answer_kind {
  kAccepted,
  kState,
  kPending,
  kCancelled,
  kNoQueue,
  kNoJob,
  kInvalid,
  /// The request was not run and never will be.
  kNotRun,
  /// The request may have been stored; the caller should repeat it.
  kUncertain,
};

/// @brief The answer to a caller's request.
struct caller_answer {
  answer_kind kind = answer_kind::kNotRun;
  /// Only set with kState.
  jobs::reported_state state = jobs::reported_state::kQueued;
  /// Number of pending jobs of a queue; only set with kPending.
  std::size_t pending = 0;
  std::optional<std::chrono::milliseconds> retry_after;
  /// Explains the answer to the caller and in the log.
  std::string reason;
};

/// @brief Port through which the control thread answers callers.
template <class T>
concept caller_port = requires(T& callers,
                               std::uint64_t token,
                               caller_answer answer) {
  callers.Answer(token, std::move(answer));
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_PORTS_HPP
