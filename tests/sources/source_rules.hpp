// Checks of the repository's source text: which folder may include which, that
// names of the users' platform occur only in platform/, that test code stays in
// test files, and that every callback is both set and called. The checks take
// texts, so their own tests need no files.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace banktide {

struct SourceFile {
  std::string path;  // relative to the repository root, for example source/state/pick.hpp
  std::string text;
};

/// Reads the .hpp and .cpp files under one folder of the repository, sorted by path.
std::vector<SourceFile> read_sources(std::string const& repository, std::string const& folder);

/// Includes that the layering of the folders does not allow, as "path -> included".
std::vector<std::string> upward_includes(std::vector<SourceFile> const& files);

/// Lines that show test code in product files, as "path: line": includes of GoogleTest
/// or GoogleMock, and preprocessor names `TESTS_OF_...`.
std::vector<std::string> lines_with_test_code(std::vector<SourceFile> const& files);

/// The string constants in a file of `string_view` constants that are specific to the platform:
/// those with a capital letter or a hyphen (such as header names) and those that start with '/' (paths).
std::vector<std::string> platform_specific_words(std::string_view constants);

/// The files that contain one of the words as a whole word, as "path: word".
std::vector<std::string> word_occurrences(std::vector<SourceFile> const& files, std::vector<std::string> const& words);

/// Callback members that no file sets or no file calls, as "path: name, never set" or
/// "path: name, never called". Assigning nullptr does not count as setting.
std::vector<std::string> unused_callbacks(std::vector<SourceFile> const& files);

}  // namespace banktide
