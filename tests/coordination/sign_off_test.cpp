// Sign-offs: what a registry keeps of them, and when a node's recorder has a majority of the registries.
#include "coordination/sign_off_log.hpp"
#include "coordination/sign_off_recorder.hpp"

#include <gtest/gtest.h>

#include "simulation/sim_world.hpp"

namespace banktide {
namespace {

TEST(SignOffLog, keeps_the_latest_sign_offs_and_stays_small) {
  SignOffLog log;
  for (int i = 0; i < 6000; ++i) EXPECT_TRUE(log.add(SignOffRecord{{"i-" + std::to_string(i)}}));
  EXPECT_EQ(log.size(), SignOffLog::max_entries);
  EXPECT_TRUE(log.contains("i-5999"));
  EXPECT_FALSE(log.contains("i-0"));
}

TEST(SignOffLog, refuses_a_record_with_anything_invalid_as_a_whole) {
  SignOffLog log;
  EXPECT_FALSE(log.add(SignOffRecord{}));
  EXPECT_FALSE(log.add(SignOffRecord{{"i-1", ""}}));
  EXPECT_FALSE(log.add(SignOffRecord{{"i-1", std::string(SignOffLog::max_id_length + 1, 'x')}}));
  EXPECT_FALSE(log.add(SignOffRecord{std::vector<std::string>(SignOffLog::max_instances_per_record + 1, "i-1")}));
  EXPECT_EQ(log.size(), 0u);
}

/// Registries, and a node that records sign-offs with them.
struct RecorderTrial {
  explicit RecorderTrial(std::size_t const registries) {
    for (std::size_t i = 0; i < registries; ++i) {
      addresses.push_back("core-" + std::to_string(i) + ":1");
      processes.push_back(nullptr);
      logs.push_back(nullptr);
      dispatchers.push_back(nullptr);
      start_registry(i);
    }
    node = start_process("node:1");
    recorder = std::make_unique<SignOffRecorder<SimProcess>>(*node, [this] {
      return SignOffRegistries{addresses, count};
    });
    spawn(*node, recorder->repeat_loop());
    sim.run_until(sim.now + 10ms);
  }
  ~RecorderTrial() {
    sim.run_ready_handlers();
    for (std::shared_ptr<SimProcess> const& p : all) p->kill();
    sim.clear();
    sim.run_ready_handlers();
  }
  RecorderTrial(RecorderTrial const&) = delete;

  std::shared_ptr<SimProcess> start_process(Address const& address) {
    std::string const machine = address.substr(0, address.find(':'));
    std::shared_ptr<SimProcess> const p = std::make_shared<SimProcess>(sim, net, machine, address, all.size() + 1);
    all.push_back(p);
    net.at[address] = p;
    net.machine_of[address] = machine;
    return p;
  }
  void start_registry(std::size_t const i) {
    if (processes[i]) processes[i]->kill();
    processes[i] = start_process(addresses[i]);
    keep_alive.push_back(logs[i]);
    keep_alive.push_back(dispatchers[i]);
    logs[i] = std::make_shared<SignOffLog>();
    dispatchers[i] = std::make_shared<Dispatcher>();
    processes[i]->serve(*dispatchers[i]);
    logs[i]->attach(*dispatchers[i]);
  }
  bool record(std::string const& instance) {
    std::optional<bool> recorded;
    spawn(*node, [](RecorderTrial& t, std::string id, std::optional<bool>& result) -> Task<void> {
      result = co_await t.recorder->record_sign_off(id, t.node->now() + 800ms);
    }(*this, instance, recorded));
    sim.run_until(sim.now + 1500ms);
    return recorded.value_or(false);
  }
  std::optional<bool> has_signed_off(std::string const& instance) {
    std::optional<bool> known;
    spawn(*node, [](RecorderTrial& t, std::string id, std::optional<bool>& result) -> Task<void> {
      result = co_await t.recorder->has_signed_off(id, t.node->now() + 800ms);
    }(*this, instance, known));
    sim.run_until(sim.now + 1500ms);
    return known;
  }

