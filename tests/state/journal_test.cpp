// The events that a reader of a bounded journal gets.
#include "state/journal.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(Journal, a_reader_gets_all_events_in_order_or_none_if_some_were_trimmed) {
  Journal<int> j(10);
  for (int i = 1; i <= 25; ++i) EXPECT_EQ(j.append(i), static_cast<std::uint64_t>(i));
  EXPECT_FALSE(j.since(14));
  EXPECT_FALSE(j.since(26));
  EXPECT_EQ(j.since(22)->front(), 23);
  EXPECT_EQ(j.since(15)->size(), 10u);
  EXPECT_EQ(j.since(15, 3)->back(), 18);
  EXPECT_TRUE(j.since(25)->empty());
}

}  // namespace
}  // namespace banktide
