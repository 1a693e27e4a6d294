// Settings: flags take precedence over the file, all errors are reported, changes are detected.
#include "programs/mesh_settings.hpp"
#include "programs/settings.hpp"

#include <filesystem>
#include <gtest/gtest.h>

namespace banktide {
namespace {

TEST(Settings, all_errors_are_reported_flags_take_precedence_and_changes_are_named) {
  std::filesystem::path const file =
      std::filesystem::temp_directory_path() / ("banktide-settings-" + std::to_string(::getpid()) + ".json");
  auto const load = [&](Settings& s, std::string const& json, std::vector<char const*> flags) {
    std::ofstream(file) << json;
    s.text("id", "", "");
    s.text("address", "", "");
    s.number("limit", 5, 1, 10, "");
    s.list("seed", "");
    s.require_name("id");
    s.require_address("address");
    std::string const path = file.string();
    std::vector<char const*> argv{"x", "--settings", path.c_str()};
    argv.insert(argv.end(), flags.begin(), flags.end());
    return s.load(static_cast<int>(argv.size()), argv.data());
  };
  Settings bad("x"), good("x"), later("x");
  EXPECT_EQ(load(bad, R"({"id":"Bad Name","address":"nowhere","limit":50,"colour":"red"})", {}).size(), 4u);
  EXPECT_TRUE(load(good, R"({"id":"a","address":"127.0.0.1:1","limit":7,"seed":["x","y"]})", {"--limit", "9"}).empty());
  EXPECT_EQ(good.number("limit"), 9u);
  EXPECT_TRUE(load(later, R"({"id":"a","address":"127.0.0.1:2","limit":7,"seed":["x"]})", {"--limit", "9"}).empty());
  EXPECT_EQ(later.changed_from(good), (std::vector<std::string>{"address", "seed"}));
  std::filesystem::remove(file);
}

// Guards against a living backend that always looks overdue where heartbeats are sent less often than by default.
TEST(MeshSettings, a_time_in_seconds_is_read_from_text_and_falls_back_if_it_is_none) {
  for (auto const& [text, expected] : std::vector<std::pair<std::string, Duration>>{{"1.5", 1500ms},
                                                                                    {"3", 3s},
                                                                                    {"0.25", 250ms},
                                                                                    {"", 7s},
                                                                                    {"0", 7s},
                                                                                    {"-1", 7s},
                                                                                    {"nan", 7s},
                                                                                    {"inf", 7s},
                                                                                    {"4000", 7s},
                                                                                    {"2 s", 7s}}) {
    Settings settings("x");
    settings.text("heartbeat-interval", "", "");
    std::string const flag = "--heartbeat-interval=" + text;
    std::vector<char const*> argv{"x", flag.c_str()};
    std::vector<std::string> const errors = settings.load(static_cast<int>(argv.size()), argv.data());
    ASSERT_TRUE(text.empty() || errors.empty()) << text;
    EXPECT_EQ(seconds_of(settings, "heartbeat-interval", 7s), expected) << text;
  }
}

}  // namespace
}  // namespace banktide
