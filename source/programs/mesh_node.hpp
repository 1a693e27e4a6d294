// The mesh node: joins the parts of the data path. It follows its zone's feed,
// applies the newest configuration and key table, serves as the sidecar of one
// backend, and routes requests of local clients to backends in any zone.
#pragma once

#include "coordination/maintenance_view.hpp"
#include "coordination/register_client.hpp"
#include "coordination/sign_off_recorder.hpp"
#include "coordination/zone_follower.hpp"
#include "data_path/request_path.hpp"
#include "programs/graceful_shutdown.hpp"
#include "protocol/interface_adapter.hpp"
#include "protocol/message_names.hpp"
#include "state/compressed_text.hpp"
#include "state/recent_ids.hpp"

namespace banktide {

struct MeshNodeSettings {
  FollowerSettings follower;
  /** The service of this machine's backend; its outgoing requests carry this name. */
  std::string service;
  /** The port of the stores, which run on the registries' machines. */
  std::uint16_t store_port = 0;
  TimingBounds bounds;
  KeySettings keys;
  /** The pause between two heartbeats of the backend. */
  Duration heartbeat_interval = SuccessionSettings{}.heartbeat_interval;
  /** The longest time between the signal to shut down and the exit of the process. */
  Duration shutdown_timeout = 5400ms;
};

template <Environment Env>
class MeshNode {
 public:
  MeshNode(Env& env, MeshNodeSettings settings, InterfaceAdapter const& adapter, ConnectionsFactory factory)
      : env_(env),
        settings_(std::move(settings)),
        adapter_(adapter),
        registers_(env, StoreSeeds{colocated_stores(settings_.follower.seeds, settings_.store_port)}),
        local_(env, local_settings(), adapter.headers, std::move(factory), local_events()),
        path_(env, path_settings(), adapter.headers, local_),
        follower_(env, settings_.follower, follower_events()),
        sign_offs_(env,
                   [this] {
                     return SignOffRegistries{follower_.recent_registries(), follower_.registry_count()};
                   }),
        graceful_shutdown_(shutdown_notice, settings_.shutdown_timeout),
        started_(env.now()),
        grant_alarm_(env),
        report_alarm_(env),
        configuration_alarm_(env) {
    // The simulated network has no pings.
    if constexpr (requires { env.silence_of(Address{}); })
      path_.selector().set_silence_check([&env](Address const& peer) { return env.silence_of(peer) > silent_after; });
  }

  void start(Dispatcher& dispatcher) {
    dispatcher.on<Forward>([this](Forward f, SharedCancellation cancellation) {
      return handle_forward(std::move(f), std::move(cancellation));
    });
    follower_.start(dispatcher);
    spawn(env_, configuration_loop());
    spawn(env_, confirmation_loop());
    spawn(env_, report_loop());
    spawn(env_, sign_offs_.repeat_loop());
    if (settings_.bounds.revocation_limit) spawn(env_, access_confirmation_loop());
    spawn(env_, tick_loop());
  }

  /** Called with the client limits of each configuration that is applied. */
  std::function<void(ClientLimits const&)> on_limits;

  /** Readiness: whether clients of this machine should send new requests here. */
  bool ready() const {
    bool const informed = follower_.has_confirmed_values() && follower_.has_view() && path_.router() && in_contact();
    return !graceful_shutdown_.leaving() && informed && path_.can_admit_tenants();
  }
  bool idle() const { return pending_work().requests == 0; }
  /** Requests in flight and bytes queued here. Client connections are counted by the HTTP server, not here. */
  PendingWork pending_work() const {
    PendingWork pending_work;
    pending_work.requests = path_.in_flight() + local_.in_flight() + forwards_in_flight_;
    // The simulated network has no send queues.
    if constexpr (requires { env_.queued(); }) pending_work.bytes = env_.queued().of_requests();
    return pending_work;
  }
  /** Whether new requests are refused: it is shutting down, and clients and other nodes had time to notice. */
  bool refusing() const { return !graceful_shutdown_.accepts_work(env_.now()); }
  /** Whether the process may exit after the signal to shut down; `connections` is the number of busy client
   * connections. */
  bool may_exit(std::size_t const connections) {
    PendingWork all = pending_work();
    all.connections = connections;
    return graceful_shutdown_.may_exit(env_.now(), all);
  }
  RequestPath<Env, LocalBackend<Env>>& path() { return path_; }

