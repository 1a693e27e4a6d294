// A connection always waits for readability, so that bytes or an end that arrive while
// it is idle close it before another request uses it. A call borrows the connection and
// awaits the connection's single timer, which expires at the deadline and is cancelled
// by the outcome.
#include "transport/backend_connections.hpp"

#include "transport/http_codec.hpp"
#include "transport/idle_limit.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <algorithm>
#include <array>
#include <cstring>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace banktide {

namespace {

using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr Duration connect_timeout = 500ms;
constexpr int user_timeout_ms = 2000;             // TCP_USER_TIMEOUT
constexpr std::size_t max_unmatched_answers = 4;  // answers to other requests before the matching one
constexpr std::size_t reads_per_event = 16;       // then other connections get their turn
constexpr std::size_t pending_limit = 96u << 10;  // unparsed bytes of an answer

bool would_block(ErrorCode const& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

bool always_has_length(std::string const& method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

// The request line and headers as written, or an error if they can't be written safely.
Result<std::string> format_request_head(HttpRequest request, std::size_t const body_bytes, Address const& peer) {
  bool const method_safe = is_safe(Header{request.method, ""});
  bool const target_safe = !request.target.empty() && std::all_of(request.target.begin(), request.target.end(),
                                                                  [](char const c) { return c > ' ' && c != '\x7f'; });
  if (!method_safe || !target_safe) return make_error("request", peer, "unsafe request line", Proof::not_run);
  remove_hop_by_hop(request.headers);
  std::string head;
  head.reserve(64 + request.target.size() + request.headers.size() * 48);
  head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  for (Header const& header : request.headers) {
    if (!is_safe(header)) return make_error("request", peer, "unsafe header", Proof::not_run);
    append_header(head, header.name, header.value);
  }
  if (body_bytes > 0 || always_has_length(request.method))
    append_header(head, "Content-Length", std::to_string(body_bytes));
  head.append("\r\n");
  return head;
}

// The content of a call, the same on each connection that it tries.
struct OutgoingCall {
  std::string head;
  std::string body;
  std::string attempt_header;
  std::string attempt_id;
  Instant deadline{};
  bool is_head = false;
  bool repeatable = false;
  SharedCancellation cancellation;
};

}  // namespace

class BackendConnection;

struct BackendPool : std::enable_shared_from_this<BackendPool> {
  BackendPool(asio::io_context& context, Address a, std::size_t const max_open)
      : io(context), address(std::move(a)), limit(max_open) {}

  std::shared_ptr<BackendConnection> acquire_idle(bool repeatable);
  void drop_expired(Instant now);
  void close();

  asio::io_context& io;
  Address address;
  std::size_t limit;
  std::vector<std::shared_ptr<BackendConnection>> idle;  // most recently used last
  std::size_t open = 0;
  std::uint64_t opened = 0;
  IdleLimit idle_limit;
  bool closed = false;
};

class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  explicit BackendConnection(std::shared_ptr<BackendPool> pool)
      : pool_(std::move(pool)), socket_(pool_->io), alarm_(pool_->io) {
    ++pool_->open;
    ++pool_->opened;
  }
  ~BackendConnection() { close(); }

  Task<Result<void>> connect(Instant deadline);
  Task<Result<HttpReply>> exchange(std::shared_ptr<OutgoingCall const> outgoing_call);
  void close();
  bool has_no_pending_input();
  bool is_reusable_at(Instant now) const { return now < reusable_until_; }
  Instant last_used() const { return last_used_; }
  /// Whether the connection ended during the last exchange, before any byte of an answer.
  bool lost_without_answer() const { return connection_lost_ && !received_anything_; }

 private:
  void wait_to_read();
  void wait_to_write();
  void on_readable(ErrorCode const& error);
  bool read_once();
  void consume_bytes(std::string_view bytes);
  std::size_t parse(std::string_view bytes);
  bool accept_answer();
  void write();
  bool write_once();
  void fail(std::string step, std::string reason);
  void finish(Result<HttpReply> outcome);
  void on_connection_lost(std::string const& step, ErrorCode const& error);
  void keep_or_close(bool reusable, Duration idle_time);

  std::shared_ptr<BackendPool> pool_;
  tcp::socket socket_;
  asio::steady_timer alarm_;
  boost::beast::flat_buffer pending_;
  std::unique_ptr<ReplyParser> parser_;
  std::shared_ptr<OutgoingCall const> current_call_;
  std::optional<Result<HttpReply>> outcome_;
  std::size_t written_ = 0;
  std::size_t unmatched_answers_ = 0;
  Instant last_used_{};
  Instant reusable_until_{};
  Duration idle_time_{};
  bool reusable_ = false;
  bool received_anything_ = false;
  bool connection_lost_ = false;
  bool waits_to_write_ = false;
  bool closed_ = false;
};

// ---- opening and closing

Task<Result<void>> BackendConnection::connect(Instant const deadline) {
  std::shared_ptr<BackendConnection> const self = shared_from_this();
  Address const peer = pool_->address;
  Result<tcp::endpoint> const endpoint = endpoint_of(peer);
  if (!endpoint) co_return make_error("connect", peer, endpoint.error().reason, Proof::not_run);
  alarm_.expires_at(std::min(deadline, std::chrono::steady_clock::now() + connect_timeout));
  std::shared_ptr<std::optional<ErrorCode>> const result = std::make_shared<std::optional<ErrorCode>>();
  socket_.async_connect(*endpoint, [self, result](ErrorCode const& error) {
    *result = error;
    self->alarm_.cancel();
  });
  ErrorCode ignored;
  co_await alarm_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (!*result) {
    close();
    co_return make_error("connect", peer, "timeout", Proof::not_run);
  }
  ErrorCode error = **result;
  if (error == asio::error::connection_refused) co_return make_error("connect", peer, "refused", Proof::not_run);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.set_option(tcp::no_delay(true), error);
  if (error) co_return make_error("connect", peer, error.message(), Proof::not_run);
  ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
  wait_to_read();
  co_return Result<void>();
}

void BackendConnection::close() {
  if (closed_) return;
  closed_ = true;
  --pool_->open;
  ErrorCode error;
  socket_.close(error);
  std::erase_if(pool_->idle, [&](std::shared_ptr<BackendConnection> const& c) { return c.get() == this; });
}

// Whether an idle connection has neither unread bytes nor an end of stream that its
// read wait hasn't reported yet.
bool BackendConnection::has_no_pending_input() {
  if (closed_) return false;
  char byte = 0;
  ssize_t const got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// ---- an exchange

Task<Result<HttpReply>> BackendConnection::exchange(std::shared_ptr<OutgoingCall const> outgoing_call) {
  std::shared_ptr<BackendConnection> const self = shared_from_this();
  current_call_ = std::move(outgoing_call);
  outcome_.reset();
  written_ = 0;
  unmatched_answers_ = 0;
  received_anything_ = connection_lost_ = false;
  alarm_.expires_at(current_call_->deadline);
  CancellationListener const listener(current_call_->cancellation, [this] {
    if (!outcome_) fail("cancelled", "the caller cancelled it");
  });
  write();
  if (!outcome_) {
    ErrorCode ignored;
    co_await alarm_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!outcome_) fail("deadline", "deadline");
  Result<HttpReply> outcome = std::move(*outcome_);
  outcome_.reset();
  current_call_.reset();
  keep_or_close(outcome.has_value() && reusable_, idle_time_);
  co_return outcome;
}

void BackendConnection::keep_or_close(bool const reusable, Duration const idle_time) {
  parser_.reset();
  if (!reusable || pool_->closed || closed_) {
    close();
    return;
  }
  if (pending_.capacity() > 0) pending_.shrink_to_fit();
  last_used_ = std::chrono::steady_clock::now();
  reusable_until_ = last_used_ + idle_time;
  pool_->idle.push_back(shared_from_this());
}

void BackendConnection::finish(Result<HttpReply> outcome) {
  if (outcome_) return;
  outcome_ = std::move(outcome);
  alarm_.cancel();
}

void BackendConnection::fail(std::string step, std::string reason) {
  Proof const proof = written_ == 0 ? Proof::not_run : Proof::unknown;
  finish(make_error(std::move(step), pool_->address, std::move(reason), proof));
  close();
}

void BackendConnection::on_connection_lost(std::string const& step, ErrorCode const& error) {
  if (!current_call_ || outcome_) {
    close();
    return;
  }
  connection_lost_ = true;
  fail(step, error == asio::error::eof ? "closed" : error.message());
}

// ---- writing

void BackendConnection::write() {
  while (!closed_ && written_ < current_call_->head.size() + current_call_->body.size())
    if (!write_once()) return;
}

// Returns whether more can be written immediately.
bool BackendConnection::write_once() {
  std::size_t const of_head = std::min(written_, current_call_->head.size());
  std::size_t const of_body = written_ - of_head;
  std::array<asio::const_buffer, 2> const buffers{asio::buffer(current_call_->head) + of_head,
                                                  asio::buffer(current_call_->body) + of_body};
  ErrorCode error;
  written_ += socket_.write_some(buffers, error);
  if (would_block(error)) {
    wait_to_write();
    return false;
  }
  if (error) {
    on_connection_lost("write", error);
    return false;
  }
  return true;
}

void BackendConnection::wait_to_write() {
  if (waits_to_write_) return;
  waits_to_write_ = true;
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](ErrorCode const& error) {
    self->waits_to_write_ = false;
    if (!error && self->current_call_ && !self->outcome_) self->write();
  });
}

