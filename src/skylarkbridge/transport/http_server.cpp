#include "skylarkbridge/transport/http_server.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/transport/endpoint.hpp"

namespace skylarkbridge::transport {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Header with the time in milliseconds that the caller waits for the response.
constexpr std::string_view kTimeoutHeader = "Deadline-Ms";
constexpr int kListenBacklog = 512;
/// Bytes that one read from a connection may return. Without a reserved buffer
/// Beast reads 512 bytes at a time, each behind the other work of the thread.
constexpr std::size_t kReadBytes = 16U << 10U;
/// Pause after a failed accept. Without it the thread would spin while the
/// process has no file descriptor left.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

std::optional<std::chrono::milliseconds> ParseTimeoutHeader(
    const http::request<http::string_body>& request) {
  const auto header = request.find(
      boost::beast::string_view(kTimeoutHeader.data(), kTimeoutHeader.size()));
  if (header == request.end()) {
    return std::nullopt;
  }
  const auto text = header->value();
  std::int64_t count = 0;
  const auto [parse_end, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc{} || parse_end != text.data() + text.size() ||
      count < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(count);
}

}  // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& context,
       http_server_options options,
       handler on_request)
      : context_(context),
        options_(std::move(options)),
        on_request_(std::move(on_request)),
        acceptor_(context),
        accept_timer_(context) {}

  boost::leaf::result<void> Listen();
  void Respond(std::uint64_t token, server_response response);

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  void Drain() { draining_ = true; }
  std::size_t ActiveConnections() const { return active_sessions_; }
  void Close() {
    error_code ignored;  // The listener is discarded in any case.
    acceptor_.close(ignored);
  }

 private:
  class session;

  void Accept();

  asio::io_context& context_;
  const http_server_options options_;
  handler on_request_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::uint64_t last_token_ = 0;
  /// Sessions that wait for a response, by the token of their request.
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<session>>
      waiting_sessions_;
  std::size_t open_sessions_ = 0;
  std::atomic<bool> draining_ = false;
  std::atomic<std::size_t> active_sessions_ = 0;
};

/// One connection from a caller. The pending asynchronous operation or
/// `waiting_sessions_` keeps it alive.
class http_server::impl::session
    : public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<impl> owner, tcp::socket socket)
      : owner_(std::move(owner)),
        socket_(std::move(socket)),
        timer_(owner_->context_) {
    ++owner_->open_sessions_;
    buffer_.reserve(kReadBytes);
  }
  ~session() {
    SetActive(false);
    --owner_->open_sessions_;
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void Start() {
    error_code ignored;  // A socket without the option still works.
    socket_.set_option(tcp::no_delay(true), ignored);
    AwaitRequest();
  }

  void Write(server_response response) {
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(response.status));
    response_.set(http::field::content_type, response.content_type);
    if (response.retry_after) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(*response.retry_after);
      response_.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    response_.body() = std::move(response.body);
    response_.keep_alive(keep_alive_ && !owner_->draining_);
    response_.prepare_payload();
    StartTimer(owner_->options_.transfer_timeout);
    http::async_write(socket_, response_,
                      [self = shared_from_this()](const error_code& error,
                                                  std::size_t /*bytes*/) {
                        self->OnWritten(error);
                      });
  }

 private:
  void SetActive(bool active) {
    if (active != active_) {
      active_ = active;
      owner_->active_sessions_ += active ? 1 : static_cast<std::size_t>(-1);
    }
  }

  void StartTimer(std::chrono::milliseconds limit) {
    timer_.expires_after(limit);
    timer_.async_wait([weak = weak_from_this()](const error_code& error) {
      if (const auto self = weak.lock(); self && !error) {
        error_code ignored;  // The connection is discarded in any case.
        self->socket_.close(ignored);
      }
    });
  }

  void AwaitRequest() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(owner_->options_.max_header_bytes));
    parser_->body_limit(owner_->options_.max_body_bytes);
    StartTimer(owner_->options_.idle_timeout);
    // A pipelined request may already be in the buffer.
    if (buffer_.size() > 0) {
      Read();
      return;
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         if (!error) {
                           self->Read();
                         }
                       });
  }

  void Read() {
    SetActive(true);
    StartTimer(owner_->options_.transfer_timeout);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& error,
                                                 std::size_t /*bytes*/) {
                       self->OnRead(error);
                     });
  }

  void OnRead(const error_code& error) {
    if (error) {
      RejectOrClose(error);
      return;
    }
    timer_.cancel();
    http::request<http::string_body> request = parser_->release();
    keep_alive_ = request.keep_alive();
    const auto host = request[http::field::host];
    const auto method = request.method_string();
    server_request incoming{.token = ++owner_->last_token_,
                            .method = {method.data(), method.size()},
                            .target = std::string(request.target()),
                            .host = {host.data(), host.size()},
                            .body = std::move(request.body()),
                            .timeout = ParseTimeoutHeader(request),
                            .received = boot_clock::now()};
    owner_->waiting_sessions_.emplace(incoming.token, shared_from_this());
    owner_->on_request_(std::move(incoming));
  }

  void RejectOrClose(const error_code& error) {
    int status = 0;
    if (error == http::error::body_limit) {
      status = 413;
    } else if (error == http::error::header_limit) {
      status = 431;
    } else if (error.category() ==
                   make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream &&
               error != http::error::partial_message) {
      // `bad_method` only selects the category: any other error of the HTTP
      // parser means a malformed request.
      status = 400;
    }
    if (status == 0) {
      Close();
      return;
    }
    keep_alive_ = false;
    Write({.status = status, .body = "{}"});
  }

  void OnWritten(const error_code& error) {
    timer_.cancel();
    SetActive(false);
    if (error || !response_.keep_alive()) {
      Close();
      return;
    }
    AwaitRequest();
  }

  void Close() {
    SetActive(false);
    timer_.cancel();
    error_code ignored;  // The peer may have closed already.
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  std::shared_ptr<impl> owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool keep_alive_ = true;
  bool active_ = false;
};

