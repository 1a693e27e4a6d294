// The share of a backend's latest requests that failed, as the node beside it
// measures it. Health answers may be wrong either way; this rests on real requests
// only. Old ones fade, so that a backend that gets no requests is tried again.
#pragma once

#include "transport/result.hpp"

#include <cstdint>

namespace banktide {

class FailureShare {
 public:
  /// One request that reached the backend is over.
  void add(Instant now, bool failed);
  /// In percent, rounded down; 0 until there are several failures.
  std::uint32_t percent(Instant now) const;

 private:
  double decay(Instant now) const;

  double failed_ = 0;
  double all_ = 0;
  Instant counted_at_{};
};

}  // namespace banktide
