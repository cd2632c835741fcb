#include "skylarkbridge/transport/http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <list>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/transport/connect_turns.hpp"
#include "skylarkbridge/transport/endpoint.hpp"

namespace skylarkbridge::transport {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Bytes that one read from a connection may return. Without a reserved buffer
/// Beast reads 512 bytes at a time, each behind the other work of the thread.
constexpr std::size_t kReadBytes = 64U << 10U;

/// Turns of the thread in which a connection may read on after the deadline of
/// a request. Enough for a page of a log; a response that is still arriving
/// does not extend the deadline by more.
constexpr int kMaxLateReads = 8;

struct pending_request {
  http_request request;
  http_callback callback;
};

/// A request that waits for a connection, and the timer of its deadline.
struct waiting_request {
  pending_request pending;
  asio::steady_timer timer;
};

void StartTimer(asio::steady_timer& timer, time_point deadline) {
  timer.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(
      deadline - boot_clock::now()));
}

}  // namespace

class http_client::connection_pool
    : public std::enable_shared_from_this<connection_pool> {
 public:
  connection_pool(asio::io_context& context, http_client_options options)
      : context_(context),
        options_(options),
        reconnects_(options.reconnect_interval),
        reconnect_timer_(context) {}

  void Submit(pending_request pending) {
    asio::post(context_, [self = shared_from_this(),
                          pending = std::move(pending)]() mutable {
      self->Dispatch(std::move(pending));
    });
  }

 private:
  class connection;

  /// Connections to one address and the requests that wait for them.
  struct address_connections {
    std::vector<std::shared_ptr<connection>> idle;
    std::list<waiting_request> waiting;
    std::size_t open_count = 0;
  };

  void Dispatch(pending_request pending);
  /// Keeps the request until a connection is free, at most to its deadline.
  void Wait(pending_request pending);
  /// Fails the waiting requests to the address whose deadline has passed.
  void FailOverdue(const std::string& address);
  void OnIdle(const std::string& address,
              const std::shared_ptr<connection>& idle);
  void OnClosed(const std::string& address);
  /// Closes the idle connections to the address.
  void CloseIdle(const std::string& address);
  void DispatchWaiting(const std::string& address);
  /// Begins a connection attempt in its turn.
  void ConnectInTurn(connect_turns::attempt begin);
  /// Begins the attempts that are due, and waits for the next one.
  void RunReconnects();

  asio::io_context& context_;
  const http_client_options options_;
  connect_turns reconnects_;
  asio::steady_timer reconnect_timer_;
  absl::flat_hash_map<std::string, address_connections> by_address_;
};

