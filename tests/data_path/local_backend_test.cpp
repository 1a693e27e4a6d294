// A backend and its node: keyed requests wait briefly for a key that is about to be granted, and for no
// other; requests don't wait for a backend that ends or drains. Late heartbeats of a former
// incarnation must not replace the current one.
#include "data_path/local_backend.hpp"

#include <gtest/gtest.h>

#include "simulation/sim_world.hpp"

namespace banktide {
namespace {

constexpr DataPathHeaders header_names{"attempt", "remaining", "target",     "answering", "key",
                                       "caller",  "not-run",   "load-level", "seal",      "tenant"};

/** Answers every request with 200 after a short time, and counts them. */
class FastBackend : public BackendCaller {
 public:
  FastBackend(SimProcess& process, std::size_t& calls, std::function<void()> const& on_answer,
              std::string const& answering_instance)
      : process_(process), calls_(calls), on_answer_(on_answer), answering_instance_(answering_instance) {}
  Task<Result<HttpReply>> call(BackendCall) override {
    ++calls_;
    co_await sleep_for(process_, 10ms);
    if (on_answer_) on_answer_();
    HttpReply reply;
    reply.status = 200;
    if (!answering_instance_.empty())
      reply.headers.push_back({std::string(header_names.answering_instance), answering_instance_});
    co_return reply;
  }
  void close() override {}

 private:
  SimProcess& process_;
  std::size_t& calls_;
  std::function<void()> const& on_answer_;
  std::string const& answering_instance_;
};

struct LocalTrial {
  LocalTrial() : sim(3), net(sim) {
    process = std::make_shared<SimProcess>(sim, net, "node", "node:1", 1);
    net.at["node:1"] = process;
    net.machine_of["node:1"] = process->machine;
    table.revision = 1;
    table.add_holder(KeyHolderRecord{"i-1", "node", "node:1", "zone"});
    table.add_holder(KeyHolderRecord{"i-2", "other", "other:1", "zone"});
    table.services.push_back(KeyService{"accounts", {row(0, 99, 0), row(100, last_key, 1)}});
    LocalBackendSettings settings;
    settings.node = "node";
    LocalBackend<SimProcess>::Events events;
    events.record_changed = [] {};
    events.ended = [this](std::string const&, std::string const& instance, std::string const&) {
      ended.push_back(instance);
    };
    events.unreachable = [](std::string const&) {};
    events.left_undrained = [this](std::string const& instance) { left_undrained.push_back(instance); };
    events.health_path = [](std::string const&) { return std::string("/health"); };
    events.instances_without_proved_end = [this] { return listed; };
    events.connection_limit = [](std::string const&) { return std::size_t{10}; };
    ConnectionsFactory factory = [this](Address const&, std::size_t) {
      return std::make_unique<FastBackend>(*process, calls, on_answer, answering_instance);
    };
    backend = std::make_unique<LocalBackend<SimProcess>>(*process, settings, header_names, factory, events);
    backend->set_keys(&holder);
    send_heartbeat();
    holder.on_table(table);
    holder.on_confirmed(table.revision, process->now());
  }
  ~LocalTrial() {
    process->kill();
    sim.clear();
  }
  LocalTrial(LocalTrial const&) = delete;

  static KeyRow row(std::uint16_t const from, std::uint16_t const to, std::uint16_t const held_by) {
    KeyRow made;
    made.from = from;
    made.to = to;
    made.holder = held_by;
    made.fence = 1;
    return made;
  }
  /** Delivers a heartbeat without a reply yet. */
  void send_heartbeat(bool const leaving = false) {
    EXPECT_TRUE(handle(heartbeat_of("i-1", ++heartbeats, leaving)));
    KeyHeartbeat key_heartbeat;
    key_heartbeat.instance = "i-1";
    key_heartbeat.sequence = heartbeats;
    holder.take_heartbeat(process->now(), key_heartbeat);
  }
  static BackendHeartbeat heartbeat_of(std::string const& id, std::uint64_t const sequence,
                                       bool const leaving = false) {
    BackendHeartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.service = "accounts";
    heartbeat.address = "backend:1";
    heartbeat.slots = 4;
    heartbeat.sequence = sequence;
    heartbeat.leaving = leaving;
    return heartbeat;
  }
  bool handle(BackendHeartbeat const& heartbeat) { return backend->heartbeat(heartbeat); }
  /** Returns the instance that requests go to. */
  std::string current_instance() const {
    std::vector<BackendRecord> const records = backend->records();
    return records.empty() ? "" : records.front().instance;
  }
  void grant() {
    EXPECT_TRUE(holder.reply(process->now(), "i-1", heartbeats).renews);
    backend->keys_granted();
  }
  void send(std::uint16_t const key, SharedCancellation const cancellation = nullptr) {
    Forward forward;
    forward.service = "accounts";
    forward.keyed = true;
    forward.key = key;
    forward.target_latency_ms = 500;
    forward.remaining_ms = 1000;
    forward.attempt_id = "a-1";
    spawn(*process, run(std::move(forward), cancellation));
    run_for(1ms);
  }
  Task<void> run(Forward forward, SharedCancellation const cancellation) {
    Instant const began = process->now();
    ForwardReply reply = co_await backend->run(std::move(forward), cancellation);
    took = process->now() - began;
    replies.push_back(std::move(reply));
  }
  /** Asks the backend who it is. */
  bool identify() {
    std::optional<bool> proved;
    spawn(*process, [](LocalTrial& t, std::optional<bool>& result) -> Task<void> {
      result = co_await t.backend->identify("backend:1", "accounts");
    }(*this, proved));
    run_for(500ms);
    return proved.value_or(false);
  }
  void run_for(Duration const d) { sim.run_until(sim.now + d); }

