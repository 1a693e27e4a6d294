// Requests among nodes that answer at random, late or not at all, while connections are reset and
// processes freeze, die and restart. Each node records what it ran: a client must get the reply to its
// own request, and a request that is not repeatable must run at most once.
#include "data_path/request_path.hpp"

#include <gtest/gtest.h>

#include "simulation/sim_world.hpp"

namespace banktide {
namespace {

constexpr DataPathHeaders header_names{"attempt", "remaining", "target",     "answering", "key",
                                       "caller",  "not-run",   "load-level", "seal",      "tenant"};

struct Runs {
  std::map<std::string, unsigned> by_id;
  std::uint64_t unknown = 0, refused = 0, answered = 0;
};

/// A node of a backend, which at random refuses, runs, or runs with an unknown outcome.
struct FaultyNode {
  std::shared_ptr<SimProcess> process;
  Runs* runs = nullptr;
  Dispatcher dispatcher;

  Task<ForwardReply> run(Forward const forward, SharedCancellation const cancellation = nullptr) {
    std::uint64_t const choice = process->chance()() % 10;
    ForwardReply reply;
    reply.load.slots = 4;
    if (is_cancelled(cancellation)) {
      reply.outcome = Outcome::not_run;
      reply.refusal = Refusal::cancelled;
      co_return reply;
    }
    if (choice < 6) {
      reply.outcome = Outcome::not_run;
      reply.refusal = choice % 2 == 0 ? Refusal::busy : Refusal::no_backend;
      reply.retry_after_ms = 10;
      co_return reply;
    }
    ++runs->by_id[forward.attempt_id];
    co_await sleep_for(*process, std::chrono::milliseconds(process->chance()() % 300));
    if (choice == 6) co_return reply;  // unknown outcome
    reply.outcome = Outcome::answered;
    reply.reply.status = choice == 7 ? 500 : 200;
    reply.reply.body = forward.attempt_id;
    co_return reply;
  }
};

class FaultyFleet {
 public:
  /// If `clients_leave` is set, one client in four disconnects before its reply.
  explicit FaultyFleet(std::uint64_t const seed, bool const clients_leave = false)
      : sim_(seed), net_(sim_), clients_leave_(clients_leave) {
    sim_.unreliable_links = true;
    own_.runs = &runs;
    own_.process = start("own");
    ServiceConfiguration configuration;
    configuration.services = {{"orders", "/health", 0, false, 0s}};
    configuration.routes = {route("once", false), route("often", true)};
    RequestPathSettings settings;
    settings.own_address = "own:1";
    settings.zone = "zone-1";
    path_ = std::make_unique<RequestPath<SimProcess, FaultyNode>>(*own_.process, settings, header_names, own_);
    path_->set_router(std::make_shared<Router>(configuration));
    std::vector<Endpoint> endpoints;
    for (std::string const name : {"n-1", "n-2", "n-3", "n-4"}) {
      nodes_[name].runs = &runs;
      restart(name);
      Endpoint endpoint;
      endpoint.node = name;
      endpoint.address = name + ":1";
      endpoint.zone = "zone-1";
      endpoint.local_zone = true;
      endpoint.slots = 4;
      endpoints.push_back(endpoint);
    }
    path_->selector().replace({{"orders", endpoints}});
  }
  ~FaultyFleet() {
    for (std::shared_ptr<SimProcess> const& process : all_) process->kill();
    sim_.clear();
  }
  FaultyFleet(FaultyFleet const&) = delete;

  void run_requests(unsigned const requests) {
    inject_fault();
    for (unsigned n = 0; n < requests; ++n) {
      bool const repeatable = n % 2 == 0;
      spawn(*own_.process, send_request("r-" + std::to_string(n), repeatable));
      sim_.run_until(sim_.now + std::chrono::milliseconds(sim_.chance() % 40));
    }
    stopped_ = true;
    sim_.run_until(sim_.now + 10s);
    EXPECT_EQ(finished_, requests);
    EXPECT_EQ(path_->in_flight(), 0u);
  }
  std::uint64_t departed() const { return path_->departures().closed + path_->departures().reset; }

  Runs runs;

 private:
  static Route route(std::string const& host, bool const repeatable) {
    Route r;
    r.name = host;
    r.host = host + ".test";
    r.prefix = "/";
    r.timeout = 2s;
    r.target_latency = 1s;
    r.attempt_limit = 3;
    r.repeatable = repeatable;
    r.targets = {WeightedService{0, 1}};
    return r;
  }

