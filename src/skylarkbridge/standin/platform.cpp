#include "skylarkbridge/standin/platform.hpp"

#include <httplib.h>

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace skylarkbridge::standin {
namespace {

constexpr char kLoopback[] = "127.0.0.1";

// The log takes pages of 32 MiB at the most.
constexpr std::size_t kMaxBody = 32 << 20;

}  // namespace

platform::platform(const ip_address& address)
    : listener_({.address = address,
                 .threads = 64,
                 .max_body = kMaxBody,
                 .lame_duck = std::chrono::milliseconds(0)},
                [this](httplib::Server& server) { Install(server); }) {}

ip_address platform::Address(time_point deadline) {
  return {kLoopback, listener_.WaitForPort(deadline)};
}

void platform::SetVmList(wire::vm_list list) {
  absl::MutexLock lock(&mutex_);
  list_ = std::move(list);
}

void platform::InstallLog(httplib::Server& server) {
  constexpr char kPattern[] = R"(/v1/streams/([a-z0-9_-]+)/records)";
  server.Post(kPattern, [this](const httplib::Request& request,
                               httplib::Response& response) {
    findings found;
    auto records = wire::DecodeAppend(request.body, found);
    if (!records) {
      response.status = 400;
      response.set_content(Format(found), "text/plain");
      return;
    }
    const auto offset = log_.Append(request.matches[1], std::move(*records));
    if (!offset) {
      response.status = 503;
    } else if (log_.TakeLostReply()) {
      response.status = 504;
    } else {
      response.set_content(absl::StrCat("{\"offset\":", *offset, "}"),
                           "application/json");
    }
  });
  server.Get(kPattern, [this](const httplib::Request& request,
                              httplib::Response& response) {
    std::uint64_t offset = 0;
    std::uint64_t limit = 0;
    if (!absl::SimpleAtoi(request.get_param_value("offset"), &offset) ||
        !absl::SimpleAtoi(request.get_param_value("limit"), &limit)) {
      response.status = 400;
      return;
    }
    const auto page = log_.Read(request.matches[1], offset, limit);
    if (!page) {
      response.status = 503;
      return;
    }
    response.set_content(wire::EncodePage(*page), "application/json");
  });
}

void platform::Install(httplib::Server& server) {
  InstallLog(server);
  server.Get(
      "/v1/vms", [this](const httplib::Request&, httplib::Response& response) {
        absl::MutexLock lock(&mutex_);
        response.set_content(wire::PrintVmList(list_), "application/json");
      });
}

}  // namespace skylarkbridge::standin
