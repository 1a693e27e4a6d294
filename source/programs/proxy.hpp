// The node on every application machine. It takes its callers' calls, decides
// for each whether it stays in the cell, crosses to another cell's gateway or
// is dropped, carries it to the node beside the backend, and is that node for
// its own backends. A gateway is a node that also takes calls from other cells
// and passes them to local backends only, never further.
#pragma once

#include "coordination/ring.hpp"
#include "coordination/slice_leases.hpp"
#include "coordination/transit.hpp"
#include "protocol/call.hpp"
#include "programs/registry.hpp"
#include "state/decisions.hpp"
#include "state/pick.hpp"
#include "state/retry_budget.hpp"

namespace banktide {

struct ProxySettings {
  std::string id;
  std::string cell;
  Address address;
  bool gateway = false;
  std::vector<Address> seeds;
  std::chrono::milliseconds beat_expiry{3000};
  std::uint32_t backend_limit = 128;
  std::uint32_t slice_limit = 32;
  std::size_t decisions_kept = 8192;
};

// Makes the call to a backend on this machine: one fresh connection, no second
// try, no redirect. The proof in its mishap says whether anything was sent.
template <class B>
concept BackendEdge = requires(B& b, std::uint16_t port, HttpRequest q, Instant t) {
  { b.run(port, q, t) } -> std::same_as<Task<Result<HttpReply>>>;
  { b.listens(port) } -> std::same_as<Task<bool>>;
};

struct Rules {
  Layout layout;
  Catalogue catalogue;
  Revision routing = 0;
  Revision catalogue_revision = 0;
};

template <Surroundings W, BackendEdge B>
class Proxy {
 public:
  Proxy(W& w, B& backends, ProxySettings s)
      : w_(w),
        edge_(backends),
        s_(std::move(s)),
        leases_(w),
        life_(w.chance()()),
        holder_(s_.id + "#" + std::to_string(life_)),
        started_(w.now()),
        tick_(w.now()),
        journal_(s_.id, life_, s_.decisions_kept) {}

  void start(Desk& desk) {
    desk.on<Meet>([this](Meet q) { return meet(std::move(q)); });
    desk.on<News>([this](News q) { return news(std::move(q)); });
    desk.on<Follow>([this](Follow q) { return follow(q); });
    desk.on<Beat>([this](Beat q) { return beaten(std::move(q)); });
    desk.on<Drain>([this](Drain q) { return drain(std::move(q)); });
    desk.on<Carry>([this](Carry q) { return carried(std::move(q)); });
    desk.on<DecisionsAsk>([this](DecisionsAsk q) -> Task<DecisionsReply> { co_return journal_.since(q); });
    desk.on<StateAsk>([this](StateAsk) -> Task<StateReply> { co_return StateReply{state().dump()}; });
    spawn(w_, keep_meeting());
    spawn(w_, keep_joined());
    spawn(w_, keep_fresh());
    spawn(w_, keep_beating());
    spawn(w_, keep_leases());
    spawn(w_, keep_probing());
  }

  bool ready() const { return fresh_ && viewed_ && !leaving_; }
  bool idle() const {
    return (calls_in_flight_ == 0 && carried_in_flight_ == 0) || broken_on_purpose("leaves_at_once");
  }
  void leave() {
    leaving_ = true;
    left_at_ = w_.now();
    touch();
  }
  // After the news that this node leaves has had time to spread, calls carried
  // here by late knowers are dropped as not run, so that the node empties.
  bool refusing_carried() const { return leaving_ && w_.now() - left_at_ > 2s; }
  // Takes up what may change while it runs.
  void tune(ProxySettings const& s) {
    s_.beat_expiry = s.beat_expiry;
    s_.backend_limit = s.backend_limit;
    s_.slice_limit = s.slice_limit;
  }
  CellView const& view() const { return view_; }
  Rules const& rules() const { return *rules_; }
  RetryBudget const& budget() const { return budget_; }
  std::size_t extra_tries() const { return extra_tries_; }

  // ---- the caller's edge

  Task<HttpReply> call(HttpRequest q) {
    std::uint64_t const id = ++last_call_;
    CallChart chart;
    Instant const start = w_.now();
    std::shared_ptr<Rules const> const rules = rules_;
    if (!ready())
      co_return dropped(chart, id, *rules, "", 503,
                        Mishap{"admit", s_.id, leaving_ ? "node is leaving" : "node is not ready", Proof::not_run});
    if (calls_in_flight_ >= 4096)
      co_return dropped(chart, id, *rules, "", 503, Mishap{"admit", s_.id, "backlog full", Proof::not_run});
    Index const s = rules->layout.way_of(q.target);
    if (s == no_index)
      co_return dropped(chart, id, *rules, "", 404, Mishap{"find_way", s_.id, "no way for this path", Proof::not_run});
    Service const& service = rules->layout.services[s];
    Carry carry;
    carry.service = service.name;
    carry.routing = rules->routing;
    if (service.keyed()) {
      std::string const key = header_of(q, service.key_header);
      if (key.empty())
        co_return dropped(chart, id, *rules, service.name, 400,
                          Mishap{"find_key", s_.id, "no key in header " + service.key_header, Proof::not_run});
      carry.keyed = true;
      carry.slice = service.slice_of(key);
    }
    Duration patience = service.timeout;
    std::string const asked = header_of(q, "banktide-timeout-ms");
    if (!asked.empty()) {
      if (asked.size() > 5 || asked.find_first_not_of("0123456789") != std::string::npos || std::stoul(asked) < 1)
        co_return dropped(chart, id, *rules, service.name, 400,
                          Mishap{"find_deadline", s_.id, "banktide-timeout-ms must be 1..99999", Proof::not_run});
      patience = std::min<Duration>(patience, std::chrono::milliseconds(std::stoul(asked)));
    }
    Choice const choice = choose(*rules, s, carry.slice);
    if (broken_on_purpose("drops_all"))
      co_return dropped(chart, id, *rules, service.name, 503, Mishap{"decide", s_.id, "", Proof::not_run});
    if (!choice.dropped.empty())
      co_return dropped(chart, id, *rules, service.name, 503, Mishap{"decide", s_.id, choice.dropped, Proof::not_run},
                        &carry);
    bool const repeatable = service.may_repeat(q.method);
    carry.request = std::move(q);
    strip(carry.request.headers, true);
    chart.step(CallState::admitted);
    ++calls_in_flight_;
    HttpReply reply = co_await tries(chart, id, *rules, choice, std::move(carry), repeatable, start + patience);
    --calls_in_flight_;
    co_return reply;
  }

