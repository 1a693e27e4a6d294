// What a backend tells of itself at each heartbeat and what it is answered, in
// the product's own terms. A translator outside the product reads and writes
// the bytes.
#pragma once

#include "transport/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banktide {

/// Keys that a backend holds or still works on, `from` to `to` inclusive, and the fence that they were given under.
struct HeartbeatHeldRow {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::uint64_t fence = 0;
  bool operator==(HeartbeatHeldRow const&) const = default;
};

/// Keys that a backend has let go since its last acknowledged heartbeat, and the token that proves it to the next.
struct HeartbeatReleasedRow {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::string token;
  bool operator==(HeartbeatReleasedRow const&) const = default;
};

/// Keys that a backend is to hold; the token is that of their last holder, or empty if there is none.
struct HeartbeatGrantedRow {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::uint64_t fence = 0;
  std::string token;
  bool operator==(HeartbeatGrantedRow const&) const = default;
};

/// One heartbeat.
struct BackendHeartbeat {
  std::string id;  ///< new at each start of a backend
  std::string service;
  std::string address;
  std::string zone;
  std::string software_version;
  std::uint32_t slots = 0;     ///< requests that it works on at once
  bool leaving = false;        ///< it will end soon and wants no new requests
  Duration warm_left = 0s;     ///< how much longer it is slow from its start
  std::uint64_t sequence = 0;  ///< rises with each heartbeat of one id
  std::vector<HeartbeatHeldRow> held;
  std::vector<HeartbeatReleasedRow> released;
};

/// All that a backend is to hold: keys left out, it lets go.
struct HeartbeatGrant {
  std::vector<HeartbeatGrantedRow> rows;
  Duration hold = 0s;  ///< how long, counted from the sending of the heartbeat
};

/// The answer to a heartbeat. Without a grant it renews nothing and takes nothing away.
struct HeartbeatAnswer {
  std::optional<HeartbeatGrant> grant;
  std::string next_address;  ///< where later heartbeats should go; empty: no wish
};

}  // namespace banktide
