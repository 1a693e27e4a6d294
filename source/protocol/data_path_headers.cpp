// Parsing of structured header values.
#include "protocol/data_path_headers.hpp"

#include <charconv>

namespace banktide {

namespace {

/// Consumes a leading number; nullopt if the text doesn't begin with one.
std::optional<std::uint32_t> take_number(std::string_view& text) {
  std::uint32_t number = 0;
  std::from_chars_result const read = std::from_chars(text.data(), text.data() + text.size(), number);
  if (read.ec != std::errc{}) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
  return number;
}

bool take_comma(std::string_view& text) {
  if (text.empty() || text.front() != ',') return false;
  text.remove_prefix(1);
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  return true;
}

}  // namespace

std::optional<LoadLevel> parse_load_level(std::string_view text) {
  std::optional<std::uint32_t> const running = take_number(text);
  if (!running || !take_comma(text)) return std::nullopt;
  std::optional<std::uint32_t> const waiting = take_number(text);
  if (!waiting || !take_comma(text)) return std::nullopt;
  std::optional<std::uint32_t> const slots = take_number(text);
  if (!slots || !text.empty()) return std::nullopt;
  return LoadLevel{*running, *waiting, *slots};
}

std::optional<std::uint32_t> parse_key(std::string_view text) {
  std::optional<std::uint32_t> const key = take_number(text);
  if (!key || !text.empty() || *key > key_maximum) return std::nullopt;
  return key;
}

}  // namespace banktide