  Sim sim;
  SimNet net;
  std::shared_ptr<SimProcess> process;
  KeyTable table;
  KeyGranter holder{"accounts", "node", "node:1", "zone", KeySettings{}, Instant{}};
  std::size_t calls = 0;
  std::function<void()> on_answer;
  std::string answering_instance;   // in the answers of the backend; empty: they name none
  std::vector<std::string> listed;  // instances known from elsewhere
  std::uint64_t heartbeats = 0;
  std::vector<std::string> ended, left_undrained;
  std::unique_ptr<LocalBackend<SimProcess>> backend;
  std::vector<ForwardReply> replies;
  Duration took{};
};

TEST(LocalBackend, a_request_waits_for_a_key_that_the_table_assigns_to_the_backend_and_runs_once_granted) {
  LocalTrial t;
  t.send(7);
  t.run_for(200ms);
  EXPECT_TRUE(t.replies.empty());
  EXPECT_EQ(t.backend->in_flight(), 1u);
  EXPECT_EQ(t.calls, 0u);
  t.grant();
  t.run_for(50ms);
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].outcome, Outcome::answered);
  EXPECT_EQ(t.calls, 1u);
  EXPECT_EQ(t.backend->in_flight(), 0u);
  t.send(8);
  t.run_for(15ms);
  EXPECT_EQ(t.replies.size(), 2u) << "a request doesn't wait for a key that is held";
}

TEST(LocalBackend, a_request_on_a_key_of_another_backend_is_refused_at_once) {
  LocalTrial t;
  t.send(100);
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].outcome, Outcome::not_run);
  EXPECT_EQ(t.replies[0].refusal, Refusal::key_not_held);
}

TEST(LocalBackend, a_request_does_not_wait_for_a_key_that_moves_to_another_backend) {
  LocalTrial t;
  ++t.table.revision;
  t.table.services[0].rows[0].moving = 2;
  t.table.services[0].rows[0].next = 1;
  t.holder.on_table(t.table);
  t.send(7);
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].refusal, Refusal::key_not_held);
}

TEST(LocalBackend, a_request_whose_key_is_not_granted_in_time_is_refused_while_the_client_can_still_retry) {
  LocalTrial t;
  t.send(7);
  t.run_for(1s);
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].outcome, Outcome::not_run);
  EXPECT_EQ(t.replies[0].refusal, Refusal::key_not_held);
  EXPECT_GT(t.replies[0].retry_after_ms, 0u);
  EXPECT_LE(t.took, 500ms);
  EXPECT_EQ(t.calls, 0u);
}

TEST(LocalBackend, a_request_that_waits_for_a_key_is_refused_at_once_when_the_backend_leaves) {
  LocalTrial t;
  t.send(7);
  t.backend->leave("i-1");
  t.run_for(20ms);
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].outcome, Outcome::not_run);
  EXPECT_EQ(t.replies[0].refusal, Refusal::no_backend);
  EXPECT_EQ(t.backend->in_flight(), 0u);
}

TEST(LocalBackend, a_backend_that_leaves_counts_as_ended_only_if_it_has_drained) {
  LocalTrial sudden;
  sudden.backend->leave("i-1");
  EXPECT_TRUE(sudden.ended.empty());
  EXPECT_EQ(sudden.left_undrained, std::vector<std::string>{"i-1"});
  LocalTrial drained;
  drained.send_heartbeat(true);
  drained.backend->leave("i-1");
  EXPECT_EQ(drained.ended, std::vector<std::string>{"i-1"});
  EXPECT_TRUE(drained.left_undrained.empty());
}

