// Establishing, monitoring and closing the connection to a peer.
#include "transport/peer_connection.hpp"

namespace banktide {

namespace {

constexpr Duration connect_timeout = 300ms;
constexpr Duration ping_delay = 100ms;
constexpr Duration reset_delay = 900ms;
constexpr Duration idle_check_interval = 30s;
constexpr Duration idle_timeout = 25s;
constexpr Duration drop_log_interval = 1s;

}  // namespace

PeerConnection::PeerConnection(SocketEnvironment& env, Address peer)
    : env_(env), peer_(std::move(peer)), queue_(env.limits_, env.totals_), alarm_(env) {}

Task<Result<Bytes>> PeerConnection::ask(std::uint8_t const kind, Bytes payload, Instant const deadline,
                                        SharedCancellation const cancellation) {
  if (is_cancelled(cancellation)) co_return make_error("ask", peer_, "cancelled", Proof::not_run);
  std::uint64_t const id = ++env_.last_id_;
  OutgoingFrame request =
      OutgoingFrame::of(FrameType::ask, kind, id, std::make_shared<Bytes const>(std::move(payload)));
  Admission const admission = queue_.push(std::move(request), env_.now());
  if (admission != Admission::accepted) co_return make_error("ask", peer_, to_text(admission), Proof::not_run);
  std::shared_ptr<PendingRequest> const waiting = std::make_shared<PendingRequest>(env_);
  if (pending_requests_.empty()) awaiting_since_ = env_.now();
  pending_requests_[id] = waiting;
  alarm_.wake();
  CancellationListener const listener(cancellation, [this, id] { cancel(id); });
  std::optional<Result<Bytes>> got = co_await waiting->reply.wait(deadline);
  pending_requests_.erase(id);
  if (got) co_return std::move(*got);
  queue_.withdraw(id);
  if (!waiting->sent) co_return make_error("wait_to_send", peer_, "deadline", Proof::not_run);
  co_return make_error("wait_for_reply", peer_, "deadline", Proof::unknown);
}

void PeerConnection::cancel(std::uint64_t const id) {
  auto const found = pending_requests_.find(id);
  if (found == pending_requests_.end() || found->second->reply.given()) return;
  if (queue_.withdraw(id)) {
    std::shared_ptr<PendingRequest> const waiting = found->second;
    waiting->reply.give(make_error("wait_to_send", peer_, "cancelled", Proof::not_run));
    return;
  }
  queue_.push(OutgoingFrame::of(FrameType::cancel, 0, id, nullptr), env_.now());
  alarm_.wake();
}

void PeerConnection::tell(std::uint8_t const kind, SharedBytes const& payload) {
  OutgoingFrame message = OutgoingFrame::of(FrameType::tell, kind, 0, payload);
  std::size_t const all = env_.totals_->bytes[static_cast<std::size_t>(QueueBound::one_way)];
  if (all + message.bytes() > env_.limits_.one_way.all_bytes) env_.drop_late_messages();
  queue_.push(std::move(message), env_.now());
  log_dropped();
  alarm_.wake();
}

void PeerConnection::check_silence() {
  if (socket_ == nullptr || pending_requests_.empty()) return;
  Instant const now = env_.now();
  if (!pinged_ && now - std::max(last_received_at_, awaiting_since_) > ping_delay) {
    OutgoingFrame ping = OutgoingFrame::of(FrameType::ask, ping_kind, 0, nullptr);
    pinged_ = queue_.push(std::move(ping), now) == Admission::accepted;
    ping_sent_ = false;
    pinged_at_ = now;
    alarm_.wake();
  }
  if (pinged_ && now - pinged_at_ > reset_delay) {
    log_warn("peer_silent", {{"peer", peer_}, {"waiting", std::to_string(pending_requests_.size())}});
    reset(*socket_);
    pinged_ = false;
  }
}

Duration PeerConnection::silence() const {
  return pinged_ && !pending_requests_.empty() ? env_.now() - pinged_at_ : Duration::zero();
}

Task<void> PeerConnection::run() {
  idle_since_ = env_.now();
  while (!env_.stopping_) {
    if (queue_.empty()) {
      co_await alarm_.wait(env_.now() + idle_check_interval);
      if (queue_.empty() && env_.now() - idle_since_ > idle_timeout) break;
      continue;
    }
    idle_since_ = env_.now();
    std::shared_ptr<Link> const link = co_await connect();
    if (!link) continue;
    co_await write(link);
    close(*link);
  }
  is_running = false;
}

void PeerConnection::stop() {
  fail_queue("ask", "stopping");
  if (socket_ != nullptr) reset(*socket_);
  alarm_.wake();
}

// Returns null on failure; the queued frames have then failed too.
Task<std::shared_ptr<PeerConnection::Link>> PeerConnection::connect() {
  Result<asio::ip::tcp::endpoint> const endpoint = parse_address(peer_);
  if (!endpoint) {
    fail_queue("connect", endpoint.error().reason);
    co_return nullptr;
  }
  std::shared_ptr<PeerSocket> const socket = std::make_shared<PeerSocket>(env_.io());
  socket_ = socket;
  boost::system::error_code const ec = co_await open(socket, *endpoint);
  if (ec) {
    socket_ = nullptr;
    fail_queue("connect", ec.message());
    co_return nullptr;
  }
  prepare(*socket);
  last_received_at_ = env_.now();
  pinged_ = false;
  std::shared_ptr<Link> const link = std::make_shared<Link>();
  link->socket = socket;
  env_.start(read(link), shared_from_this());
  co_return link;
}

Task<boost::system::error_code> PeerConnection::open(std::shared_ptr<PeerSocket> const socket,
                                                     asio::ip::tcp::endpoint const at) {
  boost::system::error_code ec;
  asio::steady_timer limit(env_.io(), env_.now() + connect_timeout);
  limit.async_wait([socket](boost::system::error_code const& cancelled) {
    boost::system::error_code ignored;
    if (!cancelled) socket->close(ignored);
  });
  co_await socket->async_connect(at, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec && !socket->is_open()) ec = asio::error::timed_out;
  co_return ec;
}

Task<void> PeerConnection::write(std::shared_ptr<Link> const link) {
  std::function<void()> const on_progress = [this] { on_bytes_written(); };
  while (!link->broken) {
    std::vector<OutgoingFrame> const batch = queue_.take(env_.now());
    log_dropped();
    if (batch.empty()) {
      co_await alarm_.wait(env_.now() + idle_check_interval);
      if (queue_.empty() && env_.now() - idle_since_ > idle_timeout) break;
      continue;
    }
    idle_since_ = env_.now();
    mark_sent(batch);
    boost::system::error_code const ec =
        co_await write_frames(link->socket, batch, env_.limits_.write_stall, on_progress);
    queue_.finish_batch();
    if (ec) break;
  }
}

Task<void> PeerConnection::read(std::shared_ptr<Link> const link) {
  std::function<void()> const on_progress = [this] { on_bytes_received(); };
  while (!link->broken) {
    Result<ReceivedFrame> frame = co_await read_frame(*link->socket, on_progress);
    bool const ends_a_request =
        frame && (frame->head.type == FrameType::reply || frame->head.type == FrameType::refused);
    if (!ends_a_request) break;
    auto const found = pending_requests_.find(frame->head.id);
    if (found == pending_requests_.end()) continue;
    std::shared_ptr<PendingRequest> const waiting = found->second;
    if (frame->head.type == FrameType::reply)
      waiting->reply.give(std::move(frame->payload));
    else
      waiting->reply.give(make_error(rejected_step, peer_, "the peer has no room for it", Proof::not_run));
  }
  link->broken = true;
  alarm_.wake();
}

void PeerConnection::close(Link& link) {
  link.broken = true;
  socket_ = nullptr;
  boost::system::error_code ignored;
  link.socket->close(ignored);
  std::vector<std::shared_ptr<PendingRequest>> lost;
  for (auto const& [id, waiting] : pending_requests_)
    if (waiting->sent) lost.push_back(waiting);
  for (std::shared_ptr<PendingRequest> const& waiting : lost)
    waiting->reply.give(make_error("wait_for_reply", peer_, "connection lost", Proof::unknown));
}

void PeerConnection::fail_queue(std::string const& step, std::string const& reason) {
  for (OutgoingFrame const& frame : queue_.take_all()) {
    auto const found = pending_requests_.find(frame.head.id);
    if (frame.head.type != FrameType::ask || found == pending_requests_.end()) continue;
    found->second->reply.give(make_error(step, peer_, reason, Proof::not_run));
  }
}

void PeerConnection::mark_sent(std::vector<OutgoingFrame> const& batch) {
  for (OutgoingFrame const& frame : batch) {
    if (frame.head.type != FrameType::ask) continue;
    if (frame.head.kind == ping_kind) ping_sent_ = true;
    auto const found = pending_requests_.find(frame.head.id);
    if (found != pending_requests_.end()) found->second->sent = true;
  }
}

void PeerConnection::on_bytes_received() {
  last_received_at_ = env_.now();
  pinged_ = false;
}

void PeerConnection::on_bytes_written() {
  if (pinged_ && !ping_sent_) pinged_at_ = env_.now();
}

void PeerConnection::log_dropped() {
  DroppedMessages const more = queue_.take_dropped();
  dropped_.over_bound += more.over_bound;
  dropped_.late += more.late;
  if (dropped_.sum() == 0 || env_.now() - drops_logged_at_ < drop_log_interval) return;
  log_warn("messages_dropped", {{"peer", peer_},
                                {"over_bound", std::to_string(dropped_.over_bound)},
                                {"late", std::to_string(dropped_.late)},
                                {"queued_bytes", std::to_string(queue_.bytes())}});
  dropped_ = {};
  drops_logged_at_ = env_.now();
}

}  // namespace banktide
