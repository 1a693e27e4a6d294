// The reported state of slices that move from one zone to another.
#include "state/slice_moves.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(SliceMoves, a_move_shows_slices_held_emptying_and_waiting) {
  Layout const l =
      *Layout::read(R"({"cells":["a","b"],"services":{"pay":{"key":{"header":"x-key","slices":4}}},"ways":[]})");
  Catalogue const c =
      *Catalogue::read(R"({"cells":{"a":{"pay":{"slices":[[0,0]]}},"b":{"pay":{"slices":[[1,3]]}}}})", l);
  std::uint64_t const m = l.services[0].mapping();
  auto const lease = [&](int slice, int in_flight, bool wanted) {
    return Json{{"service", "pay"},    {"mapping", m},           {"slice", slice},
                {"instance", "pay-1"}, {"in_flight", in_flight}, {"wanted", wanted}};
  };
  Json const backend = {{"service", "pay"}, {"standing", "fit"}};
  Json const fleet = {
      {"cells",
       {{{"cell", "a"},
         {"nodes", {{{"node", "n1"}, {"local", {backend}}, {"leases", {lease(0, 2, true), lease(1, 3, false)}}}}}},
        {{"cell", "b"}, {"nodes", {{{"node", "n2"}, {"local", {backend}}, {"leases", Json::array()}}}}}}}};
  Json const rows = slice_moves(fleet, l, c)["slices"];
  ASSERT_EQ(rows.size(), 3u) << rows.dump(1);
  EXPECT_EQ(rows[0]["state"], "held");
  EXPECT_EQ(rows[1]["state"], "emptying");
  EXPECT_EQ(rows[1]["waits_for"], "3 calls in flight");
  EXPECT_EQ(rows[1]["should"], "b");
  EXPECT_EQ(rows[2]["slices"], Json::array({2, 3}));
  EXPECT_EQ(rows[2]["waits_for"], "its new holder's claim");
}

}  // namespace
}  // namespace banktide
