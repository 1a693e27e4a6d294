// The operators' interface to maintenance windows: the error name of each refusal,
// and the state that is reported of a zone.
#include "programs/maintenance_interface.hpp"

#include <gtest/gtest.h>

#include "coordination/fake_register_client.hpp"

namespace banktide {
namespace {

HttpRequest put(std::string const& zone, std::string const& body) {
  return HttpRequest{"PUT", "/maintenance/" + zone, {}, body};
}

std::string error_of(HttpReply const& reply) {
  Json const j = Json::parse(reply.body, nullptr, false);
  return std::to_string(reply.status) + " " + (j.is_object() ? j.value("error", "") : "no JSON");
}

std::string refusal_of(HttpRequest const& request) {
  tl::expected<MaintenanceRequest, HttpReply> const read = parse_maintenance_request(request, MaintenanceSettings{});
  return read ? "taken" : error_of(read.error());
}

TEST(MaintenanceRequests, each_fault_has_its_error_name) {
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"lasts_s":50})")), "taken");
  EXPECT_EQ(refusal_of(put("a", "")), "400 not_json");
  EXPECT_EQ(refusal_of(put("a", "{")), "400 not_json");
  EXPECT_EQ(refusal_of(put("a", std::string(10000, ' ') + "{}")), "400 not_json");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"opens_in_s":100,"lasts_s":50})")), "400 not_json");
  EXPECT_EQ(refusal_of(put("a", "[]")), "400 wrong_body");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100})")), "400 wrong_body");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":"100","lasts_s":50})")), "400 wrong_body");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100.5,"lasts_s":50})")), "400 wrong_body");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"lasts_s":50,"colour":"red"})")), "400 wrong_body");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"lasts_s":50,"force":1})")), "400 wrong_body");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":-1,"lasts_s":50})")), "400 duration_negative");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"lasts_s":-50})")), "400 duration_negative");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"lasts_s":50,"lead_s":-9223372036854775808})")),
            "400 duration_negative");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"lasts_s":0})")), "400 duration_zero");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":2592001,"lasts_s":50})")), "400 duration_too_long");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"lasts_s":18446744073709551615})")), "400 duration_too_long");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":100,"lasts_s":50,"lead_s":5})")), "400 lead_too_short");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":5,"lasts_s":50})")), "400 opens_too_soon");
  EXPECT_EQ(refusal_of(put("a", R"({"opens_in_s":5,"lasts_s":50,"lead_s":5,"force":true})")), "taken");
  EXPECT_EQ(refusal_of(put("", R"({"opens_in_s":100,"lasts_s":50})")), "404 unknown_zone");
  EXPECT_EQ(refusal_of(HttpRequest{"POST", "/maintenance/a", {}, ""}), "405 wrong_method");
  EXPECT_EQ(refusal_of(HttpRequest{"DELETE", "/maintenance", {}, ""}), "405 wrong_method");
  EXPECT_EQ(refusal_of(HttpRequest{"GET", "/maintenance?x=1", {}, ""}), "taken");
  EXPECT_EQ(refusal_of(HttpRequest{"DELETE", "/maintenance/a", {}, ""}), "taken");
}

TEST(MaintenanceRequests, only_own_paths_are_taken_from_the_adapter) {
  EXPECT_TRUE(is_maintenance_target("/maintenance"));
  EXPECT_TRUE(is_maintenance_target("/maintenance?zone=a"));
  EXPECT_TRUE(is_maintenance_target("/maintenance/a"));
  EXPECT_FALSE(is_maintenance_target("/maintenances"));
  EXPECT_FALSE(is_maintenance_target("/configuration"));
  EXPECT_FALSE(is_maintenance_target("/"));
}

ZoneEntry entry(std::string const& zone, std::string const& service, std::uint32_t const slots,
                std::uint32_t const busy, std::uint32_t const waiting = 0) {
  ZoneEntry e;
  e.zone = zone;
  e.services.push_back(ServiceOffer{service, "node-" + zone, zone + ":1", slots, busy, waiting});
  return e;
}

TEST(MaintenanceCapacity, the_other_zones_must_have_as_many_free_slots_as_are_busy) {
  std::vector<ZoneEntry> const enough{entry("a", "s", 10, 4, 1), entry("b", "s", 10, 7), entry("c", "s", 10, 8)};
  EXPECT_FALSE(capacity_shortage("a", enough, {}));
  EXPECT_TRUE(capacity_shortage("a", enough, {"c"})) << "c is under maintenance too";
  std::vector<ZoneEntry> const full{entry("a", "s", 10, 4), entry("b", "s", 10, 7)};
  EXPECT_TRUE(capacity_shortage("a", full, {}));
  std::vector<ZoneEntry> const overloaded{entry("a", "s", 10, 3), entry("b", "s", 10, 30), entry("c", "s", 10, 8)};
  EXPECT_TRUE(capacity_shortage("a", overloaded, {})) << "overload of one zone must not count as free slots of another";
  std::vector<ZoneEntry> const only_there{entry("a", "s", 10, 0), entry("b", "t", 10, 0)};
  EXPECT_TRUE(capacity_shortage("a", only_there, {}));
}

