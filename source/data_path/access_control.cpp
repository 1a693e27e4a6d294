// Parsing of bearer credentials (RFC 6750), and the access decision.
#include "data_path/access_control.hpp"

#include "protocol/http_helpers.hpp"

#include <string_view>

namespace banktide {

namespace {

constexpr std::string_view credentials_header = "Authorization";
constexpr std::string_view bearer_scheme = "Bearer";

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

}  // namespace

std::string access_key_of(HttpRequest const& request) {
  Header const* credentials = nullptr;
  for (Header const& header : request.headers) {
    if (!same_name(header.name, credentials_header)) continue;
    if (credentials != nullptr) return "";
    credentials = &header;
  }
  if (credentials == nullptr) return "";
  std::string_view const value = trimmed(credentials->value);
  std::size_t const space = value.find(' ');
  if (space == std::string_view::npos || !same_name(value.substr(0, space), bearer_scheme)) return "";
  return std::string(trimmed(value.substr(space)));
}

AccessDecision decide_access(Router const& router, Route const& route, HttpRequest const& request,
                             bool const confirmed) {
  AccessDecision decision;
  bool const needed = router.needs_access_key(route);
  if (needed && !confirmed) {
    decision.verdict = AccessDecision::Verdict::unconfirmed;
    return decision;
  }
  decision.tenant = router.tenant_of(access_key_of(request));
  if (needed && decision.tenant == nullptr) decision.verdict = AccessDecision::Verdict::unknown_key;
  return decision;
}

void remove_credentials(HttpRequest& request, Router const& router, Route const& route,
                        AccessDecision const& decision) {
  if (!router.needs_access_key(route) && decision.tenant == nullptr) return;
  std::erase_if(request.headers, [](Header const& header) { return same_name(header.name, credentials_header); });
}

}  // namespace banktide
