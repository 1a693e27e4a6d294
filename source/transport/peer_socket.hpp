// Frames on one socket. They are read in chunks, and written so that bytes that a
// slow link can't accept yet stay in this process, where they can still be
// reordered, instead of in the kernel.
#pragma once

#include "transport/peer_queue.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace banktide {

using PeerSocket = asio::ip::tcp::socket;

struct ReceivedFrame {
  FrameHead head;
  Bytes payload;
  bool skipped = false;  ///< the payload was read and discarded
};

/** Whether to keep the payload of a frame. */
using FrameFilter = std::function<bool(FrameHead const&)>;

/** Sets the socket options of a connection between peers. */
void prepare(PeerSocket& socket);

/** Closes the connection with a reset, so that bytes still in the kernel don't reach the peer. */
void reset(PeerSocket& socket);

/** An error without a reason means that the connection ended between two frames. `on_progress` runs for every chunk. */
Task<Result<ReceivedFrame>> read_frame(PeerSocket& socket, std::function<void()> const& on_progress,
                                       FrameFilter const& filter = nullptr);

/** Closes the socket if the peer accepts no byte for `stall_limit`. `on_progress` runs for every chunk. */
Task<boost::system::error_code> write_frames(std::shared_ptr<PeerSocket> socket,
                                             std::vector<OutgoingFrame> const& frames, Duration stall_limit,
                                             std::function<void()> const& on_progress);

}  // namespace banktide
