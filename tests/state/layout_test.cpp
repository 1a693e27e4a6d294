// Validation of layouts and catalogues, and the zones that they choose for calls.
#include "state/layout.hpp"

#include <gtest/gtest.h>
#include <random>

namespace banktide {
namespace {

inline std::string const sample_layout =
    R"({"cells":["a","b"],"services":{"pay":{"key":{"header":"x-key","slices":8},"idempotent":["GET"]},"browse":{}},"ways":[{"prefix":"/pay","service":"pay"},{"prefix":"/","service":"browse"}]})";

TEST(Layout, invalid_layouts_are_refused_with_the_json_pointer_and_valid_ones_are_read) {
  EXPECT_TRUE(Layout::read(sample_layout));
  struct Bad {
    std::string text, step, pointer;
  };
  for (Bad const& b :
       {Bad{"{", "parse_json", ""}, Bad{R"({"cells":["a"],"cells":["b"],"services":{},"ways":[]})", "parse_json", ""},
        Bad{R"({"cells":["a"],"services":{},"ways":[],"x":1})", "check_schema", ""},
        Bad{R"({"cells":["a"],"services":{"s":{"timeout_ms":1}},"ways":[]})", "check_schema", "/services/s/timeout_ms"},
        Bad{R"({"cells":["a"],"services":{},"ways":[{"prefix":"/x","service":"y"}]})", "check_references",
            "/ways/0/service"},
        Bad{std::string(default_json_limit + 1, ' '), "check_size", ""},
        Bad{std::string(100, '['), "parse_json", ""}}) {
    Result<Layout> const l = Layout::read(b.text);
    ASSERT_FALSE(l) << b.text;
    EXPECT_EQ(l.error().step, b.step) << b.text;
    EXPECT_EQ(l.error().peer, b.pointer) << l.error().reason;
  }
  Layout const l = *Layout::read(sample_layout);
  EXPECT_EQ(l.services[l.service_of_path("/pay/1?x=/")].name, "pay");
  EXPECT_EQ(l.services[l.service_of_path("/payment")].name, "browse");
}

TEST(Catalogue, overlapping_slices_and_unknown_names_are_refused_and_zones_are_chosen) {
  Layout const l = *Layout::read(sample_layout);
  for (std::string const bad :
       {R"({"cells":{"c":{}}})", R"({"cells":{"a":{"nope":{}}}})",
        R"({"cells":{"a":{"pay":{"slices":[[0,4]]}},"b":{"pay":{"slices":[[4,7]]}}}})",
        R"({"cells":{"a":{"pay":{"slices":[[0,8]]}}}})", R"({"cells":{"a":{"browse":{"slices":[[0,1]]}}}})",
        R"({"cells":{},"closed":["nope"]})"})
    EXPECT_FALSE(Catalogue::read(bad, l)) << bad;
  auto const nowhere = [] { return std::set<std::string>{}; };
  Catalogue const c =
      *Catalogue::read(R"({"cells":{"a":{"pay":{"slices":[[0,3]]}},"b":{"pay":{"slices":[[4,6]]}}}})", l);
  Index const pay = l.service_names.find("pay"), browse = l.service_names.find("browse");
  EXPECT_TRUE(choose_zones(l, c, "a", pay, 1, nowhere).in_own_zone);
  EXPECT_EQ(choose_zones(l, c, "a", pay, 5, nowhere).other_zones, std::vector<std::string>{"b"});
  EXPECT_FALSE(choose_zones(l, c, "a", pay, 5, nowhere).in_own_zone);
  EXPECT_EQ(choose_zones(l, c, "a", pay, 7, nowhere).refusal, "no cell has the slice");
  EXPECT_TRUE(choose_zones(l, c, "a", browse, 0, nowhere).in_own_zone);
  EXPECT_TRUE(choose_zones(l, *Catalogue::read(R"({"cells":{},"closed":["browse"]})", l), "a", browse, 0, nowhere)
                  .refusal.size());
}

TEST(Catalogue, names_removed_by_a_newer_layout_are_ignored_and_the_rest_applies) {
  Layout const l = *Layout::read(sample_layout);
  std::string const old =
      R"({"cells":{"a":{"pay":{"slices":[[0,3]]},"gone":{}},"b":{"pay":{"slices":[[4,20]]}},"lost":{"pay":{"slices":[[0,0]]},"browse":{}}},"closed":["gone"]})";
  EXPECT_EQ(Catalogue::read(old, l).error().step, "check_references");
  Catalogue const c = *Catalogue::read(old, l, true);
  auto const nowhere = [] { return std::set<std::string>{}; };
  Index const pay = l.service_names.find("pay"), browse = l.service_names.find("browse");
  EXPECT_TRUE(choose_zones(l, c, "a", pay, 0, nowhere).in_own_zone);
  EXPECT_EQ(choose_zones(l, c, "a", pay, 7, nowhere).other_zones, std::vector<std::string>{"b"});
  EXPECT_EQ(choose_zones(l, c, "a", browse, 0, nowhere).refusal, "no cell has the service");
}

// Random changes of valid documents are refused with a step, or read into consistent objects.
TEST(Layout, corrupt_documents_are_refused_with_a_step_or_read_into_consistent_objects) {
  std::string const catalogue =
      R"({"cells":{"a":{"pay":{"slices":[[0,3]]}},"b":{"pay":{"slices":[[4,7]]},"browse":{}}},"closed":[]})";
  std::vector<std::string> const pieces{"{",  "}",    "[",   "]",  ",",    ":",      "\"",    "null",
                                        "-1", "1e9",  "0",   "\\", "\xff", "true",   "\"a\"", "7",
                                        "8",  "1024", "pay", "b",  "{}",   "[[0,7]]"};
  Layout const whole = *Layout::read(sample_layout);
  std::mt19937_64 r(3);
  std::size_t refused = 0, taken = 0;
  for (int i = 0; i < 20000; ++i) {
    bool const routing = r() % 2 == 0;
    std::string s = routing ? sample_layout : catalogue;
    for (std::uint64_t n = 1 + r() % 3; n > 0; --n) {
      std::size_t const at = r() % s.size(), len = std::min<std::size_t>(r() % 6, s.size() - at);
      s.replace(at, len, r() % 4 == 0 ? std::string(1, static_cast<char>(r())) : pieces[r() % pieces.size()]);
    }
    if (routing) {
      Result<Layout> const l = Layout::read(s);
      (l ? taken : refused) += 1;
      if (!l) {
        ASSERT_FALSE(l.error().step.empty()) << s;
        continue;
      }
      ASSERT_EQ(l->services.size(), l->service_names.size()) << s;
      for (PathRoute const& w : l->path_routes) ASSERT_LT(w.service, l->services.size()) << s;
      for (Service const& v : l->services) ASSERT_LE(v.slices, 1024u) << s;
      ASSERT_TRUE(Catalogue::read(catalogue, *l, true)) << s;
    } else {
      Result<Catalogue> const c = Catalogue::read(s, whole);
      (c ? taken : refused) += 1;
      if (!c) {
        ASSERT_FALSE(c.error().step.empty()) << s;
        Catalogue::read(s, whole, true);
        continue;
      }
      for (Index v = 0; v < whole.services.size(); ++v)
        for (std::uint32_t slice = 0; slice < whole.services[v].slices; ++slice) {
          int zones = 0;
          for (Catalogue::Entry const& e : c->entries[v]) zones += e.serves(slice);
          ASSERT_LE(zones, 1) << s;
        }
    }
  }
  EXPECT_GT(refused, 10000u);
  EXPECT_GT(taken, 100u);
}

TEST(Catalogue, a_slice_it_does_not_mention_has_one_home_that_all_zones_agree_on) {
  Layout const l = *Layout::read(sample_layout);
  Index const pay = l.service_names.find("pay");
  std::set<std::string> const both{"a", "b"};
  std::size_t at_a = 0;
  for (std::uint32_t slice = 0; slice < 8; ++slice) {
    ZoneChoice const a = choose_zones(l, Catalogue{}, "a", pay, slice, [&] { return both; }),
                     b = choose_zones(l, Catalogue{}, "b", pay, slice, [&] { return both; });
    EXPECT_NE(a.in_own_zone, b.in_own_zone);
    EXPECT_EQ((a.in_own_zone ? b : a).other_zones, std::vector<std::string>{a.in_own_zone ? "a" : "b"});
    at_a += a.in_own_zone;
  }
  EXPECT_GT(at_a, 0u);
  EXPECT_LT(at_a, 8u);
  EXPECT_FALSE(choose_zones(l, Catalogue{}, "a", pay, 0, [] { return std::set<std::string>{}; }).refusal.empty());
}

}  // namespace
}  // namespace banktide
