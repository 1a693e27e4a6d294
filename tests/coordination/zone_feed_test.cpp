// Tests of a single zone feed, and of whole zones: nodes that follow a zone, registries that take over from each
// other, adopted zones, and register values that reach every node.
#include "coordination/zone_feed.hpp"

#include "coordination/zone_entries.hpp"
#include "zone_trial.hpp"

namespace banktide {
namespace {

// ---- a single feed

struct FeedTrial {
  FeedTrial() : sim(1), net(sim) {
    process = std::make_shared<SimProcess>(sim, net, "m", "r:1", 1);
    feed = std::make_shared<ZoneFeed<SimProcess>>(*process, FeedSettings{"a", "r", "r:1", FeedTiming{}},
                                                  FeedSources{[] { return true; }, [] { return Revisions{}; }});
  }
  // Lets tasks that were spawned last start, so that they end with their process.
  ~FeedTrial() {
    sim.run_ready_handlers();
    process->kill();
    sim.clear();
    sim.run_ready_handlers();
  }

  JoinReply join(std::string const& id, std::vector<BackendRecord> backends, Liveness const liveness = Liveness::alive,
                 std::uint64_t const incarnation = 1) {
    Join q;
    q.self = Member{id, "a", id + ":1", Role::gateway, incarnation, liveness};
    q.backends = std::move(backends);
    return feed->join(q);
  }
  void run_for(Duration const d) { sim.run_until(sim.now + d); }
  /// Runs the feed's failure detection for a while, with heartbeats from all members but one.
  void watch_for(Duration const d, std::string const& silent) {
    for (Instant const end = sim.now + d; sim.now < end;) {
      run_for(200ms);
      for (auto const& [id, m] : feed->view().members)
        if (id != silent) feed->on_heartbeat(Heartbeat{id, m.address, 1, Position{}, "a"});
      feed->watch();
    }
  }

