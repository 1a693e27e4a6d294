// Selection of endpoints: local ones first, remote ones if no local one has a free slot, and none that
// has just failed while there is another.
#include "data_path/endpoint_selector.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

Instant const start{std::chrono::seconds(100)};

EndpointSelector with(EndpointSelector::Endpoints endpoints) {
  EndpointSelector selector;
  std::map<std::string, EndpointSelector::Endpoints> all;
  all["s"] = std::move(endpoints);
  selector.replace(std::move(all));
  return selector;
}

Endpoint endpoint(std::string const& address, bool const local, std::uint32_t const slots) {
  return Endpoint{"node-" + address, address, local ? "here" : "there", local, slots, 0};
}

std::string chosen(EndpointSelector& selector, std::mt19937_64& chance, std::set<Address> const& tried = {},
                   Instant const now = start) {
  Endpoint const* const e = selector.select("s", tried, now, chance);
  return e == nullptr ? "" : e->address;
}

TEST(EndpointSelector, prefers_local_endpoints_until_their_slots_are_full) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("far", false, 4), endpoint("near", true, 2)});
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(chosen(selector, chance), "near");
    selector.sent("near");
  }
  EXPECT_EQ(chosen(selector, chance), "far");
  selector.answered("near", EndpointLoad{1, 0, 2, 50000}, start);
  EXPECT_EQ(chosen(selector, chance), "near");
}

TEST(EndpointSelector, counts_requests_of_other_nodes_as_last_reported) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("a", true, 8), endpoint("b", true, 8)});
  selector.sent("a");
  selector.answered("a", EndpointLoad{7, 0, 8, 50000}, start);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(selector, chance, {}, start + 1ms), "b");
}

TEST(EndpointSelector, an_endpoint_that_refused_as_busy_is_avoided_for_a_while) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  selector.sent("near");
  selector.busy("near", EndpointLoad{8, 5, 8, 50000}, 100ms, start);
  EXPECT_EQ(chosen(selector, chance, {}, start + 50ms), "far");
  EXPECT_EQ(chosen(selector, chance, {}, start + 5s), "near");
}

TEST(EndpointSelector, an_endpoint_that_refuses_connections_is_avoided_for_longer_each_time) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  selector.sent("near");
  selector.failed("near", true, start);
  EXPECT_EQ(chosen(selector, chance, {}, start + 200ms), "far");
  EXPECT_EQ(chosen(selector, chance, {}, start + 300ms), "near");
  selector.sent("near");
  selector.failed("near", true, start + 300ms);
  EXPECT_EQ(chosen(selector, chance, {}, start + 700ms), "far");
}

TEST(EndpointSelector, if_all_are_avoided_one_is_still_tried_but_never_one_twice) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8)});
  selector.sent("near");
  selector.failed("near", true, start);
  EXPECT_EQ(chosen(selector, chance), "near");
  EXPECT_EQ(chosen(selector, chance, {"near"}), "");
}

TEST(EndpointSelector, is_ejected_after_three_consecutive_failures_but_not_after_one) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(chosen(selector, chance), "near");
    selector.sent("near");
    selector.failed("near", false, start);
  }
  EXPECT_EQ(chosen(selector, chance), "far");
}

TEST(EndpointSelector, an_outlier_gets_a_few_repeatable_requests_and_no_others) {
  std::mt19937_64 chance(7);
  EndpointSelector selector =
      with({endpoint("a", true, 8), endpoint("b", true, 8), endpoint("grey", true, 8), endpoint("far", false, 8)});
  for (std::string const address : {"a", "b", "far", "grey"}) {
    selector.sent(address);
    selector.answered(address, EndpointLoad{0, 0, 8, 50000, address == "grey" ? 40u : 1u}, start);
  }
  Instant const later = start + 200ms;
  int probes = 0;
  for (int i = 0; i < 2400; ++i) {
    EXPECT_NE(selector.select("s", {}, later, chance, false)->address, "grey");
    probes += selector.select("s", {}, later, chance, true)->address == "grey";
  }
  EXPECT_GT(probes, 10);
  EXPECT_LT(probes, 150);
  EXPECT_EQ(chosen(selector, chance, {"a", "b", "far"}, later), "grey") << "better than none";
}

TEST(EndpointSelector, reported_failures_expire) {
  std::mt19937_64 chance(7);
  EndpointSelector selector = with({endpoint("a", false, 8), endpoint("b", false, 8), endpoint("grey", true, 8)});
  selector.sent("grey");
  selector.answered("grey", EndpointLoad{0, 0, 8, 50000, 60}, start);
  EXPECT_NE(chosen(selector, chance, {}, start + 200ms), "grey");
  EXPECT_EQ(chosen(selector, chance, {}, start + 6s), "grey");
}

