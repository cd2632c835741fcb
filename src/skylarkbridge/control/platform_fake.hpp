#ifndef SKYLARKBRIDGE_CONTROL_PLATFORM_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_PLATFORM_FAKE_HPP

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/control/job_body_fake.hpp"
#include "skylarkbridge/control/ports.hpp"

namespace skylarkbridge::control {

class virtual_fleet;

/// @brief Gives one VM access to the store and the workers of the virtual
/// fleet.
class platform_fake {
 public:
  platform_fake(virtual_fleet& fleet, std::size_t vm, std::uint64_t incarnation)
      : fleet_(fleet), vm_(vm), incarnation_(incarnation) {}

  void Append(append_call call, time_point deadline);
  void Read(const topic& source,
            const jobs::read_request& call,
            time_point deadline);
  void ReadMachines(const jobs::machine_page_request& call,
                    time_point deadline);
  void SendOrder(const jobs::order& order, time_point deadline);
  /// @brief The calls themselves, once the traffic thread sends them.
  void AppendNow(append_call call, time_point deadline);
  void ReadNow(const topic& source,
               const jobs::read_request& call,
               time_point deadline);
  void ReadMachinesNow(const jobs::machine_page_request& call,
                       time_point deadline);
  void SendOrderNow(const jobs::order& order, time_point deadline);

  /// @brief Decodes "VERSION MAX_ATTEMPTS" into a configuration with the queue
  /// "batch" and the more urgent queue "serving", or "VERSION MAX_ATTEMPTS
  /// without=QUEUE" into one that lacks one of them.
  static boost::leaf::result<jobs::fleet_configuration> DecodeConfiguration(
      std::string_view bytes) {
    std::istringstream text{std::string(bytes)};
    jobs::fleet_configuration configuration;
    jobs::queue_configuration queue{.name = "batch",
                                    .host = "host",
                                    .path_prefix = "/batch/",
                                    .service = "service",
                                    .priority = 1};
    std::uint32_t max_attempts = 0;
    text >> configuration.version >> max_attempts;
    queue.max_attempts = max_attempts;
    configuration.queues.push_back(queue);
    queue.name = "serving";
    queue.path_prefix = "/serving/";
    queue.priority = 0;
    configuration.queues.push_back(queue);
    std::erase_if(configuration.queues, [bytes](const auto& each) {
      const auto settings = JobSettings(bytes);
      const auto removed = settings.find("without");
      return removed != settings.end() && removed->second == each.name;
    });
    return configuration;
  }
  /// @brief Decodes "MILLICORES BORN", or "MILLICORES BORN MILLISECONDS" of a
  /// worker that drains and leaves after that time. BORN is its start time.
  /// Each worker has a rack of its own, unless the setting "rack" names one,
  /// and listens at its id, unless the setting "address" names another place.
  /// Fails for a text that begins with anything else.
  static boost::leaf::result<jobs::worker_entry> DecodeWorker(
      const std::string& worker,
      std::string_view bytes) {
    jobs::worker_entry entry{
        .worker = worker, .service = "service", .address = worker};
    entry.rack = worker;
    std::istringstream text{std::string(bytes)};
    std::int64_t born = 0;
    if (!(text >> entry.capacity.millicores >> born)) {
      return boost::leaf::new_error(failure{"worker", "is not a number"});
    }
    const std::map<std::string, std::string> settings = JobSettings(bytes);
    if (const auto rack = settings.find("rack"); rack != settings.end()) {
      entry.rack = rack->second;
    }
    if (const auto address = settings.find("address");
        address != settings.end()) {
      entry.address = address->second;
    }
    entry.start_time = jobs::worker_start_time(std::chrono::milliseconds(born));
    if (std::int64_t time_left = 0; text >> time_left) {
      entry.draining = true;
      entry.minimum_time_left = std::chrono::milliseconds(time_left);
    }
    return entry;
  }
  /// @brief Decodes "MILLICORES MILLISECONDS FAILURES COUNT COUNT ...
  /// NAME=VALUE NAME=VALUE ...".
  ///
  /// Each COUNT is a step with that many tasks, which depends on the step
  /// before it. Negative MILLICORES stand for a long-running job, which should
  /// have one step. With the setting lasting_from=STEP the steps from that
  /// number on are long-running. With repeat=COUNT the steps run that many
  /// times, all of which are due. FAILURES: see worker_fake::ParseRunState. The
  /// settings after the counts apply to all steps: max_per_worker, image, and
  /// target, the latency target in milliseconds. For queue see QueueOf, for
  /// crash and crashers worker_fake::ParseRunState.
  static boost::leaf::result<jobs::job_spec> DecodeJob(std::string_view body) {
    jobs::job_spec spec{.payload = std::string(body)};
    const std::map<std::string, std::string> settings = JobSettings(body);
    std::istringstream text{spec.payload};
    std::int64_t millicores = 0;
    std::int64_t duration = 0;
    std::int64_t failures = 0;
    text >> millicores >> duration >> failures;
    for (std::uint32_t count = 0; text >> count;) {
      jobs::step_spec step{.count = count,
                           .need = {.millicores = std::abs(millicores)},
                           .estimate = std::chrono::milliseconds(duration),
                           .long_running = IsLongRunning(
                               millicores, settings,
                               static_cast<std::uint32_t>(spec.steps.size()))};
      ApplySettings(settings, step);
      if (!spec.steps.empty()) {
        step.depends_on = {static_cast<std::uint32_t>(spec.steps.size() - 1)};
      }
      spec.steps.push_back(step);
    }
    if (const auto repeat = settings.find("repeat"); repeat != settings.end()) {
      spec.repeat_count =
          static_cast<std::uint32_t>(std::stoul(repeat->second));
      spec.interval = std::chrono::milliseconds(200);
    }
    return spec;
  }
  /// @brief Returns the value of "queue" in the body of a job; "batch" without
  /// it.
  static std::string QueueOf(std::string_view body) {
    const std::map<std::string, std::string> settings = JobSettings(body);
    const auto queue = settings.find("queue");
    return queue == settings.end() ? "batch" : queue->second;
  }
  static bool IsConfiguration(const std::string& key) {
    return key == "config";
  }

