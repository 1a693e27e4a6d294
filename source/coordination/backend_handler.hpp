// The part of a node that handles its local backends: it receives their heartbeats, probes their ports, announces
// their drains, holds the leases of their slices, and executes calls on them, with one try each and only by the
// node's own state.
#pragma once

#include "coordination/node_state.hpp"
#include "coordination/slice_leases.hpp"
#include "protocol/http_helpers.hpp"

namespace banktide {

// Executes a call on a backend of this machine, over one new connection, without retries or redirects. The proof in
// its error says whether the request can have run.
template <class B>
concept BackendEdge = requires(B& b, std::uint16_t port, HttpRequest q, Instant t) {
  { b.run(port, q, t) } -> std::same_as<Task<Result<HttpReply>>>;
  { b.listens(port) } -> std::same_as<Task<bool>>;
};

template <Environment Env, BackendEdge B>
class BackendHandler {
 public:
  BackendHandler(NodeState<Env>& n, B& edge)
      : n_(n), env_(n.env), settings_(n.settings), edge_(edge), leases_(n.env), last_tick_(n.env.now()) {}

  void start(Dispatcher& dispatcher) {
    dispatcher.on<Drain>([this](Drain q) { return drain(std::move(q)); });
    spawn(env_, lease_loop());
    spawn(env_, probe_loop());
    spawn(env_, expiry_loop());
  }

  SliceLeases<Env> const& leases() const { return leases_; }

  static constexpr char const* heartbeat_schema = R"({
    "type": "object", "additionalProperties": false, "required": ["service", "instance", "port"],
    "properties": {
      "service": {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$"},
      "instance": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$"},
      "port": {"type": "integer", "minimum": 1, "maximum": 65535},
      "burden": {"type": "integer", "minimum": 0, "maximum": 1000000},
      "leaving": {"type": "boolean"}}})";

  HttpReply on_heartbeat(std::string const& body) {
    detect_suspension();
    Result<Json> j = parse_json(body, 4096);
    Result<bool> const fits = j ? check_schema(*j, heartbeat_schema) : Result<bool>(tl::unexpected<Error>(j.error()));
    if (!fits) {
      n_.record_error("bad_beat", fits.error());
      return json_reply(fits.error().step == "parse_json" || fits.error().step == "check_size" ? 400 : 422,
                        {{"error", fits.error().reason}, {"step", fits.error().step}, {"pointer", fits.error().peer}});
    }
    std::string const service = (*j)["service"].get<std::string>(), instance = (*j)["instance"].get<std::string>();
    std::pair<std::string, std::string> const key{service, instance};
    std::uint16_t const port = (*j)["port"].get<std::uint16_t>();
    bool const leaving = j->value("leaving", false);
    // A port belongs to one instance: the last one that sent a heartbeat for it.
    std::erase_if(n_.local_backends,
                  [&](auto const& l) { return l.second.record.port == port && l.first != key && (n_.rejoin(), true); });
    auto it = n_.local_backends.find(key);
    if (it == n_.local_backends.end()) {
      if (n_.local_backends.size() >= 256)
        return json_reply(503, {{"error", "256 backends are registered here already"}, {"step", "beat"}});
      it = n_.local_backends.emplace(key, LocalBackendState{}).first;
      it->second.record = BackendRecord{service, instance, settings_.id, port, 0, Liveness::alive};
      n_.rejoin();
    }
    LocalBackendState& l = it->second;
    std::uint32_t const running = j->value("burden", 0u);
    Liveness const liveness = leaving || l.record.liveness == Liveness::leaving ? Liveness::leaving : Liveness::alive;
    if (liveness != l.record.liveness || port != l.record.port || running / 4 != l.record.running / 4) n_.rejoin();
    if (liveness == Liveness::leaving && l.record.liveness != Liveness::leaving) {
      l.record.liveness = liveness;
      spawn(env_, broadcast_drain(l.record));
    }
    l.record.liveness = liveness;
    l.record.port = port;
    l.record.running = running;
    l.refused = false;
    l.last_heartbeat = env_.now();
    return json_reply(200,
                      {{"known", true}, {"cell", settings_.zone}, {"node", settings_.id}, {"in_flight", l.in_flight}});
  }

