#ifndef SKYLARKBRIDGE_TRANSPORT_SILENT_SERVER_FAKE_HPP
#define SKYLARKBRIDGE_TRANSPORT_SILENT_SERVER_FAKE_HPP

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace skylarkbridge::transport {

/// @brief An HTTP server whose open connections can go silent: they stay open,
/// but nothing that arrives on them is answered any more. New connections work.
class silent_server {
 public:
  /// @param batch number of requests to receive before the first answers, so
  /// that a client has to open that many connections.
  /// @param body body of each answer.
  silent_server(boost::asio::io_context& context,
                std::size_t batch,
                const std::string& body = "")
      : acceptor_(context,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        batch_(batch),
        response_("HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body) {
    Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// @brief Lets all open connections go silent.
  void GoSilent() {
    for (const auto& each : connections_) {
      each->silent = true;
    }
  }
  /// @brief Lets all open connections go silent when the next request arrives,
  /// which gets no answer either.
  void GoSilentAtNextRequest() { silent_at_next_request_ = true; }
  /// @brief Lets only the connection of the next request go silent.
  void HoldNextRequest() { hold_next_request_ = true; }

 private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    boost::asio::streambuf received;
    bool silent = false;
  };

  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) {
        return;
      }
      connections_.push_back(std::make_shared<connection>(std::move(socket)));
      Read(connections_.back());
      Accept();
    });
  }
  /// Reads the header of a request. Its body is skipped together with the next
  /// header.
  void Read(const std::shared_ptr<connection>& from) {
    boost::asio::async_read_until(
        from->socket, from->received, "\r\n\r\n",
        [this, from](const error_code& error, std::size_t bytes) {
          if (error) {
            return;
          }
          from->received.consume(bytes);
          Receive(from);
          Read(from);
        });
  }
  void Receive(const std::shared_ptr<connection>& from) {
    if (std::exchange(silent_at_next_request_, false)) {
      GoSilent();
    }
    from->silent |= std::exchange(hold_next_request_, false);
    if (!from->silent) {
      waiting_.push_back(from);
    }
    if (waiting_.size() >= batch_) {
      batch_ = 1;
      for (const auto& each : std::exchange(waiting_, {})) {
        Answer(each);
      }
    }
  }
  void Answer(const std::shared_ptr<connection>& to) {
    boost::asio::async_write(to->socket, boost::asio::buffer(response_),
                             [to](const error_code& /*error*/, std::size_t) {});
  }

  tcp::acceptor acceptor_;
  std::size_t batch_;
  const std::string response_;
  bool silent_at_next_request_ = false;
  bool hold_next_request_ = false;
  std::vector<std::shared_ptr<connection>> connections_;
  /// Connections with a request that is not answered yet.
  std::vector<std::shared_ptr<connection>> waiting_;
};

}  // namespace skylarkbridge::transport

#endif  // SKYLARKBRIDGE_TRANSPORT_SILENT_SERVER_FAKE_HPP
