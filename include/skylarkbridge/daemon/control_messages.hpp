#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_MESSAGES_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_MESSAGES_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "skylarkbridge/base/one_shot.hpp"
#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_outbox.hpp"
#include "skylarkbridge/entry/control_answers.hpp"
#include "skylarkbridge/entry/request_control.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/wire/peer_message.hpp"
#include "skylarkbridge/wire/vm_list.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

/// @brief Messages that traffic threads send to the control thread.
namespace skylarkbridge::daemon {

template <class Answer>
using reply_to = std::shared_ptr<one_shot<Answer>>;

struct request_message {
  entry::arriving_request request;
  std::shared_ptr<entry::request_reply> reply;
};

struct attempt_message {
  entry::ending_attempt attempt;
  std::shared_ptr<entry::request_reply> reply;
};

struct vm_list_message {
  wire::vm_list list;
};

struct submit_message {
  std::string kind;
  reply_to<entry::submit_answer> reply;
};

struct find_task_message {
  task_id task;
  reply_to<entry::task_answer> reply;
};

struct cancel_task_message {
  task_id task;
  reply_to<entry::submit_answer> reply;
};

struct list_tasks_message {
  std::size_t limit = 0;
  reply_to<entry::task_list_answer> reply;
};

struct publish_message {
  coordination::version_number base = 0;
  std::string text;
  reply_to<entry::publish_answer> reply;
};

struct configuration_query {
  reply_to<entry::configuration_answer> reply;
};

struct status_query {
  reply_to<entry::status_answer> reply;
};

struct drain_message {
  worker_id worker;
  reply_to<bool> reply;
};

/// @brief A command to a worker was answered, or the call failed.
struct worker_message {
  wire::worker_command command;
  std::optional<wire::worker_reply> reply;
};

struct append_message {
  std::uint64_t append = 0;
  coordination::append_result result = coordination::append_result::kUnknown;
};

/// @brief A read of the log has ended; nothing when it failed.
struct page_message {
  coordination::log_stream stream = coordination::log_stream::kTasks;
  std::uint64_t read = 0;
  std::optional<coordination::read_page> page;
};

/// @brief Give up shards, slots and membership, at a graceful stop.
struct leave_message {
  reply_to<bool> reply;
};

/// @brief A message of another entry VM.
struct received_message {
  entry_vm_id from;
  wire::peer_message message;
};

using control_message = std::variant<leave_message,
                                     received_message,
                                     request_message,
                                     attempt_message,
                                     vm_list_message,
                                     submit_message,
                                     find_task_message,
                                     cancel_task_message,
                                     list_tasks_message,
                                     publish_message,
                                     configuration_query,
                                     status_query,
                                     drain_message,
                                     worker_message,
                                     append_message,
                                     page_message>;

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_MESSAGES_HPP