  void leave() {
    graceful_shutdown_.begin(env_.now());
    path_.end_by(env_.now() + settings_.shutdown_timeout);
    follower_.leave();
    report_alarm_.wake();
  }

  /** Handles a request of a client or of this machine's backend. */
  Task<HttpReply> request(HttpRequest q, std::shared_ptr<HttpExchange> exchange) {
    if (refusing()) return refused_leaving();
    return path_.handle(std::move(q), std::move(exchange));
  }

  /** Handles a request to the local interface: readiness, heartbeats and sign-off of the backend. */
  Task<HttpReply> handle_interface_request(HttpRequest q) {
    tl::expected<InterfaceOperation, InterfaceReply> operation = adapter_.interpret(q);
    if (!operation) co_return http_reply(std::move(operation.error()));
    if (std::holds_alternative<ReadinessOperation>(*operation)) co_return http_reply(adapter_.readiness_reply(ready()));
    if (HeartbeatOperation const* const heartbeat_operation = std::get_if<HeartbeatOperation>(&*operation)) {
      std::optional<HeartbeatAnswer> const answer = co_await heartbeat(heartbeat_operation->heartbeat);
      if (!answer) co_return http_reply(adapter_.unavailable_reply("the drain can't be recorded now"));
      local_.answered(heartbeat_operation->heartbeat, *answer);
      co_return http_reply(adapter_.heartbeat_reply(*answer));
    }
    if (LeaveOperation const* const leave = std::get_if<LeaveOperation>(&*operation)) {
      bool const recorded = co_await sign_off(leave->id);
      co_return http_reply(recorded ? adapter_.acknowledgement_reply()
                                    : adapter_.unavailable_reply("the sign-off can't be recorded now"));
    }
    co_return http_reply(adapter_.unavailable_reply("this process doesn't serve control"));
  }

 private:
  static constexpr Duration tick_period = 100ms;
  static constexpr Duration shutdown_notice = 3200ms;
  static constexpr Duration heartbeat_margin = 650ms;  // beyond the longest regular silence of a backend

  Task<HttpReply> refused_leaving() { co_return path_.refusal("node is leaving", tick_period); }
  static constexpr Duration isolated_after = 1500ms;
  static constexpr Duration silent_after = 100ms;  // a ping is answered within a few milliseconds
  static constexpr double load_smoothing = 0.15;
  static constexpr Duration sign_off_timeout = 800ms;  // the backend waits for a second
  static constexpr Duration confirm_timeout = 1s;
  static constexpr Duration first_confirm_timeout = 150ms;
  static constexpr Duration first_confirm_period = 250ms;
  static constexpr Duration max_confirm_pause = 1600ms;
  static constexpr Duration feed_expected_after = 4s;
  static constexpr Duration access_confirm_period = 500ms;
  static constexpr Duration max_parse_pause = 200ms;
  static constexpr Duration configuration_poll_period = 1s;

  bool in_contact() const { return follower_.since_contact() < isolated_after; }

  LocalBackendSettings local_settings() const {
    LocalBackendSettings backend_settings;
    backend_settings.node = settings_.follower.id;
    backend_settings.succession.heartbeat_interval = settings_.heartbeat_interval;
    backend_settings.succession.overdue_without_reply =
        settings_.heartbeat_interval + settings_.keys.answer_delay_limit + heartbeat_margin;
    backend_settings.drain_end = settings_.bounds.drain_limit * 3 / 4;
    backend_settings.drain_grace = settings_.bounds.drain_limit * 35 / 100;
    return backend_settings;
  }

