// Adapter between the product and the HTTP interface of the platform it runs on:
// header names, and translation of requests, bodies and timing bounds to the
// product's own types and back. The adapter lives outside the product; the
// programs depend on nothing else of that interface.
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
  /// Parses and validates a configuration; only a valid one is returned.
  std::function<Result<ServiceConfiguration>(std::string_view)> read_configuration;
  /// The operation that a request asks for, or the reply that rejects it.
  std::function<tl::expected<InterfaceOperation, InterfaceReply>(HttpRequest const&)> interpret;
  std::function<InterfaceReply(bool ready)> readiness_reply;
  std::function<InterfaceReply()> acknowledgement_reply;
  std::function<InterfaceReply(HeartbeatAnswer const&)> heartbeat_reply;
  std::function<InterfaceReply(std::string bytes)> configuration_reply;
  std::function<InterfaceReply(std::string_view reason)> unavailable_reply;
  /// Rejects a change permanently, because another one was acknowledged in its place.
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
