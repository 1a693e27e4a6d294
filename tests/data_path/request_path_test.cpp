// Requests among nodes with scripted replies: retries depend on what the outcome proves, and a request
// is refused only if it has not run anywhere.
#include "data_path/request_path.hpp"

#include <gtest/gtest.h>

#include "simulation/sim_world.hpp"

namespace banktide {
namespace {

constexpr DataPathHeaders header_names{"attempt", "remaining", "target",     "answering", "key",
                                       "caller",  "not-run",   "load-level", "seal",      "tenant"};

ForwardReply answer(std::uint16_t const status) {
  ForwardReply reply;
  reply.outcome = Outcome::answered;
  reply.reply.status = status;
  reply.load.slots = 4;
  return reply;
}

ForwardReply refused(Refusal const refusal, std::uint32_t const retry_after_ms = 0) {
  ForwardReply reply;
  reply.outcome = Outcome::not_run;
  reply.refusal = refusal;
  reply.retry_after_ms = retry_after_ms;
  return reply;
}

ForwardReply unknown() { return ForwardReply{}; }

/** Accepts forwarded requests and returns the same reply each time. */
struct AnsweringNode {
  ForwardReply reply;
  Duration answers_after{};
  std::vector<Forward> seen;
  Dispatcher dispatcher;
  std::shared_ptr<SimProcess> process;

  Task<ForwardReply> run(Forward forward, SharedCancellation = nullptr) {
    seen.push_back(std::move(forward));
    if (answers_after > Duration::zero()) co_await sleep_for(*process, answers_after);
    co_return reply;
  }
};

struct RequestTrial {
  RequestTrial() : sim(11), net(sim) {
    own.process = start("own");
    configuration.services = {{"orders", "/health", 0, false, 0s}, {"accounts", "/health", 0, true, 0s}};
    configuration.routes = {route("orders", 0), route("accounts", 1)};
    RequestPathSettings settings;
    settings.own_address = "own:1";
    settings.zone = "zone-1";
    path = std::make_unique<RequestPath<SimProcess, AnsweringNode>>(*own.process, settings, header_names, own);
  }
  ~RequestTrial() {
    for (auto const& [address, process] : net.at) process->kill();
    sim.clear();
  }

  static Route route(std::string const& service, std::uint32_t const index) {
    Route r;
    r.name = service;
    r.host = service + ".test";
    r.prefix = "/";
    r.timeout = 2s;
    r.target_latency = 1s;
    r.attempt_limit = 2;
    r.targets = {WeightedService{index, 1}};
    return r;
  }

  std::shared_ptr<SimProcess> start(std::string const& name) {
    std::shared_ptr<SimProcess> process = std::make_shared<SimProcess>(sim, net, name, name + ":1", 1);
    net.at[name + ":1"] = process;
    net.machine_of[name + ":1"] = process->machine;
    return process;
  }

  /** Adds a node with a backend of `orders`, which the selector knows at once. */
  AnsweringNode& add_node(std::string const& name, ForwardReply const& reply, bool const local_zone = true) {
    AnsweringNode& node = *nodes.emplace_back(std::make_unique<AnsweringNode>());
    node.reply = reply;
    node.process = start(name);
    node.dispatcher.on<Forward>([&node](Forward f) { return node.run(std::move(f)); });
    node.process->serve(node.dispatcher);
    Endpoint endpoint;
    endpoint.node = name;
    endpoint.address = name + ":1";
    endpoint.zone = local_zone ? "zone-1" : "zone-2";
    endpoint.local_zone = local_zone;
    endpoint.slots = 4;
    endpoints.push_back(endpoint);
    path->selector().replace({{"orders", endpoints}});
    return node;
  }

