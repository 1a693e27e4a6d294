// The proxy on every application machine. For each call of a local caller it
// decides whether to route it within the zone, to send it to another zone's
// gateway or to drop it; it forwards the call to the proxy beside the backend,
// and runs the calls for its own backends. A gateway is a proxy that also takes
// calls from other zones and passes them to backends of its own zone only, never
// further. This class joins the parts and answers the platform's requests.
#pragma once

#include "coordination/forwarded_call_handler.hpp"
#include "coordination/proxy_zone_follower.hpp"
#include "state/view_json.hpp"

namespace banktide {

template <Environment Env, BackendEdge B>
class Proxy {
 public:
  Proxy(Env& env, B& backends, ProxySettings s)
      : node_(env, std::move(s)),
        follower_(node_),
        backend_side_(node_, backends),
        caller_side_(node_, backend_side_),
        carried_side_(node_, backend_side_, caller_side_) {}

  void start(Dispatcher& dispatcher) {
    dispatcher.on<StateRequest>([this](StateRequest) -> Task<StateReply> { co_return StateReply{state().dump()}; });
    follower_.start(dispatcher);
    backend_side_.start(dispatcher);
    caller_side_.start(dispatcher);
    carried_side_.start(dispatcher);
  }

  bool ready() const { return node_.ready(); }
  bool idle() const {
    return (caller_side_.in_flight() == 0 && carried_side_.in_flight() == 0) || broken_on_purpose("leaves_at_once");
  }
  void leave() {
    node_.leaving = true;
    node_.leaving_since = node_.env.now();
    node_.rejoin();
  }
  // Applies the settings that may change at run time.
  void apply_settings(ProxySettings const& s) {
    node_.settings.heartbeat_expiry = s.heartbeat_expiry;
    node_.settings.backend_limit = s.backend_limit;
    node_.settings.slice_limit = s.slice_limit;
  }
  Rules const& rules() const { return *node_.rules; }

  Task<HttpReply> call(HttpRequest q) { return caller_side_.call(std::move(q)); }
  HttpReply handle_heartbeat(std::string const& body) { return backend_side_.on_heartbeat(body); }

  HttpReply handle_platform_request(HttpRequest const& q) {
    std::string const path = q.target.substr(0, q.target.find('?'));
    if (path == "/beat") {
      if (q.method == "POST") return handle_heartbeat(q.body);
      HttpReply no = json_reply(405, {{"error", "use POST"}});
      no.headers.push_back({"Allow", "POST"});
      return no;
    }
    if (path == "/live") return json_reply(200, {{"live", true}});
    if (path == "/ready")
      return json_reply(ready() ? 200 : 503, {{"ready", ready()},
                                              {"fresh", node_.has_confirmed_values},
                                              {"viewed", node_.has_view},
                                              {"leaving", node_.leaving}});
    if (path == "/state") return json_reply(200, state());
    if (path == "/mishaps") return json_reply(200, node_.recent_errors.json());
    return json_reply(404, {{"error", "no such resource"}, {"path", path}});
  }

  Json state() const {
    Json j = view_json(node_.view);
    j["node"] = node_.settings.id;
    j["cell"] = node_.settings.zone;
    j["gateway"] = node_.settings.gateway;
    j["epoch"] = follower_.position().epoch;
    j["position"] = follower_.position().seq;
    j["routing"] = node_.rules->routing;
    j["catalogue"] = node_.rules->catalogue_revision;
    j["ready"] = ready();
    j["budget"] = caller_side_.budget_json();
    j["calls"] = caller_side_.calls_json();
    j["calls"]["carried_in_flight"] = carried_side_.in_flight();
    j["leases"] = backend_side_.leases_json();
    j["local"] = backend_side_.json();
    j["mishaps"] = node_.recent_errors.last();
    return j;
  }

 private:
  NodeState<Env> node_;
  ProxyZoneFollower<Env> follower_;
  BackendHandler<Env, B> backend_side_;
  CallHandler<Env, B> caller_side_;
  ForwardedCallHandler<Env, B> carried_side_;
};

}  // namespace banktide
