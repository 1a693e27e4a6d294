// Limits of the queues to peers. One-way messages, small requests and responses,
// and large ones have separate limits, so that none can exhaust another's; responses
// that are held back have a limit of their own. Together they allow 96 MiB, on
// machines with 160 to 256 MiB.
#pragma once

#include "transport/result.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace banktide {

/** The limit against which a frame is counted. */
enum class QueueBound : std::uint8_t { one_way, small, large };
inline constexpr std::size_t queue_bounds = 3;

/** A frame larger than the limit is accepted if nothing else is queued under it. */
struct QueueLimit {
  std::size_t frames = 0;     // per peer
  std::size_t bytes = 0;      // per peer
  std::size_t all_bytes = 0;  // for all peers of the process
};

struct PeerLimits {
  // Sent in 0.7 s at 3 Mbit/s, so that messages behind it still arrive in time after two
  // or three relays; newer updates supersede older ones.
  QueueLimit one_way{4096, 256u << 10, 8u << 20};
  // Small requests must get through while large bodies exhaust the limit below.
  QueueLimit small{4096, 2u << 20, 8u << 20};
  // 8 MiB take longer than any deadline at 3 Mbit/s, and 70 ms at 1 Gbit/s.
  QueueLimit large{1024, 8u << 20, 32u << 20};
  /** Bytes of large requests being read or handled, for all peers; a single one is always accepted. */
  std::size_t accepted_request_bytes = 64u << 20;
  /** Bytes of responses held back until their queue has room, for all peers of the process. */
  std::size_t held_back_bytes = 48u << 20;

  /** Larger payloads are sent after queued small ones. */
  std::size_t large_above = 8u << 10;
  /** Small frames are written in batches of up to this many bytes. */
  std::size_t batch_bytes = 16u << 10;
  /** After this many bytes of small frames, a queued large one is sent. */
  std::size_t small_in_a_row = 64u << 10;
  /** A one-way message queued for longer is dropped, because its receiver would take it for current. */
  Duration one_way_wait = 3s;
  /** A connection is closed if the peer accepts no byte for this long. */
  Duration write_stall = 5s;

  QueueLimit const& of(QueueBound const b) const {
    return b == QueueBound::one_way ? one_way : b == QueueBound::small ? small : large;
  }
};

/** Totals taken from the queues for writing, since the process started. */
struct SentTotals {
  std::array<std::uint64_t, 256> requests{};   // bytes by message kind, including one-way messages
  std::array<std::uint64_t, 256> responses{};  // bytes by the kind of the request
  Duration longest_one_way_wait{};
};

/** The bytes queued or being written in all queues of a process, and what was sent. */
struct QueueTotals {
  std::array<std::size_t, queue_bounds> bytes{};
  std::size_t held_back = 0;          // bytes of responses held back
  std::size_t accepted_requests = 0;  // bytes of large requests from peers; not included in the sum
  SentTotals sent;
  std::size_t sum() const { return bytes[0] + bytes[1] + bytes[2] + held_back; }
  /** The bytes of requests and responses, without one-way messages, which are sent all the time. */
  std::size_t of_requests() const { return sum() - bytes[static_cast<std::size_t>(QueueBound::one_way)]; }
};

}  // namespace banktide