  bool record_drain(std::string const& instance) {
    std::optional<bool> recorded;
    spawn(*node, [](RecorderTrial& t, std::string id, std::optional<bool>& result) -> Task<void> {
      result = co_await t.recorder->record_drain(id, t.node->now() + 800ms);
    }(*this, instance, recorded));
    sim.run_until(sim.now + 1500ms);
    return recorded.value_or(false);
  }
  std::optional<bool> is_draining(std::string const& instance) {
    std::optional<bool> known;
    spawn(*node, [](RecorderTrial& t, std::string id, std::optional<bool>& result) -> Task<void> {
      result = co_await t.recorder->is_draining(id, t.node->now() + 800ms);
    }(*this, instance, known));
    sim.run_until(sim.now + 1500ms);
    return known;
  }

  Sim sim{5};
  SimNet net{sim};
  std::vector<Address> addresses;
  std::size_t count = 0;  // the number of registries that the node was told
  std::vector<std::shared_ptr<SimProcess>> all, processes;
  std::vector<std::shared_ptr<SignOffLog>> logs;
  std::vector<std::shared_ptr<Dispatcher>> dispatchers;
  std::vector<std::shared_ptr<void>> keep_alive;
  std::shared_ptr<SimProcess> node;
  std::unique_ptr<SignOffRecorder<SimProcess>> recorder;
};

// Any minority of the registries may be down while a sign-off is recorded, and any other one when it is asked for.
TEST(SignOffRecorder, a_recorded_sign_off_is_found_whichever_minorities_are_down) {
  for (std::size_t down_first = 0; down_first < 3; ++down_first)
    for (std::size_t down_later = 0; down_later < 3; ++down_later) {
      RecorderTrial t(3);
      t.processes[down_first]->kill();
      EXPECT_TRUE(t.record("i-1"));
      t.addresses[down_first] = "core-" + std::to_string(down_first) + ":1";
      if (down_later != down_first) t.processes[down_later]->kill();
      if (down_later != down_first) t.start_registry(down_first);
      EXPECT_EQ(t.has_signed_off("i-1"), std::optional<bool>(true)) << down_first << " " << down_later;
      EXPECT_EQ(t.has_signed_off("i-2"), std::optional<bool>(false)) << down_first << " " << down_later;
    }
}

TEST(SignOffRecorder, records_and_knows_nothing_without_a_majority) {
  RecorderTrial t(3);
  t.processes[0]->kill();
  t.processes[1]->kill();
  EXPECT_FALSE(t.record("i-1"));
  EXPECT_EQ(t.has_signed_off("i-2"), std::nullopt);
  t.addresses.clear();
  EXPECT_FALSE(t.record("i-1"));
  EXPECT_EQ(t.has_signed_off("i-1"), std::nullopt);
}

// A node that has just started may know fewer registries than there are.
TEST(SignOffRecorder, a_majority_of_the_known_registries_is_not_enough_if_there_are_more) {
  RecorderTrial t(2);
  t.count = 4;
  EXPECT_FALSE(t.record("i-1"));
  EXPECT_EQ(t.has_signed_off("i-2"), std::nullopt);
  t.count = 3;
  EXPECT_TRUE(t.record("i-1"));
  EXPECT_EQ(t.has_signed_off("i-2"), std::optional<bool>(false));
}

// A drain is recorded by the same messages, and is not a sign-off.
TEST(SignOffRecorder, a_recorded_drain_is_found_and_is_no_sign_off) {
  RecorderTrial t(3);
  EXPECT_TRUE(t.record_drain("i-1"));
  EXPECT_EQ(t.is_draining("i-1"), std::optional<bool>(true));
  EXPECT_EQ(t.is_draining("i-2"), std::optional<bool>(false));
  EXPECT_EQ(t.has_signed_off("i-1"), std::optional<bool>(false));
  t.processes[0]->kill();
  t.processes[1]->kill();
  EXPECT_TRUE(t.record_drain("i-1")) << "it stands already";
  EXPECT_FALSE(t.record_drain("i-2"));
}

TEST(SignOffRecorder, repeats_a_sign_off_to_registries_that_were_restarted) {
  RecorderTrial t(3);
  EXPECT_TRUE(t.record("i-1"));
  for (std::size_t i = 0; i < 3; ++i) t.start_registry(i);
  t.sim.run_until(t.sim.now + 2s);
  for (std::shared_ptr<SignOffLog> const& log : t.logs) EXPECT_TRUE(log->contains("i-1"));
}

}  // namespace
}  // namespace banktide
