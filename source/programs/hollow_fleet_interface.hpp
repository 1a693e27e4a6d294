// The interface of a hollow fleet in place of the operators' own: heartbeats and
// configurations go from memory to memory, and a configuration's bytes say only
// how large it is.
#pragma once

#include "protocol/interface_adapter.hpp"

#include <map>

namespace banktide {

/// How large a configuration is.
struct HollowConfiguration {
  std::uint64_t version = 1;
  std::uint64_t routes = 100;
  std::uint64_t services = 20;
  std::uint64_t keyed_services = 0;
};

inline constexpr std::size_t hollow_bytes_per_route = 200;
inline constexpr std::size_t hollow_bytes_per_service = 100;

/// Bytes as long as an operator's configuration of that size, which compress about as well. Two versions differ in
/// their number and in one route.
std::string hollow_configuration_bytes(HollowConfiguration const& configuration);
/// The routes and services that the bytes stand for. Its limit on header bytes is its version, so that a node tells
/// which one came into force.
Result<ServiceConfiguration> read_hollow_configuration(std::string_view bytes);
std::string hollow_service_name(std::uint64_t index);

/// Requests of hollow backends and operators, each waiting under its target to be interpreted.
class HollowInterface {
 public:
  /// `on_read` is told how many routes a configuration has that is being read.
  explicit HollowInterface(std::function<void(std::size_t routes)> on_read);
  HollowInterface(HollowInterface const&) = delete;

  InterfaceAdapter const& adapter() const { return adapter_; }
  HttpRequest request(InterfaceOperation operation);
  /// The grant that a heartbeat was answered with, if any.
  static std::optional<HeartbeatGrant> grant_of(HttpReply const& reply);

 private:
  InterfaceAdapter adapter_;
  std::map<std::string, InterfaceOperation> waiting_;
  std::uint64_t last_request_ = 0;
};

}  // namespace banktide
