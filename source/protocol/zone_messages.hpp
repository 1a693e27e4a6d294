// Messages between nodes and registries: members and their heartbeats, updates of
// a zone's feed, and the register values that are distributed with them.
#pragma once

#include "protocol/register_messages.hpp"

namespace banktide {

// ---- members, heartbeats and the feed of a zone

enum class Role : std::uint8_t { node = 0, gateway = 1, registry = 2 };
enum class Liveness : std::uint8_t { alive = 0, suspected = 1, leaving = 2, dead = 3 };

struct Member {
  std::string id;
  std::string zone;
  std::string address;
  Role role = Role::node;
  std::uint64_t incarnation = 0;
  Liveness liveness = Liveness::alive;
  bool operator==(Member const&) const = default;
  BANKTIDE_FIELDS(id, zone, address, role, incarnation, liveness)
};

struct BackendRecord {
  std::string service;
  std::string instance;
  std::string node;
  std::uint16_t port = 0;
  std::uint32_t running = 0;  // calls in progress
  Liveness liveness = Liveness::alive;
  std::uint32_t slots = 0;    // calls that it can run concurrently; 0: unknown
  std::uint32_t waiting = 0;  // calls queued for it at its node
  bool warming = false;
  bool operator==(BackendRecord const&) const = default;
  BANKTIDE_FIELDS(service, instance, node, port, running, liveness, slots, waiting, warming)
};

// The sums over a gateway's usable backends of a service, rounded so that not
// every call changes the entry. All 0: unknown.
struct ServiceOffer {
  std::string service;
  std::string node;
  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  bool operator==(ServiceOffer const&) const = default;
  BANKTIDE_FIELDS(service, node, address, slots, running, waiting)
};

// A zone as other zones see it: its gateways, the names of its services, and their loads by gateway.
struct ZoneEntry {
  std::string zone;
  std::vector<Member> gateways;
  std::vector<std::string> service_names;
  std::vector<ServiceOffer> services;
  bool operator==(ZoneEntry const&) const = default;
  BANKTIDE_FIELDS(zone, gateways, service_names, services)
};

// The load of one offer, by its index in the entry's `services`.
struct OfferLoad {
  std::uint16_t index = 0;
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  bool operator==(OfferLoad const&) const = default;
  BANKTIDE_FIELDS(index, running, waiting)
};

// The difference between two versions of a zone's entry, created and applied by
// state/zone_entry_delta.hpp. Indexes refer to the version before the change.
struct ZoneEntryDelta {
  std::string zone;
  std::vector<OfferLoad> loads;
  std::vector<std::uint16_t> offers_removed;  // ascending
  std::vector<ServiceOffer> offers_set;       // new ones, and those with changes other than the load
  std::vector<std::string> gateways_removed;
  std::vector<Member> gateways_set;
  std::optional<std::vector<std::string>> service_names;  // the new names, if changed
  bool operator==(ZoneEntryDelta const&) const = default;
  BANKTIDE_FIELDS(zone, loads, offers_removed, offers_set, gateways_removed, gateways_set, service_names)
};

// The registers whose values are distributed to every node.
inline constexpr std::array<Register, 4> published_registers{Register::routing, Register::catalogue, Register::keys,
                                                             Register::maintenance};
// By register; 0 for those that aren't distributed.
using Revisions = std::array<Revision, register_count>;

struct Position {
  std::uint64_t epoch = 0;
  std::uint64_t seq = 0;
  bool operator==(Position const&) const = default;
  BANKTIDE_FIELDS(epoch, seq)
};

struct LayoutValues {
  RegisterValue routing;
  RegisterValue catalogue;
  BANKTIDE_FIELDS(routing, catalogue)
};

struct Change {
  std::uint64_t seq = 0;
  std::optional<Member> member;
  std::optional<BackendRecord> backend;
  std::optional<ZoneEntry> zone_entry;
  std::optional<ZoneEntryDelta> entry_delta{};  // for a zone whose entry was sent before
  BANKTIDE_FIELDS(seq, member, backend, zone_entry, entry_delta)
};

struct Snapshot {
  Position at;
  std::vector<Member> members;
  std::vector<BackendRecord> backends;
  std::vector<ZoneEntry> zones;
  BANKTIDE_FIELDS(at, members, backends, zones)
};

// The difference between two revisions of the key table, and the digest of the
// later one's bytes; created and applied by state/key_table_delta.hpp.
struct KeyDelta {
  Revision from = 0;
  Revision to = 0;
  std::uint64_t digest = 0;
  std::string bytes;
  bool operator==(KeyDelta const&) const = default;
  BANKTIDE_FIELDS(from, to, digest, bytes)
};

// The difference between two revisions of the configuration's text; created and applied by state/text_delta.hpp.
struct TextDelta {
  Revision from = 0;
  Revision to = 0;
  std::string bytes;
  bool operator==(TextDelta const&) const = default;
  BANKTIDE_FIELDS(from, to, bytes)
};

struct ZoneUpdate {
  static constexpr std::uint8_t kind = 10;
  using Reply = NoReply;
  Position at;  // the root's position when sent; without changes it serves as a keep-alive
  std::uint64_t sequence = 0;
  bool has_quorum_reading = false;  // the root has a recent reading from a majority of the voters
  std::string root;                 // the address of the sending registry
  std::vector<Change> changes;
  Revisions revisions{};
  std::vector<std::pair<Register, RegisterValue>> values;
  std::vector<KeyDelta> key_deltas;  // each from the revision at which the previous one ends
  std::vector<TextDelta> routing_deltas;
  BANKTIDE_FIELDS(at, sequence, has_quorum_reading, root, changes, revisions, values, key_deltas, routing_deltas)
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
  std::string zone;  // empty: the receiving registry's own zone
  BANKTIDE_FIELDS(have, zone)
};

struct RegisterValuesReply {
  bool known = false;  // confirmed by a majority reading
  std::vector<std::pair<Register, RegisterValue>> newer;
  Revisions revisions{};
  std::vector<KeyDelta> key_deltas;       // from the requester's revision, instead of the whole table
  std::vector<TextDelta> routing_deltas;  // likewise for the configuration
  std::uint32_t reading_age_ms = 0;       // if `known`: maximum time between the start of the reading and this reply
  BANKTIDE_FIELDS(known, newer, revisions, key_deltas, routing_deltas, reading_age_ms)
};
struct RegisterValuesRequest {
  static constexpr std::uint8_t kind = 12;
  using Reply = RegisterValuesReply;
  Revisions have{};
  bool fresh = false;           // requires a new majority reading instead of the last one
  bool revisions_only = false;  // omits the values: the requester fetches them from one of the peers it asked
  BANKTIDE_FIELDS(have, fresh, revisions_only)
};

struct JoinReply {
  bool taken = false;
  std::uint64_t epoch = 0;
  std::uint64_t incarnation = 0;  // the lowest incarnation that overrides what is known of the requester
  std::string registry;           // if not empty: the other registry that serves the requester's zone
  std::string registry_zone;      // the zone in which that registry is located
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
  std::string zone;
  std::string address;
  std::uint32_t age_ms = 0;  // time since the sender last heard of it
  // The same registry, regardless of its age.
  bool operator==(RegistryEntry const& o) const { return zone == o.zone && address == o.address; }
  BANKTIDE_FIELDS(zone, address, age_ms)
};
struct RegistryExchangeReply {
  std::vector<RegistryEntry> registries;
  std::uint32_t registry_count = 0;  // the configured number of registries, the base of majorities
  BANKTIDE_FIELDS(registries, registry_count)
};
struct RegistryExchange {
  static constexpr std::uint8_t kind = 14;
  using Reply = RegistryExchangeReply;
  std::vector<RegistryEntry> registries;
  BANKTIDE_FIELDS(registries)
};

struct Heartbeat {
  static constexpr std::uint8_t kind = 15;
  using Reply = NoReply;
  std::string id;
  std::string address;
  std::uint64_t incarnation = 0;
  Position at;
  std::string zone;
  Revisions revisions{};  // of the register values that the sender holds
  BANKTIDE_FIELDS(id, address, incarnation, at, zone, revisions)
};

struct Suspect {
  static constexpr std::uint8_t kind = 16;
  using Reply = NoReply;
  std::string id;
  std::uint64_t incarnation = 0;
  std::string by;
  std::string zone;
  BANKTIDE_FIELDS(id, incarnation, by, zone)
};

struct Drain {
  static constexpr std::uint8_t kind = 17;
  using Reply = NoReply;
  BackendRecord backend;
  BANKTIDE_FIELDS(backend)
};

struct ZoneAnnouncement {
  static constexpr std::uint8_t kind = 18;
  using Reply = NoReply;
  ZoneEntry entry;
  std::string sender;  // the address of the registry that serves the zone
  Position at;         // of the feed from which the entry was taken
  BANKTIDE_FIELDS(entry, sender, at)
};

struct ChosenValue {
  static constexpr std::uint8_t kind = 19;
  using Reply = NoReply;
  Register reg{};
  RegisterValue held;                 // empty if there is a delta
  std::optional<KeyDelta> key_delta;  // from the previous revision
  BANKTIDE_FIELDS(reg, held, key_delta)
};

}  // namespace banktide
