// What is known of the load of one service's rows: the newest rate of each and
// where it may be cut. A row that is cut, joined or on the move keeps what was
// known of its keys until its holder has measured it itself.
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
  double rate = 0;            // requests a second
  double seconds = 0;         // over which it was taken; 0: not told
  std::string source;         // the instance that told it; empty: derived from other rows
  std::string last_reporter;  // the instance that showed the row last
  Instant told{};
  Instant moved_at{};  // when a move for load began last
  std::vector<KeyCut> cuts;
};

class KeyRates {
 public:
  void update(Instant now, KeyReport const& report);
  /// None if nothing is known of this very row.
  KeyRate const* find(KeyRow const& row) const;
  /// What is known of a row that was made from others.
  void set(KeyRow const& row, KeyRate rate);
  void note_move(KeyRow const& row, Instant now);
  /// Forgets rows that the service hasn't had for a while.
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
