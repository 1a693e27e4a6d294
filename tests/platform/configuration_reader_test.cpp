// Reading of configurations: every invalid one is refused, every valid one accepted.
#include "platform/configuration_reader.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

namespace banktide::platform {

namespace {

using Json = nlohmann::json;

std::string const sample = R"({"revision":"000000a7","routingEntries":[
  {"name":"read","domain":"Shop.test","pathPrefix":"/items/","routeType":"idempotent","releaseS":1.5,"targetS":0.25,
   "precedence":3,"distribution":[{"destination":"mill","share":75},{"destination":"forge","share":25.5}],
   "attemptLimit":4},
  {"name":"buy","domain":"shop.test","pathPrefix":"/","routeType":"non_idempotent","releaseS":2,"targetS":0.5,
   "precedence":0,"destination":"forge","attemptLimit":1}],
 "destinations":[
  {"name":"forge","healthPath":"/up","connectionLimit":12,"protocol":"h1","tls":false},
  {"name":"mill","healthPath":"/well","connectionLimit":90,"partitioned":true,"warmS":2.5,"grants":"keepalive"}],
 "admissionLimits":{"headerMaxBytes":2048,"bodyMaxBytes":5000000,"headerGuardS":0.75,"idleGuardS":20}})";

Json document() { return Json::parse(sample); }
Json& route(Json& document, std::size_t const index) { return document["routingEntries"][index]; }

bool accepted(Json const& document) { return read_valid_configuration(document.dump()).has_value(); }

}  // namespace

TEST(ConfigurationReader, ReadsEveryField) {
  Result<ServiceConfiguration> const read = read_valid_configuration(sample);
  ASSERT_TRUE(read) << read.error().reason;
  EXPECT_EQ(read->version, 0xa7u);
  ASSERT_EQ(read->routes.size(), 2u);
  Route const& first = read->routes[0];
  EXPECT_EQ(first.name, "read");
  EXPECT_EQ(first.host, "Shop.test");
  EXPECT_EQ(first.prefix, "/items/");
  EXPECT_TRUE(first.repeatable);
  EXPECT_EQ(first.timeout, 1500ms);
  EXPECT_EQ(first.target_latency, 250ms);
  EXPECT_EQ(first.rank, 3u);
  EXPECT_EQ(first.attempt_limit, 4u);
  ASSERT_EQ(first.targets.size(), 2u);
  EXPECT_EQ(first.targets[0].service, 1u);
  EXPECT_EQ(first.targets[0].weight, 75);
  EXPECT_EQ(first.targets[1].service, 0u);
  EXPECT_EQ(first.targets[1].weight, 25.5);
  Route const& second = read->routes[1];
  EXPECT_FALSE(second.repeatable);
  ASSERT_EQ(second.targets.size(), 1u);
  EXPECT_EQ(second.targets[0].service, 0u);
  ASSERT_EQ(read->services.size(), 2u);
  EXPECT_FALSE(read->services[0].keyed);
  EXPECT_EQ(read->services[1].name, "mill");
  EXPECT_EQ(read->services[1].health_path, "/well");
  EXPECT_EQ(read->services[1].connection_limit, 90u);
  EXPECT_TRUE(read->services[1].keyed);
  EXPECT_EQ(read->services[1].warm_up, 2500ms);
  EXPECT_EQ(read->limits.header_bytes, 2048u);
  EXPECT_EQ(read->limits.body_bytes, 5000000u);
  EXPECT_EQ(read->limits.header_timeout, 750ms);
  EXPECT_EQ(read->limits.idle_timeout, 20s);
}

TEST(ConfigurationReader, RefusesTruncatedBodies) {
  for (std::size_t length = 0; length < sample.size(); ++length)
    EXPECT_FALSE(read_configuration(std::string_view(sample).substr(0, length))) << "cut after " << length;
}

TEST(ConfigurationReader, RefusesOtherDocuments) {
  for (std::string const body : {"", "null", "7", "[]", "{}", "\"x\"", "[{}]", "{\"revision\":\"00000001\"}"})
    EXPECT_FALSE(read_configuration(body)) << body;
  EXPECT_FALSE(read_configuration(sample + "}"));
  EXPECT_FALSE(read_configuration(sample + sample));
  EXPECT_FALSE(read_configuration(std::string(100000, '[')));
  EXPECT_FALSE(read_configuration("{\"x\":" + std::string(100000, '{')));
}

TEST(ConfigurationReader, RefusesVersionsThatAreNotEightHexadecimalDigits) {
  for (Json const& version :
       {Json("7"), Json(""), Json("0000000g"), Json("000000007"), Json("0x000007"), Json(" 0000007"), Json("-0000007"),
        Json(7), Json(nullptr), Json::array(), Json::object()}) {
    Json changed = document();
    changed["revision"] = version;
    EXPECT_FALSE(accepted(changed)) << version;
  }
  Json missing = document();
  missing.erase("revision");
  EXPECT_FALSE(accepted(missing));
  Json highest = document();
  highest["revision"] = "FFFFFFFF";
  EXPECT_EQ(read_configuration(highest.dump())->version, 0xffffffffu);
  Json lowest = document();
  lowest["revision"] = "00000000";
  EXPECT_EQ(read_configuration(lowest.dump())->version, 0u);
}

