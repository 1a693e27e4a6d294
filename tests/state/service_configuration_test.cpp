// Validation of configurations, and route lookup compared with a linear search.
#include "state/service_configuration.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace banktide {

namespace {

Route route(std::string host, std::string prefix) {
  Route made;
  made.name = host + prefix;
  made.host = std::move(host);
  made.prefix = std::move(prefix);
  made.targets = {{0, 1}};
  return made;
}

ServiceConfiguration with_routes(std::vector<Route> routes) {
  ServiceConfiguration made;
  made.routes = std::move(routes);
  made.services.resize(2);
  made.services[0].name = "first";
  made.services[1].name = "second";
  return made;
}

std::string matched(Router const& router, std::string_view const host, std::string_view const path) {
  Route const* const found = router.match(host, path);
  return found == nullptr ? "" : found->name;
}

}  // namespace

TEST(ServiceConfiguration, CheckFindsEachFault) {
  EXPECT_TRUE(check(with_routes({})));
  EXPECT_TRUE(check(with_routes({route("a", "/"), route("a", "/x/"), route("b", "/")})));
  EXPECT_FALSE(check(with_routes({route("", "/")})));
  EXPECT_FALSE(check(with_routes({route("a", "/"), route("b", "/"), route("a", "/")})));
  EXPECT_FALSE(check(with_routes({route("a.test", "/"), route("A.Test", "/")})));
  ServiceConfiguration unknown = with_routes({route("a", "/")});
  unknown.routes[0].targets = {{0, 1}, {2, 1}};
  EXPECT_FALSE(check(unknown));
  unknown.routes[0].targets = {{unknown_service, 0}};
  EXPECT_FALSE(check(unknown));
  ServiceConfiguration weights = with_routes({route("a", "/")});
  weights.routes[0].targets = {{0, 0}, {1, 0}};
  EXPECT_TRUE(check(weights));
  weights.routes[0].targets = {{0, 1}, {1, -0.5}};
  EXPECT_FALSE(check(weights));
  ServiceConfiguration late = with_routes({route("a", "/")});
  late.routes[0].timeout = 2s;
  late.routes[0].target_latency = 62s - 1ns;
  EXPECT_TRUE(check(late));
  late.routes[0].target_latency = 62s;
  EXPECT_FALSE(check(late));
}

TEST(ServiceConfiguration, CheckNamesTheInvalidRoute) {
  Result<bool> const bad = check(with_routes({route("a", "/"), route("", "/x/")}));
  ASSERT_FALSE(bad);
  EXPECT_EQ(bad.error().peer, "/x/");
}

TEST(ServiceConfiguration, TheLongestPrefixOfTheHostWins) {
  Router const router(with_routes({route("a.test", "/"), route("a.test", "/x/"), route("a.test", "/x/y/"),
                                   route("a.test", "/xx/"), route("b.test", "/x/z/")}));
  EXPECT_EQ(matched(router, "a.test", "/"), "a.test/");
  EXPECT_EQ(matched(router, "a.test", "/x"), "a.test/");
  EXPECT_EQ(matched(router, "a.test", "/x/"), "a.test/x/");
  EXPECT_EQ(matched(router, "a.test", "/x/z/1"), "a.test/x/");
  EXPECT_EQ(matched(router, "a.test", "/x/y/1"), "a.test/x/y/");
  EXPECT_EQ(matched(router, "a.test", "/xx/1"), "a.test/xx/");
  EXPECT_EQ(matched(router, "b.test", "/x/1"), "");
  EXPECT_EQ(matched(router, "c.test", "/"), "");
  EXPECT_EQ(matched(router, "", "/"), "");
  EXPECT_EQ(matched(router, "a.test", ""), "");
}

TEST(ServiceConfiguration, HostsMatchInAnyCaseWithAnyPortAndPathsWithoutTheirQuery) {
  Router const router(with_routes({route("Shop.Test", "/x/"), route("[::1]", "/"), route("q.test", "/a?b/")}));
  EXPECT_EQ(matched(router, "SHOP.test:8080", "/x/?q=/y/"), "Shop.Test/x/");
  EXPECT_EQ(matched(router, "shop.test", "/?q=/x/"), "");
  EXPECT_EQ(matched(router, "[::1]:80", "/"), "[::1]/");
  EXPECT_EQ(matched(router, "[::2]", "/"), "");
  EXPECT_EQ(matched(router, std::string(1000, 'a'), "/"), "");
}

TEST(ServiceConfiguration, MatchingAgreesWithALinearSearch) {
  std::mt19937 random(3);
  auto const word = [&] {
    std::string text = "/";
    for (std::size_t length = random() % 7; length > 0; --length) text += "ab/"[random() % 3];
    return text;
  };
  for (int round = 0; round < 200; ++round) {
    std::map<std::string, Route> routes;
    for (int i = 0; i < 40; ++i) {
      Route made = route(random() % 2 == 0 ? "h" : "g", word());
      routes[made.name] = made;
    }
    std::vector<Route> all;
    for (auto const& [name, made] : routes) all.push_back(made);
    Router const router(with_routes(all));
    for (int i = 0; i < 100; ++i) {
      std::string const path = word() + word();
      std::string expected;
      for (Route const& made : all)
        if (made.host == "h" && path.starts_with(made.prefix) && made.name.size() > expected.size())
          expected = made.name;
      EXPECT_EQ(matched(router, "h", path), expected) << path;
    }
  }
}

TEST(ServiceConfiguration, ARouterThatHasMovedStillMatches) {
  Router router(with_routes({route("a", "/")}));
  Router moved(std::move(router));
  EXPECT_EQ(matched(moved, "a", "/x"), "a/");
  moved = Router(with_routes({route("b", "/")}));
  EXPECT_EQ(matched(moved, "a", "/x"), "");
  EXPECT_EQ(matched(moved, "b", "/x"), "b/");
  EXPECT_EQ(moved.service_index("second"), 1u);
  EXPECT_FALSE(moved.service_index("third"));
}

TEST(ServiceConfiguration, ServicesAreChosenByWeight) {
  Route split = route("a", "/");
  split.targets = {{0, 0}, {1, 90}, {2, 10}, {3, 0}};
  std::mt19937_64 random(5);
  std::map<std::uint32_t, int> chosen;
  for (int i = 0; i < 10000; ++i) ++chosen[Router::choose(split, random())];
  EXPECT_EQ(chosen.size(), 2u);
  EXPECT_NEAR(chosen[1], 9000, 200);
  EXPECT_EQ(Router::choose(split, 0), 1u);
  EXPECT_EQ(Router::choose(split, UINT64_MAX), 2u);
}

TEST(ServiceConfiguration, TargetsWithoutAnyWeightAreEquallyLikely) {
  Route split = route("a", "/");
  split.targets = {{4, 0}, {7, 0}};
  EXPECT_EQ(Router::choose(split, 0), 4u);
  EXPECT_EQ(Router::choose(split, UINT64_MAX), 7u);
  split.targets.clear();
  EXPECT_EQ(Router::choose(split, 1), unknown_service);
}

TEST(ServiceConfiguration, RoutesAndServicesHaveIndexes) {
  Router const router(with_routes({route("a", "/"), route("b", "/")}));
  EXPECT_EQ(router.index_of(*router.match("b", "/")), 1u);
  EXPECT_EQ(router.routes()[1].name, "b/");
  EXPECT_EQ(router.services()[*router.service_index("second")].name, "second");
}

}  // namespace banktide
