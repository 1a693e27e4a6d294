// The ring of members: the relay tree and the watchers.
#include "coordination/ring.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(Ring, the_relay_tree_reaches_every_node_once_and_each_node_has_its_watchers) {
  for (std::size_t n = 1; n < 60; ++n) {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < n; ++i) ids.push_back("node-" + std::to_string(i));
    std::vector<std::string> const order = ring_order(ids);
    std::vector<std::string> reached = relays_below("", order);
    for (std::size_t i = 0; i < reached.size(); ++i)
      for (std::string const& r : relays_below(reached[i], order)) reached.push_back(r);
    EXPECT_EQ(ring_order(reached), order);
    EXPECT_EQ(reached.size(), n);
    for (std::string const& id : ids) {
      std::vector<std::string> const w = watchers_of(id, order);
      EXPECT_EQ(w.size(), std::min(watcher_count, n - 1));
      EXPECT_EQ(std::count(w.begin(), w.end(), id), 0);
    }
  }
}

}  // namespace
}  // namespace banktide
