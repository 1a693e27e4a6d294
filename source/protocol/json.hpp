// JSON from outside: parsed with a limit on size and depth and with no key twice
// in one object, and checked against a schema.
#pragma once

#include "transport/result.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace banktide {

using Json = nlohmann::json;
inline constexpr std::size_t layout_limit = 256u << 10;

/// Parses with no key twice anywhere; the mishap's peer is the JSON pointer.
Result<Json> parse_json(std::string const& bytes, std::size_t limit = layout_limit);

/// Whether the value keeps to a JSON schema; the mishap's peer is the JSON pointer.
Result<bool> check_schema(Json const& j, char const* schema_text);

}  // namespace banktide
