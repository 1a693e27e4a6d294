// The tenants of a configuration: who may send requests, with which access keys, and at which rank.
// `AccessKeys` finds the tenant of a request's access key.
#pragma once

#include "transport/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tsl/robin_map.h>
#include <vector>

namespace banktide {

/// One tenant. Its requests carry one of its access keys.
struct Tenant {
  std::string name;                      ///< sent to backends
  std::vector<std::string> access_keys;  ///< secrets: never logged, never sent to a backend
  std::optional<std::uint32_t> rank;     ///< of its requests, overriding the route's; 0 is the highest
};

/// Validates tenants: names and keys must be valid header values, and no key may belong to two tenants. The error's
/// peer is the name of the invalid tenant; its reason contains no key.
Result<bool> check_tenants(std::vector<Tenant> const& tenants);

/// Finds the tenant of an access key. Points into the tenants it was made from, which must not be moved.
class AccessKeys {
 public:
  AccessKeys() = default;
  explicit AccessKeys(std::vector<Tenant> const& tenants);

  /// Returns the tenant that the key belongs to; nullptr if it is unknown.
  Tenant const* owner_of(std::string_view key) const;

 private:
  tsl::robin_map<std::string_view, Tenant const*> owners_;
};

}  // namespace banktide
