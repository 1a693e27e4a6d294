// Extra tries against first tries in a sliding window: a share of the first
// tries of the last ten seconds, plus a margin so small that its sum over all
// nodes stays small. Everything after a call's first try counts, failovers too.
// As each node keeps to the share of its own first tries, all nodes together
// keep to the share of all, without knowing of each other.
#pragma once

#include "transport/result.hpp"

#include <array>

namespace banktide {

class RetryBudget {
 public:
  static constexpr std::size_t slots = 100;
  static constexpr std::uint64_t margin = 1;
  static constexpr std::uint64_t default_percent = 20;

  /** `percent` of the first tries and `extra_margin` more may be extra ones. */
  explicit RetryBudget(std::uint64_t const percent = default_percent, std::uint64_t const extra_margin = margin)
      : percent_(percent), margin_(extra_margin) {}

  void first(Instant const now) {
    turn(now);
    ++firsts_[at_];
    ++first_sum_;
  }
  bool extra(Instant const now) {
    turn(now);
    if (extra_sum_ + 1 > first_sum_ * percent_ / 100 + margin_) return false;
    ++extras_[at_];
    ++extra_sum_;
    return true;
  }
  std::uint64_t firsts() const { return first_sum_; }
  std::uint64_t extras() const { return extra_sum_; }

 private:
  void turn(Instant const now) {
    std::int64_t const tick = as_ms(now.time_since_epoch()) / 100;
    for (std::size_t steps = 0; tick_ < tick && steps < slots; ++tick_, ++steps) {
      at_ = (at_ + 1) % slots;
      first_sum_ -= firsts_[at_];
      extra_sum_ -= extras_[at_];
      firsts_[at_] = extras_[at_] = 0;
    }
    tick_ = std::max(tick_, tick);
  }

  std::uint64_t percent_;
  std::uint64_t margin_;
  std::array<std::uint64_t, slots> firsts_{};
  std::array<std::uint64_t, slots> extras_{};
  std::uint64_t first_sum_ = 0, extra_sum_ = 0;
  std::size_t at_ = 0;
  std::int64_t tick_ = 0;
};

}  // namespace banktide
