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
  std::vector<std::set<std::string>> keys_of_open_objects;
  std::string duplicate_key;
  bool too_deep = false;
  Json::parser_callback_t const check_event = [&](int const depth, Json::parse_event_t const event, Json& value) {
    if (depth > 32) too_deep = true;
    if (event == Json::parse_event_t::object_start) keys_of_open_objects.emplace_back();
    if (event == Json::parse_event_t::object_end) keys_of_open_objects.pop_back();
    if (event == Json::parse_event_t::key && !keys_of_open_objects.back().insert(value.get<std::string>()).second &&
        duplicate_key.empty())
      duplicate_key = value.get<std::string>();
    return !too_deep;
  };
  try {
    Json j = Json::parse(bytes, check_event);
    if (too_deep) return make_error("parse_json", "", "nested too deep", Proof::not_run);
    if (!duplicate_key.empty())
      return make_error("parse_json", "", "key \"" + duplicate_key + "\" occurs twice in one object", Proof::not_run);
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
