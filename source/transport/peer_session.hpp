// The answering side of one accepted connection: requests are handled as they
// come, responses wait in a queue and are written in turn. A peer that doesn't
// read its responses loses the connection. Responses that don't fit the queue are held
// back until they do, and the peer's next requests aren't read meanwhile; if too much is
// held back in the process, the one response that comes last is replaced by a failure, and
// nothing else is touched. A large request for which there is no room is read, dropped
// and refused. What the peer
// cancels, and what is left when the connection ends, is cancelled at its handler.
#pragma once

#include "transport/peer_queue.hpp"
#include "transport/peer_socket.hpp"
#include "transport/socket_environment.hpp"

#include <list>

namespace banktide {

class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(SocketEnvironment& env, PeerSocket socket);
  PeerSession(PeerSession const&) = delete;
  PeerSession& operator=(PeerSession const&) = delete;
  ~PeerSession();

  /** Starts its tasks. They end when the connection does. */
  void start();
  void close();

 private:
  Task<void> read_requests();
  bool is_at_capacity() const;
  bool try_accept(FrameHead const& head);
  void release_accepted(FrameHead const& head);
  bool is_large_request(FrameHead const& head) const;
  Task<void> answer(ReceivedFrame request);
  Task<void> write_responses();
  void cancel(std::uint64_t id);
  void cancel_all();
  void respond(OutgoingFrame response);
  void hold_back(OutgoingFrame response);
  void queue_held_back();
  std::list<OutgoingFrame>::iterator drop_held_back(std::list<OutgoingFrame>::iterator at);

  SocketEnvironment& env_;
  std::shared_ptr<PeerSocket> const socket_;
  std::string const peer_;
  PeerQueue queue_;
  std::list<OutgoingFrame> held_back_;  // in the order of their coming
  SocketEnvironment::Alarm alarm_;
  std::size_t handling_ = 0;
  tsl::robin_map<std::uint64_t, SharedCancellation> in_progress_;  // requests by id
  bool closed_ = false;
};

}  // namespace banktide
