// Handles a request in the node that accepted it from its client: finds its route, selects an endpoint,
// forwards it there and returns the reply. Whether it may be sent again depends on what is known: a
// request that was not run may go elsewhere; one of unknown outcome only if it is repeatable and the
// shared retry budget allows it. When its client closes the connection, the request is cancelled
// wherever it waits, and not sent again.
#pragma once

#include "data_path/access_control.hpp"
#include "data_path/access_lease.hpp"
#include "data_path/client_departure.hpp"
#include "data_path/endpoint_selector.hpp"
#include "data_path/local_backend.hpp"
#include "data_path/request_state.hpp"
#include "protocol/data_path_headers.hpp"
#include "protocol/digest.hpp"
#include "state/key_table.hpp"
#include "state/retry_budget.hpp"
#include "state/service_configuration.hpp"
#include "transport/http_server.hpp"

#include <charconv>

namespace banktide {

struct RequestPathSettings {
  Address own_address;
  std::string zone;
  /** The service of the backend on this machine, which its outgoing requests name as the caller. */
  std::string calling_service;
  /** The most endpoints that a request is sent to, including those that did not run it. */
  std::uint32_t max_endpoints = 4;
  /** The share of a service's requests, in percent, that this node may retry. */
  std::uint64_t retry_percent = 10;
  std::uint64_t retry_margin = 2;
  std::size_t max_in_flight = 4096;
  /** How long a removed access key may still be used anywhere; none: as long as this node knows it. */
  std::optional<Duration> revocation_limit;
};

/** Counters for the log and the operator's state page. */
struct RequestCounts {
  std::uint64_t taken = 0, answered = 0, refused = 0, failed = 0, retried = 0;
  std::uint64_t unknown_key = 0;      // refused because they had no tenant's access key
  std::uint64_t unconfirmed_key = 0;  // refused because the node couldn't tell whether access keys were removed
};

template <Environment Env, class Backend>
class RequestPath {
 public:
  RequestPath(Env& env, RequestPathSettings settings, DataPathHeaders const& headers, Backend& backend)
      : env_(env),
        settings_(std::move(settings)),
        headers_(headers),
        backend_(backend),
        access_lease_(settings_.revocation_limit) {}

  EndpointSelector& selector() { return selector_; }
  RequestCounts const& counts() const { return counts_; }
  DepartureCounts const& departures() const { return departures_; }
  std::size_t in_flight() const { return in_flight_; }

  void set_router(std::shared_ptr<Router const> router) { router_ = std::move(router); }
  std::shared_ptr<Router const> const& router() const { return router_; }
  /** Confirms that the router in force is of the newest configuration chosen before `asked`. */
  void confirm_access_keys(Instant const asked) { access_lease_.confirm(asked); }
  /** Whether requests that need an access key can be admitted now; true if none needs one. */
  bool can_admit_tenants() const {
    return !router_ || !router_->configuration().tenants || access_lease_.valid(env_.now());
  }
  /** Sets the time at which the process ends at the latest: requests that may last longer are refused from now on. */
  void end_by(Instant const end) { end_ = end; }
  /** Sets the newest table of key assignments. */
  void set_keys(std::shared_ptr<KeyTable const> keys) { keys_ = std::move(keys); }

  /** Handles one request from a client or from this machine's backend. */
  Task<HttpReply> handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
    ++counts_.taken;
    std::shared_ptr<Router const> const router = router_;
    if (!router) co_return refusal("no configuration yet", not_ready_retry);
    Route const* const route = router->match(header_value(request, "Host"), request.target);
    if (route == nullptr) co_return plain_reply(404, "no route");
    AccessDecision const access = decide_access(*router, *route, request, access_lease_.valid(env_.now()));
    if (access.verdict != AccessDecision::Verdict::granted) co_return access_refused(access.verdict);
    if (in_flight_ >= settings_.max_in_flight) co_return refusal("too many requests in flight", busy_retry);
    remove_credentials(request, *router, *route, access);
    Result<Attempt> attempt = prepare(*router, *route, access.tenant, std::move(request));
    if (!attempt) co_return plain_reply(400, attempt.error().reason);
    if (end_ && attempt->deadline > *end_) co_return refusal("node is leaving", leaving_retry);
    std::shared_ptr<ClientDeparture> const departure = std::make_shared<ClientDeparture>();
    exchange->on_hang_up = [this, departure, cancellation = attempt->cancellation](ClientState const state) {
      departure->record_hang_up(state, env_.now());
      cancellation->request();
    };
    if (exchange->client_hung_up()) exchange->on_hang_up(exchange->client);
    ++in_flight_;
    HttpReply reply = co_await run(std::move(*attempt));
    --in_flight_;
    departure->count(departures_, env_.now());
    co_return reply;
  }

