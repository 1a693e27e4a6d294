// Connections are driven by readiness: they wait without a buffer of their own, read
// into the thread's scratch buffer, and keep only what couldn't be parsed yet. Each
// request has a slot; answers are written in the order of the slots. After every event
// `advance` makes as much progress as possible.
#include "transport/http_server.hpp"

#include "transport/http_codec.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <algorithm>
#include <array>
#include <cstring>
#include <list>
#include <optional>

namespace banktide {

namespace {

using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
namespace http = boost::beast::http;

constexpr Duration sweep_interval = 250ms;
constexpr Duration accept_retry_delay = 50ms;
constexpr Duration linger_time = 1s;
constexpr int accept_backlog = 1024;
constexpr std::size_t pipeline_depth = 16;
constexpr std::size_t reads_per_event = 8;         // then other connections get their turn
constexpr std::size_t rejected_connections = 256;  // connections beyond the limit, kept long enough to be answered 503
constexpr std::size_t pending_slack = 64u << 10;   // unparsed bytes beyond the header limit
constexpr std::size_t max_write_buffers = 16;      // buffers per write
constexpr std::string_view retry_after_seconds = "0.2";

bool would_block(ErrorCode const& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

std::uint16_t status_of(ErrorCode const& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

// Counts bytes against the server's total during its lifetime.
class ByteReservation {
 public:
  ByteReservation() = default;
  ByteReservation(std::shared_ptr<std::size_t> total, std::size_t const bytes)
      : total_(std::move(total)), bytes_(bytes) {
    *total_ += bytes_;
  }
  ByteReservation(ByteReservation&& other) noexcept
      : total_(std::move(other.total_)), bytes_(std::exchange(other.bytes_, 0)) {}
  ByteReservation& operator=(ByteReservation&& other) noexcept {
    std::swap(total_, other.total_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~ByteReservation() {
    if (total_) *total_ -= bytes_;
  }
  void set(std::size_t const bytes) {
    *total_ += bytes - bytes_;
    bytes_ = bytes;
  }

 private:
  std::shared_ptr<std::size_t> total_;
  std::size_t bytes_ = 0;
};

// A request's place in the order of answers.
struct AnswerSlot : HttpExchange {
  std::optional<HttpReply> reply;
  ByteReservation held;
  bool keep_alive = true;
  bool http_1_0 = false;
  bool is_head = false;
};

// An answer being written.
struct Outgoing {
  std::string head;
  std::string body;
  ByteReservation held;
};

}  // namespace

class HttpConnection;
using HttpConnections = std::list<std::shared_ptr<HttpConnection>>;

// State shared by a server's connections; it lives as long as any of them.
struct HttpServerCore : std::enable_shared_from_this<HttpServerCore> {
  HttpServerCore(asio::io_context& context, HttpHandler h, HttpServerLimits l)
      : io(context), handler(std::move(h)), limits(l), acceptor(context), accept_timer(context), sweep_timer(context) {}

  std::size_t connections() const { return idle.size() + busy.size(); }
  void accept_next();
  void accept_after_delay();
  void add_connection(tcp::socket socket);
  bool close_oldest_idle();
  void schedule_sweep();
  void sweep();
  void stop();

  asio::io_context& io;
  HttpHandler handler;
  HttpServerLimits limits;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  asio::steady_timer sweep_timer;
  HttpConnections idle;  // longest idle first
  HttpConnections busy;
  std::shared_ptr<std::size_t> held = std::make_shared<std::size_t>(0);
  std::size_t in_flight = 0;
  bool draining = false;
  bool sweeping = false;
  bool stopped = false;
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::shared_ptr<HttpServerCore> core, tcp::socket socket, bool const over_limit)
      : core_(std::move(core)), socket_(std::move(socket)), over_limit_(over_limit) {}

  void start(HttpConnections::iterator place);
  bool is_overdue(Instant now) const;
  void handle_overdue(Instant now);
  bool is_idle_since(Instant before) const { return idle_since_ <= before; }
  bool has_unread_bytes() const;
  void advance();
  void close();

 private:
  void wait_for_client();
  void on_readable(ErrorCode const& error);
  void on_hang_up(ClientState state);
  bool read_once(Instant now);
  void consume_bytes(std::string_view bytes);

  bool may_start_request() const;
  bool may_parse() const { return !closing_ && (parser_ || may_start_request()); }
  bool parse_pending();
  std::size_t parse(std::string_view bytes);
  bool accept_header(bool body_has_started);
  bool count_body();
  void dispatch();
  void reject(std::uint16_t status);
  void finish(std::shared_ptr<AnswerSlot> const& slot, HttpReply reply);

  bool queue_next_reply();
  std::string head_of(AnswerSlot& slot, bool closes) const;
  void queue_continue();
  void write();
  bool write_once();
  void linger();
  void update_idle_state();

  std::shared_ptr<HttpServerCore> core_;
  tcp::socket socket_;
  HttpConnections::iterator list_position_;
  boost::beast::flat_buffer pending_;  // read but not yet parsed
  std::unique_ptr<RequestParser> parser_;
  ByteReservation body_reservation_;
  std::vector<std::shared_ptr<AnswerSlot>> slots_;
  std::vector<Outgoing> unsent_;
  std::size_t written_ = 0;  // bytes of the first unsent answer
  Instant last_read_{};
  Instant last_write_{};
  Instant request_started_at_{};
  Instant header_started_at_{};
  Instant idle_since_{};
  Instant linger_until_{};
  bool over_limit_ = false;
  bool is_idle_ = true;
  bool waits_to_read_ = false;
  bool waits_for_error_ = false;
  bool waits_to_write_ = false;
  bool peer_finished_ = false;      // a FIN was received
  bool continue_due_ = false;       // the client awaits `100 Continue`
  bool closing_ = false;            // no further requests are accepted
  bool close_after_write_ = false;  // the last answer is queued
  bool lingering_ = false;          // a FIN was sent; further input is read and discarded
  bool closed_ = false;
};

// ---- connection: reading

void HttpConnection::start(HttpConnections::iterator const place) {
  list_position_ = place;
  idle_since_ = last_read_ = last_write_ = std::chrono::steady_clock::now();
  wait_for_client();
}

bool HttpConnection::has_unread_bytes() const {
  ErrorCode error;
  return socket_.available(error) > 0;
}

void HttpConnection::wait_for_client() {
  bool const has_capacity = may_parse() || closing_ || pending_.size() < core_->limits.header_bytes;
  if (!peer_finished_ && has_capacity) {
    if (waits_to_read_) return;
    waits_to_read_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode const& error) {
      self->waits_to_read_ = false;
      self->on_readable(error);
    });
    return;
  }
  if (waits_for_error_) return;
  waits_for_error_ = true;
  socket_.async_wait(tcp::socket::wait_error, [self = shared_from_this()](ErrorCode const& error) {
    self->waits_for_error_ = false;
    if (!error && !self->closed_) self->on_hang_up(ClientState::gone);
  });
}

void HttpConnection::on_readable(ErrorCode const& error) {
  if (closed_ || error) return;
  Instant const now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < reads_per_event && !closed_; ++i)
    if (!read_once(now)) break;
  advance();
}

// Returns whether there may be more to read immediately.
bool HttpConnection::read_once(Instant const now) {
  std::span<char> const scratch = read_scratch();
  ErrorCode error;
  std::size_t const bytes = socket_.read_some(asio::buffer(scratch.data(), scratch.size()), error);
  if (would_block(error)) return false;
  if (error) {
    on_hang_up(error == asio::error::eof ? ClientState::finished_sending : ClientState::gone);
    return false;
  }
  last_read_ = now;
  consume_bytes(std::string_view(scratch.data(), bytes));
  return bytes == scratch.size() && (may_parse() || closing_);
}

void HttpConnection::consume_bytes(std::string_view bytes) {
  if (closing_) return;
  if (pending_.size() == 0) bytes.remove_prefix(parse(bytes));
  if (bytes.empty() || closing_) return;
  asio::mutable_buffer const has_capacity = pending_.prepare(bytes.size());
  std::memcpy(has_capacity.data(), bytes.data(), bytes.size());
  pending_.commit(bytes.size());
  parse_pending();
}

void HttpConnection::on_hang_up(ClientState const state) {
  if (state == ClientState::finished_sending) peer_finished_ = true;
  std::vector<std::shared_ptr<AnswerSlot>> const unanswered = slots_;
  bool const ended = state == ClientState::gone || (lingering_ && peer_finished_);
  if (ended) close();
  for (std::shared_ptr<AnswerSlot> const& slot : unanswered) {
    if (slot->reply) continue;
    slot->client = state;
    if (slot->on_hang_up) slot->on_hang_up(state);
  }
}

// ---- connection: parsing

bool HttpConnection::may_start_request() const { return slots_.size() + unsent_.size() < pipeline_depth; }

// Returns whether any progress was made.
bool HttpConnection::parse_pending() {
  if (pending_.size() == 0 || !may_parse()) return false;
  asio::const_buffer const bytes = pending_.data();
  std::size_t const used = parse(std::string_view(static_cast<char const*>(bytes.data()), bytes.size()));
  pending_.consume(used);
  bool const too_long = may_parse() && pending_.size() > core_->limits.header_bytes + pending_slack;
  if (too_long) reject(400);
  return used > 0 || too_long;
}

// Dispatches every complete request; returns the number of bytes consumed.
std::size_t HttpConnection::parse(std::string_view const bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && may_parse()) {
    std::string_view const rest = bytes.substr(used);
    if (!parser_) {
      if (rest == "\r") break;
      if (rest.substr(0, 2) == "\r\n") {  // an empty line before a request is allowed
        used += 2;
        continue;
      }
      parser_ = std::make_unique<RequestParser>(core_->limits.header_bytes, core_->limits.body_bytes);
      body_reservation_ = ByteReservation(core_->held, 0);
      request_started_at_ = last_read_;
      header_started_at_ = std::chrono::steady_clock::now();
    }
    bool const had_header = parser_->is_header_done();
    ErrorCode error;
    used += parser_->parse(rest, error, !had_header);
    if (error) {
      reject(status_of(error));
      return bytes.size();
    }
    if (!parser_->is_header_done()) break;
    if (!had_header && !accept_header(used < bytes.size())) return bytes.size();
    if (!count_body()) return bytes.size();
    if (parser_->is_done())
      dispatch();
    else if (had_header)
      break;
  }
  return used;
}

