// The part of a node that serves local callers: it admits a call, finds its route, picks a target for each try, and
// forwards the call until it is answered or given up. Each step is recorded in the decision log.
#pragma once

#include "coordination/backend_handler.hpp"
#include "protocol/call.hpp"
#include "state/decision_log.hpp"
#include "state/pick.hpp"
#include "state/retry_budget.hpp"

namespace banktide {

struct CallTarget {
  Address node;
  std::string instance;  // empty: a gateway
  std::string zone;
  std::string history_key;
};

template <Environment Env, BackendEdge B>
class CallHandler {
 public:
  CallHandler(NodeState<Env>& n, BackendHandler<Env, B>& backend_handler)
      : n_(n),
        env_(n.env),
        settings_(n.settings),
        backend_handler_(backend_handler),
        journal_(n.settings.id, n.incarnation, n.settings.decisions_kept) {}

  void start(Dispatcher& dispatcher) {
    dispatcher.on<DecisionsRequest>(
        [this](DecisionsRequest q) -> Task<DecisionsReply> { co_return journal_.since(q); });
  }

  std::size_t in_flight() const { return calls_in_flight_; }
  Json calls_json() const {
    return {{"taken", last_call_}, {"in_flight", calls_in_flight_}, {"extra_tries", extra_tries_}};
  }
  Json budget_json() const { return {{"firsts", budget_.first_tries()}, {"extras", budget_.extra_tries()}}; }

  Task<HttpReply> call(HttpRequest q) {
    std::uint64_t const id = ++last_call_;
    CallStateMachine state_machine;
    Instant const start = env_.now();
    std::shared_ptr<Rules const> const rules = n_.rules;
    if (!n_.ready())
      co_return drop_call(
          state_machine, id, *rules, "", 503,
          Error{"admit", settings_.id, n_.leaving ? "node is leaving" : "node is not ready", Proof::not_run});
    if (calls_in_flight_ >= 4096)
      co_return drop_call(state_machine, id, *rules, "", 503,
                          Error{"admit", settings_.id, "backlog full", Proof::not_run});
    Index const s = rules->layout.service_of_path(q.target);
    if (s == no_index)
      co_return drop_call(state_machine, id, *rules, "", 404,
                          Error{"find_way", settings_.id, "no route for this path", Proof::not_run});
    Service const& service = rules->layout.services[s];
    ForwardCall forwarded;
    forwarded.service = service.name;
    forwarded.routing = rules->routing;
    if (service.keyed()) {
      std::string const key = header_value(q, service.key_header);
      if (key.empty())
        co_return drop_call(state_machine, id, *rules, service.name, 400,
                            Error{"find_key", settings_.id, "no key in header " + service.key_header, Proof::not_run});
      forwarded.keyed = true;
      forwarded.slice = service.slice_of(key);
    }
    Duration time_limit = service.timeout;
    std::string const asked = header_value(q, "banktide-timeout-ms");
    if (!asked.empty()) {
      if (asked.size() > 5 || asked.find_first_not_of("0123456789") != std::string::npos || std::stoul(asked) < 1)
        co_return drop_call(
            state_machine, id, *rules, service.name, 400,
            Error{"find_deadline", settings_.id, "banktide-timeout-ms must be 1..99999", Proof::not_run});
      time_limit = std::min<Duration>(time_limit, std::chrono::milliseconds(std::stoul(asked)));
    }
    ZoneChoice const choice = n_.choose(*rules, s, forwarded.slice);
    if (broken_on_purpose("drops_all"))
      co_return drop_call(state_machine, id, *rules, service.name, 503,
                          Error{"decide", settings_.id, "", Proof::not_run});
    if (!choice.refusal.empty())
      co_return drop_call(state_machine, id, *rules, service.name, 503,
                          Error{"decide", settings_.id, choice.refusal, Proof::not_run}, &forwarded);
    bool const repeatable = service.may_repeat(q.method);
    forwarded.request = std::move(q);
    strip_hop_by_hop_headers(forwarded.request.headers, true);
    state_machine.step(CallState::admitted);
    ++calls_in_flight_;
    HttpReply reply =
        co_await run_tries(state_machine, id, *rules, choice, std::move(forwarded), repeatable, start + time_limit);
    --calls_in_flight_;
    co_return reply;
  }

