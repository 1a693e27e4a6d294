// The maximum idle time after which a persistent connection to a backend may be
// reused. Some backends drop idle connections earlier than they announce; the next
// request on such a connection is reset, and lost if it may not be repeated. After
// such a reset, a shorter limit applies for a while.
#pragma once

#include "transport/result.hpp"

namespace banktide {

class IdleLimit {
 public:
  /// The longest idle time after which a connection may carry a request.
  Duration allowed(Instant now, bool repeatable) const;
  /// A reused connection ended before any byte of an answer. `idle_for` is how long it was idle
  /// before, `after` the time since the request was sent: a backend that has dropped the
  /// connection resets it at once, one that fails during processing doesn't.
  void on_silent_end(Instant now, Duration idle_for, Duration after);

 private:
  Duration learnt_limit_{};
  Instant learnt_until_{};
};

}  // namespace banktide
