// Manages the backend of this node, which is its only caller: heartbeats, queue, connections, and the
// sending of requests. A request that was not sent, or that the backend reports as not executed, is
// "not run"; a reply counts only if it is complete and has the ID of this attempt.
//
// A cancelled request that waits leaves the queue. One that runs is aborted by closing its connection
// if it is repeatable; any other runs to its end, so that its outcome is known.
#pragma once

#include "coordination/key_granter.hpp"
#include "data_path/backend_queue.hpp"
#include "data_path/failure_share.hpp"
#include "protocol/backend_heartbeat.hpp"
#include "protocol/data_path_headers.hpp"
#include "protocol/forward_messages.hpp"
#include "protocol/http_helpers.hpp"
#include "state/instance_succession.hpp"
#include "transport/backend_connections.hpp"
#include "transport/environment.hpp"

#include <tsl/robin_map.h>

namespace banktide {

struct LocalBackendSettings {
  std::string node;
  /** A backend without a heartbeat for longer is considered gone. */
  Duration silent_after = 6s;
  SuccessionSettings succession{};
  /** After the acknowledgement of a drain, requests in transit are still accepted for this long. */
  Duration drain_grace = 700ms;
  /** After this time no request is sent to a draining backend, not even one that waits. */
  Duration drain_end = 1500ms;
  /** How often the load in the zone's feed is updated. */
  Duration load_announcement_interval = 2s;
  /** Percentage of a target latency within which the reply must be expected: a margin, as run times vary. */
  int target_latency_percent = 85;
};

/** Creates the connections to a backend; called for each incarnation of a backend. */
using ConnectionsFactory = std::function<std::unique_ptr<BackendCaller>(Address const&, std::size_t limit)>;

template <Environment Env>
class LocalBackend {
 public:
  struct Events {
    /** The backend's record for the zone's feed has changed. */
    std::function<void()> record_changed;
    /** Nobody listens at the current instance's address; its process may run all the same. */
    std::function<void(std::string const& instance)> unreachable;
    /** An instance's process is proved to have ended. */
    std::function<void(std::string const& service, std::string const& instance, std::string const& reason)> ended;
    /** An instance has left without draining first: its process may go on serving for a while. */
    std::function<void(std::string const& instance)> left_undrained;
    /** Returns instances beside those heard here that may hold keys because nothing proves their end. */
    std::function<std::vector<std::string>()> instances_without_proved_end;
    /** Returns the path at which a backend of the service tells its health and its ID; empty if it isn't known. */
    std::function<std::string(std::string const& service)> health_path;
    /** Returns the number of connections that a backend of the service accepts. */
    std::function<std::size_t(std::string const& service)> connection_limit;
  };

  LocalBackend(Env& env, LocalBackendSettings settings, DataPathHeaders const& headers, ConnectionsFactory factory,
               Events events)
      : env_(env),
        settings_(std::move(settings)),
        headers_(headers),
        factory_(std::move(factory)),
        events_(std::move(events)),
        succession_(settings_.succession) {}

  /** Handles a heartbeat. Returns false unless it is of the instance that is the current one afterwards. */
  bool heartbeat(BackendHeartbeat const& heartbeat) {
    Instant const now = env_.now();
    HeartbeatVerdict const verdict = succession_.on_heartbeat(now, heartbeat.id, heartbeat.sequence);
    if (verdict == HeartbeatVerdict::ignored) return false;
    if (heartbeat.leaving) succession_.leaving_since(heartbeat.id, now);
    if (verdict == HeartbeatVerdict::contends) return false;
    bool const starts = verdict == HeartbeatVerdict::replaces;
    if (starts && instance_) retire("another instance sends heartbeats here");
    if (starts) start(heartbeat);
    std::optional<Instant> const draining_since = succession_.known_leaving_since(heartbeat.id);
    Instance& i = *instance_;
    bool const changed =
        starts || i.heartbeat.slots != heartbeat.slots || i.refused || i.draining_since != draining_since;
    i.draining_since = draining_since;
    i.heartbeat = heartbeat;
    i.last_heartbeat = now;
    i.refused = false;
    i.queue.set_slots(heartbeat.slots);
    apply_queue_decisions();
    if (changed) events_.record_changed();
    return true;
  }

