// Estimates how long a message was delayed, without a common clock. For each sender the smallest difference between
// its clock and the local one is kept, over two windows so that clock drift doesn't matter. What a message exceeds
// that difference by is time it spent in a suspended process or a stalled link. A sender that is new or was silent
// for long is first asked for its clock.
#pragma once

#include "transport/result.hpp"

#include <map>
#include <optional>
#include <string>

namespace banktide {

class TransitDelay {
 public:
  static constexpr Duration window = 10s, sender_timeout = 60s, quick_answer = 20ms;

  // The delay of a message; none if the sender's clock isn't known.
  std::optional<Duration> delay_of(std::string const& sender, std::int64_t const sent_us, Instant const now) {
    auto const it = offsets_.find(sender);
    if (it == offsets_.end() || now - it->second.last_message > sender_timeout) return std::nullopt;
    ClockOffset& known = it->second;
    std::int64_t const offset = microseconds_of(now) - sent_us;
    if (now - known.window_start > window) known = ClockOffset{now, now, offset, known.smallest};
    known.last_message = now;
    known.smallest = std::min(known.smallest, offset);
    return std::chrono::microseconds(offset - std::min(known.smallest, known.previous_smallest));
  }

  // The same for a message that arrived at `came`, when its sender's clock wasn't known. The sender was asked for its
  // clock at `asked` and its answer `clock_us` arrived at `now`; the largest delay that these allow is returned. The
  // clock is kept only if the answer was quick.
  Duration learn_clock(std::string const& sender, std::int64_t const clock_us, Instant const asked, Instant const now,
                       std::int64_t const sent_us, Instant const came) {
    if (offsets_.size() > 1024)
      std::erase_if(offsets_, [&](auto const& s) { return now - s.second.last_message > sender_timeout; });
    std::int64_t const offset = microseconds_of(asked) - clock_us;
    if (now - asked < quick_answer) offsets_[sender] = ClockOffset{now, now, offset, offset};
    return std::chrono::microseconds(std::max<std::int64_t>(0, microseconds_of(came) - sent_us - offset));
  }

 private:
  static std::int64_t microseconds_of(Instant const t) {
    return std::chrono::duration_cast<std::chrono::microseconds>(t.time_since_epoch()).count();
  }
  // The smallest difference between the local and a sender's clock, in this window and in the one before.
  struct ClockOffset {
    Instant window_start{}, last_message{};
    std::int64_t smallest = 0, previous_smallest = 0;
  };
  std::map<std::string, ClockOffset> offsets_;
};

}  // namespace banktide
