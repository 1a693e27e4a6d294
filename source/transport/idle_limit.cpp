#include "transport/idle_limit.hpp"

#include <algorithm>

namespace banktide {

namespace {

constexpr Duration unlearnt_limit = 2s;   // for requests that may not be repeated
constexpr Duration immediately = 12ms;    // a reset after longer isn't that of a forgotten connection
constexpr Duration shortest_rest = 40ms;  // connections that rest less aren't idle
constexpr Duration remembered_for = 30s;  // then the backend gets another chance

}  // namespace

Duration IdleLimit::allowed(Instant const now, bool const repeatable) const {
  if (now < learnt_until_) return learnt_;
  return repeatable ? Duration::max() : unlearnt_limit;
}

void IdleLimit::on_silent_end(Instant const now, Duration const rested, Duration const after) {
  if (rested < shortest_rest || after > immediately) return;
  Duration const half = std::max(rested / 2, shortest_rest);
  learnt_ = now < learnt_until_ ? std::min(learnt_, half) : half;
  learnt_until_ = now + remembered_for;
}

}  // namespace banktide
