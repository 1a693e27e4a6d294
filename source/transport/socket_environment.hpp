// The production environment: the steady clock, and peers over TCP with the framing
// of `frame.hpp`. There is one outgoing connection per peer (`peer_connection.hpp`)
// and one session per accepted connection (`peer_session.hpp`), all on the single
// thread of the cpprest pool.
#pragma once

#include "transport/frame.hpp"
#include "transport/peer_limits.hpp"
#include "transport/environment.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <pplx/threadpool.h>
#include <tsl/robin_map.h>
#include <vector>

namespace banktide {

class PeerConnection;
class PeerSession;

Result<asio::ip::tcp::endpoint> parse_address(Address const& a);

/** Starts the cpprest thread pool with the single thread that runs everything. */
void start_pool();

class SocketEnvironment {
 public:
  class Alarm {
   public:
    explicit Alarm(SocketEnvironment& env);
    /** Returns true at the time, false if woken earlier. */
    Task<bool> wait(Instant until);
    void wake();

   private:
    asio::steady_timer timer_;
    bool woken_ = false;
  };

  explicit SocketEnvironment(PeerLimits const& limits = {});
  SocketEnvironment(SocketEnvironment const&) = delete;
  SocketEnvironment& operator=(SocketEnvironment const&) = delete;
  ~SocketEnvironment();

  Instant now() const { return std::chrono::steady_clock::now(); }
  std::mt19937_64& chance() { return chance_; }
  asio::io_context::executor_type executor() { return io_.get_executor(); }
  asio::io_context& io() { return io_; }

  /** Binds immediately, so that a port in use is a start-up error and the port chosen for 0 is known. */
  Result<Address> listen(Address const& at);
  void serve(Dispatcher& dispatcher);

  /** Sends a request. A failure before writing began is `not_run`, a later one `unknown`. */
  Task<Result<Bytes>> ask_raw(Address peer, std::uint8_t kind, Bytes payload, Instant deadline,
                              SharedCancellation cancellation = nullptr);
  /** Sends a one-way message, which may be dropped: see `PeerLimits`. */
  void tell_raw(Address const& peer, std::uint8_t kind, SharedBytes const& payload);

  /** How long a ping to the peer has been unanswered; detects silence well before the connection is reset. */
  Duration silence_of(Address const& peer) const;

  /** The bytes queued for peers or being written. */
  QueueTotals const& queued() const { return *totals_; }

  /** Closes all connections and returns when all tasks have ended. No requests may follow. */
  Task<void> stop();

 private:
  friend class PeerConnection;
  friend class PeerSession;

  // Starts a task that `stop` waits for; the task keeps `owner` alive.
  void start(Task<void> task, std::shared_ptr<void const> owner = nullptr);
  std::shared_ptr<PeerConnection> connection_to(Address const& peer);
  Task<void> run(std::shared_ptr<PeerConnection> connection);
  Task<void> check_connections();
  Task<void> accept();
  void drop_late_messages();

  asio::io_context& io_;
  std::mt19937_64 chance_;
  PeerLimits const limits_;
  std::shared_ptr<QueueTotals> const totals_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  Dispatcher* dispatcher_ = nullptr;
  std::uint64_t last_id_ = 0;
  bool checking_connections_ = false;
  bool stopping_ = false;
  std::size_t tasks_ = 0;
  Alarm task_ended_;
  tsl::robin_map<Address, std::shared_ptr<PeerConnection>> connections_;
  std::vector<std::weak_ptr<PeerSession>> sessions_;
};

}  // namespace banktide
