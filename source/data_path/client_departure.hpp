// Records whether and when the client of one request disconnected before it had its answer, and how
// long the node went on working on such requests.
#pragma once

#include "transport/http_server.hpp"

#include <optional>

namespace banktide {

/** Counts requests whose clients disconnected before the answer; counted when the node has finished them. */
struct DepartureCounts {
  /** The client had closed its side of the connection in order. */
  std::uint64_t closed = 0;
  /** Its connection was reset, then or afterwards. */
  std::uint64_t reset = 0;
  /** Of both, those that the node was still working on half a second later. */
  std::uint64_t outlived = 0;
  /** The total time that the node went on working on them, in milliseconds. */
  std::uint64_t outlived_ms = 0;
};

class ClientDeparture {
 public:
  void record_hang_up(ClientState const state, Instant const now) {
    if (!at_) at_ = now;
    last_state_ = state;
  }

  /** Must be called once, when the request has ended. */
  void count(DepartureCounts& counts, Instant const now) const {
    if (!at_) return;
    ++(last_state_ == ClientState::gone ? counts.reset : counts.closed);
    Duration const outlived = now - *at_;
    counts.outlived_ms += static_cast<std::uint64_t>(as_ms(outlived));
    if (outlived >= outlive_threshold) ++counts.outlived;
  }

 private:
  static constexpr Duration outlive_threshold = 500ms;
  std::optional<Instant> at_;
  ClientState last_state_ = ClientState::connected;
};

}  // namespace banktide
