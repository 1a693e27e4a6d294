// The outgoing queue of a peer: compared with a simple model, and rule by rule.
#include "transport/peer_queue.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

constexpr std::uint8_t kind = 7, other_kind = 8;
Instant const start{std::chrono::hours(1)};

PeerLimits small_limits() {
  PeerLimits limits;
  limits.one_way = QueueLimit{12, 1000, 2200};
  limits.small = QueueLimit{10, 700, 1500};
  limits.large = QueueLimit{6, 2000, 4000};
  limits.large_above = 80;
  limits.batch_bytes = 200;
  limits.small_in_a_row = 500;
  return limits;
}

OutgoingFrame frame(FrameType const type, std::uint64_t const id, std::size_t const size,
                    std::uint8_t const of = kind) {
  return OutgoingFrame::of(type, of, id, std::make_shared<Bytes const>(size, 'x'));
}

using Ids = std::vector<std::uint64_t>;

Ids ids_of(std::vector<OutgoingFrame> const& frames) {
  Ids ids;
  for (OutgoingFrame const& f : frames) ids.push_back(f.head.id);
  return ids;
}

class Fixture {
 public:
  explicit Fixture(PeerLimits const& l = small_limits()) : limits(l) {}
  Admission push(FrameType const type, std::uint64_t const id, std::size_t const size, std::uint8_t const of = kind) {
    return queue.push(frame(type, id, size, of), now);
  }
  // Writes everything; returns the ids in order.
  Ids write_all() {
    Ids all;
    while (true) {
      Ids const batch = ids_of(queue.take(now));
      queue.finish_batch();
      if (batch.empty()) return all;
      all.insert(all.end(), batch.begin(), batch.end());
    }
  }

  PeerLimits const limits;
  std::shared_ptr<QueueTotals> const totals = std::make_shared<QueueTotals>();
  PeerQueue queue{limits, totals};
  Instant now = start;
};

// ---- the model: one list of queued frames, searched linearly

enum class ModelLane { small, one_way, large };

struct ModelEntry {
  OutgoingFrame frame;
  Instant since;
  ModelLane lane = ModelLane::small;
};

class Model {
 public:
  Model(PeerLimits const& limits, std::vector<std::unique_ptr<Model>> const& all) : limits_(limits), all_(all) {}

  std::vector<ModelEntry> queued;
  std::vector<OutgoingFrame> being_written;
  std::size_t over_bound = 0, late = 0;

  static QueueBound bound(PeerLimits const& limits, OutgoingFrame const& f) {
    if (f.head.type == FrameType::tell) return QueueBound::one_way;
    return f.head.length > limits.large_above ? QueueBound::large : QueueBound::small;
  }
  std::size_t queued_bytes(QueueBound const b) const {
    std::size_t sum = 0;
    for (ModelEntry const& e : queued) sum += bound(limits_, e.frame) == b ? e.frame.bytes() : 0;
    return sum;
  }
  std::size_t bytes(QueueBound const b) const {
    std::size_t sum = queued_bytes(b);
    for (OutgoingFrame const& f : being_written) sum += bound(limits_, f) == b ? f.bytes() : 0;
    return sum;
  }
  std::size_t bytes_of_all(QueueBound const b) const {
    std::size_t sum = 0;
    for (std::unique_ptr<Model> const& m : all_) sum += m->bytes(b);
    return sum;
  }

  Admission push(OutgoingFrame const& f, Instant const now) {
    drop_late(now);
    QueueBound const b = bound(limits_, f);
    QueueLimit const& limit = limits_.of(b);
    bool const one_way = f.head.type == FrameType::tell;
    while (true) {
      std::size_t const all = bytes_of_all(b), others = all - queued_bytes(b);
      std::size_t frames = 0;
      for (ModelEntry const& e : queued) frames += bound(limits_, e.frame) == b;
      Admission a = Admission::accepted;
      if (all > 0 && all + f.bytes() > limit.all_bytes) a = Admission::too_many_bytes_of_all;
      if (frames > 0 && bytes(b) + f.bytes() > limit.bytes) a = Admission::too_many_bytes;
      if (frames >= limit.frames) a = Admission::too_many_frames;
      if (a == Admission::accepted) break;
      bool const others_exhaust_bound = others > 0 && others + f.bytes() > limit.all_bytes;
      if (!one_way || others_exhaust_bound || frames == 0) {
        over_bound += one_way;
        return a;
      }
      erase_first_one_way();
      ++over_bound;
    }
    queued.push_back(ModelEntry{f, now, lane(f)});
    return Admission::accepted;
  }

