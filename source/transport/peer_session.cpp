// Reading, handling and answering the requests of an accepted connection.
#include "transport/peer_session.hpp"

namespace banktide {

namespace {

constexpr std::size_t max_concurrent_requests = 4096;
constexpr Duration idle_wait = 3600s;
constexpr Duration room_check_interval = 10ms;     // other peers' queues may make room
std::function<void()> const no_progress_callback;  // progress isn't tracked here

std::string remote_address(PeerSocket const& socket) {
  boost::system::error_code ec;
  asio::ip::tcp::endpoint const from = socket.remote_endpoint(ec);
  return ec ? "gone" : from.address().to_string() + ":" + std::to_string(from.port());
}

}  // namespace

PeerSession::PeerSession(SocketEnvironment& env, PeerSocket socket)
    : env_(env),
      socket_(std::make_shared<PeerSocket>(std::move(socket))),
      peer_(remote_address(*socket_)),
      queue_(env.limits_, env.totals_),
      alarm_(env) {}

PeerSession::~PeerSession() {
  while (!held_back_.empty()) drop_held_back(held_back_.begin());
}

void PeerSession::start() {
  env_.start(read_requests(), shared_from_this());
  env_.start(write_responses(), shared_from_this());
}

void PeerSession::close() {
  closed_ = true;
  queue_.take_all();
  while (!held_back_.empty()) drop_held_back(held_back_.begin());
  boost::system::error_code ignored;
  socket_->close(ignored);
  alarm_.wake();
  cancel_all();
}

void PeerSession::cancel(std::uint64_t const id) {
  auto const held_back = std::find_if(held_back_.begin(), held_back_.end(),
                                      [id](OutgoingFrame const& response) { return response.head.id == id; });
  if (held_back != held_back_.end()) drop_held_back(held_back);
  auto const found = in_progress_.find(id);
  if (found == in_progress_.end()) return;  // already answered
  SharedCancellation const cancellation = found->second;
  cancellation->request();
}

// The answers can no longer be delivered.
void PeerSession::cancel_all() {
  std::vector<SharedCancellation> all;
  for (auto const& [id, cancellation] : in_progress_) all.push_back(cancellation);
  in_progress_.clear();
  for (SharedCancellation const& cancellation : all) cancellation->request();
}

// Reserves the bytes of a large request before it is read.
bool PeerSession::try_accept(FrameHead const& head) {
  if (!is_large_request(head)) return true;
  std::size_t& accepted_bytes = env_.totals_->accepted_requests;
  if (accepted_bytes > 0 && accepted_bytes + head.length > env_.limits_.accepted_request_bytes) return false;
  accepted_bytes += head.length;
  return true;
}

void PeerSession::release_accepted(FrameHead const& head) {
  if (is_large_request(head)) env_.totals_->accepted_requests -= head.length;
}

bool PeerSession::is_large_request(FrameHead const& head) const {
  return head.type == FrameType::ask && head.length > env_.limits_.large_above;
}

Task<void> PeerSession::read_requests() {
  std::optional<FrameHead> being_read;
  FrameFilter const has_room = [this, &being_read](FrameHead const& head) {
    bool const accepted = try_accept(head);
    if (accepted) being_read = head;
    return accepted;
  };
  while (!closed_) {
    being_read.reset();
    Result<ReceivedFrame> frame = co_await read_frame(*socket_, no_progress_callback, has_room);
    if (frame && frame->skipped) {
      respond(OutgoingFrame::of(FrameType::refused, frame->head.kind, frame->head.id, nullptr));
      continue;
    }
    if (frame && frame->head.type == FrameType::ask && frame->head.kind == ping_kind) {
      respond(OutgoingFrame::of(FrameType::reply, ping_kind, frame->head.id, nullptr));
      continue;
    }
    if (frame && frame->head.type == FrameType::cancel) {
      cancel(frame->head.id);
      continue;
    }
    if (frame && frame->head.type != FrameType::reply && env_.dispatcher_->handlers[frame->head.kind]) {
      while (is_at_capacity() && !closed_) co_await sleep_for(env_, 1ms);
      ++handling_;
      being_read.reset();
      env_.start(answer(std::move(*frame)), shared_from_this());
      continue;
    }
    std::string const reason =
        !frame ? frame.error().reason : "unexpected sort or kind " + std::to_string(frame->head.kind);
    if (!reason.empty() && !closed_)
      log_warn("bad_frame", {{"step", "read_frame"}, {"peer", peer_}, {"reason", reason}});
    break;
  }
  if (being_read) release_accepted(*being_read);
  close();
}

// Backpressure: a peer that sends more requests than it reads responses is slowed down.
bool PeerSession::is_at_capacity() const { return handling_ >= max_concurrent_requests || !held_back_.empty(); }

Task<void> PeerSession::answer(ReceivedFrame request) {
  FrameHead const head = request.head;
  SharedCancellation const cancellation = std::make_shared<Cancellation>();
  if (head.type == FrameType::ask) in_progress_[head.id] = cancellation;
  Result<Bytes> reply = co_await env_.dispatcher_->handlers[head.kind](std::move(request.payload), cancellation);
  --handling_;
  release_accepted(head);
  in_progress_.erase(head.id);
  if (!reply) {
    log_warn("bad_frame", {{"step", reply.error().step},
                           {"peer", peer_},
                           {"kind", std::to_string(head.kind)},
                           {"length", std::to_string(head.length)},
                           {"reason", reply.error().reason}});
    close();
    co_return;
  }
  if (head.type != FrameType::ask || closed_) co_return;
  SharedBytes const payload = std::make_shared<Bytes const>(std::move(*reply));
  respond(OutgoingFrame::of(FrameType::reply, head.kind, head.id, payload));
}

void PeerSession::respond(OutgoingFrame response) {
  if (!queue_.has_room_for(response)) return hold_back(std::move(response));
  queue_.push(std::move(response), env_.now());
  alarm_.wake();
}

// Drops the new response rather than an older one: the requests of both have run, so neither is worth less.
void PeerSession::hold_back(OutgoingFrame response) {
  if (env_.totals_->held_back + response.bytes() > env_.limits_.held_back_bytes) {
    log_warn("response_dropped", {{"step", "respond"},
                                  {"peer", peer_},
                                  {"length", std::to_string(response.head.length)},
                                  {"held_back", std::to_string(env_.totals_->held_back)}});
    response = OutgoingFrame::of(FrameType::reply, response.head.kind, response.head.id, nullptr);
  }
  env_.totals_->held_back += response.bytes();
  held_back_.push_back(std::move(response));
  alarm_.wake();
}

std::list<OutgoingFrame>::iterator PeerSession::drop_held_back(std::list<OutgoingFrame>::iterator const at) {
  env_.totals_->held_back -= at->bytes();
  return held_back_.erase(at);
}

void PeerSession::queue_held_back() {
  for (auto at = held_back_.begin(); at != held_back_.end();) {
    if (!queue_.has_room_for(*at)) {
      ++at;
      continue;
    }
    queue_.push(*at, env_.now());
    at = drop_held_back(at);
  }
}

Task<void> PeerSession::write_responses() {
  while (!closed_) {
    queue_held_back();
    std::vector<OutgoingFrame> const batch = queue_.take(env_.now());
    if (batch.empty()) {
      co_await alarm_.wait(env_.now() + (held_back_.empty() ? idle_wait : room_check_interval));
      continue;
    }
    boost::system::error_code const ec =
        co_await write_frames(socket_, batch, env_.limits_.write_stall, no_progress_callback);
    queue_.finish_batch();
    if (ec) close();
  }
}

}  // namespace banktide
