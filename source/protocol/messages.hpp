// What the processes say to each other. Each question names its kind and its
// reply; `Told` marks one-way news that wants no answer.
#pragma once

#include "protocol/archive.hpp"

#include <array>
#include <compare>
#include <map>
#include <cstdint>
#include <optional>
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

// `keys` holds the table of key assignments, `voters` the set of voters itself,
// `maintenance` the windows in which zones carry no traffic.
enum class Register : std::uint8_t { routing = 0, catalogue = 1, keys = 2, voters = 3, maintenance = 4 };
inline constexpr std::size_t register_count = 5;
inline constexpr std::array<Register, register_count> kept_registers{
    Register::routing, Register::catalogue, Register::keys, Register::voters, Register::maintenance};
// The two that operators write.
inline constexpr std::array<Register, 2> all_registers{Register::routing, Register::catalogue};
inline std::string register_name(Register const r) {
  switch (r) {
    case Register::routing:
      return "routing";
    case Register::catalogue:
      return "catalogue";
    case Register::keys:
      return "keys";
    case Register::voters:
      return "voters";
    case Register::maintenance:
      return "maintenance";
  }
  return "unknown";
}

struct VoterEntry {
  std::string address;
  std::uint64_t disk = 0;  // the empty disk that asked to be added; 0: a founder's
  bool operator==(VoterEntry const&) const = default;
  BANKTIDE_FIELDS(address, disk)
};

// The voters of one epoch. Each change of the set adds or removes one voter and
// makes the next epoch.
struct VoterSet {
  std::uint64_t epoch = 0;
  std::uint32_t losses = 0;  // how many may lose their disks at once
  std::vector<VoterEntry> voters;
  std::vector<std::string> before;  // the addresses of the epoch before
  bool operator==(VoterSet const&) const = default;
  BANKTIDE_FIELDS(epoch, losses, voters, before)
};

