// Access by bearer keys: parsing, the decision with its tenant, and the time limit of the access lease.
#include "data_path/access_control.hpp"

#include "data_path/access_lease.hpp"
#include "protocol/http_helpers.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

HttpRequest with(std::vector<std::string> const& credentials) {
  HttpRequest request;
  for (std::string const& value : credentials) request.headers.push_back({"authorization", value});
  return request;
}

Router router_with(std::optional<std::vector<Tenant>> tenants) {
  ServiceConfiguration configuration;
  configuration.services = {{"s", "/", 0, false, 0s}};
  for (bool const open : {false, true}) {
    Route route;
    route.name = open ? "open" : "closed";
    route.host = route.name;
    route.prefix = "/";
    route.open = open;
    route.targets = {WeightedService{0, 1}};
    configuration.routes.push_back(route);
  }
  configuration.tenants = std::move(tenants);
  return Router(std::move(configuration));
}

std::vector<Tenant> two_tenants() { return {{"a", {"k1", "k2"}, std::nullopt}, {"b", {"k3"}, 5}}; }

using Verdict = AccessDecision::Verdict;

}  // namespace

TEST(AccessControl, reads_bearer_credentials_and_nothing_else) {
  EXPECT_EQ(access_key_of(with({"Bearer k1"})), "k1");
  EXPECT_EQ(access_key_of(with({" bEARER   k1  "})), "k1");
  for (std::string const value : {"", "Bearer", "Bearer ", "k1", "Basic k1", "Bearerk1"})
    EXPECT_EQ(access_key_of(with({value})), "") << value;
  EXPECT_EQ(access_key_of(with({})), "");
  EXPECT_EQ(access_key_of(with({"Bearer k1", "Bearer k1"})), "");
}

TEST(AccessControl, admits_requests_with_a_known_key_for_its_tenant) {
  Router const router = router_with(two_tenants());
  Route const& closed = router.routes()[0];
  AccessDecision const known = decide_access(router, closed, with({"Bearer k3"}), true);
  EXPECT_EQ(known.verdict, Verdict::granted);
  ASSERT_NE(known.tenant, nullptr);
  EXPECT_EQ(known.tenant->name, "b");
  for (std::string const key : {"k4", "K3", "k", ""})
    EXPECT_EQ(decide_access(router, closed, with({"Bearer " + key}), true).verdict, Verdict::unknown_key) << key;
}

TEST(AccessControl, reports_no_key_as_unknown_while_keys_are_unconfirmed) {
  Router const router = router_with(two_tenants());
  Route const& closed = router.routes()[0];
  for (std::string const key : {"k1", "k9"})
    EXPECT_EQ(decide_access(router, closed, with({"Bearer " + key}), false).verdict, Verdict::unconfirmed) << key;
}

TEST(AccessControl, open_routes_and_configurations_without_tenants_need_no_key) {
  Router const tenants = router_with(two_tenants());
  Router const without_tenants = router_with(std::nullopt);
  for (bool const confirmed : {true, false}) {
    EXPECT_EQ(decide_access(tenants, tenants.routes()[1], with({}), confirmed).verdict, Verdict::granted);
    EXPECT_EQ(decide_access(without_tenants, without_tenants.routes()[0], with({}), confirmed).verdict,
              Verdict::granted);
  }
  Router const empty_tenants = router_with(std::vector<Tenant>{});
  EXPECT_EQ(decide_access(empty_tenants, empty_tenants.routes()[0], with({"Bearer k1"}), true).verdict,
            Verdict::unknown_key);
}

TEST(AccessControl, keys_are_removed_from_requests_and_other_credentials_are_not) {
  Router const router = router_with(two_tenants());
  Router const without_tenants = router_with(std::nullopt);
  auto const kept = [](Router const& by, std::size_t const route, std::string const& value) {
    HttpRequest request = with({value});
    remove_credentials(request, by, by.routes()[route], decide_access(by, by.routes()[route], request, true));
    return has_header(request.headers, "Authorization");
  };
  EXPECT_FALSE(kept(router, 0, "Bearer k1"));
  EXPECT_FALSE(kept(router, 1, "Bearer k1"));
  EXPECT_TRUE(kept(router, 1, "Basic application"));
  EXPECT_TRUE(kept(without_tenants, 0, "Bearer k1"));
}

TEST(AccessLease, ends_before_a_removed_key_must_not_be_used_any_more) {
  Instant const asked{std::chrono::hours(1)};
  AccessLease lease(5s);
  EXPECT_FALSE(lease.valid(asked));
  lease.confirm(asked);
  EXPECT_TRUE(lease.valid(asked + 4s));
  EXPECT_FALSE(lease.valid(asked + 5s));
  lease.confirm(asked - 2s);  // a reply that arrives after a newer one
  EXPECT_TRUE(lease.valid(asked + 4s));
  lease.confirm(asked + 3s);
  EXPECT_TRUE(lease.valid(asked + 7s));
}

TEST(AccessLease, without_a_limit_keys_are_always_valid) {
  EXPECT_TRUE(AccessLease(std::nullopt).valid(Instant{std::chrono::hours(1)}));
}

}  // namespace banktide