  std::optional<CallTarget> pick_target(std::string const& service, bool const keyed, std::uint32_t const slice,
                                        ZoneChoice const& choice, std::set<std::string> const& tried,
                                        bool const may_cross) {
    Instant const now = env_.now();
    std::vector<CallTarget> targets, ejected;
    std::vector<Candidate> candidates;
    if (choice.in_own_zone && keyed) {
      BackendRecord const* const owner = n_.slice_owner(service, slice, now);
      if (owner == nullptr) return std::nullopt;
      CallTarget t = to_backend(*owner);
      if (tried.contains(t.history_key)) return std::nullopt;
      return t;
    }
    if (choice.in_own_zone && !(broken_on_purpose("crosses_first") && may_cross && !n_.view.zones.empty())) {
      for (auto it = n_.view.backends.lower_bound({service, ""});
           it != n_.view.backends.end() && it->first.first == service; ++it) {
        BackendRecord const& b = it->second;
        if (!n_.is_backend_usable(b, now)) continue;
        CallTarget t = to_backend(b);
        if (tried.contains(t.history_key)) continue;
        if (histories_.ejected(t.history_key, now) || histories_.ejected("n:" + t.node, now)) {
          ejected.push_back(std::move(t));
          continue;
        }
        candidates.push_back(Candidate{static_cast<double>(b.running) + histories_.at(t.history_key, now).in_flight,
                                       histories_.slow_start_share(t.history_key, now)});
        targets.push_back(std::move(t));
      }
      if (!targets.empty()) return targets[pick(candidates, env_.chance())];
    }
    if (may_cross) {
      for (auto const& [name, zone] : n_.view.zones) {
        if (choice.decided &&
            std::find(choice.other_zones.begin(), choice.other_zones.end(), name) == choice.other_zones.end())
          continue;
        if (name == settings_.zone ||
            std::find(zone.service_names.begin(), zone.service_names.end(), service) == zone.service_names.end())
          continue;
        if (tried.contains("c:" + name) || histories_.ejected("c:" + name + "/" + service, now)) continue;
        for (Member const& g : zone.gateways) {
          CallTarget t{g.address, "", name, "g:" + g.address};
          if (tried.contains(t.history_key)) continue;
          if (histories_.ejected(t.history_key, now) || histories_.ejected("n:" + g.address, now)) {
            ejected.push_back(std::move(t));
            continue;
          }
          candidates.push_back(Candidate{static_cast<double>(histories_.at(t.history_key, now).in_flight),
                                         histories_.slow_start_share(t.history_key, now)});
          targets.push_back(std::move(t));
        }
      }
      if (!targets.empty()) return targets[pick(candidates, env_.chance())];
    }
    // Only ejected targets are left: uses one of them rather than none.
    if (!ejected.empty() && tried.empty()) return ejected[env_.chance()() % ejected.size()];
    return std::nullopt;
  }

  Task<ForwardCallReply> forward_to(CallTarget const& t, ForwardCall const& c, Instant const deadline) {
    ++histories_.at(t.history_key, env_.now()).in_flight;
    ForwardCallReply r;
    if (t.node == settings_.address && !t.instance.empty()) {
      r = co_await backend_handler_.execute(c);
    } else {
      ForwardCall stamped = c;
      stamped.sender = n_.lease_holder_id;
      stamped.from = settings_.address;
      stamped.sent_us = std::chrono::duration_cast<std::chrono::microseconds>(env_.now().time_since_epoch()).count();
      Result<ForwardCallReply> got = co_await ask(env_, t.node, std::move(stamped), deadline + 20ms);
      if (got) {
        r = std::move(*got);
      } else {
        r.outcome = got.error().proof == Proof::not_run ? Outcome::not_run : Outcome::unknown;
        r.step = got.error().step;
        r.peer = t.node;
        r.reason = got.error().reason;
        penalize("n:" + t.node, got.error().step == "connect");
      }
    }
    Instant const now = env_.now();
    TargetHistory& m = histories_.at(t.history_key, now);
    if (m.in_flight > 0) --m.in_flight;
    if (r.outcome == Outcome::answered) {
      histories_.record_success(t.history_key, now);
      histories_.record_success("n:" + t.node, now);
    } else if (!c.keyed) {
      bool const refused = r.step == "connect" || r.step == "backend";
      penalize(t.history_key, refused);
      if (t.instance.empty() && r.step == "pick") penalize("c:" + t.zone + "/" + c.service, true);
    }
    co_return r;
  }

 private:
  HttpReply drop_call(CallStateMachine& state_machine, std::uint64_t const id, Rules const& rules,
                      std::string const& service, std::uint16_t const status, Error const& m,
                      ForwardCall const* const c = nullptr) {
    state_machine.step(CallState::dropped);
    bool const unknown = m.proof == Proof::unknown;
    record(id, state_machine, "drop", service, m, rules, c);
    HttpReply reply = json_reply(
        status,
        {{"error", m.reason}, {"outcome", unknown ? "unknown" : "not-run"}, {"step", m.step}, {"peer", m.peer}});
    reply.headers.push_back({"banktide-outcome", unknown ? "unknown" : "not-run"});
    if ((status >= 500 || status == 429) && !broken_on_purpose("no_retry_after"))
      reply.headers.push_back({"Retry-After", "1"});
    return reply;
  }