  /** Assigns every key of `accounts` to the backend of this node. */
  void assign_keys_to(std::string const& node) {
    std::shared_ptr<KeyTable> table = std::make_shared<KeyTable>();
    table->add_holder(KeyHolderRecord{"i-1", node, node + ":1", "zone-1"});
    KeyRow row;
    row.to = last_key;
    row.holder = 0;
    row.fence = 1;
    table->services.push_back(KeyService{"accounts", {row}});
    path->set_keys(table);
  }

  void configure() { path->set_router(std::make_shared<Router>(configuration)); }
  void make_repeatable(std::uint32_t const attempt_limit) {
    for (Route& r : configuration.routes) {
      r.repeatable = true;
      r.attempt_limit = attempt_limit;
    }
  }

  static HttpRequest request(std::string const& service) {
    HttpRequest q;
    q.method = "GET";
    q.target = "/thing";
    q.headers = {{"Host", service + ".test"}, {"attempt", "a-1"}, {"key", "7"}};
    return q;
  }

  HttpReply send(HttpRequest q) {
    std::optional<HttpReply> out;
    spawn(*own.process, [](RequestTrial& t, HttpRequest request_to_send, std::optional<HttpReply>& to) -> Task<void> {
      std::shared_ptr<HttpExchange> exchange = std::make_shared<HttpExchange>();
      to = co_await t.path->handle(std::move(request_to_send), exchange);
    }(*this, std::move(q), out));
    sim.run_until(sim.now + 5s);
    EXPECT_TRUE(out.has_value());
    return out.value_or(HttpReply{});
  }

  std::size_t received_requests() const {
    std::size_t all = 0;
    for (std::unique_ptr<AnsweringNode> const& node : nodes) all += node->seen.size();
    return all;
  }

