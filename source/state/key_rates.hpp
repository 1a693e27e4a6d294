// The known load of one service's rows: the newest rate of each and where it may be split. A row
// that was split, merged or moved keeps the rate derived from what was known of its keys until
// its holder has measured it.
#pragma once

#include "protocol/key_messages.hpp"
#include "state/key_table.hpp"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banktide {

struct KeyRate {
  double rate = 0;            // requests per second
  double seconds = 0;         // over which it was measured; 0: unknown
  std::string source;         // the instance that measured it; empty: derived from other rows
  std::string last_reporter;  // the instance that reported the row last
  Instant reported_at{};
  Instant moved_at{};  // when the last move for load began
  std::vector<KeyCut> cuts;
};

class KeyRates {
 public:
  void update(Instant now, KeyReport const& report);
  /// Returns the rate of a row with exactly these bounds; nullptr if there is none.
  KeyRate const* find(KeyRow const& row) const;
  /// Sets the rate of a row that was derived from other rows.
  void set(KeyRow const& row, KeyRate rate);
  void note_move(KeyRow const& row, Instant now);
  /// Removes rows that the service hasn't had for a while.
  void remove_expired(KeyService const& service, Instant now);

 private:
  struct Range {
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    auto operator<=>(Range const&) const = default;
  };
  std::map<Range, KeyRate> known_;
};

}  // namespace banktide
