#include "skylarkbridge/gateway/peer_link.hpp"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/gateway/peer_events.hpp"
#include "skylarkbridge/wire/frame.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"
#include "tcp_socket.hpp"

namespace skylarkbridge::gateway {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kWriteBytes = 64U << 10U;
constexpr std::size_t kReadBytes = 4096;

}  // namespace

leaf::result<std::unique_ptr<peer_link>> peer_link::Open(
    const peer_identity& identity,
    peer_link_options options,
    std::uint64_t seed) {
  BOOST_LEAF_AUTO(wake, wake_event::Open());
  return std::unique_ptr<peer_link>(
      new peer_link(identity, options, seed, std::move(wake)));
}

peer_link::peer_link(const peer_identity& identity,
                     peer_link_options options,
                     std::uint64_t seed,
                     wake_event wake)
    : identity_(identity),
      options_(options),
      wake_(std::move(wake)),
      delay_(options.reconnect, seed),
      queue_(options.queue) {}

void peer_link::SetTarget(std::optional<peer_target> target) {
  {
    absl::MutexLock lock(&mutex_);
    if (target_ == target) {
      return;
    }
    target_ = std::move(target);
    ++generation_;
    queue_.Clear();
  }
  wake_.Signal();
}

bool peer_link::TrySend(std::string frame) {
  const time_point now = boot_clock::now();
  {
    absl::MutexLock lock(&mutex_);
    if (!target_ ||
        !queue_.TryAdd(std::move(frame), now + options_.message_age, now)) {
      return false;
    }
  }
  wake_.Signal();
  return true;
}

leaf::result<void> peer_link::Run(stop_signal& stop) {
  stop.OnRequest([this](time_point) { wake_.Signal(); });
  while (true) {
    wake_.Clear();
    const work job = CurrentWork();
    const std::optional<time_point> drain_deadline = stop.DrainDeadline();
    if (drain_deadline &&
        (!job.has_frames || boot_clock::now() >= *drain_deadline)) {
      return {};
    }
    if (!job.target || !job.has_frames) {
      std::array descriptors = {pollfd{wake_.Descriptor(), POLLIN, 0}};
      PollUntil(descriptors, std::nullopt);
    } else if (ServeAndReport(job, stop)) {
      delay_.Reset();
    } else {
      WaitForRetry(job, stop);
    }
  }
}

peer_link::work peer_link::CurrentWork() {
  absl::MutexLock lock(&mutex_);
  return {target_, generation_, queue_.HasFrames(boot_clock::now())};
}

bool peer_link::Changed(std::uint64_t generation) const {
  absl::MutexLock lock(&mutex_);
  return generation_ != generation;
}

std::string peer_link::TakeFrames() {
  absl::MutexLock lock(&mutex_);
  std::string frames;
  queue_.TakeInto(frames, kWriteBytes, boot_clock::now());
  return frames;
}

bool peer_link::ServeAndReport(const work& job, const stop_signal& stop) {
  const auto report = [&job](const std::string& error) {
    LogEvent(kPeerLinkDown, {{"peer", std::to_string(job.target->vm.value)},
                             {"address", Format(job.target->address)},
                             {"error", error}});
    return false;
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(Serve(job, stop));
        return true;
      },
      [&](const failure& error) { return report(Format(error)); },
      [&](const wire::decode_error& error) { return report(Format(error)); },
      [&] { return report("unknown error"); });
}

leaf::result<void> peer_link::Serve(const work& job, const stop_signal& stop) {
  BOOST_LEAF_AUTO(socket, Connect(job));
  if (Changed(job.generation)) {
    return {};
  }
  LogEvent(kPeerLinkUp, {{"peer", std::to_string(job.target->vm.value)},
                         {"address", Format(job.target->address)}});
  delay_.Reset();
  return SendQueued(socket, job, stop);
}

leaf::result<file_descriptor> peer_link::Connect(const work& job) const {
  const time_point deadline = boot_clock::now() + options_.connect_timeout;
  BOOST_LEAF_AUTO(socket,
                  StartConnect(job.target->address, options_.send_timeout));
  std::array descriptors = {pollfd{socket.Get(), POLLOUT, 0}};
  while (descriptors[0].revents == 0) {
    if (boot_clock::now() >= deadline) {
      return leaf::new_error(
          failure{Format(job.target->address), "connect timed out"});
    }
    PollUntil(descriptors, deadline);
  }
  BOOST_LEAF_CHECK(FinishConnect(socket, job.target->address));
  BOOST_LEAF_CHECK(ExchangeHello(socket, job, deadline));
  return socket;
}