  std::shared_ptr<SimProcess> start(std::string const& name) {
    std::shared_ptr<SimProcess> process = std::make_shared<SimProcess>(sim_, net_, name, name + ":1", ++incarnations_);
    net_.at[name + ":1"] = process;
    net_.machine_of[name + ":1"] = name;
    all_.push_back(process);
    return process;
  }
  void restart(std::string const& name) {
    FaultyNode& node = nodes_[name];
    if (node.process) node.process->kill();
    node.process = start(name);
    node.dispatcher.on<Forward>([&node](Forward f, SharedCancellation cancellation) {
      return node.run(std::move(f), std::move(cancellation));
    });
    node.process->serve(node.dispatcher);
  }

  void inject_fault() {
    if (stopped_) return;
    std::string const name = "n-" + std::to_string(1 + sim_.chance() % 4);
    Duration const duration = std::chrono::milliseconds(20 + sim_.chance() % 1500);
    std::uint64_t const choice = sim_.chance() % 4;
    if (choice == 0) {
      restart(name);
    } else if (choice == 1) {
      freeze_for(nodes_[name].process, duration);
    } else if (choice == 2) {
      freeze_for(own_.process, duration / 3);
    } else {
      sim_.cut("own", name);
      sim_.after(duration, [this] { sim_.heal(); });
    }
    sim_.after(std::chrono::milliseconds(50 + sim_.chance() % 300), [this] { inject_fault(); });
  }
  void freeze_for(std::shared_ptr<SimProcess> const& process, Duration const duration) {
    if (process->frozen) return;
    process->freeze();
    sim_.after(duration, [process] {
      if (process->alive) process->thaw();
    });
  }

  Task<void> send_request(std::string const id, bool const repeatable) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/thing";
    request.headers = {{"Host", repeatable ? "often.test" : "once.test"}, {"attempt", id}};
    std::shared_ptr<HttpExchange> const exchange = std::make_shared<HttpExchange>();
    if (clients_leave_ && sim_.chance() % 4 == 0) leave_soon(exchange);
    HttpReply const reply = co_await path_->handle(std::move(request), exchange);
    exchange->on_hang_up = nullptr;
    ++finished_;
    check_reply(id, repeatable, reply);
  }

  void leave_soon(std::shared_ptr<HttpExchange> const& exchange) {
    sim_.after(std::chrono::milliseconds(sim_.chance() % 400), [this, exchange] {
      own_.process->run([this, exchange] {
        exchange->client = sim_.chance() % 2 == 0 ? ClientState::gone : ClientState::finished_sending;
        if (exchange->on_hang_up) exchange->on_hang_up(exchange->client);
      });
    });
  }

  void check_reply(std::string const& id, bool const repeatable, HttpReply const& reply) {
    bool const guarantees_no_run = reply.status == 503 || reply.status == 429;
    if (reply.status == 200) {
      ++runs.answered;
      EXPECT_EQ(reply.body, id);
    } else if (guarantees_no_run) {
      ++runs.refused;
      if (!repeatable) refused_.push_back(id);
    } else {
      ++runs.unknown;
    }
  }

 public:
  /// To be called at the end, as a request may run late.
  void expect_guarantees_kept() {
    for (auto const& [id, count] : runs.by_id) {
      bool const repeatable = std::stoul(id.substr(2)) % 2 == 0;
      EXPECT_LE(count, repeatable ? 3u : 1u) << id;
    }
    for (std::string const& id : refused_) EXPECT_FALSE(runs.by_id.contains(id)) << id << " was refused as not run";
  }

 private:
  Sim sim_;
  SimNet net_;
  FaultyNode own_;
  std::map<std::string, FaultyNode> nodes_;
  std::vector<std::shared_ptr<SimProcess>> all_;
  std::unique_ptr<RequestPath<SimProcess, FaultyNode>> path_;
  std::vector<std::string> refused_;
  std::uint64_t incarnations_ = 0;
  unsigned finished_ = 0;
  bool stopped_ = false;
  bool const clients_leave_;
};

class FaultyFleets : public testing::TestWithParam<std::uint64_t> {};

TEST_P(FaultyFleets, clients_get_their_own_replies_and_no_unrepeatable_request_runs_twice) {
  FaultyFleet fleet(GetParam());
  fleet.run_requests(400);
  fleet.expect_guarantees_kept();
  EXPECT_GT(fleet.runs.answered, 50u);
  EXPECT_GT(fleet.runs.refused, 5u);
  EXPECT_GT(fleet.runs.unknown, 20u);
}

TEST_P(FaultyFleets, clients_that_leave_break_no_guarantee) {
  FaultyFleet fleet(GetParam(), true);
  fleet.run_requests(400);
  fleet.expect_guarantees_kept();
  EXPECT_GT(fleet.departed(), 20u);
  EXPECT_GT(fleet.runs.answered, 50u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, FaultyFleets, testing::Range<std::uint64_t>(1, 31));

}  // namespace
}  // namespace banktide
