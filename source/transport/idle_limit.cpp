#include "transport/idle_limit.hpp"

#include <algorithm>

namespace banktide {

namespace {

constexpr Duration default_limit = 2s;           // for requests that may not be repeated
constexpr Duration reset_window = 12ms;          // a later reset doesn't come from a dropped idle connection
constexpr Duration min_idle_time = 40ms;         // a connection with a shorter pause isn't considered idle
constexpr Duration learnt_limit_lifetime = 30s;  // then the default limit applies again

}  // namespace

Duration IdleLimit::allowed(Instant const now, bool const repeatable) const {
  if (now < learnt_until_) return learnt_limit_;
  return repeatable ? Duration::max() : default_limit;
}

void IdleLimit::on_silent_end(Instant const now, Duration const idle_for, Duration const after) {
  if (idle_for < min_idle_time || after > reset_window) return;
  Duration const half = std::max(idle_for / 2, min_idle_time);
  learnt_limit_ = now < learnt_until_ ? std::min(learnt_limit_, half) : half;
  learnt_until_ = now + learnt_limit_lifetime;
}

}  // namespace banktide
