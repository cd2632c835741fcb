#include "skylarkbridge/jobs/worker_cells.hpp"

namespace skylarkbridge::jobs {

void worker_cells::Set(const worker_entry& entry, cell_id cell) {
  if (cell >= millicores_.size()) {
    millicores_.resize(cell + 1, 0);
  }
  listed_worker& worker =
      workers_.try_emplace(entry.worker, listed_worker{.cell = cell})
          .first->second;
  SetMillicores(worker, 0);
  worker.cell = cell;
  SetMillicores(worker, entry.draining ? 0 : entry.capacity.millicores);
}

void worker_cells::Unlist(const std::string& worker) {
  if (const auto known = workers_.find(worker); known != workers_.end()) {
    SetMillicores(known->second, 0);
  }
}

void worker_cells::UnlistMissing(const std::set<std::string>& listed) {
  for (auto& [id, worker] : workers_) {
    if (!listed.contains(id)) {
      SetMillicores(worker, 0);
    }
  }
}

std::optional<cell_id> worker_cells::Find(const std::string& worker) const {
  const auto known = workers_.find(worker);
  return known == workers_.end() ? std::nullopt
                                 : std::optional(known->second.cell);
}

bool worker_cells::Counts(const std::string& worker) const {
  const auto known = workers_.find(worker);
  return known != workers_.end() && known->second.millicores > 0;
}

std::int64_t worker_cells::Millicores(cell_id cell) const {
  return cell < millicores_.size() ? millicores_[cell] : 0;
}

void worker_cells::SetMillicores(listed_worker& worker,
                                 std::int64_t millicores) {
  millicores_[worker.cell] += millicores - worker.millicores;
  worker.millicores = millicores;
}

}  // namespace skylarkbridge::jobs
