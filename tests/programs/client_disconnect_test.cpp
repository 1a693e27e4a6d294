// A request whose client disconnects is cancelled at its backend, on each path it may have
// taken; tested from the client's socket to the backend's.
#include "tests/programs/client_disconnect_trial.hpp"

namespace banktide {
namespace {

using Script = std::function<Task<void>(RoutingPathTrial&)>;

void run_script(RoutingPath const routing_path, std::uint32_t const slots, Script const& script) {
  run_script_on(routing_path, slots, {}, script);
}

/** A client that has sent one request. */
Task<std::shared_ptr<TestClient>> ask(RoutingPathTrial& trial, std::string const route, std::string const attempt) {
  std::shared_ptr<TestClient> const client = std::make_shared<TestClient>(pool_io());
  co_await client->connect(trial.ingress().clients());
  co_await client->send(request_to(route, attempt));
  co_return client;
}

/** Accepts a connection to the backend and expects that its next request is that attempt. */
Task<std::shared_ptr<Peer>> run_of(RoutingPathTrial& trial, std::string const attempt) {
  std::shared_ptr<Peer> const run = co_await trial.backend().accept();
  std::string const request = co_await run->next();
  EXPECT_NE(request.find(attempt), std::string::npos) << request;
  co_return run;
}

void expect_cancellation_at_backend(RoutingPath const routing_path) {
  run_script(routing_path, 4, [](RoutingPathTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    client->close();
    bool const ended = co_await wait_for_end(run);
    EXPECT_TRUE(ended) << "the backend still works on the request of a disconnected client";
  });
}

TEST(ClientDisconnect, a_request_at_the_ingress_nodes_own_backend_is_cancelled) {
  expect_cancellation_at_backend(RoutingPath::same_node);
}

TEST(ClientDisconnect, a_request_at_another_nodes_backend_is_cancelled) {
  expect_cancellation_at_backend(RoutingPath::same_zone);
}

TEST(ClientDisconnect, a_request_behind_a_gateway_is_cancelled) {
  expect_cancellation_at_backend(RoutingPath::through_gateway);
}

class ClientDisconnectOnEachPath : public ::testing::TestWithParam<RoutingPath> {};

INSTANTIATE_TEST_SUITE_P(Paths, ClientDisconnectOnEachPath,
                         ::testing::Values(RoutingPath::same_node, RoutingPath::same_zone,
                                           RoutingPath::through_gateway));

TEST_P(ClientDisconnectOnEachPath, a_reset_cancels_the_request_too) {
  run_script(GetParam(), 4, [](RoutingPathTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    client->reset();
    EXPECT_TRUE(co_await wait_for_end(run));
    EXPECT_TRUE(
        co_await wait_until([&] { return trial.ingress().node().idle() && trial.backend_node().node().idle(); }));
  });
}

TEST_P(ClientDisconnectOnEachPath, the_freed_slot_is_used_by_the_next_request) {
  run_script(GetParam(), 1, [](RoutingPathTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const leaving_client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const first = co_await run_of(trial, "a-1");
    std::shared_ptr<TestClient> const next = co_await ask(trial, "payments", "a-2");
    EXPECT_TRUE(co_await wait_until([&] { return trial.ingress().node().path().in_flight() == 2; }));
    leaving_client->close();
    std::shared_ptr<Peer> const second = co_await run_of(trial, "a-2");
    co_await second->send(answer("a-2", "done"));
    HttpReply const reply = co_await next->next();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "done");
  });
}

TEST_P(ClientDisconnectOnEachPath, a_request_that_waits_for_a_slot_never_reaches_the_backend) {
  run_script(GetParam(), 1, [](RoutingPathTrial& trial) -> Task<void> {
    RequestPath<SocketEnvironment, LocalBackend<SocketEnvironment>>& path = trial.ingress().node().path();
    std::shared_ptr<TestClient> const first = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    // Neither idempotent nor other requests may reach the backend after their client left.
    for (std::string const route : {"orders", "payments"}) {
      std::shared_ptr<TestClient> const leaving_client = co_await ask(trial, route, "a-left");
      EXPECT_TRUE(co_await wait_until([&] { return path.in_flight() == 2; }));
      leaving_client->close();
      EXPECT_TRUE(co_await wait_until([&] { return path.in_flight() == 1; }));
    }
    std::shared_ptr<TestClient> const last = co_await ask(trial, "orders", "a-2");
    EXPECT_TRUE(co_await wait_until([&] { return path.in_flight() == 2; }));
    co_await run->send(answer("a-1", "one"));
    std::string const request = co_await run->next();
    EXPECT_NE(request.find("a-2"), std::string::npos) << request;
    co_await run->send(answer("a-2", "two"));
    HttpReply const one = co_await first->next();
    HttpReply const two = co_await last->next();
    EXPECT_EQ(one.body, "one");
    EXPECT_EQ(two.body, "two");
  });
}

TEST_P(ClientDisconnectOnEachPath, a_request_that_may_not_be_repeated_runs_to_its_end) {
  run_script(GetParam(), 4, [](RoutingPathTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const leaving_client = co_await ask(trial, "payments", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    leaving_client->reset();
    EXPECT_TRUE(co_await wait_until([&] { return trial.ingress().server().connections() == 0; }));
    co_await run->send(answer("a-1", "done"));
    EXPECT_TRUE(
        co_await wait_until([&] { return trial.ingress().node().idle() && trial.backend_node().node().idle(); }));
    // The connection to the backend stays open: the next request uses it.
    std::shared_ptr<TestClient> const next = co_await ask(trial, "payments", "a-2");
    std::string const request = co_await run->next();
    EXPECT_NE(request.find("a-2"), std::string::npos) << request;
    co_await run->send(answer("a-2", "done too"));
    HttpReply const reply = co_await next->next();
    EXPECT_EQ(reply.body, "done too");
  });
}

TEST_P(ClientDisconnectOnEachPath, a_half_closed_client_is_told_at_once_that_its_request_was_cancelled) {
  run_script(GetParam(), 4, [](RoutingPathTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    client->end_sending();
    EXPECT_TRUE(co_await wait_for_end(run));
    HttpReply const reply = co_await client->next();
    EXPECT_EQ(reply.status, 502) << "it may have run, so that no promise is given";
    HttpReply const none = co_await client->next();
    EXPECT_EQ(none.status, 0);
  });
}

TEST_P(ClientDisconnectOnEachPath, a_half_closed_client_gets_the_answer_to_a_request_that_may_not_be_repeated) {
  run_script(GetParam(), 4, [](RoutingPathTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "payments", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    client->end_sending();
    co_await run->send(answer("a-1", "posted"));
    HttpReply const reply = co_await client->next();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "posted");
  });
}

TEST_P(ClientDisconnectOnEachPath, all_requests_of_one_connection_are_cancelled) {
  run_script(GetParam(), 4, [](RoutingPathTrial& trial) -> Task<void> {
    TestClient client(pool_io());
    co_await client.connect(trial.ingress().clients());
    co_await client.send(request_to("orders", "a-1") + request_to("orders", "a-2") + request_to("orders", "a-3"));
    std::vector<std::shared_ptr<Peer>> runs;
    for (int i = 1; i <= 3; ++i) {
      runs.push_back(co_await trial.backend().accept());
      std::string const request = co_await runs.back()->next();
      EXPECT_NE(request.find("X-Attempt: a-"), std::string::npos);
    }
    client.close();
    for (std::shared_ptr<Peer> const& run : runs) EXPECT_TRUE(co_await wait_for_end(run));
  });
}

TEST_P(ClientDisconnectOnEachPath, a_disconnected_client_counts_neither_as_a_failure_nor_as_a_refusal) {
  run_script(GetParam(), 4, [](RoutingPathTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const leaving_client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    leaving_client->close();
    EXPECT_TRUE(co_await wait_for_end(run));
    RequestPath<SocketEnvironment, LocalBackend<SocketEnvironment>>& path = trial.ingress().node().path();
    EXPECT_TRUE(co_await wait_until([&] { return path.in_flight() == 0; }));
    EXPECT_EQ(path.counts().failed, 0u);
    EXPECT_EQ(path.counts().refused, 0u);
    EXPECT_EQ(path.counts().retried, 0u);
    EXPECT_EQ(path.departures().closed + path.departures().reset, 1u);
    EXPECT_FALSE(path.selector().avoided(trial.backend_node().peers(), std::chrono::steady_clock::now()));
  });
}

TEST_P(ClientDisconnectOnEachPath, a_request_is_cancelled_also_while_the_nodes_shut_down) {
  run_script(GetParam(), 4, [](RoutingPathTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    trial.ingress().node().leave();
    trial.ingress().server().drain();
    trial.ingress().server().close_listener();
    trial.backend_node().node().leave();
    client->close();
    EXPECT_TRUE(co_await wait_for_end(run));
    EXPECT_TRUE(
        co_await wait_until([&] { return trial.ingress().node().idle() && trial.backend_node().node().idle(); }));
  });
}

// A request that times out while its client still waits is cancelled in the same way.
TEST_P(ClientDisconnectOnEachPath, a_request_that_exceeds_its_time_is_answered_and_cancelled) {
  run_script(GetParam(), 4, [](RoutingPathTrial& trial) -> Task<void> {
    TestClient client(pool_io());
    co_await client.connect(trial.ingress().clients());
    co_await client.send("GET /thing HTTP/1.1\r\nHost: orders.test\r\nX-Attempt: a-1\r\nX-Remaining: 4000\r\n\r\n");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    HttpReply const reply = co_await client.next();
    EXPECT_EQ(reply.status, 504);
    EXPECT_TRUE(co_await wait_for_end(run));
  });
}

}  // namespace
}  // namespace banktide
