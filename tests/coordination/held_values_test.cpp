// Values and deltas are accepted in order of revision; after a delta that fails to apply the whole value is
// requested.
#include "coordination/held_values.hpp"

#include "state/text_delta.hpp"
#include "tests/state/compressed_values.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

std::string numbered_lines(std::size_t const changed) {
  std::string text;
  for (std::size_t i = 0; i < 200; ++i)
    text += "line " + std::to_string(i * 7919) + (i == changed ? " changed\n" : "\n");
  return text;
}

TEST(HeldValues, accepts_only_newer_and_undamaged_values) {
  HeldValues values;
  RegisterValue const second = compressed_value(2, "two");
  EXPECT_EQ(values.accept({{Register::routing, second}}), std::vector<Register>{Register::routing});
  EXPECT_TRUE(values.accept({{Register::routing, compressed_value(1, "one")}}).empty());
  RegisterValue damaged = compressed_value(3, "three");
  damaged.bytes.back() = static_cast<char>(damaged.bytes.back() ^ 1);
  EXPECT_TRUE(values.accept({{Register::routing, damaged}}).empty());
  EXPECT_EQ(values.of(Register::routing), second);
}

TEST(HeldValues, is_behind_when_any_register_has_a_newer_revision) {
  HeldValues values;
  values.accept({{Register::routing, compressed_value(5, "five")}});
  EXPECT_FALSE(values.is_behind(values.revisions()));
  Revisions newer_revisions = values.revisions();
  newer_revisions[static_cast<std::size_t>(Register::maintenance)] = 1;
  EXPECT_TRUE(values.is_behind(newer_revisions));
  EXPECT_FALSE(values.is_behind(Revisions{}));
}

TEST(HeldValues, a_configuration_is_updated_by_successive_deltas) {
  HeldValues values;
  std::vector<RegisterValue> versions;
  for (Revision n = 1; n <= 4; ++n) versions.push_back(compressed_value(n, numbered_lines(n * 20)));
  values.accept({{Register::routing, versions[0]}});
  for (std::size_t i = 1; i < versions.size(); ++i)
    EXPECT_EQ(values.accept_routing_deltas({*make_text_delta(versions[i - 1], versions[i])}).size(), 1u);
  EXPECT_EQ(values.of(Register::routing).revision, 4u);
  EXPECT_EQ(text_of(values.of(Register::routing)), numbered_lines(80));
  EXPECT_EQ(values.request().have[0], 4u);
}

TEST(HeldValues, a_delta_from_another_version_is_ignored_and_a_damaged_one_makes_the_whole_value_requested) {
  RegisterValue const first = compressed_value(1, numbered_lines(10));
  RegisterValue const second = compressed_value(2, numbered_lines(20));
  RegisterValue const third = compressed_value(3, numbered_lines(30));
  HeldValues values;
  values.accept({{Register::routing, first}});
  EXPECT_TRUE(values.accept_routing_deltas({*make_text_delta(second, third)}).empty());
  EXPECT_EQ(values.request().have[0], 1u);
  TextDelta damaged = *make_text_delta(first, second);
  damaged.bytes.resize(damaged.bytes.size() / 2);
  EXPECT_TRUE(values.accept_routing_deltas({damaged}).empty());
  EXPECT_EQ(values.of(Register::routing), first);
  EXPECT_EQ(values.request().have[0], 0u);
  values.accept({{Register::routing, second}});
  EXPECT_EQ(values.request().have[0], 2u);
}

}  // namespace
}  // namespace banktide