  void drop_late(Instant const now) {
    late += std::erase_if(queued, [&](ModelEntry const& e) {
      return e.frame.head.type == FrameType::tell && now - e.since > limits_.one_way_wait;
    });
  }

  bool withdraw(std::uint64_t const id) {
    return std::erase_if(queued, [&](ModelEntry const& e) {
             return e.frame.head.type == FrameType::ask && e.frame.head.id == id;
           }) > 0;
  }

  std::vector<OutgoingFrame> take(Instant const now) {
    drop_late(now);
    bool const small = has(ModelLane::small), one_way_queued = has(ModelLane::one_way), large = has(ModelLane::large);
    std::vector<OutgoingFrame> batch;
    if (small && (small_bytes_in_a_row_ < limits_.small_in_a_row || !(one_way_queued || large))) {
      std::size_t bytes = 0;
      while (has(ModelLane::small) && bytes < limits_.batch_bytes) {
        batch.push_back(take_first(ModelLane::small));
        bytes += batch.back().bytes();
      }
      small_bytes_in_a_row_ = one_way_queued || large ? small_bytes_in_a_row_ + bytes : 0;
    } else if (one_way_queued || large) {
      ModelLane const turn =
          one_way_queued && (!large || last_ == ModelLane::large) ? ModelLane::one_way : ModelLane::large;
      batch.push_back(take_first(turn));
      last_ = turn;
      small_bytes_in_a_row_ = 0;
    }
    being_written.insert(being_written.end(), batch.begin(), batch.end());
    return batch;
  }

 private:
  ModelLane lane(OutgoingFrame const& f) const {
    bool const large = f.head.length > limits_.large_above;
    if (f.head.type != FrameType::tell) return large ? ModelLane::large : ModelLane::small;
    bool const follows = std::any_of(queued.begin(), queued.end(), [&](ModelEntry const& e) {
      return e.lane == ModelLane::one_way && e.frame.head.kind == f.head.kind;
    });
    return large || follows ? ModelLane::one_way : ModelLane::small;
  }
  bool has(ModelLane const l) const {
    return std::any_of(queued.begin(), queued.end(), [&](ModelEntry const& e) { return e.lane == l; });
  }
  OutgoingFrame take_first(ModelLane const l) {
    auto const at = std::find_if(queued.begin(), queued.end(), [&](ModelEntry const& e) { return e.lane == l; });
    OutgoingFrame const f = at->frame;
    queued.erase(at);
    return f;
  }
  void erase_first_one_way() {
    queued.erase(std::find_if(queued.begin(), queued.end(),
                              [](ModelEntry const& e) { return e.frame.head.type == FrameType::tell; }));
  }

  PeerLimits const limits_;
  std::vector<std::unique_ptr<Model>> const& all_;
  std::size_t small_bytes_in_a_row_ = 0;
  ModelLane last_ = ModelLane::large;
};

// Several queues of one process, each compared with its model.
class Pairs {
 public:
  explicit Pairs(std::uint64_t const seed) : random_(seed) {
    for (std::size_t i = 0; i < 3; ++i) {
      queues.push_back(std::make_unique<PeerQueue>(limits_, totals));
      models.push_back(std::make_unique<Model>(limits_, models));
    }
  }

  void step() {
    std::size_t const i = random_() % queues.size();
    PeerQueue& queue = *queues[i];
    Model& model = *models[i];
    std::uint64_t const operation = random_() % 100;
    if (operation < 60) {
      push(queue, model);
    } else if (operation < 70) {
      std::uint64_t const id = last_id_ - std::min<std::uint64_t>(last_id_, random_() % 30);
      ASSERT_EQ(queue.withdraw(id), model.withdraw(id));
    } else if (operation < 88) {
      ASSERT_EQ(ids_of(queue.take(now_)), ids_of(model.take(now_)));
      taken_ += model.being_written.size();
    } else if (operation < 97) {
      queue.finish_batch();
      model.being_written.clear();
    } else if (operation < 98) {
      ASSERT_EQ(queue.take_all().size(), model.queued.size());
      model.queued.clear();
    } else {
      now_ += std::chrono::milliseconds(random_() % 2500);
    }
    compare(queue, model);
  }

