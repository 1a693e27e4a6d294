// How much may wait for peers. Three bounds are kept apart, so that none of them
// takes another's room: one-way messages, small requests and responses, and
// large ones, and responses that wait until they fit: 96 MiB of a machine's 160 to 256.
#pragma once

#include "transport/result.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace banktide {

/** What a frame's bytes count against. */
enum class QueueBound : std::uint8_t { one_way, small, large };
inline constexpr std::size_t queue_bounds = 3;

/** A frame that is larger than its bound is taken if nothing else waits there. */
struct QueueLimit {
  std::size_t frames = 0;     // of one peer
  std::size_t bytes = 0;      // of one peer
  std::size_t all_bytes = 0;  // of all peers of the process
};

struct PeerLimits {
  // Gone in 0.7 s on 3 Mbit/s, so that what is behind it isn't too late after two or
  // three relays; newer news supersede it.
  QueueLimit one_way{4096, 256u << 10, 8u << 20};
  // Small requests must get through while bodies fill the bound below.
  QueueLimit small{4096, 2u << 20, 8u << 20};
  // On 3 Mbit/s 8 MiB take longer than any deadline; on 1 Gbit/s they are gone in 70 ms.
  QueueLimit large{1024, 8u << 20, 32u << 20};
  /** Bytes of large requests that are being read or handled, of all peers; one alone is always taken. */
  std::size_t accepted_request_bytes = 64u << 20;
  /** Bytes of responses that wait until there is room in a queue, of all peers of the process. */
  std::size_t held_back_bytes = 48u << 20;

  /** A larger payload is sent after the small ones that wait. */
  std::size_t large_above = 8u << 10;
  /** Small frames are written together up to so many bytes. */
  std::size_t batch_bytes = 16u << 10;
  /** After so many bytes of small frames a large one that waits has its turn. */
  std::size_t small_in_a_row = 64u << 10;
  /** A one-way message that waits longer is dropped: whoever gets it takes it for news of now. */
  Duration one_way_wait = 3s;
  /** A peer that takes no byte for so long loses its connection. */
  Duration write_stall = 5s;

  QueueLimit const& of(QueueBound const b) const {
    return b == QueueBound::one_way ? one_way : b == QueueBound::small ? small : large;
  }
};

/** What the queues of a process have given out to be written, since it started. */
struct SentTotals {
  std::array<std::uint64_t, 256> requests{};   // bytes, by the message's kind; one-way messages among them
  std::array<std::uint64_t, 256> responses{};  // bytes, by the kind of what they answer
  Duration longest_one_way_wait{};
};

/** The bytes that wait or are being written, of all queues of a process, and what was sent. */
struct QueueTotals {
  std::array<std::size_t, queue_bounds> bytes{};
  std::size_t held_back = 0;          // of responses that wait for room in a queue
  std::size_t accepted_requests = 0;  // of large requests of peers; not part of the sum
  SentTotals sent;
  std::size_t sum() const { return bytes[0] + bytes[1] + bytes[2] + held_back; }
  /** Of requests and responses; one-way messages are sent all the time. */
  std::size_t of_requests() const { return sum() - bytes[static_cast<std::size_t>(QueueBound::one_way)]; }
};

}  // namespace banktide
