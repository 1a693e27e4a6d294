// Parsing of untrusted JSON with limits on size and depth, rejection of duplicate
// keys, and validation against a schema.
#pragma once

#include "transport/result.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace banktide {

using Json = nlohmann::json;
inline constexpr std::size_t default_json_limit = 256u << 10;

/// Parses JSON; rejects duplicate keys, excessive depth and input over `limit` bytes.
Result<Json> parse_json(std::string const& bytes, std::size_t limit = default_json_limit);

/// Validates the value against a JSON schema; the error's `peer` is the JSON pointer of the violation.
Result<bool> check_schema(Json const& j, char const* schema_text);

}  // namespace banktide