  Sim sim;
  SimNet net;
  std::shared_ptr<SimProcess> process;
  std::shared_ptr<ZoneFeed<SimProcess>> feed;
};

BackendRecord backend(std::string const& service, std::string const& instance, std::uint32_t const slots,
                      std::uint32_t const running, std::uint32_t const waiting = 0) {
  BackendRecord b;
  b.service = service;
  b.instance = instance;
  b.slots = slots;
  b.running = running;
  b.waiting = waiting;
  return b;
}

TEST(ZoneFeed, publishes_nothing_before_nodes_had_time_to_join) {
  FeedTrial t;
  EXPECT_FALSE(t.feed->follow(Follow{}).known);
  t.run_for(1s);
  EXPECT_TRUE(t.join("n1", {}).taken);
  t.run_for(1400ms);
  EXPECT_FALSE(t.feed->follow(Follow{}).known);
  t.run_for(200ms);
  FollowReply const reply = t.feed->follow(Follow{});
  ASSERT_TRUE(reply.known && reply.snapshot);
  EXPECT_EQ(reply.snapshot->members.size(), 2u);
}

TEST(ZoneFeed, warms_up_longer_when_nodes_move_to_an_empty_feed) {
  FeedTrial t;
  t.run_for(20s);
  EXPECT_TRUE(t.feed->warm());
  t.join("n1", {});
  EXPECT_FALSE(t.feed->follow(Follow{}).known);
  t.run_for(2400ms);
  EXPECT_FALSE(t.feed->warm());
  t.run_for(200ms);
  EXPECT_TRUE(t.feed->warm());
  t.join("n2", {});
  EXPECT_TRUE(t.feed->warm()) << "the feed already has a node when the second joins";
}

TEST(ZoneFeed, a_follower_gets_its_missing_changes_or_a_snapshot) {
  FeedTrial t;
  t.join("n1", {});
  t.run_for(2s);
  Position const seen = t.feed->position();
  t.join("n2", {backend("s", "i", 4, 0)});
  FollowReply const changes = t.feed->follow(Follow{seen, "a"});
  EXPECT_FALSE(changes.snapshot);
  EXPECT_EQ(changes.changes.size(), 2u);
  EXPECT_EQ(changes.at, t.feed->position());
  EXPECT_TRUE(t.feed->follow(Follow{Position{seen.epoch + 1, seen.seq}, "a"}).snapshot);
}

// Guards against slow configuration updates: whole entries of other zones filled the links that configurations travel
// on.
TEST(ZoneFeed, a_load_change_of_a_large_remote_zone_takes_few_bytes) {
  FeedTrial t;
  t.join("n1", {});
  t.run_for(2s);
  ZoneEntry entry;
  entry.zone = "b";
  for (int i = 10; i < 58; ++i) {
    std::string const node = "machine-in-zone-b-" + std::to_string(i);
    entry.gateways.push_back(Member{node, "b", node + ":1", Role::gateway, 1, Liveness::alive});
    entry.services.push_back(ServiceOffer{"s", node, node + ":1", 8, 2, 0});
  }
  entry.service_names = {"s"};
  t.feed->update_zone_entry(entry);
  Position const seen = t.feed->position();
  for (std::size_t i = 0; i < entry.services.size(); i += 3) entry.services[i].running = 5;
  t.feed->update_zone_entry(entry);
  FollowReply const reply = t.feed->follow(Follow{seen, "a"});
  ASSERT_EQ(reply.changes.size(), 1u);
  EXPECT_LT(pack(reply).size(), 250u);
  ZoneView follower;
  follower.apply(Change{0, std::nullopt, std::nullopt, entry});
  follower.apply(reply.changes[0]);
  EXPECT_EQ(t.feed->view().zones.at("b"), entry);
}

TEST(ZoneFeed, joins_from_other_zones_and_invalid_members_are_rejected) {
  FeedTrial t;
  Join q;
  q.self = Member{"n", "b", "n:1", Role::node, 1, Liveness::alive};
  EXPECT_FALSE(t.feed->join(q).taken);
  q.self = Member{"n", "a", "n:1", Role::registry, 1, Liveness::alive};
  EXPECT_FALSE(t.feed->join(q).taken);
  q.self = Member{"n", "a", "n:1", Role::node, 1, Liveness::suspected};
  EXPECT_FALSE(t.feed->join(q).taken);
  q.self = Member{"r", "a", "n:1", Role::node, 1, Liveness::alive};
  EXPECT_FALSE(t.feed->join(q).taken);
  EXPECT_FALSE(t.feed->has_nodes());
}

TEST(ZoneFeed, the_entry_lists_gateways_and_rounded_load_per_service) {
  FeedTrial t;
  t.join("n1", {backend("s", "i1", 32, 5, 1), backend("s", "i2", 32, 4)});
  t.join("n2", {backend("s", "i3", 8, 3), backend("other", "i4", 0, 77, 7)});
  ZoneEntry const e = t.feed->entry();
  EXPECT_EQ(e.service_names, (std::vector<std::string>{"other", "s"}));
  EXPECT_EQ(e.gateways.size(), 2u);
  std::vector<ServiceOffer> const offers{
      {"other", "n2", "n2:1", 0, 0, 0}, {"s", "n1", "n1:1", 64, 16, 8}, {"s", "n2", "n2:1", 8, 3, 0}};
  EXPECT_EQ(e.services, offers);
  t.join("n1", {backend("s", "i1", 32, 6, 2), backend("s", "i2", 32, 5)});
  EXPECT_EQ(t.feed->entry(), e) << "a small change of load doesn't change the entry";
  BackendRecord leaving = backend("s", "i3", 8, 3);
  leaving.liveness = Liveness::leaving;
  t.join("n2", {leaving});
  EXPECT_EQ(t.feed->entry().services.size(), 1u);
  t.join("n1", {}, Liveness::leaving);
  EXPECT_TRUE(t.feed->entry().services.empty());
}

TEST(ZoneFeed, a_silent_member_is_suspected_and_removed_unless_it_refutes) {
  FeedTrial t;
  t.join("n1", {});
  t.join("n2", {backend("s", "i", 4, 0)});
  t.watch_for(1600ms, "n2");
  EXPECT_EQ(t.feed->view().members.at("n2").liveness, Liveness::suspected);
  JoinReply const refused = t.join("n2", {backend("s", "i", 4, 0)});
  EXPECT_FALSE(refused.taken);
  EXPECT_TRUE(t.join("n2", {backend("s", "i", 4, 0)}, Liveness::alive, refused.incarnation).taken);
  EXPECT_EQ(t.feed->view().members.at("n2").liveness, Liveness::alive);
  t.watch_for(4400ms, "n2");
  EXPECT_FALSE(t.feed->view().members.contains("n2"));
  EXPECT_TRUE(t.feed->view().backends.empty());
  EXPECT_TRUE(t.feed->view().members.contains("n1"));
}

TEST(ZoneFeed, a_leaving_member_that_no_longer_joins_is_removed) {
  FeedTrial t;
  for (int i = 0; i < 12; ++i) t.join("n" + std::to_string(i), {}, Liveness::leaving);
  t.watch_for(5400ms, "");
  EXPECT_FALSE(t.feed->has_nodes());
}

TEST(ZoneFeed, ring_neighbours_follow_membership_changes) {
  ZoneView view;
  RingNeighbours places("n3");
  std::uint64_t x = 5;
  for (int step = 0; step < 300; ++step) {
    x = x * 6364136223846793005ull + 1442695040888963407ull;
    std::string const id = "n" + std::to_string((x >> 33) % 12);
    Role const role = (x >> 40) % 5 == 0 ? Role::registry : Role::node;
    Liveness const liveness = (x >> 45) % 3 == 0 ? Liveness::dead : Liveness::alive;
    view.apply(Change{0, Member{id, "a", "", role, 1, liveness}, std::nullopt, std::nullopt});
    places.follow(view);
    std::vector<std::string> all, nodes;
    for (auto const& [member, m] : view.members) {
      all.push_back(member);
      if (m.role != Role::registry) nodes.push_back(member);
    }
    std::vector<std::string> const order = ring_order(all);
    std::set<std::string> watched;
    for (std::string const& other : order) {
      std::vector<std::string> const w = watchers_of(other, order);
      if (std::find(w.begin(), w.end(), "n3") != w.end()) watched.insert(other);
    }
    ASSERT_EQ(places.watchers(), watchers_of("n3", order));
    ASSERT_EQ(places.watched(), watched);
    ASSERT_EQ(places.relays(), relays_below("n3", ring_order(nodes)));
    ASSERT_EQ(places.first_relays(), relays_below("", ring_order(nodes)));
  }
}

TEST(ZoneFeed, leaving_and_suspected_members_come_last_in_the_relay_tree_and_stay_on_the_ring) {
  ZoneView view;
  RingNeighbours places("");
  auto const fold = [&](std::string const& id, Liveness const liveness) {
    view.apply(Change{0, Member{id, "a", id, Role::node, 1, liveness}, std::nullopt, std::nullopt});
    places.follow(view);
  };
  std::vector<std::string> ids;
  for (int i = 0; i < 13; ++i) ids.push_back("n" + std::to_string(i));
  for (std::string const& id : ids) fold(id, Liveness::alive);
  std::vector<std::string> const first = places.first_relays();
  ASSERT_EQ(first.size(), 3u);
  fold(first[0], Liveness::leaving);
  fold(first[1], Liveness::suspected);
  std::vector<std::string> const then = places.first_relays();
  EXPECT_EQ(then.front(), first[2]);
  std::set<std::string> reached(then.begin(), then.end());
  for (std::string const& id : ids) {
    RingNeighbours of_member(id);
    of_member.follow(view);
    std::vector<std::string> const below = of_member.relays();
    reached.insert(below.begin(), below.end());
    EXPECT_EQ(of_member.watchers(), watchers_of(id, ring_order(ids)));
    if (id == first[0] || id == first[1]) {
      EXPECT_TRUE(below.empty()) << id;
    }
  }
  EXPECT_EQ(reached.size(), ids.size());
  fold(first[0], Liveness::alive);
  fold(first[1], Liveness::alive);
  EXPECT_EQ(places.first_relays(), first);
}

TEST(ZoneFeed, load_changes_wait_for_the_next_pulse_or_urgent_change) {
  FeedTrial t;
  std::vector<ZoneUpdate> sent;
  t.net.on_send = [&](SimProcess const&, Address const& to, std::uint8_t const kind, Bytes const& raw) {
    if (kind == ZoneUpdate::kind && to == "n1:1") sent.push_back(*unpack<ZoneUpdate>(raw));
  };
  t.join("n1", {backend("s", "i", 8, 0)});
  t.run_for(2s);
  sent.clear();
  t.join("n1", {backend("s", "i", 8, 5)});
  t.join("n1", {backend("s", "i", 8, 5, 3)});
  t.run_for(50ms);
  EXPECT_TRUE(sent.empty());
  t.feed->pulse();
  t.run_for(5ms);
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].changes.size(), 2u);
  EXPECT_EQ(sent[0].at, t.feed->position());
  t.join("n1", {backend("s", "i", 8, 1)});
  t.join("n2", {});
  t.run_for(5ms);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_EQ(sent[1].changes.size(), 2u) << "in order, so that nothing is missed";
  EXPECT_EQ(sent[1].at, t.feed->position());
}

