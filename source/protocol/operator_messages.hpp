// What operators watch: decisions of calls, and the state of the fleet.
#pragma once

#include "protocol/call_messages.hpp"
#include "protocol/zone_messages.hpp"

namespace banktide {

// ---- what operators watch: decisions of calls, and the state of the fleet

// One decision or one step of a call, as its node's journal holds it.
struct CallEvent {
  std::string node;
  std::uint64_t n = 0;  // its number in the journal
  std::int64_t at_ms = 0;
  std::uint64_t call = 0;
  std::string state, decision, service, reason, step, peer, zone;
  bool keyed = false;
  std::uint32_t slice = 0;
  Revision routing = 0, catalogue = 0;
  BANKTIDE_FIELDS(node, n, at_ms, call, state, decision, service, reason, step, peer, zone, keyed, slice, routing,
                  catalogue)
};

// `lost` events between what a reader had and what is still kept; 0: unknown,
// the node has started again.
struct Gap {
  std::string node;
  std::uint64_t lost = 0;
  BANKTIDE_FIELDS(node, lost)
};

struct DecisionFilter {
  std::string service, decision, zone;  // empty: any
  bool operator==(DecisionFilter const&) const = default;
  bool passes(CallEvent const& e) const {
    return (service.empty() || e.service == service) && (decision.empty() || e.decision == decision) &&
           (zone.empty() || e.zone == zone);
  }
  BANKTIDE_FIELDS(service, decision, zone)
};

using Positions = std::map<std::string, Position>;  // by node: its life, and the last event seen
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
  bool from_now = false;  // a node that isn't in `after` begins at its end
  DecisionFilter filter;
  std::uint32_t most = 0;
  BANKTIDE_FIELDS(after, from_now, filter, most)
};

// A node's own state, or a registry's and that of its cell's nodes, as JSON.
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