  void compare(PeerQueue& queue, Model& model) {
    ASSERT_EQ(queue.frames(), model.queued.size());
    std::size_t bytes = 0;
    for (QueueBound const b : {QueueBound::one_way, QueueBound::small, QueueBound::large}) {
      bytes += model.bytes(b);
      ASSERT_EQ(totals->bytes[static_cast<std::size_t>(b)], model.bytes_of_all(b));
    }
    ASSERT_EQ(queue.bytes(), bytes);
    DroppedMessages const dropped = queue.take_dropped();
    ASSERT_EQ(dropped.over_bound, model.over_bound);
    ASSERT_EQ(dropped.late, model.late);
    seen.over_bound += dropped.over_bound;
    seen.late += dropped.late;
    model.over_bound = model.late = 0;
  }

  std::shared_ptr<QueueTotals> const totals = std::make_shared<QueueTotals>();
  std::vector<std::unique_ptr<PeerQueue>> queues;
  std::vector<std::unique_ptr<Model>> models;
  DroppedMessages seen;
  std::array<std::size_t, 4> admissions{};
  std::size_t taken() const { return taken_; }

 private:
  void push(PeerQueue& queue, Model& model) {
    FrameType const type = static_cast<FrameType>(random_() % 3);
    std::size_t const size = random_() % 40 == 0  ? random_() % 5000
                             : random_() % 4 == 0 ? random_() % 500
                                                  : random_() % 80;
    OutgoingFrame const f = frame(type, ++last_id_, size, random_() % 2 == 0 ? kind : other_kind);
    Admission const admission = queue.push(f, now_);
    ASSERT_EQ(admission, model.push(f, now_));
    ++admissions[static_cast<std::size_t>(admission)];
  }

  PeerLimits const limits_ = small_limits();
  std::mt19937_64 random_;
  Instant now_ = start;
  std::uint64_t last_id_ = 0;
  std::size_t taken_ = 0;
};

TEST(PeerQueue, behaves_like_a_simple_model) {
  DroppedMessages seen;
  std::array<std::size_t, 4> admissions{};
  std::size_t taken = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Pairs pairs(seed);
    for (std::size_t i = 0; i < 3000; ++i) {
      pairs.step();
      if (testing::Test::HasFatalFailure()) FAIL() << "seed " << seed << " operation " << i;
    }
    seen.over_bound += pairs.seen.over_bound;
    seen.late += pairs.seen.late;
    taken += pairs.taken();
    for (std::size_t i = 0; i < admissions.size(); ++i) admissions[i] += pairs.admissions[i];
    pairs.queues.clear();
    EXPECT_EQ(pairs.totals->sum(), 0u);
  }
  for (std::size_t const count : admissions) EXPECT_GT(count, 100u);  // each case occurred
  EXPECT_GT(seen.over_bound, 1000u);
  EXPECT_GT(seen.late, 100u);
  EXPECT_GT(taken, 1000u);
}

// ---- rule by rule

TEST(PeerQueue, small_frames_go_first_and_each_lane_keeps_its_order) {
  Fixture f;
  f.push(FrameType::ask, 1, 300);
  f.push(FrameType::ask, 2, 10);
  f.push(FrameType::ask, 3, 300);
  f.push(FrameType::ask, 4, 10);
  f.push(FrameType::tell, 5, 10);
  EXPECT_EQ(f.write_all(), (Ids{2, 4, 5, 1, 3}));
}

TEST(PeerQueue, large_frames_are_sent_while_small_ones_keep_arriving) {
  Fixture f;
  f.push(FrameType::ask, 1, 300);
  std::size_t small_before = 0;
  for (std::uint64_t id = 2; id < 1000; ++id) {
    ASSERT_EQ(f.push(FrameType::ask, id, 50), Admission::accepted);
    Ids const batch = ids_of(f.queue.take(f.now));
    f.queue.finish_batch();
    if (batch == Ids{1}) break;
    ++small_before;
  }
  EXPECT_GT(small_before, 0u);
  EXPECT_LE(small_before * (50 + FrameHead::size), f.limits.small_in_a_row + f.limits.batch_bytes);
}