  // ---- the backends' and the platform's edge

  static constexpr char const* beat_schema = R"({
    "type": "object", "additionalProperties": false, "required": ["service", "instance", "port"],
    "properties": {
      "service": {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$"},
      "instance": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$"},
      "port": {"type": "integer", "minimum": 1, "maximum": 65535},
      "burden": {"type": "integer", "minimum": 0, "maximum": 1000000},
      "leaving": {"type": "boolean"}}})";

  HttpReply beat(std::string const& body) {
    Result<Json> j = parse_json(body, 4096);
    Result<bool> const fits = j ? check_schema(*j, beat_schema) : Result<bool>(tl::unexpected<Mishap>(j.error()));
    if (!fits) {
      note("bad_beat", fits.error());
      return json_reply(fits.error().step == "parse_json" || fits.error().step == "check_size" ? 400 : 422,
                        {{"error", fits.error().reason}, {"step", fits.error().step}, {"pointer", fits.error().peer}});
    }
    std::string const service = (*j)["service"].get<std::string>(), instance = (*j)["instance"].get<std::string>();
    std::pair<std::string, std::string> const key{service, instance};
    std::uint16_t const port = (*j)["port"].get<std::uint16_t>();
    bool const leaving = j->value("leaving", false);
    // A port speaks for one instance: the newest to beat from it.
    std::erase_if(local_,
                  [&](auto const& l) { return l.second.record.port == port && l.first != key && (touch(), true); });
    auto it = local_.find(key);
    if (it == local_.end()) {
      if (local_.size() >= 256) return json_reply(503, {{"error", "256 backends beat here already"}, {"step", "beat"}});
      it = local_.emplace(key, Local{}).first;
      it->second.record = BackendRecord{service, instance, s_.id, port, 0, Standing::fit};
      touch();
    }
    Local& l = it->second;
    std::uint32_t const burden = j->value("burden", 0u);
    Standing const standing = leaving || l.record.standing == Standing::leaving ? Standing::leaving : Standing::fit;
    if (standing != l.record.standing || port != l.record.port || burden / 4 != l.record.burden / 4) touch();
    if (standing == Standing::leaving && l.record.standing != Standing::leaving) {
      l.record.standing = standing;
      spawn(w_, spread_drain(l.record));
    }
    l.record.standing = standing;
    l.record.port = port;
    l.record.burden = burden;
    l.refused = false;
    l.beaten = w_.now();
    return json_reply(200, {{"known", true}, {"cell", s_.cell}, {"node", s_.id}, {"in_flight", l.in_flight}});
  }

  HttpReply platform(HttpRequest const& q) {
    std::string const path = q.target.substr(0, q.target.find('?'));
    if (path == "/beat") {
      if (q.method == "POST") return beat(q.body);
      HttpReply no = json_reply(405, {{"error", "use POST"}});
      no.headers.push_back({"Allow", "POST"});
      return no;
    }
    if (path == "/live") return json_reply(200, {{"live", true}});
    if (path == "/ready")
      return json_reply(ready() ? 200 : 503,
                        {{"ready", ready()}, {"fresh", fresh_}, {"viewed", viewed_}, {"leaving", leaving_}});
    if (path == "/state") return json_reply(200, state());
    if (path == "/mishaps") return json_reply(200, mishaps());
    return json_reply(404, {{"error", "no such resource"}, {"path", path}});
  }

  Json state() const {
    Json j = view_json(view_);
    j["node"] = s_.id;
    j["cell"] = s_.cell;
    j["gateway"] = s_.gateway;
    j["epoch"] = at_.epoch;
    j["position"] = at_.seq;
    j["routing"] = rules_->routing;
    j["catalogue"] = rules_->catalogue_revision;
    j["ready"] = ready();
    j["budget"] = {{"firsts", budget_.firsts()}, {"extras", budget_.extras()}};
    j["calls"] = {{"taken", last_call_},
                  {"in_flight", calls_in_flight_},
                  {"carried_in_flight", carried_in_flight_},
                  {"extra_tries", extra_tries_}};
    Json leases = Json::array();
    for (auto const& [slice, l] : leases_.held())
      leases.push_back({{"service", slice.service},
                        {"mapping", slice.mapping},
                        {"slice", slice.slice},
                        {"wanted", l.wanted},
                        {"ends_in_ms", as_ms(l.until - w_.now())},
                        {"instance", l.instance},
                        {"epoch", l.epoch},
                        {"in_flight", l.in_flight}});
    j["leases"] = leases;
    Json local = Json::array();
    for (auto const& [key, l] : local_)
      local.push_back({{"service", key.first},
                       {"instance", key.second},
                       {"port", l.record.port},
                       {"burden", l.record.burden},
                       {"in_flight", l.in_flight},
                       {"standing", l.refused                              ? "refusing"
                                    : w_.now() - l.beaten > s_.beat_expiry ? "silent"
                                                                           : standing_name(l.record.standing)}});
    j["local"] = local;
    j["mishaps"] = noted_.last();
    return j;
  }

