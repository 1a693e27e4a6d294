// How long requests of each class run on one backend: moving averages, from
// which the wait of a queued request is foretold.
#pragma once

#include "transport/result.hpp"

#include <tsl/robin_map.h>

namespace banktide {

class WorkEstimate {
 public:
  /** One run of the class took `took`. */
  void ran(std::uint32_t const work_class, Duration const took) {
    double const ms = std::chrono::duration<double, std::milli>(took).count();
    update(overall_ms_, ms);
    auto it = by_class_ms_.find(work_class);
    if (it == by_class_ms_.end()) it = by_class_ms_.emplace(work_class, ms).first;
    update(it.value(), ms);
  }

  /** The expected run time of a request of the class. */
  Duration expected(std::uint32_t const work_class) const {
    auto const it = by_class_ms_.find(work_class);
    return milliseconds(it == by_class_ms_.end() ? overall_ms_ : it->second);
  }

  /** The expected run time over all classes. */
  Duration overall() const { return milliseconds(overall_ms_); }

 private:
  static constexpr double weight_of_newest = 0.05;
  static constexpr double first_guess_ms = 50;

  static void update(double& mean, double const ms) { mean += (ms - mean) * weight_of_newest; }
  static Duration milliseconds(double const ms) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
  }

  double overall_ms_ = first_guess_ms;
  tsl::robin_map<std::uint32_t, double> by_class_ms_;
};

}  // namespace banktide
