// Compares a zone view built from changes with one restored from a snapshot.
#include "state/zone_view.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(ZoneView, a_snapshot_restores_what_the_changes_built) {
  std::uint64_t x = 7;
  auto const r = [&](std::uint64_t n) {
    return (x = x * 6364136223846793005ull + 1442695040888963407ull, (x >> 33) % n);
  };
  ZoneView a;
  for (int i = 0; i < 3000; ++i) {
    Change c;
    if (r(3) == 0)
      c.member = Member{"n" + std::to_string(r(5)), "a", "", Role::node, r(9), static_cast<Liveness>(r(4))};
    else
      c.backend =
          BackendRecord{"s", "i" + std::to_string(r(9)), "n" + std::to_string(r(5)), 1, 0, static_cast<Liveness>(r(4))};
    a.apply(c);
    ZoneView b;
    b.replace(a.snapshot({}));
    ASSERT_EQ(a.members, b.members);
    ASSERT_EQ(a.backends, b.backends);
  }
  a.apply(Change{0, Member{"n1", "a", "", Role::node, 1, Liveness::dead}, std::nullopt, std::nullopt});
  for (auto const& [key, b] : a.backends) EXPECT_NE(b.node, "n1");
}

}  // namespace
}  // namespace banktide