 private:
  static constexpr Duration pulse_missed = 600ms;
  static constexpr Duration suspect_after = 1200ms;

  struct Local {
    BackendRecord record;
    Instant beaten{};
    std::uint32_t in_flight = 0;
    bool refused = false;  // connections were refused since its last beat
    bool probing = false;
  };

  struct Target {
    Address node;
    std::string instance;  // empty: a gateway
    std::string cell;
    std::string mark;
  };

  // ---- a call's tries

  HttpReply dropped(CallChart& chart, std::uint64_t const id, Rules const& rules, std::string const& service,
                    std::uint16_t const status, Mishap const& m, Carry const* const c = nullptr) {
    chart.step(CallState::dropped);
    bool const unknown = m.proof == Proof::unknown;
    record(id, chart, "drop", service, m, rules, c);
    HttpReply reply = json_reply(
        status,
        {{"error", m.reason}, {"outcome", unknown ? "unknown" : "not-run"}, {"step", m.step}, {"peer", m.peer}});
    reply.headers.push_back({"banktide-outcome", unknown ? "unknown" : "not-run"});
    if ((status >= 500 || status == 429) && !broken_on_purpose("no_retry_after"))
      reply.headers.push_back({"Retry-After", "1"});
    return reply;
  }

  void record(std::uint64_t const id, CallChart const& chart, char const* const decision, std::string const& service,
              Mishap const& m, Rules const& rules, Carry const* const c = nullptr, std::string const& cell = "") {
    CallEvent e;
    e.at_ms = as_ms(w_.now() - started_);
    e.call = id;
    e.state = state_name(chart.state());
    e.decision = decision;
    e.service = service;
    e.reason = m.reason;
    e.step = m.step;
    e.peer = m.peer;
    e.cell = cell.empty() ? s_.cell : cell;
    e.keyed = c != nullptr && c->keyed;
    e.slice = e.keyed ? c->slice : 0;
    e.routing = rules.routing;
    e.catalogue = rules.catalogue_revision;
    journal_.append(std::move(e));
  }

  Task<HttpReply> tries(CallChart& chart, std::uint64_t const id, Rules const& rules, Choice const& choice, Carry carry,
                        bool const repeatable, Instant const deadline) {
    std::set<std::string> tried;
    Mishap last{"pick", s_.cell, "no usable backend", Proof::not_run};
    bool maybe_ran = false;
    for (int n = 0; n < 4; ++n) {
      chart.step(CallState::picking);
      std::optional<Target> const t = pick_target(carry.service, carry.keyed, carry.slice, choice, tried, true);
      std::int64_t const left = as_ms(deadline - w_.now());
      if (!t || left <= 0) {
        if (t) last = Mishap{"pick", s_.cell, "deadline", Proof::not_run};
        break;
      }
      if (n == 0 || broken_on_purpose("no_budget")) {
        budget_.first(w_.now());
      } else if (!budget_.extra(w_.now())) {
        last.reason += "; retry budget spent";
        break;
      } else {
        ++extra_tries_;
      }
      tried.insert(t->mark);
      carry.instance = t->instance;
      carry.crossed = t->instance.empty();
      carry.budget_ms = static_cast<std::uint32_t>(left);
      chart.step(CallState::carrying);
      record(id, chart, carry.crossed ? "cross" : "stay", carry.service,
             Mishap{"carry", t->node,
                    n > 0            ? "after a failed try"
                    : choice.home    ? "home of the slice"
                    : choice.settled ? "catalogue"
                    : carry.crossed  ? "no usable backend here"
                                     : "local first",
                    Proof::unknown},
             rules, &carry, t->cell);
      CarryReply r = co_await carry_to(*t, carry, deadline);
      chart.step(CallState::waiting);
      if (r.outcome == Outcome::answered && !(broken_on_purpose("no_budget") && repeatable && n == 0)) {
        chart.step(CallState::answered);
        record(id, chart, carry.crossed ? "cross" : "stay", carry.service,
               Mishap{"answer", t->node, std::to_string(r.reply.status), Proof::unknown}, rules, &carry, t->cell);
        r.reply.headers.push_back({"banktide-outcome", "answered"});
        if (broken_on_purpose("swaps_answers") && w_.chance()() % 50 == 0) std::swap(r.reply.body, swapped_);
        co_return std::move(r.reply);
      }
      last = Mishap{r.step, r.peer.empty() ? t->node : r.peer, r.reason,
                    r.outcome == Outcome::not_run ? Proof::not_run : Proof::unknown};
      note("carry", last);
      if (r.outcome == Outcome::unknown) {
        maybe_ran = true;
        if (!repeatable && !broken_on_purpose("tries_unknown_again")) break;
      }
      if (r.step == "lease") break;  // nobody else may have the slice either
    }
    if (broken_on_purpose("calls_unknown_not_run")) maybe_ran = false;
    if (maybe_ran) last.proof = Proof::unknown;
    co_return dropped(chart, id, rules, carry.service, maybe_ran ? 504 : 503, last, &carry);
  }