  typename LocalBackend<Env>::Events local_events() {
    typename LocalBackend<Env>::Events e;
    e.record_changed = [this] {
      follower_.rejoin();
      rebuild_endpoints();
      report_alarm_.wake();
    };
    e.unreachable = [this](std::string const& instance) {
      if (keys_) keys_->on_instance_unreachable(instance);
      report_alarm_.wake();
    };
    e.ended = [this](std::string const&, std::string const& instance, std::string const& reason) {
      if (keys_) keys_->on_instance_ended(instance, reason);
      report_alarm_.wake();
    };
    e.left_undrained = [this](std::string const& instance) {
      if (keys_) keys_->on_instance_signed_off(instance, env_.now());
      report_alarm_.wake();
    };
    e.instances_without_proved_end = [this] {
      return keys_ ? keys_->instances_without_proved_end() : std::vector<std::string>();
    };
    e.health_path = [this](std::string const& service) { return health_path_of(service); };
    e.connection_limit = [this](std::string const& service) -> std::size_t {
      std::shared_ptr<Router const> const& router = path_.router();
      std::optional<std::uint32_t> const i = router ? router->service_index(service) : std::nullopt;
      std::uint32_t const limit = i ? router->configuration().services[*i].connection_limit : 0;
      return limit == 0 ? default_connection_limit : limit;
    };
    return e;
  }

  RequestPathSettings path_settings() const {
    RequestPathSettings request_path_settings;
    request_path_settings.own_address = settings_.follower.address;
    request_path_settings.zone = settings_.follower.zone;
    request_path_settings.calling_service = settings_.service;
    request_path_settings.revocation_limit = settings_.bounds.revocation_limit;
    request_path_settings.retry_percent = static_cast<std::uint64_t>(settings_.bounds.retry_ratio * 50);
    return request_path_settings;
  }

  FollowerEvents follower_events() {
    FollowerEvents e;
    e.backends = [this] { return local_.records(); };
    e.value = [this](Register const which, RegisterValue const& held) { apply_value(which, held); };
    e.view_changed = [this] { rebuild_endpoints(); };
    e.routing_confirmed = [this](Instant const as_of) {
      confirmed_routing_ = ConfirmedRevision{follower_.held(Register::routing).revision, as_of};
      confirm_access_keys();
    };
    return e;
  }

  // ---- register values

  void apply_value(Register const which, RegisterValue const& held) {
    if (which == Register::routing) configuration_alarm_.wake();
    if (which == Register::keys) apply_key_table(held);
    if (which == Register::maintenance) apply_maintenance(held);
  }

  void apply_maintenance(RegisterValue const& held) {
    if (maintenance_.take(held, env_.now())) update_zone_shares();
  }

  // Zone shares change with time during a maintenance window, also when no new plan arrives.
  void update_zone_shares() {
    maintenance_.log_phases(env_.now());
    path_.selector().set_zone_shares(maintenance_.at(env_.now()).zone_shares());
  }

  // When configurations arrive in quick succession, only the newest is parsed. The pause after each parse is as long
  // as the parse (up to a limit), so that parsing takes at most half of the time.
  Task<void> configuration_loop() {
    while (true) {
      RegisterValue const& newest = follower_.held(Register::routing);
      if (newest.revision <= parsed_revision_) {
        co_await configuration_alarm_.wait(env_.now() + configuration_poll_period);
        continue;
      }
      Instant const begun = env_.now();
      parsed_revision_ = newest.revision;
      apply_configuration(newest);
      confirm_access_keys();
      co_await sleep_for(env_, std::min<Duration>(env_.now() - begun, max_parse_pause));
    }
  }

