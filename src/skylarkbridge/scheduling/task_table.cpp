#include "skylarkbridge/scheduling/task_table.hpp"

namespace skylarkbridge::scheduling {

task_index task_table::Add(task_id id) {
  task_index index = 0;
  if (free_.empty()) {
    index = static_cast<task_index>(entries_.size());
    entries_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
    entries_[index] = {};
  }
  entries_[index].id = id;
  by_id_.emplace(id, index);
  return index;
}

void task_table::Remove(task_index index) {
  by_id_.erase(entries_[index].id);
  entries_[index] = {};
  free_.push_back(index);
}

task_index task_table::Find(task_id id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? kNone : found->second;
}

void task_table::PushBack(task_list& list, task_index index) {
  task_entry& entry = entries_[index];
  entry.previous = list.tail;
  entry.next = kNone;
  (list.tail == kNone ? list.head : entries_[list.tail].next) = index;
  list.tail = index;
  ++list.size;
}

void task_table::PushFront(task_list& list, task_index index) {
  task_entry& entry = entries_[index];
  entry.previous = kNone;
  entry.next = list.head;
  (list.head == kNone ? list.tail : entries_[list.head].previous) = index;
  list.head = index;
  ++list.size;
}

void task_table::Unlink(task_list& list, task_index index) {
  task_entry& entry = entries_[index];
  (entry.previous == kNone ? list.head : entries_[entry.previous].next) =
      entry.next;
  (entry.next == kNone ? list.tail : entries_[entry.next].previous) =
      entry.previous;
  entry.previous = kNone;
  entry.next = kNone;
  --list.size;
}

void ended_tasks::Add(task_id id, time_point expiry) {
  by_id_.insert_or_assign(id, expiry);
  order_.emplace_back(expiry, id);
  if (order_.size() > kMaxIds) {
    Expire(order_.front().first);
  }
}

void ended_tasks::Expire(time_point now) {
  while (!order_.empty() && order_.front().first <= now) {
    const auto found = by_id_.find(order_.front().second);
    if (found != by_id_.end() && found->second <= now) {
      by_id_.erase(found);
    }
    order_.pop_front();
  }
}

}  // namespace skylarkbridge::scheduling