TEST(ConfigurationReader, RefusesUnknownServices) {
  Json alone = document();
  route(alone, 1)["destination"] = "nobody";
  EXPECT_FALSE(accepted(alone));
  Json in_list = document();
  route(in_list, 0)["distribution"][1]["destination"] = "nobody";
  EXPECT_FALSE(accepted(in_list));
  Json without_weight = document();
  route(without_weight, 0)["distribution"][1] = {{"destination", "nobody"}, {"share", 0}};
  EXPECT_FALSE(accepted(without_weight));
  Json beside_a_list = document();
  route(beside_a_list, 0)["destination"] = "nobody";
  EXPECT_FALSE(accepted(beside_a_list));
  Json unnamed = document();
  route(unnamed, 0)["distribution"][1].erase("destination");
  EXPECT_FALSE(accepted(unnamed));
  Json none = document();
  route(none, 1).erase("destination");
  EXPECT_FALSE(accepted(none));
}

TEST(ConfigurationReader, RefusesDuplicateRoutes) {
  Json changed = document();
  route(changed, 1)["pathPrefix"] = "/items/";
  EXPECT_FALSE(accepted(changed));
}

TEST(ConfigurationReader, RefusesWeightsBelowZero) {
  Json changed = document();
  for (double const weight : {-1.0, -0.001, -1e300}) {
    route(changed, 0)["distribution"][0]["share"] = weight;
    EXPECT_FALSE(accepted(changed)) << weight;
  }
  route(changed, 0)["distribution"][0]["share"] = 0;
  EXPECT_TRUE(accepted(changed));
}

TEST(ConfigurationReader, RefusesTargetLatenciesAMinuteOverTheTimeout) {
  Json changed = document();
  route(changed, 0)["releaseS"] = 0.3;
  for (double const target_latency : {60.3, 61.0, 1e9, 1e300}) {
    route(changed, 0)["targetS"] = target_latency;
    EXPECT_FALSE(accepted(changed)) << target_latency;
  }
  for (double const target_latency : {0.0, 0.3, 0.4, 30.0, 60.299}) {
    route(changed, 0)["targetS"] = target_latency;
    EXPECT_TRUE(accepted(changed)) << target_latency;
  }
}

TEST(ConfigurationReader, RefusesEmptyHosts) {
  Json changed = document();
  route(changed, 1)["domain"] = "";
  EXPECT_FALSE(accepted(changed));
  route(changed, 1).erase("domain");
  EXPECT_FALSE(accepted(changed));
}

TEST(ConfigurationReader, RefusesKnownFieldsOfAnotherType) {
  std::vector<Json> const values = {Json(true), Json(1), Json("x"), Json::array(), Json::object()};
  std::size_t refused = 0;
  for (std::string const path :
       {"/routingEntries", "/destinations", "/admissionLimits", "/routingEntries/0", "/routingEntries/0/domain",
        "/routingEntries/0/releaseS", "/routingEntries/0/distribution", "/routingEntries/0/distribution/0/share",
        "/destinations/1/partitioned", "/destinations/0/name"}) {
    Json const original = document();
    Json::json_pointer const pointer(path);
    for (Json const& value : values) {
      if (value.type() == original[pointer].type() || (value.is_number() && original[pointer].is_number())) continue;
      Json changed = original;
      changed[pointer] = value;
      EXPECT_FALSE(accepted(changed)) << path << " " << value;
      ++refused;
    }
  }
  EXPECT_EQ(refused, 40u);
}

TEST(ConfigurationReader, RefusesDuplicateSections) {
  std::string const twice = sample.substr(0, sample.size() - 1) + ",\"revision\":\"00000009\"}";
  EXPECT_FALSE(read_configuration(twice));
}

TEST(ConfigurationReader, IgnoresUnknownFieldsEverywhere) {
  Json const extra = Json::parse(R"({"destination":[{"share":-1}],"domain":"","more":[[{"revision":null}],{}]})");
  Json changed = document();
  changed["future"] = extra;
  changed["routingEntries"][0]["future"] = extra;
  changed["routingEntries"][0]["distribution"][0]["future"] = extra;
  changed["destinations"][0]["future"] = Json::array({extra, 1, nullptr});
  changed["admissionLimits"]["future"] = "x";
  Result<ServiceConfiguration> const read = read_valid_configuration(changed.dump());
  ASSERT_TRUE(read) << read.error().reason;
  EXPECT_EQ(read->routes.size(), 2u);
  EXPECT_EQ(read->services.size(), 2u);
}