  void record(std::uint64_t const id, CallStateMachine const& state_machine, char const* const decision,
              std::string const& service, Error const& m, Rules const& rules, ForwardCall const* const c = nullptr,
              std::string const& zone = "") {
    CallEvent e;
    e.at_ms = as_ms(env_.now() - n_.started);
    e.call = id;
    e.state = state_name(state_machine.state());
    e.decision = decision;
    e.service = service;
    e.reason = m.reason;
    e.step = m.step;
    e.peer = m.peer;
    e.zone = zone.empty() ? settings_.zone : zone;
    e.keyed = c != nullptr && c->keyed;
    e.slice = e.keyed ? c->slice : 0;
    e.routing = rules.routing;
    e.catalogue = rules.catalogue_revision;
    journal_.append(std::move(e));
  }

  Task<HttpReply> run_tries(CallStateMachine& state_machine, std::uint64_t const id, Rules const& rules,
                            ZoneChoice const& choice, ForwardCall forwarded, bool const repeatable,
                            Instant const deadline) {
    std::set<std::string> tried;
    Error last{"pick", settings_.zone, "no usable backend", Proof::not_run};
    bool may_have_run = false;
    for (int n = 0; n < 4; ++n) {
      state_machine.step(CallState::picking);
      std::optional<CallTarget> const t =
          pick_target(forwarded.service, forwarded.keyed, forwarded.slice, choice, tried, true);
      std::int64_t const left = as_ms(deadline - env_.now());
      if (!t || left <= 0) {
        if (t) last = Error{"pick", settings_.zone, "deadline", Proof::not_run};
        break;
      }
      if (n == 0 || broken_on_purpose("no_budget")) {
        budget_.record_first(env_.now());
      } else if (!budget_.try_extra(env_.now())) {
        last.reason += "; retry budget spent";
        break;
      } else {
        ++extra_tries_;
      }
      tried.insert(t->history_key);
      forwarded.instance = t->instance;
      forwarded.crossed = t->instance.empty();
      forwarded.budget_ms = static_cast<std::uint32_t>(left);
      state_machine.step(CallState::carrying);
      record(id, state_machine, forwarded.crossed ? "cross" : "stay", forwarded.service,
             Error{"carry", t->node,
                   n > 0               ? "after a failed try"
                   : choice.by_home    ? "home zone of the slice"
                   : choice.decided    ? "catalogue"
                   : forwarded.crossed ? "no usable backend in this zone"
                                       : "local first",
                   Proof::unknown},
             rules, &forwarded, t->zone);
      ForwardCallReply r = co_await forward_to(*t, forwarded, deadline);
      state_machine.step(CallState::waiting);
      if (r.outcome == Outcome::answered && !(broken_on_purpose("no_budget") && repeatable && n == 0)) {
        state_machine.step(CallState::answered);
        record(id, state_machine, forwarded.crossed ? "cross" : "stay", forwarded.service,
               Error{"answer", t->node, std::to_string(r.reply.status), Proof::unknown}, rules, &forwarded, t->zone);
        r.reply.headers.push_back({"banktide-outcome", "answered"});
        if (broken_on_purpose("swaps_answers") && env_.chance()() % 50 == 0) std::swap(r.reply.body, swapped_);
        co_return std::move(r.reply);
      }
      last = Error{r.step, r.peer.empty() ? t->node : r.peer, r.reason,
                   r.outcome == Outcome::not_run ? Proof::not_run : Proof::unknown};
      n_.record_error("carry", last);
      if (r.outcome == Outcome::unknown) {
        may_have_run = true;
        if (!repeatable && !broken_on_purpose("tries_unknown_again")) break;
      }
      if (r.step == "lease") break;  // no other node may hold the slice either
    }
    if (broken_on_purpose("calls_unknown_not_run")) may_have_run = false;
    if (may_have_run) last.proof = Proof::unknown;
    co_return drop_call(state_machine, id, rules, forwarded.service, may_have_run ? 504 : 503, last, &forwarded);
  }

  void penalize(std::string const& history_key, bool const at_once) {
    if (histories_.record_failure(history_key, env_.now(), at_once)) log_info("ejected", {{"target", history_key}});
  }

  CallTarget to_backend(BackendRecord const& b) const {
    return CallTarget{b.node == settings_.id ? settings_.address : n_.view.members.at(b.node).address, b.instance,
                      settings_.zone, "b:" + b.service + "/" + b.instance};
  }

  NodeState<Env>& n_;
  Env& env_;
  ProxySettings& settings_;
  BackendHandler<Env, B>& backend_handler_;
  TargetHistories histories_;
  RetryBudget budget_;
  DecisionLog journal_;
  std::string swapped_;
  std::uint64_t last_call_ = 0, extra_tries_ = 0;
  std::size_t calls_in_flight_ = 0;
};

}  // namespace banktide