TEST(ZoneFeed, its_heartbeats_carry_no_position_that_was_not_published) {
  FeedTrial t;
  std::vector<Position> positions;
  t.net.on_send = [&](SimProcess const&, Address const&, std::uint8_t const kind, Bytes const& raw) {
    if (kind == Heartbeat::kind) positions.push_back(unpack<Heartbeat>(raw)->at);
  };
  t.join("n1", {backend("s", "i", 8, 0)});
  t.run_for(2s);
  t.feed->pulse();
  Position const sent = t.feed->position();
  t.join("n1", {backend("s", "i", 8, 5)});
  t.feed->watch();
  t.run_for(5ms);
  ASSERT_EQ(positions.size(), 1u);
  EXPECT_EQ(positions[0], sent);
  EXPECT_NE(positions[0], t.feed->position());
}

// ---- entries exchanged between zones

ZoneEntry entry_with(std::size_t const gateways) {
  ZoneEntry e;
  e.zone = "a";
  for (std::size_t i = 0; i < gateways; ++i) {
    std::string const id = "g" + std::to_string(i);
    e.gateways.push_back(Member{id, "a", id, Role::gateway, 1, Liveness::alive});
  }
  return e;
}

TEST(ZoneEntries, a_changed_entry_is_repeated_and_then_sent_periodically) {
  FeedTiming const timing;
  ZoneEntries entries(timing);
  Instant const start{std::chrono::hours(1)};
  std::size_t sent = 0, made = 0;
  for (Duration at = 0ms; at < 10s; at += 50ms)
    sent += entries.due("a", Position{1, 1}, start + at, [&] { return ++made, entry_with(2); }).has_value();
  EXPECT_EQ(made, 1u);
  EXPECT_EQ(sent, 3u + 9u);
  sent = 0;
  for (Duration at = 10s; at < 11s; at += 50ms) {
    Position const moved{1, 2 + static_cast<std::uint64_t>(at / 50ms)};
    std::size_t const gateways = static_cast<std::size_t>(at / 50ms) % 5;
    sent += entries.due("a", moved, start + at, [&] { return entry_with(gateways); }).has_value();
  }
  EXPECT_LE(sent, 4u) << "changes come at most every 250 ms";
  EXPECT_GE(sent, 3u);
}

