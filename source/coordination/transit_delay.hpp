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

class TransitDelay {
 public:
  static constexpr Duration window = 10s, sender_timeout = 60s, quick_answer = 20ms;

  // None: the sender's clock isn't known.
  std::optional<Duration> delay_of(std::string const& sender, std::int64_t const sent_us, Instant const now) {
    auto const it = offsets_.find(sender);
    if (it == offsets_.end() || now - it->second.last > sender_timeout) return std::nullopt;
    ClockOffset& l = it->second;
    std::int64_t const offset = microseconds_of(now) - sent_us;
    if (now - l.from > window) l = ClockOffset{now, now, offset, l.smallest};
    l.last = now;
    l.smallest = std::min(l.smallest, offset);
    return std::chrono::microseconds(offset - std::min(l.smallest, l.previous_smallest));
  }

  // The same for a message that came when its sender's clock wasn't known. Asked
  // for it from `asked` until `now`, the sender read `clock_us`; the message is
  // taken to be as late as that allows. Only a quick answer is kept.
  Duration learn_clock(std::string const& sender, std::int64_t const clock_us, Instant const asked, Instant const now,
                       std::int64_t const sent_us, Instant const came) {
    if (offsets_.size() > 1024)
      std::erase_if(offsets_, [&](auto const& s) { return now - s.second.last > sender_timeout; });
    std::int64_t const offset = microseconds_of(asked) - clock_us;
    if (now - asked < quick_answer) offsets_[sender] = ClockOffset{now, now, offset, offset};
    return std::chrono::microseconds(std::max<std::int64_t>(0, microseconds_of(came) - sent_us - offset));
  }

 private:
  static std::int64_t microseconds_of(Instant const t) {
    return std::chrono::duration_cast<std::chrono::microseconds>(t.time_since_epoch()).count();
  }
  struct ClockOffset {
    Instant from{}, last{};
    std::int64_t smallest = 0, previous_smallest = 0;
  };
  std::map<std::string, ClockOffset> offsets_;
};

}  // namespace banktide
