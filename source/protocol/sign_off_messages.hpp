// Messages by which nodes record, with the registries, that an instance of their backend has signed off, and by which
// a later process of the node learns it.
#pragma once

#include "protocol/message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace banktide {

struct SignOffRecordReply {
  bool recorded = false;
  BANKTIDE_FIELDS(recorded)
};
// The instances have signed off: nothing may be sent to them any more, whatever heartbeat of theirs still arrives.
struct SignOffRecord {
  static constexpr std::uint8_t kind = 61;
  using Reply = SignOffRecordReply;
  std::vector<std::string> instances;
  BANKTIDE_FIELDS(instances)
};

struct SignOffQueryReply {
  bool signed_off = false;
  BANKTIDE_FIELDS(signed_off)
};
// Whether the instance has signed off, as far as the receiver knows.
struct SignOffQuery {
  static constexpr std::uint8_t kind = 62;
  using Reply = SignOffQueryReply;
  std::string instance;
  BANKTIDE_FIELDS(instance)
};

}  // namespace banktide
