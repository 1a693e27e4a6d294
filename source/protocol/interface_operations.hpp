// What callers from outside may ask of a process, in the product's own terms. A
// translator outside the product maps their HTTP requests to these operations
// and the outcomes to replies.
#pragma once

#include "protocol/backend_heartbeat.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace banktide {

/// Whether this process is ready for work.
struct ReadinessOperation {};

/// A backend says that it is there.
struct HeartbeatOperation {
  BackendHeartbeat heartbeat;
};

/// A backend says that it is gone.
struct LeaveOperation {
  std::string id;
};

/// An operator wants the newest configuration.
struct ReadConfigurationOperation {};

/// An operator sends a whole configuration, which has been read and checked. Its exact bytes are what is stored.
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
  std::string allow;     ///< the methods that the path has
  std::string location;  ///< where the request should go instead
};

}  // namespace banktide
