// The shell's maintenance command, and the exit codes that scripts rely on.
#include "programs/maintenance_command.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

using Words = std::vector<std::string>;

TEST(MaintenanceCommand, words_become_one_request) {
  auto const mark = parse_maintenance_command(
      {"maintenance", "mark", "a", "--opens-in", "3600", "--lasts", "7200", "--lead", "90", "--force"});
  ASSERT_TRUE(mark);
  EXPECT_EQ(mark->request.method, "PUT");
  EXPECT_EQ(mark->request.target, "/maintenance/a");
  EXPECT_EQ(Json::parse(mark->request.body),
            (Json{{"opens_in_s", 3600}, {"lasts_s", 7200}, {"lead_s", 90}, {"force", true}}));
  auto const status = parse_maintenance_command({"maintenance", "status"});
  ASSERT_TRUE(status);
  EXPECT_EQ(status->request.method + status->request.target, "GET/maintenance");
  auto const end = parse_maintenance_command({"maintenance", "end", "a"});
  ASSERT_TRUE(end);
  EXPECT_EQ(end->request.method + end->request.target, "DELETE/maintenance/a");
}

TEST(MaintenanceCommand, anything_else_is_answered_with_the_usage) {
  for (Words const& words : std::vector<Words>{{"maintenance"},
                                               {"maintenance", "begin"},
                                               {"maintenance", "mark"},
                                               {"maintenance", "mark", "a"},
                                               {"maintenance", "mark", "a", "--opens-in", "5"},
                                               {"maintenance", "mark", "a", "--opens-in", "x", "--lasts", "5"},
                                               {"maintenance", "mark", "a", "--opens-in", "-5", "--lasts", "5"},
                                               {"maintenance", "mark", "a", "--opens-in", "5", "--lasts"},
                                               {"maintenance", "mark", "a", "--opens-in", "5", "--lasts", "5", "now"},
                                               {"maintenance", "end"},
                                               {"maintenance", "end", "a", "b"},
                                               {"maintenance", "status", "a", "b"}}) {
    auto const read = parse_maintenance_command(words);
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error(), maintenance_usage);
  }
}

int status_code(std::string const& windows, std::string const& zone = "") {
  Words words{"maintenance", "status"};
  if (!zone.empty()) words.push_back(zone);
  HttpReply reply;
  reply.status = 200;
  reply.body = "{\"windows\":[" + windows + "]}";
  return maintenance_exit_code(*parse_maintenance_command(words), reply);
}

TEST(MaintenanceCommand, status_is_good_only_while_traffic_is_away_and_nothing_is_left) {
  std::string const clear = R"({"zone":"a","phase":"open","clear":true})";
  std::string const busy = R"({"zone":"b","phase":"draining","clear":false})";
  std::string const over = R"({"zone":"c","phase":"over"})";
  EXPECT_EQ(status_code(clear), exit_ok);
  EXPECT_EQ(status_code(clear + "," + over), exit_ok);
  EXPECT_EQ(status_code(clear + "," + busy), exit_not_clear);
  EXPECT_EQ(status_code(clear + "," + busy, "a"), exit_ok);
  EXPECT_EQ(status_code(clear + "," + busy, "b"), exit_not_clear);
  EXPECT_EQ(status_code(clear, "z"), exit_not_clear);
  EXPECT_EQ(status_code(""), exit_not_clear) << "with no window machines must not be switched off";
  EXPECT_EQ(status_code(over), exit_not_clear);
  EXPECT_EQ(status_code(R"({"zone":"a","phase":"scheduled","clear":true})"), exit_not_clear);
}

TEST(MaintenanceCommand, what_is_refused_or_unreadable_is_never_good) {
  MaintenanceCommand const status = *parse_maintenance_command({"maintenance", "status"});
  MaintenanceCommand const end = *parse_maintenance_command({"maintenance", "end", "a"});
  HttpReply reply;
  reply.status = 503;
  EXPECT_EQ(maintenance_exit_code(status, reply), exit_refused);
  EXPECT_EQ(maintenance_exit_code(end, reply), exit_refused);
  reply.status = 200;
  reply.body = "<html>";
  EXPECT_EQ(maintenance_exit_code(status, reply), exit_not_clear);
  reply.body = R"({"windows":[7]})";
  EXPECT_EQ(maintenance_exit_code(status, reply), exit_not_clear);
  reply.body = R"({"zone":"a","phase":"returning"})";
  EXPECT_EQ(maintenance_exit_code(end, reply), exit_ok);
}

}  // namespace
}  // namespace banktide
