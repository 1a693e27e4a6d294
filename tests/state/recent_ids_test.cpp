// RecentIds: what it remembers, and that it stays small.
#include "state/recent_ids.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(RecentIds, keeps_the_latest_identifiers_and_forgets_the_oldest) {
  RecentIds ids(2);
  EXPECT_TRUE(ids.insert("a"));
  EXPECT_FALSE(ids.insert("a"));
  EXPECT_TRUE(ids.insert("b"));
  EXPECT_TRUE(ids.insert("c"));
  EXPECT_FALSE(ids.contains("a"));
  EXPECT_TRUE(ids.contains("b"));
  EXPECT_TRUE(ids.contains("c"));
}

TEST(RecentIds, stays_small_over_thousands_of_identifiers) {
  RecentIds ids;
  for (int i = 0; i < 5000; ++i) ids.insert("id-" + std::to_string(i));
  EXPECT_EQ(ids.size(), RecentIds::default_limit);
  EXPECT_TRUE(ids.contains("id-4999"));
}

}  // namespace
}  // namespace banktide
