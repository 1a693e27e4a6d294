// The acceptor: one voter of the register. A promise or an acceptance is synced
// to disk before it is answered. A voter with an empty disk never votes: the
// register can only be bootstrapped while every configured voter is empty, and a voter
// that lost its disk votes again only after a recovery quorum of the others has
// completed a round at a new ballot whose result it has stored.
#pragma once

#include "coordination/voter_set.hpp"
#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <map>

namespace banktide {

/// The state a voter stores on disk. It votes in `set` only if its slots belong to
/// that epoch (`active_epoch`). Otherwise it has been sealed in the previous epoch
/// and isn't active in the new one yet.
struct VoterRecord {
  BootstrapPhase phase = BootstrapPhase::blank;
  std::uint64_t bootstrap_id = 0;
  RegisterSlots slots;
  VoterSet set;
  std::uint64_t active_epoch = 0;
  std::uint64_t disk = 0;  // random identifier, assigned while the disk was empty
  BANKTIDE_FIELDS(phase, bootstrap_id, slots, set, active_epoch, disk)
};

template <class D>
concept Disk = requires(D& d, VoterRecord const& r) {
  { d.load() } -> std::same_as<Result<VoterRecord>>;
  { d.save(r) } -> std::same_as<Task<Result<bool>>>;
};

template <Environment Env, Disk D>
class Acceptor {
 public:
  /// A voter of a fixed list, which stays the set of epoch 0.
  Acceptor(Env& env, D& d, std::vector<Address> voters, std::size_t const own_index)
      : env_(env), disk_(d), fixed_(std::move(voters)), own_address_(fixed_.at(own_index)), turn_(env) {}
  /// A store whose voter set is on its disk, or that has yet to bootstrap or join one.
  Acceptor(Env& env, D& d, Address own_address)
      : env_(env), disk_(d), own_address_(std::move(own_address)), turn_(env) {}

  Result<bool> load() {
    Result<VoterRecord> r = disk_.load();
    if (!r) return tl::unexpected<Error>(r.error());
    record_ = std::move(*r);
    if (!fixed_.empty()) record_.set = initial_set(fixed_, 0);
    return true;
  }

  void attach(Dispatcher& dispatcher) {
    dispatcher.on<Prepare>([this](Prepare request) { return prepare(std::move(request)); });
    dispatcher.on<Accept>([this](Accept request) { return accept(std::move(request)); });
    dispatcher.on<ReadRegister>([this](ReadRegister request) { return read_register(std::move(request)); });
    dispatcher.on<ReadRevisions>([this](ReadRevisions request) { return read_revisions(request); });
    dispatcher.on<Bootstrap>([this](Bootstrap request) { return bootstrap(request); });
    dispatcher.on<VotersRequest>([this](VotersRequest request) { return voters(std::move(request)); });
    dispatcher.on<Seal>([this](Seal request) { return seal(std::move(request)); });
    dispatcher.on<Activate>([this](Activate request) { return activate(std::move(request)); });
  }

  BootstrapPhase phase() const { return record_.phase; }
  RegisterSlot const& slot(Register const r) const { return record_.slots[static_cast<std::size_t>(r)]; }
  VoterSet const& set() const { return record_.set; }
  std::uint64_t disk_id() const { return record_.disk; }
  Address const& own_address() const { return own_address_; }
  bool voting() const { return votes(record_); }
  /// The store that last requested the voter set. It may be a voter unknown to this one.
  Address const& last_requester() const { return last_requester_; }
  /// Whether a request has arrived for a newer epoch than this voter's.
  bool is_outdated() const { return highest_seen_epoch_ > record_.set.epoch; }

  // For a voter of a fixed list: returns once it votes.
  Task<void> run_until_voting() {
    while (!voting()) {
      co_await bootstrap_or_rejoin();
      if (!voting()) co_await sleep_for(env_, 200ms + std::chrono::milliseconds(env_.chance()() % 100));
    }
    log_info("voting", {{"founding", std::to_string(record_.bootstrap_id)},
                        {"routing", std::to_string(slot(Register::routing).held.revision)},
                        {"catalogue", std::to_string(slot(Register::catalogue).held.revision)}});
  }

