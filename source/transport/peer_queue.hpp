// The outgoing queue of one peer: decides which frame is written next, rejected or
// dropped. It does no I/O; the caller supplies the time and writes the frames.
//
// Small frames are sent before large ones, which get their turn after a limited
// number of bytes; frames of one lane keep their order. A small one-way message
// doesn't overtake a large one of its kind: the receiver would take the older
// update that follows for outdated and request all of them again.
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
  SharedBytes payload;  // null: empty

  /** Makes a frame; the header's length is that of the payload. */
  static OutgoingFrame of(FrameType type, std::uint8_t kind, std::uint64_t id, SharedBytes payload);
  std::size_t bytes() const { return FrameHead::size + head.length; }
};

/** Whether a frame was accepted, or which limit it exceeds. */
enum class Admission : std::uint8_t { accepted, too_many_frames, too_many_bytes, too_many_bytes_of_all };

std::string to_text(Admission a);

/** One-way messages dropped since the counts were last taken. */
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

  /** Makes room for a one-way message by dropping the oldest ones of this peer; other frames are rejected if they don't
   * fit. */
  Admission push(OutgoingFrame frame, Instant now);

  /** Whether `push` would accept a request or a response now. */
  bool has_room_for(OutgoingFrame const& frame) const {
    return admits(bound_of(frame), frame.bytes()) == Admission::accepted;
  }

  /** Removes a queued request. False if it isn't queued: already taken for writing, or never pushed. */
  bool withdraw(std::uint64_t id);

  /** Drops the one-way messages that were queued for too long. */
  void drop_late(Instant now);

  /** Takes the next batch to write: several small frames, or one large one. Its bytes count until `finish_batch`. */
  std::vector<OutgoingFrame> take(Instant now);

  /** The last batch has been written or abandoned. */
  void finish_batch();

  /** Removes and returns all queued frames. */
  std::vector<OutgoingFrame> take_all();

  bool empty() const { return frames() == 0; }
  /** The number of queued frames. */
  std::size_t frames() const;
  /** The bytes queued or being written. */
  std::size_t bytes() const;

  DroppedMessages take_dropped();

 private:
  enum Lane : std::uint8_t { small_lane, one_way_lane, large_lane, lane_count };

  struct QueuedFrame {
    OutgoingFrame frame;
    Instant since;
    std::uint64_t number = 0;  // sequence number of the push
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
  std::map<std::uint64_t, FramePosition> one_way_;  // by sequence number, oldest first
  std::unordered_map<std::uint64_t, FramePosition> requests_;
  std::array<std::size_t, 256> large_one_way_{};  // number queued, by kind
  std::uint64_t last_number_ = 0;
  std::size_t small_in_a_row_ = 0;
  Lane last_large_lane_ = large_lane;
  DroppedMessages dropped_;
};

}  // namespace banktide