TEST(ZoneEntries, of_two_announcers_the_one_with_more_gateways_wins_until_it_is_silent) {
  FeedTiming const timing;
  ZoneEntries entries(timing);
  Instant const start{std::chrono::hours(1)};
  EXPECT_NE(entries.accept(ZoneAnnouncement{entry_with(2), "x", {1, 5}}, start), nullptr);
  EXPECT_EQ(entries.accept(ZoneAnnouncement{entry_with(2), "x", {1, 4}}, start), nullptr)
      << "overtaken by a newer announcement";
  EXPECT_NE(entries.accept(ZoneAnnouncement{entry_with(1), "x", {2, 1}}, start), nullptr)
      << "the registry was restarted";
  EXPECT_EQ(entries.accept(ZoneAnnouncement{entry_with(1), "y", {9, 1}}, start + 1s), nullptr);
  EXPECT_NE(entries.accept(ZoneAnnouncement{entry_with(2), "y", {9, 2}}, start + 1s), nullptr);
  EXPECT_EQ(entries.accept(ZoneAnnouncement{entry_with(0), "x", {2, 3}}, start + 2s), nullptr);
  EXPECT_NE(entries.accept(ZoneAnnouncement{entry_with(1), "x", {2, 4}}, start + 5s), nullptr);
  EXPECT_TRUE(entries.forget(start + 30s).empty());
  std::vector<ZoneEntry> const gone = entries.forget(start + 66s);
  ASSERT_EQ(gone.size(), 1u);
  EXPECT_EQ(gone[0], ZoneEntry({"a", {}, {}, {}}));
}

// ---- whole zones