// ---- reading

void BackendConnection::wait_to_read() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode const& error) {
    if (!self->closed_) self->on_readable(error);
  });
}

void BackendConnection::on_readable(ErrorCode const& error) {
  if (error) {
    on_connection_lost("read", error);
    return;
  }
  for (std::size_t i = 0; i < reads_per_event && !closed_; ++i)
    if (!read_once()) break;
  if (!closed_) wait_to_read();
}

// Returns whether there may be more to read immediately.
bool BackendConnection::read_once() {
  std::span<char> const scratch = read_scratch();
  ErrorCode error;
  std::size_t const bytes = socket_.read_some(asio::buffer(scratch.data(), scratch.size()), error);
  if (would_block(error)) return false;
  if (error) {
    on_connection_lost("read", error);
    return false;
  }
  if (!current_call_) {  // bytes without a pending call
    close();
    return false;
  }
  if (outcome_) {  // bytes after the matching answer
    reusable_ = false;
    return false;
  }
  received_anything_ = true;
  consume_bytes(std::string_view(scratch.data(), bytes));
  return bytes == scratch.size();
}

void BackendConnection::consume_bytes(std::string_view bytes) {
  if (pending_.size() == 0) bytes.remove_prefix(parse(bytes));
  if (bytes.empty() || closed_) return;
  bool const was_empty = pending_.size() == 0;
  asio::mutable_buffer const room = pending_.prepare(bytes.size());
  std::memcpy(room.data(), bytes.data(), bytes.size());
  pending_.commit(bytes.size());
  if (!was_empty && !outcome_) {
    asio::const_buffer const all = pending_.data();
    pending_.consume(parse(std::string_view(static_cast<char const*>(all.data()), all.size())));
  }
  if (outcome_ && pending_.size() > 0) reusable_ = false;
  if (!outcome_ && pending_.size() > pending_limit) fail("garbled", "line too long");
}

