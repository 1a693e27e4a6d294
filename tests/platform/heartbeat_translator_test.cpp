// Conversion of heartbeats and their answers.
#include "platform/heartbeat_translator.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace banktide::platform {

namespace {

using Json = nlohmann::json;

std::string const golden = R"({"destination":"mill","address":"10.9.0.4:90","zone":"east","revision":"build-3",
  "circuits":6,"state":"in_service","warmupLeftS":1.25,"callCount":17,
  "holdings":[[0,99,4],[200,65535,18446744073709551615]],"released":[[100,199,"feed"]]})";

Json document() { return Json::parse(golden); }

}  // namespace

TEST(HeartbeatTranslator, ReadsEveryField) {
  Result<BackendHeartbeat> const read = read_heartbeat("i-1", golden);
  ASSERT_TRUE(read) << read.error().reason;
  EXPECT_EQ(read->id, "i-1");
  EXPECT_EQ(read->service, "mill");
  EXPECT_EQ(read->address, "10.9.0.4:90");
  EXPECT_EQ(read->zone, "east");
  EXPECT_EQ(read->software_version, "build-3");
  EXPECT_EQ(read->slots, 6u);
  EXPECT_FALSE(read->leaving);
  EXPECT_EQ(read->warm_left, 1250ms);
  EXPECT_EQ(read->sequence, 17u);
  EXPECT_EQ(read->held, (std::vector<HeartbeatHeldRow>{{0, 99, 4}, {200, 65535, UINT64_MAX}}));
  EXPECT_EQ(read->released, (std::vector<HeartbeatReleasedRow>{{100, 199, "feed"}}));
}

TEST(HeartbeatTranslator, ReadsTheLeavingState) {
  Json changed = document();
  changed["state"] = "quiescing";
  EXPECT_TRUE(read_heartbeat("i-1", changed.dump())->leaving);
}

TEST(HeartbeatTranslator, RequiresOnlyServiceAndAddress) {
  Result<BackendHeartbeat> const read = read_heartbeat("i-1", R"({"destination":"a","address":"b:1","later":{}})");
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->held.empty());
  EXPECT_FALSE(read_heartbeat("i-1", R"({"destination":"a"})"));
  EXPECT_FALSE(read_heartbeat("i-1", R"({"address":"b:1"})"));
}

TEST(HeartbeatTranslator, RefusesTruncatedBodies) {
  for (std::size_t length = 0; length < golden.size(); ++length)
    EXPECT_FALSE(read_heartbeat("i-1", std::string_view(golden).substr(0, length))) << "cut after " << length;
}

TEST(HeartbeatTranslator, RefusesInvalidRows) {
  for (std::string const rows : {"7", "[7]", "[[1,2]]", "[[1,2,3,4]]", "[[2,1,3]]", "[[-1,2,3]]", "[[0,65536,3]]",
                                 "[[0,1,-3]]", "[[0,1,\"x\"]]", "[[0.5,1,3]]"}) {
    Json changed = document();
    changed["holdings"] = Json::parse(rows);
    EXPECT_FALSE(read_heartbeat("i-1", changed.dump())) << rows;
  }
  Json changed = document();
  changed["released"] = Json::parse("[[0,1,5]]");
  EXPECT_FALSE(read_heartbeat("i-1", changed.dump()));
}

TEST(HeartbeatTranslator, WritesAnswers) {
  HeartbeatAnswer answer;
  EXPECT_EQ(*write_heartbeat_answer(answer), "{}");
  answer.next_address = "10.9.0.1:81";
  EXPECT_EQ(Json::parse(*write_heartbeat_answer(answer)), Json::parse(R"({"reportTo":"10.9.0.1:81"})"));
  answer.grant = HeartbeatGrant{};
  answer.grant->hold = 2500ms;
  EXPECT_EQ(Json::parse(*write_heartbeat_answer(answer)),
            Json::parse(R"({"reportTo":"10.9.0.1:81","holdings":[],"holdS":2.5})"));
  answer.grant->rows = {{0, 9, 4, ""}, {10, 19, 5, "feed"}};
  EXPECT_EQ(Json::parse(*write_heartbeat_answer(answer))["holdings"], Json::parse(R"([[0,9,4,""],[10,19,5,"feed"]])"));
}

TEST(HeartbeatTranslator, RoundsHoldsDown) {
  HeartbeatAnswer answer;
  answer.grant = HeartbeatGrant{};
  answer.grant->hold = 3s - 1ns;
  EXPECT_EQ(Json::parse(*write_heartbeat_answer(answer))["holdS"].get<double>(), 2.999);
}

TEST(HeartbeatTranslator, RefusesAnswersAboveTheLimit) {
  HeartbeatAnswer answer;
  answer.grant = HeartbeatGrant{};
  for (std::uint32_t i = 0; i < 500; ++i) answer.grant->rows.push_back({i, i, 1, ""});
  EXPECT_FALSE(write_heartbeat_answer(answer));
}

}  // namespace banktide::platform