// Guards against ignoring a section of the configuration that isn't implemented without reporting it.
TEST(ConfigurationReader, ReportsIgnoredSections) {
  EXPECT_TRUE(read_configuration(sample)->ignored_sections.empty());
  Json changed = document();
  changed["future"] = {{"routingEntries", 1}};
  changed["later"] = 7;
  Result<ServiceConfiguration> const read = read_configuration(changed.dump());
  ASSERT_TRUE(read);
  EXPECT_EQ(read->ignored_sections, (std::vector<std::string>{"future", "later"}));
}

TEST(ConfigurationReader, ReadsTenants) {
  Json changed = document();
  changed["routingEntries"][0]["keyless"] = true;
  changed["subscribers"] = Json::parse(R"([{"name":"a","accessKeys":["k","l"],"precedence":4,"future":{"name":1}},
                                           {"accessKeys":["m"],"name":"b"}, {"name":"c"}, {"name":"d","accessKeys":null}])");
  Result<ServiceConfiguration> const read = read_valid_configuration(changed.dump());
  ASSERT_TRUE(read) << read.error().reason;
  EXPECT_TRUE(read->routes[0].open);
  EXPECT_FALSE(read->routes[1].open);
  ASSERT_EQ(read->tenants->size(), 4u);
  EXPECT_EQ((*read->tenants)[0].name, "a");
  EXPECT_EQ((*read->tenants)[0].access_keys, (std::vector<std::string>{"k", "l"}));
  EXPECT_EQ((*read->tenants)[0].rank, 4u);
  EXPECT_EQ((*read->tenants)[1].name, "b");
  EXPECT_EQ((*read->tenants)[1].rank, std::nullopt);
  EXPECT_TRUE((*read->tenants)[2].access_keys.empty());
}

TEST(ConfigurationReader, DistinguishesNoTenantsFromAnEmptyList) {
  EXPECT_FALSE(read_configuration(sample)->tenants);
  Json changed = document();
  changed["subscribers"] = nullptr;
  EXPECT_FALSE(read_configuration(changed.dump())->tenants);
  changed["subscribers"] = Json::array();
  EXPECT_TRUE(read_configuration(changed.dump())->tenants);
}

TEST(ConfigurationReader, RefusesUnnamedTenantsAndSharedKeys) {
  for (std::string const tenants :
       {R"([{"name":"a","accessKeys":["k"]},{"name":"b","accessKeys":["l","k"]}])", R"([{"accessKeys":["k"]}])",
        R"([{"name":"","accessKeys":["k"]}])", R"([{"name":"a\r\nx","accessKeys":["k"]}])", R"([{"name":7}])",
        R"([{"name":"a","accessKeys":[""]}])", R"([{"name":"a","accessKeys":[7]}])",
        R"([{"name":"a","accessKeys":[["k"]]}])", R"([{"name":"a","accessKeys":"k"}])", R"({"name":"a"})", R"("a")",
        R"(["a"])", "7"}) {
    Json changed = document();
    changed["subscribers"] = Json::parse(tenants);
    EXPECT_FALSE(accepted(changed)) << tenants;
  }
  Json same = document();
  same["subscribers"] = Json::parse(R"([{"name":"a","accessKeys":["k","k"]}])");
  EXPECT_TRUE(accepted(same)) << "a tenant may name its own key twice";
}

TEST(ConfigurationReader, AcceptsEmptyListsAnyOrderAndAbsentFields) {
  EXPECT_TRUE(read_valid_configuration(R"({"destinations":[],"routingEntries":[],"revision":"00000001"})"));
  Result<ServiceConfiguration> const read = read_valid_configuration(
      R"( {"revision":"00000001","destinations":[{"name":"a"}],
           "routingEntries":[{"pathPrefix":"/x","domain":"h","destination":"a"}]} )");
  ASSERT_TRUE(read) << read.error().reason;
  EXPECT_FALSE(read->routes[0].repeatable);
  EXPECT_EQ(read->routes[0].target_latency, read->routes[0].timeout);
}

TEST(ConfigurationReader, AcceptsThousandsOfRoutes) {
  constexpr std::size_t count = 5000;
  Json many = document();
  for (std::size_t i = 0; i < count; ++i) {
    Json added = document()["routingEntries"][1];
    added["domain"] = "h" + std::to_string(i % 50) + ".test";
    added["pathPrefix"] = "/p" + std::to_string(i) + "/";
    many["routingEntries"].push_back(added);
  }
  Result<ServiceConfiguration> const read = read_valid_configuration(many.dump());
  ASSERT_TRUE(read) << read.error().reason;
  EXPECT_EQ(read->routes.size(), count + 2);
}

TEST(ConfigurationReader, DoesNotCrashOnCorruptedBytes) {
  std::mt19937 random(11);
  std::size_t refused = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string corrupted = sample;
    for (int change = 0; change < 3; ++change)
      corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
    if (!read_valid_configuration(corrupted)) ++refused;
  }
  EXPECT_GT(refused, 0u);
}

}  // namespace banktide::platform
