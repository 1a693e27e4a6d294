// Operators' edits of the catalogue.
#include "state/catalogue_edit.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

TEST(CatalogueEdit, moves_agree_with_a_table_of_the_zone_of_each_slice) {
  Layout const l = *Layout::read(
      R"({"cells":["a","b","c"],"services":{"pay":{"key":{"header":"x-key","slices":16}},"browse":{}},"ways":[]})");
  Index const pay = l.service_names.find("pay");
  std::vector<std::string> table(16);
  std::string bytes;
  std::mt19937_64 r(9);
  auto const nowhere = [] { return std::set<std::string>{}; };
  for (int i = 0; i < 300; ++i) {
    std::uint32_t const first = static_cast<std::uint32_t>(r() % 16),
                        last = first + static_cast<std::uint32_t>(r() % (16 - first));
    std::string const to(1, static_cast<char>('a' + r() % 3));
    Result<std::string> const next =
        edit_catalogue(bytes, Json{{"change", "move"}, {"service", "pay"}, {"slices", {first, last}}, {"to", to}}, l);
    ASSERT_TRUE(next);
    bytes = *next;
    for (std::uint32_t k = first; k <= last; ++k) table[k] = to;
    Catalogue const c = *Catalogue::read(bytes, l);
    for (std::uint32_t k = 0; k < 16; ++k)
      for (std::string const zone : {"a", "b", "c"})
        ASSERT_EQ(choose_zones(l, c, zone, pay, k, nowhere).in_own_zone, table[k] == zone) << bytes;
  }
}

TEST(CatalogueEdit, an_edit_with_unknown_names_is_refused_with_its_json_pointer) {
  Layout const l = *Layout::read(
      R"({"cells":["a","b"],"services":{"pay":{"key":{"header":"x-key","slices":16}},"browse":{}},"ways":[]})");
  struct Bad {
    std::string change, pointer;
  };
  for (Bad const& b :
       {Bad{R"({"change":"move","service":"pay","slices":[0,16],"to":"a"})", "/slices"},
        Bad{R"({"change":"move","service":"pay","slices":[0,1],"to":"z"})", "/to"},
        Bad{R"({"change":"move","service":"browse","slices":[0,1],"to":"a"})", "/service"},
        Bad{R"({"change":"close","service":"nobody"})", "/service"},
        Bad{R"({"change":"move","service":"pay"})", "/change"}, Bad{R"({"change":"burn","service":"pay"})", "/change"},
        Bad{R"({"change":"place","service":"browse","cells":["z"]})", "/cells/z"}}) {
    Result<std::string> const r = edit_catalogue("", Json::parse(b.change), l);
    ASSERT_FALSE(r) << b.change;
    EXPECT_EQ(r.error().peer, b.pointer) << b.change;
  }
  std::string const closed = *edit_catalogue("", Json::parse(R"({"change":"close","service":"browse"})"), l);
  EXPECT_EQ(Json::parse(closed)["closed"], Json::array({"browse"}));
  EXPECT_EQ(Json::parse(*edit_catalogue(closed, Json::parse(R"({"change":"open","service":"browse"})"), l))["closed"],
            Json::array());
}

}  // namespace
}  // namespace banktide
