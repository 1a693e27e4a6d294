// Moving averages of the run times of each class of requests on one backend, used to predict the wait
// of a queued request.
#pragma once

#include "transport/result.hpp"

#include <algorithm>
#include <tsl/robin_map.h>

namespace banktide {

class WorkEstimate {
 public:
  /** Records the time of one run of the class. */
  void record_run(std::uint32_t const work_class, Duration const took) {
    double const ms = std::chrono::duration<double, std::milli>(took).count();
    update(overall_, ms);
    update(by_class_[work_class], ms);
  }

  /** Returns the expected run time of a request of the class. */
  Duration expected(std::uint32_t const work_class) const {
    auto const it = by_class_.find(work_class);
    return milliseconds(it == by_class_.end() ? overall_.ms : it->second.ms);
  }

  /** Returns the expected run time over all classes. */
  Duration overall() const { return milliseconds(overall_.ms); }

 private:
  static constexpr double weight_of_newest = 0.05;
  static constexpr double initial_estimate_ms = 50;

  /** An exponential moving average; the first runs have equal weight. */
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
