// A request is executed for the tenant whose access key it carries, and refused without a valid key; tested from the
// client's socket to the backend's.
#include "platform/platform_adapter.hpp"
#include "tests/programs/client_disconnect_trial.hpp"

namespace banktide {
namespace {

using Script = std::function<Task<void>(RoutingPathTrial&)>;

/// Two tenants with two keys each; `open.test` needs no key.
std::string const two_tenants = R"({"revision":"00000007",
 "routingEntries":[
  {"name":"read","domain":"read.test","pathPrefix":"/","routeType":"idempotent","releaseS":25,"targetS":25,
   "precedence":2,"destination":"orders","attemptLimit":2,"keyless":false},
  {"name":"open","domain":"open.test","pathPrefix":"/","routeType":"idempotent","releaseS":25,"targetS":25,
   "precedence":2,"destination":"orders","attemptLimit":2,"keyless":true}],
 "destinations":[{"name":"orders","healthPath":"/health","connectionLimit":100}],
 "subscribers":[{"name":"mill","accessKeys":["key-m1","key-m2"],"precedence":1},
                {"name":"forge","accessKeys":["key-f1","key-f2"]}]})";

TestNodeOptions tenants_options() {
  InterfaceAdapter const adapter = platform::adapter();
  Result<ServiceConfiguration> const read = adapter.read_configuration(two_tenants);
  if (!read) throw std::runtime_error("the configuration isn't taken: " + read.error().reason);
  return TestNodeOptions{adapter.headers, *read};
}

void run_script(RoutingPath const routing_path, Script const& script) {
  run_script_on(routing_path, 4, tenants_options(), script);
}

std::string request_with(std::string const& host, std::string const& attempt, std::string const& headers) {
  return "GET /thing HTTP/1.1\r\nHost: " + host + "\r\nBanktide-Attempt-Id: " + attempt + "\r\n" + headers + "\r\n";
}

/// A client that has sent one request.
Task<std::shared_ptr<TestClient>> ask(RoutingPathTrial& trial, std::string const bytes) {
  std::shared_ptr<TestClient> const client = std::make_shared<TestClient>(pool_io());
  co_await client->connect(trial.ingress().clients());
  co_await client->send(bytes);
  co_return client;
}

std::string answer_to(std::string const& attempt) {
  return "HTTP/1.1 200 OK\r\nBanktide-Attempt-Id: " + attempt + "\r\nContent-Length: 4\r\n\r\ndone";
}

/// Sends a request with these headers and returns it as the backend received it; expects that the client gets the
/// backend's answer.
Task<std::string> seen_by_backend(RoutingPathTrial& trial, std::string const host, std::string const headers) {
  std::shared_ptr<TestClient> const client = co_await ask(trial, request_with(host, "a-1", headers));
  std::shared_ptr<Peer> const run = co_await trial.backend().accept();
  std::string const request = co_await run->next();
  co_await run->send(answer_to("a-1"));
  HttpReply const reply = co_await client->next();
  EXPECT_EQ(reply.status, 200);
  co_return request;
}

std::size_t count_of(std::string const& text, std::string const& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

void expect_only_tenant(std::string const& request, std::string const& name) {
  EXPECT_EQ(count_of(request, "Banktide-Subscriber: " + name + "\r\n"), 1u) << request;
  EXPECT_EQ(count_of(request, "Subscriber"), 1u) << request;
  EXPECT_EQ(count_of(request, "key-"), 0u) << "the backend sees an access key: " << request;
}

class AccessKeysOnEachPath : public ::testing::TestWithParam<RoutingPath> {};

INSTANTIATE_TEST_SUITE_P(Paths, AccessKeysOnEachPath,
                         ::testing::Values(RoutingPath::same_node, RoutingPath::same_zone,
                                           RoutingPath::through_gateway));

// Guards against UNASKED: requests executed for no tenant, or for a tenant that the client claims to be.
TEST_P(AccessKeysOnEachPath, the_backend_gets_the_tenant_and_never_the_key) {
  run_script(GetParam(), [](RoutingPathTrial& trial) -> Task<void> {
    std::string const request = co_await seen_by_backend(
        trial, "read.test", "Authorization: Bearer key-f2\r\nBanktide-Subscriber: mill\r\nbanktide-subscriber: x\r\n");
    expect_only_tenant(request, "forge");
  });
}

// Guards against UNASKED: on a route without keys, a client claims to be a tenant.
TEST_P(AccessKeysOnEachPath, a_route_without_keys_passes_no_tenant) {
  run_script(GetParam(), [](RoutingPathTrial& trial) -> Task<void> {
    std::string const request = co_await seen_by_backend(trial, "open.test", "Banktide-Subscriber: mill\r\n");
    EXPECT_EQ(count_of(request, "Subscriber"), 0u) << request;
  });
}

// Guards against ROUTE: requests executed for an unknown key.
TEST_P(AccessKeysOnEachPath, without_a_known_key_nothing_is_executed) {
  run_script(GetParam(), [](RoutingPathTrial& trial) -> Task<void> {
    for (std::string const headers :
         {"", "Authorization: Bearer key-m3\r\n", "Authorization: Bearer \r\n", "Authorization: Bearer\r\n",
          "Authorization: Basic key-m1\r\n", "Authorization: key-m1\r\n", "Authorization: Bearer key-m1 key-m2\r\n",
          "Authorization: Bearer key-m1\r\nAuthorization: Bearer key-f1\r\n", "Banktide-Subscriber: mill\r\n"}) {
      std::shared_ptr<TestClient> const client = co_await ask(trial, request_with("read.test", "a-0", headers));
      HttpReply const reply = co_await client->next();
      EXPECT_EQ(reply.status, 401) << headers;
      if (reply.status != 401) co_return;
      EXPECT_TRUE(has_header(reply.headers, "WWW-Authenticate")) << headers;
    }
    // If one of them had been forwarded, it would be the first request at the backend.
    std::string const request = co_await seen_by_backend(trial, "read.test", "authorization: bearer  key-m1 \r\n");
    EXPECT_EQ(count_of(request, "a-0"), 0u) << request;
    expect_only_tenant(request, "mill");
  });
}

}  // namespace
}  // namespace banktide
