// Rates whose mean converges quickly at first and is smooth later.
#include "coordination/key_load.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace banktide {

namespace {

constexpr double min_measured_seconds = 0.4;
constexpr double max_measured_seconds = 10;
constexpr double significant_deviation = 5;  // standard deviations above which a count counts as a change of load
constexpr double weight_decay_seconds = 4;   // time constant of the decay of a key's weight

}  // namespace

KeyLoad::KeyLoad(std::uint16_t const from, std::uint16_t const to, Instant const since)
    : from_(from), to_(to), since_(since), counts_(to - from + 1u), weights_(to - from + 1u) {}

void KeyLoad::count(std::uint16_t const key) {
  ++count_;
  std::uint16_t& counted = counts_[key - from_];
  if (counted < std::numeric_limits<std::uint16_t>::max()) ++counted;
}

float KeyLoad::share_of(std::uint16_t const from, std::uint16_t const to) const {
  float const all = std::accumulate(weights_.begin(), weights_.end(), 0.0F);
  if (all <= 0) return static_cast<float>(to - from + 1) / static_cast<float>(weights_.size());
  return std::accumulate(weights_.begin() + (from - from_), weights_.begin() + (to - from_) + 1, 0.0F) / all;
}

// A part of a measured row counts as measured at once; a row merged from parts has the shortest measuring time among
// them.
void KeyLoad::inherit(KeyLoad const& other) {
  std::uint16_t const from = std::max(from_, other.from_), to = std::min(to_, other.to_);
  for (std::uint32_t key = from; key <= to; ++key) {
    counts_[key - from_] = other.counts_[key - other.from_];
    count_ += counts_[key - from_];
    weights_[key - from_] = other.weights_[key - other.from_];
  }
  if (!other.measured_) return;
  rate_ += other.rate_ * other.share_of(from, to);
  seconds_ = measured_ ? std::min(seconds_, other.seconds_) : other.seconds_;
  since_ = other.since_;
  measured_ = true;
}

void KeyLoad::measure(Instant const now) {
  double const served = std::chrono::duration<double>(now - since_).count();
  if (served < min_measured_seconds) return;
  since_ = now;
  double const expected = static_cast<double>(rate_) * served;
  bool const changed = std::abs(count_ - expected) > significant_deviation * std::sqrt(expected + 1);
  if (!measured_ || changed) seconds_ = 0;
  double const measured_rate = count_ / served;
  seconds_ = std::min(seconds_ + served, max_measured_seconds);
  rate_ += static_cast<float>((measured_rate - static_cast<double>(rate_)) * std::min(1.0, served / seconds_));
  float const decay = static_cast<float>(std::exp(-served / weight_decay_seconds));
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    weights_[i] = weights_[i] * decay + counts_[i];
    counts_[i] = 0;
  }
  count_ = 0;
  measured_ = true;
}

std::vector<KeyCut> KeyLoad::cuts(float const part, std::size_t const limit) const {
  float const all = std::accumulate(weights_.begin(), weights_.end(), 0.0F);
  std::vector<KeyCut> cuts;
  if (!measured_ || rate_ <= 0 || all <= 0 || part <= 0) return cuts;
  float const part_limit = part * all / rate_;
  float const per_weight = std::numeric_limits<std::uint16_t>::max() / all;
  float part_weight = 0;
  auto const end_part = [&] {
    if (!cuts.empty()) cuts.back().share = static_cast<std::uint16_t>(part_weight * per_weight);
    part_weight = 0;
  };
  for (std::size_t i = 0; i < weights_.size(); ++i) {
    bool const full = part_weight > 0 && part_weight + weights_[i] > part_limit && i > 0;
    if (full && cuts.size() < limit) {
      end_part();
      cuts.push_back(KeyCut{static_cast<std::uint16_t>(from_ + i), 0});
    }
    part_weight += weights_[i];
  }
  end_part();
  return cuts;
}

}  // namespace banktide