// Parses answers until the matching one is complete; returns the number of bytes consumed.
std::size_t BackendConnection::parse(std::string_view const bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !outcome_) {
    if (!parser_) {
      parser_ = std::make_unique<ReplyParser>(default_header_bytes * 2, default_body_bytes);
      parser_->skip(current_call_->is_head);
    }
    bool const had_header = parser_->is_header_done();
    ErrorCode error;
    used += parser_->parse(bytes.substr(used), error, !had_header);
    if (error) {
      fail("garbled", error.message());
      return bytes.size();
    }
    if (!parser_->is_header_done()) break;
    if (!had_header && parser_->need_eof() && !parser_->is_done()) {
      fail("garbled", "no length");
      return bytes.size();
    }
    if (parser_->is_done()) {
      if (!accept_answer()) return bytes.size();
    } else if (had_header) {
      break;
    }
  }
  return used;
}

// Returns whether the connection remains usable.
bool BackendConnection::accept_answer() {
  std::unique_ptr<ReplyParser> const answer = std::move(parser_);
  if (answer->status == 101) {
    fail("garbled", "unrequested protocol switch");
    return false;
  }
  if (answer->status / 100 == 1) return true;
  std::string const* const id = find_header(answer->headers, current_call_->attempt_header);
  bool const is_matching = current_call_->attempt_header.empty() || (id && *id == current_call_->attempt_id);
  if (!is_matching) {
    if (++unmatched_answers_ <= max_unmatched_answers) return true;
    fail("garbled", "too many unmatched answers");
    return false;
  }
  bool const whole_request_sent = written_ == current_call_->head.size() + current_call_->body.size();
  reusable_ = answer->keep_alive() && whole_request_sent;
  idle_time_ = usable_idle_time(answer->headers);
  HttpReply reply;
  reply.status = answer->status;
  reply.headers = std::move(answer->headers);
  reply.body = std::move(answer->body);
  remove_hop_by_hop(reply.headers);
  finish(std::move(reply));
  return true;
}

// ---- the pool

void BackendPool::drop_expired(Instant const now) {
  std::vector<std::shared_ptr<BackendConnection>> expired;
  Duration const max_idle_time = idle_limit.allowed(now, true);
  for (std::shared_ptr<BackendConnection> const& connection : idle)
    if (!connection->is_reusable_at(now) || now - connection->last_used() > max_idle_time)
      expired.push_back(connection);
  for (std::shared_ptr<BackendConnection> const& connection : expired) connection->close();
}

