// What a death of a kept connection teaches of how long others may rest.
#include "transport/idle_limit.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

Instant const start{1000s};

TEST(IdleLimit, trusts_rests_as_told_until_a_connection_was_found_forgotten) {
  IdleLimit limit;
  EXPECT_EQ(limit.allowed(start, false), 2s);
  EXPECT_GT(limit.allowed(start, true), 1h);
  limit.on_silent_end(start, 300ms, 1ms);
  EXPECT_EQ(limit.allowed(start, false), 150ms);
  EXPECT_EQ(limit.allowed(start, true), 150ms);
  EXPECT_EQ(limit.allowed(start + 29s, false), 150ms);
  EXPECT_EQ(limit.allowed(start + 31s, false), 2s);
}

TEST(IdleLimit, learns_nothing_from_failures_at_work_or_of_connections_in_use) {
  IdleLimit limit;
  limit.on_silent_end(start, 300ms, 60ms);
  limit.on_silent_end(start, 5ms, 1ms);
  EXPECT_EQ(limit.allowed(start, false), 2s);
}

TEST(IdleLimit, keeps_the_least_that_was_learnt_and_never_calls_busy_connections_idle) {
  IdleLimit limit;
  std::mt19937_64 random(5);
  Duration least = Duration::max();
  for (int i = 0; i < 500; ++i) {
    Duration const rested = std::chrono::milliseconds(40 + random() % 2000);
    limit.on_silent_end(start + std::chrono::milliseconds(i), rested, 2ms);
    least = std::min(least, std::max<Duration>(rested / 2, 40ms));
    ASSERT_EQ(limit.allowed(start + std::chrono::milliseconds(i), false), least);
  }
  EXPECT_GE(least, 40ms);
}

}  // namespace
}  // namespace banktide