TEST(MaintenanceCapacity, the_stores_in_other_zones_must_be_a_quorum) {
  std::vector<RegistryEntry> const registries{{"a", "10.0.0.1:1", 0}, {"b", "10.0.0.2:1", 0}, {"c", "10.0.0.3:1", 0}};
  VoterSet const voters = initial_set({"10.0.0.1:2", "10.0.0.2:2", "10.0.0.3:2"}, 1);
  EXPECT_FALSE(quorum_shortage("a", voters, registries, {}));
  EXPECT_TRUE(quorum_shortage("a", voters, registries, {"b"}));
  VoterSet const crowded = initial_set({"10.0.0.1:2", "10.0.0.1:3", "10.0.0.3:2"}, 1);
  EXPECT_TRUE(quorum_shortage("a", crowded, registries, {}));
  EXPECT_FALSE(quorum_shortage("b", crowded, registries, {}));
}

TEST(MaintenanceRemains, counts_what_is_announced_and_held_in_the_zone) {
  KeyTable keys;
  keys.holders = {KeyHolderRecord{"i-0", "n-0", "n-0:1", "a"}, KeyHolderRecord{"i-1", "n-1", "n-1:1", "b"}};
  KeyService service;
  service.name = "s";
  for (std::uint16_t const holder : {std::uint16_t{0}, std::uint16_t{1}, no_holder}) {
    KeyRow row;
    row.holder = holder;
    service.rows.push_back(row);
  }
  keys.services.push_back(service);
  std::vector<ZoneEntry> const entries{entry("a", "s", 10, 3, 1), entry("b", "s", 10, 7)};
  ZoneUsage const usage = zone_usage("a", entries, keys);
  EXPECT_EQ(usage.requests, 4u);
  EXPECT_EQ(usage.backends, 1u);
  EXPECT_EQ(usage.rows, 1u);
  MaintenanceWindow window;
  window.phase = MaintenancePhase::draining;
  EXPECT_TRUE(is_clear(window, ZoneUsage{}, 60s));
  EXPECT_FALSE(is_clear(window, usage, 60s));
  EXPECT_FALSE(is_clear(window, ZoneUsage{0, 0, 1}, 60s));
  EXPECT_FALSE(is_clear(window, ZoneUsage{}, 2s)) << "too little was announced yet";
  for (MaintenancePhase const phase :
       {MaintenancePhase::scheduled, MaintenancePhase::returning, MaintenancePhase::over}) {
    window.phase = phase;
    EXPECT_FALSE(is_clear(window, ZoneUsage{}, 60s));
  }
}

/** A fake registry with the members that the interface uses. */
struct FakeRegistry {
  struct Voters {
    VoterSet voters = initial_set({"10.0.0.1:2", "10.0.0.2:2", "10.0.0.3:2"}, 1);
    VoterSet const& set() const { return voters; }
  };
  Voters const& registers() const { return all; }
  RegisterValue const& held(Register) const { return keys; }
  std::vector<RegistryEntry> const& directory() const { return entries; }
  bool has_quorum_reading() const { return current; }
  std::set<std::string> zone_names() const { return {"a", "b", "c"}; }
  std::vector<ZoneEntry> zone_entries() const { return offers; }

  Voters all;
  RegisterValue keys = [] {
    RegisterValue h;
    h.bytes = pack_key_table(KeyTable{});
    return h;
  }();
  std::vector<RegistryEntry> entries{{"a", "10.0.0.1:1", 0}, {"b", "10.0.0.2:1", 0}, {"c", "10.0.0.3:1", 0}};
  bool current = true;
  std::vector<ZoneEntry> offers{entry("a", "s", 10, 4), entry("b", "s", 10, 4), entry("c", "s", 10, 4)};
};

struct MaintenanceInterfaceTrial {
  using Keeper = MaintenanceKeeper<SimProcess, FakeRegisterClient>;
  MaintenanceInterfaceTrial()
      : sim(1),
        net(sim),
        process(std::make_shared<SimProcess>(sim, net, "r", "r:1", 1)),
        store(*process, shared),
        keeper(*process, store, [] { return true; }),
        interface(*process, registry, keeper, MaintenanceSettings{}) {
    spawn(*process, keeper.run());
    spawn(*process, interface.run());
  }
  ~MaintenanceInterfaceTrial() {
    process->kill();
    sim.clear();
  }
  HttpReply call(HttpRequest const& request) {
    HttpReply reply;
    spawn(*process, [](MaintenanceInterfaceTrial& t, HttpRequest q, HttpReply& to) -> Task<void> {
      to = co_await t.interface.call(std::move(q));
    }(*this, request, reply));
    sim.run_until(sim.now + 2s);
    return reply;
  }
  std::string outcome(HttpRequest const& request) {
    HttpReply const reply = call(request);
    if (reply.status != 200) return error_of(reply);
    return Json::parse(reply.body).value("phase", "");
  }

