// Mapping of requests to operations, and the replies.
#include "platform/platform_interface.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace banktide::platform {

namespace {

std::string const configuration =
    R"( {"revision":"0000001f", "routingEntries":[{"name":"r","domain":"h","pathPrefix":"/","destination":"s"}],
         "destinations":[{"name":"s"}]} )";
std::string const heartbeat = R"({"destination":"s","address":"10.9.0.4:90"})";

unsigned refused(std::string const& method, std::string const& target, std::string const& body = "") {
  tl::expected<InterfaceOperation, InterfaceReply> const result = interpret({method, target, body});
  return result ? 0 : result.error().status;
}

template <class Operation>
bool asks_for(std::string const& method, std::string const& target, std::string const& body = "") {
  tl::expected<InterfaceOperation, InterfaceReply> const result = interpret({method, target, body});
  return result && std::holds_alternative<Operation>(*result);
}

}  // namespace

TEST(PlatformInterface, MapsEveryOperation) {
  EXPECT_TRUE(asks_for<ReadinessOperation>("GET", "/api/readiness"));
  EXPECT_TRUE(asks_for<ReadinessOperation>("GET", "/api/readiness?x=1"));
  EXPECT_TRUE(asks_for<HeartbeatOperation>("PUT", "/api/instances/i-1", heartbeat));
  EXPECT_TRUE(asks_for<LeaveOperation>("DELETE", "/api/instances/i-1"));
  EXPECT_TRUE(asks_for<ReadConfigurationOperation>("GET", "/api/configuration"));
  EXPECT_TRUE(asks_for<WriteConfigurationOperation>("PUT", "/api/configuration", configuration));
}

TEST(PlatformInterface, ReadsTheIdFromThePath) {
  tl::expected<InterfaceOperation, InterfaceReply> const leave =
      interpret({"DELETE", "/api/instances/i-7?why=end", ""});
  EXPECT_EQ(std::get<LeaveOperation>(*leave).id, "i-7");
  tl::expected<InterfaceOperation, InterfaceReply> const heartbeat_operation =
      interpret({"PUT", "/api/instances/i-8", heartbeat});
  EXPECT_EQ(std::get<HeartbeatOperation>(*heartbeat_operation).heartbeat.id, "i-8");
}

TEST(PlatformInterface, KeepsTheExactBytesOfAConfiguration) {
  tl::expected<InterfaceOperation, InterfaceReply> const result =
      interpret({"PUT", "/api/configuration", configuration});
  WriteConfigurationOperation const& write = std::get<WriteConfigurationOperation>(*result);
  EXPECT_EQ(write.version, 0x1fu);
  EXPECT_EQ(write.bytes, configuration);
  EXPECT_EQ(configuration_reply(write.bytes).body, configuration);
}

TEST(PlatformInterface, RefusesUnknownPathsAndWrongMethods) {
  for (std::string const path : {"", "/", "/api", "/api/readiness/", "/api/instances", "/api/instances/",
                                 "/api/instances/a/b", "/api/configuration/x", "/API/readiness"})
    EXPECT_EQ(refused("GET", path), 404u) << path;
  EXPECT_EQ(refused("POST", "/api/readiness"), 405u);
  EXPECT_EQ(refused("GET", "/api/instances/i-1"), 405u);
  EXPECT_EQ(refused("DELETE", "/api/configuration"), 405u);
  EXPECT_EQ(interpret({"POST", "/api/configuration", ""}).error().allow, "GET, PUT");
}

TEST(PlatformInterface, RefusesMalformedAndInvalidBodies) {
  EXPECT_EQ(refused("PUT", "/api/instances/i-1", "{"), 400u);
  EXPECT_EQ(refused("PUT", "/api/configuration", ""), 400u);
  EXPECT_EQ(refused("PUT", "/api/configuration", configuration.substr(0, 40)), 400u);
  std::string unknown = configuration;
  unknown.replace(unknown.find("\"destination\":\"s\""), 17, "\"destination\":\"t\"");
  EXPECT_EQ(refused("PUT", "/api/configuration", unknown), 400u);
}

// Guards against acknowledging a configuration in which two tenants share a key.
TEST(PlatformInterface, RefusesAnAccessKeySharedByTenants) {
  std::string const two = R"("subscribers":[{"name":"a","accessKeys":["k","l"]},{"name":"b","accessKeys":["m","k"]}])";
  std::string const one = R"("subscribers":[{"name":"a","accessKeys":["k","l"]},{"name":"b","accessKeys":["m","n"]}])";
  std::string const front = configuration.substr(0, configuration.rfind('}')) + ",";
  EXPECT_EQ(refused("PUT", "/api/configuration", front + two + "}"), 400u);
  EXPECT_TRUE(interpret({"PUT", "/api/configuration", front + one + "}"}).has_value());
}

TEST(PlatformInterface, MapsOutcomesToReplies) {
  EXPECT_EQ(readiness_reply(true).status, 200u);
  EXPECT_EQ(readiness_reply(false).status, 503u);
  EXPECT_EQ(acknowledgement_reply().status, 200u);
  EXPECT_EQ(unavailable_reply("no quorum").status, 503u);
  EXPECT_EQ(conflict_reply("taken").status, 409u);
  EXPECT_TRUE(nlohmann::json::parse(invalid_reply("bad \xff byte \"").body).is_object());
  InterfaceReply const redirect = redirect_reply("10.9.0.1:81", "/api/configuration");
  EXPECT_EQ(redirect.status, 307u);
  EXPECT_EQ(redirect.location, "http://10.9.0.1:81/api/configuration");
}

TEST(PlatformInterface, OmitsAGrantAboveTheLimit) {
  HeartbeatAnswer answer;
  answer.grant = HeartbeatGrant{};
  for (std::uint32_t i = 0; i < 500; ++i) answer.grant->rows.push_back({i, i, 1, ""});
  InterfaceReply const reply = heartbeat_reply(answer);
  EXPECT_EQ(reply.status, 200u);
  EXPECT_EQ(reply.body, "{}");
}

}  // namespace banktide::platform
