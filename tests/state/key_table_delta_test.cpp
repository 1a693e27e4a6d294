// Applies deltas between random versions of key tables: the result must have the same bytes as the
// later version, and corrupt deltas must be refused.
#include "state/key_table_delta.hpp"

#include "protocol/digest.hpp"
#include "tests/state/key_table_changes.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(KeyTableDelta, applied_to_its_base_gives_the_same_bytes) {
  std::size_t whole = 0, deltas = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    KeyTableChanges changes(seed);
    KeyTable table = changes.first(20 + changes.pick(200), 1 + changes.pick(40));
    RegisterValue base = register_value_of(table);
    for (int step = 0; step < 200; ++step) {
      table = changes.next(table);
      RegisterValue const target = register_value_of(table);
      std::optional<KeyDelta> const delta = make_key_delta(base, target);
      if (delta) {
        Result<RegisterValue> const applied = apply_key_deltas(base, {*delta});
        ASSERT_TRUE(applied) << seed << " " << step << " " << applied.error().reason;
        ASSERT_EQ(*applied, target) << seed << " " << step;
        ASSERT_EQ(*unpack_key_table(applied->bytes, applied->revision), table);
      }
      ++(delta ? deltas : whole);
      base = target;
    }
  }
  EXPECT_GT(deltas, 3900u);
  EXPECT_LT(whole, 100u);
}

// Uses as many rows and holders as a fleet of a hundred nodes has.
TEST(KeyTableDelta, is_small_and_omits_rows_whose_holder_only_got_another_index) {
  KeyTableChanges changes(3);
  KeyTable const table = changes.first(264, 44);
  RegisterValue const base = register_value_of(table);
  KeyTable moved = table;
  ++moved.revision;
  moved.services[0].rows[7].moving = moved.revision;
  moved.services[0].rows[7].next = 3;
  EXPECT_LT(make_key_delta(base, register_value_of(moved))->bytes.size(), 90u);
  KeyTable reindexed = table;
  ++reindexed.revision;
  for (KeyService& service : reindexed.services)
    for (KeyRow& row : service.rows)
      if (row.holder == 0) row.holder = 1;
  reindexed.remove_unused_holders();
  ASSERT_EQ(reindexed.holders.size(), 43u);
  EXPECT_LT(make_key_delta(base, register_value_of(reindexed))->bytes.size(), base.bytes.size() / 10);
}

TEST(KeyTableDelta, a_chain_updates_every_earlier_version_and_no_other) {
  KeyTableChanges changes(4);
  KeyTable table = changes.first(100, 10);
  std::vector<RegisterValue> versions{register_value_of(table)};
  std::vector<KeyDelta> chain;
  for (int step = 0; step < 30; ++step) {
    table = changes.next(table);
    versions.push_back(register_value_of(table));
    chain.push_back(*make_key_delta(versions[versions.size() - 2], versions.back()));
  }
  for (std::size_t i = 0; i + 1 < versions.size(); ++i)
    EXPECT_EQ(*apply_key_deltas(versions[i], chain), versions.back());
  EXPECT_EQ(apply_key_deltas(versions.back(), chain).error().reason, "no newer delta");
  EXPECT_EQ(apply_key_deltas(RegisterValue{}, chain).error().reason, "made from another base revision");
  std::vector<KeyDelta> const gap{chain[0], chain[2]};
  EXPECT_EQ(apply_key_deltas(versions[0], gap).error().reason, "revisions out of order");
  RegisterValue other = register_value_of(KeyTableChanges(99).first(100, 10));
  EXPECT_FALSE(apply_key_deltas(other, chain)) << "the same number, another table";
}

// Corrupt bytes that differ only where nothing is encoded, such as unused flags, still give the same
// table; any other result must be refused.
TEST(KeyTableDelta, corrupt_bytes_are_refused_with_a_reason_or_give_the_same_table) {
  std::size_t refused_by_decoding = 0, refused_by_digest = 0, same = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    KeyTableChanges changes(seed);
    KeyTable table = changes.first(60, 12);
    RegisterValue const base = register_value_of(table);
    for (int n = 0; n < 8; ++n) table = changes.next(table);
    RegisterValue const target = register_value_of(table);
    KeyDelta const delta = *make_key_delta(base, target);
    auto const try_bytes = [&](Bytes const& bytes) {
      KeyDelta corrupt = delta;
      corrupt.bytes = bytes;
      Result<RegisterValue> const applied = apply_key_deltas(base, {corrupt});
      if (applied) {
        ASSERT_EQ(*applied, target);
        ++same;
        return;
      }
      ASSERT_EQ(applied.error().step, "key table delta");
      ASSERT_FALSE(applied.error().reason.empty());
      ++(applied.error().reason == "the result is not the target table" ? refused_by_digest : refused_by_decoding);
    };
    std::size_t const before = same;
    for (std::size_t n = 0; n < delta.bytes.size(); ++n) try_bytes(delta.bytes.substr(0, n));
    try_bytes(delta.bytes + "x");
    EXPECT_EQ(same, before) << "truncated or extended";
    for (int i = 0; i < 4000; ++i) {
      Bytes bytes = delta.bytes;
      char& byte = bytes[changes.pick(bytes.size())];
      byte = static_cast<char>(byte ^ static_cast<char>(1 + changes.pick(255)));
      try_bytes(bytes);
    }
    KeyDelta other = delta;
    ++other.digest;
    EXPECT_EQ(apply_key_deltas(base, {other}).error().reason, "the result is not the target table");
  }
  EXPECT_GT(refused_by_decoding, 2000u);
  EXPECT_GT(refused_by_digest, 2000u);
  EXPECT_LT(same, 2000u);
}

TEST(KeyTableDelta, none_is_made_from_invalid_tables_or_if_the_whole_is_as_small) {
  KeyTable const table = KeyTableChanges(6).first(10, 2);
  RegisterValue const value = register_value_of(table);
  RegisterValue const garbage{9, "no table", digest_of("no table"), {}};
  EXPECT_FALSE(make_key_delta(value, garbage));
  EXPECT_FALSE(make_key_delta(garbage, RegisterValue{10, value.bytes, value.digest, {}}));
  EXPECT_FALSE(make_key_delta(RegisterValue{}, value));
  EXPECT_FALSE(make_key_delta(value, value));
  KeyTable other = KeyTableChanges(7).first(10, 2);
  other.revision = 2;
  for (KeyService& service : other.services) service.name += "-other";
  for (KeyHolderRecord& holder : other.holders) holder.address += "9";
  EXPECT_FALSE(make_key_delta(value, register_value_of(other)));
}

}  // namespace
}  // namespace banktide
