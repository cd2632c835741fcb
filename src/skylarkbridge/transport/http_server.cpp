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

/// Header in which callers state how many milliseconds they wait.
constexpr std::string_view kPatienceHeader = "Deadline-Ms";
constexpr int kListenBacklog = 512;
/// Pause before the next accept when the process has no descriptor left.
constexpr std::chrono::milliseconds kAcceptPause{50};

std::optional<std::chrono::milliseconds> ReadPatience(
    const http::request<http::string_body>& request) {
  const auto header = request.find(boost::beast::string_view(
      kPatienceHeader.data(), kPatienceHeader.size()));
  if (header == request.end()) {
    return std::nullopt;
  }
  const auto text = header->value();
  std::int64_t count = 0;
  const auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc{} || stop != text.data() + text.size() || count < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(count);
}

}  // namespace

class http_server::core : public std::enable_shared_from_this<core> {
 public:
  core(asio::io_context& context,
       http_server_options options,
       handler on_request)
      : context_(context),
        options_(std::move(options)),
        on_request_(std::move(on_request)),
        acceptor_(context),
        accept_timer_(context) {}

  boost::leaf::result<void> Listen();
  void Respond(std::uint64_t token, server_response answer);

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  void Drain() { draining_ = true; }
  std::size_t ActiveConnections() const { return busy_; }
  void Close() {
    error_code ignored;  // The listener ends in any case.
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
  std::uint64_t tokens_ = 0;
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<session>> waiting_;
  std::size_t open_ = 0;
  std::atomic<bool> draining_ = false;
  std::atomic<std::size_t> busy_ = 0;
};

/// One connection of a caller.
class http_server::core::session
    : public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<core> owner, tcp::socket socket)
      : owner_(std::move(owner)),
        socket_(std::move(socket)),
        timer_(owner_->context_) {
    ++owner_->open_;
  }
  ~session() {
    SetBusy(false);
    --owner_->open_;
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void Start() {
    error_code ignored;  // A socket without the option still works.
    socket_.set_option(tcp::no_delay(true), ignored);
    AwaitRequest();
  }

  void Write(server_response answer) {
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(answer.status));
    response_.set(http::field::content_type, answer.content_type);
    if (answer.retry_after) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(*answer.retry_after);
      response_.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    response_.body() = std::move(answer.body);
    response_.keep_alive(keep_alive_ && !owner_->draining_);
    response_.prepare_payload();
    Arm(owner_->options_.read_timeout);
    http::async_write(socket_, response_,
                      [self = shared_from_this()](const error_code& error,
                                                  std::size_t /*bytes*/) {
                        self->Written(error);
                      });
  }

 private:
  void SetBusy(bool busy) {
    if (busy != busy_) {
      busy_ = busy;
      owner_->busy_ += busy ? 1 : static_cast<std::size_t>(-1);
    }
  }

  void Arm(std::chrono::milliseconds limit) {
    timer_.expires_after(limit);
    timer_.async_wait([weak = weak_from_this()](const error_code& error) {
      if (const auto self = weak.lock(); self && !error) {
        error_code ignored;  // The connection is given up in any case.
        self->socket_.close(ignored);
      }
    });
  }

  void AwaitRequest() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(owner_->options_.max_header_bytes));
    parser_->body_limit(owner_->options_.max_body_bytes);
    Arm(owner_->options_.idle_timeout);
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
    SetBusy(true);
    Arm(owner_->options_.read_timeout);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& error,
                                                 std::size_t /*bytes*/) {
                       self->HaveRead(error);
                     });
  }

  void HaveRead(const error_code& error) {
    if (error) {
      RefuseOrClose(error);
      return;
    }
    timer_.cancel();
    http::request<http::string_body> request = parser_->release();
    keep_alive_ = request.keep_alive();
    const auto host = request[http::field::host];
    const auto method = request.method_string();
    server_request whole{.token = ++owner_->tokens_,
                         .method = {method.data(), method.size()},
                         .target = std::string(request.target()),
                         .host = {host.data(), host.size()},
                         .body = std::move(request.body()),
                         .timeout = ReadPatience(request),
                         .received = boot_clock::now()};
    owner_->waiting_.emplace(whole.token, shared_from_this());
    owner_->on_request_(std::move(whole));
  }

  void RefuseOrClose(const error_code& error) {
    int status = 0;
    if (error == http::error::body_limit) {
      status = 413;
    } else if (error == http::error::header_limit) {
      status = 431;
    } else if (error.category() ==
                   make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream &&
               error != http::error::partial_message) {
      status = 400;
    }
    if (status == 0) {
      Close();
      return;
    }
    keep_alive_ = false;
    Write({.status = status, .body = "{}"});
  }

  void Written(const error_code& error) {
    timer_.cancel();
    SetBusy(false);
    if (error || !response_.keep_alive()) {
      Close();
      return;
    }
    AwaitRequest();
  }

  void Close() {
    SetBusy(false);
    timer_.cancel();
    error_code ignored;  // The peer may have closed already.
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  std::shared_ptr<core> owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool keep_alive_ = true;
  bool busy_ = false;
};

boost::leaf::result<void> http_server::core::Listen() {
  const std::optional<tcp::endpoint> endpoint = ParseEndpoint(options_.address);
  if (!endpoint) {
    return boost::leaf::new_error(
        failure{"listener " + options_.address, "is not an IP and a port"});
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

void http_server::core::Accept() {
  acceptor_.async_accept(
      [weak = weak_from_this()](const error_code& error, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->acceptor_.is_open()) {
          return;
        }
        if (!error) {
          if (self->open_ < self->options_.max_connections) {
            std::make_shared<session>(self, std::move(socket))->Start();
          }
          self->Accept();
          return;
        }
        self->accept_timer_.expires_after(kAcceptPause);
        self->accept_timer_.async_wait([weak](const error_code& cancelled) {
          if (const auto again = weak.lock(); again && !cancelled) {
            again->Accept();
          }
        });
      });
}

void http_server::core::Respond(std::uint64_t token, server_response answer) {
  asio::post(context_, [self = shared_from_this(), token,
                        answer = std::move(answer)]() mutable {
    const auto found = self->waiting_.find(token);
    if (found == self->waiting_.end()) {
      return;
    }
    const std::shared_ptr<session> waiting = std::move(found->second);
    self->waiting_.erase(found);
    waiting->Write(std::move(answer));
  });
}

http_server::http_server(asio::io_context& context,
                         http_server_options options,
                         handler on_request)
    : core_(std::make_shared<core>(context,
                                   std::move(options),
                                   std::move(on_request))) {}

http_server::~http_server() {
  core_->Close();
}

boost::leaf::result<void> http_server::Listen() {
  return core_->Listen();
}

std::uint16_t http_server::Port() const {
  return core_->Port();
}

void http_server::Respond(std::uint64_t token, server_response answer) {
  core_->Respond(token, std::move(answer));
}

void http_server::Drain() {
  core_->Drain();
}

std::size_t http_server::ActiveConnections() const {
  return core_->ActiveConnections();
}

}  // namespace skylarkbridge::transport
