// The server side of one accepted connection: requests are handled as they arrive,
// responses are queued and written in turn. The connection of a peer that doesn't
// read its responses is closed. Responses that don't fit into the queue are held back
// until they do, and further requests of the peer aren't read meanwhile; if the process
// holds back too much, the newest response is replaced by an empty one, which the
// peer treats as a failure, and the others are kept. A large request that exceeds the
// limit is read, discarded and rejected. Requests that the peer cancels, and those in
// progress when the connection ends, are cancelled at their handlers.
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

  /** Starts the tasks of the session, which end with the connection. */
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
  std::list<OutgoingFrame> held_back_;  // in order of arrival
  SocketEnvironment::Alarm alarm_;
  std::size_t handling_ = 0;
  tsl::robin_map<std::uint64_t, SharedCancellation> in_progress_;  // requests by id
  bool closed_ = false;
};

}  // namespace banktide