  /** The answer to a heartbeat has been sent. */
  void answered(BackendHeartbeat const& heartbeat, HeartbeatAnswer const& answer) {
    succession_.on_replied(env_.now(), heartbeat.id, releases_keys(heartbeat, answer));
  }

  /** Whether a heartbeat of the instance was received here before. */
  bool knows(std::string const& id) const { return succession_.knows(id) || succession_.has_ended(id); }

  /** Whether the instance has said that it leaves. */
  bool is_leaving(std::string const& id) const { return succession_.known_leaving_since(id).has_value(); }

  /** A former process of this node acknowledged the instance's drain, it isn't known when. */
  void continue_drain(std::string const& id) { succession_.leaving_since(id, env_.now() - 2 * settings_.drain_end); }

  /** Whether the instance contends with the current one: it may be a former one or the next one. */
  bool contends(std::string const& id) const {
    return instance_ && succession_.knows(id) && succession_.current() != id;
  }

  /**
   * Asks the backend's process which instance it is. The instances of a machine follow one another, so its answer
   * proves the end of every other one that was known before the question. Returns false if nothing was proved.
   */
  Task<bool> identify(Address const address, std::string const service) {
    std::string const path = events_.health_path ? events_.health_path(service) : std::string();
    if (identifying_ || path.empty()) co_return false;
    identifying_ = true;
    std::vector<std::string> const in_question = instances_in_question();
    std::optional<std::string> const running = co_await ask_for_id(address, path);
    identifying_ = false;
    bool const known = running && std::find(in_question.begin(), in_question.end(), *running) != in_question.end();
    if (!known) co_return false;
    for (std::string const& id : in_question)
      if (id != *running) end(id, service);
    co_return true;
  }

  /** Asks the same at the address of the current instance. */
  Task<bool> identify_current() {
    if (!instance_) co_return false;
    co_return co_await identify(instance_->heartbeat.address, instance_->heartbeat.service);
  }

  /** Handles the backend's message that it leaves. An instance that isn't the current one may be alive all the same. */
  void leave(std::string const& id) {
    if (succession_.has_ended(id)) return;
    bool const current = instance_ && instance_->heartbeat.id == id;
    bool const drained = current && instance_->heartbeat.leaving;
    std::string const service = current ? instance_->heartbeat.service : std::string();
    succession_.on_ended(id);
    if (!drained) events_.left_undrained(id);
    if (!current) return;
    retire("it has left");
    if (drained) events_.ended(service, id, "it has left");
    events_.record_changed();
  }

  /** Returns the backend's record for the zone's feed; none while it isn't usable for new requests. */
  std::vector<BackendRecord> records() const {
    if (!instance_) return {};
    Instance const& i = *instance_;
    if (i.refused || env_.now() - i.last_heartbeat > settings_.silent_after) return {};
    BackendRecord r;
    r.service = i.heartbeat.service;
    r.instance = i.heartbeat.id;
    r.node = settings_.node;
    r.running = announced_running_;
    r.waiting = announced_waiting_;
    r.slots = i.heartbeat.slots;
    r.warming = i.heartbeat.warm_left > Duration::zero();
    r.liveness = i.draining_since ? Liveness::leaving : Liveness::alive;
    return {r};
  }

  std::size_t in_flight() const { return requests_.size() + awaiting_keys_.size(); }
  void set_keys(KeyGranter* const keys) { keys_ = keys; }
  /** To be called when a reply to a heartbeat that grants keys is about to be sent. */
  void keys_granted() { wake_awaiting_keys(); }

  EndpointLoad load() const {
    EndpointLoad l;
    if (!instance_) return l;
    l.running = instance_->queue.running();
    l.waiting = instance_->queue.waiting();
    l.slots = instance_->heartbeat.slots;
    l.run_us = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(instance_->queue.estimate().overall()).count());
    l.failed_percent = instance_->failures.percent(env_.now());
    return l;
  }