  void apply_configuration(RegisterValue const& held) {
    Result<std::string> const text = decompress(held.bytes);
    Result<ServiceConfiguration> read = text ? adapter_.read_configuration(*text) : tl::unexpected<Error>(text.error());
    if (!read) {
      log_warn("configuration_unreadable",
               {{"version", std::to_string(held.revision)}, {"reason", read.error().reason}});
      return;
    }
    if (on_limits) on_limits(read->limits);
    log_info("in_force", {{"version", std::to_string(held.revision)}});
    for (std::string const& section : read->ignored_sections)
      log_warn("configuration_section_ignored", {{"version", std::to_string(held.revision)}, {"section", section}});
    active_revision_ = held.revision;
    path_.set_router(std::make_shared<Router const>(std::move(*read)));
    grant_alarm_.wake();
  }

  void confirm_access_keys() {
    if (active_revision_ >= confirmed_routing_.revision) path_.confirm_access_keys(confirmed_routing_.as_of);
  }

  void apply_key_table(RegisterValue const& held) {
    if (table_ && held.revision <= table_->revision) return;
    Result<KeyTable> read = unpack_key_table(held.bytes, held.revision);
    if (!read) {
      log_warn("key_table_unreadable", {{"reason", read.error().reason}});
      return;
    }
    table_ = std::make_shared<KeyTable const>(std::move(*read));
    path_.set_keys(table_);
    if (keys_) keys_->on_table(*table_);
    prove_new_ends();
    grant_alarm_.wake();
    confirm_soon_ = true;
  }

  // ---- endpoints

  void rebuild_endpoints() {
    std::map<std::string, EndpointSelector::Endpoints> all;
    ZoneView const& view = follower_.view();
    for (auto const& [key, b] : view.backends) {
      if (b.node == settings_.follower.id || b.liveness != Liveness::alive || !view.is_usable_node(b.node)) continue;
      Endpoint const e{b.node, view.members.at(b.node).address, settings_.follower.zone,
                       true,   std::max(b.slots, 1u),           b.running + b.waiting};
      all[b.service].push_back(e);
    }
    for (auto const& [zone, entry] : view.zones) {
      if (zone == settings_.follower.zone) continue;
      for (ServiceOffer const& o : entry.services)
        all[o.service].push_back(
            Endpoint{o.node, o.address, zone, false, std::max(o.slots, 1u), o.running + o.waiting});
    }
    for (BackendRecord const& b : local_.records())
      if (b.liveness == Liveness::alive)
        all[b.service].push_back(Endpoint{settings_.follower.id, settings_.follower.address, settings_.follower.zone,
                                          true, std::max(b.slots, 1u), 0});
    path_.selector().replace(std::move(all));
  }

  // ---- requests from other nodes

  Task<ForwardReply> handle_forward(Forward f, SharedCancellation cancellation) {
    Instant const arrived = env_.now();
    ++forwards_in_flight_;
    ForwardReply reply = co_await run_forward(std::move(f), std::move(cancellation));
    --forwards_in_flight_;
    reply.elapsed_us = static_cast<std::uint32_t>(as_us(env_.now() - arrived));
    co_return reply;
  }

  Task<ForwardReply> run_forward(Forward f, SharedCancellation const cancellation) {
    if (!graceful_shutdown_.accepts(env_.now(), env_.now() + std::chrono::milliseconds(f.remaining_ms))) {
      ForwardReply reply;
      reply.outcome = Outcome::not_run;
      reply.refusal = Refusal::no_backend;
      reply.reason = "node is leaving";
      co_return reply;
    }
    bool const may_pass_on = f.crossed && !f.keyed;
    if (!may_pass_on) co_return co_await local_.run(std::move(f), cancellation);
    Instant const arrived = env_.now();
    Forward kept = f;
    ForwardReply reply = co_await local_.run(std::move(f), cancellation);
    std::uint32_t const waited = static_cast<std::uint32_t>(as_ms(env_.now() - arrived));
    kept.remaining_ms -= std::min(kept.remaining_ms, waited);
    bool const refused = reply.refusal == Refusal::busy || reply.refusal == Refusal::no_backend;
    if (reply.outcome != Outcome::not_run || !refused) co_return reply;
    co_return co_await path_.pass_on(std::move(kept), std::move(reply), cancellation);
  }

