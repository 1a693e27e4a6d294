// What nodes and registries say to each other: members and their heartbeats, the
// news of a zone, and the values of the registers that travel with them.
#pragma once

#include "protocol/register_messages.hpp"

namespace banktide {

// ---- members, beats and news of a cell

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
  std::uint32_t running = 0;  // calls that it runs now
  Liveness liveness = Liveness::alive;
  std::uint32_t slots = 0;    // calls that it can run at once; 0: not told
  std::uint32_t waiting = 0;  // calls that wait for it at its node
  bool warming = false;
  bool operator==(BackendRecord const&) const = default;
  BANKTIDE_FIELDS(service, instance, node, port, running, liveness, slots, waiting, warming)
};

// A gateway that stands beside usable backends of a service: what they have
// together, rounded, so that not every call makes news. All 0: not told.
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

// A remote cell as the others see it: its gateways and what they offer.
struct ZoneEntry {
  std::string zone;
  std::vector<Member> gateways;
  std::vector<std::string> offers;
  std::vector<ServiceOffer> services;
  bool operator==(ZoneEntry const&) const = default;
  BANKTIDE_FIELDS(zone, gateways, offers, services)
};

// The load of one offer, by its index in the entry's `services`.
struct OfferLoad {
  std::uint16_t index = 0;
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  bool operator==(OfferLoad const&) const = default;
  BANKTIDE_FIELDS(index, running, waiting)
};

// What has changed of a zone's entry, from one change of the feed to another; made and
// applied by state/zone_entry_delta.hpp. Indexes are those before the change.
struct ZoneEntryDelta {
  std::string zone;
  std::vector<OfferLoad> loads;
  std::vector<std::uint16_t> offers_removed;  // rising
  std::vector<ServiceOffer> offers_set;       // new, or changed in more than their load
  std::vector<std::string> gateways_removed;
  std::vector<Member> gateways_set;
  std::optional<std::vector<std::string>> service_names;  // `offers`, if they changed
  bool operator==(ZoneEntryDelta const&) const = default;
  BANKTIDE_FIELDS(zone, loads, offers_removed, offers_set, gateways_removed, gateways_set, service_names)
};

// The registers whose values go to every node.
inline constexpr std::array<Register, 4> published_registers{Register::routing, Register::catalogue, Register::keys,
                                                             Register::maintenance};
// By register; 0 for one that isn't told.
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
  std::optional<ZoneEntryDelta> entry_delta{};  // of a zone whose entry came before
  BANKTIDE_FIELDS(seq, member, backend, zone_entry, entry_delta)
};

struct Snapshot {
  Position at;
  std::vector<Member> members;
  std::vector<BackendRecord> backends;
  std::vector<ZoneEntry> zones;
  BANKTIDE_FIELDS(at, members, backends, zones)
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

// What turns the configuration's text of one revision into that of a later one; made and applied by
// state/text_delta.hpp.
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
  Position at;  // the root's position when it was sent: a pulse as well as news
  std::uint64_t pulse = 0;
  bool has_quorum_reading = false;  // the root has a recent reading of a majority
  std::string root;                 // the address of the registry that sent it
  std::vector<Change> changes;
  Revisions revisions{};
  std::vector<std::pair<Register, RegisterValue>> layouts;
  std::vector<KeyDelta> key_deltas;  // each from where the one before ends
  std::vector<TextDelta> routing_deltas;
  BANKTIDE_FIELDS(at, pulse, has_quorum_reading, root, changes, revisions, layouts, key_deltas, routing_deltas)
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

struct RegisterValuesReply {
  bool known = false;  // vouched for by a majority reading
  std::vector<std::pair<Register, RegisterValue>> newer;
  Revisions revisions{};
  std::vector<KeyDelta> key_deltas;       // from the asker's revision, in place of the whole table
  std::vector<TextDelta> routing_deltas;  // the same of the configuration
  std::uint32_t reading_age_ms = 0;       // when known: the reading was begun at most so long before this reply
  BANKTIDE_FIELDS(known, newer, revisions, key_deltas, routing_deltas, reading_age_ms)
};
struct RegisterValuesRequest {
  static constexpr std::uint8_t kind = 12;
  using Reply = RegisterValuesReply;
  Revisions have{};
  bool fresh = false;           // a new majority reading, not the last known
  bool revisions_only = false;  // no values: the asker fetches them from one of those that it asks
  BANKTIDE_FIELDS(have, fresh, revisions_only)
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
  std::string zone;
  std::string address;
  std::uint32_t age_ms = 0;  // how long ago the teller last heard of it
  // The same registry, whatever its age.
  bool operator==(RegistryEntry const& o) const { return zone == o.zone && address == o.address; }
  BANKTIDE_FIELDS(zone, address, age_ms)
};
struct RegistryExchangeReply {
  std::vector<RegistryEntry> registries;
  std::uint32_t cores = 0;  // how many there are by settings, so that a majority is of all
  BANKTIDE_FIELDS(registries, cores)
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
  Revisions revisions{};  // of the registers' values that the sender has
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
  std::string sender;  // the address of the registry that keeps the cell
  Position at;         // of the feed that it was taken from
  BANKTIDE_FIELDS(entry, sender, at)
};

struct ChosenValue {
  static constexpr std::uint8_t kind = 19;
  using Reply = NoReply;
  Register reg{};
  RegisterValue held;                 // empty if there is a delta
  std::optional<KeyDelta> key_delta;  // from the revision before
  BANKTIDE_FIELDS(reg, held, key_delta)
};

}  // namespace banktide
