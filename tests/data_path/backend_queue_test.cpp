// The queue of a backend: it never runs more requests than slots, orders them by rank and run time,
// and refuses a request as soon as it can't be served in time.
#include "data_path/backend_queue.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace banktide {
namespace {

Instant at(int const ms) { return Instant{std::chrono::seconds(100)} + std::chrono::milliseconds(ms); }

QueuedRequest request(std::uint64_t const id, std::uint32_t const rank, int const useful_until_ms) {
  return QueuedRequest{id, rank, 1, at(useful_until_ms)};
}

TEST(BackendQueue, runs_as_many_as_slots_and_then_by_rank_and_age) {
  BackendQueue queue;
  queue.set_slots(2);
  EXPECT_EQ(queue.admit(at(0), request(1, 2, 1000)), Admission::run);
  EXPECT_EQ(queue.admit(at(0), request(2, 2, 1000)), Admission::run);
  EXPECT_EQ(queue.admit(at(0), request(3, 2, 1000)), Admission::wait);
  EXPECT_EQ(queue.admit(at(1), request(4, 0, 1000)), Admission::wait);
  EXPECT_EQ(queue.admit(at(2), request(5, 2, 1000)), Admission::wait);
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 3; ++i) {
    queue.finished(at(10 + i), 1, 50ms, true);
    for (std::uint64_t const id : queue.take_decisions().run) order.push_back(id);
  }
  EXPECT_EQ(order, (std::vector<std::uint64_t>{4, 3, 5}));
  EXPECT_EQ(queue.running(), 2u);
}

TEST(BackendQueue, refuses_requests_at_once_that_cannot_be_served_in_time) {
  BackendQueue queue;
  queue.set_slots(1);
  EXPECT_EQ(queue.admit(at(0), request(1, 0, 1000)), Admission::run);
  EXPECT_EQ(queue.admit(at(0), request(2, 0, 60)), Admission::refuse) << "50 ms of wait and 50 ms of work";
  EXPECT_EQ(queue.admit(at(0), request(3, 0, 120)), Admission::wait);
}

TEST(BackendQueue, short_requests_overtake_long_ones_of_the_same_rank) {
  BackendQueue queue;
  queue.set_slots(1);
  constexpr std::uint32_t long_class = 1, short_class = 2;
  for (std::uint32_t const c : {long_class, short_class}) {
    queue.admit(at(0), QueuedRequest{c, 0, c, at(1000)});
    queue.finished(at(0), c, c == long_class ? 120ms : 20ms, true);
  }
  queue.take_decisions();
  queue.admit(at(0), QueuedRequest{10, 0, long_class, at(1000)});
  EXPECT_EQ(queue.admit(at(0), QueuedRequest{11, 0, long_class, at(1000)}), Admission::wait);
  EXPECT_EQ(queue.admit(at(1), QueuedRequest{12, 0, short_class, at(1000)}), Admission::wait);
  EXPECT_LT(queue.expected_wait(0, short_class), queue.expected_wait(0, long_class));
  queue.finished(at(2), long_class, 120ms, true);
  EXPECT_EQ(queue.take_decisions().run, (std::vector<std::uint64_t>{12}));
}

TEST(BackendQueue, requests_of_a_higher_rank_cause_late_ones_to_be_refused) {
  BackendQueue queue;
  queue.set_slots(1);
  queue.admit(at(0), request(1, 0, 1000));
  EXPECT_EQ(queue.admit(at(0), request(2, 3, 105)), Admission::wait);
  for (std::uint64_t id = 3; id < 6; ++id) EXPECT_EQ(queue.admit(at(0), request(id, 0, 1000)), Admission::wait);
  EXPECT_EQ(queue.take_decisions().refuse, (std::vector<std::uint64_t>{2}));
}

TEST(BackendQueue, under_random_load_each_request_is_decided_once_and_slots_are_not_exceeded) {
  std::mt19937_64 chance(7);
  BackendQueue queue;
  queue.set_slots(5);
  std::map<std::uint64_t, int> decided;
  std::uint32_t running = 0;
  std::uint64_t last = 0;
  std::set<std::uint64_t> waiting;
  for (int ms = 0; ms < 20000; ++ms) {
    if (chance() % 3 != 0) {
      std::uint64_t const id = ++last;
      int const patience = static_cast<int>(chance() % 400);
      Admission const a = queue.admit(at(ms), request(id, static_cast<std::uint32_t>(chance() % 4), ms + patience));
      if (a == Admission::wait) waiting.insert(id);
      if (a == Admission::run) ++running;
      if (a != Admission::wait) ++decided[id];
    }
    if (running > 0 && chance() % 10 == 0) {
      --running;
      queue.finished(at(ms), 1, std::chrono::milliseconds(20 + chance() % 60), true);
    }
    if (!waiting.empty() && chance() % 50 == 0) {
      std::uint64_t const id = *waiting.begin();
      if (queue.withdraw(id)) ++decided[id];
    }
    BackendQueue::Decisions const d = queue.take_decisions();
    running += static_cast<std::uint32_t>(d.run.size());
    for (std::uint64_t const id : d.run) ++decided[id], waiting.erase(id);
    for (std::uint64_t const id : d.refuse) ++decided[id], waiting.erase(id);
    ASSERT_LE(running, 5u);
    ASSERT_EQ(running, queue.running());
  }
  queue.refuse_all();
  for (std::uint64_t const id : queue.take_decisions().refuse) ++decided[id];
  EXPECT_EQ(decided.size(), last);
  for (auto const& [id, times] : decided) ASSERT_EQ(times, 1) << id;
}

}  // namespace
}  // namespace banktide