  // The cells that have a backend of the service, by this view.
  std::set<std::string> offering(std::string const& service, Instant const now) const {
    std::set<std::string> cells;
    for (auto it = view_.backends.lower_bound({service, ""});
         it != view_.backends.end() && it->first.first == service && cells.empty(); ++it)
      if (fit(it->second, now)) cells.insert(s_.cell);
    for (auto const& [name, c] : view_.cells)
      if (name != s_.cell && !c.gateways.empty() &&
          std::find(c.offers.begin(), c.offers.end(), service) != c.offers.end())
        cells.insert(name);
    return cells;
  }

  Choice choose(Rules const& rules, Index const service, std::uint32_t const slice) const {
    return choose_cells(rules.layout, rules.catalogue, s_.cell, service, slice,
                        [&] { return offering(rules.layout.services[service].name, w_.now()); });
  }

  bool fit(BackendRecord const& b, Instant const now) const {
    if (broken_on_purpose("drain_unheard")) return view_.usable_node(b.node);
    if (b.standing != Standing::fit || !view_.usable_node(b.node)) return false;
    auto const d = drained_.find({b.service, b.instance});
    if (d != drained_.end() && now < d->second) return false;
    if (b.node == s_.id) {
      auto const l = local_.find({b.service, b.instance});
      return l != local_.end() && usable(l->second, now);
    }
    return true;
  }

  bool usable(Local const& l, Instant const now) const {
    return (l.record.standing == Standing::fit || broken_on_purpose("drain_unheard")) && !l.refused &&
           now - l.beaten <= s_.beat_expiry;
  }

  // The one backend of the cell that should have the slice, by this view.
  BackendRecord const* owner_of(std::string const& service, std::uint32_t const slice, Instant const now) const {
    BackendRecord const* best = nullptr;
    std::uint64_t top = 0;
    for (auto it = view_.backends.lower_bound({service, ""}); it != view_.backends.end() && it->first.first == service;
         ++it) {
      if (!fit(it->second, now)) continue;
      std::uint64_t const score = digest_of(it->second.instance + "/" + std::to_string(slice));
      if (best == nullptr || score > top) {
        best = &it->second;
        top = score;
      }
    }
    return best;
  }

  Target to_backend(BackendRecord const& b) const {
    return Target{b.node == s_.id ? s_.address : view_.members.at(b.node).address, b.instance, s_.cell,
                  "b:" + b.service + "/" + b.instance};
  }

  std::optional<Target> pick_target(std::string const& service, bool const keyed, std::uint32_t const slice,
                                    Choice const& choice, std::set<std::string> const& tried, bool const may_cross) {
    Instant const now = w_.now();
    std::vector<Target> targets, ejected;
    std::vector<Candidate> candidates;
    if (choice.stay && keyed) {
      BackendRecord const* const owner = owner_of(service, slice, now);
      if (owner == nullptr) return std::nullopt;
      Target t = to_backend(*owner);
      if (tried.contains(t.mark)) return std::nullopt;
      return t;
    }
    if (choice.stay && !(broken_on_purpose("crosses_first") && may_cross && !view_.cells.empty())) {
      for (auto it = view_.backends.lower_bound({service, ""});
           it != view_.backends.end() && it->first.first == service; ++it) {
        BackendRecord const& b = it->second;
        if (!fit(b, now)) continue;
        Target t = to_backend(b);
        if (tried.contains(t.mark)) continue;
        if (marks_.ejected(t.mark, now) || marks_.ejected("n:" + t.node, now)) {
          ejected.push_back(std::move(t));
          continue;
        }
        candidates.push_back(
            Candidate{static_cast<double>(b.burden) + marks_.at(t.mark, now).in_flight, marks_.entry(t.mark, now)});
        targets.push_back(std::move(t));
      }
      if (!targets.empty()) return targets[pick(candidates, w_.chance())];
    }
    if (may_cross) {
      for (auto const& [name, cell] : view_.cells) {
        if (choice.settled && std::find(choice.others.begin(), choice.others.end(), name) == choice.others.end())
          continue;
        if (name == s_.cell || std::find(cell.offers.begin(), cell.offers.end(), service) == cell.offers.end())
          continue;
        if (tried.contains("c:" + name) || marks_.ejected("c:" + name + "/" + service, now)) continue;
        for (Member const& g : cell.gateways) {
          Target t{g.address, "", name, "g:" + g.address};
          if (tried.contains(t.mark)) continue;
          if (marks_.ejected(t.mark, now) || marks_.ejected("n:" + g.address, now)) {
            ejected.push_back(std::move(t));
            continue;
          }
          candidates.push_back(
              Candidate{static_cast<double>(marks_.at(t.mark, now).in_flight), marks_.entry(t.mark, now)});
          targets.push_back(std::move(t));
        }
      }
      if (!targets.empty()) return targets[pick(candidates, w_.chance())];
    }
    // All that is left are ejected ones: better one of them than nothing.
    if (!ejected.empty() && tried.empty()) return ejected[w_.chance()() % ejected.size()];
    return std::nullopt;
  }

