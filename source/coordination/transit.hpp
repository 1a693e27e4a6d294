// How long a message was on its way, with no common clock. For each sender the
// least difference between its clock and ours is kept, over two windows so that
// clocks of slightly different speed don't matter. What a message is late
// against that is time it spent in a frozen process or a held-up link. The
// first message of a sender sets the measure; of that one nothing is known.
#pragma once

#include "transport/result.hpp"

#include <map>
#include <optional>
#include <string>

namespace banktide {

class Transit {
 public:
  static constexpr Duration window = 10s;

  std::optional<Duration> late(std::string const& sender, std::int64_t const sent_us, Instant const now) {
    std::int64_t const apart =
        std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() - sent_us;
    if (senders_.size() > 1024)
      std::erase_if(senders_, [&](auto const& s) { return now - s.second.from > 6 * window; });
    auto const [it, fresh] = senders_.try_emplace(sender, Least{now, apart, apart});
    Least& l = it->second;
    if (fresh) return std::nullopt;
    if (now - l.from > window) l = Least{now, apart, l.least};
    l.least = std::min(l.least, apart);
    return std::chrono::microseconds(apart - std::min(l.least, l.before));
  }

 private:
  struct Least {
    Instant from{};
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
      std::optional<Duration> const late = t.late("a", sent, Instant{std::chrono::microseconds(now)});
      ASSERT_EQ(late.has_value(), i > 0);
      if (late) {
        EXPECT_NEAR(static_cast<double>(as_ms(*late)), static_cast<double>(held / 1000), 3) << i;
      }
    }
  }
}
}  // namespace banktide
#endif
