// Which endpoint is selected: local ones first, remote ones when none of those
// has a free slot, and none that has just failed while another is there.
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

TEST(EndpointSelector, local_first_until_its_slots_are_full) {
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

TEST(EndpointSelector, requests_of_other_nodes_count_as_the_answers_told) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("a", true, 8), endpoint("b", true, 8)});
  selector.sent("a");
  selector.answered("a", EndpointLoad{7, 0, 8, 50000}, start);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(chosen(selector, chance, {}, start + 1ms), "b");
}

TEST(EndpointSelector, a_refusal_for_being_busy_sends_the_next_elsewhere_for_a_while) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  selector.sent("near");
  selector.busy("near", EndpointLoad{8, 5, 8, 50000}, 100ms, start);
  EXPECT_EQ(chosen(selector, chance, {}, start + 50ms), "far");
  EXPECT_EQ(chosen(selector, chance, {}, start + 5s), "near");
}

TEST(EndpointSelector, who_refuses_connections_is_avoided_for_longer_each_time) {
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

TEST(EndpointSelector, when_all_are_avoided_one_is_tried_all_the_same_and_never_one_twice) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8)});
  selector.sent("near");
  selector.failed("near", true, start);
  EXPECT_EQ(chosen(selector, chance), "near");
  EXPECT_EQ(chosen(selector, chance, {"near"}), "");
}

TEST(EndpointSelector, one_failure_alone_is_borne_but_not_three_in_a_row) {
  std::mt19937_64 chance(1);
  EndpointSelector selector = with({endpoint("near", true, 8), endpoint("far", false, 8)});
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(chosen(selector, chance), "near");
    selector.sent("near");
    selector.failed("near", false, start);
  }
  EXPECT_EQ(chosen(selector, chance), "far");
}

TEST(EndpointSelector, who_fails_far_more_than_the_others_gets_few_repeatable_requests_and_no_other) {
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
  EXPECT_EQ(chosen(selector, chance, {"a", "b", "far"}, later), "grey") << "better than nobody";
}

TEST(EndpointSelector, what_was_told_of_failures_is_forgotten_after_a_while) {
  std::mt19937_64 chance(7);
  EndpointSelector selector = with({endpoint("a", false, 8), endpoint("b", false, 8), endpoint("grey", true, 8)});
  selector.sent("grey");
  selector.answered("grey", EndpointLoad{0, 0, 8, 50000, 60}, start);
  EXPECT_NE(chosen(selector, chance, {}, start + 200ms), "grey");
  EXPECT_EQ(chosen(selector, chance, {}, start + 6s), "grey");
}

}  // namespace
}  // namespace banktide