  // ---- heartbeats and keys

  bool has_control_plane() const { return !settings_.follower.seeds.empty(); }

  // Acknowledged only once a later process of this node would learn of it.
  Task<bool> sign_off(std::string const instance) {
    local_.leave(instance);
    if (!has_control_plane()) co_return true;
    co_return co_await sign_offs_.record_sign_off(instance, env_.now() + sign_off_timeout);
  }

  // Acknowledged only once a later process of this node would learn of it.
  Task<bool> record_drain(std::string const instance, Instant const deadline) {
    if (!has_control_plane()) co_return true;
    co_return co_await sign_offs_.record_drain(instance, deadline);
  }

  // A heartbeat that arrives soon after this process's start may have been sent to the previous process, and its
  // instance may have said there since that it leaves, or signed off. False if it has signed off, or if nobody can tell
  // now; a drain is continued.
  Task<bool> may_be_taken_up(std::string const instance, Instant const deadline) {
    bool const sent_to_this_process = env_.now() - started_ >= max_heartbeat_delay;
    if (sent_to_this_process || local_.knows(instance) || !has_control_plane()) co_return true;
    std::optional<bool> const signed_off = co_await sign_offs_.has_signed_off(instance, deadline);
    if (!signed_off) co_return false;
    if (*signed_off) {
      log_info("sign_off_kept", {{"instance", instance}});
      local_.leave(instance);
      co_return false;
    }
    std::optional<bool> const draining = co_await sign_offs_.is_draining(instance, deadline);
    if (!draining) co_return false;
    if (*draining) {
      log_info("drain_kept", {{"instance", instance}});
      local_.continue_drain(instance);
    }
    co_return true;
  }

  // Whether the heartbeat is of the instance that is the current one afterwards. The backend's process is asked who it
  // is when another instance contends with the current one.
  Task<bool> accept_heartbeat(BackendHeartbeat const heartbeat) {
    bool const usable = co_await may_be_taken_up(heartbeat.id, env_.now() + settings_.keys.answer_delay_limit);
    if (!usable) co_return false;
    if (local_.heartbeat(heartbeat)) co_return true;
    if (!local_.contends(heartbeat.id)) co_return false;
    bool const proved = co_await local_.identify(heartbeat.address, heartbeat.service);
    if (!proved) co_return false;
    co_return local_.heartbeat(heartbeat);
  }

  // Ends former instances that the key table still names, if the backend's process tells who it is.
  Task<void> prove_ends() { co_await local_.identify_current(); }

  // Asks at once when an instance comes into question, and else only with the next heartbeat.
  void prove_new_ends() {
    std::vector<std::string> in_question = keys_ ? keys_->instances_without_proved_end() : std::vector<std::string>();
    if (!in_question.empty() && in_question != asked_about_) spawn(env_, prove_ends());
    asked_about_ = std::move(in_question);
  }