TEST(Zones, nodes_see_their_zone_and_the_services_of_other_zones) {
  ZoneTrial t(1);
  t.seeds = {"ra", "rb"};
  t.add_registry("ra", "a");
  t.add_registry("rb", "b");
  for (int i = 0; i < 5; ++i) t.add_node("a" + std::to_string(i), "a", "s");
  for (int i = 0; i < 3; ++i) t.add_node("b" + std::to_string(i), "b", "s");
  EXPECT_TRUE(t.run_until(
      [&] {
        return t.nodes_seen("a4") == 5 && t.nodes_seen("b2") == 3 && t.services_seen("a4", "b") == 3 &&
               t.services_seen("b2", "a") == 5;
      },
      10s));
  EXPECT_TRUE(t.nodes.at("a4").follower->has_view());
  t.nodes.at("b1").backends.clear();
  t.nodes.at("b1").follower->rejoin();
  EXPECT_TRUE(t.run_until([&] { return t.services_seen("a4", "b") == 2; }, 2s));
  EXPECT_FALSE(t.nodes.at("a2").follower->leave_acknowledged());
  t.nodes.at("a2").follower->leave();
  EXPECT_TRUE(t.run_until([&] { return t.nodes.at("a2").follower->leave_acknowledged(); }, 2s));
  EXPECT_TRUE(t.run_until([&] { return t.nodes_seen("a4") == 4 && t.services_seen("b0", "a") == 4; }, 2s));
}

TEST(Zones, a_zone_without_a_registry_is_adopted_until_its_nodes_are_gone) {
  ZoneTrial t(2);
  t.seeds = {"ra", "rb"};
  t.add_registry("ra", "a");
  t.add_registry("rb", "b");
  t.add_node("a0", "a", "s");
  for (int i = 0; i < 4; ++i) t.add_node("c" + std::to_string(i), "c", "s");
  EXPECT_TRUE(t.run_until(
      [&] { return t.nodes_seen("c3") == 4 && t.services_seen("a0", "c") == 4 && t.services_seen("c3", "a") == 1; },
      15s));
  EXPECT_EQ(t.registry("ra").zones().size() + t.registry("rb").zones().size(), 3u) << "one of them adopted it";
  for (int i = 0; i < 4; ++i) t.kill("c" + std::to_string(i) + ":1");
  EXPECT_TRUE(t.run_until([&] { return t.services_seen("a0", "c") == 0; }, 15s));
  EXPECT_TRUE(t.run_until([&] { return t.registry("ra").zones().size() + t.registry("rb").zones().size() == 2; }, 60s));
}

TEST(Zones, failover_to_a_zones_second_registry_and_back_shrinks_no_view) {
  ZoneTrial t(3);
  t.seeds = {"ra1", "ra2", "rb"};
  t.add_registry("ra1", "a");
  t.add_registry("ra2", "a");
  t.add_registry("rb", "b");
  for (int i = 0; i < 6; ++i) t.add_node("a" + std::to_string(i), "a", "s");
  t.add_node("b0", "b", "s");
  ASSERT_TRUE(t.run_until([&] { return t.nodes_seen("a5") == 6 && t.services_seen("b0", "a") == 6; }, 10s));
  Address const first = t.nodes.at("a0").follower->own_registry();
  std::string const first_id = first.substr(0, first.find(':'));
  std::string const second_id = first_id == "ra1" ? "ra2" : "ra1";
  std::size_t const second_has = t.registry(second_id).view().members.size();
  EXPECT_EQ(second_has, 1u) << "only the first registry has the members";
  t.run_for(3s);
  t.reset_min_members();
  t.kill(first);
  ASSERT_TRUE(t.run_until([&] { return t.registry(second_id).view().members.size() == 7; }, 15s));
  t.run_for(6s);
  EXPECT_EQ(t.services_seen("b0", "a"), 6u);
  t.start_registry(first_id);
  ASSERT_TRUE(t.run_until([&] { return t.registry(first_id).view().members.size() == 7; }, 15s));
  t.run_for(10s);
  EXPECT_EQ(t.services_seen("b0", "a"), 6u);
  EXPECT_EQ(t.registry(second_id).view().members.size(), 1u);
  for (auto const& [id, n] : t.nodes)
    if (n.zone == "a") {
      EXPECT_GE(n.min_members_seen, 7u) << id;
    }
}

