// How long a message was on its way, with no common clock. For each sender the
// least difference between its clock and ours is kept, over two windows so that
// clocks of slightly different speed don't matter. What a message is late
// against that is time it spent in a frozen process or a held-up link. A sender
// that is new or was quiet for long is first asked for its clock.
#pragma once

#include "transport/result.hpp"

#include <map>
#include <optional>
#include <string>

namespace banktide {

class Transit {
 public:
  static constexpr Duration window = 10s, quiet = 60s, quick = 20ms;

  // None: the sender's clock isn't known.
  std::optional<Duration> late(std::string const& sender, std::int64_t const sent_us, Instant const now) {
    auto const it = senders_.find(sender);
    if (it == senders_.end() || now - it->second.last > quiet) return std::nullopt;
    Least& l = it->second;
    std::int64_t const apart = us(now) - sent_us;
    if (now - l.from > window) l = Least{now, now, apart, l.least};
    l.last = now;
    l.least = std::min(l.least, apart);
    return std::chrono::microseconds(apart - std::min(l.least, l.before));
  }

  // The same for a message that came when its sender's clock wasn't known. Asked
  // for it from `asked` until `now`, the sender read `clock_us`; the message is
  // taken to be as late as that allows. Only a quick answer is kept.
  Duration learn(std::string const& sender, std::int64_t const clock_us, Instant const asked, Instant const now,
                 std::int64_t const sent_us, Instant const came) {
    if (senders_.size() > 1024) std::erase_if(senders_, [&](auto const& s) { return now - s.second.last > quiet; });
    std::int64_t const apart = us(asked) - clock_us;
    if (now - asked < quick) senders_[sender] = Least{now, now, apart, apart};
    return std::chrono::microseconds(std::max<std::int64_t>(0, us(came) - sent_us - apart));
  }

 private:
  static std::int64_t us(Instant const t) {
    return std::chrono::duration_cast<std::chrono::microseconds>(t.time_since_epoch()).count();
  }
  struct Least {
    Instant from{}, last{};
    std::int64_t least = 0, before = 0;
  };
  std::map<std::string, Least> senders_;
};

}  // namespace banktide

#ifdef TESTS_OF_TRANSIT
namespace banktide {
TEST(Transit, lateness_is_seen_whatever_the_clocks_say) {
  for (std::int64_t const offset : {-5000000000ll, 0ll, 7000000000ll}) {
    Transit t;
    std::int64_t now = 20000000000;
    for (int i = 0; i < 100; ++i, now += 500000) {
      std::int64_t const held = i % 10 == 9 ? 1500000 : 0;
      std::int64_t const sent = (now - 200 - held) + (now - held) / 20000 + offset;  // 50 ppm fast
      Instant const came{std::chrono::microseconds(now)};
      std::optional<Duration> late = t.late("a", sent, came);
      ASSERT_EQ(late.has_value(), i > 0);
      // The first is asked about, and is late as well.
      if (!late) {
        std::int64_t const clock = now + 300 + (now + 300) / 20000 + offset;
        late = t.learn("a", clock, came, came + 600us, sent - 1500000, came);
        EXPECT_GE(as_ms(*late), 1499) << "never less than it was";
        EXPECT_LE(as_ms(*late), 1502);
        continue;
      }
      EXPECT_NEAR(static_cast<double>(as_ms(*late)), static_cast<double>(held / 1000), 3) << i;
    }
  }
}
TEST(Transit, a_sender_quiet_for_long_is_asked_again_and_a_slow_answer_is_not_kept) {
  Transit t;
  Instant const now{1000s};
  EXPECT_FALSE(t.late("a", 0, now));
  EXPECT_EQ(as_ms(t.learn("a", 5000000, now, now + 300ms, 5000000, now)), 0);
  EXPECT_FALSE(t.late("a", 5000000, now + 300ms));
  t.learn("a", 5000000, now, now + 1ms, 5000000, now);
  EXPECT_TRUE(t.late("a", 6000000, now + 1s));
  EXPECT_FALSE(t.late("a", 70000000, now + 65s));
}
}  // namespace banktide
#endif
