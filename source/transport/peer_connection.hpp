// The outgoing connection to one peer: requests and one-way messages are queued and
// written in turn, and responses are matched to requests by id. A request still
// queued at its deadline is withdrawn before the failure is reported.
//
// A peer that sends nothing while replies are pending is pinged; if it stays silent
// it is considered unreachable and the connection is reset, so that nothing delayed
// by a network partition reaches it later. While the ping is queued behind bytes
// that the peer still accepts, the peer isn't considered silent.
//
// A request cancelled before it was sent is withdrawn; for one already sent, a
// cancel frame follows on the same connection.
#pragma once

#include "transport/peer_queue.hpp"
#include "transport/peer_socket.hpp"
#include "transport/socket_environment.hpp"

namespace banktide {

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(SocketEnvironment& env, Address peer);

  Task<Result<Bytes>> ask(std::uint8_t kind, Bytes payload, Instant deadline, SharedCancellation cancellation);
  void tell(std::uint8_t kind, SharedBytes const& payload);

  /** To be called every `silence_check_interval` while replies are pending. */
  void check_silence();
  bool awaits_replies() const { return !pending_requests_.empty(); }
  /** How long a ping has been unanswered; zero if none is pending. */
  Duration silence() const;
  Address const& peer() const { return peer_; }

  /** Connects and writes while there are frames to write; ends after an idle timeout. */
  Task<void> run();
  void stop();
  void drop_late(Instant now) { queue_.drop_late(now); }

  bool is_running = false;  // a task executes `run`
  static constexpr Duration silence_check_interval = 50ms;

 private:
  struct PendingRequest {
    explicit PendingRequest(SocketEnvironment& env) : reply(env) {}
    OneShot<SocketEnvironment, Result<Bytes>> reply;
    bool sent = false;
  };
  // One TCP connection; successive ones replace each other.
  struct Link {
    std::shared_ptr<PeerSocket> socket;
    bool broken = false;
  };

  void cancel(std::uint64_t id);
  Task<std::shared_ptr<Link>> connect();
  Task<boost::system::error_code> open(std::shared_ptr<PeerSocket> socket, asio::ip::tcp::endpoint at);
  Task<void> write(std::shared_ptr<Link> link);
  Task<void> read(std::shared_ptr<Link> link);
  void close(Link& link);
  void fail_queue(std::string const& step, std::string const& reason);
  void mark_sent(std::vector<OutgoingFrame> const& batch);
  void on_bytes_received();
  void on_bytes_written();
  void log_dropped();

  SocketEnvironment& env_;
  Address const peer_;
  PeerQueue queue_;
  tsl::robin_map<std::uint64_t, std::shared_ptr<PendingRequest>> pending_requests_;
  SocketEnvironment::Alarm alarm_;
  std::shared_ptr<PeerSocket> socket_;  // null: not connected
  Instant idle_since_{};
  Instant last_received_at_{};
  Instant awaiting_since_{};
  bool pinged_ = false;
  bool ping_sent_ = false;
  Instant pinged_at_{};
  DroppedMessages dropped_;
  Instant drops_logged_at_{};
};

}  // namespace banktide
