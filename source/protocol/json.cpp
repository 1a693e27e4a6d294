// The schema validator is a large set of templates: it is instantiated in this
// translation unit only.
#include "protocol/json.hpp"

#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace banktide {

Result<Json> parse_json(std::string const& bytes, std::size_t const limit) {
  if (bytes.size() > limit)
    return make_error("check_size", "", "over " + std::to_string(limit) + " bytes", Proof::not_run);
  std::vector<std::set<std::string>> seen;
  std::string twice;
  bool deep = false;
  Json::parser_callback_t const watch = [&](int const depth, Json::parse_event_t const event, Json& value) {
    if (depth > 32) deep = true;
    if (event == Json::parse_event_t::object_start) seen.emplace_back();
    if (event == Json::parse_event_t::object_end) seen.pop_back();
    if (event == Json::parse_event_t::key && !seen.back().insert(value.get<std::string>()).second && twice.empty())
      twice = value.get<std::string>();
    return !deep;
  };
  try {
    Json j = Json::parse(bytes, watch);
    if (deep) return make_error("parse_json", "", "nested too deep", Proof::not_run);
    if (!twice.empty())
      return make_error("parse_json", "", "key \"" + twice + "\" stands twice in one object", Proof::not_run);
    return j;
  } catch (Json::exception const& e) {
    return make_error("parse_json", "", e.what(), Proof::not_run);
  }
}

Result<bool> check_schema(Json const& j, char const* const schema_text) {
  Json const schema_json = Json::parse(schema_text);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(j), &results)) return true;
  valijson::ValidationResults::Error deepest, e;
  while (results.popError(e))
    if (e.context.size() > deepest.context.size() || deepest.description.empty()) deepest = e;
  std::string pointer;
  for (std::string const& part : deepest.context)
    if (part.size() > 2 && part.front() == '[') pointer += "/" + part.substr(1, part.size() - 2);
  return make_error("check_schema", pointer, deepest.description, Proof::not_run);
}

}  // namespace banktide
