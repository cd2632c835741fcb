#include "skylarkbridge/transport/http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/transport/endpoint.hpp"

namespace skylarkbridge::transport {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

struct pending_call {
  http_request call;
  http_callback callback;
};

}  // namespace

class http_client::pool : public std::enable_shared_from_this<pool> {
 public:
  pool(asio::io_context& context, http_client_options options)
      : context_(context), options_(options) {}

  void Submit(pending_call pending) {
    asio::post(context_, [self = shared_from_this(),
                          pending = std::move(pending)]() mutable {
      self->Dispatch(std::move(pending));
    });
  }

 private:
  class connection;

  struct peer {
    std::vector<std::shared_ptr<connection>> idle;
    std::deque<pending_call> waiting;
    std::size_t open = 0;
  };

  void Dispatch(pending_call pending);
  void Released(const std::string& address,
                const std::shared_ptr<connection>& released);
  void Closed(const std::string& address);
  void ServeWaiting(const std::string& address);

  asio::io_context& context_;
  const http_client_options options_;
  absl::flat_hash_map<std::string, peer> peers_;
};

/// One connection; carries one call at a time.
class http_client::pool::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<pool> owner, std::string address)
      : owner_(std::move(owner)),
        address_(std::move(address)),
        socket_(owner_->context_),
        timer_(owner_->context_) {}

  void Carry(pending_call pending) {
    pending_ = std::move(pending);
    sent_ = false;
    Arm();
    if (socket_.is_open()) {
      Write();
    } else {
      Connect();
    }
  }

 private:
  void Arm() {
    timer_.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(
        pending_->call.deadline - boot_clock::now()));
    timer_.async_wait(
        [self = shared_from_this(), round = ++round_](const error_code& error) {
          if (!error && round == self->round_ && self->pending_) {
            self->Fail();
          }
        });
  }

  void Connect() {
    const std::optional<tcp::endpoint> endpoint = ParseEndpoint(address_);
    if (!endpoint) {
      Fail();
      return;
    }
    socket_.async_connect(*endpoint, [self = shared_from_this(),
                                      round = round_](const error_code& error) {
      if (round != self->round_ || !self->pending_) {
        return;
      }
      if (error) {
        self->Fail();
        return;
      }
      error_code ignored;  // A socket without the option still works.
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->Write();
    });
  }

  void Write() {
    const http_request& call = pending_->call;
    request_ = {};
    request_.version(11);
    request_.method(http::string_to_verb(call.method));
    request_.target(call.target);
    request_.set(http::field::host, call.address);
    if (!call.content_type.empty()) {
      request_.set(http::field::content_type, call.content_type);
    }
    for (const auto& [name, value] : call.headers) {
      request_.set(name, value);
    }
    request_.body() = call.body;
    request_.prepare_payload();
    sent_ = true;
    http::async_write(socket_, request_,
                      [self = shared_from_this(), round = round_](
                          const error_code& error, std::size_t /*bytes*/) {
                        if (round != self->round_ || !self->pending_) {
                          return;
                        }
                        if (error) {
                          self->Fail();
                        } else {
                          self->Read();
                        }
                      });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(owner_->options_.max_body_bytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this(), round = round_](
                         const error_code& error, std::size_t /*bytes*/) {
                       if (round != self->round_ || !self->pending_) {
                         return;
                       }
                       if (error) {
                         self->Fail();
                       } else {
                         self->Finish();
                       }
                     });
  }

  void Finish() {
    ++round_;
    timer_.cancel();
    http_response answer{
        .status = static_cast<int>(parser_->get().result_int()),
        .body = std::move(parser_->get().body())};
    const bool keep = parser_->get().keep_alive();
    http_callback callback = std::move(pending_->callback);
    pending_.reset();
    if (keep) {
      owner_->Released(address_, shared_from_this());
    } else {
      Close();
    }
    callback(std::move(answer));
  }

  void Fail() {
    ++round_;
    timer_.cancel();
    http_callback callback = std::move(pending_->callback);
    pending_.reset();
    Close();
    callback(sent_ ? http_failure::kNoResponse : http_failure::kNotSent);
  }

  void Close() {
    error_code ignored;  // The connection is given up in any case.
    socket_.close(ignored);
    owner_->Closed(address_);
  }

  std::shared_ptr<pool> owner_;
  const std::string address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::optional<pending_call> pending_;
  /// Tells the completions of an earlier call from those of this one.
  std::uint64_t round_ = 0;
  bool sent_ = false;
  http::request<http::string_body> request_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
};

void http_client::pool::Dispatch(pending_call pending) {
  const std::string address = pending.call.address;
  peer& target = peers_[address];
  if (!target.idle.empty()) {
    std::shared_ptr<connection> chosen = std::move(target.idle.back());
    target.idle.pop_back();
    chosen->Carry(std::move(pending));
    return;
  }
  if (target.open >= options_.max_connections) {
    target.waiting.push_back(std::move(pending));
    return;
  }
  ++target.open;
  std::make_shared<connection>(shared_from_this(), address)
      ->Carry(std::move(pending));
}

void http_client::pool::Released(const std::string& address,
                                 const std::shared_ptr<connection>& released) {
  peers_[address].idle.push_back(released);
  ServeWaiting(address);
}

void http_client::pool::Closed(const std::string& address) {
  --peers_[address].open;
  ServeWaiting(address);
}

void http_client::pool::ServeWaiting(const std::string& address) {
  peer& target = peers_[address];
  while (!target.waiting.empty() &&
         target.waiting.front().call.deadline <= boot_clock::now()) {
    http_callback callback = std::move(target.waiting.front().callback);
    target.waiting.pop_front();
    asio::post(context_, [callback = std::move(callback)]() mutable {
      callback(http_failure::kNotSent);
    });
  }
  if (!target.waiting.empty() &&
      (!target.idle.empty() || target.open < options_.max_connections)) {
    pending_call next = std::move(target.waiting.front());
    target.waiting.pop_front();
    asio::post(context_,
               [self = shared_from_this(), next = std::move(next)]() mutable {
                 self->Dispatch(std::move(next));
               });
  }
}

http_client::http_client(asio::io_context& context, http_client_options options)
    : pool_(std::make_shared<pool>(context, options)) {}

http_client::~http_client() = default;

void http_client::Send(http_request call, http_callback callback) {
  pool_->Submit({std::move(call), std::move(callback)});
}

}  // namespace skylarkbridge::transport