// Returns whether the request may continue; if not, it has been rejected.
bool HttpConnection::accept_header(bool const body_has_started) {
  std::size_t const host_count = std::count_if(parser_->headers.begin(), parser_->headers.end(),
                                               [](Header const& header) { return same_name(header.name, "host"); });
  std::size_t const declared = parser_->content_length().value_or(0);
  if (host_count > 1) {
    reject(400);
    return false;
  }
  bool const too_many_connections = over_limit_ && core_->connections() > core_->limits.connections;
  if (too_many_connections || *core_->held + declared > core_->limits.buffered_bytes) {
    reject(503);
    return false;
  }
  bool const awaits_body = !parser_->is_done() && !body_has_started && !parser_->is_http_1_0();
  continue_due_ = awaits_body && header_has_token(parser_->headers, "expect", "100-continue");
  return true;
}

bool HttpConnection::count_body() {
  body_reservation_.set(parser_->body.size());
  if (*core_->held <= core_->limits.buffered_bytes) return true;
  reject(503);
  return false;
}

void HttpConnection::dispatch() {
  std::shared_ptr<AnswerSlot> const slot = std::make_shared<AnswerSlot>();
  slot->arrival = request_started_at_;
  slot->keep_alive = parser_->keep_alive();
  slot->http_1_0 = parser_->is_http_1_0();
  slot->is_head = parser_->method == "HEAD";
  slot->held = std::move(body_reservation_);
  HttpRequest request;
  request.method = std::move(parser_->method);
  request.target = std::move(parser_->target);
  request.headers = std::move(parser_->headers);
  request.body = std::move(parser_->body);
  remove_hop_by_hop(request.headers);
  parser_.reset();
  continue_due_ = false;
  closing_ = !slot->keep_alive;
  slots_.push_back(slot);
  ++core_->in_flight;
  asio::co_spawn(core_->io, core_->handler(std::move(request), slot),
                 [self = shared_from_this(), slot](std::exception_ptr const failure, HttpReply reply) {
                   --self->core_->in_flight;
                   if (failure) {
                     reply = HttpReply();
                     reply.status = 500;
                   }
                   self->finish(slot, std::move(reply));
                 });
}

