// The limit learnt from resets of idle connections.
#include "transport/idle_limit.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

Instant const start{1000s};

TEST(IdleLimit, uses_the_default_limit_until_an_idle_connection_was_reset) {
  IdleLimit limit;
  EXPECT_EQ(limit.allowed(start, false), 2s);
  EXPECT_GT(limit.allowed(start, true), 1h);
  limit.on_silent_end(start, 300ms, 1ms);
  EXPECT_EQ(limit.allowed(start, false), 150ms);
  EXPECT_EQ(limit.allowed(start, true), 150ms);
  EXPECT_EQ(limit.allowed(start + 29s, false), 150ms);
  EXPECT_EQ(limit.allowed(start + 31s, false), 2s);
}

TEST(IdleLimit, ignores_failures_during_processing_and_of_connections_in_use) {
  IdleLimit limit;
  limit.on_silent_end(start, 300ms, 60ms);
  limit.on_silent_end(start, 5ms, 1ms);
  EXPECT_EQ(limit.allowed(start, false), 2s);
}

TEST(IdleLimit, keeps_the_lowest_learnt_limit_but_not_below_the_minimum_idle_time) {
  IdleLimit limit;
  std::mt19937_64 random(5);
  Duration lowest = Duration::max();
  for (int i = 0; i < 500; ++i) {
    Duration const idle_for = std::chrono::milliseconds(40 + random() % 2000);
    limit.on_silent_end(start + std::chrono::milliseconds(i), idle_for, 2ms);
    lowest = std::min(lowest, std::max<Duration>(idle_for / 2, 40ms));
    ASSERT_EQ(limit.allowed(start + std::chrono::milliseconds(i), false), lowest);
  }
  EXPECT_GE(lowest, 40ms);
}

}  // namespace
}  // namespace banktide
