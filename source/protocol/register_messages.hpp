// Messages between the clients and the voters of the registers: voting rounds,
// reads, bootstrap, and changes of the voter set.
#pragma once

#include "protocol/message.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banktide {

// ---- registers

// `keys` holds the table of key assignments, `voters` the voter set itself, and
// `maintenance` the windows in which zones serve no traffic.
enum class Register : std::uint8_t { routing = 0, catalogue = 1, keys = 2, voters = 3, maintenance = 4 };
inline constexpr std::size_t register_count = 5;
inline constexpr std::array<Register, register_count> stored_registers{
    Register::routing, Register::catalogue, Register::keys, Register::voters, Register::maintenance};
// The registers that operators write.
inline constexpr std::array<Register, 2> operator_registers{Register::routing, Register::catalogue};
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
  std::uint64_t disk = 0;  // id of the empty disk for which it was added; 0: an initial voter
  bool operator==(VoterEntry const&) const = default;
  BANKTIDE_FIELDS(address, disk)
};

// The voters of one epoch. Each change of the set adds, removes or replaces one
// voter and starts the next epoch.
struct VoterSet {
  std::uint64_t epoch = 0;
  std::uint32_t tolerated_losses = 0;  // how many voters may lose their disks at the same time
  std::vector<VoterEntry> voters;
  std::vector<std::string> previous_addresses;  // the addresses of the previous epoch
  bool operator==(VoterSet const&) const = default;
  BANKTIDE_FIELDS(epoch, tolerated_losses, voters, previous_addresses)
};

// A ballot is valid in the voter set of its epoch only; later epochs are higher than earlier ones.
struct Ballot {
  std::uint64_t epoch = 0;
  std::uint64_t round = 0;
  std::uint64_t coordinator = 0;
  auto operator<=>(Ballot const&) const = default;
  // Rounds also increase from epoch to epoch, so that they number changes across epochs.
  bool may_follow(Ballot const& promised) const {
    return *this > promised && (epoch == promised.epoch || round > promised.round);
  }
  BANKTIDE_FIELDS(epoch, round, coordinator)
};

// The value of a register: the exact bytes of the newest revision, and the ids of
// the operator requests that wrote recent revisions, so that a retry finds the
// result of its first attempt.
struct RegisterValue {
  Revision revision = 0;
  std::string bytes;
  std::uint64_t digest = 0;
  std::vector<std::pair<std::string, Revision>> requests;
  bool operator==(RegisterValue const&) const = default;
  BANKTIDE_FIELDS(revision, bytes, digest, requests)
};

struct RegisterSlot {
  Ballot promised;
  Ballot accepted;
  RegisterValue held;
  bool operator==(RegisterSlot const&) const = default;
  BANKTIDE_FIELDS(promised, accepted, held)
};
using RegisterSlots = std::array<RegisterSlot, register_count>;

// `newer`, in each reply: the voter set of the replying voter, if newer than the request's.
struct PrepareReply {
  bool voting = false;
  bool promised = false;
  RegisterSlot slot;
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
  RegisterValue held;
  BANKTIDE_FIELDS(reg, ballot, held)
};

struct ReadRegisterReply {
  bool voting = false;
  Ballot accepted;
  Revision revision = 0;
  RegisterValue held;  // only if newer than the requester's
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(voting, accepted, revision, held, newer)
};
struct ReadRegister {
  static constexpr std::uint8_t kind = 3;
  using Reply = ReadRegisterReply;
  Register reg{};
  Revision have = 0;
  std::uint64_t epoch = 0;
  bool value = true;  // false: return only the ballot and the revision
  BANKTIDE_FIELDS(reg, have, epoch, value)
};

// Reads the revisions of all registers at once, so that only changed values are transferred.
struct ReadRevisionsReply {
  bool voting = false;
  std::array<Revision, register_count> revisions{};
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(voting, revisions, newer)
};
struct ReadRevisions {
  static constexpr std::uint8_t kind = 20;
  using Reply = ReadRevisionsReply;
  std::uint64_t epoch = 0;
  BANKTIDE_FIELDS(epoch)
};

// ---- bootstrap and rejoining

enum class BootstrapPhase : std::uint8_t { blank = 0, prepared = 1, voting = 2 };
struct BootstrapReply {
  BootstrapPhase phase = BootstrapPhase::blank;
  std::uint64_t bootstrap_id = 0;
  BANKTIDE_FIELDS(phase, bootstrap_id)
};
struct Bootstrap {
  static constexpr std::uint8_t kind = 4;
  using Reply = BootstrapReply;
  BootstrapPhase want = BootstrapPhase::blank;  // blank: only query
  std::uint64_t bootstrap_id = 0;
  BANKTIDE_FIELDS(want, bootstrap_id)
};

// ---- the voter set and its changes

// The voter set that a store knows; only that of a `member`, which has voted, may be adopted.
struct VotersReply {
  bool member = false;
  bool active = false;  // it votes in that set
  VoterSet set;
  BANKTIDE_FIELDS(member, active, set)
};
struct VotersRequest {
  static constexpr std::uint8_t kind = 5;
  using Reply = VotersReply;
  std::string from;  // the requesting store; empty: a client
  BANKTIDE_FIELDS(from)
};

// The set has been decided: the voter stops voting in the previous one and returns what it holds.
struct SealReply {
  bool sealed = false;
  bool active = false;  // it already votes in the new set, so it holds all that was acknowledged before
  std::uint64_t bootstrap_id = 0;
  RegisterSlots slots;
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(sealed, active, bootstrap_id, slots, newer)
};
struct Seal {
  static constexpr std::uint8_t kind = 6;
  using Reply = SealReply;
  VoterSet set;
  BANKTIDE_FIELDS(set)
};

// Starts voting in this set, with at least what a quorum of the previous set held when sealed.
struct ActivateReply {
  bool active = false;
  std::optional<VoterSet> newer;
  BANKTIDE_FIELDS(active, newer)
};
struct Activate {
  static constexpr std::uint8_t kind = 7;
  using Reply = ActivateReply;
  VoterSet set;
  std::uint64_t bootstrap_id = 0;
  RegisterSlots slots;
  BANKTIDE_FIELDS(set, bootstrap_id, slots)
};

struct VoterSetReply {
  bool done = false;
  VoterSet set;
  BANKTIDE_FIELDS(done, set)
};
struct AddVoter {
  static constexpr std::uint8_t kind = 8;
  using Reply = VoterSetReply;
  VoterEntry entry;
  BANKTIDE_FIELDS(entry)
};
struct RemoveVoter {
  static constexpr std::uint8_t kind = 9;
  using Reply = VoterSetReply;
  std::string address;
  BANKTIDE_FIELDS(address)
};

}  // namespace banktide