TEST(Zones, a_zone_whose_registry_is_down_is_adopted_until_it_returns) {
  ZoneTrial t(4);
  t.seeds = {"ra", "rb", "rc"};
  for (std::string const zone : {"a", "b", "c"}) t.add_registry("r" + zone, zone);
  for (int i = 0; i < 5; ++i) t.add_node("a" + std::to_string(i), "a", "s");
  t.add_node("b0", "b", "s");
  ASSERT_TRUE(t.run_until([&] { return t.nodes_seen("a4") == 5 && t.services_seen("b0", "a") == 5; }, 10s));
  t.run_for(2s);
  t.reset_min_members();
  t.kill("ra:1");
  ASSERT_TRUE(t.run_until([&] { return t.registry("rb").zones().size() + t.registry("rc").zones().size() == 3; }, 15s));
  t.run_for(5s);
  t.kill("a4:1");
  EXPECT_TRUE(t.run_until([&] { return t.nodes_seen("a0") == 4 && t.services_seen("b0", "a") == 4; }, 8s))
      << "the registry that adopted the zone detects its failures";
  t.start_registry("ra");
  ASSERT_TRUE(t.run_until([&] { return t.registry("ra").view().members.size() == 5; }, 15s));
  t.run_for(8s);
  EXPECT_EQ(t.services_seen("b0", "a"), 4u);
  for (std::string const id : {"a0", "a1", "a2", "a3"}) EXPECT_GE(t.nodes.at(id).min_members_seen, 5u) << id;
}

TEST(Zones, a_value_that_is_announced_reaches_every_node_of_every_zone) {
  ZoneTrial t(5);
  t.seeds = {"ra", "rb"};
  t.add_registry("ra", "a");
  t.add_registry("rb", "b");
  for (int i = 0; i < 4; ++i) t.add_node("a" + std::to_string(i), "a", "s");
  for (int i = 0; i < 4; ++i) t.add_node("c" + std::to_string(i), "c", "s");
  ASSERT_TRUE(t.run_until([&] { return t.nodes_seen("a3") == 4 && t.nodes_seen("c3") == 4; }, 15s));
  for (Register const reg : published_registers) {
    auto const write = [](ZoneTrial& trial, Register const which) -> Task<void> {
      Registry<SimProcess>& registry = trial.registry("rb");
      std::string const bytes = "value of " + register_name(which);
      auto const step = [bytes](RegisterValue const&) -> Result<RegisterValue> {
        return RegisterValue{1000, bytes, digest_of(bytes), {}};
      };
      Result<RegisterValue> const done =
          co_await registry.registers().change(which, "", trial.registries.at("rb").process->now() + 3s, step);
      if (done) registry.announce(which, *done);
    };
    spawn(*t.registries.at("rb").process, write(t, reg));
  }
  EXPECT_TRUE(t.run_until(
      [&] {
        for (auto const& [id, n] : t.nodes)
          for (Register const reg : published_registers)
            if (!n.values.contains(reg) || n.values.at(reg) != "value of " + register_name(reg)) return false;
        return true;
      },
      2s));
  EXPECT_EQ(t.registry("ra").held(Register::keys).revision, 1000u);
}

// Counts the requests of nodes to registries, seen on the network.
struct ValueQuestions {
  std::map<Address, std::size_t> for_values;  // by sender: requests that are answered with whole values
  std::size_t for_revisions = 0;

  void watch(ZoneTrial& t) {
    t.net.on_send = [this](SimProcess const& from, Address const&, std::uint8_t const kind, Bytes const& raw) {
      if (kind != RegisterValuesRequest::kind) return;
      bool const revisions_only = unpack<RegisterValuesRequest>(raw)->revisions_only;
      revisions_only ? ++for_revisions : ++for_values[from.address];
    };
  }
};

Task<void> write_routing(ZoneTrial& trial, std::string const registry_id, Revision const revision) {
  Registry<SimProcess>& registry = trial.registry(registry_id);
  std::string const bytes = "value " + std::to_string(revision);
  auto const step = [bytes, revision](RegisterValue const&) -> Result<RegisterValue> {
    return RegisterValue{revision, bytes, digest_of(bytes), {}};
  };
  Instant const deadline = trial.registries.at(registry_id).process->now() + 3s;
  Result<RegisterValue> const done = co_await registry.registers().change(Register::routing, "", deadline, step);
  if (done) registry.announce(Register::routing, *done);
}