  /** Used by gateways: forwards a request from another zone that the own backend can't take within this zone. */
  Task<ForwardReply> pass_on(Forward forward, ForwardReply refused, SharedCancellation cancellation = nullptr) {
    forward.crossed = false;
    std::set<Address> const tried{settings_.own_address};
    Endpoint const* const other =
        selector_.select(forward.service, tried, env_.now(), env_.chance(), forward.repeatable);
    if (other == nullptr || !other->local_zone) co_return refused;
    Instant const deadline = env_.now() + std::chrono::milliseconds(forward.remaining_ms);
    Address const address = other->address;
    ForwardReply reply = co_await send(address, forward, deadline, std::move(cancellation));
    co_return reply;
  }

  /** Returns a refusal, which guarantees that the request has not run and never will. */
  HttpReply refusal(std::string const& reason, Duration const retry_after) {
    ++counts_.refused;
    return refusal_of(reason, retry_after);
  }

 private:
  static constexpr Duration busy_retry = 60ms;
  static constexpr Duration not_ready_retry = 300ms;
  static constexpr Duration key_retry = 150ms;
  static constexpr Duration leaving_retry = 100ms;
  static constexpr Duration no_room_retry = 200ms;
  static constexpr Duration answer_margin = 3ms;
  static constexpr int late_target_divisor = 4;
  static constexpr Duration key_move_patience = 120ms;
  static constexpr Duration key_move_pause = 15ms;

  /** A request in progress, with the state needed to send it again. */
  struct Attempt {
    Forward forward;
    Instant started{};
    Instant deadline{};
    Duration target_latency{};  // from `began`; zero: not specified
    std::uint32_t attempt_limit = 1;
    SharedCancellation cancellation = std::make_shared<Cancellation>();
    RequestState state;
  };

  static HttpReply plain_reply(std::uint16_t const status, std::string const& text) {
    HttpReply reply;
    reply.status = status;
    reply.headers.push_back({"Content-Type", "text/plain"});
    reply.body = text + "\n";
    return reply;
  }

