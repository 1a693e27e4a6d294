// Decides whether a request may run and for which tenant. The node that accepted it from its client decides once.
#pragma once

#include "protocol/call_messages.hpp"
#include "state/service_configuration.hpp"

#include <string>

namespace banktide {

/// The decision about one request.
struct AccessDecision {
  enum class Verdict : std::uint8_t {
    granted,
    unknown_key,  ///< it has no access key of a tenant
    unconfirmed,  ///< its key may have been removed meanwhile: this process can't tell
  };
  Verdict verdict = Verdict::granted;
  Tenant const* tenant = nullptr;  ///< of the configuration; nullptr if it runs for no tenant
};

/// Returns the access key of a request: its bearer credentials. Empty if it has none or more than one.
std::string access_key_of(HttpRequest const& request);

/// Decides by the configuration. `confirmed`: no access key in it was removed longer ago than allowed.
AccessDecision decide_access(Router const& router, Route const& route, HttpRequest const& request, bool confirmed);

/// Removes credentials meant for the mesh, so that no other process and no backend sees them. Credentials on an open
/// route that are no tenant's access key belong to the application and stay.
void remove_credentials(HttpRequest& request, Router const& router, Route const& route, AccessDecision const& decision);

}  // namespace banktide
