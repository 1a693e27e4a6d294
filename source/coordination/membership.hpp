// A store's membership in the voter set: it bootstraps the first set with the other
// seeds, requests to be added, rejoins after losing its disk, probes the other
// voters, and drives the set changes that others request or have left incomplete
// (voter_set_change.hpp).
//
// A newcomer replaces an unresponsive voter in a single change, so that a replaced
// machine weakens the set only until its failure is detected. If every voter
// responds, the set grows by the newcomer. An unresponsive voter without a
// replacement is removed after a while, and a voter that shuts down is removed then,
// if the remaining set tolerates the configured number of losses.
#pragma once

#include "coordination/acceptor.hpp"
#include "coordination/voter_set_change.hpp"
#include "coordination/voter_monitor.hpp"

namespace banktide {

/// A store's settings for its membership.
struct MembershipSettings {
  std::vector<Address> seeds;
  bool initial_start = false;  // the seeds have empty disks and are to bootstrap the register
  std::uint32_t losses = 1;    // how many stores may lose their disks at once
  Duration remove_after = 6s;  // without an answer
};

template <Environment Env, Disk D>
class Membership {
 public:
  Membership(Env& env, Acceptor<Env, D>& acceptor, MembershipSettings settings)
      : env_(env),
        acceptor_(acceptor),
        settings_(std::move(settings)),
        client_(env, StoreSeeds{settings_.seeds}),
        change_(env, client_) {
    if (acceptor_.phase() == BootstrapPhase::voting) client_.adopt_if_newer(acceptor_.set());
  }

  void attach(Dispatcher& dispatcher) {
    dispatcher.on<AddVoter>([this](AddVoter request) { return add(std::move(request)); });
    dispatcher.on<RemoveVoter>([this](RemoveVoter request) { return remove(std::move(request)); });
  }

  /// Runs until the store leaves.
  Task<void> run() {
    for (std::uint64_t tick = 0; !leaving_; ++tick) {
      bool const was_voting = acceptor_.voting();
      if (!was_voting)
        co_await try_to_become_voter();
      else if (acceptor_.slot(Register::voters).held.revision > acceptor_.set().epoch)
        co_await change_.complete(acceptor_.set());
      else if (acceptor_.is_outdated() || tick % ticks_per_probe == 0)
        co_await maintain_voter_set();
      if (acceptor_.voting() && !was_voting) {
        log_info("voting", {{"epoch", std::to_string(acceptor_.set().epoch)},
                            {"voters", std::to_string(acceptor_.set().voters.size())}});
      }
      Duration const jitter = std::chrono::milliseconds(env_.chance()() % 50);
      Duration const pause = acceptor_.voting() ? tick_interval : join_interval;
      co_await sleep_for(env_, pause + jitter);
    }
  }

  /// Shuts this store down, perhaps permanently: it requests its own removal if the set
  /// would tolerate too few losses with a failed member. It votes until it is removed.
  Task<void> leave(Duration const timeout) {
    leaving_ = true;
    Instant const deadline = env_.now() + timeout;
    while (env_.now() < deadline && acceptor_.voting() && should_remove_leaver(acceptor_.set())) {
      bool const removed = co_await request_removal(deadline);
      if (removed) break;
      co_await sleep_for(env_, join_interval);
    }
    left_ = true;
  }
  /// Whether `leave` has finished, whether or not the store was removed.
  bool left() const { return left_; }

  /// The health of the set according to the latest probe.
  VoterSetHealth const& health() const { return health_; }

 private:
  static constexpr Duration tick_interval = 500ms;
  static constexpr Duration join_interval = 100ms;
  static constexpr Duration probe_timeout = 400ms;
  static constexpr Duration min_probe_interval = 300ms;
  static constexpr Duration probe_validity = 1s;
  static constexpr Duration change_timeout = 3s;
  static constexpr std::uint64_t ticks_per_probe = 1;
  static constexpr Duration probe_interval = tick_interval * ticks_per_probe;
  // A voter that misses this many probes in a row may be replaced by a newcomer.
  static constexpr std::uint64_t missed_probes_before_replacement = 3;

  // ---- becoming a voter