  // Executes a call on a local backend, after checking that it may run here.
  Task<ForwardCallReply> execute(ForwardCall c) {
    detect_suspension();
    Instant const now = env_.now();
    Instant const deadline = now + std::chrono::milliseconds(c.budget_ms);
    std::pair<std::string, std::string> const key{c.service, c.instance};
    Index const s = n_.rules->layout.service_names.find(c.service);
    if (s == no_index) co_return not_run("backend", settings_.id, "the service is not in this node's layout");
    Service const& service = n_.rules->layout.services[s];
    std::string const named = service.keyed() ? header_value(c.request, service.key_header) : "";
    if (service.keyed() != c.keyed || (c.keyed && (named.empty() || service.slice_of(named) != c.slice)))
      co_return not_run("slice", settings_.id, "the layouts disagree about the key's slice");
    ZoneChoice const choice = n_.choose(*n_.rules, s, c.slice);
    if (!choice.in_own_zone && !choice.by_home && !broken_on_purpose("old_catalogue"))
      co_return not_run("catalogue", settings_.id, "this node's catalogue places the slice in another zone");
    auto const it = n_.local_backends.find(key);
    if (it == n_.local_backends.end() || !n_.is_local_backend_usable(it->second, now))
      co_return not_run("backend", settings_.id, "the backend is gone, leaving or silent");
    if (it->second.last_heartbeat < resumed_at_ + resume_settling_time && !broken_on_purpose("trusts_thawed"))
      co_return not_run("backend", settings_.id, "no heartbeat from the backend since this node was suspended");
    if (it->second.in_flight >= settings_.backend_limit)
      co_return not_run("backlog", settings_.id, "the backend's limit of concurrent calls is reached");
    Slice const slice{c.service, service.mapping(), c.slice};
    std::uint64_t epoch = 0;
    if (c.keyed) {
      auto const lease = leases_.held().find(slice);
      if (lease != leases_.held().end() && lease->second.in_flight >= settings_.slice_limit)
        co_return not_run("backlog", settings_.id, "the slice's limit of concurrent calls is reached");
      Result<std::uint64_t> const admitted = leases_.admit(slice, c.instance, deadline);
      if (!admitted) co_return not_run(admitted.error().step, settings_.id, admitted.error().reason);
      epoch = *admitted;
    }
    ++it->second.in_flight;
    std::uint16_t const port = it->second.record.port;
    HttpRequest q = std::move(c.request);
    strip_hop_by_hop_headers(q.headers, true);
    q.headers.push_back({"banktide-service", c.service});
    q.headers.push_back({"banktide-instance", c.instance});
    q.headers.push_back({"banktide-deadline-ms", std::to_string(c.budget_ms)});
    if (c.keyed) {
      q.headers.push_back({"banktide-slice", std::to_string(c.slice)});
      q.headers.push_back({"banktide-epoch", std::to_string(epoch)});
    }
    Result<HttpReply> reply = co_await edge_.run(port, std::move(q), deadline);
    bool const unknown = !reply && reply.error().proof == Proof::unknown;
    if (c.keyed) leases_.finish_call(slice, unknown ? deadline : env_.now());
    auto const after = n_.local_backends.find(key);
    if (after != n_.local_backends.end()) {
      if (after->second.in_flight > 0) --after->second.in_flight;
      if (!reply && reply.error().step == "connect") after->second.refused = true;
    }
    if (!reply)
      co_return ForwardCallReply{
          unknown ? Outcome::unknown : Outcome::not_run, {}, reply.error().step, settings_.id, reply.error().reason};
    bool const marked = std::any_of(reply->headers.begin(), reply->headers.end(),
                                    [](Header const& h) { return h.name == "banktide-not-run"; });
    if (marked) co_return not_run("backend_said", settings_.id, "the backend reports that the call did not run");
    strip_hop_by_hop_headers(reply->headers, false);
    co_return ForwardCallReply{Outcome::answered, std::move(*reply), "", "", ""};
  }

  Json json() const {
    Json all = Json::array();
    for (auto const& [key, l] : n_.local_backends)
      all.push_back({{"service", key.first},
                     {"instance", key.second},
                     {"port", l.record.port},
                     {"burden", l.record.running},
                     {"in_flight", l.in_flight},
                     {"standing", l.refused ? "refusing"
                                  : env_.now() - l.last_heartbeat > settings_.heartbeat_expiry
                                      ? "silent"
                                      : liveness_name(l.record.liveness)}});
    return all;
  }

  Json leases_json() const {
    Json all = Json::array();
    for (auto const& [slice, l] : leases_.held())
      all.push_back({{"service", slice.service},
                     {"mapping", slice.mapping},
                     {"slice", slice.slice},
                     {"wanted", l.wanted},
                     {"ends_in_ms", as_ms(l.until - env_.now())},
                     {"instance", l.instance},
                     {"epoch", l.epoch},
                     {"in_flight", l.in_flight}});
    return all;
  }

