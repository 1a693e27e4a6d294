// Reports of the nodes to the key coordinators about the keys that their backends
// hold. The coordinators plan from these reports alone; the key table itself is
// distributed as a register.
#pragma once

#include "protocol/messages.hpp"

namespace banktide {

// Whether a backend serves its keys or hands them over.
enum class KeyHolderState : std::uint8_t { serving = 0, draining = 1 };

// A row that the backend may serve now, and its requests per second; negative
// until measured.
struct KeyRowLoad {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::uint32_t fence = 0;
  float rate = 0;
  float seconds = 0;  // the period over which the rate was measured
  BANKTIDE_FIELDS(from, to, fence, rate, seconds)
};

// A possible split point of a hot row: a part begins at the key `at` and ends
// before the next split point.
struct KeyCut {
  std::uint16_t at = 0;
  std::uint16_t share = 0;  // share of the row's requests on this part, in 65535ths
  BANKTIDE_FIELDS(at, share)
};
struct KeyRowCuts {
  std::uint16_t from = 0;  // the row's first key
  std::vector<KeyCut> cuts;
  BANKTIDE_FIELDS(from, cuts)
};

// A row that the backend released for a planned move, and the revision of that move.
struct KeyRelease {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::uint32_t fence = 0;
  Revision moving = 0;
  std::string handover;  // handover token of the backend; empty: none
  BANKTIDE_FIELDS(from, to, fence, moving, handover)
};

// An instance whose process is proven to have ended.
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
  std::string instance;  // empty: the node has no backend
  std::string node;
  std::string address;
  std::string zone;
  KeyHolderState state = KeyHolderState::serving;
  bool leased = false;  // the node holds a lease and can grant keys
  std::uint32_t slots = 1;
  float busy = 0;      // mean share of its slots in use over the last seconds; above 1 if requests queue
  float capacity = 0;  // requests per second that its slots can finish, from their run times; 0: unknown
  Revision table = 0;
  std::vector<KeyRowLoad> held;
  std::vector<KeyRowCuts> hot;  // split points of rows that carry much of the load
  std::vector<KeyRelease> released;
  std::vector<KeyEnd> ended;
  BANKTIDE_FIELDS(service, instance, node, address, zone, state, leased, slots, busy, capacity, table, held, hot,
                  released, ended)
};

}  // namespace banktide