  // None if the heartbeat can't be acknowledged.
  Task<std::optional<HeartbeatAnswer>> heartbeat(BackendHeartbeat heartbeat) {
    HeartbeatAnswer answer;
    Instant const arrived = env_.now();
    bool const accepted = co_await accept_heartbeat(heartbeat);
    if (heartbeat.leaving) {
      bool const recorded = co_await record_drain(heartbeat.id, arrived + sign_off_timeout);
      if (!recorded) co_return std::nullopt;
    }
    if (!accepted) co_return answer;
    heartbeat.leaving = local_.is_leaving(heartbeat.id);  // a late heartbeat doesn't end a drain
    Instant const until = arrived + settings_.keys.answer_delay_limit;
    std::uint64_t const number = ++heartbeats_received_;
    // A node that has just started has no configuration yet and can't tell whether the service is keyed.
    while (number == heartbeats_received_ && !path_.router() && !heartbeat.leaving && env_.now() < until)
      co_await grant_alarm_.wait(until);
    if (number != heartbeats_received_ || !keyed(heartbeat.service)) co_return answer;
    prepare_keys(heartbeat.service);
    keys_->take_heartbeat(arrived, key_heartbeat(heartbeat));
    if (!keys_->instances_without_proved_end().empty()) spawn(env_, prove_ends());
    report_alarm_.wake();
    while (number == heartbeats_received_ && env_.now() < until && keys_->reply_may_wait(env_.now()))
      co_await grant_alarm_.wait(until);
    KeyHeartbeatReply const grant = keys_->reply(env_.now(), heartbeat.id, heartbeat.sequence);
    if (!grant.renews) co_return answer;
    local_.keys_granted();
    answer.grant.emplace();
    answer.grant->hold = grant.hold;
    for (KeyGrant const& g : grant.rows)
      answer.grant->rows.push_back(HeartbeatGrantedRow{g.from, g.to, g.fence, g.handover});
    co_return answer;
  }

  std::string health_path_of(std::string const& service) const {
    std::shared_ptr<Router const> const& router = path_.router();
    std::optional<std::uint32_t> const i = router ? router->service_index(service) : std::nullopt;
    return i ? router->configuration().services[*i].health_path : std::string();
  }

  bool keyed(std::string const& service) const {
    std::shared_ptr<Router const> const& router = path_.router();
    std::optional<std::uint32_t> const i = router ? router->service_index(service) : std::nullopt;
    return i && router->configuration().services[*i].keyed;
  }

  void prepare_keys(std::string const& service) {
    if (keys_ && keys_service_ == service) return;
    keys_service_ = service;
    keys_ = std::make_unique<KeyGranter>(service, settings_.follower.id, settings_.follower.address,
                                         settings_.follower.zone, settings_.keys, started_);
    if (table_) keys_->on_table(*table_);
    local_.set_keys(keys_.get());
    confirm_soon_ = true;
  }

  KeyHeartbeat key_heartbeat(BackendHeartbeat const& heartbeat) const {
    KeyHeartbeat k;
    k.instance = heartbeat.id;
    k.sequence = heartbeat.sequence;
    k.state = heartbeat.leaving || graceful_shutdown_.leaving() ? KeyHolderState::draining : KeyHolderState::serving;
    k.slots = heartbeat.slots;
    for (HeartbeatHeldRow const& r : heartbeat.held)
      k.held.push_back(HeldRange{static_cast<std::uint16_t>(r.from), static_cast<std::uint16_t>(r.to),
                                 static_cast<std::uint32_t>(r.fence)});
    for (HeartbeatReleasedRow const& r : heartbeat.released)
      k.released.push_back(
          ReleasedRange{static_cast<std::uint16_t>(r.from), static_cast<std::uint16_t>(r.to), r.token});
    return k;
  }

  // Right after its start a node gets no feed updates yet, so it reads the key table more often until its backend
  // holds rows.
  bool awaits_first_rows() const { return keys_->grants_nothing() && env_.now() - started_ < feed_expected_after; }

  Duration confirm_period() const { return awaits_first_rows() ? first_confirm_period : settings_.keys.confirm_every; }

  // The key lease of this node is renewed only by reads that a majority of the stores confirms. A table that
  // arrives over the feed needs no such read: the current lease covers it.
  Task<void> confirmation_loop() {
    while (true) {
      co_await sleep_for(env_, tick_period);
      if (!keys_) continue;
      bool const wanted = confirm_soon_ && !keys_->leased(env_.now());
      bool const due = env_.now() - confirmed_at_ >= confirm_period();
      if ((!wanted && !due) || env_.now() < next_confirm_) continue;
      confirm_soon_ = false;
      registers_.add_contacts(colocated_stores(registry_addresses(), settings_.store_port));
      // Until the voters are known, a read waits for all stores, including those that are down.
      Duration const timeout = registers_.knows_voters() ? confirm_timeout : first_confirm_timeout;
      bool const confirmed = co_await confirm_table(env_.now() + timeout);
      back_off_confirming(confirmed);
    }
  }