/// A connection that exchanges one request and response at a time.
class http_client::connection_pool::connection
    : public std::enable_shared_from_this<connection> {
 public:
  connection(std::shared_ptr<connection_pool> owner, std::string address)
      : owner_(std::move(owner)),
        address_(std::move(address)),
        socket_(owner_->context_),
        timer_(owner_->context_) {
    buffer_.reserve(kReadBytes);
  }

  void SendRequest(pending_request pending) {
    pending_ = std::move(pending);
    write_started_ = false;
    StartDeadlineTimer();
    if (socket_.is_open()) {
      Write();
    } else if (pending_->request.reconnect_until) {
      ConnectInTurn();
    } else {
      Connect();
    }
  }

  /// Closes an idle connection.
  void Close() {
    error_code ignored;  // The connection is discarded in any case.
    socket_.close(ignored);
    owner_->OnClosed(address_);
  }

 private:
  void StartDeadlineTimer() {
    StartTimer(timer_, pending_->request.deadline);
    timer_.async_wait([self = shared_from_this(),
                       generation = ++generation_](const error_code& error) {
      if (!error && generation == self->generation_ && self->pending_) {
        self->ReadBeforeFailing(generation, kMaxLateReads);
      }
    });
  }

  /// Fails the request at its deadline, but first lets the handlers run of what
  /// has arrived by then: on a busy thread they may wait behind the timer.
  void ReadBeforeFailing(std::uint64_t generation, int reads_left) {
    asio::post(
        owner_->context_, [self = shared_from_this(), generation, reads_left] {
          if (generation != self->generation_ || !self->pending_) {
            return;
          }
          error_code ignored;  // Without a usable socket nothing is available.
          if (reads_left > 0 && self->socket_.available(ignored) > 0) {
            self->ReadBeforeFailing(generation, reads_left - 1);
          } else {
            self->Fail();
          }
        });
  }

  /// Returns a completion handler that runs @p next, or fails the request on an
  /// error. It does nothing once the request has ended, for instance at its
  /// deadline.
  template <class Next>
  auto ThenUnlessEnded(Next next) {
    return [self = shared_from_this(), generation = generation_, next](
               const error_code& error, std::size_t /*bytes*/ = 0) {
      if (generation != self->generation_ || !self->pending_) {
        return;
      }
      if (error) {
        self->Fail();
      } else {
        next();
      }
    };
  }

  void ConnectInTurn() {
    owner_->ConnectInTurn(
        [weak = weak_from_this(), generation = generation_]() -> bool {
          const auto self = weak.lock();
          if (!self || generation != self->generation_ || !self->pending_) {
            return false;
          }
          self->Connect();
          return true;
        });
  }

  bool MayReconnect() const {
    const std::optional<time_point>& until = pending_->request.reconnect_until;
    return until && boot_clock::now() < *until;
  }

  void Connect() {
    const std::optional<tcp::endpoint> endpoint = ParseEndpoint(address_);
    if (!endpoint) {
      Fail();
      return;
    }
    socket_.async_connect(
        *endpoint, [self = shared_from_this(),
                    generation = generation_](const error_code& error) {
          if (generation == self->generation_ && self->pending_) {
            self->OnConnected(error);
          }
        });
  }

  void OnConnected(const error_code& error) {
    error_code ignored;  // A socket that can't be closed is replaced as well.
    if (error && MayReconnect()) {
      socket_.close(ignored);
      ConnectInTurn();
      return;
    }
    if (error || pending_->request.deadline <= boot_clock::now()) {
      Fail();
      return;
    }
    // A socket without the option still works.
    socket_.set_option(tcp::no_delay(true), ignored);
    Write();
  }

  void Write() {
    const http_request& request = pending_->request;
    request_ = {};
    request_.version(11);
    request_.method(http::string_to_verb(request.method));
    request_.target(request.target);
    request_.set(http::field::host, request.address);
    if (!request.content_type.empty()) {
      request_.set(http::field::content_type, request.content_type);
    }
    for (const auto& [name, value] : request.headers) {
      request_.set(name, value);
    }
    request_.body() = request.body;
    request_.prepare_payload();
    write_started_ = true;
    http::async_write(socket_, request_, ThenUnlessEnded([this] { Read(); }));
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(owner_->options_.max_body_bytes);
    http::async_read(socket_, buffer_, *parser_,
                     ThenUnlessEnded([this] { Finish(); }));
  }

  void Finish() {
    ++generation_;
    timer_.cancel();
    http_response response{
        .status = static_cast<int>(parser_->get().result_int()),
        .body = std::move(parser_->get().body())};
    const bool keep_alive = parser_->get().keep_alive();
    http_callback callback = std::move(pending_->callback);
    pending_.reset();
    if (keep_alive) {
      owner_->OnIdle(address_, shared_from_this());
    } else {
      Close();
    }
    callback(std::move(response));
  }

  void Fail() {
    ++generation_;
    timer_.cancel();
    http_callback callback = std::move(pending_->callback);
    pending_.reset();
    Close();
    if (write_started_) {
      // All connections may have gone silent together, also those with a
      // response since this request was sent: the silence began at any time
      // from then on, and only a request without a response shows it.
      owner_->CloseIdle(address_);
    }
    callback(write_started_ ? http_failure::kNoResponse
                            : http_failure::kNotSent);
  }

  std::shared_ptr<connection_pool> owner_;
  const std::string address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::optional<pending_request> pending_;
  /// Incremented for each request and at its end, so that completion handlers
  /// of an earlier request are ignored.
  std::uint64_t generation_ = 0;
  bool write_started_ = false;
  http::request<http::string_body> request_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
};