TEST(PeerQueue, small_frames_sent_while_nothing_else_is_queued_do_not_count_against_later_ones) {
  Fixture f;
  for (std::uint64_t id = 1; id <= 30; ++id) {
    ASSERT_EQ(f.push(FrameType::ask, id, 50), Admission::accepted);
    f.write_all();
  }
  f.push(FrameType::ask, 100, 300);
  f.push(FrameType::ask, 101, 10);
  EXPECT_EQ(f.write_all(), (Ids{101, 100}));
}

TEST(PeerQueue, large_requests_and_large_one_way_messages_alternate) {
  Fixture f;
  for (std::uint64_t id = 1; id <= 3; ++id) f.push(FrameType::ask, id, 200);
  for (std::uint64_t id = 11; id <= 13; ++id) f.push(FrameType::tell, id, 200);
  EXPECT_EQ(f.write_all(), (Ids{11, 1, 12, 2, 13, 3}));
}

TEST(PeerQueue, a_one_way_message_does_not_overtake_one_of_its_kind) {
  Fixture f;
  f.push(FrameType::tell, 1, 300);
  f.push(FrameType::tell, 2, 10);
  f.push(FrameType::tell, 3, 10, other_kind);
  EXPECT_EQ(f.write_all(), (Ids{3, 1, 2}));
  f.push(FrameType::tell, 4, 10);
  f.push(FrameType::ask, 5, 10);
  EXPECT_EQ(f.write_all(), (Ids{4, 5}));
}

TEST(PeerQueue, the_oldest_one_way_messages_are_dropped_to_make_room_and_requests_stay) {
  Fixture f;
  f.push(FrameType::ask, 100, 10);
  for (std::uint64_t id = 1; id <= 9; ++id) EXPECT_EQ(f.push(FrameType::tell, id, 300), Admission::accepted);
  EXPECT_EQ(f.queue.take_dropped().over_bound, 6u);
  EXPECT_EQ(f.write_all(), (Ids{100, 7, 8, 9}));
}

TEST(PeerQueue, the_number_of_one_way_messages_is_bounded) {
  Fixture f;
  for (std::uint64_t id = 1; id <= 20; ++id) f.push(FrameType::tell, id, 1);
  EXPECT_EQ(f.queue.frames(), f.limits.one_way.frames);
  EXPECT_EQ(f.write_all().front(), 9u);
}

TEST(PeerQueue, a_request_that_does_not_fit_is_rejected_and_nothing_is_dropped_for_it) {
  Fixture f;
  f.push(FrameType::tell, 1, 300);
  std::uint64_t id = 10;
  while (f.push(FrameType::ask, id, 400) == Admission::accepted) ++id;
  EXPECT_EQ(f.push(FrameType::ask, id, 400), Admission::too_many_bytes);
  EXPECT_EQ(f.push(FrameType::ask, 50, 10), Admission::accepted);  // small ones have a bound of their own
  EXPECT_EQ(f.queue.take_dropped().sum(), 0u);
  for (std::uint64_t more = 60; more < 70; ++more) f.push(FrameType::ask, more, 1);
  EXPECT_EQ(f.push(FrameType::ask, 70, 1), Admission::too_many_frames);
}

TEST(PeerQueue, sent_bytes_are_counted_by_kind_and_the_longest_one_way_wait_is_measured) {
  Fixture f;
  f.push(FrameType::ask, 1, 10);
  f.push(FrameType::ask, 2, 20, other_kind);
  f.push(FrameType::reply, 3, 30);
  f.push(FrameType::tell, 0, 40);
  f.now += 70ms;
  EXPECT_EQ(f.totals->sent.requests[kind], 0u);
  f.write_all();
  EXPECT_EQ(f.totals->sent.requests[kind], 10u + 40u + 2 * FrameHead::size);
  EXPECT_EQ(f.totals->sent.requests[other_kind], 20u + FrameHead::size);
  EXPECT_EQ(f.totals->sent.responses[kind], 30u + FrameHead::size);
  EXPECT_EQ(f.totals->sent.longest_one_way_wait, 70ms);
}

