#include "tcp_socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <cerrno>
#include <cstring>
#include <limits>
#include <utility>

#include "skylarkbridge/base/failure.hpp"

namespace skylarkbridge::gateway {
namespace {

namespace leaf = boost::leaf;

leaf::error_id Error(const std::string& place, int error_number) {
  return leaf::new_error(failure{place, std::strerror(error_number)});
}

leaf::result<file_descriptor> OpenSocket() {
  file_descriptor socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.Valid()) {
    return Error("socket", errno);
  }
  return socket;
}

leaf::result<sockaddr_in> ToSocketAddress(const ip_address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &raw.sin_addr) != 1) {
    return leaf::new_error(
        failure{Format(address), "the host is not an IPv4 number"});
  }
  return raw;
}

ip_address FromSocketAddress(const sockaddr_in& raw) {
  std::array<char, INET_ADDRSTRLEN> host{};
  inet_ntop(AF_INET, &raw.sin_addr, host.data(), host.size());
  return {host.data(), ntohs(raw.sin_port)};
}

template <class T>
void SetOption(const file_descriptor& socket, int level, int name, T value) {
  setsockopt(socket.Get(), level, name, &value, sizeof(value));
}

}  // namespace

leaf::result<file_descriptor> ListenTcp(const ip_address& address,
                                        int backlog) {
  BOOST_LEAF_AUTO(raw, ToSocketAddress(address));
  BOOST_LEAF_AUTO(socket, OpenSocket());
  SetOption(socket, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(socket.Get(), reinterpret_cast<const sockaddr*>(&raw),
           sizeof(raw)) != 0 ||
      listen(socket.Get(), backlog) != 0) {
    return Error("listener " + Format(address), errno);
  }
  return socket;
}

leaf::result<ip_address> LocalAddress(const file_descriptor& socket) {
  sockaddr_in raw{};
  socklen_t size = sizeof(raw);
  if (getsockname(socket.Get(), reinterpret_cast<sockaddr*>(&raw), &size) !=
      0) {
    return Error("getsockname", errno);
  }
  return FromSocketAddress(raw);
}

leaf::result<std::optional<accepted_socket>> AcceptTcp(
    const file_descriptor& listener) {
  sockaddr_in raw{};
  socklen_t size = sizeof(raw);
  file_descriptor socket(accept4(listener.Get(),
                                 reinterpret_cast<sockaddr*>(&raw), &size,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (socket.Valid()) {
    SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    return std::optional(
        accepted_socket{std::move(socket), FromSocketAddress(raw)});
  }
  if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED) {
    return std::optional<accepted_socket>();
  }
  return Error("accept", errno);
}

leaf::result<file_descriptor> StartConnect(
    const ip_address& address,
    std::chrono::milliseconds unacknowledged) {
  BOOST_LEAF_AUTO(raw, ToSocketAddress(address));
  BOOST_LEAF_AUTO(socket, OpenSocket());
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  // Without it, a connection that was cut for long retransmits up to two
  // minutes after the cut has ended.
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(unacknowledged.count()));
  if (connect(socket.Get(), reinterpret_cast<const sockaddr*>(&raw),
              sizeof(raw)) != 0 &&
      errno != EINPROGRESS) {
    return Error(Format(address), errno);
  }
  return socket;
}

leaf::result<void> FinishConnect(const file_descriptor& socket,
                                 const ip_address& address) {
  int error_number = 0;
  socklen_t size = sizeof(error_number);
  if (getsockopt(socket.Get(), SOL_SOCKET, SO_ERROR, &error_number, &size) !=
      0) {
    error_number = errno;
  }
  if (error_number != 0) {
    return Error(Format(address), error_number);
  }
  return {};
}

leaf::result<std::size_t> WriteSome(const file_descriptor& socket,
                                    std::string_view bytes) {
  const ssize_t written =
      send(socket.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (written >= 0) {
    return static_cast<std::size_t>(written);
  }
  if (errno == EAGAIN || errno == EINTR) {
    return std::size_t{0};
  }
  return Error("send", errno);
}

leaf::result<read_state> ReadSome(const file_descriptor& socket,
                                  std::size_t limit,
                                  std::string& bytes) {
  const std::size_t before = bytes.size();
  bytes.resize(before + limit);
  const ssize_t taken = recv(socket.Get(), bytes.data() + before, limit, 0);
  const int error_number = errno;
  bytes.resize(before + static_cast<std::size_t>(std::max<ssize_t>(taken, 0)));
  if (taken > 0) {
    return read_state::kOpen;
  }
  if (taken == 0) {
    return read_state::kClosed;
  }
  if (error_number == EAGAIN || error_number == EINTR) {
    return read_state::kOpen;
  }
  return Error("recv", error_number);
}

void PollUntil(std::span<pollfd> descriptors,
               std::optional<time_point> deadline) {
  int timeout = -1;
  if (deadline) {
    // Rounded up, or the last millisecond before a deadline would be a spin.
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        *deadline - boot_clock::now());
    timeout = static_cast<int>(std::clamp<std::int64_t>(
        left.count(), 0, std::numeric_limits<int>::max()));
  }
  for (pollfd& descriptor : descriptors) {
    descriptor.revents = 0;
  }
  if (poll(descriptors.data(), descriptors.size(), timeout) < 0) {
    for (pollfd& descriptor : descriptors) {
      descriptor.revents = 0;
    }
  }
}

}  // namespace skylarkbridge::gateway
