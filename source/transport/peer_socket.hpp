// Frames on one socket: read piece by piece, and written so that what a slow
// link can't take yet waits with us, where it can still be put in order, and not
// in the kernel.
#pragma once

#include "transport/peer_queue.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace banktide {

using PeerSocket = asio::ip::tcp::socket;

struct ReceivedFrame {
  FrameHead head;
  Bytes payload;
  bool skipped = false;  ///< the payload was read and dropped
};

/** Whether the payload of a frame is to be kept. */
using FrameFilter = std::function<bool(FrameHead const&)>;

/** Sets the options of a connection between peers. */
void prepare(PeerSocket& socket);

/** Closes so that nothing that is still in the kernel reaches the peer. */
void reset(PeerSocket& socket);

/** A mishap without a reason is the end of the connection between two frames. `on_progress` runs with every piece. */
Task<Result<ReceivedFrame>> read_frame(PeerSocket& socket, std::function<void()> const& on_progress,
                                       FrameFilter const& filter = nullptr);

/** Closes the socket when the peer takes no byte for `stall_limit`. `on_progress` runs with every piece. */
Task<boost::system::error_code> write_frames(std::shared_ptr<PeerSocket> socket,
                                             std::vector<OutgoingFrame> const& frames, Duration stall_limit,
                                             std::function<void()> const& on_progress);

}  // namespace banktide
