// How long requests of each class run on one backend: moving averages, from
// which the wait of a queued request is foretold.
#pragma once

#include "transport/result.hpp"

#include <algorithm>
#include <tsl/robin_map.h>

namespace banktide {

class WorkEstimate {
 public:
  /** One run of the class took `took`. */
  void record_run(std::uint32_t const work_class, Duration const took) {
    double const ms = std::chrono::duration<double, std::milli>(took).count();
    update(overall_, ms);
    update(by_class_[work_class], ms);
  }

  /** The expected run time of a request of the class. */
  Duration expected(std::uint32_t const work_class) const {
    auto const it = by_class_.find(work_class);
    return milliseconds(it == by_class_.end() ? overall_.ms : it->second.ms);
  }

  /** The expected run time over all classes. */
  Duration overall() const { return milliseconds(overall_.ms); }

 private:
  static constexpr double weight_of_newest = 0.05;
  static constexpr double initial_estimate_ms = 50;

  /** A mean that follows the newest runs, and at first all of them alike. */
  struct Mean {
    double ms = initial_estimate_ms;
    double runs = 0;
  };

  static void update(Mean& mean, double const ms) {
    mean.runs += 1;
    mean.ms += (ms - mean.ms) * std::max(weight_of_newest, 1 / mean.runs);
  }
  static Duration milliseconds(double const ms) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
  }

  Mean overall_;
  tsl::robin_map<std::uint32_t, Mean> by_class_;
};

}  // namespace banktide
