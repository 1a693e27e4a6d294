#include "data_path/failure_share.hpp"

#include <cmath>

namespace banktide {

namespace {

constexpr Duration half_life = 2s;
// Assumed successes that are added to the measured requests, so that a few failures have little effect.
constexpr double assumed_successes = 4;

}  // namespace

double FailureShare::decay(Instant const now) const {
  if (now <= counted_at_) return 1;
  return std::exp2(-(std::chrono::duration<double>(now - counted_at_) / std::chrono::duration<double>(half_life)));
}

void FailureShare::add(Instant const now, bool const failed) {
  double const decay_factor = decay(now);
  failed_ = failed_ * decay_factor + (failed ? 1 : 0);
  all_ = all_ * decay_factor + 1;
  counted_at_ = std::max(counted_at_, now);
}

std::uint32_t FailureShare::percent(Instant const now) const {
  double const decay_factor = decay(now);
  return static_cast<std::uint32_t>(100 * failed_ * decay_factor / (all_ * decay_factor + assumed_successes));
}

}  // namespace banktide
