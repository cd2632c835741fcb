#include "skylarkbridge/gateway/upstream_client.hpp"

#include <httplib.h>

#include <algorithm>

namespace skylarkbridge::gateway {
namespace {

using scheduling::attempt_result;

constexpr int kServiceUnavailable = 503;
constexpr char kNotStartedHeader[] = "Skylarkbridge-Not-Started";

bool ProvesNotStarted(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return true;
    default:
      return false;
  }
}

upstream_response ToResponse(httplib::Response& answer, std::string body) {
  upstream_response response;
  response.status = answer.status;
  response.headers.assign(answer.headers.begin(), answer.headers.end());
  response.body = std::move(body);
  return response;
}

}  // namespace

struct upstream_client::connection {
  explicit connection(const ip_address& to)
      : address(to), client(to.host, to.port) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_decompress(false);
    client.set_follow_location(false);
  }

  ip_address address;
  httplib::Client client;
  time_point reusable_until;
};

upstream_client::upstream_client(upstream_client_options options)
    : options_(options) {}

upstream_client::~upstream_client() = default;

void upstream_client::SetAddress(worker_id upstream,
                                 const ip_address& address) {
  absl::MutexLock lock(&mutex_);
  auto& entry = upstreams_[upstream];
  if (entry.address != address) {
    entry.idle.clear();
    entry.address = address;
  }
}

void upstream_client::Forget(worker_id upstream) {
  absl::MutexLock lock(&mutex_);
  upstreams_.erase(upstream);
}

upstream_result upstream_client::Send(worker_id upstream,
                                      const upstream_request& request,
                                      time_point deadline) {
  const time_point now = boot_clock::now();
  std::unique_ptr<connection> used = Take(upstream, now);
  if (used == nullptr || deadline <= now) {
    return {attempt_result::kNotStarted, std::nullopt,
            used == nullptr ? "no address" : "deadline passed"};
  }
  const auto remaining =
      std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
  used->client.set_connection_timeout(
      std::min<std::chrono::microseconds>(remaining, options_.connect_timeout));
  used->client.set_read_timeout(remaining);
  used->client.set_write_timeout(remaining);

  std::string body;
  httplib::Request outgoing;
  outgoing.method = request.method;
  outgoing.path = request.path;
  outgoing.headers.insert(request.headers.begin(), request.headers.end());
  outgoing.body = request.body;
  // The library's read timeout starts again with each read; an upstream that
  // answers byte by byte is stopped here.
  outgoing.content_receiver = [&](const char* data, std::size_t length,
                                  std::uint64_t, std::uint64_t) {
    body.append(data, length);
    return body.size() <= options_.max_body && boot_clock::now() < deadline;
  };
  httplib::Result answer = used->client.send(outgoing);
  if (!answer) {
    const attempt_result result = ProvesNotStarted(answer.error())
                                      ? attempt_result::kNotStarted
                                      : attempt_result::kUnknown;
    return {result, std::nullopt, httplib::to_string(answer.error())};
  }
  Return(upstream, std::move(used), boot_clock::now());
  if (answer->status == kServiceUnavailable &&
      answer->has_header(kNotStartedHeader)) {
    return {attempt_result::kNotStarted, std::nullopt, "upstream refused"};
  }
  return {attempt_result::kAnswered, ToResponse(*answer, std::move(body)), {}};
}

std::unique_ptr<upstream_client::connection> upstream_client::Take(
    worker_id upstream,
    time_point now) {
  ip_address address;
  std::vector<std::unique_ptr<connection>> expired;
  {
    absl::MutexLock lock(&mutex_);
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
      return nullptr;
    }
    auto& idle = found->second.idle;
    address = found->second.address;
    if (!idle.empty() && idle.back()->reusable_until > now) {
      std::unique_ptr<connection> reused = std::move(idle.back());
      idle.pop_back();
      return reused;
    }
    expired.swap(idle);
  }
  return std::make_unique<connection>(address);
}

void upstream_client::Return(worker_id upstream,
                             std::unique_ptr<connection> used,
                             time_point now) {
  used->reusable_until = now + options_.max_idle_time;
  absl::MutexLock lock(&mutex_);
  const auto found = upstreams_.find(upstream);
  if (found != upstreams_.end() && found->second.address == used->address &&
      found->second.idle.size() < options_.max_idle) {
    found->second.idle.push_back(std::move(used));
  }
}

}  // namespace skylarkbridge::gateway
