// The chain of the latest deltas is limited in size, and is complete or absent.
#include "state/delta_history.hpp"

#include "protocol/zone_messages.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

KeyDelta step_of(Revision const from, std::size_t const bytes) {
  return KeyDelta{from, from + 1, 0, std::string(bytes, 'x')};
}

TEST(DeltaHistory, keeps_an_unbroken_chain_limited_by_count_and_bytes) {
  DeltaHistory<KeyDelta> history;
  for (Revision n = 1; n <= 100; ++n) history.add(step_of(n, 10));
  EXPECT_FALSE(history.since(36, 1 << 20));
  ASSERT_TRUE(history.since(37, 1 << 20));
  EXPECT_EQ(history.since(37, 1 << 20)->size(), 64u);
  EXPECT_EQ(history.since(100, 1 << 20)->size(), 1u);
  EXPECT_FALSE(history.since(101, 1 << 20));
  EXPECT_FALSE(history.since(100, 10));
  for (Revision n = 101; n <= 120; ++n) history.add(step_of(n, 50000));
  EXPECT_EQ(history.since(116, 1 << 20)->size(), 5u);
  EXPECT_FALSE(history.since(115, 1 << 20));
  history.add(step_of(200, 10));
  EXPECT_FALSE(history.since(120, 1 << 20));
  EXPECT_TRUE(history.since(200, 1 << 20));
}

}  // namespace
}  // namespace banktide