// Guards against a live backend that gets no more requests: a late heartbeat of a former incarnation arrived after its
// own.
TEST(LocalBackend, a_late_heartbeat_of_a_former_incarnation_does_not_replace_the_current_one) {
  LocalTrial t;
  t.run_for(300ms);
  EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-0", 7)));
  EXPECT_EQ(t.current_instance(), "i-1");
  t.run_for(700ms);
  t.send_heartbeat();
  EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-0", 8)));
  EXPECT_EQ(t.current_instance(), "i-1");
}

// Guards against a live backend that gets neither requests nor keys: two late heartbeats of a former incarnation
// arrived together while it paused, as it does between any two of its own.
TEST(LocalBackend, late_heartbeats_that_arrive_together_do_not_replace_the_current_incarnation) {
  for (Duration const pause : {Duration(100ms), Duration(1600ms), Duration(2400ms)}) {
    LocalTrial t;
    t.run_for(pause);
    EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-0", 7)));
    t.run_for(10ms);
    EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-0", 8)));
    EXPECT_EQ(t.current_instance(), "i-1") << pause.count();
  }
}

TEST(LocalBackend, a_live_instance_becomes_current_within_two_heartbeats_in_any_order) {
  for (bool const late_is_first : {false, true})
    for (int late = 1; late <= 3; ++late)
      for (Duration const pause : {Duration(50ms), Duration(400ms), Duration(1s), Duration(2500ms)}) {
        LocalTrial t;
        std::uint64_t former_sequence = 0, current_sequence = 0;
        if (late_is_first) t.handle(LocalTrial::heartbeat_of("i-old", ++former_sequence));
        t.run_for(pause);
        t.handle(LocalTrial::heartbeat_of("i-new", ++current_sequence));
        for (int i = 0; i < late; ++i) t.handle(LocalTrial::heartbeat_of("i-old", ++former_sequence));
        for (int i = 0; i < 2; ++i) {
          t.run_for(pause);
          t.handle(LocalTrial::heartbeat_of("i-new", ++current_sequence));
        }
        EXPECT_EQ(t.current_instance(), "i-new") << late_is_first << " " << late << " " << pause.count();
        EXPECT_TRUE(t.ended.empty()) << "nothing proves that a process has ended";
      }
}

TEST(LocalBackend, the_instance_that_names_itself_proves_the_end_of_all_others_known_before) {
  LocalTrial t;
  t.listed = {"i-listed"};
  EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-2", 1)));
  EXPECT_TRUE(t.backend->contends("i-2"));
  t.answering_instance = "i-2";
  EXPECT_TRUE(t.identify());
  EXPECT_EQ(t.ended, (std::vector<std::string>{"i-1", "i-listed"}));
  EXPECT_TRUE(t.handle(LocalTrial::heartbeat_of("i-2", 1)));
  EXPECT_EQ(t.current_instance(), "i-2");
  for (std::uint64_t n = 2; n < 12; ++n) {
    t.run_for(1s);
    EXPECT_TRUE(t.handle(LocalTrial::heartbeat_of("i-2", n)));
    for (std::uint64_t const late : {100 + 2 * n, 101 + 2 * n}) {
      t.run_for(100ms);
      EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-1", late)));
    }
  }
  EXPECT_EQ(t.current_instance(), "i-2");
}

TEST(LocalBackend, the_current_instance_that_names_itself_ends_the_one_that_contends) {
  LocalTrial t;
  EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-0", 7)));
  t.answering_instance = "i-1";
  EXPECT_TRUE(t.identify());
  EXPECT_EQ(t.ended, std::vector<std::string>{"i-0"});
  EXPECT_EQ(t.current_instance(), "i-1");
  EXPECT_FALSE(t.backend->contends("i-0"));
}

TEST(LocalBackend, an_answer_without_a_name_or_of_an_instance_never_heard_of_proves_nothing) {
  for (std::string const name : {"", "i-3"}) {
    LocalTrial t;
    EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-2", 1)));
    t.answering_instance = name;
    EXPECT_FALSE(t.identify());
    EXPECT_TRUE(t.ended.empty());
    EXPECT_EQ(t.current_instance(), "i-1");
  }
}

// The instance that follows the one that answered may have been heard while the answer was on its way.
TEST(LocalBackend, an_instance_first_heard_after_the_question_is_not_ended_by_its_answer) {
  LocalTrial t;
  t.answering_instance = "i-1";
  t.on_answer = [&t] { t.handle(LocalTrial::heartbeat_of("i-2", 1)); };
  EXPECT_TRUE(t.identify());
  EXPECT_TRUE(t.ended.empty());
  EXPECT_TRUE(t.backend->contends("i-2"));
}

