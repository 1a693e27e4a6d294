// Validation of tenants, and the index of their access keys.
#include "state/tenants.hpp"

#include <algorithm>
#include <utility>

namespace banktide {

namespace {

tl::unexpected<Error> invalid(Tenant const& tenant, std::string reason) {
  return make_error("check_tenants", tenant.name, std::move(reason), Proof::not_run);
}

/// Whether the text is printable ASCII without leading or trailing spaces, which a header value keeps unchanged.
bool fits_into_header(std::string_view const text) {
  if (text.empty() || text.front() == ' ' || text.back() == ' ') return false;
  return std::all_of(text.begin(), text.end(), [](char const c) { return c >= ' ' && c <= '~'; });
}

}  // namespace

Result<bool> check_tenants(std::vector<Tenant> const& tenants) {
  tsl::robin_map<std::string_view, Tenant const*> owners;
  for (Tenant const& tenant : tenants) {
    if (!fits_into_header(tenant.name)) return invalid(tenant, "a tenant's name doesn't fit into a header");
    for (std::string const& key : tenant.access_keys) {
      if (!fits_into_header(key)) return invalid(tenant, "an access key doesn't fit into a header");
      Tenant const* const owner = owners.try_emplace(key, &tenant).first->second;
      if (owner != &tenant) return invalid(tenant, "shares an access key with tenant " + owner->name);
    }
  }
  return true;
}

AccessKeys::AccessKeys(std::vector<Tenant> const& tenants) {
  for (Tenant const& tenant : tenants)
    for (std::string const& key : tenant.access_keys) owners_.try_emplace(key, &tenant);
}

Tenant const* AccessKeys::owner_of(std::string_view const key) const {
  auto const found = owners_.find(key);
  return found == owners_.end() ? nullptr : found->second;
}

}  // namespace banktide