// Guards against slow configuration updates: nodes without a registry repeatedly asked all other registries for whole
// values, which filled their links for seconds.
TEST(Zones, nodes_without_a_registry_fetch_a_value_from_one_other_registry_only) {
  ZoneTrial t(8);
  for (int i = 0; i < 12; ++i) t.seeds.push_back("r" + std::to_string(i));
  for (std::string const& id : t.seeds) t.add_registry(id, "zone-of-" + id);
  for (int i = 0; i < 6; ++i) t.add_node("a" + std::to_string(i), "zone-of-r0", "s");
  ASSERT_TRUE(t.run_until([&] { return t.nodes_seen("a5") == 6; }, 15s));
  t.run_for(3s);
  t.kill("r0:1");
  t.run_for(2s);
  ValueQuestions questions;
  questions.watch(t);
  spawn(*t.registries.at("r3").process, write_routing(t, "r3", 1000));
  EXPECT_TRUE(t.run_until(
      [&] {
        return std::all_of(t.nodes.begin(), t.nodes.end(), [](auto const& n) {
          return n.second.values.contains(Register::routing) && n.second.values.at(Register::routing) == "value 1000";
        });
      },
      2s));
  for (auto const& [asker, count] : questions.for_values) EXPECT_LE(count, 2u) << asker;
  EXPECT_GT(questions.for_revisions, 0u);
}

// Guards against slow configuration updates: a node below a dead relay learnt of a newer version only after several
// missed pulses.
TEST(Zones, a_heartbeat_with_a_newer_revision_makes_its_receiver_catch_up) {
  ZoneTrial t(9);
  t.seeds = {"ra"};
  t.add_registry("ra", "a");
  for (int i = 0; i < 13; ++i) t.add_node("a" + std::to_string(i), "a", "s");
  ASSERT_TRUE(t.run_until([&] { return t.nodes_seen("a12") == 13; }, 15s));
  t.run_for(3s);
  std::vector<std::string> ids;
  for (auto const& [id, n] : t.nodes) ids.push_back(id);
  std::vector<std::string> const first = relays_below("", ring_order(ids));
  ASSERT_EQ(first.size(), 3u);
  t.kill(first[0] + ":1");
  spawn(*t.registries.at("ra").process, write_routing(t, "ra", 1000));
  EXPECT_TRUE(t.run_until(
      [&] {
        return std::all_of(t.nodes.begin(), t.nodes.end(), [&](auto const& n) {
          return n.first == first[0] || n.second.values.contains(Register::routing);
        });
      },
      FeedTiming{}.pulse_timeout - 100ms));
}

TEST(Zones, one_live_registry_is_the_first_and_another_one_after_its_failure) {
  ZoneTrial t(6);
  t.seeds = {"ra", "rb", "rc"};
  for (std::string const zone : {"a", "b", "c"}) t.add_registry("r" + zone, zone);
  t.run_for(4s);
  for (int i = 0; i < 100; ++i) {
    t.run_for(50ms);
    ASSERT_TRUE(t.registry("ra").first_of_live_registries());
    ASSERT_FALSE(t.registry("rb").first_of_live_registries());
    ASSERT_FALSE(t.registry("rc").first_of_live_registries());
  }
  t.kill("ra:1");
  EXPECT_TRUE(t.run_until([&] { return t.registry("rb").first_of_live_registries(); }, 3s));
  EXPECT_FALSE(t.registry("rc").first_of_live_registries());
}

TEST(Zones, a_node_detects_that_it_is_isolated) {
  ZoneTrial t(7);
  t.seeds = {"ra"};
  t.add_registry("ra", "a");
  t.add_node("a0", "a", "s");
  t.add_node("a1", "a", "s");
  ASSERT_TRUE(t.run_until([&] { return t.nodes_seen("a0") == 2; }, 10s));
  EXPECT_LT(t.nodes.at("a0").follower->since_contact(), 500ms);
  std::string const lost = t.nodes.at("a0").process->machine;
  for (std::string const& other : {t.nodes.at("a1").process->machine, t.registries.at("ra").process->machine}) {
    t.sim.cut(lost, other);
    t.sim.cut(other, lost);
  }
  t.run_for(4s);
  EXPECT_GT(t.nodes.at("a0").follower->since_contact(), 3s);
  EXPECT_EQ(t.view("a0").members.size(), 3u) << "it keeps its last view";
  t.sim.heal();
  EXPECT_TRUE(t.run_until([&] { return t.nodes.at("a0").follower->since_contact() < 500ms; }, 5s));
}

}  // namespace
}  // namespace banktide
