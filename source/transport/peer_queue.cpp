// Order and limits of the frames queued for a peer.
#include "transport/peer_queue.hpp"

namespace banktide {

namespace {

std::size_t index_of(QueueBound const b) { return static_cast<std::size_t>(b); }

}  // namespace

OutgoingFrame OutgoingFrame::of(FrameType const type, std::uint8_t const kind, std::uint64_t const id,
                                SharedBytes payload) {
  std::size_t const length = payload ? payload->size() : 0;
  FrameHead const head{static_cast<std::uint32_t>(length), protocol_version, type, kind, id};
  return OutgoingFrame{head, std::move(payload)};
}

std::string to_text(Admission const a) {
  switch (a) {
    case Admission::accepted:
      return "taken";
    case Admission::too_many_frames:
      return "queue full: frames of this peer";
    case Admission::too_many_bytes:
      return "queue full: bytes of this peer";
    case Admission::too_many_bytes_of_all:
      return "queue full: bytes of all peers";
  }
  return "";
}

PeerQueue::PeerQueue(PeerLimits const& limits, std::shared_ptr<QueueTotals> totals)
    : limits_(limits), totals_(std::move(totals)) {}

PeerQueue::~PeerQueue() {
  for (std::size_t i = 0; i < queue_bounds; ++i) totals_->bytes[i] -= loads_[i].bytes + loads_[i].being_written;
}

Admission PeerQueue::push(OutgoingFrame frame, Instant const now) {
  bool const one_way = frame.head.type == FrameType::tell;
  QueueBound const bound = bound_of(frame);
  std::size_t const bytes = frame.bytes();
  drop_late(now);
  Admission admission = admits(bound, bytes);
  while (one_way && !others_exhaust_bound(bound, bytes) && admission != Admission::accepted && !one_way_.empty()) {
    drop_oldest();
    admission = admits(bound, bytes);
  }
  if (admission != Admission::accepted) {
    dropped_.over_bound += one_way;
    return admission;
  }
  Load& load = loads_[index_of(bound)];
  ++load.frames;
  load.bytes += bytes;
  totals_->bytes[index_of(bound)] += bytes;
  Lane const lane = lane_of(frame);
  if (lane == one_way_lane) ++large_one_way_[frame.head.kind];
  FrameType const type = frame.head.type;
  std::uint64_t const id = frame.head.id;
  lanes_[lane].push_back(QueuedFrame{std::move(frame), now, ++last_number_});
  FramePosition const place{lane, std::prev(lanes_[lane].end())};
  if (one_way) one_way_.emplace(last_number_, place);
  if (type == FrameType::ask && id != 0) requests_.emplace(id, place);
  return admission;
}

bool PeerQueue::withdraw(std::uint64_t const id) {
  auto const found = requests_.find(id);
  if (found == requests_.end()) return false;
  remove(found->second);
  return true;
}

void PeerQueue::drop_late(Instant const now) {
  while (!one_way_.empty() && now - one_way_.begin()->second.at->since > limits_.one_way_wait) {
    remove(one_way_.begin()->second);
    ++dropped_.late;
  }
}

std::vector<OutgoingFrame> PeerQueue::take(Instant const now) {
  drop_late(now);
  std::vector<OutgoingFrame> batch;
  if (empty()) return batch;
  Lane const lane = next_lane();
  if (lane != small_lane) {
    move_to_batch(batch, lane, now);
    last_large_lane_ = lane;
    small_in_a_row_ = 0;
    return batch;
  }
  std::size_t bytes = 0;
  while (!lanes_[small_lane].empty() && bytes < limits_.batch_bytes) {
    move_to_batch(batch, small_lane, now);
    bytes += batch.back().bytes();
  }
  bool const larger_wait = !lanes_[one_way_lane].empty() || !lanes_[large_lane].empty();
  small_in_a_row_ = larger_wait ? small_in_a_row_ + bytes : 0;
  return batch;
}

void PeerQueue::finish_batch() {
  for (std::size_t i = 0; i < queue_bounds; ++i) {
    totals_->bytes[i] -= loads_[i].being_written;
    loads_[i].being_written = 0;
  }
}

std::vector<OutgoingFrame> PeerQueue::take_all() {
  std::vector<OutgoingFrame> all;
  for (std::uint8_t lane = 0; lane < lane_count; ++lane)
    while (!lanes_[lane].empty()) all.push_back(remove(FramePosition{static_cast<Lane>(lane), lanes_[lane].begin()}));
  return all;
}

std::size_t PeerQueue::frames() const {
  std::size_t sum = 0;
  for (Load const& load : loads_) sum += load.frames;
  return sum;
}

std::size_t PeerQueue::bytes() const {
  std::size_t sum = 0;
  for (Load const& load : loads_) sum += load.bytes + load.being_written;
  return sum;
}

DroppedMessages PeerQueue::take_dropped() { return std::exchange(dropped_, DroppedMessages{}); }

QueueBound PeerQueue::bound_of(OutgoingFrame const& f) const {
  if (f.head.type == FrameType::tell) return QueueBound::one_way;
  return is_large(f) ? QueueBound::large : QueueBound::small;
}

PeerQueue::Lane PeerQueue::lane_of(OutgoingFrame const& f) const {
  if (f.head.type == FrameType::tell && (is_large(f) || large_one_way_[f.head.kind] > 0)) return one_way_lane;
  return is_large(f) ? large_lane : small_lane;
}

// Large requests and responses alternate with large one-way messages.
PeerQueue::Lane PeerQueue::next_lane() const {
  bool const one_way_waits = !lanes_[one_way_lane].empty(), large = !lanes_[large_lane].empty();
  bool const small_exhausted = small_in_a_row_ >= limits_.small_in_a_row;
  if (!lanes_[small_lane].empty() && !(small_exhausted && (one_way_waits || large))) return small_lane;
  if (one_way_waits && large) return last_large_lane_ == large_lane ? one_way_lane : large_lane;
  return one_way_waits ? one_way_lane : large_lane;
}

Admission PeerQueue::admits(QueueBound const bound, std::size_t const bytes) const {
  QueueLimit const& limit = limits_.of(bound);
  Load const& load = loads_[index_of(bound)];
  std::size_t const all = totals_->bytes[index_of(bound)];
  if (load.frames >= limit.frames) return Admission::too_many_frames;
  if (load.frames > 0 && load.bytes + load.being_written + bytes > limit.bytes) return Admission::too_many_bytes;
  if (all > 0 && all + bytes > limit.all_bytes) return Admission::too_many_bytes_of_all;
  return Admission::accepted;
}

// True if dropping frames of this queue would make no room, because other peers' queues exhaust the limit.
bool PeerQueue::others_exhaust_bound(QueueBound const bound, std::size_t const bytes) const {
  std::size_t const others = totals_->bytes[index_of(bound)] - loads_[index_of(bound)].bytes;
  return others > 0 && others + bytes > limits_.of(bound).all_bytes;
}

OutgoingFrame PeerQueue::remove(FramePosition const place) {
  OutgoingFrame frame = std::move(place.at->frame);
  std::uint64_t const number = place.at->number;
  lanes_[place.lane].erase(place.at);
  if (frame.head.type == FrameType::tell) one_way_.erase(number);
  if (frame.head.type == FrameType::ask) requests_.erase(frame.head.id);
  if (place.lane == one_way_lane) --large_one_way_[frame.head.kind];
  std::size_t const i = index_of(bound_of(frame));
  --loads_[i].frames;
  loads_[i].bytes -= frame.bytes();
  totals_->bytes[i] -= frame.bytes();
  return frame;
}

void PeerQueue::drop_oldest() {
  remove(one_way_.begin()->second);
  ++dropped_.over_bound;
}

void PeerQueue::count_sent(QueuedFrame const& waiting, Instant const now) {
  FrameHead const& head = waiting.frame.head;
  SentTotals& sent = totals_->sent;
  (head.type == FrameType::reply ? sent.responses : sent.requests)[head.kind] += waiting.frame.bytes();
  if (head.type == FrameType::tell)
    sent.longest_one_way_wait = std::max(sent.longest_one_way_wait, now - waiting.since);
}

void PeerQueue::move_to_batch(std::vector<OutgoingFrame>& batch, Lane const lane, Instant const now) {
  count_sent(lanes_[lane].front(), now);
  batch.push_back(remove(FramePosition{lane, lanes_[lane].begin()}));
  std::size_t const i = index_of(bound_of(batch.back()));
  loads_[i].being_written += batch.back().bytes();
  totals_->bytes[i] += batch.back().bytes();
}

}  // namespace banktide