leaf::result<void> peer_link::ExchangeHello(const file_descriptor& socket,
                                            const work& job,
                                            time_point deadline) const {
  const std::string place = Format(job.target->address);
  BOOST_LEAF_AUTO(frame, HelloFrame(identity_, job.target->vm));
  BOOST_LEAF_AUTO(written, WriteSome(socket, frame));
  if (written != frame.size()) {
    return leaf::new_error(failure{place, "the hello was not taken whole"});
  }
  wire::frame_decoder decoder;
  std::string body;
  while (true) {
    BOOST_LEAF_AUTO(complete, decoder.Next(body));
    if (complete) {
      BOOST_LEAF_AUTO(message, wire::DecodePeerMessage(body));
      const auto* answer = std::get_if<wire::hello>(&message);
      std::optional<std::string> refusal =
          answer == nullptr ? "the first message is not a hello"
                            : RefuseHello(identity_, *answer);
      if (!refusal && answer->sender.vm != job.target->vm) {
        refusal = "another VM answered";
      }
      if (refusal) {
        return leaf::new_error(failure{place, *std::move(refusal)});
      }
      return {};
    }
    if (boot_clock::now() >= deadline) {
      return leaf::new_error(failure{place, "no hello in time"});
    }
    std::array descriptors = {pollfd{socket.Get(), POLLIN, 0}};
    PollUntil(descriptors, deadline);
    std::string bytes;
    BOOST_LEAF_AUTO(state, ReadSome(socket, kReadBytes, bytes));
    if (state == read_state::kClosed) {
      return leaf::new_error(failure{place, "closed before its hello"});
    }
    decoder.Feed(bytes);
  }
}

leaf::result<void> peer_link::SendQueued(const file_descriptor& socket,
                                         const work& job,
                                         const stop_signal& stop) {
  const std::string place = Format(job.target->address);
  std::string pending;
  time_point progress_deadline;
  while (!Changed(job.generation)) {
    wake_.Clear();
    if (pending.empty()) {
      pending = TakeFrames();
      progress_deadline = boot_clock::now() + options_.send_timeout;
    }
    const std::optional<time_point> drain_deadline = stop.DrainDeadline();
    const time_point now = boot_clock::now();
    if (drain_deadline && (pending.empty() || now >= *drain_deadline)) {
      return {};
    }
    if (!pending.empty() && now >= progress_deadline) {
      return leaf::new_error(failure{place, "the peer takes no bytes"});
    }
    std::optional<time_point> deadline;
    if (!pending.empty()) {
      deadline = drain_deadline ? std::min(*drain_deadline, progress_deadline)
                                : progress_deadline;
    }
    const auto events =
        static_cast<short>(pending.empty() ? POLLIN : POLLIN | POLLOUT);
    std::array descriptors = {pollfd{socket.Get(), events, 0},
                              pollfd{wake_.Descriptor(), POLLIN, 0}};
    PollUntil(descriptors, deadline);
    if ((descriptors[0].revents & ~POLLOUT) != 0) {
      // The peer sends nothing after its hello; readable means closed.
      return leaf::new_error(failure{place, "closed by the peer"});
    }
    if (!pending.empty() && (descriptors[0].revents & POLLOUT) != 0) {
      BOOST_LEAF_AUTO(written, WriteSome(socket, pending));
      pending.erase(0, written);
      if (written > 0) {
        progress_deadline = boot_clock::now() + options_.send_timeout;
      }
    }
  }
  return {};
}

void peer_link::WaitForRetry(const work& job, const stop_signal& stop) {
  time_point retry_at = boot_clock::now() + delay_.Next();
  while (boot_clock::now() < retry_at && !Changed(job.generation)) {
    wake_.Clear();
    if (const std::optional<time_point> drain = stop.DrainDeadline()) {
      retry_at = std::min(retry_at, *drain);
    }
    std::array descriptors = {pollfd{wake_.Descriptor(), POLLIN, 0}};
    PollUntil(descriptors, retry_at);
  }
}

}  // namespace skylarkbridge::gateway
