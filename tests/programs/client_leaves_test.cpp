// From the client's socket to the backend's: what a client has left ends at its
// backend, whichever way it went.
#include "tests/programs/client_leaves_trial.hpp"

namespace banktide {
namespace {

asio::io_context& pool_io() { return crossplat::threadpool::shared_instance().service(); }

void expect_that_a_run_ends(Way const way) {
  run_on_pool_thread([way]() -> Task<void> {
    LeavingTrial trial(way);
    co_await trial.form(way, 4);
    TestClient client(pool_io());
    co_await client.connect(trial.taker().clients());
    co_await client.send(request_to("orders", "a-1"));
    std::shared_ptr<Peer> const run = co_await trial.backend().accept();
    std::string const request = co_await run->next();
    EXPECT_NE(request.find("a-1"), std::string::npos);
    client.close();
    bool const ended = co_await ends(run);
    EXPECT_TRUE(ended) << "the backend still works on what its client has left";
  });
}

TEST(ClientLeaves, a_run_beside_the_node_that_took_the_request_ends) { expect_that_a_run_ends(Way::same_node); }

TEST(ClientLeaves, a_run_beside_another_node_ends) { expect_that_a_run_ends(Way::same_zone); }

TEST(ClientLeaves, a_run_behind_a_gateway_ends) { expect_that_a_run_ends(Way::through_gateway); }

}  // namespace
}  // namespace banktide
