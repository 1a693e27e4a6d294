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
