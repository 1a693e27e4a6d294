// Operations that external clients may request from a process. An interface
// adapter outside the product maps HTTP requests to these operations and the
// results to replies.
#pragma once

#include "protocol/backend_heartbeat.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace banktide {

/// Asks whether this process is ready.
struct ReadinessOperation {};

/// A backend reports that it is running.
struct HeartbeatOperation {
  BackendHeartbeat heartbeat;
};

/// A backend reports that it has left.
struct LeaveOperation {
  std::string id;
};

/// An operator reads the newest configuration.
struct ReadConfigurationOperation {};

/// An operator writes a whole configuration, already parsed and validated. Its exact bytes are stored.
struct WriteConfigurationOperation {
  std::uint64_t version = 0;
  std::string bytes;
};

using InterfaceOperation = std::variant<ReadinessOperation, HeartbeatOperation, LeaveOperation,
                                        ReadConfigurationOperation, WriteConfigurationOperation>;

/// An HTTP reply; empty header values are left out.
struct InterfaceReply {
  unsigned status = 200;
  std::string content_type;
  std::string body;
  std::string allow;     ///< the methods that the path supports
  std::string location;  ///< where the request should go instead
};

}  // namespace banktide