// Answers a request that isn't accepted, and closes the connection.
void HttpConnection::reject(std::uint16_t const status) {
  std::shared_ptr<AnswerSlot> const slot = std::make_shared<AnswerSlot>();
  slot->keep_alive = false;
  slot->is_head = parser_ && parser_->method == "HEAD";
  slot->reply.emplace();
  slot->reply->status = status;
  if (status == 503) slot->reply->headers.push_back(Header{"Retry-After", std::string(retry_after_seconds)});
  slots_.push_back(slot);
  parser_.reset();
  body_reservation_ = ByteReservation();
  continue_due_ = false;
  closing_ = true;
}

// ---- connection: answering

void HttpConnection::finish(std::shared_ptr<AnswerSlot> const& slot, HttpReply reply) {
  slot->on_hang_up = nullptr;
  if (closed_) {
    slot->held = ByteReservation();
    return;
  }
  if (reply.status < 200 || reply.status > 999) {  // not a final status: an error of the handler
    reply = HttpReply();
    reply.status = 500;
  }
  slot->held = ByteReservation(core_->held, reply.body.size());
  slot->reply = std::move(reply);
  advance();
}

void HttpConnection::advance() {
  if (closed_) return;
  do {
    while (parse_pending() | queue_next_reply()) {
    }
    queue_continue();
    write();
    if (closed_) return;
  } while (parse_pending());
  if (closing_) pending_.consume(pending_.size());
  if (peer_finished_ && slots_.empty() && unsent_.empty()) {
    close();
    return;
  }
  wait_for_client();
  update_idle_state();
}