  // Jitter: nodes that fail at the same time must not retry at the same time.
  void back_off_confirming(bool const confirmed) {
    if (confirmed) {
      confirm_pause_ = tick_period;
      return;
    }
    next_confirm_ = env_.now() + confirm_pause_ / 2 + Duration(env_.chance()() % confirm_pause_.count());
    confirm_pause_ = std::min(2 * confirm_pause_, max_confirm_pause);
  }

  // The answer carries only the revision. If that is newer than the local table, the confirmation takes effect
  // once the table has arrived: over the feed, from a registry, or as a last resort from a store.
  Task<bool> confirm_table(Instant const deadline) {
    Revision const have = table_ ? table_->revision : 0;
    Result<ConfirmedRevision> const newest = co_await registers_.confirm_revision(Register::keys, have, deadline);
    if (!newest || !keys_) co_return false;
    confirmed_at_ = newest->as_of;
    keys_->on_confirmed(newest->revision, newest->as_of);
    grant_alarm_.wake();
    if (has_table(newest->revision)) co_return true;
    bool const here = co_await follower_.fetch_key_table(newest->revision);
    if (!here) co_await read_table(env_.now() + confirm_timeout);
    co_return has_table(newest->revision);
  }
  bool has_table(Revision const wanted) const { return wanted <= (table_ ? table_->revision : 0); }

  Task<void> read_table(Instant const deadline) {
    RegisterValue const known = follower_.held(Register::keys);
    Result<ConfirmedValue> const read = co_await registers_.confirm(Register::keys, known, deadline);
    if (!read || !keys_) co_return;
    confirmed_at_ = read->as_of;
    follower_.accept(Register::keys, read->held);
    apply_key_table(read->held);
    keys_->on_confirmed(read->held.revision, read->as_of);
    grant_alarm_.wake();
  }

  std::vector<Address> registry_addresses() const {
    std::vector<Address> all;
    for (RegistryEntry const& e : follower_.directory()) all.push_back(e.address);
    return all;
  }

  // Each confirmed reading extends the `AccessLease`, which admits tenants for a while after contact is lost.
  Task<void> access_confirmation_loop() {
    co_await sleep_for(env_, Duration(env_.chance()() % access_confirm_period.count()));
    while (true) {
      co_await follower_.confirm_routing();
      co_await sleep_for(env_, access_confirm_period);
    }
  }

  Task<void> report_loop() {
    Instant last{};
    while (true) {
      bool const early = keys_ && keys_->has_urgent_report();
      if (!early) co_await report_alarm_.wait(std::max(last + settings_.keys.report_every, env_.now() + 20ms));
      last = env_.now();
      if (!keys_) continue;
      KeyReport report = keys_->report(last, static_cast<float>(load_average_), backend_capacity());
      if (graceful_shutdown_.leaving()) report.state = KeyHolderState::draining;
      log_new_ends(report.ended);
      for (Address const& registry : registry_addresses()) tell(env_, registry, report);
      co_await sleep_for(env_, 10ms);
    }
  }

  // A report repeats the latest ends; each is logged once.
  void log_new_ends(std::vector<KeyEnd> const& ends) {
    for (KeyEnd const& end : ends)
      if (logged_ends_.insert(end.instance))
        log_info("key_holder_ended", {{"instance", end.instance}, {"reason", end.reason}});
  }

  // Requests per second that the backend's slots can complete, estimated from recent run times.
  float backend_capacity() const {
    EndpointLoad const load = local_.load();
    return load.run_us == 0 ? 0 : static_cast<float>(load.slots) * 1e6F / static_cast<float>(load.run_us);
  }

