#ifndef SKYLARKBRIDGE_COORDINATION_TASK_LOG_FAKE_HPP
#define SKYLARKBRIDGE_COORDINATION_TASK_LOG_FAKE_HPP

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/coordination/ballot.hpp"
#include "skylarkbridge/coordination/invariant_checker.hpp"
#include "skylarkbridge/coordination/open_task.hpp"

namespace skylarkbridge::coordination {

enum class record_kind_fake {
  kAccepted,
  kClaimed,
  kCheckpoint,
  kEnded,
  kCancelled
};

struct record_fake {
  /// Writer and its sequence number; a second copy is ignored.
  std::pair<std::uint64_t, std::uint64_t> id;
  record_kind_fake kind = record_kind_fake::kAccepted;
  open_task task;
  std::uint32_t attempt = 0;
  ballot claimant;
  std::string checkpoint;
};

/// @brief Log service that can be down and ignores repeated record ids.
class task_log_fake {
 public:
  explicit task_log_fake(invariant_checker& checker) : checker_(checker) {}

  bool Append(const record_fake& record) {
    if (!up) {
      return false;
    }
    if (ids_.insert(record.id).second) {
      records.push_back(record);
      if (record.kind == record_kind_fake::kEnded) {
        checker_.SubmitterTold(record.task.task);
        ended.insert(record.task.task);
      }
    }
    return true;
  }

  bool up = true;
  std::vector<record_fake> records;
  std::set<task_id> ended;

 private:
  invariant_checker& checker_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> ids_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_TASK_LOG_FAKE_HPP