  Task<void> try_to_become_voter() {
    if (acceptor_.disk_id() == 0) {
      std::vector<Address> seeds = settings_.initial_start ? settings_.seeds : std::vector<Address>{};
      std::sort(seeds.begin(), seeds.end());
      bool const initialized = co_await acceptor_.initialize(initial_set(seeds, settings_.losses));
      if (!initialized) co_return;
    }
    bool const discovered = co_await discover_newest_set();
    if (!discovered) {
      if (acceptor_.phase() != BootstrapPhase::voting && !acceptor_.set().voters.empty())
        co_await acceptor_.bootstrap_or_rejoin();
      co_return;
    }
    VoterSet const newest = client_.set();
    VoterEntry const* const own_entry = find_entry(newest, acceptor_.own_address());
    if (own_entry == nullptr) {
      co_await request_addition(newest);
    } else if (acceptor_.phase() == BootstrapPhase::voting ||
               (own_entry->disk != 0 && own_entry->disk == acceptor_.disk_id() && newest.epoch > 0)) {
      co_await change_.finish(newest);
    } else if (newest.epoch == 0 && acceptor_.set() == newest) {
      co_await acceptor_.bootstrap_or_rejoin();
    } else {
      std::optional<VoterSet> const newer = co_await acceptor_.rejoin(newest);
      if (newer) client_.adopt_if_newer(*newer);
    }
  }

  // Only a set reported by a voter counts; the set on this store's own disk is of no
  // use while nobody votes. An outdated set is corrected by the voters contacted next.
  Task<bool> discover_newest_set() {
    if (acceptor_.phase() == BootstrapPhase::voting) client_.adopt_if_newer(acceptor_.set());
    if (!acceptor_.last_requester().empty()) client_.add_contacts({acceptor_.last_requester()});
    co_return co_await client_.discover(env_.now() + probe_timeout, true);
  }

  Task<void> request_addition(VoterSet const set) {
    std::vector<Address> const active = co_await active_voters(set);
    if (active.size() < quorum_size(set)) co_return;
    if (acceptor_.phase() == BootstrapPhase::voting) {
      // The slots on this disk were needed until the set without this store is active.
      bool const empty = co_await acceptor_.reset_record();
      if (!empty) co_return;
    }
    AddVoter request;
    request.entry = VoterEntry{acceptor_.own_address(), acceptor_.disk_id()};
    Address const peer = pick_random(active);
    Result<VoterSetReply> const reply = co_await ask<AddVoter>(env_, peer, request, env_.now() + change_timeout);
    if (!reply) co_return;
    client_.adopt_if_newer(reply->set);
    if (reply->done) log_info("added", {{"epoch", std::to_string(reply->set.epoch)}, {"by", peer}});
  }

  Task<bool> request_removal(Instant const deadline) {
    VoterSet const set = acceptor_.set();
    std::vector<Address> others = co_await active_voters(set);
    std::erase(others, acceptor_.own_address());
    if (others.empty()) co_return false;
    RemoveVoter request;
    request.address = acceptor_.own_address();
    Address const peer = pick_random(others);
    Result<VoterSetReply> const reply = co_await ask<RemoveVoter>(env_, peer, request, deadline);
    if (reply && reply->done) log_info("removed_itself", {{"epoch", std::to_string(reply->set.epoch)}, {"by", peer}});
    co_return reply && reply->done;
  }

  // The voters of a set that are active in it; stops waiting once they form a quorum.
  Task<std::vector<Address>> active_voters(VoterSet const set) {
    std::vector<Address> const voters = addresses_of(set);
    std::size_t const needed = quorum_size(set);
    auto const votes_in_set = [&set](Result<VotersReply> const& r) { return r && r->active && r->set == set; };
    VotersRequest const request{};
    auto const replies =
        co_await ask_all<VotersRequest>(env_, voters, request, env_.now() + probe_timeout, [&](auto const& heard) {
          std::size_t n = 0;
          for (auto const& [at, r] : heard) n += votes_in_set(r);
          return n >= needed;
        });
    std::vector<Address> active;
    for (auto const& [at, r] : replies) {
      if (r && r->member) client_.adopt_if_newer(r->set);
      if (votes_in_set(r)) active.push_back(voters[at]);
    }
    co_return active;
  }

  Address pick_random(std::vector<Address> const& peers) { return peers[env_.chance()() % peers.size()]; }

  // ---- changes requested by other stores

  Task<VoterSetReply> add(AddVoter request) {
    VoterSet const now = acceptor_.set();
    if (acceptor_.voting() && find_entry(now, request.entry.address) == nullptr) {
      co_await probe_others();
      std::optional<VoterSet> const next = set_for_newcomer(now, request.entry);
      if (next && acceptor_.set() == now) co_await change_.run(now, *next);
    }
    VoterSetReply reply = current_set_reply();
    VoterEntry const* const entry = find_entry(reply.set, request.entry.address);
    reply.done = entry != nullptr && *entry == request.entry;
    co_return reply;
  }

