// How requests of an accepted connection are read, handled and answered.
#include "transport/peer_session.hpp"

namespace banktide {

namespace {

constexpr std::size_t handled_at_once = 4096;
constexpr Duration nothing_to_write = 3600s;
std::function<void()> const no_note;  // nobody asks here how far a frame has come

std::string name_of(PeerSocket const& socket) {
  boost::system::error_code ec;
  asio::ip::tcp::endpoint const from = socket.remote_endpoint(ec);
  return ec ? "gone" : from.address().to_string() + ":" + std::to_string(from.port());
}

}  // namespace

PeerSession::PeerSession(SocketWorld& world, PeerSocket socket)
    : world_(world),
      socket_(std::make_shared<PeerSocket>(std::move(socket))),
      peer_(name_of(*socket_)),
      queue_(world.limits_, world.totals_),
      alarm_(world) {}

void PeerSession::start() {
  world_.start(read_requests(), shared_from_this());
  world_.start(write_responses(), shared_from_this());
}

void PeerSession::close() {
  closed_ = true;
  queue_.take_all();
  boost::system::error_code ignored;
  socket_->close(ignored);
  alarm_.wake();
  cancel_all();
}

void PeerSession::cancel(std::uint64_t const id) {
  auto const found = under_way_.find(id);
  if (found == under_way_.end()) return;  // answered already
  SharedCancellation const cancellation = found->second;
  cancellation->request();
}

// Their answers can't be delivered any more.
void PeerSession::cancel_all() {
  std::vector<SharedCancellation> all;
  for (auto const& [id, cancellation] : under_way_) all.push_back(cancellation);
  under_way_.clear();
  for (SharedCancellation const& cancellation : all) cancellation->request();
}

Task<void> PeerSession::read_requests() {
  while (!closed_) {
    Result<ReceivedFrame> frame = co_await read_frame(*socket_, no_note);
    if (frame && frame->head.sort == Sort::ask && frame->head.kind == ping_kind) {
      respond(OutgoingFrame::of(Sort::reply, ping_kind, frame->head.id, nullptr));
      continue;
    }
    if (frame && frame->head.sort == Sort::cancel) {
      cancel(frame->head.id);
      continue;
    }
    if (frame && frame->head.sort != Sort::reply && world_.desk_->handlers[frame->head.kind]) {
      while (handling_ >= handled_at_once && !closed_) co_await sleep_for(world_, 1ms);
      ++handling_;
      world_.start(answer(std::move(*frame)), shared_from_this());
      continue;
    }
    std::string const reason =
        !frame ? frame.error().reason : "unexpected sort or kind " + std::to_string(frame->head.kind);
    if (!reason.empty() && !closed_)
      log_warn("bad_frame", {{"step", "read_frame"}, {"peer", peer_}, {"reason", reason}});
    break;
  }
  close();
}

Task<void> PeerSession::answer(ReceivedFrame request) {
  FrameHead const head = request.head;
  SharedCancellation const cancellation = std::make_shared<Cancellation>();
  if (head.sort == Sort::ask) under_way_[head.id] = cancellation;
  Result<Bytes> reply = co_await world_.desk_->handlers[head.kind](std::move(request.payload), cancellation);
  --handling_;
  under_way_.erase(head.id);
  if (!reply) {
    log_warn("bad_frame", {{"step", reply.error().step},
                           {"peer", peer_},
                           {"kind", std::to_string(head.kind)},
                           {"length", std::to_string(head.length)},
                           {"reason", reply.error().reason}});
    close();
    co_return;
  }
  if (head.sort != Sort::ask || closed_) co_return;
  SharedBytes const payload = std::make_shared<Bytes const>(std::move(*reply));
  respond(OutgoingFrame::of(Sort::reply, head.kind, head.id, payload));
}

void PeerSession::respond(OutgoingFrame response) {
  Admission const admission = queue_.push(std::move(response), world_.now());
  if (admission == Admission::taken) {
    alarm_.wake();
    return;
  }
  log_warn("session_closed", {{"step", "respond"}, {"peer", peer_}, {"reason", to_text(admission)}});
  close();
}

Task<void> PeerSession::write_responses() {
  while (!closed_) {
    std::vector<OutgoingFrame> const batch = queue_.take(world_.now());
    if (batch.empty()) {
      co_await alarm_.wait(world_.now() + nothing_to_write);
      continue;
    }
    boost::system::error_code const ec = co_await write_frames(socket_, batch, world_.limits_.write_stall, no_note);
    queue_.written();
    if (ec) close();
  }
}

}  // namespace banktide