// Returns whether there was one. Only the last pending answer may close the connection.
bool HttpConnection::queue_next_reply() {
  if (close_after_write_ || slots_.empty() || !slots_.front()->reply) return false;
  std::shared_ptr<AnswerSlot> const slot = slots_.front();
  slots_.erase(slots_.begin());
  bool const no_request_started = slots_.empty() && pending_.size() == 0 && !parser_;
  bool const closes =
      !slot->keep_alive || (no_request_started && core_->draining) || (slots_.empty() && peer_finished_);
  Outgoing outgoing;
  outgoing.head = head_of(*slot, closes);
  std::uint16_t const status = slot->reply->status;
  if (!slot->is_head && status != 204 && status != 304) outgoing.body = std::move(slot->reply->body);
  outgoing.held = std::move(slot->held);
  if (unsent_.empty()) last_write_ = std::chrono::steady_clock::now();
  unsent_.push_back(std::move(outgoing));
  if (closes) {
    closing_ = close_after_write_ = true;
    parser_.reset();
    body_reservation_ = ByteReservation();
  }
  return true;
}

std::string HttpConnection::head_of(AnswerSlot& slot, bool const closes) const {
  HttpReply& reply = *slot.reply;
  std::string head = reply_head(reply.status, std::move(reply.headers));
  bool const may_have_body = reply.status != 204 && reply.status != 304;
  bool const length_known = !slot.is_head || !reply.body.empty();
  if (may_have_body && length_known) append_header(head, "Content-Length", std::to_string(reply.body.size()));
  if (closes) {
    append_header(head, "Connection", "close");
  } else {
    if (slot.http_1_0) append_header(head, "Connection", "keep-alive");
    // Slightly below the idle timeout, so that the client stops using the connection before it is closed.
    std::int64_t const seconds = (as_ms(core_->limits.idle_timeout) + 999) / 1000 - 1;
    if (seconds > 0) append_header(head, "Keep-Alive", "timeout=" + std::to_string(seconds));
  }
  head.append("\r\n");
  return head;
}

void HttpConnection::queue_continue() {
  if (!continue_due_ || !slots_.empty()) return;
  continue_due_ = false;
  if (unsent_.empty()) last_write_ = std::chrono::steady_clock::now();
  unsent_.emplace_back();
  unsent_.back().head = "HTTP/1.1 100 Continue\r\n\r\n";
}