void http_client::connection_pool::Dispatch(pending_request pending) {
  const std::string address = pending.request.address;
  if (pending.request.deadline <= boot_clock::now()) {
    // The process may have been suspended since the request was queued.
    pending.callback(http_failure::kNotSent);
    DispatchWaiting(address);
    return;
  }
  address_connections& connections = by_address_[address];
  if (!connections.idle.empty()) {
    std::shared_ptr<connection> chosen = std::move(connections.idle.back());
    connections.idle.pop_back();
    chosen->SendRequest(std::move(pending));
    return;
  }
  if (connections.open_count >= options_.max_connections) {
    Wait(std::move(pending));
    return;
  }
  ++connections.open_count;
  std::make_shared<connection>(shared_from_this(), address)
      ->SendRequest(std::move(pending));
}

void http_client::connection_pool::Wait(pending_request pending) {
  const std::string address = pending.request.address;
  const time_point deadline = pending.request.deadline;
  std::list<waiting_request>& waiting = by_address_[address].waiting;
  waiting.push_back({std::move(pending), asio::steady_timer(context_)});
  // Each request has a timer of its own, as the connections may have gone
  // silent or hold long polls: none of them may be free before the deadline.
  asio::steady_timer& timer = waiting.back().timer;
  StartTimer(timer, deadline);
  timer.async_wait([weak = weak_from_this(), address](const error_code& error) {
    if (const auto self = weak.lock(); self && !error) {
      self->FailOverdue(address);
    }
  });
}

void http_client::connection_pool::FailOverdue(const std::string& address) {
  std::list<waiting_request>& waiting = by_address_[address].waiting;
  const time_point now = boot_clock::now();
  for (auto each = waiting.begin(); each != waiting.end();) {
    if (now < each->pending.request.deadline) {
      ++each;
      continue;
    }
    asio::post(context_,
               [callback = std::move(each->pending.callback)]() mutable {
                 callback(http_failure::kNotSent);
               });
    each = waiting.erase(each);
  }
}

void http_client::connection_pool::OnIdle(
    const std::string& address,
    const std::shared_ptr<connection>& idle) {
  by_address_[address].idle.push_back(idle);
  DispatchWaiting(address);
}

void http_client::connection_pool::OnClosed(const std::string& address) {
  --by_address_[address].open_count;
  DispatchWaiting(address);
}

void http_client::connection_pool::CloseIdle(const std::string& address) {
  for (const std::shared_ptr<connection>& each :
       std::exchange(by_address_[address].idle, {})) {
    each->Close();
  }
}

void http_client::connection_pool::DispatchWaiting(const std::string& address) {
  FailOverdue(address);
  address_connections& connections = by_address_[address];
  if (!connections.waiting.empty() &&
      (!connections.idle.empty() ||
       connections.open_count < options_.max_connections)) {
    pending_request next = std::move(connections.waiting.front().pending);
    connections.waiting.pop_front();
    asio::post(context_,
               [self = shared_from_this(), next = std::move(next)]() mutable {
                 self->Dispatch(std::move(next));
               });
  }
}

void http_client::connection_pool::ConnectInTurn(connect_turns::attempt begin) {
  reconnects_.Add(std::move(begin));
  RunReconnects();
}

void http_client::connection_pool::RunReconnects() {
  reconnects_.Run(boot_clock::now());
  const std::optional<time_point> next = reconnects_.NextTurn();
  if (!next) {
    return;
  }
  StartTimer(reconnect_timer_, *next);
  reconnect_timer_.async_wait(
      [weak = weak_from_this()](const error_code& error) {
        if (const auto self = weak.lock(); self && !error) {
          self->RunReconnects();
        }
      });
}

http_client::http_client(asio::io_context& context, http_client_options options)
    : pool_(std::make_shared<connection_pool>(context, options)) {}

http_client::~http_client() = default;

void http_client::Send(http_request request, http_callback callback) {
  pool_->Submit({std::move(request), std::move(callback)});
}

}  // namespace skylarkbridge::transport