  /// Makes one attempt to bootstrap the recorded set or to rejoin it.
  Task<void> bootstrap_or_rejoin() {
    std::vector<Address> const others = other_voters(record_.set);
    Bootstrap request{BootstrapPhase::blank, record_.bootstrap_id};
    auto const replies =
        co_await ask_all<Bootstrap>(env_, others, request, env_.now() + 1s, [](auto const&) { return false; });
    std::size_t answered = 0, voting = 0, same_bootstrap = 0;
    for (auto const& [i, r] : replies) {
      if (!r) continue;
      ++answered;
      if (r->phase == BootstrapPhase::voting) {
        ++voting;
        same_bootstrap += record_.phase == BootstrapPhase::prepared && r->bootstrap_id == record_.bootstrap_id;
      }
    }
    if (same_bootstrap > 0) {
      co_await change([](VoterRecord& r) {
        if (r.phase != BootstrapPhase::prepared) return false;
        r.phase = BootstrapPhase::voting;
        return true;
      });
    } else if (voting > 0 && broken_on_purpose("votes_blank")) {
      record_.phase = BootstrapPhase::voting;
    } else if (voting > 0) {
      co_await rejoin(record_.set);
    } else if (initiates_bootstrap() && answered == others.size()) {
      co_await bootstrap_all(others);
    }
  }

  /// Assigns an identifier to an empty disk and records the set to be bootstrapped if this store belongs to it.
  Task<bool> initialize(VoterSet const initial_voters) {
    std::uint64_t const id = env_.chance()() | 1;
    co_return co_await change([&](VoterRecord& r) {
      if (r.disk != 0) return false;
      r.disk = id;
      if (find_entry(initial_voters, own_address_) != nullptr) r.set = initial_voters;
      return true;
    });
  }

  /// Discards all state under a new disk identifier, so that a removed store joins like a new one.
  Task<bool> reset_record() {
    VoterRecord empty;
    empty.disk = env_.chance()() | 1;
    co_return co_await change([&](VoterRecord& r) {
      r = empty;
      return true;
    });
  }

  // Recovers a voter of `set` that lost its disk: for every register, a recovery
  // quorum of the others completes a round at a new ballot, and the result is
  // stored here. If the register of voters shows that the set has been replaced,
  // this voter must not vote in it, as others may have stopped already.
  // Each round ends as soon as enough voters have answered, since an unreachable
  // one would delay it. Returns the newer set if a voter reports one.
  Task<std::optional<VoterSet>> rejoin(VoterSet const set) {
    std::vector<Address> const others = other_voters(set);
    std::size_t const needed = recovery_quorum_size(set);
    std::uint64_t const nonce = env_.chance()();
    VoterRecord next;
    next.bootstrap_id = co_await agreed_bootstrap_id(others, needed);
    if (next.bootstrap_id == 0) co_return std::nullopt;
    std::optional<VoterSet> newer;
    for (Register const reg : stored_registers) {
      std::optional<RegisterSlot> const recovered = co_await recover(reg, set, others, needed, nonce, newer);
      if (!recovered) co_return newer;
      next.slots[static_cast<std::size_t>(reg)] = *recovered;
    }
    if (next.slots[static_cast<std::size_t>(Register::voters)].held.revision > set.epoch) co_return std::nullopt;
    next.phase = BootstrapPhase::voting;
    next.set = set;
    next.active_epoch = set.epoch;
    co_await change([&](VoterRecord& r) {
      if (r.phase == BootstrapPhase::voting) return false;
      next.disk = r.disk;
      r = next;
      return true;
    });
    log_info("rejoined", {{"founding", std::to_string(next.bootstrap_id)}, {"epoch", std::to_string(set.epoch)}});
    co_return std::nullopt;
  }

 private:
  static constexpr int recovery_attempts = 20;
  static constexpr Duration log_interval = 1s;

  static bool votes(VoterRecord const& r) { return r.phase == BootstrapPhase::voting && r.active_epoch == r.set.epoch; }

