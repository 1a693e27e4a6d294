// What the processes say to each other. Each question names its kind and its
// reply; `Told` marks one-way news that wants no answer.
#pragma once

#include "protocol/archive.hpp"

#include <compare>
#include <map>
#include <cstdint>
#include <string>
#include <vector>

namespace banktide {

#define BANKTIDE_FIELDS(...) \
  template <class A>         \
  void serialize(A& ar) {    \
    ar(__VA_ARGS__);         \
  }

using Revision = std::uint64_t;

struct Told {
  template <class A>
  void serialize(A&) {}
};

// ---- the register

enum class Register : std::uint8_t { routing = 0, catalogue = 1 };
inline constexpr std::array<Register, 2> all_registers{Register::routing, Register::catalogue};
inline std::string register_name(Register const r) { return r == Register::routing ? "routing" : "catalogue"; }

struct Ballot {
  std::uint64_t round = 0;
  std::uint64_t coordinator = 0;
  auto operator<=>(Ballot const&) const = default;
  BANKTIDE_FIELDS(round, coordinator)
};

// The value of a register: the newest revision's exact bytes, and which
// operator requests made the last few, so that a repeat finds its first.
struct Held {
  Revision revision = 0;
  std::string bytes;
  std::uint64_t digest = 0;
  std::vector<std::pair<std::string, Revision>> requests;
  bool operator==(Held const&) const = default;
  BANKTIDE_FIELDS(revision, bytes, digest, requests)
};

struct Slot {
  Ballot promised;
  Ballot accepted;
  Held held;
  bool operator==(Slot const&) const = default;
  BANKTIDE_FIELDS(promised, accepted, held)
};

struct PrepareReply {
  bool voting = false;
  bool promised = false;
  Slot slot;
  BANKTIDE_FIELDS(voting, promised, slot)
};
struct Prepare {
  static constexpr std::uint8_t kind = 1;
  using Reply = PrepareReply;
  Register reg{};
  Ballot ballot;
  BANKTIDE_FIELDS(reg, ballot)
};

struct AcceptReply {
  bool voting = false;
  bool accepted = false;
  Ballot promised;
  BANKTIDE_FIELDS(voting, accepted, promised)
};
struct Accept {
  static constexpr std::uint8_t kind = 2;
  using Reply = AcceptReply;
  Register reg{};
  Ballot ballot;
  Held held;
  BANKTIDE_FIELDS(reg, ballot, held)
};

struct PeekReply {
  bool voting = false;
  Ballot accepted;
  Revision revision = 0;
  Held held;  // only if newer than the asker's
  BANKTIDE_FIELDS(voting, accepted, revision, held)
};
struct Peek {
  static constexpr std::uint8_t kind = 3;
  using Reply = PeekReply;
  Register reg{};
  Revision have = 0;
  BANKTIDE_FIELDS(reg, have)
};

// ---- founding a register and joining it again

enum class Phase : std::uint8_t { blank = 0, prepared = 1, voting = 2 };
struct FoundReply {
  Phase phase = Phase::blank;
  std::uint64_t founding = 0;
  BANKTIDE_FIELDS(phase, founding)
};
struct Found {
  static constexpr std::uint8_t kind = 4;
  using Reply = FoundReply;
  Phase want = Phase::blank;  // blank: only ask
  std::uint64_t founding = 0;
  BANKTIDE_FIELDS(want, founding)
};

// ---- members, beats and news of a cell

enum class Role : std::uint8_t { node = 0, gateway = 1, registry = 2 };
enum class Standing : std::uint8_t { fit = 0, suspected = 1, leaving = 2, dead = 3 };

struct Member {
  std::string id;
  std::string cell;
  std::string address;
  Role role = Role::node;
  std::uint64_t incarnation = 0;
  Standing standing = Standing::fit;
  bool operator==(Member const&) const = default;
  BANKTIDE_FIELDS(id, cell, address, role, incarnation, standing)
};

struct BackendRecord {
  std::string service;
  std::string instance;
  std::string node;
  std::uint16_t port = 0;
  std::uint32_t burden = 0;
  Standing standing = Standing::fit;
  bool operator==(BackendRecord const&) const = default;
  BANKTIDE_FIELDS(service, instance, node, port, burden, standing)
};

// A remote cell as the others see it: its gateways and what they offer.
struct CellEntry {
  std::string cell;
  std::vector<Member> gateways;
  std::vector<std::string> offers;
  bool operator==(CellEntry const&) const = default;
  BANKTIDE_FIELDS(cell, gateways, offers)
};

struct Position {
  std::uint64_t epoch = 0;
  std::uint64_t seq = 0;
  bool operator==(Position const&) const = default;
  BANKTIDE_FIELDS(epoch, seq)
};

struct Layouts {
  Held routing;
  Held catalogue;
  BANKTIDE_FIELDS(routing, catalogue)
};

struct Change {
  std::uint64_t seq = 0;
  std::optional<Member> member;
  std::optional<BackendRecord> backend;
  std::optional<CellEntry> cell;
  BANKTIDE_FIELDS(seq, member, backend, cell)
};

struct Snapshot {
  Position at;
  std::vector<Member> members;
  std::vector<BackendRecord> backends;
  std::vector<CellEntry> cells;
  BANKTIDE_FIELDS(at, members, backends, cells)
};

struct News {
  static constexpr std::uint8_t kind = 10;
  using Reply = Told;
  Position at;  // the root's position when it was sent: a pulse as well as news
  std::uint64_t pulse = 0;
  bool vouched = false;  // the root has a recent reading of a majority
  std::vector<Change> changes;
  Revision routing = 0;
  Revision catalogue = 0;
  std::vector<std::pair<Register, Held>> layouts;
  BANKTIDE_FIELDS(at, pulse, vouched, changes, routing, catalogue, layouts)
};

struct FollowReply {
  bool known = false;
  std::optional<Snapshot> snapshot;
  std::vector<Change> changes;
  Position at;
  BANKTIDE_FIELDS(known, snapshot, changes, at)
};
struct Follow {
  static constexpr std::uint8_t kind = 11;
  using Reply = FollowReply;
  Position have;
  BANKTIDE_FIELDS(have)
};

struct LayoutsReply {
  bool known = false;  // vouched for by a majority reading
  std::vector<std::pair<Register, Held>> newer;
  Revision routing = 0;
  Revision catalogue = 0;
  BANKTIDE_FIELDS(known, newer, routing, catalogue)
};
struct LayoutsAsk {
  static constexpr std::uint8_t kind = 12;
  using Reply = LayoutsReply;
  Revision routing = 0;
  Revision catalogue = 0;
  bool fresh = false;  // a new majority reading, not the last known
  BANKTIDE_FIELDS(routing, catalogue, fresh)
};

struct JoinReply {
  bool taken = false;
  std::uint64_t epoch = 0;
  std::uint64_t incarnation = 0;  // the least that outlives what is said of the asker
  BANKTIDE_FIELDS(taken, epoch, incarnation)
};
struct Join {
  static constexpr std::uint8_t kind = 13;
  using Reply = JoinReply;
  Member self;
  std::vector<BackendRecord> backends;
  BANKTIDE_FIELDS(self, backends)
};

struct RegistryEntry {
  std::string cell;
  std::string address;
  bool operator==(RegistryEntry const&) const = default;
  BANKTIDE_FIELDS(cell, address)
};
struct MeetReply {
  std::vector<RegistryEntry> registries;
  std::uint32_t cores = 0;  // how many there are by settings, so that a majority is of all
  BANKTIDE_FIELDS(registries, cores)
};
struct Meet {
  static constexpr std::uint8_t kind = 14;
  using Reply = MeetReply;
  std::vector<RegistryEntry> registries;
  BANKTIDE_FIELDS(registries)
};

struct Beat {
  static constexpr std::uint8_t kind = 15;
  using Reply = Told;
  std::string id;
  std::string address;
  std::uint64_t incarnation = 0;
  Position at;
  BANKTIDE_FIELDS(id, address, incarnation, at)
};

struct Suspect {
  static constexpr std::uint8_t kind = 16;
  using Reply = Told;
  std::string id;
  std::uint64_t incarnation = 0;
  std::string by;
  BANKTIDE_FIELDS(id, incarnation, by)
};

struct Drain {
  static constexpr std::uint8_t kind = 17;
  using Reply = Told;
  BackendRecord backend;
  BANKTIDE_FIELDS(backend)
};

struct CellTold {
  static constexpr std::uint8_t kind = 18;
  using Reply = Told;
  CellEntry entry;
  BANKTIDE_FIELDS(entry)
};

struct Chosen {
  static constexpr std::uint8_t kind = 19;
  using Reply = Told;
  Register reg{};
  Held held;
  BANKTIDE_FIELDS(reg, held)
};

// ---- leases over key slices

// A slice of a service's keys, under one mapping of keys to slices.
struct Slice {
  std::string service;
  std::uint64_t mapping = 0;
  std::uint32_t slice = 0;
  auto operator<=>(Slice const&) const = default;
  BANKTIDE_FIELDS(service, mapping, slice)
};

struct SliceClaim {
  Slice slice;
  std::uint64_t epoch = 0;
  bool operator==(SliceClaim const&) const = default;
  BANKTIDE_FIELDS(slice, epoch)
};
struct LeaseReply {
  bool voting = false;
  std::vector<std::uint8_t> granted;
  std::vector<std::uint64_t> epochs;
  BANKTIDE_FIELDS(voting, granted, epochs)
};
struct LeaseAsk {
  static constexpr std::uint8_t kind = 30;
  using Reply = LeaseReply;
  std::string holder;
  std::vector<SliceClaim> want;
  std::vector<SliceClaim> release;
  BANKTIDE_FIELDS(holder, want, release)
};

// ---- a call on its way

struct Header {
  std::string name;
  std::string value;
  bool operator==(Header const&) const = default;
  BANKTIDE_FIELDS(name, value)
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<Header> headers;
  std::string body;
  BANKTIDE_FIELDS(method, target, headers, body)
};

struct HttpReply {
  std::uint16_t status = 0;
  std::vector<Header> headers;
  std::string body;
  BANKTIDE_FIELDS(status, headers, body)
};

enum class Outcome : std::uint8_t { answered = 0, not_run = 1, unknown = 2 };

struct CarryReply {
  Outcome outcome = Outcome::unknown;
  HttpReply reply;
  std::string step;
  std::string peer;
  std::string reason;
  BANKTIDE_FIELDS(outcome, reply, step, peer, reason)
};
struct Carry {
  static constexpr std::uint8_t kind = 40;
  using Reply = CarryReply;
  std::string service;
  std::string instance;  // empty: the gateway picks
  bool crossed = false;
  bool keyed = false;
  std::uint32_t slice = 0;
  std::uint32_t budget_ms = 0;
  Revision routing = 0;
  std::string sender;        // this life of the process that sent it
  std::string from;          // where that process can be asked
  std::int64_t sent_us = 0;  // by that process's own clock
  HttpRequest request;
  BANKTIDE_FIELDS(service, instance, crossed, keyed, slice, budget_ms, routing, sender, from, sent_us, request)
};

// What a process's own clock says, asked by who has a message of it and doesn't
// know its clock.
struct ClockReply {
  std::string sender;
  std::int64_t clock_us = 0;
  BANKTIDE_FIELDS(sender, clock_us)
};
struct ClockAsk {
  static constexpr std::uint8_t kind = 41;
  using Reply = ClockReply;
  std::uint8_t nothing = 0;
  BANKTIDE_FIELDS(nothing)
};

// ---- what operators watch: decisions of calls, and the state of the fleet

// One decision or one step of a call, as its node's journal holds it.
struct CallEvent {
  std::string node;
  std::uint64_t n = 0;  // its number in the journal
  std::int64_t at_ms = 0;
  std::uint64_t call = 0;
  std::string state, decision, service, reason, step, peer, cell;
  bool keyed = false;
  std::uint32_t slice = 0;
  Revision routing = 0, catalogue = 0;
  BANKTIDE_FIELDS(node, n, at_ms, call, state, decision, service, reason, step, peer, cell, keyed, slice, routing,
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
  std::string service, decision, cell;  // empty: any
  bool operator==(DecisionFilter const&) const = default;
  bool passes(CallEvent const& e) const {
    return (service.empty() || e.service == service) && (decision.empty() || e.decision == decision) &&
           (cell.empty() || e.cell == cell);
  }
  BANKTIDE_FIELDS(service, decision, cell)
};

using Positions = std::map<std::string, Position>;  // by node: its life, and the last event seen
struct DecisionsReply {
  std::vector<CallEvent> events;
  std::vector<Gap> gaps;
  Positions next;
  BANKTIDE_FIELDS(events, gaps, next)
};
struct DecisionsAsk {
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
struct StateAsk {
  static constexpr std::uint8_t kind = 51;
  using Reply = StateReply;
  bool with_nodes = false;
  BANKTIDE_FIELDS(with_nodes)
};

}  // namespace banktide