TEST(EndpointSelector, a_zone_with_share_0_gets_nothing_while_another_endpoint_exists) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 1)});
  selector.set_zone_shares({{"here", 0}});
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(chosen(selector, chance), "far");
    selector.sent("far");
  }
  EXPECT_EQ(chosen(selector, chance, {"far"}), "") << "an endpoint that was tried still counts as reachable";
  selector.set_zone_shares({});
  EXPECT_EQ(chosen(selector, chance), "near");
}

TEST(EndpointSelector, a_zone_with_share_0_is_used_if_nothing_else_is_reachable) {
  std::mt19937_64 chance(1);
  EndpointSelector alone = with({endpoint("near", true, 8)});
  alone.set_zone_shares({{"here", 0}});
  EXPECT_EQ(chosen(alone, chance), "near");
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  selector.set_zone_shares({{"here", 0}});
  selector.sent("far");
  selector.failed("far", true, start);
  EXPECT_EQ(chosen(selector, chance, {"far"}, start + 10ms), "near");
  EXPECT_EQ(chosen(selector, chance, {}, start + 10ms), "near");
  EXPECT_EQ(chosen(selector, chance, {}, start + 1s), "far") << "tried again after a while";
  selector.sent("far");
  selector.answered("far", EndpointLoad{0, 0, 8, 50000}, start + 1s);
  EXPECT_EQ(chosen(selector, chance, {}, start + 1s), "far");
}

// Uncertain failures elsewhere must not send requests to a zone whose machines may be shut down.
TEST(EndpointSelector, uncertain_failures_elsewhere_do_not_open_a_zone_with_share_0) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  selector.set_zone_shares({{"here", 0}});
  for (int i = 0; i < 6; ++i) {
    selector.sent("far");
    selector.failed("far", false, start);
  }
  EXPECT_EQ(chosen(selector, chance, {}, start + 10ms), "far");
}

TEST(EndpointSelector, a_returning_zone_gets_its_share_of_the_requests) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  for (double const share : {0.1, 0.5, 0.9}) {
    selector.set_zone_shares({{"here", share}});
    int near = 0;
    for (int i = 0; i < 2000; ++i) near += chosen(selector, chance) == "near";
    EXPECT_NEAR(near, 2000 * share, 80);
  }
}

TEST(EndpointSelector, a_slow_network_path_counts_like_a_long_run_and_decays) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("a", true, 8), endpoint("b", true, 8)});
  for (int i = 0; i < 4; ++i) selector.transferred("a", 90ms, start);
  EXPECT_GT(selector.expected_transfer("a", start), 70ms);
  EXPECT_EQ(selector.expected_transfer("b", start), 0ms);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(selector, chance), "b");
  EXPECT_LT(selector.expected_transfer("a", start + 15s), 1ms);
}

TEST(EndpointSelector, a_request_goes_to_another_zone_if_all_local_paths_are_congested) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  selector.transferred("near", 60ms, start);
  EXPECT_EQ(chosen(selector, chance), "near") << "slower, but not congested";
  for (int i = 0; i < 8; ++i) selector.transferred("near", 400ms, start);
  EXPECT_EQ(chosen(selector, chance), "far");
  for (int i = 0; i < 8; ++i) selector.transferred("far", 800ms, start);
  EXPECT_EQ(chosen(selector, chance), "near") << "the far one is no better";
}

TEST(EndpointSelector, an_endpoint_that_answers_no_ping_is_avoided_while_there_is_another) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  std::set<Address> silent{"near"};
  selector.set_silence_check([&silent](Address const& address) { return silent.contains(address); });
  EXPECT_TRUE(selector.avoided("near", start));
  EXPECT_EQ(chosen(selector, chance), "far");
  EXPECT_EQ(chosen(selector, chance, {"far"}), "near") << "better than none";
  silent.clear();
  EXPECT_EQ(chosen(selector, chance), "near");
}

// Many nodes with the same load information, up to two seconds old, choose among four backends.
TEST(EndpointSelector, nodes_with_the_same_outdated_loads_do_not_all_choose_the_same_endpoint) {
  std::mt19937_64 chance(5);
  std::vector<EndpointSelector> nodes;
  for (int n = 0; n < 24; ++n) {
    EndpointSelector::Endpoints all;
    for (std::string const name : {"a", "b", "c", "d"}) all.push_back(endpoint(name, true, 9));
    all[0].announced_load = 1;
    for (std::size_t i = 1; i < 4; ++i) all[i].announced_load = 4;
    nodes.push_back(with(all));
  }
  std::map<std::string, int> requests;
  for (int round = 0; round < 10; ++round)
    for (EndpointSelector& node : nodes) ++requests[chosen(node, chance)];
  EXPECT_GT(requests["a"], 60) << "the least loaded gets more than the mean";
  EXPECT_LT(requests["a"], 160) << "and not all requests";
  for (std::string const name : {"b", "c", "d"}) EXPECT_GT(requests[name], 12) << name;
}

}  // namespace
}  // namespace banktide
