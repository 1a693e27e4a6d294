// The key table: lookups compared with a walk over all rows, and its encoding with intact and corrupt bytes.
#include "state/key_table.hpp"

#include <gtest/gtest.h>

#include <random>

namespace banktide {
namespace {

KeyTable any_table(std::mt19937_64& chance) {
  KeyTable table;
  table.revision = 9;
  for (int i = 0; i < 5; ++i)
    table.add_holder(KeyHolderRecord{"i-" + std::to_string(i), "n-" + std::to_string(i), "a:1", "zone"});
  KeyService service;
  service.name = "payments";
  std::uint32_t from = 0;
  while (from < 65536) {
    std::uint32_t const to = std::min<std::uint32_t>(65535, from + chance() % 4000);
    KeyRow row;
    row.from = static_cast<std::uint16_t>(from);
    row.to = static_cast<std::uint16_t>(to);
    row.holder = chance() % 9 == 0 ? no_holder : static_cast<std::uint16_t>(chance() % 5);
    row.fence = static_cast<std::uint32_t>(chance() % 100);
    if (chance() % 4 == 0) row.next = static_cast<std::uint16_t>(chance() % 5);
    if (chance() % 4 == 0) row.moving = 1 + chance() % 9;
    if (chance() % 4 == 0) row.revoked = 1 + chance() % 9;
    if (chance() % 4 == 0) row.handover = "5c0e7a21d94b36f8";
    service.rows.push_back(row);
    from = to + 1;
  }
  table.services.push_back(service);
  return table;
}

TEST(KeyTable, finds_what_a_walk_over_the_rows_finds) {
  std::mt19937_64 chance(1);
  KeyTable const table = any_table(chance);
  for (KeyRow const& row : table.services[0].rows)
    for (std::uint16_t const key : {row.from, row.to}) {
      KeyHolderRecord const* const found = table.find("payments", key);
      EXPECT_EQ(found, row.holder == no_holder ? nullptr : &table.holders[row.holder]);
    }
  EXPECT_EQ(table.find("other", 3), nullptr);
}

TEST(KeyTable, survives_packing_and_corrupt_bytes_are_an_error_or_a_valid_table) {
  std::mt19937_64 chance(2);
  KeyTable const table = any_table(chance);
  Bytes const bytes = pack_key_table(table);
  Result<KeyTable> const back = unpack_key_table(bytes, 9);
  ASSERT_TRUE(back);
  EXPECT_EQ(*back, table);
  for (std::size_t n = 1; n < bytes.size(); ++n) EXPECT_FALSE(unpack_key_table(bytes.substr(0, n), 9));
  for (int i = 0; i < 5000; ++i) {
    Bytes corrupt = bytes;
    corrupt[chance() % corrupt.size()] = static_cast<char>(chance());
    Result<KeyTable> const read = unpack_key_table(corrupt, 9);
    if (!read) continue;
    for (std::uint32_t key = 0; key < 65536; key += 997) read->find("payments", static_cast<std::uint16_t>(key));
  }
  EXPECT_TRUE(unpack_key_table("", 0));
}

TEST(KeyTable, removes_holders_that_no_row_refers_to) {
  std::mt19937_64 chance(3);
  KeyTable table = any_table(chance);
  for (KeyRow& row : table.services[0].rows) {
    if (row.holder == 1) row.holder = 2;
    if (row.next == 1) row.next = no_holder;
  }
  KeyTable const before = table;
  table.remove_unused_holders();
  EXPECT_EQ(table.holder_index("i-1"), no_holder);
  for (std::uint32_t key = 0; key < 65536; key += 101) {
    KeyHolderRecord const* const was = before.find("payments", static_cast<std::uint16_t>(key));
    KeyHolderRecord const* const is = table.find("payments", static_cast<std::uint16_t>(key));
    ASSERT_EQ(was == nullptr, is == nullptr);
    if (was != nullptr) {
      EXPECT_EQ(*was, *is);
    }
  }
}

}  // namespace
}  // namespace banktide
