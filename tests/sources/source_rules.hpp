// Rules that the sources keep among themselves: which folder may include which,
// that the words of the users' platform stay in their folder, and that tests
// stand in test files. The rules work on texts, so that their own tests need no
// files.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace banktide {

struct SourceFile {
  std::string path;  // from the repository's root, for instance source/state/pick.hpp
  std::string text;
};

/// The files under one folder of the repository, by path.
std::vector<SourceFile> read_sources(std::string const& repository, std::string const& folder);

/// Includes that reach from a folder into one above it, as "path -> included".
std::vector<std::string> upward_includes(std::vector<SourceFile> const& files);

/// Lines, as "path: line", by which a file of the product would hold tests: those
/// that include GoogleTest or name a condition `TESTS_OF_...`.
std::vector<std::string> lines_with_test_code(std::vector<SourceFile> const& files);

/// The quoted words of a file of constants that no other program would use: with a
/// capital inside, as a header's name or as a path.
std::vector<std::string> platform_specific_words(std::string_view constants);

/// Lines, as "path: word", that hold one of the words as a whole.
std::vector<std::string> word_occurrences(std::vector<SourceFile> const& files, std::vector<std::string> const& words);

/// Callbacks that a class declares and that nobody sets, or nobody calls, as "path: name, never set" or
/// "path: name, never called". One that is only ever emptied is not set.
std::vector<std::string> unused_callbacks(std::vector<SourceFile> const& files);

}  // namespace banktide
