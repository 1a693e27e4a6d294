// The real surroundings: the steady clock, and peers over TCP in frames of our
// own (`frame.hpp`). One connection to each peer that is asked or told something
// (`peer_connection.hpp`), one session for each that was accepted
// (`peer_session.hpp`), all on the one thread of the cpprest pool.
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

/** Starts the library's pool, with the one thread that carries everything. */
void start_pool();

class SocketEnvironment {
 public:
  class Alarm {
   public:
    explicit Alarm(SocketEnvironment& env);
    /** True when the time came, false when it was woken before. */
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

  /** Binds at once, so that a taken port is a start-up error and port 0 is known. */
  Result<Address> listen(Address const& at);
  void serve(Dispatcher& dispatcher);

  /** A request. Whether it had begun to be written when it failed is what tells "not run" from "unknown". */
  Task<Result<Bytes>> ask_raw(Address peer, std::uint8_t kind, Bytes payload, Instant deadline,
                              SharedCancellation cancellation = nullptr);
  /** A one-way message. It may be dropped: see `PeerLimits`. */
  void tell_raw(Address const& peer, std::uint8_t kind, SharedBytes const& payload);

  /** How long the peer has owed the answer to a ping: well before its connection is given up. */
  Duration silence_of(Address const& peer) const;

  /** What waits for peers or is being written to them. */
  QueueTotals const& queued() const { return *totals_; }

  /** Closes every connection and returns when no task of this world is left. Nothing may be asked afterwards. */
  Task<void> stop();

 private:
  friend class PeerConnection;
  friend class PeerSession;

  // A task that `stop` waits for; its owner lives as long.
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
