// Graceful shutdown of a process: it accepts no request that may outlast its grace period,
// and it exits once every accepted request is answered and written, or when the grace period
// is over.
#pragma once

#include "transport/result.hpp"

#include <optional>

namespace banktide {

/** The work of a process that is not finished yet. */
struct OwedWork {
  std::size_t requests = 0;     ///< accepted from clients or other processes, not answered yet
  std::size_t connections = 0;  ///< of clients, with an incomplete request or an unwritten response
  std::size_t bytes = 0;        ///< of requests and responses queued to other processes
  bool nothing() const { return requests == 0 && connections == 0 && bytes == 0; }
};

class Departure {
 public:
  /** `notice`: how long new requests still arrive; `patience`: the grace period; both counted from `begin`. */
  Departure(Duration const notice, Duration const patience) : notice_(notice), patience_(patience) {}

  void begin(Instant const now) {
    if (!began_) began_ = now;
  }
  bool leaving() const { return began_.has_value(); }

  /** Whether new requests are accepted at all. */
  bool takes_work(Instant const now) const { return !began_ || now - *began_ <= notice_; }

  /** Whether a request that may last until `deadline` is accepted. */
  bool takes(Instant const now, Instant const deadline) const {
    if (!began_) return true;
    return takes_work(now) && deadline <= *began_ + patience_;
  }

  /** Whether the process may exit: no work has been pending for `settle_time`, or the grace period is over. Has to be
   * polled, as each call records the time at which no work was pending. */
  bool may_end(Instant const now, OwedWork const& owed) {
    if (!began_) return false;
    if (now - *began_ >= patience_) return true;
    if (takes_work(now) || !owed.nothing()) {
      clear_since_.reset();
      return false;
    }
    if (!clear_since_) clear_since_ = now;
    return now - *clear_since_ >= settle_time;
  }

  /** Time for the last written bytes to reach the client: an exit with unread bytes would reset the connection. */
  static constexpr Duration settle_time = 60ms;

 private:
  Duration const notice_;
  Duration const patience_;
  std::optional<Instant> began_;
  std::optional<Instant> clear_since_;
};

}  // namespace banktide
