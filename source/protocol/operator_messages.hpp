// Messages of the operator interface: call decisions and the state of the fleet.
#pragma once

#include "protocol/call_messages.hpp"
#include "protocol/zone_messages.hpp"

namespace banktide {

// ---- call decisions and the state of the fleet

// One decision or one transition of a call, as recorded in its node's journal.
struct CallEvent {
  std::string node;
  std::uint64_t number = 0;  // its sequence number in the journal
  std::int64_t at_ms = 0;
  std::uint64_t call = 0;
  std::string state, decision, service, reason, step, peer, zone;
  bool keyed = false;
  std::uint32_t slice = 0;
  Revision routing = 0, catalogue = 0;
  BANKTIDE_FIELDS(node, number, at_ms, call, state, decision, service, reason, step, peer, zone, keyed, slice, routing,
                  catalogue)
};

// `lost` events were discarded between the reader's position and the oldest one
// kept; 0: unknown, because the node has restarted.
struct Gap {
  std::string node;
  std::uint64_t lost = 0;
  BANKTIDE_FIELDS(node, lost)
};

struct DecisionFilter {
  std::string service, decision, zone;  // empty: any
  bool operator==(DecisionFilter const&) const = default;
  bool matches(CallEvent const& e) const {
    return (service.empty() || e.service == service) && (decision.empty() || e.decision == decision) &&
           (zone.empty() || e.zone == zone);
  }
  BANKTIDE_FIELDS(service, decision, zone)
};

using Positions = std::map<std::string, Position>;  // by node: its incarnation and the last event seen
struct DecisionsReply {
  std::vector<CallEvent> events;
  std::vector<Gap> gaps;
  Positions next;
  BANKTIDE_FIELDS(events, gaps, next)
};
struct DecisionsRequest {
  static constexpr std::uint8_t kind = 50;
  using Reply = DecisionsReply;
  Positions after;
  bool from_now = false;  // for a node that isn't in `after`: skip the events before now
  DecisionFilter filter;
  std::uint32_t max_events = 0;
  BANKTIDE_FIELDS(after, from_now, filter, max_events)
};

// The state of a node, or of a registry and the nodes of its zone, as JSON.
struct StateReply {
  std::string json;
  BANKTIDE_FIELDS(json)
};
struct StateRequest {
  static constexpr std::uint8_t kind = 51;
  using Reply = StateReply;
  bool with_nodes = false;
  BANKTIDE_FIELDS(with_nodes)
};

}  // namespace banktide
