#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_PORT_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_PORT_HPP

#include <memory>
#include <string>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/daemon/control_messages.hpp"
#include "skylarkbridge/entry/task_control.hpp"

namespace skylarkbridge::daemon {

/// @brief What traffic threads see of the control thread: a bounded mailbox,
/// the configuration in effect, and readiness.
class control_port {
 public:
  /// @param capacity most messages that wait for the control thread.
  explicit control_port(std::size_t capacity) : messages_(capacity) {}

  bool Arrive(entry::arriving_request arrived,
              std::shared_ptr<entry::request_reply> reply) {
    return messages_.TrySend(
        request_message{std::move(arrived), std::move(reply)});
  }

  // Bounded by the attempts that were started, and never refused: a lost
  // message would leave a slot in use.
  bool Finish(entry::ending_attempt finished,
              std::shared_ptr<entry::request_reply> reply) {
    return messages_.SendUnbounded(
        attempt_message{std::move(finished), std::move(reply)});
  }

  entry::submit_answer Submit(const std::string& kind, time_point deadline) {
    const entry::submit_answer full{
        .outcome = entry::submit_answer::result::kNotRun,
        .code = "queue_full",
        .detail = "Too many calls wait on this VM."};
    return Ask<submit_message, entry::submit_answer>({.kind = kind}, full,
                                                     deadline);
  }
  entry::task_answer FindTask(task_id task, time_point deadline) {
    return Ask<find_task_message, entry::task_answer>({.task = task}, {},
                                                      deadline);
  }
  entry::submit_answer CancelTask(task_id task, time_point deadline) {
    return Ask<cancel_task_message, entry::submit_answer>({.task = task}, {},
                                                          deadline);
  }
  entry::task_list_answer ListTasks(std::size_t limit, time_point deadline) {
    return Ask<list_tasks_message, entry::task_list_answer>({.limit = limit},
                                                            {}, deadline);
  }
  entry::publish_answer Publish(coordination::version_number base,
                                const std::string& text,
                                time_point deadline) {
    return Ask<publish_message, entry::publish_answer>(
        {.base = base, .text = text},
        {.outcome = entry::publish_answer::result::kRefused}, deadline);
  }
  entry::configuration_answer Configuration(time_point deadline) {
    return Ask<configuration_query, entry::configuration_answer>({}, {},
                                                                 deadline);
  }
  entry::status_answer Status(time_point deadline) {
    return Ask<status_query, entry::status_answer>({}, {}, deadline);
  }
  bool Drain(worker_id worker, time_point deadline) {
    return Ask<drain_message, bool>({.worker = worker}, false, deadline);
  }

  /// @brief Gives up what this VM holds for others. Returns true once the
  /// messages about it are under way.
  bool Leave(time_point deadline) {
    return Ask<leave_message, bool>({}, false, deadline);
  }

  /// @brief Configuration in effect, or null while there is none.
  std::shared_ptr<const declaration::configuration> Declared() const {
    absl::MutexLock lock(&mutex_);
    return declared_;
  }
  /// @brief Whether the VM can serve: a configuration is in effect and an
  /// upstream is known.
  bool Ready() const {
    absl::MutexLock lock(&mutex_);
    return ready_;
  }
  bool WaitUntilReady(time_point deadline) const {
    absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(
        absl::Condition(&ready_),
        absl::FromChrono(deadline - boot_clock::now()));
  }

  /// @brief For the control thread.
  void SetDeclared(
      std::shared_ptr<const declaration::configuration> configuration) {
    absl::MutexLock lock(&mutex_);
    declared_ = std::move(configuration);
  }
  void SetReady(bool ready) {
    absl::MutexLock lock(&mutex_);
    ready_ = ready;
  }
  mailbox<control_message>& Messages() { return messages_; }

 private:
  /// Sends @p question and waits for the answer. A full mailbox gives
  /// @p refused, a missing answer the default value.
  template <class Question, class Answer>
  Answer Ask(Question question, const Answer& refused, time_point deadline) {
    const auto reply = std::make_shared<one_shot<Answer>>();
    question.reply = reply;
    if (!messages_.TrySend(std::move(question))) {
      return refused;
    }
    return reply->Wait(deadline).value_or(Answer{});
  }

  mailbox<control_message> messages_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const declaration::configuration> declared_
      ABSL_GUARDED_BY(mutex_);
  bool ready_ ABSL_GUARDED_BY(mutex_) = false;
};

static_assert(entry::request_control<control_port>);
static_assert(entry::task_control<control_port>);

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_PORT_HPP
