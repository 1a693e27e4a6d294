// The directory of registries by itself: which registries are alive, which one is in charge of a zone, and how ages
// are passed on.
#include "coordination/registry_directory.hpp"

#include <gtest/gtest.h>

#include "protocol/digest.hpp"

namespace banktide {
namespace {

Instant const start{std::chrono::hours(1)};

RegistryEntry entry_of(std::string const& zone, Address const& address, std::uint32_t const age_ms = 0) {
  return RegistryEntry{zone, address, age_ms};
}

TEST(RegistryDirectory, a_registry_is_used_for_8_s_and_kept_for_60_unless_its_address_is_a_seeds) {
  RegistryDirectory directory({"seed:1"});
  directory.record_contact(entry_of("a", "seed:1"), start);
  directory.record_contact(entry_of("a", "other:1"), start);
  EXPECT_TRUE(directory.alive("other:1", start + 7999ms));
  EXPECT_FALSE(directory.alive("other:1", start + 8s));
  directory.forget_silent(start + 59s);
  EXPECT_EQ(directory.entries().size(), 2u);
  directory.forget_silent(start + 61s);
  ASSERT_EQ(directory.entries().size(), 1u);
  EXPECT_EQ(directory.entries()[0].address, "seed:1");
  EXPECT_EQ(directory.registry_of("a", start + 61s), "seed:1");
}

TEST(RegistryDirectory, ages_are_passed_on_and_never_decrease) {
  RegistryDirectory first({}), second({});
  first.record_contact(entry_of("a", "x:1"), start);
  Instant const asked = start + 5s, answered = start + 5400ms;
  second.learn_answer(first.entries_with_ages(asked + 200ms), asked, answered);
  EXPECT_TRUE(second.alive("x:1", start + 7799ms));
  EXPECT_FALSE(second.alive("x:1", start + 7801ms));
  for (int round = 0; round < 20; ++round) {
    Instant const now = start + 6s + round * 1s;
    first.learn_answer(second.entries_with_ages(now), now - 100ms, now);
    second.learn_answer(first.entries_with_ages(now), now - 100ms, now);
  }
  EXPECT_FALSE(first.alive("x:1", start + 8s));
  EXPECT_FALSE(second.alive("x:1", start + 8s));
}

TEST(RegistryDirectory, an_unsolicited_entry_makes_a_registry_known_but_not_alive) {
  RegistryDirectory directory({});
  directory.learn_addresses({entry_of("a", "x:1")}, start);
  EXPECT_EQ(directory.entries().size(), 1u);
  EXPECT_FALSE(directory.alive("x:1", start));
  directory.learn_answer({entry_of("a", "y:1", 70000)}, start, start);
  EXPECT_EQ(directory.entries().size(), 1u) << "an entry that nobody has heard from for over a minute";
}

TEST(RegistryDirectory, a_zone_is_served_by_its_first_live_registry) {
  RegistryDirectory directory({});
  std::vector<Address> own{"a1:1", "a2:1", "a3:1"};
  for (Address const& a : own) directory.record_contact(entry_of("a", a), start);
  directory.record_contact(entry_of("b", "b1:1"), start);
  std::sort(own.begin(), own.end(), [](Address const& x, Address const& y) { return digest_of(x) < digest_of(y); });
  EXPECT_EQ(directory.registry_of("a", start), own[0]);
  for (Address const& a : {own[1], own[2], Address("b1:1")}) directory.record_contact(a, start + 9s);
  EXPECT_EQ(directory.registry_of("a", start + 9s), own[1]);
  directory.record_contact(own[0], start + 10s);
  EXPECT_EQ(directory.registry_of("a", start + 10s), own[0]);
}

TEST(RegistryDirectory, all_processes_select_the_same_registry_for_a_zone_without_one) {
  std::vector<RegistryEntry> const all{entry_of("a", "x:1"), entry_of("b", "y:1"), entry_of("c", "z:1")};
  std::map<Address, int> share;
  for (int n = 0; n < 300; ++n) {
    std::string const zone = "zone-" + std::to_string(n);
    RegistryDirectory forward({}), backward({}), registry({});
    for (std::size_t i = 0; i < all.size(); ++i) forward.record_contact(all[i], start);
    for (std::size_t i = all.size(); i-- > 0;) backward.record_contact(all[i], start);
    registry.set_own(all[0]);
    registry.learn_answer({all[1], all[2]}, start, start);
    Address const chosen = forward.registry_of(zone, start);
    EXPECT_EQ(backward.registry_of(zone, start), chosen);
    EXPECT_EQ(registry.registry_of(zone, start), chosen);
    ++share[chosen];
  }
  EXPECT_EQ(share.size(), 3u);
  for (auto const& [address, n] : share) EXPECT_GT(n, 50) << address;
}

TEST(RegistryDirectory, without_live_registries_the_zones_own_one_is_returned) {
  RegistryDirectory directory({});
  EXPECT_EQ(directory.registry_of("a", start), "");
  directory.record_contact(entry_of("a", "x:1"), start);
  directory.record_contact(entry_of("b", "y:1"), start);
  EXPECT_EQ(directory.registry_of("a", start + 20s), "x:1");
  EXPECT_TRUE(directory.live(start + 20s).empty());
}

TEST(RegistryDirectory, a_registrys_own_entry_is_always_alive_with_age_0) {
  RegistryDirectory directory({});
  directory.set_own(entry_of("a", "x:1"));
  directory.learn_answer({entry_of("wrong", "x:1")}, start + 90s, start + 90s);
  directory.forget_silent(start + 90s);
  EXPECT_EQ(directory.live(start + 90s, 1500ms), std::vector<Address>{"x:1"});
  EXPECT_EQ(directory.entries_with_ages(start + 90s)[0].age_ms, 0u);
  EXPECT_EQ(directory.zone_of("x:1"), "a");
}

}  // namespace
}  // namespace banktide
