// The assignment of keys to backends: the value of the register `keys`. For each service the rows
// cover all keys from 0 to 65535 without gaps or overlaps; each row names its holder, the holder's
// fence, and a planned move or revocation in progress. Each version of the table is one revision of
// the register.
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

// Timing and limits of holding keys.
struct KeySettings {
  Duration term = 5s;                   // how long a confirmed reading lets a node grant keys, counted from its request
  Duration hold_limit = 10s;            // the longest hold that a backend accepts
  Duration lease_margin = 100ms;        // a hold ends this long before its node's lease
  Duration hold_margin = 50ms;          // a node stops sending this long before the hold ends
  Duration revoke_slack = 300ms;        // added to the lease term in the wait after a revocation
  double clock_drift = 0.02;            // the part by which a backend's clock may run slow
  Duration confirm_every = 1s;          // how often a node confirms its lease
  Duration report_every = 500ms;        // how often a node reports
  Duration answer_delay_limit = 850ms;  // how long a node may hold back a heartbeat's reply to wait for new grants
  Duration report_valid_for = 1200ms;   // a backend may get rows if its last report is at most this old
  Duration revoke_after = 2500ms;       // a silent holder's rows are revoked after this
  Duration gather_time = 1s;            // from the first report of a service to its first rows
  Duration gather_time_limit = 3s;      // the same, at the latest
  Duration rebalance_every = 500ms;     // from one rebalancing step to the next
  Duration settle_time = 4s;            // no further move for load of a moved row, or of a backend after a fine step
  Duration successor_grace = 3s;        // a new incarnation inherits rows without a lease for this long
  Duration leveling_time = 10s;         // leveling goes on until loads have been even for this long
  double overload_threshold = 0.75;     // the busy share above which rows are moved away
  double load_gap = 0.12;               // excess over the mean utilisation, as a part of it, that triggers moves
  double load_gap_coarse = 0.2;         // the same, above which a step is coarse: it moves several rows at once
  double moving_width_limit = 0.12;     // the share of a service's keys that may move for load at a time
  double split_share = 0.2;             // of the mean load of a backend: rows above it are split
  double merge_threshold_share = 0.65;  // of the limit of rows: above it, cool narrow rows are merged
  std::size_t rows_per_backend = 12;
  std::size_t first_rows_limit = 600;         // of one service, when it is created
  std::size_t rows_limit = 960;               // of one service
  std::size_t held_rows_limit = 56;           // of one backend, so that a heartbeat's reply fits in 4 KiB
  std::size_t moving_rows_limit = 4;          // of one holder at a time, except when it drains
  std::size_t coarse_moving_rows_limit = 24;  // the same, in a coarse step
  std::size_t merge_moves_limit = 16;         // rows moved to their neighbours in a step, to be merged
};

// A backend that holds keys or is about to, and its node.
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
  Revision moving = 0;   // the revision that began the planned move; 0: none
  Revision revoked = 0;  // the revision that revoked it; 0: not revoked
  std::string handover;  // the last holder's handover token; empty: none
  bool operator==(KeyRow const&) const = default;
};

struct KeyService {
  std::string name;
  std::vector<KeyRow> rows;
  bool operator==(KeyService const&) const = default;
  /// Returns the row that covers a key; nullptr if the service has no rows.
  KeyRow const* row_of(std::uint16_t key) const;
  /// Returns the highest fence ever used for this service; it never decreases.
  std::uint32_t highest_fence() const;
};

class KeyTable {
 public:
  Revision revision = 0;  // of the register; not part of the packed value
  std::vector<KeyHolderRecord> holders;
  std::vector<KeyService> services;
  bool operator==(KeyTable const&) const = default;

  KeyService const* service(std::string_view name) const;
  /// Returns the backend that holds a key, revoked or not; nullptr if there is none.
  KeyHolderRecord const* find(std::string_view service, std::uint16_t key) const;
  /// Returns the index of an instance in `holders`; `no_holder` if it isn't there.
  std::uint16_t holder_index(std::string_view instance) const;
  /// Returns the index of a holder, which is added or updated.
  std::uint16_t add_holder(KeyHolderRecord const& holder);
  /// Removes holders that no row refers to.
  void remove_unused_holders();
};

/// Packs a table into the bytes of a register value, and unpacks it; invalid bytes are an error.
Bytes pack_key_table(KeyTable const& table);
Result<KeyTable> unpack_key_table(Bytes const& bytes, Revision revision);

/// Writes and reads one row of these bytes. A row's last key isn't written: it follows from the next row.
void save_key_row(SaveArchive& archive, KeyRow const& row);
KeyRow load_key_row(LoadArchive& archive);

}  // namespace banktide
