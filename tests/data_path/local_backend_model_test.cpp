// A backend and its node under random leaves, new incarnations, late heartbeats and freezes. The fake
// backend records what it ran: each reply must belong to its request, no request may be sent twice,
// and a request reported as not run must never run.
#include "data_path/local_backend.hpp"

#include <gtest/gtest.h>

#include "simulation/sim_world.hpp"

#include <map>

namespace banktide {
namespace {

constexpr DataPathHeaders header_names{"attempt", "remaining", "target",     "answering", "key",
                                       "caller",  "not-run",   "load-level", "seal",      "tenant"};

using Runs = std::map<std::string, unsigned>;

/// At random refuses with or without the header, runs and answers, or fails with an unknown outcome.
class FaultyBackend : public BackendCaller {
 public:
  FaultyBackend(SimProcess& process, Runs& runs) : process_(process), runs_(runs) {}

  Task<Result<HttpReply>> call(BackendCall const call) override {
    std::string const id = call.attempt_id;
    std::uint64_t const choice = process_.chance()() % 10;
    HttpReply reply;
    reply.status = 503;
    if (choice == 0) co_return make_error("connect", "backend", "refused", Proof::not_run);
    if (choice == 1) {
      reply.headers.push_back({std::string(header_names.not_executed), "1"});
      co_return reply;
    }
    ++runs_[id];
    if (!co_await work(std::chrono::milliseconds(1 + process_.chance()() % 120), call.cancellation))
      co_return make_error("cancelled", "backend", "nobody waits for it", Proof::unknown);
    if (choice == 2) co_return reply;  // without the header it may have run
    if (choice == 3) co_return make_error("read", "backend", "reset", Proof::unknown);
    reply.status = choice == 4 ? 500 : 200;
    reply.body = id;
    co_return reply;
  }
  void close() override {}

 private:
  /// Returns whether the work was finished.
  Task<bool> work(Duration const takes, SharedCancellation const cancellation) {
    SimProcess::Alarm alarm(process_);
    CancellationListener const listener(cancellation, [&alarm] { alarm.wake(); });
    co_return co_await alarm.wait(process_.now() + takes);
  }

  SimProcess& process_;
  Runs& runs_;
};

class LocalBackendTrial {
 public:
  /// If `cancels` is set, every second request is cancelled, early or late.
  explicit LocalBackendTrial(std::uint64_t const seed, bool const cancels = false)
      : sim_(seed), net_(sim_), cancels_(cancels) {
    process_ = std::make_shared<SimProcess>(sim_, net_, "node", "node:1", 1);
    net_.at["node:1"] = process_;
    net_.machine_of["node:1"] = process_->machine;
    LocalBackendSettings settings;
    settings.node = "node";
    LocalBackend<SimProcess>::Events events;
    events.record_changed = [] {};
    events.ended = [](std::string const&, std::string const&, std::string const&) {};
    events.unreachable = [](std::string const&) {};
    events.left_undrained = [](std::string const&) {};
    events.connection_limit = [](std::string const&) { return std::size_t{10}; };
    ConnectionsFactory factory = [this](Address const&, std::size_t) {
      return std::make_unique<FaultyBackend>(*process_, runs_);
    };
    backend_ = std::make_unique<LocalBackend<SimProcess>>(*process_, settings, header_names, factory, events);
    send_heartbeat(false);
  }
  ~LocalBackendTrial() {
    process_->kill();
    sim_.clear();
  }
  LocalBackendTrial(LocalBackendTrial const&) = delete;

  void run_steps(unsigned const steps) {
    for (unsigned n = 0; n < steps; ++n) {
      spawn(*process_, send("r-" + std::to_string(n)));
      inject_event();
      sim_.run_until(sim_.now + std::chrono::milliseconds(sim_.chance() % 30));
    }
    if (process_->frozen) process_->thaw();
    sim_.run_until(sim_.now + 5s);
    EXPECT_EQ(replies_.size(), steps);
    EXPECT_EQ(backend_->in_flight(), 0u);
    EXPECT_EQ(backend_->load().running, 0u) << "every slot is free again";
    EXPECT_EQ(backend_->load().waiting, 0u);
  }