// The most recently used connection that may carry the call, or nullptr.
std::shared_ptr<BackendConnection> BackendPool::acquire_idle(bool const repeatable) {
  Instant const now = std::chrono::steady_clock::now();
  drop_expired(now);
  while (!idle.empty()) {
    std::shared_ptr<BackendConnection> const most_recent = idle.back();
    if (now - most_recent->last_used() > idle_limit.allowed(now, repeatable)) return nullptr;
    if (most_recent->has_no_pending_input()) {
      idle.pop_back();
      return most_recent;
    }
    most_recent->close();
  }
  return nullptr;
}

void BackendPool::close() {
  closed = true;
  while (!idle.empty()) std::shared_ptr<BackendConnection>(idle.back())->close();
}

namespace {

Task<Result<std::shared_ptr<BackendConnection>>> open_new(std::shared_ptr<BackendPool> pool, Instant const deadline) {
  if (pool->open >= pool->limit && !pool->idle.empty()) std::shared_ptr<BackendConnection>(pool->idle.front())->close();
  if (pool->open >= pool->limit) co_return make_error("connect", pool->address, "limit", Proof::not_run);
  std::shared_ptr<BackendConnection> const connection = std::make_shared<BackendConnection>(pool);
  Result<void> const connected = co_await connection->connect(deadline);
  if (connected) co_return connection;
  connection->close();
  co_return tl::unexpected<Error>(connected.error());
}

// Tries an idle connection first; if it ends before any byte of an answer, tries a new
// one, provided that nothing was sent or the call may be repeated.
Task<Result<HttpReply>> run_call(std::shared_ptr<BackendPool> pool, std::shared_ptr<OutgoingCall const> outgoing_call) {
  Proof proof = Proof::not_run;
  std::shared_ptr<BackendConnection> connection = pool->acquire_idle(outgoing_call->repeatable);
  if (connection) {
    Instant const sent = std::chrono::steady_clock::now();
    Duration const idle_for = sent - connection->last_used();
    Result<HttpReply> first = co_await connection->exchange(outgoing_call);
    if (first) co_return first;
    Instant const ended = std::chrono::steady_clock::now();
    if (connection->lost_without_answer()) pool->idle_limit.on_silent_end(ended, idle_for, ended - sent);
    bool const may_repeat = first.error().proof == Proof::not_run || outgoing_call->repeatable;
    bool const may_retry = may_repeat && !is_cancelled(outgoing_call->cancellation);
    if (!connection->lost_without_answer() || !may_retry) co_return first;
    proof = first.error().proof;
  }
  Result<std::shared_ptr<BackendConnection>> opened_connection = co_await open_new(pool, outgoing_call->deadline);
  if (!opened_connection) {
    Error error = opened_connection.error();
    if (proof == Proof::unknown) error.proof = Proof::unknown;
    co_return tl::unexpected<Error>(error);
  }
  connection = *opened_connection;
  Result<HttpReply> outcome = co_await connection->exchange(outgoing_call);
  if (!outcome && proof == Proof::unknown) outcome.error().proof = Proof::unknown;
  co_return outcome;
}

}  // namespace

BackendConnections::BackendConnections(asio::io_context& io, Address address, std::size_t const connection_limit)
    : pool_(std::make_shared<BackendPool>(io, std::move(address), connection_limit)) {}

BackendConnections::~BackendConnections() { pool_->close(); }

Task<Result<HttpReply>> BackendConnections::call(BackendCall call) {
  std::shared_ptr<BackendPool> const pool = pool_;
  if (call.deadline <= std::chrono::steady_clock::now())
    co_return make_error("deadline", pool->address, "deadline", Proof::not_run);
  std::shared_ptr<OutgoingCall> const outgoing_call = std::make_shared<OutgoingCall>();
  outgoing_call->body = std::move(call.request.body);
  call.request.body.clear();
  outgoing_call->is_head = call.request.method == "HEAD";
  outgoing_call->attempt_header = std::move(call.attempt_header);
  outgoing_call->attempt_id = std::move(call.attempt_id);
  outgoing_call->deadline = call.deadline;
  outgoing_call->repeatable = call.repeatable;
  outgoing_call->cancellation = std::move(call.cancellation);
  Result<std::string> head = format_request_head(std::move(call.request), outgoing_call->body.size(), pool->address);
  if (!head) co_return tl::unexpected<Error>(head.error());
  outgoing_call->head = std::move(*head);
  co_return co_await run_call(pool, outgoing_call);
}

void BackendConnections::close() { pool_->close(); }

std::size_t BackendConnections::idle() const { return pool_->idle.size(); }

std::size_t BackendConnections::open() const { return pool_->open; }

std::uint64_t BackendConnections::opened() const { return pool_->opened; }

}  // namespace banktide
