// The share of failed requests among a backend's latest ones, measured by its node. Unlike health
// checks, which can be wrong either way, it is based on real requests only. Old requests lose weight,
// so that a backend that gets no requests is tried again.
#pragma once

#include "transport/result.hpp"

#include <cstdint>

namespace banktide {

class FailureShare {
 public:
  /// Records the end of one request that reached the backend.
  void add(Instant now, bool failed);
  /// Returns the share in percent, rounded down; low while there are few requests.
  std::uint32_t percent(Instant now) const;

 private:
  double decay(Instant now) const;

  double failed_ = 0;
  double all_ = 0;
  Instant counted_at_{};
};

}  // namespace banktide