  Sim sim;
  SimNet net;
  SharedRegister shared;
  std::shared_ptr<SimProcess> process;
  FakeRegisterClient store;
  FakeRegistry registry;
  Keeper keeper;
  MaintenanceInterface<SimProcess, FakeRegistry, Keeper> interface;
};

constexpr char const* evening = R"({"opens_in_s":100,"lasts_s":50})";
constexpr char const* forced = R"({"opens_in_s":100,"lasts_s":50,"force":true})";

TEST(MaintenanceInterface, a_window_is_marked_once_listed_and_ended_once) {
  MaintenanceInterfaceTrial trial;
  EXPECT_EQ(trial.outcome(put("a", evening)), "scheduled");
  RegisterValue const first = trial.shared.held;
  EXPECT_EQ(trial.outcome(put("a", evening)), "scheduled");
  EXPECT_EQ(trial.shared.held, first) << "a repeat writes nothing";
  EXPECT_EQ(trial.outcome(put("a", R"({"opens_in_s":100,"lasts_s":51})")), "409 window_overlaps");
  HttpReply const list = trial.call(HttpRequest{"GET", "/maintenance", {}, ""});
  ASSERT_EQ(list.status, 200);
  Json const windows = Json::parse(list.body)["windows"];
  ASSERT_EQ(windows.size(), 1u);
  EXPECT_EQ(windows[0]["zone"], "a");
  EXPECT_EQ(windows[0]["requests"], 4);
  EXPECT_EQ(windows[0]["clear"], false);
  EXPECT_LT(windows[0]["left_s"], 100.0);
  EXPECT_EQ(trial.outcome(HttpRequest{"DELETE", "/maintenance/a", {}, ""}), "cancelled");
  EXPECT_EQ(trial.outcome(HttpRequest{"DELETE", "/maintenance/a", {}, ""}), "cancelled");
  EXPECT_EQ(trial.outcome(HttpRequest{"DELETE", "/maintenance/b", {}, ""}), "404 no_window");
}

// A zone whose backends are used rarely shows no load in most announcements.
TEST(MaintenanceInterface, a_zone_is_clear_only_after_no_load_was_announced_for_a_while) {
  MaintenanceInterfaceTrial trial;
  trial.registry.offers[0].services[0].running = 0;
  ASSERT_EQ(trial.outcome(put("a", R"({"opens_in_s":60,"lasts_s":50})")), "draining");
  auto const clear = [&] {
    HttpReply const list = trial.call(HttpRequest{"GET", "/maintenance", {}, ""});
    return Json::parse(list.body)["windows"][0].value("clear", false);
  };
  EXPECT_FALSE(clear());
  trial.sim.run_until(trial.sim.now + 10s);
  EXPECT_TRUE(clear());
  trial.registry.offers[0].services[0].running = 1;
  trial.sim.run_until(trial.sim.now + 1s);
  trial.registry.offers[0].services[0].running = 0;
  EXPECT_FALSE(clear());
  trial.sim.run_until(trial.sim.now + 10s);
  EXPECT_TRUE(clear());
}

TEST(MaintenanceInterface, unknown_zones_and_second_zones_are_refused_by_name) {
  MaintenanceInterfaceTrial trial;
  EXPECT_EQ(trial.outcome(put("nowhere", evening)), "404 unknown_zone");
  EXPECT_EQ(trial.outcome(put("a", evening)), "scheduled");
  EXPECT_EQ(trial.outcome(put("b", evening)), "409 other_zone");
  EXPECT_EQ(trial.outcome(put("b", R"({"opens_in_s":100,"lasts_s":50,"allow_second":true})")), "scheduled");
}

TEST(MaintenanceInterface, a_zone_that_the_others_cannot_stand_in_for_wants_force) {
  MaintenanceInterfaceTrial trial;
  trial.registry.offers[1].services[0].running = 9;
  trial.registry.offers[2].services[0].running = 8;
  EXPECT_EQ(trial.outcome(put("a", evening)), "409 no_capacity");
  EXPECT_EQ(trial.outcome(put("a", forced)), "scheduled");
  EXPECT_EQ(trial.outcome(put("a", evening)), "scheduled") << "a repeat is not judged again";
  MaintenanceInterfaceTrial crowded;
  crowded.registry.all.voters = initial_set({"10.0.0.1:2", "10.0.0.1:3", "10.0.0.3:2"}, 1);
  EXPECT_EQ(crowded.outcome(put("a", evening)), "409 no_quorum");
  EXPECT_EQ(crowded.outcome(put("a", forced)), "scheduled");
}

TEST(MaintenanceInterface, what_no_majority_has_taken_is_said_not_to_be_known) {
  MaintenanceInterfaceTrial trial;
  trial.shared.reachable = false;
  EXPECT_EQ(trial.outcome(put("a", evening)), "503 not_known_to_be_taken");
  EXPECT_EQ(trial.outcome(HttpRequest{"DELETE", "/maintenance/a", {}, ""}), "503 not_known_to_be_taken");
  trial.registry.current = false;
  EXPECT_EQ(trial.outcome(HttpRequest{"GET", "/maintenance", {}, ""}), "503 not_current");
}

}  // namespace
}  // namespace banktide