void HttpConnection::write() {
  if (waits_to_write_ || lingering_) return;
  while (!unsent_.empty())
    if (!write_once()) return;
  if (close_after_write_) linger();
}

// Returns whether something was written and more may follow immediately.
bool HttpConnection::write_once() {
  std::array<asio::const_buffer, max_write_buffers> buffers;
  std::size_t count = 0;
  for (Outgoing const& outgoing : unsent_) {
    if (count + 2 > max_write_buffers) break;
    buffers[count++] = asio::buffer(outgoing.head);
    buffers[count++] = asio::buffer(outgoing.body);
  }
  std::size_t skip = written_;
  for (std::size_t i = 0; i < count && skip > 0; ++i) {
    std::size_t const part = std::min(skip, buffers[i].size());
    buffers[i] += part;
    skip -= part;
  }
  ErrorCode error;
  written_ += socket_.write_some(std::span<asio::const_buffer>(buffers.data(), count), error);
  if (would_block(error)) {
    waits_to_write_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](ErrorCode const& wait_error) {
      self->waits_to_write_ = false;
      if (!wait_error) self->advance();
    });
    return false;
  }
  if (error) {
    on_hang_up(ClientState::gone);
    return false;
  }
  last_write_ = std::chrono::steady_clock::now();
  std::size_t done = 0;
  while (done < unsent_.size() && written_ >= unsent_[done].head.size() + unsent_[done].body.size()) {
    written_ -= unsent_[done].head.size() + unsent_[done].body.size();
    ++done;
  }
  unsent_.erase(unsent_.begin(), unsent_.begin() + static_cast<std::ptrdiff_t>(done));
  return true;
}

// Shuts down the sending side and reads further input for a moment, because closing
// with unread bytes would reset the connection and lose the answer in transit.
void HttpConnection::linger() {
  ErrorCode error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  if (error || peer_finished_) {
    close();
    return;
  }
  lingering_ = true;
  linger_until_ = std::chrono::steady_clock::now() + linger_time;
}

void HttpConnection::update_idle_state() {
  bool const idle = !parser_ && slots_.empty() && unsent_.empty() && !closing_;
  if (idle) {
    idle_since_ = std::max(last_read_, last_write_);
    if (pending_.size() == 0 && pending_.capacity() > 0) pending_.shrink_to_fit();
    if (unsent_.capacity() > 1) unsent_.shrink_to_fit();
  }
  if (idle == is_idle_) return;
  is_idle_ = idle;
  HttpConnections& from = idle ? core_->busy : core_->idle;
  HttpConnections& to = idle ? core_->idle : core_->busy;
  to.splice(to.end(), from, list_position_);
}

void HttpConnection::close() {
  if (closed_) return;
  closed_ = true;
  ErrorCode error;
  socket_.close(error);
  parser_.reset();
  body_reservation_ = ByteReservation();
  slots_.clear();
  unsent_.clear();
  pending_.clear();
  std::shared_ptr<HttpConnection> const self = *list_position_;
  (is_idle_ ? core_->idle : core_->busy).erase(list_position_);
}

// ---- connection: timeouts

bool HttpConnection::is_overdue(Instant const now) const {
  HttpServerLimits const& limits = core_->limits;
  if (lingering_) return now >= linger_until_;
  if (!unsent_.empty() && now - last_write_ >= limits.idle_timeout) return true;
  if (!parser_ || closing_) return false;
  if (!parser_->is_header_done()) return now - header_started_at_ >= limits.header_timeout;
  return now - last_read_ >= limits.idle_timeout;
}

void HttpConnection::handle_overdue(Instant const now) {
  if (closed_ || !is_overdue(now)) return;
  if (lingering_) {
    close();
    return;
  }
  if (!unsent_.empty() && now - last_write_ >= core_->limits.idle_timeout) {
    on_hang_up(ClientState::gone);
    return;
  }
  reject(408);
  advance();
}

// ---- shared state

void HttpServerCore::accept_next() {
  acceptor.async_accept([self = shared_from_this()](ErrorCode const& error, tcp::socket socket) {
    if (self->stopped || !self->acceptor.is_open()) return;
    if (error) {
      self->accept_after_delay();
      return;
    }
    self->add_connection(std::move(socket));
    self->accept_next();
  });
}

