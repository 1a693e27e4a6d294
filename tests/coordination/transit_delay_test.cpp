// The estimated delay of messages doesn't depend on the offset between the machines' clocks.
#include "coordination/transit_delay.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(TransitDelay, delays_are_measured_whatever_the_clock_offset) {
  for (std::int64_t const offset : {-5000000000ll, 0ll, 7000000000ll}) {
    TransitDelay t;
    std::int64_t now = 20000000000;
    for (int i = 0; i < 100; ++i, now += 500000) {
      std::int64_t const held = i % 10 == 9 ? 1500000 : 0;
      std::int64_t const sent = (now - 200 - held) + (now - held) / 20000 + offset;  // 50 ppm fast
      Instant const came{std::chrono::microseconds(now)};
      std::optional<Duration> late = t.delay_of("a", sent, came);
      ASSERT_EQ(late.has_value(), i > 0);
      // The first message needs the sender's clock, and is late as well.
      if (!late) {
        std::int64_t const clock = now + 300 + (now + 300) / 20000 + offset;
        late = t.learn_clock("a", clock, came, came + 600us, sent - 1500000, came);
        EXPECT_GE(as_ms(*late), 1499) << "the estimate is never too low";
        EXPECT_LE(as_ms(*late), 1502);
        continue;
      }
      EXPECT_NEAR(static_cast<double>(as_ms(*late)), static_cast<double>(held / 1000), 3) << i;
    }
  }
}
TEST(TransitDelay, a_sender_silent_for_long_is_asked_again_and_a_slow_answer_is_not_kept) {
  TransitDelay t;
  Instant const now{1000s};
  EXPECT_FALSE(t.delay_of("a", 0, now));
  EXPECT_EQ(as_ms(t.learn_clock("a", 5000000, now, now + 300ms, 5000000, now)), 0);
  EXPECT_FALSE(t.delay_of("a", 5000000, now + 300ms));
  t.learn_clock("a", 5000000, now, now + 1ms, 5000000, now);
  EXPECT_TRUE(t.delay_of("a", 6000000, now + 1s));
  EXPECT_FALSE(t.delay_of("a", 70000000, now + 65s));
}

}  // namespace
}  // namespace banktide
