#ifndef SKYLARKBRIDGE_COORDINATION_INVARIANT_CHECKER_HPP
#define SKYLARKBRIDGE_COORDINATION_INVARIANT_CHECKER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/owner_events.hpp"

namespace skylarkbridge::coordination {

/// @brief Room of a worker, or what one piece of work takes of it.
struct worker_room {
  resources machine;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
};

/// @brief What a caller was told of a request.
enum class told_outcome { kDone, kNotRun, kUnknown };

struct invariant_limits {
  /// Invariant 7: time until a leaving upstream gets no new work.
  std::chrono::milliseconds leaving = std::chrono::seconds(3);
  /// Invariant 9: time until an accepted configuration is in force.
  std::chrono::milliseconds configuration = std::chrono::seconds(19);
};

/// @brief Checks the nine invariants of docs/design.md against what workers
/// really ran and what callers and submitters were told.
///
/// All times are of one virtual clock. Each violation is reported once, as
/// "invariant N: text".
class invariant_checker {
 public:
  explicit invariant_checker(invariant_limits limits = {}) : limits_(limits) {}

  // What workers did.
  void WorkerAdded(worker_id worker, const worker_room& room);
  /// @brief The worker died; everything on it ended.
  void WorkerDied(worker_id worker);
  void UpstreamLeaving(worker_id worker, time_point now);

  struct task_start {
    task_id task;
    worker_id worker;
    std::uint32_t attempt = 0;
    bool idempotent = false;
    /// Checkpoint from which the attempt resumed.
    std::optional<std::string> checkpoint;
    worker_room takes;
  };
  void TaskStarted(const task_start& start, time_point now);
  /// @param checkpoint set when the attempt stopped at a checkpoint.
  void TaskEnded(task_id task,
                 worker_id worker,
                 attempt_end end,
                 std::optional<std::string> checkpoint = std::nullopt);

  struct request_start {
    request_id request;
    worker_id worker;
    /// Requests with the same key are one piece of work.
    std::string key;
    bool idempotent = false;
    worker_room takes;
  };
  void RequestStarted(const request_start& start, time_point now);
  /// @param answer what the upstream answered; none when it was cut off.
  void RequestEnded(request_id request,
                    worker_id worker,
                    std::optional<std::string> answer);

  // What callers and submitters asked for and were told.
  /// @brief A caller sent a request with a key; empty when it has none.
  void CallerAsked(request_id request, std::string key);
  /// @param answer the body passed on, for kDone.
  void CallerTold(request_id request,
                  told_outcome outcome,
                  std::string_view answer = {});
  /// @brief The submitter was told that the task ended.
  void SubmitterTold(task_id task);

  // Stops and configuration.
  /// @brief A planned stop of a VM interrupted a request in progress.
  void PlannedStopInterrupted(entry_vm_id vm, request_id request);
  void ConfigurationAccepted(std::uint64_t version, time_point now);
  void ConfigurationInForce(entry_vm_id vm,
                            std::uint64_t version,
                            time_point now);
  /// @brief The VM is not expected to follow the configuration: it died or is
  /// cut off from every source of it.
  void VmExcused(entry_vm_id vm);

  /// @brief Checks what depends on the passage of time.
  void CheckTime(time_point now);
  /// @brief Checks at the end of a run, after all faults have healed, that
  /// evicted work resumed and accepted tasks ended.
  void CheckSettled();

  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  struct worker_entry {
    worker_room room;
    worker_room used;
    std::optional<time_point> leaving_since;
  };
  struct task_entry {
    bool idempotent = false;
    std::set<worker_id> running;
    std::map<worker_id, worker_room> takes;
    std::uint32_t starts = 0;
    bool told = false;
    bool evicted = false;
    /// Checkpoints from which an attempt may resume, each once.
    std::multiset<std::string> open_checkpoints;
  };
  struct request_entry {
    std::string key;
    std::map<worker_id, worker_room> running;
    bool started = false;
    std::set<std::string> answers;
    std::optional<told_outcome> told;
  };

  void Violate(int invariant, const std::string& text);
  void Take(worker_id worker, const worker_room& takes, time_point now);
  void Free(worker_id worker, const worker_room& takes);

  invariant_limits limits_;
  std::map<worker_id, worker_entry> workers_;
  std::map<task_id, task_entry> tasks_;
  std::map<request_id, request_entry> requests_;
  std::map<std::string, std::uint32_t> key_starts_;
  std::map<std::uint64_t, time_point> accepted_;
  std::map<entry_vm_id, std::uint64_t> in_force_;
  std::set<std::string> reported_;
  std::vector<std::string> violations_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_INVARIANT_CHECKER_HPP
