// What a node beside a backend tells the coordinators about the keys that its
// backend holds. The coordinators plan from these reports alone; the table that
// says who holds what travels as a register.
#pragma once

#include "protocol/messages.hpp"

namespace banktide {

// How a backend stands towards its keys.
enum class KeyHolderState : std::uint8_t { serving = 0, draining = 1 };

// A row that the backend may serve now, and the requests a second on it, below 0
// until they have been measured.
struct KeyRowLoad {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::uint32_t fence = 0;
  float rate = 0;
  float seconds = 0;  // over which the rate was taken
  BANKTIDE_FIELDS(from, to, fence, rate, seconds)
};

// Where a hot row may be cut: a part begins at the key `at` and ends before the
// next cut.
struct KeyCut {
  std::uint16_t at = 0;
  std::uint16_t share = 0;  // of the row's requests that fall on the part, in 65535ths
  BANKTIDE_FIELDS(at, share)
};
struct KeyRowCuts {
  std::uint16_t from = 0;  // the row's first key
  std::vector<KeyCut> cuts;
  BANKTIDE_FIELDS(from, cuts)
};

// A row that the backend has let go for a planned move, and which move that was.
struct KeyRelease {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::uint32_t fence = 0;
  Revision moving = 0;
  std::string handover;  // empty: it gave none
  BANKTIDE_FIELDS(from, to, fence, moving, handover)
};

// An instance whose process is proved to have ended.
struct KeyEnd {
  std::string instance;
  std::string reason;
  BANKTIDE_FIELDS(instance, reason)
};

struct KeyReportReply {
  Revision table = 0;  // the newest table that the coordinator knows
  BANKTIDE_FIELDS(table)
};
struct KeyReport {
  static constexpr std::uint8_t kind = 60;
  using Reply = KeyReportReply;
  std::string service;
  std::string instance;  // empty: no backend runs beside this node
  std::string node;
  std::string address;
  std::string zone;
  KeyHolderState state = KeyHolderState::serving;
  bool leased = false;  // the node has a lease and so can grant
  std::uint32_t slots = 1;
  float busy = 0;      // the share of its slots in use over the last seconds; over 1 if requests queue
  float capacity = 0;  // the requests a second that its slots would finish, by their run times; 0: not known
  Revision table = 0;
  std::vector<KeyRowLoad> held;
  std::vector<KeyRowCuts> hot;  // the cuts of rows that carry much of the load
  std::vector<KeyRelease> released;
  std::vector<KeyEnd> ended;
  BANKTIDE_FIELDS(service, instance, node, address, zone, state, leased, slots, busy, capacity, table, held, hot,
                  released, ended)
};

}  // namespace banktide
