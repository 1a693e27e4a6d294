// Who holds which keys: the value of the register of keys. For each service the
// rows tile all keys from 0 to 65535; each row names its holder, the fence under
// which it holds, and a planned move or a revocation under way. Every version of
// the table is one change of the register.
#pragma once

#include "protocol/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banktide {

inline constexpr std::uint16_t last_key = 65535;
inline constexpr std::uint16_t no_holder = 65535;

// The times and bounds of holding keys.
struct KeySettings {
  Duration term = 5s;                   // how long a confirmed reading lets a node grant, from its question
  Duration hold_limit = 10s;            // the longest hold that a backend takes
  Duration lease_margin = 100ms;        // a hold ends this much before its node's lease
  Duration hold_margin = 50ms;          // a node stops sending this much before the hold ends
  Duration revoke_slack = 300ms;        // added to the wait after a revocation
  double clock_drift = 0.02;            // how slow a backend's clock may run
  Duration confirm_every = 1s;          // how often a node confirms its lease
  Duration report_every = 500ms;        // how often a node reports
  Duration answer_delay_limit = 850ms;  // how long a node may keep a beat's answer back for news
  Duration report_valid_for = 1200ms;   // a backend gets rows if its report is at most this old
  Duration revoke_after = 2500ms;       // a silent holder's rows are revoked after this
  Duration gather_time = 1s;            // from the first report of a service to its first table
  Duration gather_time_limit = 3s;      // ... at the latest
  Duration rebalance_every = 500ms;     // from one step of moves for load to the next
  Duration settle = 4s;                 // a row moved for load rests for this long, a backend after a fine step too
  Duration successor_grace = 3s;        // a new life may lack its lease for this long and still inherit rows
  Duration leveling_time = 10s;         // loads are evened out until they have been even for this long
  double overloaded = 0.75;             // the busy share from which rows are moved away
  double load_gap = 0.12;               // how much above the mean utilisation, as a part of it, calls for moves
  double load_gap_coarse = 0.2;         // ... from which a step is coarse: several rows at once
  double moving_width_limit = 0.12;     // the part of a service's keys that is on the move for load at one time
  double part_share = 0.2;              // of a mean backend's load, that a row may carry without being cut
  double many_rows_share = 0.65;        // of the rows that there may be: above it, cool narrow ones are joined
  std::size_t rows_per_backend = 12;
  std::size_t first_rows_limit = 600;         // of one service, at first
  std::size_t rows_limit = 960;               // of one service
  std::size_t held_rows_limit = 56;           // of one backend, so that an answer fits in 4 KiB
  std::size_t moving_rows_limit = 4;          // of one holder at a time, drains excepted
  std::size_t coarse_moving_rows_limit = 24;  // the same, while loads are far apart
  std::size_t merge_moves_limit = 16;         // that are brought to their neighbours in a step
};

// A backend that holds keys or is to hold them, and the node beside it.
struct KeyHolderRecord {
  std::string instance;
  std::string node;
  std::string address;
  std::string zone;
  bool operator==(KeyHolderRecord const&) const = default;
  BANKTIDE_FIELDS(instance, node, address, zone)
};

struct KeyRow {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::uint16_t holder = no_holder;  // both index KeyTable::holders
  std::uint16_t next = no_holder;
  std::uint32_t fence = 0;
  Revision moving = 0;   // the version that began the planned move; 0: none
  Revision revoked = 0;  // the version that revoked it; 0: not revoked
  std::string handover;  // the last holder's token; empty: none
  bool operator==(KeyRow const&) const = default;
};

struct KeyService {
  std::string name;
  std::vector<KeyRow> rows;
  bool operator==(KeyService const&) const = default;
  /// The row of a key; none if the service has no rows.
  KeyRow const* row_of(std::uint16_t key) const;
  /// The highest fence ever used for this service: it never falls.
  std::uint32_t highest_fence() const;
};

class KeyTable {
 public:
  Revision revision = 0;  // the register's; it doesn't travel within the value
  std::vector<KeyHolderRecord> holders;
  std::vector<KeyService> services;
  bool operator==(KeyTable const&) const = default;

  KeyService const* service(std::string_view name) const;
  /// The backend that holds a key, revoked or not; none if nobody does.
  KeyHolderRecord const* find(std::string_view service, std::uint16_t key) const;
  /// The number of an instance among the holders; `no_holder` if it's not there.
  std::uint16_t holder_index(std::string_view instance) const;
  /// The number of a holder, which is added if it's not there.
  std::uint16_t add_holder(KeyHolderRecord const& holder);
  /// Forgets holders that no row names.
  void remove_unused_holders();
};

/// The table as a register's value, and back; bytes that are no table are a mishap.
Bytes pack_key_table(KeyTable const& table);
Result<KeyTable> unpack_key_table(Bytes const& bytes, Revision revision);

/// One row as it stands within such bytes; its end is told by what follows it.
void save_key_row(SaveArchive& archive, KeyRow const& row);
KeyRow load_key_row(LoadArchive& archive);

}  // namespace banktide