// Guards against requests after an acknowledged sign-off: that of an instance that wasn't the current one was
// forgotten.
TEST(LocalBackend, a_sign_off_of_an_instance_that_is_not_the_current_one_is_kept) {
  LocalTrial t;
  t.backend->leave("i-2");
  EXPECT_EQ(t.left_undrained, std::vector<std::string>{"i-2"});
  EXPECT_EQ(t.current_instance(), "i-1");
  t.run_for(7s);
  EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-2", 1)));
  t.run_for(100ms);
  EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-2", 2)));
}
// Guards against requests after an acknowledged drain: the drain began anew when another instance had been current.
TEST(LocalBackend, a_drain_goes_on_when_another_instance_was_current_meanwhile) {
  LocalTrial t;
  t.send_heartbeat(true);
  t.run_for(4s);
  EXPECT_TRUE(t.handle(LocalTrial::heartbeat_of("i-0", 7)));
  t.run_for(4s);
  EXPECT_TRUE(t.handle(LocalTrial::heartbeat_of("i-1", 9)));
  ASSERT_EQ(t.backend->records().size(), 1u);
  EXPECT_EQ(t.backend->records().front().liveness, Liveness::leaving);
  t.send(7);
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].refusal, Refusal::no_backend);
  EXPECT_EQ(t.replies[0].reason, "backend is draining");
}

// The same, when the instance began to drain before it became the current one.
TEST(LocalBackend, a_drain_counts_from_its_first_heartbeat_also_while_another_instance_is_current) {
  LocalTrial t;
  EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-2", 1, true)));
  t.run_for(1600ms);
  EXPECT_TRUE(t.handle(LocalTrial::heartbeat_of("i-2", 2, true)));
  t.send(7);
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].reason, "backend is draining");
}

TEST(LocalBackend, a_heartbeat_sent_before_the_leave_starts_no_incarnation) {
  LocalTrial t;
  t.backend->leave("i-1");
  EXPECT_FALSE(t.handle(LocalTrial::heartbeat_of("i-1", 9)));
  EXPECT_EQ(t.current_instance(), "");
}

TEST(LocalBackend, the_number_of_requests_that_wait_for_keys_is_limited) {
  LocalTrial t;
  for (int i = 0; i < 70; ++i) t.send(7);
  EXPECT_EQ(t.backend->in_flight(), 64u);
  EXPECT_EQ(t.replies.size(), 6u);
}

TEST(LocalBackend, a_request_cancelled_while_it_waits_for_a_key_never_runs) {
  LocalTrial t;
  SharedCancellation const cancellation = std::make_shared<Cancellation>();
  t.send(7, cancellation);
  t.send(8);
  t.run_for(100ms);
  cancellation->request();
  t.run_for(1ms);
  ASSERT_EQ(t.replies.size(), 1u);
  EXPECT_EQ(t.replies[0].outcome, Outcome::not_run);
  EXPECT_EQ(t.replies[0].refusal, Refusal::cancelled);
  EXPECT_EQ(t.backend->in_flight(), 1u);
  t.grant();
  t.run_for(50ms);
  EXPECT_EQ(t.calls, 1u) << "only the other request";
}

TEST(LocalBackend, a_request_cancelled_in_the_queue_leaves_it_at_once_and_never_runs) {
  LocalTrial t;
  t.grant();
  SharedCancellation const cancellation = std::make_shared<Cancellation>();
  for (int i = 0; i < 4; ++i) t.send(7);
  t.send(7, cancellation);  // waits for one of the four slots
  t.run_for(5ms);
  EXPECT_EQ(t.backend->load().waiting, 1u);
  cancellation->request();
  EXPECT_EQ(t.backend->load().waiting, 0u);
  t.run_for(50ms);
  EXPECT_EQ(t.calls, 4u);
  EXPECT_EQ(t.backend->load().running, 0u);
  EXPECT_EQ(t.backend->in_flight(), 0u);
}

TEST(LocalBackend, a_slot_assigned_just_before_the_cancellation_is_released) {
  LocalTrial t;
  t.grant();
  SharedCancellation const cancellation = std::make_shared<Cancellation>();
  // Runs after the slot is assigned and before the request that gets it resumes.
  t.on_answer = [&] { asio::post(t.sim.io, [cancellation] { cancellation->request(); }); };
  for (int i = 0; i < 4; ++i) t.send(7);
  t.send(7, cancellation);
  t.run_for(5ms);
  EXPECT_EQ(t.backend->load().waiting, 1u);
  t.run_for(50ms);
  ASSERT_EQ(t.replies.size(), 5u);
  EXPECT_EQ(t.calls, 4u);
  EXPECT_EQ(t.backend->load().running, 0u) << "no slot is lost";
  EXPECT_EQ(t.backend->in_flight(), 0u);
}

}  // namespace
}  // namespace banktide
