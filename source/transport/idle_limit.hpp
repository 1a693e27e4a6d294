// How long a kept connection to a backend may have rested before it is used
// again. Some backends forget idle connections sooner than they say, and what is
// sent on such a connection next meets a reset: a request that may not be
// repeated is then lost. One such death teaches the limit for a while.
#pragma once

#include "transport/result.hpp"

namespace banktide {

class IdleLimit {
 public:
  /// The longest rest after which a connection may carry a request.
  Duration allowed(Instant now, bool repeatable) const;
  /// A reused connection ended before any byte of an answer. `rested` is how long it was
  /// idle before, `after` how long the request had been out: a backend that has forgotten
  /// a connection resets it at once, one that fails while it works does not.
  void on_silent_end(Instant now, Duration idle_for, Duration after);

 private:
  Duration learnt_limit_{};
  Instant learnt_until_{};
};

}  // namespace banktide