  Sim sim;
  SimNet net;
  AnsweringNode own;
  ServiceConfiguration configuration;
  std::vector<std::unique_ptr<AnsweringNode>> nodes;
  std::vector<Endpoint> endpoints;
  std::unique_ptr<RequestPath<SimProcess, AnsweringNode>> path;
};

bool has_retry_after(HttpReply const& reply) {
  return std::any_of(reply.headers.begin(), reply.headers.end(),
                     [](Header const& h) { return h.name == "Retry-After"; });
}

TEST(RequestPath, without_a_configuration_requests_are_refused) {
  RequestTrial trial;
  HttpReply const reply = trial.send(RequestTrial::request("orders"));
  EXPECT_EQ(reply.status, 503);
  EXPECT_TRUE(has_retry_after(reply));
}

TEST(RequestPath, a_host_without_a_route_is_not_found) {
  RequestTrial trial;
  trial.configure();
  EXPECT_EQ(trial.send(RequestTrial::request("nobody")).status, 404);
}

TEST(RequestPath, a_request_without_an_attempt_id_or_key_is_invalid) {
  RequestTrial trial;
  trial.configure();
  HttpRequest without_id = RequestTrial::request("orders");
  without_id.headers.erase(without_id.headers.begin() + 1);
  EXPECT_EQ(trial.send(without_id).status, 400);
  HttpRequest keyless = RequestTrial::request("accounts");
  keyless.headers.pop_back();
  EXPECT_EQ(trial.send(keyless).status, 400);
}

TEST(RequestPath, returns_the_reply_of_the_chosen_node) {
  RequestTrial trial;
  trial.configure();
  AnsweringNode const& node = trial.add_node("n-1", answer(201));
  EXPECT_EQ(trial.send(RequestTrial::request("orders")).status, 201);
  ASSERT_EQ(node.seen.size(), 1u);
  EXPECT_EQ(node.seen[0].attempt_id, "a-1");
  EXPECT_EQ(node.seen[0].service, "orders");
  EXPECT_FALSE(node.seen[0].crossed);
}

TEST(RequestPath, forwards_the_client_s_remaining_time) {
  RequestTrial trial;
  trial.configure();
  AnsweringNode const& node = trial.add_node("n-1", answer(200));
  HttpRequest q = RequestTrial::request("orders");
  q.headers.push_back({"remaining", "400"});
  trial.send(q);
  ASSERT_EQ(node.seen.size(), 1u);
  EXPECT_LE(node.seen[0].remaining_ms, 400u);
  EXPECT_GT(node.seen[0].remaining_ms, 0u);
}

TEST(RequestPath, a_request_that_was_not_run_goes_to_another_node_and_costs_no_retry) {
  RequestTrial trial;
  trial.configure();
  trial.add_node("n-1", refused(Refusal::busy, 40));
  trial.add_node("n-2", refused(Refusal::no_backend));
  trial.add_node("n-3", answer(200));
  for (int i = 0; i < 10; ++i) EXPECT_EQ(trial.send(RequestTrial::request("orders")).status, 200);
  EXPECT_EQ(trial.path->counts().retried, 0u);
}

TEST(RequestPath, a_request_to_a_node_that_is_gone_counts_as_not_run) {
  RequestTrial trial;
  trial.configure();
  trial.add_node("n-1", answer(200)).process->kill();
  trial.net.at.erase("n-1:1");
  trial.add_node("n-2", answer(200));
  for (int i = 0; i < 10; ++i) EXPECT_EQ(trial.send(RequestTrial::request("orders")).status, 200);
}

TEST(RequestPath, a_request_refused_everywhere_is_refused_with_a_retry_time) {
  RequestTrial trial;
  trial.configure();
  trial.add_node("n-1", refused(Refusal::busy, 90));
  trial.add_node("n-2", refused(Refusal::busy, 40));
  HttpReply const reply = trial.send(RequestTrial::request("orders"));
  EXPECT_EQ(reply.status, 503);
  ASSERT_TRUE(has_retry_after(reply));
  EXPECT_EQ(reply.headers.back().value, "0.040");
}

TEST(RequestPath, an_unknown_outcome_is_not_retried_if_the_route_is_not_repeatable) {
  RequestTrial trial;
  trial.configure();
  trial.add_node("n-1", unknown());
  trial.add_node("n-2", unknown());
  HttpReply const reply = trial.send(RequestTrial::request("orders"));
  EXPECT_EQ(reply.status, 502);
  EXPECT_FALSE(has_retry_after(reply));
  EXPECT_EQ(trial.received_requests(), 1u);
}

TEST(RequestPath, an_unknown_outcome_is_retried_if_the_route_is_repeatable) {
  RequestTrial trial;
  trial.make_repeatable(2);
  trial.configure();
  trial.add_node("n-1", unknown());
  trial.add_node("n-2", unknown());
  trial.add_node("n-3", unknown());
  EXPECT_EQ(trial.send(RequestTrial::request("orders")).status, 502);
  EXPECT_EQ(trial.received_requests(), 2u);
  EXPECT_EQ(trial.path->counts().retried, 1u);
}

TEST(RequestPath, a_failed_reply_of_a_repeatable_route_is_retried_elsewhere) {
  RequestTrial trial;
  trial.make_repeatable(3);
  trial.configure();
  trial.add_node("n-1", answer(500));
  trial.add_node("n-2", answer(500));
  HttpReply const reply = trial.send(RequestTrial::request("orders"));
  EXPECT_EQ(reply.status, 500);
  EXPECT_EQ(trial.received_requests(), 2u);
}

TEST(RequestPath, a_request_that_may_have_run_is_not_refused) {
  RequestTrial trial;
  trial.make_repeatable(4);
  trial.configure();
  AnsweringNode& first = trial.add_node("n-1", unknown());
  AnsweringNode& second = trial.add_node("n-2", refused(Refusal::busy, 40));
  for (int i = 0; i < 20; ++i) {
    std::size_t const arrived = first.seen.size();
    HttpReply const reply = trial.send(RequestTrial::request("orders"));
    std::uint16_t const expected = first.seen.size() > arrived ? 502 : 503;
    EXPECT_EQ(reply.status, expected);
  }
  EXPECT_GT(first.seen.size(), 0u);
  EXPECT_GT(second.seen.size(), 0u);
}

TEST(RequestPath, retries_stay_within_the_budget) {
  RequestTrial trial;
  trial.make_repeatable(2);
  trial.configure();
  // The nodes fail but are never avoided: a reply with status 500 is the backend's own.
  for (std::string const name : {"n-1", "n-2", "n-3"}) trial.add_node(name, answer(500));
  constexpr std::size_t requests = 60;
  std::vector<std::optional<HttpReply>> replies(requests);
  for (std::optional<HttpReply>& to : replies)
    spawn(*trial.own.process, [](RequestTrial& t, std::optional<HttpReply>& out) -> Task<void> {
      std::shared_ptr<HttpExchange> exchange = std::make_shared<HttpExchange>();
      HttpRequest q = RequestTrial::request("orders");
      out = co_await t.path->handle(std::move(q), exchange);
    }(trial, to));
  trial.sim.run_until(trial.sim.now + 5s);
  for (std::optional<HttpReply> const& reply : replies) {
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->status, 500);
  }
  RequestPathSettings const settings;
  EXPECT_EQ(trial.path->counts().retried, requests * settings.retry_percent / 100 + settings.retry_margin);
  EXPECT_EQ(trial.received_requests(), requests + trial.path->counts().retried);
}

TEST(RequestPath, clients_that_leave_are_counted_with_the_time_that_the_node_went_on_working) {
  RequestTrial trial;
  trial.configure();
  trial.add_node("n-1", answer(200)).answers_after = 700ms;
  std::shared_ptr<HttpExchange> const exchange = std::make_shared<HttpExchange>();
  spawn(*trial.own.process, [](RequestTrial& t, std::shared_ptr<HttpExchange> x) -> Task<void> {
    HttpRequest q = RequestTrial::request("orders");
    co_await t.path->handle(std::move(q), x);
  }(trial, exchange));
  trial.sim.run_until(trial.sim.now + 100ms);
  exchange->client = ClientState::finished_sending;
  ASSERT_TRUE(exchange->on_hang_up);
  exchange->on_hang_up(exchange->client);
  trial.sim.run_until(trial.sim.now + 5s);
  DepartureCounts const& counts = trial.path->departures();
  EXPECT_EQ(counts.closed, 1u);
  EXPECT_EQ(counts.reset, 0u);
  EXPECT_EQ(counts.outlived, 1u);
  EXPECT_GE(counts.outlived_ms, 500u);
  EXPECT_EQ(trial.send(RequestTrial::request("orders")).status, 200);
  EXPECT_EQ(counts.closed, 1u);
}

TEST(RequestPath, a_keyed_request_goes_only_to_the_holder_of_its_key) {
  RequestTrial trial;
  trial.configure();
  trial.add_node("n-1", answer(200));
  AnsweringNode& holder = trial.add_node("n-2", answer(200));
  trial.assign_keys_to("n-2");
  EXPECT_EQ(trial.send(RequestTrial::request("accounts")).status, 200);
  ASSERT_EQ(holder.seen.size(), 1u);
  EXPECT_EQ(holder.seen[0].key, 7);
  holder.reply = refused(Refusal::key_not_held);
  EXPECT_EQ(trial.send(RequestTrial::request("accounts")).status, 503);
  EXPECT_EQ(trial.received_requests(), 2u);
}

TEST(RequestPath, a_request_on_a_key_without_a_holder_is_refused) {
  RequestTrial trial;
  trial.configure();
  trial.add_node("n-1", answer(200));
  HttpReply const reply = trial.send(RequestTrial::request("accounts"));
  EXPECT_EQ(reply.status, 503);
  EXPECT_TRUE(has_retry_after(reply));
  EXPECT_EQ(trial.received_requests(), 0u);
}

TEST(RequestPath, a_request_to_another_zone_is_marked_as_crossed) {
  RequestTrial trial;
  trial.configure();
  AnsweringNode const& gateway = trial.add_node("n-far", answer(200), false);
  EXPECT_EQ(trial.send(RequestTrial::request("orders")).status, 200);
  ASSERT_EQ(gateway.seen.size(), 1u);
  EXPECT_TRUE(gateway.seen[0].crossed);
}

TEST(RequestPath, a_gateway_forwards_within_its_zone_only) {
  RequestTrial trial;
  AnsweringNode const& far = trial.add_node("n-far", answer(200), false);
  Forward forward;
  forward.service = "orders";
  forward.crossed = true;
  forward.remaining_ms = 1000;
  std::vector<Outcome> outcomes;
  auto const pass = [](RequestTrial& t, Forward f, std::vector<Outcome>& to) -> Task<void> {
    ForwardReply const none = refused(Refusal::busy);
    ForwardReply const reply = co_await t.path->pass_on(std::move(f), none);
    to.push_back(reply.outcome);
  };
  spawn(*trial.own.process, pass(trial, forward, outcomes));
  trial.sim.run_until(trial.sim.now + 2s);
  EXPECT_EQ(far.seen.size(), 0u);
  AnsweringNode const& near = trial.add_node("n-near", answer(200));
  spawn(*trial.own.process, pass(trial, forward, outcomes));
  trial.sim.run_until(trial.sim.now + 2s);
  EXPECT_EQ(outcomes, (std::vector<Outcome>{Outcome::not_run, Outcome::answered}));
  ASSERT_EQ(near.seen.size(), 1u);
  EXPECT_FALSE(near.seen[0].crossed);
}

HttpRequest request_with_key(std::string const& access_key) {
  HttpRequest q = RequestTrial::request("orders");
  q.headers.push_back({"Authorization", "Bearer " + access_key});
  return q;
}

// Guards against UNASKED: requests use their tenant's rank, and no other node gets the access key.
TEST(RequestPath, a_tenant_s_rank_overrides_the_route_s_and_its_key_is_not_forwarded) {
  RequestTrial t;
  for (Route& r : t.configuration.routes) r.rank = 3;
  t.configuration.tenants = std::vector<Tenant>{{"mill", {"k1"}, 6}, {"forge", {"k2"}, std::nullopt}};
  t.configure();
  AnsweringNode& node = t.add_node("n1", answer(200));
  EXPECT_EQ(t.send(request_with_key("k1")).status, 200);
  EXPECT_EQ(t.send(request_with_key("k2")).status, 200);
  ASSERT_EQ(node.seen.size(), 2u);
  EXPECT_EQ(node.seen[0].tenant, "mill");
  EXPECT_EQ(node.seen[0].rank, 6u);
  EXPECT_EQ(node.seen[1].tenant, "forge");
  EXPECT_EQ(node.seen[1].rank, 3u);
  for (Forward const& seen : node.seen) EXPECT_FALSE(has_header(seen.request.headers, "Authorization"));
}

// Guards against UNASKED: an access key given to another tenant counts for it from the next configuration on.
TEST(RequestPath, an_access_key_given_to_another_tenant_counts_for_it) {
  RequestTrial t;
  t.configuration.tenants = std::vector<Tenant>{{"mill", {"k1"}, std::nullopt}, {"forge", {}, std::nullopt}};
  t.configure();
  AnsweringNode& node = t.add_node("n1", answer(200));
  t.send(request_with_key("k1"));
  std::swap((*t.configuration.tenants)[0].access_keys, (*t.configuration.tenants)[1].access_keys);
  t.configure();
  t.send(request_with_key("k1"));
  ASSERT_EQ(node.seen.size(), 2u);
  EXPECT_EQ(node.seen[0].tenant, "mill");
  EXPECT_EQ(node.seen[1].tenant, "forge");
}

}  // namespace
}  // namespace banktide
