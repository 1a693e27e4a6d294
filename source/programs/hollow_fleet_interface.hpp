// The interface adapter of a hollow fleet: heartbeats and configurations are passed
// in memory, and the bytes of a configuration describe only its size.
#pragma once

#include "protocol/interface_adapter.hpp"

#include <map>

namespace banktide {

/// The size of a configuration.
struct HollowConfiguration {
  std::uint64_t version = 1;
  std::uint64_t routes = 100;
  std::uint64_t services = 20;
  std::uint64_t keyed_services = 0;
};

inline constexpr std::size_t hollow_bytes_per_route = 200;
inline constexpr std::size_t hollow_bytes_per_service = 100;

/// Bytes of the length of an operator's configuration of that size, with about the same compression ratio. Two
/// versions differ in their number and in one route.
std::string hollow_configuration_bytes(HollowConfiguration const& configuration);
/// Builds the configuration that the bytes describe. Its limit on header bytes is set to its version, so that a node
/// reports which version became active.
Result<ServiceConfiguration> read_hollow_configuration(std::string_view bytes);
std::string hollow_service_name(std::uint64_t index);

/// Passes requests of hollow backends and operators to the adapter: each operation is stored under its request's
/// target until it is interpreted.
class HollowInterface {
 public:
  /// `on_read` is called with the number of routes of each configuration that is read.
  explicit HollowInterface(std::function<void(std::size_t routes)> on_read);
  HollowInterface(HollowInterface const&) = delete;

  InterfaceAdapter const& adapter() const { return adapter_; }
  HttpRequest request(InterfaceOperation operation);
  /// The grant in the answer to a heartbeat, if any.
  static std::optional<HeartbeatGrant> grant_of(HttpReply const& reply);

 private:
  InterfaceAdapter adapter_;
  std::map<std::string, InterfaceOperation> waiting_;
  std::uint64_t last_request_ = 0;
};

}  // namespace banktide
