// Heartbeats of backends and their answers, independent of the wire format. An
// interface adapter outside the product parses and formats the bytes.
#pragma once

#include "transport/result.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banktide {

/// Keys that a backend holds or still works on, `from` to `to` inclusive, and the fencing number of their grant.
struct HeartbeatHeldRow {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::uint64_t fence = 0;
  bool operator==(HeartbeatHeldRow const&) const = default;
};

/// Keys that a backend released since its last acknowledged heartbeat, and the token that proves it to the next holder.
struct HeartbeatReleasedRow {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::string token;
  bool operator==(HeartbeatReleasedRow const&) const = default;
};

/// Keys granted to a backend; the token is that of the last holder, or empty if there is none.
struct HeartbeatGrantedRow {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::uint64_t fence = 0;
  std::string token;
  bool operator==(HeartbeatGrantedRow const&) const = default;
};

/// A heartbeat arrives at most this long after it was sent.
inline constexpr Duration max_heartbeat_delay = 10s;

/// One heartbeat.
struct BackendHeartbeat {
  std::string id;  ///< new at each start of the backend
  std::string service;
  std::string address;
  std::string zone;
  std::string software_version;
  std::uint32_t slots = 0;     ///< requests that it runs concurrently
  bool leaving = false;        ///< it is shutting down and takes no new requests
  Duration warm_left = 0s;     ///< remaining time of its warm-up
  std::uint64_t sequence = 0;  ///< increases with each heartbeat of one id
  std::vector<HeartbeatHeldRow> held;
  std::vector<HeartbeatReleasedRow> released;
};

/// All keys that the backend may hold; it has to release the others.
struct HeartbeatGrant {
  std::vector<HeartbeatGrantedRow> rows;
  Duration hold = 0s;  ///< validity, counted from when the heartbeat was sent
};

/// The answer to a heartbeat. Without a grant, it neither renews nor revokes anything.
struct HeartbeatAnswer {
  std::optional<HeartbeatGrant> grant;
  std::string next_address;  ///< where to send later heartbeats; empty: unchanged
};

/// Whether the answer leaves out keys that the backend holds, so that it releases them.
inline bool releases_keys(BackendHeartbeat const& heartbeat, HeartbeatAnswer const& answer) {
  if (!answer.grant) return false;
  std::vector<HeartbeatGrantedRow> const& granted = answer.grant->rows;
  return std::any_of(heartbeat.held.begin(), heartbeat.held.end(), [&](HeartbeatHeldRow const& held) {
    return std::none_of(granted.begin(), granted.end(),
                        [&](HeartbeatGrantedRow const& row) { return row.from <= held.from && held.to <= row.to; });
  });
}

}  // namespace banktide