  Task<CarryReply> carry_to(Target const& t, Carry const& c, Instant const deadline) {
    ++marks_.at(t.mark, w_.now()).in_flight;
    CarryReply r;
    if (t.node == s_.address && !t.instance.empty()) {
      r = co_await execute(c);
    } else {
      Carry stamped = c;
      stamped.sender = holder_;
      stamped.sent_us = std::chrono::duration_cast<std::chrono::microseconds>(w_.now().time_since_epoch()).count();
      Result<CarryReply> got = co_await ask(w_, t.node, std::move(stamped), deadline + 20ms);
      if (got) {
        r = std::move(*got);
      } else {
        r.outcome = got.error().proof == Proof::not_run ? Outcome::not_run : Outcome::unknown;
        r.step = got.error().step;
        r.peer = t.node;
        r.reason = got.error().reason;
        marks_.bad("n:" + t.node, w_.now(), got.error().step == "connect");
      }
    }
    Instant const now = w_.now();
    Mark& m = marks_.at(t.mark, now);
    if (m.in_flight > 0) --m.in_flight;
    if (r.outcome == Outcome::answered) {
      marks_.fine(t.mark, now);
      marks_.fine("n:" + t.node, now);
    } else if (!c.keyed) {
      bool const refused = r.step == "connect" || r.step == "backend";
      marks_.bad(t.mark, now, refused);
      if (t.instance.empty() && r.step == "pick") marks_.bad("c:" + t.cell + "/" + c.service, now, true);
    }
    co_return r;
  }

  // ---- a call carried here by another node

  // How long this process was frozen, if it has only just woken.
  Duration overslept() const {
    Duration const since = w_.now() - tick_;
    if (since > 400ms) return since;
    return w_.now() < waking_until_ ? slept_ : Duration{};
  }

  static CarryReply not_run(std::string step, std::string peer, std::string reason) {
    return CarryReply{Outcome::not_run, {}, std::move(step), std::move(peer), std::move(reason)};
  }

  Task<CarryReply> carried(Carry c) {
    if (!fresh_) co_return not_run("admit", s_.id, "node is not ready");
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
      r = co_await execute(std::move(c));
    else
      r = co_await pass_on(std::move(c));
    --carried_in_flight_;
    co_return r;
  }

  // The gateway's part: to a local backend or nowhere, once.
  Task<CarryReply> pass_on(Carry c) {
    if (!s_.gateway || !c.crossed) co_return not_run("gateway", s_.id, "not a crossing for a gateway");
    std::shared_ptr<Rules const> const rules = rules_;
    Index const s = rules->layout.service_names.find(c.service);
    if (s == no_index) co_return not_run("gateway", s_.id, "service is in no layout here");
    Choice const choice = choose(*rules, s, c.slice);
    if (!choice.stay) co_return not_run("gateway", s_.id, "the catalogue here has it elsewhere");
    std::optional<Target> const t = pick_target(c.service, c.keyed, c.slice, choice, {}, false);
    if (!t) co_return not_run("pick", s_.cell, "no usable backend");
    c.instance = t->instance;
    Instant const deadline = w_.now() + std::chrono::milliseconds(c.budget_ms);
    co_return co_await carry_to(*t, c, deadline);
  }

  // The part of the node beside the backend.
  Task<CarryReply> execute(Carry c) {
    Instant const now = w_.now();
    Instant const deadline = now + std::chrono::milliseconds(c.budget_ms);
    std::pair<std::string, std::string> const key{c.service, c.instance};
    Index const s = rules_->layout.service_names.find(c.service);
    if (s == no_index) co_return not_run("backend", s_.id, "service is in no layout here");
    Service const& service = rules_->layout.services[s];
    std::string const named = service.keyed() ? header_of(c.request, service.key_header) : "";
    if (service.keyed() != c.keyed || (c.keyed && (named.empty() || service.slice_of(named) != c.slice)))
      co_return not_run("slice", s_.id, "layouts differ on the key's slice");
    Choice const choice = choose(*rules_, s, c.slice);
    if (!choice.stay && !choice.home && !broken_on_purpose("old_catalogue"))
      co_return not_run("catalogue", s_.id, "the catalogue here has it elsewhere");
    auto const it = local_.find(key);
    if (it == local_.end() || !usable(it->second, now))
      co_return not_run("backend", s_.id, "backend is gone, leaving or silent");
    if (it->second.in_flight >= s_.backend_limit) co_return not_run("backlog", s_.id, "backend has its fill");
    Slice const slice{c.service, service.mapping(), c.slice};
    std::uint64_t epoch = 0;
    if (c.keyed) {
      auto const lease = leases_.held().find(slice);
      if (lease != leases_.held().end() && lease->second.in_flight >= s_.slice_limit)
        co_return not_run("backlog", s_.id, "slice has its fill");
      Result<std::uint64_t> const admitted = leases_.admit(slice, c.instance, deadline);
      if (!admitted) co_return not_run(admitted.error().step, s_.id, admitted.error().reason);
      epoch = *admitted;
    }
    ++it->second.in_flight;
    std::uint16_t const port = it->second.record.port;
    HttpRequest q = std::move(c.request);
    strip(q.headers, true);
    q.headers.push_back({"banktide-service", c.service});
    q.headers.push_back({"banktide-instance", c.instance});
    q.headers.push_back({"banktide-deadline-ms", std::to_string(c.budget_ms)});
    if (c.keyed) {
      q.headers.push_back({"banktide-slice", std::to_string(c.slice)});
      q.headers.push_back({"banktide-epoch", std::to_string(epoch)});
    }
    Result<HttpReply> reply = co_await edge_.run(port, std::move(q), deadline);
    bool const unknown = !reply && reply.error().proof == Proof::unknown;
    if (c.keyed) leases_.done(slice, unknown ? deadline : w_.now());
    auto const after = local_.find(key);
    if (after != local_.end()) {
      if (after->second.in_flight > 0) --after->second.in_flight;
      if (!reply && reply.error().step == "connect") after->second.refused = true;
    }
    if (!reply)
      co_return CarryReply{
          unknown ? Outcome::unknown : Outcome::not_run, {}, reply.error().step, s_.id, reply.error().reason};
    bool const marked = std::any_of(reply->headers.begin(), reply->headers.end(),
                                    [](Header const& h) { return h.name == "banktide-not-run"; });
    if (marked) co_return not_run("backend_said", s_.id, "backend says it did not run");
    strip(reply->headers, false);
    co_return CarryReply{Outcome::answered, std::move(*reply), "", "", ""};
  }

