// How a process meets the interface of whoever runs it: header names, and the
// translation of requests, bodies and bounds to the product's own types and
// back. An adapter outside the product fills this in; the programs know nothing
// else of that interface.
#pragma once

#include "protocol/data_path_headers.hpp"
#include "protocol/interface_operations.hpp"
#include "protocol/messages.hpp"
#include "state/service_configuration.hpp"
#include "state/timing_bounds.hpp"

#include <functional>

namespace banktide {

struct InterfaceAdapter {
  DataPathHeaders headers;
  /// Reads and checks a configuration; only what may come into force is returned.
  std::function<Result<ServiceConfiguration>(std::string_view)> read_configuration;
  /// The operation that a request asks for, or the reply that refuses it.
  std::function<tl::expected<InterfaceOperation, InterfaceReply>(HttpRequest const&)> interpret;
  std::function<InterfaceReply(bool ready)> readiness_reply;
  std::function<InterfaceReply()> acknowledgement_reply;
  std::function<InterfaceReply(HeartbeatAnswer const&)> heartbeat_reply;
  std::function<InterfaceReply(std::string bytes)> configuration_reply;
  std::function<InterfaceReply(std::string_view reason)> unavailable_reply;
  /// Refuses a change for good, since another one was acknowledged in its place.
  std::function<InterfaceReply(std::string_view reason)> conflict_reply;
  std::function<Result<TimingBounds>(std::vector<std::string> const&)> read_bounds;
};

/// An adapter's reply as the HTTP server sends it.
inline HttpReply http_reply(InterfaceReply reply) {
  HttpReply http;
  http.status = static_cast<std::uint16_t>(reply.status);
  if (!reply.content_type.empty()) http.headers.push_back({"Content-Type", reply.content_type});
  if (!reply.allow.empty()) http.headers.push_back({"Allow", reply.allow});
  if (!reply.location.empty()) http.headers.push_back({"Location", reply.location});
  http.body = std::move(reply.body);
  return http;
}

}  // namespace banktide