  // Applies changes one at a time: syncing the disk may take long, and answers may
  // only contain state that has been synced. `f` returns whether it changed anything.
  template <class F>
  Task<bool> change(F f) {
    if (turn_.waiting() >= 64) co_return false;
    co_await turn_.lock();
    VoterRecord next = record_;
    bool saved = true;
    if (f(next)) {
      Result<bool> stored = co_await disk_.save(next);
      saved = stored.has_value();
      if (saved)
        record_ = std::move(next);
      else
        log_disk_error(stored.error());
    }
    turn_.unlock();
    co_return saved;
  }

  void log_disk_error(Error const& m) {
    if (last_error_logged_ && env_.now() - *last_error_logged_ < log_interval) return;
    last_error_logged_ = env_.now();
    log_warn("disk_error", {{"step", m.step}, {"reason", m.reason}});
  }

  std::vector<Address> other_voters(VoterSet const& set) const {
    std::vector<Address> out;
    for (VoterEntry const& e : set.voters)
      if (e.address != own_address_) out.push_back(e.address);
    return out;
  }
  bool initiates_bootstrap() const {
    return record_.set.epoch == 0 && !record_.set.voters.empty() && record_.set.voters.front().address == own_address_;
  }

  static bool is_known_register(Register const reg) { return static_cast<std::size_t>(reg) < register_count; }
  static RegisterSlot& slot_of(VoterRecord& r, Register const reg) { return r.slots[static_cast<std::size_t>(reg)]; }

  // Whether a request for that epoch may be answered with a vote. Only a store that
  // has voted in the newer set or in the one before reports the newer set.
  bool may_vote(std::uint64_t const epoch, std::optional<VoterSet>& newer) {
    highest_seen_epoch_ = std::max(highest_seen_epoch_, epoch);
    if (record_.phase == BootstrapPhase::voting && record_.set.epoch > epoch) newer = record_.set;
    return voting() && record_.set.epoch == epoch;
  }

  Task<PrepareReply> prepare(Prepare request) {
    PrepareReply reply;
    if (!is_known_register(request.reg) || !may_vote(request.ballot.epoch, reply.newer)) co_return reply;
    bool ok = false, votes_in_epoch = false;
    RegisterSlot updated_slot;
    bool const stored = co_await change([&](VoterRecord& r) {
      votes_in_epoch = votes(r) && r.set.epoch == request.ballot.epoch;
      if (!votes_in_epoch) return false;
      RegisterSlot& s = slot_of(r, request.reg);
      ok = request.ballot.may_follow(s.promised);
      if (ok) s.promised = request.ballot;
      updated_slot = s;
      return ok;
    });
    if (!stored || !votes_in_epoch) co_return reply;
    reply.voting = true;
    reply.promised = ok;
    reply.slot = std::move(updated_slot);
    co_return reply;
  }

  Task<AcceptReply> accept(Accept request) {
    AcceptReply reply;
    if (!is_known_register(request.reg) || !may_vote(request.ballot.epoch, reply.newer)) co_return reply;
    bool ok = false, votes_in_epoch = false;
    bool const stored = co_await change([&](VoterRecord& r) {
      votes_in_epoch = votes(r) && r.set.epoch == request.ballot.epoch;
      if (!votes_in_epoch) return false;
      RegisterSlot& s = slot_of(r, request.reg);
      ok = request.ballot == s.promised || request.ballot.may_follow(s.promised);
      if (ok) {
        s.promised = request.ballot;
        s.accepted = request.ballot;
        s.held = request.held;
      }
      reply.promised = s.promised;
      return ok;
    });
    if (!stored || !votes_in_epoch) co_return AcceptReply{};
    reply.voting = true;
    reply.accepted = ok;
    co_return reply;
  }

  Task<ReadRegisterReply> read_register(ReadRegister request) {
    ReadRegisterReply reply;
    if (!is_known_register(request.reg) || !may_vote(request.epoch, reply.newer)) co_return reply;
    RegisterSlot const& s = slot(request.reg);
    reply.voting = true;
    reply.accepted = s.accepted;
    reply.revision = s.held.revision;
    if (request.value && s.held.revision > request.have) reply.held = s.held;
    co_return reply;
  }

