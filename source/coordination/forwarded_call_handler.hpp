// Handles calls forwarded by other nodes: a call that arrives after its deadline doesn't run, a call for a local
// backend is executed, and a gateway forwards a call from another zone once, to a backend of its own zone only.
#pragma once

#include "coordination/call_handler.hpp"
#include "coordination/transit_delay.hpp"

namespace banktide {

template <Environment Env, BackendEdge B>
class ForwardedCallHandler {
 public:
  ForwardedCallHandler(NodeState<Env>& n, BackendHandler<Env, B>& backend_handler, CallHandler<Env, B>& call_handler)
      : n_(n), env_(n.env), settings_(n.settings), backend_handler_(backend_handler), call_handler_(call_handler) {}

  void start(Dispatcher& dispatcher) {
    dispatcher.on<ForwardCall>([this](ForwardCall q) { return handle_forwarded(std::move(q)); });
    dispatcher.on<ClockRequest>([this](ClockRequest) -> Task<ClockReply> {
      co_return ClockReply{n_.lease_holder_id, clock_us()};
    });
  }

  std::size_t in_flight() const { return forwarded_in_flight_; }

 private:
  // Once the nodes had time to learn that this node is leaving, calls that are still forwarded here are refused as
  // not run, so that the node drains.
  bool refusing() const { return n_.leaving && env_.now() - n_.leaving_since > 2s; }

  std::int64_t clock_us() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(env_.now().time_since_epoch()).count();
  }

  // How long the call was delayed on its way, in a suspended process or a stalled link; none if its sender can't be
  // asked, or is no longer the process that sent the call.
  Task<std::optional<Duration>> measure_delay(ForwardCall const& c) {
    Instant const came = env_.now();
    std::optional<Duration> const known = transit_delay_.delay_of(c.sender, c.sent_us, came);
    if (known) co_return known;
    ClockRequest const question;
    Result<ClockReply> const r = co_await ask(env_, c.from, question, came + 400ms);
    if (!r || r->sender != c.sender) co_return std::nullopt;
    co_return transit_delay_.learn_clock(c.sender, r->clock_us, came, env_.now(), c.sent_us, came) +
        (env_.now() - came);
  }

  Task<ForwardCallReply> handle_forwarded(ForwardCall c) {
    if (!n_.has_confirmed_values) co_return not_run("admit", settings_.id, "node is not ready");
    if (refusing()) co_return not_run("admit", settings_.id, "node is leaving");
    if (forwarded_in_flight_ >= 4096) co_return not_run("admit", settings_.id, "backlog full");
    ++forwarded_in_flight_;
    ForwardCallReply r = co_await execute_in_time(std::move(c));
    --forwarded_in_flight_;
    co_return r;
  }

  // Subtracts the delay from the call's remaining time; after its deadline it doesn't run.
  Task<ForwardCallReply> execute_in_time(ForwardCall c) {
    if (!broken_on_purpose("runs_late")) {
      std::optional<Duration> const delay = co_await measure_delay(c);
      if (!delay) co_return not_run("admit", settings_.id, "the sender's clock is not known");
      std::int64_t const ms = as_ms(*delay);
      if (ms >= static_cast<std::int64_t>(c.budget_ms))
        co_return not_run("admit", settings_.id, "arrived after its deadline");
      c.budget_ms -= static_cast<std::uint32_t>(ms);
    }
    if (!c.instance.empty()) co_return co_await backend_handler_.execute(std::move(c));
    co_return co_await forward_to_local_backend(std::move(c));
  }

  // As a gateway, forwards the call once, to a backend of the own zone only.
  Task<ForwardCallReply> forward_to_local_backend(ForwardCall c) {
    if (!settings_.gateway || !c.crossed)
      co_return not_run("gateway", settings_.id, "not a call between zones through a gateway");
    std::shared_ptr<Rules const> const rules = n_.rules;
    Index const s = rules->layout.service_names.find(c.service);
    if (s == no_index) co_return not_run("gateway", settings_.id, "the service is not in this node's layout");
    ZoneChoice const choice = n_.choose(*rules, s, c.slice);
    if (!choice.in_own_zone)
      co_return not_run("gateway", settings_.id, "this node's catalogue places the slice in another zone");
    std::optional<CallTarget> const t = call_handler_.pick_target(c.service, c.keyed, c.slice, choice, {}, false);
    if (!t) co_return not_run("pick", settings_.zone, "no usable backend");
    c.instance = t->instance;
    Instant const deadline = env_.now() + std::chrono::milliseconds(c.budget_ms);
    co_return co_await call_handler_.forward_to(*t, c, deadline);
  }

  NodeState<Env>& n_;
  Env& env_;
  ProxySettings& settings_;
  BackendHandler<Env, B>& backend_handler_;
  CallHandler<Env, B>& call_handler_;
  TransitDelay transit_delay_;
  std::size_t forwarded_in_flight_ = 0;
};

}  // namespace banktide