  // Returns nullopt while an unresponsive voter might still be alive; the newcomer then
  // retries. A set with both of them would tolerate fewer losses.
  std::optional<VoterSet> set_for_newcomer(VoterSet const& now, VoterEntry const& newcomer) const {
    if (!last_probe_finished_ || env_.now() - *last_probe_finished_ > probe_validity) return std::nullopt;
    std::optional<Address> const silent = monitor_.least_responsive();
    if (!silent) return with_voter_added(now, newcomer);
    if (monitor_.missed_probes(*silent) < missed_probes_before_replacement) return std::nullopt;
    return with_voter_replaced(now, *silent, newcomer);
  }

  Task<VoterSetReply> remove(RemoveVoter request) {
    VoterSet const now = acceptor_.set();
    bool const possible = can_remove_voter(now) && request.address != acceptor_.own_address();
    if (acceptor_.voting() && possible && find_entry(now, request.address) != nullptr)
      co_await change_.run(now, with_voter_removed(now, request.address));
    VoterSetReply reply = current_set_reply();
    reply.done = !reply.set.voters.empty() && find_entry(reply.set, request.address) == nullptr;
    co_return reply;
  }

  VoterSetReply current_set_reply() const {
    VoterSetReply reply;
    if (acceptor_.phase() == BootstrapPhase::voting) reply.set = acceptor_.set();
    return reply;
  }

  // ---- monitoring of the other voters

  // Probes the other voters, adopts a newer set, and removes a voter that has been silent for too long.
  Task<void> maintain_voter_set() {
    VoterSet const now = acceptor_.set();
    VoterSet const newest = co_await probe_others();
    if (newest.epoch > now.epoch) {
      client_.adopt_if_newer(newest);
      if (find_entry(newest, acceptor_.own_address()) != nullptr)
        co_await change_.finish(newest);
      else
        co_await request_addition(newest);
      co_return;
    }
    std::uint64_t const max_missed = static_cast<std::uint64_t>(settings_.remove_after / probe_interval);
    std::optional<Address> const silent = monitor_.least_responsive();
    if (!silent || monitor_.missed_probes(*silent) < max_missed || !can_remove_voter(now)) co_return;
    RemoveVoter removal;
    removal.address = *silent;
    VoterSetReply const reply = co_await remove(removal);
    if (reply.done) log_info("removed", {{"voter", removal.address}, {"epoch", std::to_string(reply.set.epoch)}});
  }

  // Returns the newest set that any of the other voters reports.
  Task<VoterSet> probe_others() {
    VoterSet newest = acceptor_.set();
    if (last_probe_started_ && env_.now() - *last_probe_started_ < min_probe_interval) co_return newest;
    last_probe_started_ = env_.now();
    VoterSet const now = newest;
    std::vector<Address> monitored = addresses_of(now);
    std::erase(monitored, acceptor_.own_address());
    std::vector<Address> peers = monitored;
    // The last requester may belong to a newer set whose other voters are all unknown here.
    if (!acceptor_.last_requester().empty() && find_entry(now, acceptor_.last_requester()) == nullptr)
      peers.push_back(acceptor_.last_requester());
    VotersRequest const request{acceptor_.own_address()};
    auto const replies = co_await ask_all<VotersRequest>(env_, peers, request, env_.now() + probe_timeout,
                                                         [](auto const&) { return false; });
    std::vector<bool> answered(monitored.size(), false);
    std::size_t voting = acceptor_.voting() ? 1 : 0;
    for (auto const& [at, r] : replies) {
      if (!r) continue;
      if (at < monitored.size()) answered[at] = true;
      if (at < monitored.size()) voting += r->active && r->set == now;
      if (r->member && r->set.epoch > newest.epoch) newest = r->set;
    }
    monitor_.record_probe(monitored, answered);
    last_probe_finished_ = env_.now();
    report_health(health_of(now, voting));
    co_return newest;
  }

  void report_health(VoterSetHealth const& current) {
    if (current == health_) return;
    health_ = current;
    bool const below_target = current.tolerable_losses < settings_.losses;
    std::string const epoch = std::to_string(current.epoch);
    std::string const voters = std::to_string(current.voters);
    std::string const voting = std::to_string(current.voting);
    std::string const losses = std::to_string(current.tolerable_losses);
    if (below_target)
      log_warn("voter_set_weak",
               {{"epoch", epoch}, {"voters", voters}, {"voting", voting}, {"losses_to_bear", losses}});
    else
      log_info("voter_set_sound",
               {{"epoch", epoch}, {"voters", voters}, {"voting", voting}, {"losses_to_bear", losses}});
  }

  Env& env_;
  Acceptor<Env, D>& acceptor_;
  MembershipSettings const settings_;
  RegisterClient<Env> client_;
  VoterSetChange<Env> change_;
  VoterMonitor monitor_;
  VoterSetHealth health_;
  std::optional<Instant> last_probe_started_, last_probe_finished_;
  bool leaving_ = false, left_ = false;
};

}  // namespace banktide
