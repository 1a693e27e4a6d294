// Messages by which nodes record, with the registries, that an instance of their backend drains or has signed off, and
// by which a later process of the node learns it.
#pragma once

#include "protocol/message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace banktide {

/// The entry that records an instance's drain in place of its sign-off. It travels in the same messages, so that
/// registries of earlier releases keep it as well. No instance has such an id: it begins with a control character.
inline std::string drain_entry(std::string const& instance) { return '\x1f' + ("drain " + instance); }

struct SignOffRecordReply {
  bool recorded = false;
  BANKTIDE_FIELDS(recorded)
};
// Entries are ids of instances that have signed off, to which nothing may be sent any more, whatever heartbeat of
// theirs still arrives, and drain entries.
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
// Whether the receiver has this entry.
struct SignOffQuery {
  static constexpr std::uint8_t kind = 62;
  using Reply = SignOffQueryReply;
  std::string instance;
  BANKTIDE_FIELDS(instance)
};

}  // namespace banktide
