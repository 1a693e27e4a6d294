// Random key tables, and changes such as the planner makes, for tests of deltas and their delivery.
#pragma once

#include "protocol/digest.hpp"
#include "state/key_table.hpp"

#include <algorithm>
#include <random>

namespace banktide {

inline RegisterValue register_value_of(KeyTable const& table) {
  RegisterValue value;
  value.revision = table.revision;
  value.bytes = pack_key_table(table);
  value.digest = digest_of(value.bytes);
  return value;
}

class KeyTableChanges {
 public:
  explicit KeyTableChanges(std::uint64_t const seed) : chance_(seed) {}

  KeyTable first(std::size_t const rows, std::size_t const holders) {
    KeyTable table;
    table.revision = 1;
    for (std::size_t i = 0; i < holders; ++i) add_holder(table);
    for (std::string const name : {"payments", "ledger"})
      table.services.push_back(KeyService{name, tiled(table, rows)});
    return table;
  }

  /// Returns the table after one to three random changes.
  KeyTable next(KeyTable table) {
    ++table.revision;
    for (std::size_t n = 1 + pick(3); n > 0; --n) change(table);
    return table;
  }

  std::size_t pick(std::size_t const below) { return chance_() % below; }

 private:
  void add_holder(KeyTable& table) {
    std::string const n = std::to_string(++made_);
    table.add_holder(KeyHolderRecord{"i-" + n, "n-" + n, "10.0.0." + n + ":7000", "zone-" + std::to_string(pick(3))});
  }
  std::uint16_t any_holder(KeyTable const& table) {
    return pick(10) == 0 || table.holders.empty() ? no_holder : static_cast<std::uint16_t>(pick(table.holders.size()));
  }
  std::vector<KeyRow> tiled(KeyTable const& table, std::size_t const rows) {
    std::vector<KeyRow> all;
    std::uint32_t const width = static_cast<std::uint32_t>(65536 / rows);
    for (std::uint32_t from = 0; from < 65536; from += width) {
      KeyRow row;
      row.from = static_cast<std::uint16_t>(from);
      row.to = static_cast<std::uint16_t>(std::min<std::uint32_t>(65535, from + width - 1));
      row.holder = any_holder(table);
      row.fence = 1;
      all.push_back(row);
    }
    return all;
  }

  void change(KeyTable& table) {
    std::vector<KeyRow>& rows = table.services[pick(table.services.size())].rows;
    if (rows.empty()) {
      rows = tiled(table, 1 + pick(30));
      return;
    }
    std::size_t const at = pick(rows.size());
    KeyRow& row = rows[at];
    switch (pick(12)) {
      case 0:  // a planned move
        row.moving = table.revision;
        row.next = any_holder(table);
        break;
      case 1:  // its end
      case 2:
        row.holder = row.next;
        row.next = no_holder;
        row.moving = 0;
        row.fence += 1;
        row.handover = "5c0e7a21d94b36f8";
        break;
      case 3:
        row.revoked = table.revision;
        break;
      case 4:
        row.revoked = 0;
        row.handover.clear();
        break;
      case 5:  // split the row
        if (row.from == row.to) break;
        {
          KeyRow right = row;
          row.to = static_cast<std::uint16_t>(row.from + (row.to - row.from) / 2);
          right.from = static_cast<std::uint16_t>(row.to + 1);
          rows.insert(rows.begin() + static_cast<std::ptrdiff_t>(at) + 1, right);
        }
        break;
      case 6:  // merge with the next row
        if (at + 1 == rows.size()) break;
        row.to = rows[at + 1].to;
        rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(at) + 1);
        break;
      case 7:
        add_holder(table);
        rows[at].holder = static_cast<std::uint16_t>(table.holders.size() - 1);
        break;
      case 8: {  // a holder is removed, and the others' indexes shift
        if (table.holders.empty()) break;
        std::uint16_t const gone = static_cast<std::uint16_t>(pick(table.holders.size()));
        for (KeyService& s : table.services)
          for (KeyRow& r : s.rows) {
            if (r.holder == gone) r.holder = no_holder;
            if (r.next == gone) r.next = no_holder;
          }
        table.remove_unused_holders();
        break;
      }
      case 9:  // a holder has another address
        if (!table.holders.empty())
          table.holders[pick(table.holders.size())].address = "10.9.9." + std::to_string(pick(99));
        break;
      case 10:
        if (pick(10) == 0) rows.clear();
        break;
      case 11:
        if (pick(20) != 0) break;
        if (table.services.size() > 1) {
          table.services.erase(table.services.begin());
        } else {
          table.services.push_back(KeyService{"service-" + std::to_string(++made_), tiled(table, 5)});
        }
        break;
    }
  }

  std::mt19937_64 chance_;
  std::size_t made_ = 0;
};

}  // namespace banktide
