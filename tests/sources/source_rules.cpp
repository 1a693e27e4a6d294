#include "sources/source_rules.hpp"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

namespace banktide {

namespace {

// A folder may include itself and every folder of the same or a lower layer. Transport
// and protocol share a layer: frames carry messages, and messages end in a Result.
std::map<std::string, int> const layer_of_folder{
    {"protocol", 1},  {"transport", 1}, {"state", 2},      {"coordination", 3},
    {"data_path", 4}, {"programs", 5},  {"simulation", 6}, {"platform", 7},
};

constexpr std::string_view source_folder = "source/";
constexpr std::string_view main_suffix = "_main.cpp";

// The folder that determines the layer of a path: "state" for source/state/pick.hpp.
std::string folder_of(std::string_view path) {
  if (path.starts_with(source_folder)) path.remove_prefix(source_folder.size());
  return std::string(path.substr(0, path.find('/')));
}

// Only the programs' main files may include the platform folder. The platform may include
// what its adapter is built from: protocol (messages), state and transport (results).
bool is_include_allowed(std::string const& path, std::string const& included) {
  std::string const from = folder_of(path);
  std::string const to = folder_of(included);
  if (!layer_of_folder.contains(from) || !layer_of_folder.contains(to) || from == to) return true;
  if (to == "platform") return path.ends_with(main_suffix);
  if (from == "platform") return to == "protocol" || to == "state" || to == "transport";
  return layer_of_folder.at(to) <= layer_of_folder.at(from);
}

bool is_word_character(char const c) { return std::isalnum(static_cast<unsigned char>(c)) != 0; }

bool contains_word(std::string_view const text, std::string_view const word) {
  for (std::size_t at = text.find(word); at != std::string_view::npos; at = text.find(word, at + 1)) {
    std::size_t const end = at + word.size();
    bool const starts = at == 0 || !is_word_character(text[at - 1]);
    bool const ends = end == text.size() || !is_word_character(text[end]);
    if (starts && ends) return true;
  }
  return false;
}

bool is_platform_specific(std::string const& word) {
  if (word.starts_with('/')) return true;
  if (word.find('-') != std::string::npos) return true;
  return std::any_of(word.begin(), word.end(), [](unsigned char const c) { return std::isupper(c) != 0; });
}

bool is_identifier_character(char const c) { return is_word_character(c) || c == '_'; }

/// The rest of the text after each occurrence of `name` as a whole identifier.
std::vector<std::string_view> text_after_uses(std::string_view const text, std::string_view const name) {
  std::vector<std::string_view> found;
  for (std::size_t at = text.find(name); at != std::string_view::npos; at = text.find(name, at + 1)) {
    std::size_t const end = at + name.size();
    bool const starts = at == 0 || !is_identifier_character(text[at - 1]);
    bool const ends = end == text.size() || !is_identifier_character(text[end]);
    if (starts && ends) found.push_back(text.substr(end));
  }
  return found;
}

struct CallbackUses {
  bool set = false;
  bool called = false;
};

CallbackUses find_callback_uses(std::string_view const name, std::vector<SourceFile> const& files) {
  CallbackUses uses;
  for (SourceFile const& file : files)
    for (std::string_view const rest : text_after_uses(file.text, name)) {
      bool const moved_in = rest.starts_with("(std::move(");
      bool const assigned = rest.starts_with(" = ") && !rest.starts_with(" = nullptr");
      uses.set = uses.set || moved_in || assigned;
      uses.called = uses.called || (rest.starts_with("(") && !moved_in);
    }
  return uses;
}

std::string read_file(std::filesystem::path const& path) {
  std::ifstream const in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

std::vector<SourceFile> read_sources(std::string const& repository, std::string const& folder) {
  std::vector<SourceFile> files;
  for (std::filesystem::directory_entry const& entry :
       std::filesystem::recursive_directory_iterator(std::filesystem::path(repository) / folder)) {
    std::string const file_extension = entry.path().extension();
    if (file_extension != ".hpp" && file_extension != ".cpp") continue;
    files.push_back({std::filesystem::relative(entry.path(), repository), read_file(entry.path())});
  }
  std::sort(files.begin(), files.end(), [](SourceFile const& a, SourceFile const& b) { return a.path < b.path; });
  return files;
}

std::vector<std::string> upward_includes(std::vector<SourceFile> const& files) {
  static std::regex const include_pattern("^#include \"([^\"]+/[^\"]+)\"");
  std::vector<std::string> found;
  for (SourceFile const& file : files) {
    std::istringstream lines(file.text);
    for (std::string line; std::getline(lines, line);) {
      std::smatch match;
      if (!std::regex_search(line, match, include_pattern)) continue;
      if (!is_include_allowed(file.path, match[1])) found.push_back(file.path + " -> " + match[1].str());
    }
  }
  return found;
}

std::vector<std::string> lines_with_test_code(std::vector<SourceFile> const& files) {
  static std::regex const test_code_pattern("^\\s*#\\s*include\\s*[<\"](gtest|gmock)/|TESTS_OF_");
  std::vector<std::string> found;
  for (SourceFile const& file : files) {
    std::istringstream lines(file.text);
    for (std::string line; std::getline(lines, line);)
      if (std::regex_search(line, test_code_pattern)) found.push_back(file.path + ": " + line);
  }
  return found;
}

std::vector<std::string> platform_specific_words(std::string_view const constants) {
  static std::regex const constant_pattern("string_view [a-z_]+ = \"([^\"]+)\"");
  std::string const text(constants);
  std::vector<std::string> words;
  for (std::sregex_iterator at(text.begin(), text.end(), constant_pattern); at != std::sregex_iterator(); ++at)
    if (is_platform_specific((*at)[1])) words.push_back((*at)[1]);
  return words;
}

std::vector<std::string> unused_callbacks(std::vector<SourceFile> const& files) {
  static std::regex const callback_member_pattern("^ +std::function<.*> ([a-z_]+);");
  std::vector<std::string> found;
  for (SourceFile const& file : files) {
    std::istringstream lines(file.text);
    for (std::string line; std::getline(lines, line);) {
      std::smatch match;
      if (line.find("std::function<") == std::string::npos || !std::regex_search(line, match, callback_member_pattern))
        continue;
      CallbackUses const uses = find_callback_uses(match[1].str(), files);
      if (!uses.set) found.push_back(file.path + ": " + match[1].str() + ", never set");
      if (!uses.called) found.push_back(file.path + ": " + match[1].str() + ", never called");
    }
  }
  return found;
}

std::vector<std::string> word_occurrences(std::vector<SourceFile> const& files, std::vector<std::string> const& words) {
  std::vector<std::string> found;
  for (SourceFile const& file : files)
    for (std::string const& word : words)
      if (contains_word(file.text, word)) found.push_back(file.path + ": " + word);
  return found;
}

}  // namespace banktide
