// The outgoing queue of one peer: which frame is written next, which is refused
// and which is dropped. Plain state; the caller gives the time and writes.
//
// Small frames are sent before large ones, which get their turn after a number of
// bytes all the same; in a lane frames keep their order. A small one-way message
// doesn't overtake a large one of its kind: whoever gets it would take the older
// news that come after it for outdated and ask for all of them again.
#pragma once

#include "protocol/archive.hpp"
#include "transport/frame.hpp"
#include "transport/peer_limits.hpp"

#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace banktide {

struct OutgoingFrame {
  FrameHead head;
  SharedBytes payload;  // null: none

  /** The frame with the head's length taken from the payload. */
  static OutgoingFrame of(FrameType type, std::uint8_t kind, std::uint64_t id, SharedBytes payload);
  std::size_t bytes() const { return FrameHead::size + head.length; }
};

/** Why a frame was not taken. */
enum class Admission : std::uint8_t { accepted, too_many_frames, too_many_bytes, too_many_bytes_of_all };

std::string to_text(Admission a);

/** One-way messages that were dropped since the count was last taken. */
struct DroppedMessages {
  std::size_t over_bound = 0;
  std::size_t late = 0;
  std::size_t sum() const { return over_bound + late; }
};

class PeerQueue {
 public:
  PeerQueue(PeerLimits const& limits, std::shared_ptr<QueueTotals> totals);
  PeerQueue(PeerQueue const&) = delete;
  PeerQueue& operator=(PeerQueue const&) = delete;
  ~PeerQueue();

  /** For a one-way message that doesn't fit the oldest ones of this peer are dropped; anything else is refused. */
  Admission push(OutgoingFrame frame, Instant now);

  /** Whether `push` would take a request or a response now. */
  bool has_room_for(OutgoingFrame const& frame) const {
    return admits(bound_of(frame), frame.bytes()) == Admission::accepted;
  }

  /** Takes a request out again. False if it isn't waiting: it was taken to be written, or never pushed. */
  bool withdraw(std::uint64_t id);

  /** Drops the one-way messages that have waited too long. */
  void drop_late(Instant now);

  /** What is to be written next: small frames together, or one large one. Its bytes count until `written`. */
  std::vector<OutgoingFrame> take(Instant now);

  /** What was last taken is written, or given up. */
  void finish_batch();

  /** Takes out everything that waits. */
  std::vector<OutgoingFrame> take_all();

  bool empty() const { return frames() == 0; }
  /** The frames that wait. */
  std::size_t frames() const;
  /** The bytes that wait or are being written. */
  std::size_t bytes() const;

  DroppedMessages take_dropped();

 private:
  enum Lane : std::uint8_t { small_lane, one_way_lane, large_lane, lane_count };

  struct QueuedFrame {
    OutgoingFrame frame;
    Instant since;
    std::uint64_t number = 0;  // in order of pushing
  };
  using Frames = std::list<QueuedFrame>;
  struct FramePosition {
    Lane lane = small_lane;
    Frames::iterator at;
  };
  struct Load {
    std::size_t frames = 0;
    std::size_t bytes = 0;
    std::size_t being_written = 0;  // bytes
  };

  bool is_large(OutgoingFrame const& f) const { return f.head.length > limits_.large_above; }
  QueueBound bound_of(OutgoingFrame const& f) const;
  Lane lane_of(OutgoingFrame const& f) const;
  Lane next_lane() const;
  Admission admits(QueueBound bound, std::size_t bytes) const;
  bool others_exhaust_bound(QueueBound bound, std::size_t bytes) const;
  OutgoingFrame remove(FramePosition place);
  void drop_oldest();
  void move_to_batch(std::vector<OutgoingFrame>& batch, Lane lane, Instant now);
  void count_sent(QueuedFrame const& waiting, Instant now);

  PeerLimits const limits_;
  std::shared_ptr<QueueTotals> const totals_;
  std::array<Frames, lane_count> lanes_;
  std::array<Load, queue_bounds> loads_;
  std::map<std::uint64_t, FramePosition> one_way_;  // by number: the oldest first
  std::unordered_map<std::uint64_t, FramePosition> requests_;
  std::array<std::size_t, 256> large_one_way_{};  // how many wait, by kind
  std::uint64_t last_number_ = 0;
  std::size_t small_in_a_row_ = 0;
  Lane last_large_lane_ = large_lane;
  DroppedMessages dropped_;
};

}  // namespace banktide
