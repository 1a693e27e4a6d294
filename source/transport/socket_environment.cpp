// Alarms, the listening port, and the connections to peers.
#include "transport/socket_environment.hpp"

#include "transport/peer_connection.hpp"
#include "transport/peer_session.hpp"

namespace banktide {

namespace {

constexpr int accept_backlog = 1024;
constexpr Duration accept_retry_delay = 100ms;

}  // namespace

static_assert(Environment<SocketEnvironment>);

Result<asio::ip::tcp::endpoint> parse_address(Address const& a) {
  std::size_t const colon = a.rfind(':');
  if (colon == std::string::npos) return make_error("parse_address", a, "no port");
  boost::system::error_code ec;
  asio::ip::address const ip = asio::ip::make_address(a.substr(0, colon), ec);
  std::string const port = a.substr(colon + 1);
  if (ec || port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos ||
      std::stoul(port) > 65535)
    return make_error("parse_address", a, "not an ip:port");
  return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(std::stoul(port)));
}

void start_pool() {
  static bool const started = (crossplat::threadpool::initialize_with_threads(1), true);
  (void)started;
}

SocketEnvironment::Alarm::Alarm(SocketEnvironment& env) : timer_(env.executor()) {}

Task<bool> SocketEnvironment::Alarm::wait(Instant const until) {
  if (woken_) {
    woken_ = false;
    co_return false;
  }
  timer_.expires_at(until);
  boost::system::error_code ec;
  co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  bool const ran_out = !woken_;
  woken_ = false;
  co_return ran_out;
}

void SocketEnvironment::Alarm::wake() {
  woken_ = true;
  timer_.cancel();
}

SocketEnvironment::SocketEnvironment(PeerLimits const& limits)
    : io_(crossplat::threadpool::shared_instance().service()),
      chance_(std::random_device{}()),
      limits_(limits),
      totals_(std::make_shared<QueueTotals>()),
      task_ended_(*this) {}

SocketEnvironment::~SocketEnvironment() = default;

Result<Address> SocketEnvironment::listen(Address const& at) {
  Result<asio::ip::tcp::endpoint> ep = parse_address(at);
  if (!ep) return tl::unexpected<Error>(ep.error());
  boost::system::error_code ec;
  acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(io_);
  acceptor_->open(ep->protocol(), ec);
  if (!ec) acceptor_->set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_->bind(*ep, ec);
  if (!ec) acceptor_->listen(accept_backlog, ec);
  if (ec) return make_error("listen", at, ec.message());
  return ep->address().to_string() + ":" + std::to_string(acceptor_->local_endpoint().port());
}

void SocketEnvironment::serve(Dispatcher& dispatcher) {
  dispatcher_ = &dispatcher;
  start(accept());
}

Task<Result<Bytes>> SocketEnvironment::ask_raw(Address const peer, std::uint8_t const kind, Bytes payload,
                                               Instant const deadline, SharedCancellation cancellation) {
  if (payload.size() > frame_limit) co_return make_error("ask", peer, "frame over the limit", Proof::not_run);
  if (stopping_) co_return make_error("ask", peer, "stopping", Proof::not_run);
  std::shared_ptr<PeerConnection> const connection = connection_to(peer);
  if (!std::exchange(checking_connections_, true)) start(check_connections());
  Result<Bytes> reply = co_await connection->ask(kind, std::move(payload), deadline, std::move(cancellation));
  co_return reply;
}

void SocketEnvironment::tell_raw(Address const& peer, std::uint8_t const kind, SharedBytes const& payload) {
  if (payload->size() > frame_limit || stopping_) return;
  connection_to(peer)->tell(kind, payload);
}

Task<void> SocketEnvironment::stop() {
  stopping_ = true;
  boost::system::error_code ignored;
  if (acceptor_) acceptor_->close(ignored);
  for (std::weak_ptr<PeerSession> const& weak : sessions_)
    if (std::shared_ptr<PeerSession> const session = weak.lock()) session->close();
  std::vector<std::shared_ptr<PeerConnection>> connections;
  for (auto const& [peer, connection] : connections_) connections.push_back(connection);
  for (std::shared_ptr<PeerConnection> const& connection : connections) connection->stop();
  while (tasks_ > 0) co_await task_ended_.wait(now() + 1s);
}

void SocketEnvironment::start(Task<void> task, std::shared_ptr<void const> owner) {
  ++tasks_;
  asio::co_spawn(io_, std::move(task), [this, owner = std::move(owner)](std::exception_ptr const e) {
    --tasks_;
    if (stopping_) task_ended_.wake();
    if (!e) return;
    try {
      std::rethrow_exception(e);
    } catch (std::exception const& x) {
      log_warn("task_ended", {{"reason", x.what()}});
    }
  });
}

std::shared_ptr<PeerConnection> SocketEnvironment::connection_to(Address const& peer) {
  std::shared_ptr<PeerConnection>& connection = connections_[peer];
  if (!connection) connection = std::make_shared<PeerConnection>(*this, peer);
  std::shared_ptr<PeerConnection> const found = connection;
  if (!std::exchange(found->is_running, true)) start(run(found));
  return found;
}

Task<void> SocketEnvironment::run(std::shared_ptr<PeerConnection> const connection) {
  co_await connection->run();
  if (!connection->awaits_replies()) connections_.erase(connection->peer());
}

Duration SocketEnvironment::silence_of(Address const& peer) const {
  auto const found = connections_.find(peer);
  return found == connections_.end() ? Duration::zero() : found->second->silence();
}

// Runs only while replies are pending.
Task<void> SocketEnvironment::check_connections() {
  bool awaiting = true;
  while (awaiting && !stopping_) {
    co_await sleep_for(*this, PeerConnection::silence_check_interval);
    awaiting = false;
    for (auto const& [peer, connection] : connections_) {
      awaiting = awaiting || connection->awaits_replies();
      connection->check_silence();
    }
  }
  checking_connections_ = false;
}

void SocketEnvironment::drop_late_messages() {
  for (auto const& [peer, connection] : connections_) connection->drop_late(now());
}

Task<void> SocketEnvironment::accept() {
  while (!stopping_) {
    boost::system::error_code ec;
    PeerSocket socket = co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (stopping_) break;
    if (ec) {
      log_warn("accept_failed", {{"reason", ec.message()}});
      co_await sleep_for(*this, accept_retry_delay);
      continue;
    }
    prepare(socket);
    std::shared_ptr<PeerSession> const session = std::make_shared<PeerSession>(*this, std::move(socket));
    std::erase_if(sessions_, [](std::weak_ptr<PeerSession> const& weak) { return weak.expired(); });
    sessions_.push_back(session);
    session->start();
  }
}

}  // namespace banktide
