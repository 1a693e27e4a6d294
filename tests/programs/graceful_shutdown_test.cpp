// Graceful shutdown: the state machine alone, and whole nodes from the client's socket to
// the backend's.
#include "programs/graceful_shutdown.hpp"

#include "tests/programs/client_disconnect_trial.hpp"

namespace banktide {
namespace {

constexpr Duration notice = 3200ms;
constexpr Duration grace = 5400ms;
constexpr Instant start = Instant{} + 1000s;

TEST(GracefulShutdown, before_the_signal_a_process_accepts_everything_and_never_exits) {
  GracefulShutdown shutdown(notice, grace);
  EXPECT_FALSE(shutdown.leaving());
  EXPECT_TRUE(shutdown.accepts(start, start + 1h));
  EXPECT_FALSE(shutdown.may_exit(start, PendingWork{}));
}

// Guards against LOST: requests accepted 3.0 to 3.2 s after SIGTERM were cut off when the process exited.
TEST(GracefulShutdown, accepts_no_request_that_may_outlast_the_grace_period) {
  for (Duration elapsed = 0ms; elapsed <= grace; elapsed += 50ms)
    for (Duration duration = 50ms; duration <= grace; duration += 50ms) {
      GracefulShutdown shutdown(notice, grace);
      shutdown.begin(start);
      bool const taken = shutdown.accepts(start + elapsed, start + elapsed + duration);
      EXPECT_EQ(taken, elapsed <= notice && elapsed + duration <= grace) << elapsed.count() << " " << duration.count();
    }
}

TEST(GracefulShutdown, a_second_signal_does_not_extend_the_grace_period) {
  GracefulShutdown shutdown(notice, grace);
  shutdown.begin(start);
  shutdown.begin(start + 2s);
  EXPECT_FALSE(shutdown.accepts(start + 2s, start + grace + 1ms));
  EXPECT_TRUE(shutdown.may_exit(start + grace, PendingWork{1, 1, 1}));
}

TEST(GracefulShutdown, exits_only_after_no_work_was_pending_for_a_moment) {
  for (PendingWork const pending_work : {PendingWork{1, 0, 0}, PendingWork{0, 1, 0}, PendingWork{0, 0, 1}}) {
    GracefulShutdown shutdown(notice, grace);
    shutdown.begin(start);
    Instant const after = start + notice + 1ms;
    EXPECT_FALSE(shutdown.may_exit(start + notice, PendingWork{})) << "clients may still come";
    EXPECT_FALSE(shutdown.may_exit(after, PendingWork{}));
    EXPECT_FALSE(shutdown.may_exit(after + GracefulShutdown::settle_time, pending_work)) << "new work came in between";
    EXPECT_FALSE(shutdown.may_exit(after + 2 * GracefulShutdown::settle_time, PendingWork{}));
    EXPECT_TRUE(shutdown.may_exit(after + 3 * GracefulShutdown::settle_time, PendingWork{}));
  }
}

TEST(GracefulShutdown, exits_after_the_grace_period_whatever_is_pending) {
  GracefulShutdown shutdown(notice, grace);
  shutdown.begin(start);
  EXPECT_FALSE(shutdown.may_exit(start + grace - 1ms, PendingWork{1, 1, 1}));
  EXPECT_TRUE(shutdown.may_exit(start + grace, PendingWork{1, 1, 1}));
}

using Script = std::function<Task<void>(RoutingPathTrial&)>;

void run_script(RoutingPath const routing_path, Script const& script) { run_script_on(routing_path, 4, {}, script); }

std::string request_lasting(std::string const& attempt, Duration const lasting) {
  return "GET /thing HTTP/1.1\r\nHost: payments.test\r\nX-Attempt: " + attempt +
         "\r\nX-Remaining: " + std::to_string(as_ms(lasting)) + "\r\n\r\n";
}

class GracefulShutdownOnEachPath : public ::testing::TestWithParam<RoutingPath> {};

INSTANTIATE_TEST_SUITE_P(Paths, GracefulShutdownOnEachPath,
                         ::testing::Values(RoutingPath::same_node, RoutingPath::same_zone,
                                           RoutingPath::through_gateway));

// Guards against LOST: a node that was shutting down accepted requests that it couldn't finish.
TEST_P(GracefulShutdownOnEachPath, requests_that_may_outlast_the_node_are_refused_and_others_run) {
  run_script(GetParam(), [](RoutingPathTrial& trial) -> Task<void> {
    trial.ingress().node().leave();
    TestClient client(pool_io());
    co_await client.connect(trial.ingress().clients());
    co_await client.send(request_lasting("a-1", 60s));
    HttpReply const refused = co_await client.next();
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(has_header(refused.headers, "Retry-After"));
    co_await client.send(request_lasting("a-2", 4s));
    std::shared_ptr<Peer> const run = co_await trial.backend().accept();
    std::string const request = co_await run->next();
    EXPECT_NE(request.find("a-2"), std::string::npos) << request;
    co_await run->send(answer("a-2", "done"));
    HttpReply const reply = co_await client.next();
    EXPECT_EQ(reply.status, 200);
  });
}

// Guards against LOST: a gateway that was shutting down didn't count the requests it had forwarded.
TEST(GracefulShutdown, a_gateway_counts_forwarded_requests_as_pending) {
  run_script(RoutingPath::through_gateway, [](RoutingPathTrial& trial) -> Task<void> {
    TestClient client(pool_io());
    co_await client.connect(trial.ingress().clients());
    co_await client.send(request_lasting("a-1", 60s));
    std::shared_ptr<Peer> const run = co_await trial.backend().accept();
    co_await run->next();
    EXPECT_EQ(trial.gateway().node().pending_work().requests, 1u);
    EXPECT_EQ(trial.backend_node().node().pending_work().requests, 2u)
        << "accepted from the gateway, and in flight at the backend";
    co_await run->send(answer("a-1", "done"));
    HttpReply const reply = co_await client.next();
    EXPECT_EQ(reply.status, 200);
    EXPECT_TRUE(co_await wait_until([&] { return trial.gateway().node().pending_work().empty(); }));
  });
}

// Guards against LOST: a node exited before it had written complete responses of its backend.
TEST_P(GracefulShutdownOnEachPath, an_answer_is_pending_until_its_last_byte_is_written) {
  run_script(GetParam(), [](RoutingPathTrial& trial) -> Task<void> {
    constexpr std::size_t more_than_sockets_buffer = 24u << 20;
    TestClient client(pool_io());
    co_await client.connect(trial.ingress().clients());
    co_await client.send(request_lasting("a-1", 60s));
    std::shared_ptr<Peer> const run = co_await trial.backend().accept();
    co_await run->next();
    trial.ingress().node().leave();
    trial.ingress().server().drain();
    co_await run->send(answer("a-1", std::string(more_than_sockets_buffer, 'x')));
    EXPECT_TRUE(co_await wait_until([&] { return trial.ingress().node().pending_work().requests == 0; }));
    EXPECT_EQ(trial.ingress().server().busy(), 1u) << "nobody has read the answer yet";
    HttpReply const reply = co_await client.next();
    EXPECT_EQ(reply.body.size(), more_than_sockets_buffer);
    EXPECT_TRUE(has_header(reply.headers, "Connection"));
    client.close();
    EXPECT_TRUE(co_await wait_until([&] { return trial.ingress().server().busy() == 0; }));
  });
}

}  // namespace
}  // namespace banktide
