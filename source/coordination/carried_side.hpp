// Calls that another node carried here: what came past its deadline doesn't
// run, a call for a backend beside this node is made, and a gateway passes one
// from another cell to a local backend or nowhere, once.
#pragma once

#include "coordination/caller_side.hpp"
#include "coordination/transit.hpp"

namespace banktide {

template <Surroundings W, BackendEdge B>
class CarriedSide {
 public:
  CarriedSide(NodeState<W>& n, BackendSide<W, B>& beside, CallerSide<W, B>& out)
      : n_(n), w_(n.w), s_(n.s), beside_(beside), out_(out), tick_(n.w.now()) {}

  void start(Desk& desk) {
    desk.on<Carry>([this](Carry q) { return carried(std::move(q)); });
    spawn(w_, keep_ticking());
  }

  std::size_t in_flight() const { return carried_in_flight_; }

 private:
  // After the news that this node leaves has had time to spread, calls carried
  // here by late knowers are dropped as not run, so that the node empties.
  bool refusing_carried() const { return n_.leaving && w_.now() - n_.left_at > 2s; }
  // Takes up what may change while it runs.
  void tune(ProxySettings const& s) {
    s_.beat_expiry = s.beat_expiry;
    s_.backend_limit = s.backend_limit;
    s_.slice_limit = s.slice_limit;
  }

  Task<void> keep_ticking() {
    while (true) {
      co_await sleep_for(w_, 100ms);
      if (w_.now() - tick_ > 400ms) {
        slept_ = w_.now() - tick_;
        waking_until_ = w_.now() + 200ms;
      }
      tick_ = w_.now();
    }
  }

  // How long this process was frozen, if it has only just woken.
  Duration overslept() const {
    Duration const since = w_.now() - tick_;
    if (since > 400ms) return since;
    return w_.now() < waking_until_ ? slept_ : Duration{};
  }

  Task<CarryReply> carried(Carry c) {
    if (!n_.fresh) co_return not_run("admit", s_.id, "node is not ready");
    if (refusing_carried()) co_return not_run("admit", s_.id, "node is leaving");
    if (carried_in_flight_ >= 4096) co_return not_run("admit", s_.id, "backlog full");
    // What it lost on its way, in a frozen process or a held-up link, is gone
    // from its time; past its deadline it doesn't run.
    std::int64_t const late =
        broken_on_purpose("runs_late") ? 0 : as_ms(transit_.late(c.sender, c.sent_us, w_.now()).value_or(overslept()));
    if (late >= static_cast<std::int64_t>(c.budget_ms)) co_return not_run("admit", s_.id, "came after its deadline");
    c.budget_ms -= static_cast<std::uint32_t>(late);
    ++carried_in_flight_;
    CarryReply r;
    if (!c.instance.empty())
      r = co_await beside_.execute(std::move(c));
    else
      r = co_await pass_on(std::move(c));
    --carried_in_flight_;
    co_return r;
  }

  // The gateway's part: to a local backend or nowhere, once.
  Task<CarryReply> pass_on(Carry c) {
    if (!s_.gateway || !c.crossed) co_return not_run("gateway", s_.id, "not a crossing for a gateway");
    std::shared_ptr<Rules const> const rules = n_.rules;
    Index const s = rules->layout.service_names.find(c.service);
    if (s == no_index) co_return not_run("gateway", s_.id, "service is in no layout here");
    Choice const choice = n_.choose(*rules, s, c.slice);
    if (!choice.stay) co_return not_run("gateway", s_.id, "the catalogue here has it elsewhere");
    std::optional<Target> const t = out_.pick_target(c.service, c.keyed, c.slice, choice, {}, false);
    if (!t) co_return not_run("pick", s_.cell, "no usable backend");
    c.instance = t->instance;
    Instant const deadline = w_.now() + std::chrono::milliseconds(c.budget_ms);
    co_return co_await out_.carry_to(*t, c, deadline);
  }

  NodeState<W>& n_;
  W& w_;
  ProxySettings& s_;
  BackendSide<W, B>& beside_;
  CallerSide<W, B>& out_;
  Transit transit_;
  Instant tick_, waking_until_{};
  Duration slept_{};
  std::size_t carried_in_flight_ = 0;
};

}  // namespace banktide