// A ballot counts in the set of its epoch only; later epochs are above earlier ones.
struct Ballot {
  std::uint64_t epoch = 0;
  std::uint64_t round = 0;
  std::uint64_t coordinator = 0;
  auto operator<=>(Ballot const&) const = default;
  // Rounds also grow from epoch to epoch, so that they number changes for good.
  bool may_follow(Ballot const& promised) const {
    return *this > promised && (epoch == promised.epoch || round > promised.round);
  }
  BANKTIDE_FIELDS(epoch, round, coordinator)
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
using Slots = std::array<Slot, register_count>;

// `newer`, in each reply: the voter knows a newer set than the question's.
struct PrepareReply {
  bool voting = false;
  bool promised = false;
  Slot slot;
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(voting, promised, slot, newer)
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
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(voting, accepted, promised, newer)
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
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(voting, accepted, revision, held, newer)
};
struct Peek {
  static constexpr std::uint8_t kind = 3;
  using Reply = PeekReply;
  Register reg{};
  Revision have = 0;
  std::uint64_t epoch = 0;
  bool value = true;  // false: the ballot and the revision will do
  BANKTIDE_FIELDS(reg, have, epoch, value)
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

// ---- the set of voters and its changes

// Which set a store knows; only that of a `member`, which has voted, may be followed.
struct VotersReply {
  bool member = false;
  bool active = false;  // it votes in that set
  VoterSet set;
  BANKTIDE_FIELDS(member, active, set)
};
struct VotersAsk {
  static constexpr std::uint8_t kind = 5;
  using Reply = VotersReply;
  std::string from;  // the store that asks; none: a client
  BANKTIDE_FIELDS(from)
};

// The set has been decided: vote no more in the one before, and say what you hold.
struct SealReply {
  bool sealed = false;
  std::uint64_t founding = 0;
  Slots slots;
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(sealed, founding, slots, newer)
};
struct Seal {
  static constexpr std::uint8_t kind = 6;
  using Reply = SealReply;
  VoterSet set;
  BANKTIDE_FIELDS(set)
};

// Vote in this set, with at least what enough of the set before held when sealed.
struct ActivateReply {
  bool active = false;
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(active, newer)
};
struct Activate {
  static constexpr std::uint8_t kind = 7;
  using Reply = ActivateReply;
  VoterSet set;
  std::uint64_t founding = 0;
  Slots slots;
  BANKTIDE_FIELDS(set, founding, slots)
};

struct SetReply {
  bool done = false;
  VoterSet set;
  BANKTIDE_FIELDS(done, set)
};
struct AddVoter {
  static constexpr std::uint8_t kind = 8;
  using Reply = SetReply;
  VoterEntry entry;
  BANKTIDE_FIELDS(entry)
};
struct RemoveVoter {
  static constexpr std::uint8_t kind = 9;
  using Reply = SetReply;
  std::string address;
  BANKTIDE_FIELDS(address)
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
  std::uint32_t burden = 0;  // calls that it runs now
  Standing standing = Standing::fit;
  std::uint32_t slots = 0;    // calls that it can run at once; 0: not told
  std::uint32_t waiting = 0;  // calls that wait for it at its node
  bool warming = false;
  bool operator==(BackendRecord const&) const = default;
  BANKTIDE_FIELDS(service, instance, node, port, burden, standing, slots, waiting, warming)
};

// A gateway that stands beside usable backends of a service: what they have
// together, rounded, so that not every call makes news. All 0: not told.
struct ServiceOffer {
  std::string service;
  std::string node;
  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t burden = 0;
  std::uint32_t waiting = 0;
  bool operator==(ServiceOffer const&) const = default;
  BANKTIDE_FIELDS(service, node, address, slots, burden, waiting)
};

// A remote cell as the others see it: its gateways and what they offer.
struct CellEntry {
  std::string cell;
  std::vector<Member> gateways;
  std::vector<std::string> offers;
  std::vector<ServiceOffer> services;
  bool operator==(CellEntry const&) const = default;
  BANKTIDE_FIELDS(cell, gateways, offers, services)
};

// The registers whose values go to every node.
inline constexpr std::array<Register, 4> told_registers{Register::routing, Register::catalogue, Register::keys,
                                                        Register::maintenance};
// By register; 0 for one that isn't told.
using Revisions = std::array<Revision, register_count>;

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

// What turns the table of keys of one revision into that of a later one, and the
// digest of the latter's bytes; made and applied by state/key_table_delta.hpp.
struct KeyDelta {
  Revision from = 0;
  Revision to = 0;
  std::uint64_t digest = 0;
  std::string bytes;
  bool operator==(KeyDelta const&) const = default;
  BANKTIDE_FIELDS(from, to, digest, bytes)
};
inline constexpr std::size_t key_delta_frame = 28;  // what the fields add to its bytes

struct News {
  static constexpr std::uint8_t kind = 10;
  using Reply = Told;
  Position at;  // the root's position when it was sent: a pulse as well as news
  std::uint64_t pulse = 0;
  bool vouched = false;  // the root has a recent reading of a majority
  std::string root;      // the address of the registry that sent it
  std::vector<Change> changes;
  Revisions revisions{};
  std::vector<std::pair<Register, Held>> layouts;
  std::vector<KeyDelta> key_deltas;  // each from where the one before ends
  BANKTIDE_FIELDS(at, pulse, vouched, root, changes, revisions, layouts, key_deltas)
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
  std::string zone;  // empty: the asked registry's own
  BANKTIDE_FIELDS(have, zone)
};

struct LayoutsReply {
  bool known = false;  // vouched for by a majority reading
  std::vector<std::pair<Register, Held>> newer;
  Revisions revisions{};
  std::vector<KeyDelta> key_deltas;  // from the asker's revision, in place of the whole table
  BANKTIDE_FIELDS(known, newer, revisions, key_deltas)
};
struct LayoutsAsk {
  static constexpr std::uint8_t kind = 12;
  using Reply = LayoutsReply;
  Revisions have{};
  bool fresh = false;         // a new majority reading, not the last known
  bool without_keys = false;  // of the table of keys its revision will do
  BANKTIDE_FIELDS(have, fresh, without_keys)
};

struct JoinReply {
  bool taken = false;
  std::uint64_t epoch = 0;
  std::uint64_t incarnation = 0;  // the least that outlives what is said of the asker
  std::string registry;           // if not empty: another registry keeps the asker's zone
  std::string registry_zone;      // the zone in which that one stands
  BANKTIDE_FIELDS(taken, epoch, incarnation, registry, registry_zone)
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
  std::uint32_t age_ms = 0;  // how long ago the teller last heard of it
  // The same registry, whatever its age.
  bool operator==(RegistryEntry const& o) const { return cell == o.cell && address == o.address; }
  BANKTIDE_FIELDS(cell, address, age_ms)
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
  std::string zone;
  BANKTIDE_FIELDS(id, address, incarnation, at, zone)
};

struct Suspect {
  static constexpr std::uint8_t kind = 16;
  using Reply = Told;
  std::string id;
  std::uint64_t incarnation = 0;
  std::string by;
  std::string zone;
  BANKTIDE_FIELDS(id, incarnation, by, zone)
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
  std::string sender;  // the address of the registry that keeps the cell
  Position at;         // of the feed that it was taken from
  BANKTIDE_FIELDS(entry, sender, at)
};

struct Chosen {
  static constexpr std::uint8_t kind = 19;
  using Reply = Told;
  Register reg{};
  Held held;                          // empty if there is a delta
  std::optional<KeyDelta> key_delta;  // from the revision before
  BANKTIDE_FIELDS(reg, held, key_delta)
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