  static void strip(std::vector<Header>& headers, bool const of_request) {
    std::string named;
    auto const lower = [](std::string s) {
      for (char& ch : s) ch = static_cast<char>(std::tolower(static_cast<unsigned char>(ch)));
      return s;
    };
    for (Header const& h : headers)
      if (lower(h.name) == "connection") named += "," + lower(h.value) + ",";
    std::erase(named, ' ');
    static std::set<std::string> const hop{
        "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
        "trailer",    "transfer-encoding", "upgrade",          "content-length"};
    std::erase_if(headers, [&](Header const& h) {
      std::string const n = lower(h.name);
      return hop.contains(n) || n.starts_with("banktide-") || (of_request && (n == "host" || n == "expect")) ||
             named.find("," + n + ",") != std::string::npos;
    });
  }

  // ---- drains

  Task<void> spread_drain(BackendRecord const b) {
    log_info("drain", {{"service", b.service}, {"instance", b.instance}});
    std::pair<std::string, std::string> const key{b.service, b.instance};
    for (int i = 0; i < 60 && local_.contains(key) && !broken_on_purpose("drain_unheard"); ++i) {
      for (auto const& [id, m] : view_.members)
        if (id != s_.id && m.role != Role::registry) tell(w_, m.address, Drain{b});
      co_await sleep_for(w_, 250ms);
    }
  }

  Task<Told> drain(Drain q) {
    if (drained_.size() < 4096) drained_[{q.backend.service, q.backend.instance}] = w_.now() + 10s;
    co_return Told{};
  }

  // ---- membership and news

  void touch() {
    dirty_ = true;
    join_alarm_.wake();
  }

  Address own_registry() const {
    for (RegistryEntry const& e : directory_)
      if (e.cell == s_.cell) return e.address;
    return "";
  }

  void learn(std::vector<RegistryEntry> const& entries) {
    for (RegistryEntry const& e : entries)
      if (directory_.size() < 256 && std::find(directory_.begin(), directory_.end(), e) == directory_.end())
        directory_.push_back(e);
  }

  Task<MeetReply> meet(Meet q) {
    learn(q.registries);
    co_return MeetReply{directory_, cores_};
  }

  Task<void> keep_meeting() {
    while (true) {
      Meet const question{directory_};
      auto const replies =
          co_await ask_all<Meet>(w_, s_.seeds, question, w_.now() + 500ms, [](auto const&) { return false; });
      for (auto const& [i, r] : replies)
        if (r) {
          learn(r->registries);
          cores_ = std::max(cores_, r->cores);
        }
      co_await sleep_for(w_, own_registry().empty() || directory_.size() < 2 ? 200ms : 2000ms);
    }
  }

  Task<void> keep_joined() {
    Instant last{};
    while (true) {
      if (!dirty_ && w_.now() - last < 1s) co_await join_alarm_.wait(std::min(w_.now() + 250ms, last + 1s));
      if (!dirty_ && w_.now() - last < 1s) continue;
      Address const registry = own_registry();
      if (registry.empty()) {
        co_await sleep_for(w_, 100ms);
        continue;
      }
      dirty_ = false;
      last = w_.now();
      Join q;
      q.self = Member{s_.id,        s_.cell,
                      s_.address,   s_.gateway ? Role::gateway : Role::node,
                      incarnation_, leaving_ ? Standing::leaving : Standing::fit};
      for (auto const& [key, l] : local_) {
        BackendRecord b = l.record;
        b.burden = b.burden / 4 * 4;
        if (w_.now() - l.beaten <= s_.beat_expiry && !l.refused) q.backends.push_back(std::move(b));
      }
      Result<JoinReply> const r = co_await ask(w_, registry, q, w_.now() + 800ms);
      if (r && !r->taken && r->incarnation > incarnation_) {
        incarnation_ = r->incarnation;
        dirty_ = true;
      }
      if (!r)
        co_await sleep_for(w_, 200ms);
      else
        co_await sleep_for(w_, 10ms);
    }
  }

  void take_layouts(std::vector<std::pair<Register, Held>> const& newer) {
    bool changed = false;
    for (auto const& [r, h] : newer) {
      if (static_cast<std::uint8_t>(r) > 1) continue;
      if (broken_on_purpose("old_catalogue") && r == Register::catalogue && held_[1].revision > 0) continue;
      Held& mine = held_[static_cast<std::size_t>(r)];
      if (h.revision <= mine.revision || digest_of(h.bytes) != h.digest) continue;
      mine = h;
      changed = true;
    }
    if (!changed) return;
    Held const& routing = held_[0];
    Held const& catalogue = held_[1];
    std::shared_ptr<Rules> next = std::make_shared<Rules>();
    if (routing.revision > 0) {
      Result<Layout> l = Layout::read(routing.bytes);
      if (!l) {
        note("layout", l.error());
        return;
      }
      next->layout = std::move(*l);
      next->routing = routing.revision;
    }
    if (catalogue.revision > 0) {
      Result<Catalogue> c = Catalogue::read(catalogue.bytes, next->layout, true);
      if (c)
        next->catalogue = std::move(*c);
      else
        note("catalogue", c.error());
      next->catalogue_revision = catalogue.revision;
    }
    bool const back = broken_on_purpose("slips_back") && next->routing % 7 == 0;
    std::shared_ptr<Rules const> const former = std::exchange(older_, rules_);
    rules_ = back ? former : next;
    log_info("in_force", {{"routing", std::to_string(routing.revision)},
                          {"catalogue", std::to_string(catalogue.revision)},
                          {"at_ms", std::to_string(as_ms(w_.now().time_since_epoch()))}});
  }

