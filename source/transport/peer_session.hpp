// The answering side of one accepted connection: requests are handled as they
// come, responses wait in a queue and are written in turn. A peer that doesn't
// read its responses loses the connection, and so does one whose responses don't
// fit the queue: the peer then knows at once that it gets none. What the peer
// cancels, and what is left when the connection ends, is cancelled at its handler.
#pragma once

#include "transport/peer_queue.hpp"
#include "transport/peer_socket.hpp"
#include "transport/socket_world.hpp"

namespace banktide {

class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(SocketWorld& world, PeerSocket socket);

  /** Starts its tasks. They end when the connection does. */
  void start();
  void close();

 private:
  Task<void> read_requests();
  Task<void> answer(ReceivedFrame request);
  Task<void> write_responses();
  void cancel(std::uint64_t id);
  void cancel_all();
  void respond(OutgoingFrame response);

  SocketWorld& world_;
  std::shared_ptr<PeerSocket> const socket_;
  std::string const peer_;
  PeerQueue queue_;
  SocketWorld::Alarm alarm_;
  std::size_t handling_ = 0;
  tsl::robin_map<std::uint64_t, SharedCancellation> under_way_;  // requests by id
  bool closed_ = false;
};

}  // namespace banktide