  /** Runs one request on the backend: at once, after a wait for a slot, or not at all. */
  Task<ForwardReply> run(Forward forward, SharedCancellation const cancellation = nullptr) {
    Instant const arrived = env_.now();
    Instant const deadline = arrived + std::chrono::milliseconds(forward.remaining_ms);
    // Refuse early what would miss the target latency: another endpoint, or the client's next attempt, may
    // still meet it.
    Duration const target_latency =
        std::chrono::milliseconds(forward.target_latency_ms) * settings_.target_latency_percent / 100;
    Duration const useful_time = std::min<Duration>(target_latency, deadline - arrived);
    if (is_key_pending(forward, arrived)) co_await wait_for_key(forward, arrived + useful_time, cancellation);
    if (is_cancelled(cancellation)) co_return cancelled_reply(Proof::not_run);
    if (ForwardReply const refused = check(forward, env_.now()); refused.refusal != Refusal::none) co_return refused;
    std::uint64_t const id = ++last_id_;
    QueuedRequest const queued{id, forward.rank, forward.work_class, arrived + useful_time};
    Admission const admission = instance_->queue.admit(env_.now(), queued);
    if (admission == Admission::refuse) co_return refuse(Refusal::busy, "queue too long", expected_wait(forward));
    std::shared_ptr<Waiter> const waiter = std::make_shared<Waiter>(env_);
    requests_[id] = waiter;
    std::uint64_t const incarnation = incarnation_;
    if (admission == Admission::wait) {
      apply_queue_decisions();
      std::optional<bool> const turn = co_await wait_for_slot(*waiter, id, incarnation, deadline, cancellation);
      if (!turn || !*turn) co_return give_up_waiting(id, incarnation, forward, cancellation);
    }
    ForwardReply reply = co_await send(forward, deadline, incarnation, cancellation);
    requests_.erase(id);
    co_return reply;
  }

  /** Must be called regularly: marks a silent backend, and refuses requests that wait for a drained one. */
  void tick() {
    if (!instance_) return;
    Instant const now = env_.now();
    announce_load(now);
    if (instance_->draining_since && now - *instance_->draining_since > settings_.drain_end) {
      instance_->queue.refuse_all();
      apply_queue_decisions();
    }
    if (now - instance_->last_heartbeat > settings_.silent_after && !instance_->silent) {
      instance_->silent = true;
      log_info("backend_silent", {{"instance", instance_->heartbeat.id}});
      events_.record_changed();
    }
  }

 private:
  // The feed goes to every node of the zone, so the load, which changes with each request, is announced
  // only at intervals; replies give senders newer values.
  void announce_load(Instant const now) {
    if (now - load_announced_ < settings_.load_announcement_interval) return;
    load_announced_ = now;
    announced_running_ = instance_->queue.running();
    announced_waiting_ = instance_->queue.waiting();
  }

  /** One incarnation of the backend. */
  struct Instance {
    BackendHeartbeat heartbeat;
    std::shared_ptr<BackendCaller> connections;
    BackendQueue queue;
    FailureShare failures;
    Instant last_heartbeat{};
    std::optional<Instant> draining_since;
    bool refused = false;
    bool silent = false;
  };

  struct Waiter {
    explicit Waiter(Env& env) : turn(env) {}
    OneShot<Env, bool> turn;
  };

  void start(BackendHeartbeat const& heartbeat) {
    ++incarnation_;
    instance_.emplace();
    instance_->connections = factory_(heartbeat.address, events_.connection_limit(heartbeat.service));
    instance_->queue.set_slots(heartbeat.slots);
    log_info("backend_up",
             {{"service", heartbeat.service}, {"instance", heartbeat.id}, {"address", heartbeat.address}});
  }

  std::vector<std::string> instances_in_question() const {
    std::vector<std::string> all = succession_.known();
    if (!events_.instances_without_proved_end) return all;
    for (std::string& id : events_.instances_without_proved_end())
      if (std::find(all.begin(), all.end(), id) == all.end()) all.push_back(std::move(id));
    return all;
  }

  // Over a connection of its own: the answer to an earlier request can't be taken for this one's.
  Task<std::optional<std::string>> ask_for_id(Address const address, std::string const path) {
    std::unique_ptr<BackendCaller> const connection = factory_(address, 1);
    BackendCall call;
    call.request.method = "GET";
    call.request.target = path;
    call.deadline = env_.now() + identification_timeout;
    Result<HttpReply> const reply = co_await connection->call(std::move(call));
    std::optional<std::string> const id = reply ? answering_instance(*reply) : std::nullopt;
    log_info("backend_asked_for_id", {{"address", address}, {"answer", id.value_or("")}});
    co_return id;
  }