  Task<Told> news(News q) {
    take_layouts(q.layouts);
    if (q.at.epoch == pulse_epoch_ && q.pulse <= pulse_) co_return Told{};
    pulse_epoch_ = q.at.epoch;
    pulse_ = q.pulse;
    if (q.vouched) vouched_ = w_.now();
    for (std::string const& id : relays_below(s_.id, nodes()))
      if (view_.members.contains(id)) tell(w_, view_.members.at(id).address, q);
    fold(q.at, q.changes);
    if (!q.vouched || !(q.at == at_) || q.routing > held_[0].revision || q.catalogue > held_[1].revision) behind();
    co_return Told{};
  }

  void fold(Position const at, std::vector<Change> const& changes) {
    if (at.epoch != at_.epoch) return;
    for (Change const& c : changes) {
      if (c.seq != at_.seq + 1) continue;
      at_.seq = c.seq;
      view_.fold(c);
    }
    check_own();
  }

  // If the cell's view has us wrong, say so.
  void check_own() {
    auto const me = view_.members.find(s_.id);
    if (me == view_.members.end() || me->second.standing != (leaving_ ? Standing::leaving : Standing::fit)) touch();
  }

  void behind() {
    is_behind_ = true;
    fresh_alarm_.wake();
  }

  std::vector<std::string> nodes() const {
    std::vector<std::string> ids;
    for (auto const& [id, m] : view_.members)
      if (m.role != Role::registry) ids.push_back(id);
    return ring_order(ids);
  }

  Task<bool> catch_up(Address const from) {
    Follow const question{at_};
    Result<FollowReply> r = co_await ask(w_, from, question, w_.now() + 250ms);
    if (!r || !r->known) co_return false;
    if (r->snapshot) {
      view_.replace(*r->snapshot);
      at_ = r->snapshot->at;
      check_own();
    } else {
      fold(r->at, r->changes);
    }
    viewed_ = true;
    co_return true;
  }

  // Layouts from every registry asked that vouches for them.
  Task<bool> catch_up_layouts(std::vector<Address> const from) {
    bool const fresh = !fresh_;
    LayoutsAsk const question{held_[0].revision, held_[1].revision, fresh};
    auto const replies = co_await ask_all<LayoutsAsk>(w_, from, question, w_.now() + (fresh ? 1000ms : 400ms),
                                                      [](auto const&) { return false; });
    bool known = false;
    for (auto const& [i, r] : replies) {
      if (!r || !r->known) continue;
      take_layouts(r->newer);
      known = true;
    }
    if (known) fresh_ = true;
    co_return known;
  }

  // Behind or without a pulse, a node asks its registry. While that is gone, or
  // has no majority to vouch for its layouts, every other cell's is asked for
  // them too: the one way in which cells lean on each other's control planes.
  Task<void> keep_fresh() {
    while (true) {
      if (!is_behind_) co_await fresh_alarm_.wait(w_.now() + 150ms);
      bool const unvouched = w_.now() - vouched_ > pulse_missed;
      if (!is_behind_ && !unvouched && fresh_ && viewed_) continue;
      is_behind_ = false;
      Address const own = own_registry();
      bool const followed = !own.empty() && co_await catch_up(own);
      std::vector<Address> from, others;
      for (RegistryEntry const& e : directory_) (e.cell == s_.cell ? from : others).push_back(e.address);
      if ((!followed || unvouched) && !broken_on_purpose("own_registry_only"))
        from.insert(from.end(), others.begin(), others.end());
      bool const layouts = co_await catch_up_layouts(from);
      if (!followed && !viewed_ && !others.empty() && w_.now() - started_ > 3s)
        co_await borrow_view(others[w_.chance()() % others.size()]);
      co_await sleep_for(w_, followed && layouts ? 20ms : 150ms);
    }
  }

  // A node that starts while its registry is gone knows no cell mates; it can
  // still cross by what another cell's registry knows.
  Task<void> borrow_view(Address const from) {
    Follow const question{};
    Result<FollowReply> const r = co_await ask(w_, from, question, w_.now() + 400ms);
    if (!r || !r->known || !r->snapshot || viewed_) co_return;
    for (CellEntry const& c : r->snapshot->cells)
      if (c.cell != s_.cell) view_.cells[c.cell] = c;
    viewed_ = true;
  }

  Task<FollowReply> follow(Follow) {
    FollowReply reply;
    reply.known = viewed_ && at_.epoch != 0;
    if (reply.known) reply.snapshot = view_.snapshot(at_);
    reply.at = at_;
    co_return reply;
  }

  Task<Told> beaten(Beat q) {
    heard_[q.id] = w_.now();
    if (q.at.epoch == at_.epoch && q.at.seq > at_.seq) behind();
    co_return Told{};
  }