TEST(PeerQueue, a_frame_over_its_bound_is_accepted_if_nothing_else_is_queued) {
  Fixture f;
  EXPECT_EQ(f.push(FrameType::ask, 1, 50000), Admission::accepted);
  EXPECT_EQ(f.push(FrameType::ask, 2, 100), Admission::too_many_bytes);
  EXPECT_EQ(f.push(FrameType::tell, 3, 50000), Admission::accepted);
  EXPECT_EQ(f.push(FrameType::tell, 4, 100), Admission::accepted);  // replaces the older one
  EXPECT_EQ(f.write_all(), (Ids{4, 1}));
}

TEST(PeerQueue, bytes_being_written_count_until_the_batch_is_finished) {
  Fixture f;
  f.push(FrameType::ask, 1, 300);
  std::size_t const bytes = f.queue.bytes();
  EXPECT_EQ(ids_of(f.queue.take(f.now)), Ids{1});
  EXPECT_TRUE(f.queue.empty());
  EXPECT_EQ(f.queue.bytes(), bytes);
  EXPECT_EQ(f.totals->sum(), bytes);
  f.queue.finish_batch();
  EXPECT_EQ(f.queue.bytes(), 0u);
  EXPECT_EQ(f.totals->sum(), 0u);
}

TEST(PeerQueue, a_withdrawn_request_is_never_written_and_frees_its_bytes) {
  Fixture f;
  f.push(FrameType::ask, 1, 300);
  f.push(FrameType::ask, 2, 300);
  EXPECT_TRUE(f.queue.withdraw(1));
  EXPECT_FALSE(f.queue.withdraw(1));
  EXPECT_EQ(f.queue.bytes(), 300 + FrameHead::size);
  EXPECT_EQ(f.write_all(), Ids{2});
  EXPECT_FALSE(f.queue.withdraw(2));
}

TEST(PeerQueue, one_way_messages_queued_for_too_long_are_not_sent) {
  Fixture f;
  f.push(FrameType::tell, 1, 10);
  f.push(FrameType::ask, 2, 10);
  f.now += f.limits.one_way_wait;
  f.push(FrameType::tell, 3, 10);
  f.now += 1ms;
  EXPECT_EQ(f.write_all(), (Ids{2, 3}));
  EXPECT_EQ(f.queue.take_dropped().late, 1u);
}

TEST(PeerQueue, all_queues_of_a_process_share_a_bound_per_frame_class) {
  Fixture f;
  PeerQueue second(f.limits, f.totals), third(f.limits, f.totals);
  auto const fill = [&](PeerQueue& queue) {
    for (std::uint64_t id = 1; id <= 3; ++id) queue.push(frame(FrameType::tell, id, 310), f.now);
  };
  fill(f.queue);
  fill(second);
  EXPECT_EQ(third.push(frame(FrameType::tell, 1, 310), f.now), Admission::too_many_bytes_of_all);
  EXPECT_EQ(third.take_dropped().over_bound, 1u);
  EXPECT_EQ(third.push(frame(FrameType::ask, 2, 60), f.now), Admission::accepted);
  EXPECT_EQ(third.push(frame(FrameType::ask, 3, 600), f.now), Admission::accepted);
  f.queue.take_all();
  EXPECT_EQ(third.push(frame(FrameType::tell, 4, 310), f.now), Admission::accepted);
}

TEST(PeerQueue, releases_its_bytes_on_destruction) {
  std::shared_ptr<QueueTotals> const totals = std::make_shared<QueueTotals>();
  {
    PeerQueue queue(small_limits(), totals);
    queue.push(frame(FrameType::ask, 1, 300), start);
    queue.push(frame(FrameType::tell, 2, 300), start);
    queue.take(start);
    EXPECT_GT(totals->sum(), 600u);
  }
  EXPECT_EQ(totals->sum(), 0u);
}

TEST(PeerQueue, a_payload_is_shared_by_all_queues_that_hold_it) {
  SharedBytes const payload = std::make_shared<Bytes const>(300, 'x');
  std::shared_ptr<QueueTotals> const totals = std::make_shared<QueueTotals>();
  PeerQueue first(small_limits(), totals), second(small_limits(), totals);
  first.push(OutgoingFrame::of(FrameType::tell, kind, 1, payload), start);
  second.push(OutgoingFrame::of(FrameType::tell, kind, 1, payload), start);
  EXPECT_EQ(payload.use_count(), 3);
  EXPECT_EQ(first.take(start).front().payload.get(), payload.get());
}

}  // namespace
}  // namespace banktide