  std::optional<std::string> answering_instance(HttpReply const& reply) const {
    for (Header const& header : reply.headers)
      if (same_name(header.name, headers_.answering_instance)) return header.value;
    return std::nullopt;
  }

  // The process of the instance is proved to have ended.
  void end(std::string const& id, std::string const& service) {
    static constexpr char const* reason = "another instance answers at its address";
    bool const current = instance_ && instance_->heartbeat.id == id;
    succession_.on_ended(id);
    if (current) retire(reason);
    events_.ended(service, id, reason);
    if (current) events_.record_changed();
  }

  void retire(std::string const& reason) {
    log_info("backend_ended", {{"instance", instance_->heartbeat.id}, {"reason", reason}});
    instance_->queue.refuse_all();
    apply_queue_decisions();
    wake_awaiting_keys();
    instance_->connections->close();
    instance_.reset();
    ++incarnation_;
  }

  ForwardReply refuse(Refusal const why, std::string reason, Duration const retry_after) const {
    ForwardReply r;
    r.outcome = Outcome::not_run;
    r.refusal = why;
    r.reason = std::move(reason);
    r.load = load();
    r.retry_after_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(as_ms(retry_after), 0));
    return r;
  }

  Duration expected_wait(Forward const& forward) const {
    return std::clamp<Duration>(instance_ ? instance_->queue.expected_wait(forward.rank, forward.work_class) : 100ms,
                                20ms, 250ms);
  }

  ForwardReply check(Forward const& forward, Instant const now) const {
    if (!instance_ || instance_->heartbeat.service != forward.service)
      return refuse(Refusal::no_backend, "no backend of the service here", 100ms);
    Instance const& i = *instance_;
    if (i.refused || now - i.last_heartbeat > settings_.silent_after)
      return refuse(Refusal::no_backend, "backend is gone or silent", 100ms);
    if (i.draining_since && now - *i.draining_since > settings_.drain_grace && !forward.keyed)
      return refuse(Refusal::no_backend, "backend is draining", 30ms);
    if (i.draining_since && now - *i.draining_since > settings_.drain_end)
      return refuse(Refusal::no_backend, "backend is draining", 100ms);
    if (forward.keyed && keys_ != nullptr) keys_->count(forward.key);
    if (forward.keyed && !key_held(forward, now)) return refuse(Refusal::key_not_held, "key is not held here", 150ms);
    return ForwardReply{};
  }

  bool key_held(Forward const& forward, Instant const now) const {
    if (keys_ == nullptr) return false;
    Duration const expected = instance_->queue.estimate().expected(forward.work_class);
    return keys_->fence_to_run(forward.key, now, expected).has_value();
  }

  // Whether the table assigns the key to the backend, which will get it with the reply to its next heartbeat.
  bool is_key_pending(Forward const& forward, Instant const now) const {
    if (!forward.keyed || !instance_ || keys_ == nullptr || instance_->heartbeat.service != forward.service)
      return false;
    bool const stays = !instance_->draining_since && !instance_->refused;
    return stays && !key_held(forward, now) && keys_->is_assigned(forward.key) &&
           awaiting_keys_.size() < max_awaiting_keys;
  }

  // A cancelled request leaves the queue at once; if it already has a slot it keeps it until `send`.
  Task<std::optional<bool>> wait_for_slot(Waiter& waiter, std::uint64_t const id, std::uint64_t const incarnation,
                                          Instant const deadline, SharedCancellation const cancellation) {
    CancellationListener const listener(cancellation, [this, &waiter, id, incarnation] {
      if (incarnation == incarnation_ && instance_ && instance_->queue.withdraw(id)) waiter.turn.give(false);
    });
    co_return co_await waiter.turn.wait(deadline);
  }

  Task<void> wait_for_key(Forward const& forward, Instant const useful_until, SharedCancellation const cancellation) {
    Instant const until = useful_until - instance_->queue.estimate().expected(forward.work_class);
    std::uint64_t const id = ++last_id_;
    std::shared_ptr<Waiter> const waiter = std::make_shared<Waiter>(env_);
    awaiting_keys_[id] = waiter;
    CancellationListener const listener(cancellation, [waiter] { waiter->turn.give(false); });
    std::optional<bool> const granted = co_await waiter->turn.wait(until);
    awaiting_keys_.erase(id);
    // The reply that grants the key must reach the backend before the request does.
    if (granted && *granted) co_await sleep_for(env_, grant_delivery_time);
  }

  void wake_awaiting_keys() {
    for (auto const& [id, waiter] : awaiting_keys_) waiter->turn.give(true);
  }

  ForwardReply give_up_waiting(std::uint64_t const id, std::uint64_t const incarnation, Forward const& forward,
                               SharedCancellation const& cancellation) {
    requests_.erase(id);
    if (incarnation == incarnation_ && instance_) instance_->queue.withdraw(id);
    if (is_cancelled(cancellation)) return cancelled_reply(Proof::not_run);
    return refuse(Refusal::busy, "no slot in time", expected_wait(forward));
  }

  // Resumes the requests that the queue has decided about.
  void apply_queue_decisions() {
    if (!instance_) return;
    BackendQueue::Decisions const decisions = instance_->queue.take_decisions();
    for (std::uint64_t const id : decisions.refuse) wake(id, false);
    for (std::uint64_t const id : decisions.run) {
      if (wake(id, true)) continue;
      instance_->queue.finished(env_.now(), 0, Duration::zero(), false);
    }
  }

  bool wake(std::uint64_t const id, bool const run) {
    auto const it = requests_.find(id);
    if (it == requests_.end()) return false;
    it->second->turn.give(run);
    return true;
  }

  BackendCall call_of(Forward& forward, Instant const deadline) const {
    BackendCall call;
    call.attempt_header = std::string(headers_.attempt_id);
    call.attempt_id = forward.attempt_id;
    call.deadline = deadline;
    call.repeatable = forward.repeatable;
    call.request = std::move(forward.request);
    std::erase_if(call.request.headers, [&](Header const& h) {
      return same_name(h.name, headers_.remaining_ms) || same_name(h.name, headers_.target_instance) ||
             same_name(h.name, headers_.calling_service) || same_name(h.name, headers_.tenant);
    });
    std::int64_t const left = std::max<std::int64_t>(as_ms(deadline - env_.now()), 1);
    call.request.headers.push_back({std::string(headers_.remaining_ms), std::to_string(left)});
    call.request.headers.push_back({std::string(headers_.target_instance), instance_->heartbeat.id});
    call.request.headers.push_back({std::string(headers_.calling_service), forward.calling_service});
    if (!forward.tenant.empty()) call.request.headers.push_back({std::string(headers_.tenant), forward.tenant});
    return call;
  }

  Task<ForwardReply> send(Forward& forward, Instant const deadline, std::uint64_t const incarnation,
                          SharedCancellation const cancellation) {
    // While it waited, its key may have moved or its deadline may have passed.
    Instant const begun = env_.now();
    if (incarnation != incarnation_ || !instance_) co_return refuse(Refusal::no_backend, "backend ended", 100ms);
    bool const held = !forward.keyed || key_held(forward, begun);
    bool const drained = instance_->draining_since && begun - *instance_->draining_since > settings_.drain_end;
    if (is_cancelled(cancellation)) {
      finished(incarnation, forward.work_class, Duration::zero(), false);
      co_return cancelled_reply(Proof::not_run);
    }
    if (!held || drained || begun >= deadline) {
      finished(incarnation, forward.work_class, Duration::zero(), false);
      co_return refuse(held ? (drained ? Refusal::no_backend : Refusal::too_late) : Refusal::key_not_held,
                       "can no longer be sent", 50ms);
    }
    std::shared_ptr<BackendCaller> const connections = instance_->connections;
    std::string const instance = instance_->heartbeat.id;
    BackendCall call = call_of(forward, deadline);
    if (forward.repeatable) call.cancellation = cancellation;
    Result<HttpReply> got = co_await connections->call(std::move(call));
    Duration const took = env_.now() - begun;
    bool const good = got && got->status < 500 && got->status >= 200;
    finished(incarnation, forward.work_class, took, good);
    bool const cancelled_here = !got && forward.repeatable && is_cancelled(cancellation);
    if (cancelled_here) co_return cancelled_reply(got.error().proof);
    if (incarnation == incarnation_ && instance_ && reached_backend(got)) instance_->failures.add(env_.now(), !good);
    ForwardReply reply = got ? classify_reply(std::move(*got), instance) : classify_failure(got.error(), instance);
    co_return reply;
  }

  /** Whether the backend may have run the request, so that its outcome says something about the backend's health. */
  bool reached_backend(Result<HttpReply> const& got) const {
    if (!got) return got.error().proof != Proof::not_run;
    return got->status != 421 && !has_header(got->headers, headers_.not_executed);
  }

  void finished(std::uint64_t const incarnation, std::uint32_t const work_class, Duration const took,
                bool const measured) {
    if (incarnation != incarnation_ || !instance_) return;
    instance_->queue.finished(env_.now(), work_class, took, measured);
    apply_queue_decisions();
  }

  ForwardReply classify_reply(HttpReply http, std::string const& instance) {
    bool const said_not_executed = has_header(http.headers, headers_.not_executed) || http.status == 421;
    if (said_not_executed) {
      log_refusal(instance, http.status);
      return refuse(Refusal::by_backend, "backend did not run it", 50ms);
    }
    ForwardReply reply;
    reply.load = load();
    // Without the header these statuses don't guarantee that the request was not run.
    bool const looks_like_refusal = http.status == 503 || http.status == 429 || http.status == 408;
    reply.outcome = looks_like_refusal ? Outcome::unknown : Outcome::answered;
    if (looks_like_refusal) reply.reason = "backend failed with " + std::to_string(http.status);
    reply.reply = std::move(http);
    return reply;
  }

  // A full backend may refuse hundreds of requests per second: they are counted and logged once a second.
  void log_refusal(std::string const& instance, std::uint16_t const status) {
    ++refusals_;
    if (env_.now() - refusals_logged_at_ < 1s) return;
    log_info("backend_refused",
             {{"instance", instance}, {"status", std::to_string(status)}, {"so_far", std::to_string(refusals_)}});
    refusals_logged_at_ = env_.now();
  }

  ForwardReply cancelled_reply(Proof const proof) const {
    ForwardReply reply = refuse(Refusal::cancelled, "cancelled by the caller", Duration::zero());
    if (proof != Proof::not_run) reply.outcome = Outcome::unknown;
    return reply;
  }

  ForwardReply classify_failure(Error const& error, std::string const& instance) {
    bool const nobody_listens = error.step == "connect" && error.reason == "refused";
    if (nobody_listens && instance_ && instance_->heartbeat.id == instance) {
      instance_->refused = true;
      succession_.on_unreachable();
      instance_->queue.refuse_all();
      apply_queue_decisions();
      log_info("backend_refuses", {{"instance", instance}});
      events_.unreachable(instance);
      events_.record_changed();
    }
    if (error.proof == Proof::not_run) return refuse(Refusal::no_backend, error.step + ": " + error.reason, 100ms);
    ForwardReply reply;
    reply.load = load();
    reply.outcome = Outcome::unknown;
    reply.reason = error.step + ": " + error.reason;
    return reply;
  }

  static constexpr std::size_t max_awaiting_keys = 64;
  static constexpr Duration grant_delivery_time = 5ms;
  static constexpr Duration identification_timeout = 400ms;

  Env& env_;
  LocalBackendSettings const settings_;
  DataPathHeaders const& headers_;
  ConnectionsFactory factory_;
  Events events_;
  KeyGranter* keys_ = nullptr;
  InstanceSuccession succession_;
  std::optional<Instance> instance_;  // the current one of `succession_`
  bool identifying_ = false;
  tsl::robin_map<std::uint64_t, std::shared_ptr<Waiter>> requests_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> awaiting_keys_;  // in the order of arrival
  std::uint64_t last_id_ = 0;
  std::uint64_t incarnation_ = 0;
  std::uint64_t refusals_ = 0;
  Instant refusals_logged_at_{};
  std::uint32_t announced_running_ = 0;
  std::uint32_t announced_waiting_ = 0;
  Instant load_announced_{};
};

}  // namespace banktide