 private:
  static void ApplySettings(const std::map<std::string, std::string>& settings,
                            jobs::step_spec& step) {
    for (const auto& [name, value] : settings) {
      if (name == "max_per_worker") {
        step.max_per_worker = static_cast<std::uint32_t>(std::stoul(value));
      } else if (name == "image") {
        step.image = value;
      } else if (name == "target") {
        step.latency_target = std::chrono::milliseconds(std::stoll(value));
      }
    }
  }

  /// Delay of an order whose answer is lost. Longer than the timeouts of the
  /// orders to a worker, so that the order is executed after the VM has been
  /// told that there is no answer.
  static constexpr std::chrono::milliseconds kLostAnswerOrderDelay{2500};

  template <class Order>
  void SendToWorker(const Order& order, time_point deadline);

  virtual_fleet& fleet_;
  const std::size_t vm_;
  const std::uint64_t incarnation_;
};

/// @brief Records the answers of one VM to its callers.
class callers_fake {
 public:
  explicit callers_fake(virtual_fleet& fleet) : fleet_(fleet) {}
  void Answer(std::uint64_t token, const caller_answer& answer);

 private:
  virtual_fleet& fleet_;
};

/// @brief Orders to workers that get no answer and are carried out later, by
/// whatever life of the worker is up then.
struct late_orders {
  /// Fraction of the orders, from 0 to 1.
  double share = 0;
  std::chrono::milliseconds min_delay{2000};
  std::chrono::milliseconds max_delay{12'000};
  /// Whether only start orders are late.
  bool starts_only = false;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_PLATFORM_FAKE_HPP
