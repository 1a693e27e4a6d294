// A request whose client disconnects is cancelled at its backend, on each path it may have
// taken; tested from the client's socket to the backend's.
#include "tests/programs/client_leaves_trial.hpp"

namespace banktide {
namespace {

using Script = std::function<Task<void>(LeavingTrial&)>;

void play(Way const way, std::uint32_t const slots, Script const& script) { play_on(way, slots, {}, script); }

/** A client that has sent one request. */
Task<std::shared_ptr<TestClient>> ask(LeavingTrial& trial, std::string const route, std::string const attempt) {
  std::shared_ptr<TestClient> const client = std::make_shared<TestClient>(pool_io());
  co_await client->connect(trial.taker().clients());
  co_await client->send(request_to(route, attempt));
  co_return client;
}

/** Accepts a connection to the backend and expects that its next request is that attempt. */
Task<std::shared_ptr<Peer>> run_of(LeavingTrial& trial, std::string const attempt) {
  std::shared_ptr<Peer> const run = co_await trial.backend().accept();
  std::string const request = co_await run->next();
  EXPECT_NE(request.find(attempt), std::string::npos) << request;
  co_return run;
}

void expect_that_a_run_ends(Way const way) {
  play(way, 4, [](LeavingTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    client->close();
    bool const ended = co_await ends(run);
    EXPECT_TRUE(ended) << "the backend still works on what its client has left";
  });
}

TEST(ClientLeaves, a_run_beside_the_node_that_took_the_request_ends) { expect_that_a_run_ends(Way::same_node); }

TEST(ClientLeaves, a_run_beside_another_node_ends) { expect_that_a_run_ends(Way::same_zone); }

TEST(ClientLeaves, a_run_behind_a_gateway_ends) { expect_that_a_run_ends(Way::through_gateway); }

class ClientLeavesOnEachWay : public ::testing::TestWithParam<Way> {};

INSTANTIATE_TEST_SUITE_P(Ways, ClientLeavesOnEachWay,
                         ::testing::Values(Way::same_node, Way::same_zone, Way::through_gateway));

TEST_P(ClientLeavesOnEachWay, a_reset_ends_the_run_too) {
  play(GetParam(), 4, [](LeavingTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    client->reset();
    EXPECT_TRUE(co_await ends(run));
    EXPECT_TRUE(co_await until([&] { return trial.taker().node().idle() && trial.holder().node().idle(); }));
  });
}

TEST_P(ClientLeavesOnEachWay, the_freed_slot_is_used_by_the_next_request) {
  play(GetParam(), 1, [](LeavingTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const leaver = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const first = co_await run_of(trial, "a-1");
    std::shared_ptr<TestClient> const next = co_await ask(trial, "payments", "a-2");
    EXPECT_TRUE(co_await until([&] { return trial.taker().node().path().in_flight() == 2; }));
    leaver->close();
    std::shared_ptr<Peer> const second = co_await run_of(trial, "a-2");
    co_await second->send(answer("a-2", "done"));
    HttpReply const reply = co_await next->next();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "done");
  });
}

TEST_P(ClientLeavesOnEachWay, what_waits_for_a_slot_never_reaches_the_backend) {
  play(GetParam(), 1, [](LeavingTrial& trial) -> Task<void> {
    RequestPath<SocketEnvironment, LocalBackend<SocketEnvironment>>& path = trial.taker().node().path();
    std::shared_ptr<TestClient> const first = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    // Neither idempotent nor other requests may reach the backend after their client left.
    for (std::string const route : {"orders", "payments"}) {
      std::shared_ptr<TestClient> const leaver = co_await ask(trial, route, "a-left");
      EXPECT_TRUE(co_await until([&] { return path.in_flight() == 2; }));
      leaver->close();
      EXPECT_TRUE(co_await until([&] { return path.in_flight() == 1; }));
    }
    std::shared_ptr<TestClient> const last = co_await ask(trial, "orders", "a-2");
    EXPECT_TRUE(co_await until([&] { return path.in_flight() == 2; }));
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

TEST_P(ClientLeavesOnEachWay, what_may_not_be_repeated_runs_to_its_end) {
  play(GetParam(), 4, [](LeavingTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const leaver = co_await ask(trial, "payments", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    leaver->reset();
    EXPECT_TRUE(co_await until([&] { return trial.taker().server().connections() == 0; }));
    co_await run->send(answer("a-1", "done"));
    EXPECT_TRUE(co_await until([&] { return trial.taker().node().idle() && trial.holder().node().idle(); }));
    // The connection to the backend stays open: the next request uses it.
    std::shared_ptr<TestClient> const next = co_await ask(trial, "payments", "a-2");
    std::string const request = co_await run->next();
    EXPECT_NE(request.find("a-2"), std::string::npos) << request;
    co_await run->send(answer("a-2", "done too"));
    HttpReply const reply = co_await next->next();
    EXPECT_EQ(reply.body, "done too");
  });
}

TEST_P(ClientLeavesOnEachWay, who_ends_its_side_and_reads_on_is_told_at_once_that_its_request_was_ended) {
  play(GetParam(), 4, [](LeavingTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    client->end_sending();
    EXPECT_TRUE(co_await ends(run));
    HttpReply const reply = co_await client->next();
    EXPECT_EQ(reply.status, 502) << "it may have run, so that no promise is given";
    HttpReply const none = co_await client->next();
    EXPECT_EQ(none.status, 0);
  });
}

TEST_P(ClientLeavesOnEachWay, who_ends_its_side_still_reads_the_answer_to_what_may_not_be_repeated) {
  play(GetParam(), 4, [](LeavingTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "payments", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    client->end_sending();
    co_await run->send(answer("a-1", "posted"));
    HttpReply const reply = co_await client->next();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "posted");
  });
}

TEST_P(ClientLeavesOnEachWay, all_requests_of_one_connection_end) {
  play(GetParam(), 4, [](LeavingTrial& trial) -> Task<void> {
    TestClient client(pool_io());
    co_await client.connect(trial.taker().clients());
    co_await client.send(request_to("orders", "a-1") + request_to("orders", "a-2") + request_to("orders", "a-3"));
    std::vector<std::shared_ptr<Peer>> runs;
    for (int i = 1; i <= 3; ++i) {
      runs.push_back(co_await trial.backend().accept());
      std::string const request = co_await runs.back()->next();
      EXPECT_NE(request.find("X-Attempt: a-"), std::string::npos);
    }
    client.close();
    for (std::shared_ptr<Peer> const& run : runs) EXPECT_TRUE(co_await ends(run));
  });
}

TEST_P(ClientLeavesOnEachWay, a_client_that_leaves_counts_neither_as_a_failure_nor_as_a_refusal) {
  play(GetParam(), 4, [](LeavingTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const leaver = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    leaver->close();
    EXPECT_TRUE(co_await ends(run));
    RequestPath<SocketEnvironment, LocalBackend<SocketEnvironment>>& path = trial.taker().node().path();
    EXPECT_TRUE(co_await until([&] { return path.in_flight() == 0; }));
    EXPECT_EQ(path.counts().failed, 0u);
    EXPECT_EQ(path.counts().refused, 0u);
    EXPECT_EQ(path.counts().retried, 0u);
    EXPECT_EQ(path.departures().closed + path.departures().reset, 1u);
    EXPECT_FALSE(path.selector().avoided(trial.holder().peers(), std::chrono::steady_clock::now()));
  });
}

TEST_P(ClientLeavesOnEachWay, a_run_ends_though_the_nodes_are_leaving) {
  play(GetParam(), 4, [](LeavingTrial& trial) -> Task<void> {
    std::shared_ptr<TestClient> const client = co_await ask(trial, "orders", "a-1");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    trial.taker().node().leave();
    trial.taker().server().drain();
    trial.taker().server().close_listener();
    trial.holder().node().leave();
    client->close();
    EXPECT_TRUE(co_await ends(run));
    EXPECT_TRUE(co_await until([&] { return trial.taker().node().idle() && trial.holder().node().idle(); }));
  });
}

// A request that times out while its client still waits is cancelled in the same way.
TEST_P(ClientLeavesOnEachWay, what_lasts_longer_than_its_time_is_answered_and_ended) {
  play(GetParam(), 4, [](LeavingTrial& trial) -> Task<void> {
    TestClient client(pool_io());
    co_await client.connect(trial.taker().clients());
    co_await client.send("GET /thing HTTP/1.1\r\nHost: orders.test\r\nX-Attempt: a-1\r\nX-Remaining: 4000\r\n\r\n");
    std::shared_ptr<Peer> const run = co_await run_of(trial, "a-1");
    HttpReply const reply = co_await client.next();
    EXPECT_EQ(reply.status, 504);
    EXPECT_TRUE(co_await ends(run));
  });
}

}  // namespace
}  // namespace banktide
