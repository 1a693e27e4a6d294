// Graceful shutdown of a process: it accepts no request that may outlast its grace period,
// and it exits once every accepted request is answered and written, or when the grace period
// is over.
#pragma once

#include "transport/result.hpp"

#include <optional>

namespace banktide {

/** The work of a process that is not finished yet. */
struct PendingWork {
  std::size_t requests = 0;     ///< accepted from clients or other processes, not answered yet
  std::size_t connections = 0;  ///< of clients, with an incomplete request or an unwritten response
  std::size_t bytes = 0;        ///< of requests and responses queued to other processes
  bool empty() const { return requests == 0 && connections == 0 && bytes == 0; }
};

class GracefulShutdown {
 public:
  /** `notice`: how long new requests still arrive; `grace`: the grace period; both counted from `begin`. */
  GracefulShutdown(Duration const notice, Duration const grace) : notice_(notice), grace_(grace) {}

  void begin(Instant const now) {
    if (!began_at_) began_at_ = now;
  }
  bool leaving() const { return began_at_.has_value(); }

  /** Whether new requests are accepted at all. */
  bool accepts_work(Instant const now) const { return !began_at_ || now - *began_at_ <= notice_; }

  /** Whether a request that may last until `deadline` is accepted. */
  bool accepts(Instant const now, Instant const deadline) const {
    if (!began_at_) return true;
    return accepts_work(now) && deadline <= *began_at_ + grace_;
  }

  /** Whether the process may exit: no work has been pending for `settle_time`, or the grace period is over. Has to be
   * polled, as each call records the time at which no work was pending. */
  bool may_exit(Instant const now, PendingWork const& pending_work) {
    if (!began_at_) return false;
    if (now - *began_at_ >= grace_) return true;
    if (accepts_work(now) || !pending_work.empty()) {
      idle_since_.reset();
      return false;
    }
    if (!idle_since_) idle_since_ = now;
    return now - *idle_since_ >= settle_time;
  }

  /** Time for the last written bytes to reach the client: an exit with unread bytes would reset the connection. */
  static constexpr Duration settle_time = 60ms;

 private:
  Duration const notice_;
  Duration const grace_;
  std::optional<Instant> began_at_;
  std::optional<Instant> idle_since_;
};

}  // namespace banktide