  static HttpReply refusal_of(std::string const& reason, Duration const retry_after) {
    HttpReply reply = plain_reply(503, reason);
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(retry_after).count());
    reply.headers.push_back({"Retry-After", text});
    return reply;
  }

  HttpReply access_refused(AccessDecision::Verdict const verdict) {
    if (verdict == AccessDecision::Verdict::unconfirmed) {
      ++counts_.unconfirmed_key;
      return refusal("access keys can't be confirmed", not_ready_retry);
    }
    ++counts_.unknown_key;
    HttpReply reply = plain_reply(401, "no known access key");
    reply.headers.push_back({"WWW-Authenticate", "Bearer"});
    return reply;
  }

  HttpReply failure(Attempt const& attempt, std::string const& reason) {
    ++counts_.failed;
    return plain_reply(env_.now() + answer_margin >= attempt.deadline ? 504 : 502, reason);
  }

  static std::optional<std::uint64_t> parse_number(std::string const& text) {
    std::uint64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
    return value;
  }

  Result<Attempt> prepare(Router const& router, Route const& route, Tenant const* const tenant, HttpRequest request) {
    Attempt attempt;
    Forward& f = attempt.forward;
    ServiceDefinition const& service = router.services()[Router::choose(route, env_.chance()())];
    f.attempt_id = header_value(request, headers_.attempt_id);
    if (f.attempt_id.empty()) return make_error("admit", "", "no attempt id", Proof::not_run);
    f.service = service.name;
    f.keyed = service.keyed;
    if (service.keyed) {
      std::optional<std::uint32_t> const key = parse_key(header_value(request, headers_.key));
      if (!key) return make_error("admit", "", "no key", Proof::not_run);
      f.key = static_cast<std::uint16_t>(*key);
    }
    Duration time_limit = route.timeout;
    std::optional<std::uint64_t> const remaining = parse_number(header_value(request, headers_.remaining_ms));
    if (remaining) time_limit = std::min<Duration>(time_limit, std::chrono::milliseconds(*remaining));
    attempt.started = env_.now();
    attempt.deadline = attempt.started + time_limit;
    attempt.target_latency = std::max<Duration>(Duration::zero(), route.target_latency);
    attempt.attempt_limit = std::max<std::uint32_t>(route.attempt_limit, 1);
    f.repeatable = route.repeatable;
    f.rank = tenant != nullptr ? tenant->rank.value_or(route.rank) : route.rank;
    if (tenant != nullptr) f.tenant = tenant->name;
    f.work_class = static_cast<std::uint32_t>(digest_of(route.name));
    f.calling_service = settings_.calling_service;
    f.request = std::move(request);
    return attempt;
  }

  RetryBudget& budget(std::string const& service) {
    auto it = budgets_.find(service);
    if (it == budgets_.end())
      it = budgets_.emplace(service, RetryBudget(settings_.retry_percent, settings_.retry_margin)).first;
    return it.value();
  }

  std::optional<Address> choose(Attempt& attempt, std::set<Address> const& tried) {
    Forward& f = attempt.forward;
    if (f.keyed) {
      KeyHolderRecord const* const holder = keys_ ? keys_->find(f.service, f.key) : nullptr;
      if (holder == nullptr || tried.contains(holder->address) || selector_.avoided(holder->address, env_.now()))
        return std::nullopt;
      f.crossed = holder->zone != settings_.zone;
      return holder->address;
    }
    Endpoint const* const endpoint = selector_.select(f.service, tried, env_.now(), env_.chance(), f.repeatable);
    if (endpoint == nullptr) return std::nullopt;
    f.crossed = !endpoint->local_zone;
    return endpoint->address;
  }

  Task<ForwardReply> send(Address const address, Forward const& forward, Instant const deadline,
                          SharedCancellation const cancellation) {
    selector_.sent(address);
    ForwardReply reply;
    if (address == settings_.own_address) {
      reply = co_await backend_.run(forward, cancellation);
    } else {
      Instant const sent = env_.now();
      Result<ForwardReply> got = co_await ask_cancellable(env_, address, forward, deadline, cancellation);
      if (got) {
        reply = std::move(*got);
        selector_.transferred(address, env_.now() - sent - std::chrono::microseconds(reply.elapsed_us), env_.now());
      } else {
        if (got.error().proof != Proof::not_run) record_unanswered(address, env_.now() - sent);
        reply.outcome = got.error().proof == Proof::not_run ? Outcome::not_run : Outcome::unknown;
        reply.refusal = reply.outcome == Outcome::not_run ? Refusal::unreachable : Refusal::none;
        if (got.error().step == rejected_step) reply = no_room();
        if (is_cancelled(cancellation)) reply.refusal = Refusal::cancelled;
        reply.reason = got.error().step + ": " + got.error().reason;
      }
    }
    update_selector(address, reply);
    co_return reply;
  }

  static ForwardReply no_room() {
    ForwardReply reply;
    reply.outcome = Outcome::not_run;
    reply.refusal = Refusal::busy;
    reply.retry_after_ms = static_cast<std::uint32_t>(as_ms(no_room_retry));
    return reply;
  }

  // Without a reply, the network time is at least the time waited, if that is more than expected.
  void record_unanswered(Address const& address, Duration const waited) {
    Duration const expected = selector_.expected_transfer(address, env_.now());
    selector_.transferred(address, std::max(waited, expected), env_.now());
  }

  void update_selector(Address const& address, ForwardReply const& reply) {
    Instant const now = env_.now();
    if (reply.outcome == Outcome::answered)
      selector_.answered(address, reply.load, now);
    else if (reply.refusal == Refusal::busy || reply.refusal == Refusal::too_late)
      selector_.busy(address, reply.load, std::chrono::milliseconds(std::min(reply.retry_after_ms, 200u)), now);
    else if (reply.refusal == Refusal::key_not_held || reply.refusal == Refusal::by_backend ||
             reply.refusal == Refusal::cancelled)
      selector_.answered(address, reply.load, now);
    else
      selector_.failed(address, reply.refusal == Refusal::unreachable || reply.refusal == Refusal::no_backend, now);
  }

  /** Whether the backend's reply is a failure that should be retried elsewhere. */
  bool should_retry(Attempt const& attempt, ForwardReply const& reply) const {
    return attempt.forward.repeatable && reply.reply.status >= 500 && reply.reply.status != 504;
  }

  // Returns the part of the target latency that is left when the request arrives there, minus the time
  // for the reply. If it can't be met any more, a fixed part of it still limits the wait for a slot.
  std::uint32_t target_latency_left_ms(Attempt const& attempt, Address const& endpoint) const {
    Duration const spent = env_.now() - attempt.started + selector_.expected_transfer(endpoint, env_.now());
    Duration const left = std::max(attempt.target_latency - spent, attempt.target_latency / late_target_divisor);
    return static_cast<std::uint32_t>(as_ms(left));
  }

  std::uint32_t remaining_ms(Attempt const& attempt) const {
    std::int64_t const left = as_ms(attempt.deadline - env_.now());
    return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
  }

  Task<HttpReply> run(Attempt attempt) {
    std::set<Address> tried;
    ForwardReply last;
    last.outcome = Outcome::not_run;
    last.refusal = Refusal::no_backend;
    bool may_have_run = false;
    std::uint32_t arrived_attempts = 0;
    std::uint32_t retry_after_ms = 0;
    budget(attempt.forward.service).record_first(env_.now());
    for (std::uint32_t n = 0; n < settings_.max_endpoints; ++n) {
      attempt.forward.remaining_ms = remaining_ms(attempt);
      if (attempt.forward.remaining_ms < 2 || attempt.cancellation->requested()) break;
      attempt.state.transition(RequestPhase::selecting);
      std::optional<Address> const endpoint = choose(attempt, tried);
      if (!endpoint) break;
      if (arrived_attempts > 0) {
        if (arrived_attempts >= attempt.attempt_limit || !budget(attempt.forward.service).try_extra(env_.now())) break;
        ++counts_.retried;
      }
      attempt.forward.target_latency_ms = target_latency_left_ms(attempt, *endpoint);
      attempt.state.transition(RequestPhase::forwarded);
      last = co_await send(*endpoint, attempt.forward, attempt.deadline, attempt.cancellation);
      if (last.outcome == Outcome::answered && !should_retry(attempt, last)) break;
      if (last.outcome != Outcome::not_run || last.refusal == Refusal::by_backend) ++arrived_attempts;
      if (last.outcome != Outcome::not_run) {
        may_have_run = true;
        if (!attempt.forward.repeatable) break;
      }
      if (last.retry_after_ms > 0)
        retry_after_ms = retry_after_ms == 0 ? last.retry_after_ms : std::min(retry_after_ms, last.retry_after_ms);
      // Only the holder of a key can serve its requests.
      if (!attempt.forward.keyed)
        tried.insert(*endpoint);
      else if (last.outcome == Outcome::not_run && last.refusal != Refusal::key_not_held)
        break;
      else if (last.refusal == Refusal::key_not_held) {
        tried.insert(*endpoint);
        co_await wait_for_another_holder(attempt, *endpoint);
      }
    }
    co_return finish(attempt, std::move(last), may_have_run, retry_after_ms);
  }

  // A row that moves between two holders is released shortly before the table with the next holder
  // arrives here.
  Task<void> wait_for_another_holder(Attempt const& attempt, Address const refusing) {
    Instant const until = std::min(env_.now() + key_move_patience, attempt.deadline);
    while (env_.now() < until && !attempt.cancellation->requested()) {
      KeyHolderRecord const* const holder = keys_ ? keys_->find(attempt.forward.service, attempt.forward.key) : nullptr;
      if (holder != nullptr && holder->address != refusing) co_return;
      co_await sleep_for(env_, key_move_pause);
    }
  }

  HttpReply finish(Attempt& attempt, ForwardReply last, bool const may_have_run, std::uint32_t const retry_after_ms) {
    if (last.outcome == Outcome::answered) {
      attempt.state.transition(RequestPhase::answered);
      ++counts_.answered;
      return std::move(last.reply);
    }
    attempt.state.transition(RequestPhase::given_up);
    if (attempt.cancellation->requested()) return client_left_reply(may_have_run);
    if (may_have_run) return failure(attempt, last.reason);
    Duration wait = attempt.forward.keyed ? key_retry : busy_retry;
    if (retry_after_ms > 0) wait = std::chrono::milliseconds(retry_after_ms);
    return refusal(last.reason.empty() ? "no usable backend" : last.reason, wait);
  }

  // The client has closed the connection, or closed its side and may still read; `departures` counts it.
  static HttpReply client_left_reply(bool const may_have_run) {
    return may_have_run ? plain_reply(502, "client has left") : refusal_of("client has left", busy_retry);
  }

  Env& env_;
  RequestPathSettings const settings_;
  DataPathHeaders const& headers_;
  Backend& backend_;
  EndpointSelector selector_;
  std::shared_ptr<Router const> router_;
  std::shared_ptr<KeyTable const> keys_;
  tsl::robin_map<std::string, RetryBudget> budgets_;
  AccessLease access_lease_;
  RequestCounts counts_;
  DepartureCounts departures_;
  std::size_t in_flight_ = 0;
  std::optional<Instant> end_;  // of this process, once it was told to end
};

}  // namespace banktide