  void expect_guarantees_kept() {
    for (auto const& [id, reply] : replies_) {
      unsigned const ran = runs_.contains(id) ? runs_.at(id) : 0;
      EXPECT_LE(ran, 1u) << id;
      if (reply.outcome == Outcome::not_run) {
        EXPECT_EQ(ran, 0u) << id << ": " << reply.reason;
      }
      if (reply.outcome == Outcome::answered && reply.reply.status == 200) {
        EXPECT_EQ(reply.reply.body, id);
        ++answered;
      }
      refused += reply.outcome == Outcome::not_run;
      cancelled += reply.refusal == Refusal::cancelled;
      unknown += reply.outcome == Outcome::unknown;
    }
  }

  unsigned answered = 0, refused = 0, unknown = 0, cancelled = 0;

 private:
  Task<void> send(std::string const id) {
    Forward forward;
    forward.service = "orders";
    forward.target_latency_ms = 300;
    forward.remaining_ms = static_cast<std::uint32_t>(50 + sim_.chance() % 1000);
    forward.attempt_id = id;
    forward.request.headers = {{"Host", "orders.test"}};
    SharedCancellation const cancellation = std::make_shared<Cancellation>();
    if (cancels_) {
      forward.repeatable = sim_.chance() % 2 == 0;
      if (sim_.chance() % 2 == 0) cancel_soon(cancellation);
    }
    ForwardReply const reply = co_await backend_->run(std::move(forward), cancellation);
    replies_.emplace(id, reply);
  }

  void cancel_soon(SharedCancellation const& cancellation) {
    std::shared_ptr<SimProcess> const process = process_;
    sim_.after(std::chrono::milliseconds(sim_.chance() % 60),
               [process, cancellation] { process->run([cancellation] { cancellation->request(); }); });
  }

  void inject_event() {
    std::uint64_t const choice = sim_.chance() % 40;
    if (choice == 0) {
      backend_->leave(instance());
    } else if (choice == 1) {
      ++incarnation_;
      send_heartbeat(false);
    } else if (choice == 2 && !process_->frozen) {
      process_->freeze();
      std::shared_ptr<SimProcess> const frozen = process_;
      sim_.after(std::chrono::milliseconds(10 + sim_.chance() % 400), [frozen] { frozen->thaw(); });
    } else if (choice < 8) {
      send_heartbeat(choice == 3);
    }
  }

  std::string instance() const { return "i-" + std::to_string(incarnation_); }
  void send_heartbeat(bool const leaving) {
    BackendHeartbeat heartbeat;
    heartbeat.id = instance();
    heartbeat.service = "orders";
    heartbeat.address = "backend:1";
    heartbeat.slots = 4;
    // One in four is late: it was sent before one that has arrived.
    heartbeat.sequence = sim_.chance() % 4 == 0 && heartbeats_ > 3 ? heartbeats_ - 3 : ++heartbeats_;
    heartbeat.leaving = leaving;
    backend_->heartbeat(heartbeat);
  }

  Sim sim_;
  SimNet net_;
  std::shared_ptr<SimProcess> process_;
  Runs runs_;
  std::unique_ptr<LocalBackend<SimProcess>> backend_;
  std::map<std::string, ForwardReply> replies_;
  std::uint64_t incarnation_ = 1, heartbeats_ = 0;
  bool const cancels_;
};

class LocalBackendTrials : public testing::TestWithParam<std::uint64_t> {};

TEST_P(LocalBackendTrials, replies_belong_to_their_requests_and_refused_requests_never_run) {
  LocalBackendTrial trial(GetParam());
  trial.run_steps(600);
  trial.expect_guarantees_kept();
  EXPECT_GT(trial.answered, 20u);
  EXPECT_GT(trial.refused, 20u);
  EXPECT_GT(trial.unknown, 5u);
}

TEST_P(LocalBackendTrials, cancelled_requests_break_no_guarantee_and_leak_no_slot) {
  LocalBackendTrial trial(GetParam(), true);
  trial.run_steps(2400);
  trial.expect_guarantees_kept();
  EXPECT_GT(trial.answered, 20u);
  EXPECT_GT(trial.cancelled, 20u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, LocalBackendTrials, testing::Range<std::uint64_t>(1, 31));

}  // namespace
}  // namespace banktide