// After errors such as running out of descriptors, retrying immediately would spin.
void HttpServerCore::accept_after_delay() {
  accept_timer.expires_after(accept_retry_delay);
  accept_timer.async_wait([self = shared_from_this()](ErrorCode const& error) {
    if (!error && !self->stopped && self->acceptor.is_open()) self->accept_next();
  });
}

void HttpServerCore::add_connection(tcp::socket socket) {
  bool const full = connections() >= limits.connections;
  bool const over_limit = full && !close_oldest_idle();
  if (over_limit && connections() >= limits.connections + rejected_connections) return;
  ErrorCode error;
  socket.non_blocking(true, error);
  if (!error) socket.set_option(tcp::no_delay(true), error);
  if (error) return;
  idle.push_back(std::make_shared<HttpConnection>(shared_from_this(), std::move(socket), over_limit));
  idle.back()->start(std::prev(idle.end()));
  schedule_sweep();
}

bool HttpServerCore::close_oldest_idle() {
  if (idle.empty() || idle.front()->has_unread_bytes()) return false;
  std::shared_ptr<HttpConnection> const oldest = idle.front();
  oldest->close();
  return true;
}

void HttpServerCore::schedule_sweep() {
  if (sweeping) return;
  sweeping = true;
  sweep_timer.expires_after(sweep_interval);
  sweep_timer.async_wait([self = shared_from_this()](ErrorCode const& error) {
    self->sweeping = false;
    if (error || self->stopped) return;
    self->sweep();
    if (self->connections() > 0) self->schedule_sweep();
  });
}

void HttpServerCore::sweep() {
  Instant const now = std::chrono::steady_clock::now();
  while (!idle.empty() && idle.front()->is_idle_since(now - limits.idle_timeout))
    if (!close_oldest_idle()) break;
  std::vector<std::shared_ptr<HttpConnection>> overdue;
  for (std::shared_ptr<HttpConnection> const& connection : busy)
    if (connection->is_overdue(now)) overdue.push_back(connection);
  for (std::shared_ptr<HttpConnection> const& connection : overdue) connection->handle_overdue(now);
}

void HttpServerCore::stop() {
  stopped = true;
  ErrorCode error;
  acceptor.close(error);
  accept_timer.cancel();
  sweep_timer.cancel();
  while (!idle.empty()) std::shared_ptr<HttpConnection>(idle.front())->close();
  while (!busy.empty()) std::shared_ptr<HttpConnection>(busy.front())->close();
}

// ---- server

HttpServer::HttpServer(asio::io_context& io, HttpHandler handler, HttpServerLimits const limits)
    : core_(std::make_shared<HttpServerCore>(io, std::move(handler), limits)) {}

HttpServer::~HttpServer() { core_->stop(); }

Result<Address> HttpServer::listen(Address const& address) {
  Result<tcp::endpoint> const endpoint = endpoint_of(address);
  if (!endpoint) return tl::unexpected<Error>(endpoint.error());
  ErrorCode error;
  core_->acceptor.open(endpoint->protocol(), error);
  if (!error) core_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) core_->acceptor.bind(*endpoint, error);
  if (!error) core_->acceptor.listen(accept_backlog, error);
  tcp::endpoint const bound = error ? tcp::endpoint() : core_->acceptor.local_endpoint(error);
  if (error) {
    ErrorCode ignored;
    core_->acceptor.close(ignored);
    return make_error("listen", address, error.message(), Proof::not_run);
  }
  core_->accept_next();
  return address_of(bound);
}

void HttpServer::set_limits(HttpServerLimits const limits) { core_->limits = limits; }

void HttpServer::drain() { core_->draining = true; }

void HttpServer::close_listener() {
  ErrorCode error;
  core_->acceptor.close(error);
  core_->accept_timer.cancel();
}

std::size_t HttpServer::connections() const { return core_->connections(); }

std::size_t HttpServer::busy() const { return core_->busy.size(); }

std::size_t HttpServer::in_flight() const { return core_->in_flight; }

std::size_t HttpServer::buffered() const { return *core_->held; }

}  // namespace banktide