  Task<void> keep_beating() {
    Instant last = w_.now();
    while (true) {
      co_await sleep_for(w_, 200ms);
      Instant const now = w_.now();
      bool const overslept = now - last > 800ms;
      last = now;
      expire(now);
      std::vector<std::string> ids;
      for (auto const& [id, m] : view_.members) ids.push_back(id);
      std::vector<std::string> const order = ring_order(ids);
      for (std::string const& id : watchers_of(s_.id, order))
        tell(w_, view_.members.at(id).address, Beat{s_.id, s_.address, incarnation_, at_});
      Address const registry = own_registry();
      for (auto const& [id, m] : view_.members) {
        std::vector<std::string> const watchers = watchers_of(id, order);
        bool const watched = std::find(watchers.begin(), watchers.end(), s_.id) != watchers.end();
        if (!watched || overslept) {
          heard_[id] = now;
          continue;
        }
        if (now - heard_.try_emplace(id, now).first->second > suspect_after && m.standing == Standing::fit &&
            m.role != Role::registry && !registry.empty())
          tell(w_, registry, Suspect{id, m.incarnation, s_.id});
      }
      std::erase_if(heard_, [&](auto const& h) { return !view_.members.contains(h.first); });
      std::erase_if(drained_, [&](auto const& d) { return d.second < now; });
    }
  }

  void expire(Instant const now) {
    std::erase_if(local_, [&](auto const& l) {
      bool const silent = now - l.second.beaten > s_.beat_expiry && l.second.in_flight == 0;
      if (silent) {
        log_info("backend_silent", {{"service", l.first.first}, {"instance", l.first.second}});
        touch();
      }
      return silent;
    });
    for (auto& [key, l] : local_)
      if (l.refused) touch();
  }

  // A port at which nobody listens has lost its backend: nothing goes there
  // until an instance beats from it again, so that whoever comes to the address
  // next is not called in the old one's name.
  // Each backend has a probe of its own, so that one that hangs delays no other.
  Task<void> keep_probing() {
    while (true) {
      co_await sleep_for(w_, 100ms);
      if (w_.now() - tick_ > 400ms) {
        slept_ = w_.now() - tick_;
        waking_until_ = w_.now() + 200ms;
      }
      tick_ = w_.now();
      for (auto& [key, l] : local_) {
        if (l.refused || l.probing || broken_on_purpose("no_probe")) continue;
        l.probing = true;
        spawn(w_, probe(key, l.record.port, l.beaten));
      }
    }
  }

  Task<void> probe(std::pair<std::string, std::string> const key, std::uint16_t const port, Instant const beaten) {
    bool const listens = co_await edge_.listens(port);
    auto const it = local_.find(key);
    if (it == local_.end()) co_return;
    it->second.probing = false;
    if (listens || it->second.refused || it->second.beaten != beaten) co_return;
    it->second.refused = true;
    log_info("backend_refuses", {{"service", key.first}, {"instance", key.second}});
    touch();
  }

  // ---- leases

  Task<void> keep_leases() {
    while (true) {
      co_await sleep_for(w_, 400ms);
      if (!fresh_) continue;
      std::map<Slice, std::string> wanted;
      std::shared_ptr<Rules const> const rules = rules_;
      Instant const now = w_.now();
      for (Index s = 0; s < rules->layout.services.size() && !leaving_; ++s) {
        Service const& service = rules->layout.services[s];
        for (std::uint32_t slice = 0; slice < service.slices; ++slice) {
          if (!choose(*rules, s, slice).stay) continue;
          BackendRecord const* const owner = owner_of(service.name, slice, now);
          if (owner != nullptr && owner->node == s_.id)
            wanted[Slice{service.name, service.mapping(), slice}] = owner->instance;
        }
      }
      std::vector<Address> registries;
      for (RegistryEntry const& e : directory_) registries.push_back(e.address);
      if (cores_ == 0) continue;
      co_await leases_.round(holder_, wanted, registries, cores_ / 2 + 1);
    }
  }

  // ---- notes

  void note(std::string const& what, Mishap const& m) {
    noted_.append(Noted{as_ms(w_.now() - started_), what, m.step, m.peer, m.reason});
    log_warn(what, {{"step", m.step}, {"peer", m.peer}, {"reason", m.reason}});
  }

  Json mishaps() const {
    Json j = Json::array();
    std::optional<std::vector<Noted>> const all = noted_.since(noted_.trimmed());
    for (Noted const& n : *all)
      j.push_back({{"at_ms", n.at_ms}, {"what", n.what}, {"step", n.step}, {"peer", n.peer}, {"reason", n.reason}});
    return Json{{"mishaps", j}, {"trimmed", noted_.trimmed()}};
  }

  W& w_;
  B& edge_;
  ProxySettings s_;
  SliceLeases<W> leases_;
  std::uint64_t const life_;
  std::string const holder_;
  Instant const started_;
  Instant tick_, waking_until_{};
  Duration slept_{};
  typename W::Alarm join_alarm_{w_}, fresh_alarm_{w_};
  std::shared_ptr<Rules const> rules_ = std::make_shared<Rules>();
  std::array<Held, 2> held_;
  CellView view_;
  Position at_;
  std::map<std::pair<std::string, std::string>, Local> local_;
  std::map<std::pair<std::string, std::string>, Instant> drained_;
  std::map<std::string, Instant> heard_;
  std::vector<RegistryEntry> directory_;
  Marks marks_;
  RetryBudget budget_;
  Transit transit_;
  std::string swapped_;
  std::shared_ptr<Rules const> older_ = std::make_shared<Rules>();
  Decisions journal_;
  Journal<Noted> noted_{256};
  std::uint64_t last_call_ = 0, extra_tries_ = 0, incarnation_ = 1, pulse_ = 0, pulse_epoch_ = 0;
  std::size_t calls_in_flight_ = 0, carried_in_flight_ = 0;
  Instant vouched_{}, left_at_{};
  std::uint32_t cores_ = 0;
  bool fresh_ = false, viewed_ = false, leaving_ = false, dirty_ = true, is_behind_ = false;
};

}  // namespace banktide
