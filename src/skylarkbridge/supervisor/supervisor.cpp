#include "skylarkbridge/supervisor/supervisor.hpp"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <exception>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/supervisor/events.hpp"

namespace skylarkbridge::supervisor {
namespace {

namespace leaf = boost::leaf;

// Exit notices are few: at most one per child and one stop request.
constexpr std::size_t kNoticeCapacity = std::numeric_limits<std::size_t>::max();

// Time that the later siblings of a failed child get to finish their work
// before a rest-for-one restart.
constexpr auto kRestartDrainTime = std::chrono::seconds(2);

std::optional<std::string> RunToEnd(child_spec& spec, stop_signal& stop) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::string>> {
        BOOST_LEAF_CHECK(spec.run(stop));
        return std::optional<std::string>();
      },
      [](const failure& error) { return std::optional(Format(error)); },
      [](const std::exception& error) {
        return std::optional(absl::StrCat("exception: ", error.what()));
      },
      [] { return std::optional<std::string>("unknown error"); });
}

}  // namespace

struct supervisor::child {
  child_spec spec;
  std::unique_ptr<stop_signal> stop;
  posix_thread thread;
  std::size_t generation = 0;
  bool running = false;
};

supervisor::supervisor(std::string name, supervisor_options options)
    : name_(std::move(name)), options_(options), exits_(kNoticeCapacity) {}

supervisor::~supervisor() = default;

void supervisor::Add(child_spec spec) {
  children_.push_back(std::make_unique<child>());
  children_.back()->spec = std::move(spec);
}

supervisor& supervisor::AddSupervisor(std::string name,
                                      supervisor_options options) {
  nested_.push_back(std::make_unique<supervisor>(name, options));
  supervisor* inner = nested_.back().get();
  Add({.name = std::move(name),
       .run = [inner](stop_signal& stop) { return inner->Run(stop); }});
  return *inner;
}

leaf::result<void> supervisor::Run(stop_signal& stop) {
  restart_intensity intensity(options_.limits);
  exits_.Reopen();
  exits_.ReceiveAll(boot_clock::now());
  stop.OnRequest([this](time_point) { exits_.SendUnbounded({}); });

  leaf::result<void> outcome = StartFrom(0);
  while (outcome && !stop.Requested()) {
    for (const exit_notice& notice : exits_.ReceiveAll(std::nullopt)) {
      if (!notice.index || stop.Requested()) {
        continue;
      }
      outcome = HandleExit(notice, intensity);
      if (!outcome) {
        break;
      }
    }
  }
  StopFrom(0, stop.DrainDeadline().value_or(boot_clock::now()));
  return outcome;
}

leaf::result<void> supervisor::Start(std::size_t index) {
  child& started = *children_[index];
  started.stop = std::make_unique<stop_signal>();
  const std::size_t generation = ++started.generation;
  BOOST_LEAF_ASSIGN(
      started.thread,
      posix_thread::Start(started.spec.name, [this, index, generation] {
        child& self = *children_[index];
        std::optional<std::string> error = RunToEnd(self.spec, *self.stop);
        exits_.SendUnbounded({index, generation, std::move(error)});
      }));
  started.running = true;
  LogEvent(kChildStarted,
           {{"supervisor", name_}, {"child", started.spec.name}});
  return {};
}

leaf::result<void> supervisor::StartFrom(std::size_t index) {
  for (std::size_t i = index; i < children_.size(); ++i) {
    BOOST_LEAF_CHECK(Start(i));
  }
  return {};
}

void supervisor::StopFrom(std::size_t index, time_point drain_deadline) {
  for (std::size_t i = children_.size(); i-- > index;) {
    child& stopped = *children_[i];
    if (!stopped.running) {
      continue;
    }
    stopped.stop->Request(drain_deadline);
    stopped.thread.Join();
    stopped.running = false;
    LogEvent(kChildStopped,
             {{"supervisor", name_}, {"child", stopped.spec.name}});
  }
}

leaf::result<void> supervisor::HandleExit(const exit_notice& notice,
                                          restart_intensity& intensity) {
  child& ended = *children_[*notice.index];
  if (notice.generation != ended.generation || !ended.running) {
    return {};
  }
  ended.thread.Join();
  ended.running = false;
  if (!notice.error && ended.spec.policy == restart_policy::kTransient) {
    return {};
  }
  LogEvent(kChildFailed, {{"supervisor", name_},
                          {"child", ended.spec.name},
                          {"error", notice.error.value_or("ended early")}});
  if (!intensity.Allow(boot_clock::now())) {
    LogEvent(kRestartLimitReached,
             {{"supervisor", name_},
              {"child", ended.spec.name},
              {"restarts", absl::StrCat(options_.limits.max_restarts)}});
    return leaf::new_error(
        failure{absl::StrCat("supervisor ", name_),
                absl::StrCat("child ", ended.spec.name,
                             " needs more restarts than the limit of ",
                             options_.limits.max_restarts)});
  }
  return Restart(*notice.index);
}

leaf::result<void> supervisor::Restart(std::size_t index) {
  if (options_.strategy == restart_strategy::kOneForOne) {
    return Start(index);
  }
  StopFrom(index + 1, boot_clock::now() + kRestartDrainTime);
  return StartFrom(index);
}

}  // namespace skylarkbridge::supervisor
