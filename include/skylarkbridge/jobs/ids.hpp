#ifndef SKYLARKBRIDGE_JOBS_IDS_HPP
#define SKYLARKBRIDGE_JOBS_IDS_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace skylarkbridge::jobs {

/// @brief Identifier that the caller chose for a job: sixteen hexadecimal
/// digits. Two that differ only in the case of a letter are different.
struct job_id {
  std::uint64_t value = 0;
  /// Bit N is set if the digit of weight 16^N is a capital letter.
  std::uint16_t capitals = 0;

  auto operator<=>(const job_id&) const = default;

  template <class H>
  friend H AbslHashValue(H hash, const job_id& id) {
    return H::combine(std::move(hash), id.value, id.capitals);
  }
};

/// @brief Number of a cell, which is a part of the fleet with its own owner.
using cell_id = std::uint32_t;

/// @brief Number of a claim to the ownership of a cell. It rises with each
/// claim, and workers refuse orders with a lower epoch than the highest one
/// they have seen.
using epoch = std::uint64_t;

/// @brief Number of a run of a task; it rises with each start of the task.
using run_number = std::uint64_t;

/// @brief One task of a job.
struct task_ref {
  job_id job;
  /// Number of the repetition, from zero; zero for a job that runs once.
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const task_ref&) const = default;

  template <class H>
  friend H AbslHashValue(H hash, const task_ref& task) {
    return H::combine(std::move(hash), task.job, task.occurrence, task.step,
                      task.index);
  }
};

/// @brief One run of a task.
struct run_ref {
  task_ref task;
  run_number run = 0;

  auto operator<=>(const run_ref&) const = default;

  template <class H>
  friend H AbslHashValue(H hash, const run_ref& ref) {
    return H::combine(std::move(hash), ref.task, ref.run);
  }
};

/// @brief Formats an identifier as its caller wrote it.
std::string Format(job_id id);

inline std::ostream& operator<<(std::ostream& out, job_id id) {
  return out << Format(id);
}

/// @brief Parses sixteen hexadecimal digits; nullopt for any other text.
std::optional<job_id> ParseJobId(std::string_view text);

/// @brief Formats a task as "JOB.OCCURRENCE.STEP.INDEX".
std::string Format(const task_ref& task);

/// @brief Parses the format of Format(task_ref); nullopt for any other text.
std::optional<task_ref> ParseTaskRef(std::string_view text);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_IDS_HPP