boost::leaf::result<void> http_server::impl::Listen() {
  const std::optional<tcp::endpoint> endpoint = ParseEndpoint(options_.address);
  if (!endpoint) {
    return boost::leaf::new_error(
        failure{"listener " + options_.address, "is not a valid IP and port"});
  }
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(*endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kListenBacklog, error);
  }
  if (error) {
    return boost::leaf::new_error(
        failure{"listener " + options_.address, error.message()});
  }
  Accept();
  return {};
}

void http_server::impl::Accept() {
  acceptor_.async_accept(
      [weak = weak_from_this()](const error_code& error, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->acceptor_.is_open()) {
          return;
        }
        if (!error) {
          if (self->open_sessions_ < self->options_.max_connections) {
            std::make_shared<session>(self, std::move(socket))->Start();
          }
          self->Accept();
          return;
        }
        self->accept_timer_.expires_after(kAcceptRetryDelay);
        self->accept_timer_.async_wait([weak](const error_code& timer_error) {
          if (const auto server = weak.lock(); server && !timer_error) {
            server->Accept();
          }
        });
      });
}

void http_server::impl::Respond(std::uint64_t token, server_response response) {
  asio::post(context_, [self = shared_from_this(), token,
                        response = std::move(response)]() mutable {
    const auto found = self->waiting_sessions_.find(token);
    if (found == self->waiting_sessions_.end()) {
      return;
    }
    const std::shared_ptr<session> waiting = std::move(found->second);
    self->waiting_sessions_.erase(found);
    waiting->Write(std::move(response));
  });
}

http_server::http_server(asio::io_context& context,
                         http_server_options options,
                         handler on_request)
    : impl_(std::make_shared<impl>(context,
                                   std::move(options),
                                   std::move(on_request))) {}

http_server::~http_server() {
  impl_->Close();
}

boost::leaf::result<void> http_server::Listen() {
  return impl_->Listen();
}

std::uint16_t http_server::Port() const {
  return impl_->Port();
}

void http_server::Respond(std::uint64_t token, server_response response) {
  impl_->Respond(token, std::move(response));
}

void http_server::Drain() {
  impl_->Drain();
}

std::size_t http_server::ActiveConnections() const {
  return impl_->ActiveConnections();
}

}  // namespace skylarkbridge::transport