  Task<ReadRevisionsReply> read_revisions(ReadRevisions request) {
    ReadRevisionsReply reply;
    if (!may_vote(request.epoch, reply.newer)) co_return reply;
    reply.voting = true;
    for (std::size_t i = 0; i < register_count; ++i) reply.revisions[i] = record_.slots[i].held.revision;
    co_return reply;
  }

  Task<VotersReply> voters(VotersRequest request) {
    VotersReply reply;
    if (!request.from.empty()) last_requester_ = request.from;
    reply.member = record_.phase == BootstrapPhase::voting;
    reply.active = voting();
    if (reply.member) reply.set = record_.set;
    co_return reply;
  }

  // A voter that was down during earlier changes skips the epochs in between: it
  // never voted in them, so no value acknowledged there depends on it.
  Task<SealReply> seal(Seal request) {
    SealReply reply;
    bool const stored = co_await change([&](VoterRecord& r) {
      if (r.phase != BootstrapPhase::voting) return false;
      if (r.set.epoch > request.set.epoch) reply.newer = r.set;
      bool const from_before = r.set.epoch < request.set.epoch;
      if (from_before) r.set = request.set;
      reply.sealed = r.set.epoch == request.set.epoch;
      reply.active = votes(r) && reply.sealed;
      if (reply.sealed) {
        reply.bootstrap_id = r.bootstrap_id;
        reply.slots = r.slots;
      }
      return from_before;
    });
    SealReply const none;
    co_return stored ? reply : none;
  }

  // A voter of an earlier set continues with its own slots. An empty disk is accepted
  // only if it is the one that was added, because that disk has never voted.
  Task<ActivateReply> activate(Activate request) {
    ActivateReply reply;
    bool const stored = co_await change([&](VoterRecord& r) {
      VoterEntry const* const own_entry = find_entry(request.set, own_address_);
      if (r.phase == BootstrapPhase::voting && r.set.epoch > request.set.epoch) reply.newer = r.set;
      reply.active = votes(r) && r.set.epoch == request.set.epoch;
      bool const continuing =
          r.phase == BootstrapPhase::voting && r.active_epoch < request.set.epoch && r.set.epoch <= request.set.epoch;
      bool const added = r.phase != BootstrapPhase::voting && own_entry != nullptr && own_entry->disk != 0 &&
                         own_entry->disk == r.disk;
      if (reply.active || own_entry == nullptr || !(continuing || added)) return false;
      for (std::size_t i = 0; i < register_count; ++i) merge_newer(r.slots[i], request.slots[i]);
      r.phase = BootstrapPhase::voting;
      r.bootstrap_id = request.bootstrap_id;
      r.set = request.set;
      r.active_epoch = request.set.epoch;
      reply.active = true;
      return true;
    });
    if (!stored) co_return ActivateReply{};
    co_return reply;
  }

  Task<BootstrapReply> bootstrap(Bootstrap request) {
    if (request.want == BootstrapPhase::prepared && record_.phase != BootstrapPhase::voting && !initiates_bootstrap() &&
        find_entry(record_.set, own_address_) != nullptr)
      co_await change([&](VoterRecord& r) {
        if (r.phase == BootstrapPhase::voting || find_entry(r.set, own_address_) == nullptr) return false;
        r.phase = BootstrapPhase::prepared;
        r.bootstrap_id = request.bootstrap_id;
        return true;
      });
    if (request.want == BootstrapPhase::voting && record_.phase == BootstrapPhase::prepared &&
        record_.bootstrap_id == request.bootstrap_id)
      co_await change([&](VoterRecord& r) {
        if (r.phase != BootstrapPhase::prepared || r.bootstrap_id != request.bootstrap_id) return false;
        r.phase = BootstrapPhase::voting;
        return true;
      });
    co_return BootstrapReply{record_.phase, record_.bootstrap_id};
  }

