#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

void fleet_scheduler::BeginReturns(const returned_tasks& record) {
  returns_.Begin(record);
  for (const returned_task& returned : record.tasks) {
    jobs_.ApplyReturn(returned);
  }
}

void fleet_scheduler::ApplyReturns(job_id job) {
  for (const returned_task& returned : returns_.Tasks()) {
    if (returned.task.job == job) {
      jobs_.ApplyReturn(returned);
    }
  }
}

void fleet_scheduler::ReturnTask(const task_ref& task, std::string detail) {
  const returned_task returned = jobs_.Return(task, epoch_);
  returns_.Add(returned);
  AddNote(scheduling_event::kTaskReturned, {task, returned.next_run - 1}, "",
          std::move(detail));
}

void fleet_scheduler::ReturnTasksToGiveUp() {
  for (const task_ref& task : jobs_.TasksToGiveUp()) {
    if (!returns_.Full()) {
      ReturnTask(task, "too many crashes");
    }
  }
}

void fleet_scheduler::TaskReturned(cell_id from,
                                   const returned_task& returned,
                                   time_point now) {
  if (!active_ || !jobs_.TakeBack(from, returned, now)) {
    return;
  }
  AddNote(scheduling_event::kTaskTakenBack,
          {returned.task, returned.next_run - 1}, "",
          absl::StrCat("cell ", from));
  RequestStops(jobs_.GiveUpIfCrashing(returned.task), true);
  if (jobs_.Find(returned.task.job) == nullptr) {
    AddNote(scheduling_event::kTaskGivenUp,
            {returned.task, returned.next_run - 1}, "");
  }
  placement_pending_ = true;
}

}  // namespace skylarkbridge::jobs