 private:
  Task<void> broadcast_drain(BackendRecord const b) {
    log_info("drain", {{"service", b.service}, {"instance", b.instance}});
    std::pair<std::string, std::string> const key{b.service, b.instance};
    for (int i = 0; i < 60 && n_.local_backends.contains(key) && !broken_on_purpose("drain_unheard"); ++i) {
      for (auto const& [id, m] : n_.view.members)
        if (id != settings_.id && m.role != Role::registry) tell(env_, m.address, Drain{b});
      co_await sleep_for(env_, 250ms);
    }
  }

  Task<NoReply> drain(Drain q) {
    if (n_.drained_until.size() < 4096) n_.drained_until[{q.backend.service, q.backend.instance}] = env_.now() + 10s;
    co_return NoReply{};
  }

  Task<void> expiry_loop() {
    while (true) {
      co_await sleep_for(env_, 200ms);
      expire(env_.now());
      std::erase_if(n_.drained_until, [&](auto const& d) { return d.second < env_.now(); });
    }
  }

  void expire(Instant const now) {
    std::erase_if(n_.local_backends, [&](auto const& l) {
      bool const silent = now - l.second.last_heartbeat > settings_.heartbeat_expiry && l.second.in_flight == 0;
      if (silent) {
        log_info("backend_silent", {{"service", l.first.first}, {"instance", l.first.second}});
        n_.rejoin();
      }
      return silent;
    });
    for (auto& [key, l] : n_.local_backends)
      if (l.refused) n_.rejoin();
  }

  // A port without a listener has lost its backend: no call goes there until an instance sends a heartbeat for it
  // again, so that the next process at the address isn't called in place of the old one. Each backend is probed by
  // itself, so that a hanging one delays no other. After a suspension this node doesn't know what has become of its
  // backends' ports: no call goes to a backend until it sends another heartbeat, other than those that were buffered
  // meanwhile.
  void detect_suspension() {
    if (env_.now() - last_tick_ > suspension_threshold) resumed_at_ = env_.now();
    last_tick_ = env_.now();
  }

  Task<void> probe_loop() {
    while (true) {
      co_await sleep_for(env_, 100ms);
      detect_suspension();
      for (auto& [key, l] : n_.local_backends) {
        if (l.refused || l.probing || broken_on_purpose("no_probe")) continue;
        l.probing = true;
        spawn(env_, probe(key, l.record.port, l.last_heartbeat));
      }
    }
  }

  Task<void> probe(std::pair<std::string, std::string> const key, std::uint16_t const port,
                   Instant const last_heartbeat) {
    bool const listens = co_await edge_.listens(port);
    auto const it = n_.local_backends.find(key);
    if (it == n_.local_backends.end()) co_return;
    it->second.probing = false;
    if (listens || it->second.refused || it->second.last_heartbeat != last_heartbeat) co_return;
    it->second.refused = true;
    log_info("backend_refuses", {{"service", key.first}, {"instance", key.second}});
    n_.rejoin();
  }

  Task<void> lease_loop() {
    while (true) {
      co_await sleep_for(env_, 400ms);
      if (!n_.has_confirmed_values) continue;
      std::map<Slice, std::string> wanted;
      std::shared_ptr<Rules const> const rules = n_.rules;
      Instant const now = env_.now();
      for (Index s = 0; s < rules->layout.services.size() && !n_.leaving; ++s) {
        Service const& service = rules->layout.services[s];
        for (std::uint32_t slice = 0; slice < service.slices; ++slice) {
          if (!n_.choose(*rules, s, slice).in_own_zone) continue;
          BackendRecord const* const owner = n_.slice_owner(service.name, slice, now);
          if (owner != nullptr && owner->node == settings_.id)
            wanted[Slice{service.name, service.mapping(), slice}] = owner->instance;
        }
      }
      std::vector<Address> registries;
      for (RegistryEntry const& e : n_.directory) registries.push_back(e.address);
      if (n_.registry_count == 0) continue;
      co_await leases_.run_round(n_.lease_holder_id, wanted, registries, n_.registry_count / 2 + 1);
    }
  }

  NodeState<Env>& n_;
  Env& env_;
  ProxySettings& settings_;
  B& edge_;
  SliceLeases<Env> leases_;
  static constexpr Duration suspension_threshold = 300ms, resume_settling_time = 100ms;
  Instant last_tick_, resumed_at_{};
};

}  // namespace banktide
