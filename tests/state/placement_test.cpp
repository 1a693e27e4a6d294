// Compares placements with an exhaustive search, and checks that invalid files are refused.
#include "state/placement.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

// Tries every split of a keyed service's slices and every placement of a service without keys.
inline std::optional<std::uint64_t> fewest_moves(Json const& want, std::vector<int> const& had) {
  std::optional<std::uint64_t> best;
  std::vector<std::string> const zones{"a", "b", "c"};
  auto const cap = [&](int const i) {
    return want["cells"][zones[static_cast<std::size_t>(i)]]["capacity"].get<int>();
  };
  int const pay = want["services"]["pay"]["burden"], browse = want["services"]["browse"]["burden"];
  for (int x = 0; x <= 8; ++x)
    for (int y = 0; x + y <= 8; ++y)
      for (int mask = 0; mask < 8; ++mask) {
        int const n[3] = {x, y, 8 - x - y};
        bool good = true;
        int spread = 0, open = 0;
        std::uint64_t moves = 0;
        for (int i = 0; i < 3; ++i) {
          bool const here = mask >> i & 1;
          good = good && n[i] * pay + here * browse <= cap(i);
          if (want.contains("apart")) good = good && !(here && n[i] > 0);
          spread += n[i] > 0;
          open += here;
          moves += static_cast<std::uint64_t>(std::abs(n[i] - had[static_cast<std::size_t>(i)]) + here);
        }
        good = good && spread >= want["services"]["pay"]["spread"] && open >= want["services"]["browse"]["spread"];
        if (good && (!best || moves < *best)) best = moves;
      }
  return best;
}

TEST(Placement, needs_the_fewest_moves_possible_or_names_constraints_that_cannot_be_met) {
  Layout const l = *Layout::read(
      R"({"cells":["a","b","c"],"services":{"pay":{"key":{"header":"x-key","slices":8}},"browse":{}},"ways":[]})");
  std::string const now = R"({"cells":{"a":{"pay":{"slices":[[0,4]]}},"b":{"pay":{"slices":[[5,7]]}}},"closed":[]})";
  std::mt19937_64 r(9);
  int unmet = 0, met = 0;
  for (int i = 0; i < 40; ++i) {
    Json want = {
        {"cells", {{"a", {{"capacity", r() % 60}}}, {"b", {{"capacity", r() % 60}}}, {"c", {{"capacity", r() % 60}}}}},
        {"services",
         {{"pay", {{"burden", 5 + r() % 6}, {"spread", 1 + r() % 3}}},
          {"browse", {{"burden", r() % 20}, {"spread", 1 + r() % 2}}}}}};
    if (r() % 3 == 0) want["apart"] = Json::array({Json::array({"pay", "browse"})});
    std::optional<std::uint64_t> const best = fewest_moves(want, {5, 3, 0});
    Result<std::string> const got = Placement::solve(want.dump(), l, now);
    ASSERT_EQ(got.has_value(), best.has_value()) << want << (got ? *got : got.error().reason);
    if (!got) {
      ++unmet;
      EXPECT_EQ(got.error().step, "solve");
      EXPECT_NE(got.error().peer.find("/"), std::string::npos);
      continue;
    }
    ++met;
    ASSERT_TRUE(Catalogue::read(*got, l)) << *got;
    Json const j = Json::parse(*got);
    std::uint64_t moves = 0, slices = 0, k = 0;
    for (std::string const zone : {"a", "b", "c"}) {
      std::uint64_t n = 0;
      Json const here = j["cells"].value(zone, Json::object());
      for (Json const& range : here.value("pay", Json::object()).value("slices", Json::array()))
        n += range[1].get<std::uint64_t>() - range[0].get<std::uint64_t>() + 1;
      std::uint64_t const had = k == 0 ? 5 : k == 1 ? 3 : 0;
      moves += (n > had ? n - had : had - n) + here.contains("browse");
      slices += n;
      ++k;
    }
    EXPECT_EQ(slices, 8u);
    EXPECT_EQ(moves, *best) << want << *got;
  }
  EXPECT_GT(met, 5);
  EXPECT_GT(unmet, 5);
}

TEST(Placement, an_invalid_file_is_refused_with_its_json_pointer) {
  Layout const l = *Layout::read(R"({"cells":["a"],"services":{"browse":{}},"ways":[]})");
  struct Bad {
    std::string text, step, pointer;
  };
  for (Bad const& b :
       {Bad{"{", "parse_json", ""}, Bad{R"({"cells":{}})", "check_schema", "/cells"},
        Bad{R"({"cells":{"x":{"capacity":1}},"services":{"browse":{"burden":1}}})", "check_references", "/cells/x"},
        Bad{R"({"cells":{"a":{"capacity":1}},"services":{"pay":{"burden":1}}})", "check_references", "/services/pay"},
        Bad{R"({"cells":{"a":{"capacity":1}},"services":{"browse":{"burden":5}}})", "solve",
            "/cells/a/capacity /services/browse/spread"}}) {
    Result<std::string> const r = Placement::solve(b.text, l, "");
    ASSERT_FALSE(r) << b.text;
    EXPECT_EQ(r.error().step, b.step) << b.text;
    EXPECT_EQ(r.error().peer, b.pointer) << r.error().reason;
  }
}

}  // namespace
}  // namespace banktide
