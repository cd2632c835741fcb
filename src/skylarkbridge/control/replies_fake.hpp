#ifndef SKYLARKBRIDGE_CONTROL_REPLIES_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_REPLIES_FAKE_HPP

#include <cstddef>
#include <vector>

#include "skylarkbridge/control/ports.hpp"

/// @brief Replies that a VM gets in place of an answer, and the size of those
/// that it gets.
namespace skylarkbridge::control {

/// The reply that is delivered at the deadline of an order without an answer,
/// or when the worker has crashed.
inline jobs::renew_reply NoAnswerReply(const jobs::renew_order& order) {
  return {.worker = order.target.worker,
          .renewal_number = order.renewal_number,
          .fence = order.target.fence};
}
inline jobs::start_reply NoAnswerReply(const jobs::start_order& order) {
  return {.worker = order.target.worker,
          .run = order.run,
          .fence = order.target.fence};
}
inline jobs::stop_reply NoAnswerReply(const jobs::stop_order& order) {
  return {.worker = order.target.worker,
          .run = order.run,
          .fence = order.target.fence};
}
/// The reply to an order for another worker than the one that listens at its
/// address.
template <class Order>
auto WrongWorkerReply(const Order& order) {
  auto reply = NoAnswerReply(order);
  reply.result = jobs::order_result::kWrongWorker;
  return reply;
}
/// The reply to an order whose connection is refused.
template <class Order>
auto RefusedConnectionReply(const Order& order) {
  auto reply = NoAnswerReply(order);
  reply.result = jobs::order_result::kNotSent;
  return reply;
}
/// Replaces a reply that is lost at the VM.
inline platform_reply WithoutAnswer(const platform_reply& reply) {
  if (const auto* const append = std::get_if<append_reply>(&reply)) {
    return append_reply{.target = append->target, .number = append->number};
  }
  if (const auto* const read = std::get_if<read_reply>(&reply)) {
    return read_reply{.source = read->source,
                      .number = read->number,
                      .outcome = read_failed{}};
  }
  if (const auto* const renewal = std::get_if<jobs::renew_reply>(&reply)) {
    return jobs::renew_reply{.worker = renewal->worker,
                             .renewal_number = renewal->renewal_number,
                             .fence = renewal->fence};
  }
  if (const auto* const start = std::get_if<jobs::start_reply>(&reply)) {
    return jobs::start_reply{
        .worker = start->worker, .run = start->run, .fence = start->fence};
  }
  if (const auto* const stop = std::get_if<jobs::stop_reply>(&reply)) {
    return jobs::stop_reply{
        .worker = stop->worker, .run = stop->run, .fence = stop->fence};
  }
  return reply;
}

/// The records in a reply of the store.
inline const std::vector<jobs::topic_record>* RecordsOf(
    const platform_reply& reply) {
  const auto* const read = std::get_if<read_reply>(&reply);
  if (read == nullptr) {
    return nullptr;
  }
  if (const auto* const tail = std::get_if<jobs::tail_page>(&read->outcome)) {
    return &tail->records;
  }
  const auto* const page = std::get_if<jobs::snapshot_page>(&read->outcome);
  return page == nullptr ? nullptr : &page->records;
}

/// The runs that a worker's report lists.
inline std::size_t RunsOf(const platform_reply& reply) {
  const auto* const renewal = std::get_if<jobs::renew_reply>(&reply);
  return renewal == nullptr || !renewal->report
             ? 0
             : renewal->report->running.size() + renewal->report->ended.size();
}

/// Size of a reply's body on the platform's connections, about.
inline std::size_t BytesOf(const platform_reply& reply) {
  constexpr std::size_t kOtherBytes = 70;
  constexpr std::size_t kRunBytes = 61;
  constexpr std::size_t kRecordBytes = 5;
  std::size_t bytes = kOtherBytes + kRunBytes * RunsOf(reply);
  if (const auto* const page = RecordsOf(reply)) {
    for (const jobs::topic_record& record : *page) {
      bytes += kRecordBytes + record.key.size() +
               (record.value ? record.value->size() : 0);
    }
  }
  return bytes;
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_REPLIES_FAKE_HPP