  Task<void> tick_loop() {
    while (true) {
      co_await sleep_for(env_, tick_period);
      local_.tick();
      if (maintenance_.plan_as_written().current()) update_zone_shares();
      if (env_.now() - counts_logged_at_ > count_log_period) log_counts();
      EndpointLoad const load = local_.load();
      double const share = load.slots == 0 ? 0 : static_cast<double>(load.running + load.waiting) / load.slots;
      load_average_ += (share - load_average_) * load_smoothing;
    }
  }

  void log_counts() {
    counts_logged_at_ = env_.now();
    RequestCounts const& c = path_.counts();
    log_info("requests", {{"taken", std::to_string(c.taken)},
                          {"answered", std::to_string(c.answered)},
                          {"refused", std::to_string(c.refused)},
                          {"failed", std::to_string(c.failed)},
                          {"retried", std::to_string(c.retried)},
                          {"unknown_key", std::to_string(c.unknown_key)},
                          {"unconfirmed_key", std::to_string(c.unconfirmed_key)}});
    DepartureCounts const& d = path_.departures();
    log_info("clients_left", {{"closed", std::to_string(d.closed)},
                              {"reset", std::to_string(d.reset)},
                              {"outlived", std::to_string(d.outlived)},
                              {"outlived_ms", std::to_string(d.outlived_ms)}});
    // The simulated network has no send queues.
    if constexpr (requires { env_.queued(); }) log_sent(env_.queued().sent);
  }

  template <class Sent>
  static void log_sent(Sent const& sent) {
    log_info("sent", {{"requests_bytes", bytes_by_message(sent.requests)},
                      {"responses_bytes", bytes_by_message(sent.responses)},
                      {"longest_one_way_wait_ms", std::to_string(as_ms(sent.longest_one_way_wait))}});
  }

  template <class ByKind>
  static std::string bytes_by_message(ByKind const& bytes) {
    std::map<std::string_view, std::uint64_t> by_name;
    for (std::size_t kind = 0; kind < bytes.size(); ++kind)
      if (bytes[kind] > 0) by_name[message_name(static_cast<std::uint8_t>(kind))] += bytes[kind];
    std::string text;
    for (auto const& [name, count] : by_name)
      text += (text.empty() ? "" : ",") + std::string(name) + ":" + std::to_string(count);
    return text;
  }

  static constexpr Duration count_log_period = 10s;
  static constexpr std::size_t default_connection_limit = 100;

  Env& env_;
  MeshNodeSettings const settings_;
  InterfaceAdapter const& adapter_;
  RegisterClient<Env> registers_;
  LocalBackend<Env> local_;
  RequestPath<Env, LocalBackend<Env>> path_;
  ZoneFollower<Env> follower_;
  SignOffRecorder<Env> sign_offs_;
  GracefulShutdown graceful_shutdown_;
  std::size_t forwards_in_flight_ = 0;  // requests of other nodes in flight here
  Instant const started_;
  std::unique_ptr<KeyGranter> keys_;
  std::string keys_service_;
  std::vector<std::string> asked_about_;  // when the backend was last asked for its id because of a table
  std::shared_ptr<KeyTable const> table_;
  MaintenanceView maintenance_;
  Revision parsed_revision_ = 0;  // of the newest configuration that was parsed
  Revision active_revision_ = 0;  // of the configuration that requests are routed by
  ConfirmedRevision confirmed_routing_{};
  Instant confirmed_at_{};
  Instant next_confirm_{};
  Duration confirm_pause_ = tick_period;
  bool confirm_soon_ = true;
  std::uint64_t heartbeats_received_ = 0;  // only the reply to the latest heartbeat may wait
  typename Env::Alarm grant_alarm_;        // has one waiter: the handler of the latest heartbeat
  typename Env::Alarm report_alarm_;
  typename Env::Alarm configuration_alarm_;
  RecentIds logged_ends_;
  double load_average_ = 0;
  Instant counts_logged_at_{};
};

}  // namespace banktide