  Task<void> bootstrap_all(std::vector<Address> others) {
    std::uint64_t const id = env_.chance()() | 1;
    bool const began = co_await change([&](VoterRecord& r) {
      r.phase = BootstrapPhase::prepared;
      r.bootstrap_id = id;
      return true;
    });
    if (!began) co_return;
    Bootstrap const prepared{BootstrapPhase::prepared, id}, open{BootstrapPhase::voting, id};
    auto const replies =
        co_await ask_all<Bootstrap>(env_, others, prepared, env_.now() + 2s, [](auto const&) { return false; });
    std::size_t ready = 0;
    for (auto const& [i, r] : replies) ready += r && r->phase == BootstrapPhase::prepared && r->bootstrap_id == id;
    if (ready != others.size()) co_return;
    bool const opened = co_await change([](VoterRecord& r) {
      r.phase = BootstrapPhase::voting;
      return true;
    });
    if (!opened) co_return;
    log_info("founded", {{"founding", std::to_string(id)}});
    co_await ask_all<Bootstrap>(env_, others, open, env_.now() + 2s, [](auto const&) { return false; });
  }

  /// The bootstrap identifier that at least `enough` of these voters report; 0 if there is none.
  Task<std::uint64_t> agreed_bootstrap_id(std::vector<Address> const others, std::size_t const needed) {
    auto const most_frequent = [](auto const& replies) {
      std::map<std::uint64_t, std::size_t> named;
      std::pair<std::uint64_t, std::size_t> best_count{0, 0};
      for (auto const& [i, r] : replies) {
        if (!r || r->phase != BootstrapPhase::voting) continue;
        std::size_t const n = ++named[r->bootstrap_id];
        if (n > best_count.second) best_count = {r->bootstrap_id, n};
      }
      return best_count;
    };
    Bootstrap const request{};
    auto const replies = co_await ask_all<Bootstrap>(
        env_, others, request, env_.now() + 1s,
        [needed, most_frequent](auto const& answered) { return most_frequent(answered).second >= needed; });
    std::pair<std::uint64_t, std::size_t> const best_count = most_frequent(replies);
    co_return best_count.second >= needed ? best_count.first : 0;
  }

  // Recovers one register for `rejoin` and returns the slot to store.
  Task<std::optional<RegisterSlot>> recover(Register const reg, VoterSet const& set, std::vector<Address> const& others,
                                            std::size_t const needed, std::uint64_t const nonce,
                                            std::optional<VoterSet>& newer) {
    Ballot ballot{set.epoch, 1, nonce};
    for (int attempt = 0; attempt < recovery_attempts; ++attempt) {
      Prepare const prepare_request{reg, ballot};
      auto const promises =
          co_await ask_all<Prepare>(env_, others, prepare_request, env_.now() + 1s, [needed](auto const& replies) {
            std::size_t n = 0;
            for (auto const& [i, r] : replies) n += r && r->voting && r->promised;
            return n >= needed || std::any_of(replies.begin(), replies.end(),
                                              [](auto const& reply) { return reply.second && reply.second->newer; });
          });
      std::size_t promised = 0;
      Ballot best;
      std::uint64_t top_round = ballot.round;
      RegisterValue held;
      for (auto const& [i, r] : promises) {
        if (r && r->newer) {
          newer = r->newer;
          co_return std::nullopt;
        }
        if (!r || !r->voting) continue;
        promised += r->promised;
        top_round = std::max(top_round, r->slot.promised.round);
        if (r->slot.accepted > best) {
          best = r->slot.accepted;
          held = r->slot.held;
        }
      }
      if (promised >= needed) {
        Accept const request{reg, ballot, held};
        auto const acceptances =
            co_await ask_all<Accept>(env_, others, request, env_.now() + 1s, [needed](auto const& replies) {
              std::size_t n = 0;
              for (auto const& [i, r] : replies) n += r && r->accepted;
              return n >= needed;
            });
        std::size_t accepted = 0;
        for (auto const& [i, r] : acceptances) accepted += r && r->accepted;
        if (accepted >= needed) co_return RegisterSlot{ballot, ballot, held};
      }
      ballot.round = top_round + 1;
      co_await sleep_for(env_, std::chrono::milliseconds(5 + env_.chance()() % 50));
    }
    co_return std::nullopt;
  }

  Env& env_;
  D& disk_;
  std::vector<Address> const fixed_;
  Address const own_address_;
  AsyncMutex<Env> turn_;
  VoterRecord record_;
  std::uint64_t highest_seen_epoch_ = 0;
  Address last_requester_;
  std::optional<Instant> last_error_logged_;
};

}  // namespace banktide
