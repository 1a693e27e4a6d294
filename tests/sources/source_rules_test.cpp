// Tests of the source rules on made-up files, and the rules applied to this repository.
#include "sources/source_rules.hpp"

#include <gtest/gtest.h>

namespace banktide {

namespace {

using Lines = std::vector<std::string>;

// Upward includes that exist today. An entry must be removed here when its include is removed.
Lines const known_violations{
    "source/protocol/interface_adapter.hpp -> state/service_configuration.hpp",
    "source/protocol/interface_adapter.hpp -> state/timing_bounds.hpp",
    "source/state/sqlite_disk.hpp -> coordination/acceptor.hpp",
};

SourceFile including(std::string const& path, std::string const& included) {
  return {path, "#pragma once\n#include <vector>\n#include \"" + included + "\"\n"};
}

bool is_upward_include(std::string const& path, std::string const& included) {
  return !upward_includes({including(path, included)}).empty();
}

std::vector<SourceFile> product_sources() { return read_sources(BANKTIDE_SOURCE_FOLDER, "source"); }

std::vector<SourceFile> product_and_platform_sources() {
  std::vector<SourceFile> files = product_sources();
  std::vector<SourceFile> const platform = read_sources(BANKTIDE_SOURCE_FOLDER, "platform");
  files.insert(files.end(), platform.begin(), platform.end());
  return files;
}

Lines platform_words() {
  Lines words;
  for (SourceFile const& file : read_sources(BANKTIDE_SOURCE_FOLDER, "platform"))
    if (file.path == "platform/words.hpp") words = platform_specific_words(file.text);
  words.insert(words.end(), {"adjunct", "holdings"});
  return words;
}

}  // namespace

TEST(IncludeRules, a_folder_may_include_itself_and_lower_layers) {
  EXPECT_FALSE(is_upward_include("source/state/pick.hpp", "state/layout.hpp"));
  EXPECT_FALSE(is_upward_include("source/data_path/request_path.hpp", "coordination/key_holder.hpp"));
  EXPECT_FALSE(is_upward_include("source/transport/surroundings.hpp", "protocol/archive.hpp"));
  EXPECT_FALSE(is_upward_include("source/protocol/archive.hpp", "transport/result.hpp"));
}

TEST(IncludeRules, a_folder_may_not_include_a_higher_layer) {
  EXPECT_TRUE(is_upward_include("source/state/pick.hpp", "coordination/ring.hpp"));
  EXPECT_TRUE(is_upward_include("source/coordination/ring.hpp", "data_path/backend_queue.hpp"));
  EXPECT_TRUE(is_upward_include("source/data_path/backend_queue.cpp", "programs/mesh_node.hpp"));
  EXPECT_TRUE(is_upward_include("source/programs/mesh_node.hpp", "simulation/sim_world.hpp"));
}

TEST(IncludeRules, only_main_files_may_include_the_platform) {
  EXPECT_FALSE(is_upward_include("source/programs/proxy_main.cpp", "platform/platform_adapter.hpp"));
  EXPECT_TRUE(is_upward_include("source/programs/mesh_proxy.cpp", "platform/platform_adapter.hpp"));
  EXPECT_TRUE(is_upward_include("source/transport/http_server.cpp", "platform/words.hpp"));
}

TEST(IncludeRules, the_platform_may_include_protocol_state_and_transport) {
  EXPECT_FALSE(is_upward_include("platform/platform_adapter.hpp", "protocol/interface_adapter.hpp"));
  EXPECT_TRUE(is_upward_include("platform/platform_adapter.cpp", "data_path/request_path.hpp"));
}

TEST(IncludeRules, a_conditional_include_is_checked) {
  SourceFile file = including("source/coordination/ring.hpp", "protocol/messages.hpp");
  file.text += "#ifdef TESTS_OF_RING\n#include \"simulation/sim_world.hpp\"\n#endif\n";
  EXPECT_EQ(upward_includes({file}), Lines{"source/coordination/ring.hpp -> simulation/sim_world.hpp"});
}

TEST(IncludeRules, hold_in_this_repository) {
  std::vector<SourceFile> const files = product_and_platform_sources();
  ASSERT_GT(files.size(), 50u);
  EXPECT_EQ(upward_includes(files), known_violations);
}

TEST(TestRules, an_include_of_googletest_is_found) {
  SourceFile const angled{"source/state/pick.hpp", "#pragma once\n#include <gtest/gtest.h>\n"};
  SourceFile const quoted{"platform/words.hpp", "#  include \"gmock/gmock.h\"\n"};
  EXPECT_EQ(lines_with_test_code({angled, quoted}), (Lines{"source/state/pick.hpp: #include <gtest/gtest.h>",
                                                           "platform/words.hpp: #  include \"gmock/gmock.h\""}));
}

TEST(TestRules, a_condition_for_tests_is_found) {
  SourceFile const file{"source/state/pick.hpp", "int a;\n#ifdef TESTS_OF_PICK\nint b;\n#endif\n"};
  EXPECT_EQ(lines_with_test_code({file}), Lines{"source/state/pick.hpp: #ifdef TESTS_OF_PICK"});
}

TEST(TestRules, ordinary_mentions_of_tests_are_ignored) {
  SourceFile const file{"source/state/pick.hpp", "// A test of the largest.\n#include <vector>\nint tests = 0;\n"};
  EXPECT_EQ(lines_with_test_code({file}), Lines{});
}

TEST(TestRules, hold_in_this_repository) {
  std::vector<SourceFile> const files = product_and_platform_sources();
  ASSERT_GT(files.size(), 50u);
  EXPECT_EQ(lines_with_test_code(files), Lines{});
}

TEST(CallbackRules, a_callback_never_set_or_never_called_is_found) {
  SourceFile const header{"source/transport/a.hpp", "struct A {\n  std::function<void(int)> on_end;\n};\n"};
  SourceFile const caller{"source/transport/a.cpp", "void f(A& a) {\n  a.on_end(1);\n  a.on_end = nullptr;\n}\n"};
  EXPECT_EQ(unused_callbacks({header, caller}), Lines{"source/transport/a.hpp: on_end, never set"});
  SourceFile const setter{"source/programs/b.cpp", "void g(A& a) { a.on_end = [](int) {}; }\n"};
  EXPECT_EQ(unused_callbacks({header, caller, setter}), Lines{});
  EXPECT_EQ(unused_callbacks({header, setter}), Lines{"source/transport/a.hpp: on_end, never called"});
}

TEST(CallbackRules, only_whole_names_match) {
  SourceFile const file{"source/transport/a.hpp",
                        "  std::function<void()> end_;\n void f() { at_end_(); at_end_ = g; end_of(); }\n"};
  EXPECT_EQ(unused_callbacks({file}),
            (Lines{"source/transport/a.hpp: end_, never set", "source/transport/a.hpp: end_, never called"}));
}

TEST(CallbackRules, hold_in_this_repository) { EXPECT_EQ(unused_callbacks(product_and_platform_sources()), Lines{}); }

TEST(PlatformWords, are_names_with_a_capital_or_hyphen_and_paths) {
  std::string const constants =
      "inline constexpr std::string_view key_header = \"Mesh-Key\";\n"
      "inline constexpr std::string_view path = \"/api/ready\";\n"
      "inline constexpr std::string_view limit = \"attemptLimit\";\n"
      "inline constexpr std::string_view name = \"name\";\n";
  EXPECT_EQ(platform_specific_words(constants), (Lines{"Mesh-Key", "/api/ready", "attemptLimit"}));
}

TEST(PlatformWords, are_matched_as_whole_words) {
  SourceFile const file{"source/state/pick.hpp", "std::string h = \"Mesh-Key\";  // attemptLimits\n"};
  EXPECT_EQ(word_occurrences({file}, {"Mesh-Key", "attemptLimit"}), Lines{"source/state/pick.hpp: Mesh-Key"});
}

TEST(PlatformWords, occur_only_in_the_platform_folder) {
  ASSERT_GT(platform_words().size(), 10u);
  EXPECT_EQ(word_occurrences(product_sources(), platform_words()), Lines{});
}

}  // namespace banktide
