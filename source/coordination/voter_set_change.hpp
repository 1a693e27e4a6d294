// Reconfiguration from one voter set to the next. Any voter may drive it.
//
// A change from epoch e to e + 1:
//   1. A round of the voters of e writes the new set into Register::voters. Once it
//      holds a set of e + 1, only that value is written again: the set is decided.
//   2. `Seal`: enough voters of e stop voting in e that no quorum of e can form any
//      more, and that every value acknowledged in e is held by one of them.
//   3. `Activate`: the voters of e + 1 adopt the newest slots of the sealed voters and
//      vote in e + 1. Clients count quorums of e + 1 among activated voters only.
//   4. Each register is written once in e + 1, so that reads find agreement again.
// All steps are idempotent and may be run by any voter at any time: concurrent
// drivers are harmless, and a change found incomplete is completed. Ballots carry
// their epoch, so that a value left in e never wins over one written in e + 1.
//
// No step needs a failed voter. Step 1 needs a quorum of e. Step 2 needs a recovery
// quorum of e (voter_set.hpp), which may include a voter that never voted in e:
// every value acknowledged in e is held by a quorum that did, and the two intersect.
// If a voter of e + 1 is active already, its answer alone is enough to activate the
// next one: it holds everything that was acknowledged before e + 1.
#pragma once

#include "coordination/register_client.hpp"

namespace banktide {

template <Environment Env>
class VoterSetChange {
 public:
  VoterSetChange(Env& env, RegisterClient<Env>& client) : env_(env), client_(client) {}

  /// Changes the set from `now` to `next`. If another change was decided first, completes
  /// that one instead. Does nothing while this object already runs a change.
  Task<void> run(VoterSet const now, VoterSet const next) {
    if (running_) co_return;
    running_ = true;
    client_.adopt_if_newer(now);
    Result<VoterSet> const decided = co_await decide(now, next);
    if (decided) co_await finish(*decided);
    running_ = false;
  }

  /// Completes the change, if any, that was decided in the epoch of `now`.
  Task<void> complete(VoterSet const now) { co_await run(now, now); }

  /// Runs steps 2 to 4 for a decided set.
  Task<void> finish(VoterSet const set) {
    std::optional<Activate> const next = co_await seal(set);
    if (!next) co_return;
    std::size_t const needed = quorum_size(set);
    auto const replies =
        co_await ask_all<Activate>(env_, addresses_of(set), *next, env_.now() + step_timeout,
                                   [needed](auto const& heard) { return count_active(heard) >= needed; });
    adopt_newer_sets(replies);
    if (count_active(replies) < needed) co_return;
    client_.adopt_if_newer(set);
    for (Register const reg : stored_registers) {
      RegisterValue const none{};
      co_await client_.read(reg, none, env_.now() + step_timeout);
    }
  }

 private:
  static constexpr Duration decide_timeout = 3s;
  static constexpr Duration step_timeout = 1s;

  Task<Result<VoterSet>> decide(VoterSet const now, VoterSet const next) {
    Result<RegisterValue> const held = co_await client_.change(
        Register::voters, "", env_.now() + decide_timeout, [&](RegisterValue const& h) -> Result<RegisterValue> {
          if (client_.set().epoch != now.epoch)
            return make_error("decide_set", "", "the voter set has changed meanwhile");
          bool const decided = h.revision > now.epoch;  // from here on the same set is written again
          if (decided || next == now) return h;
          RegisterValue changed;
          changed.revision = next.epoch;
          changed.bytes = pack(next);
          return changed;
        });
    if (!held) co_return tl::unexpected<Error>(held.error());
    if (held->revision <= now.epoch)
      co_return make_error("decide_set", "", "no change of the voter set was in progress");
    co_return unpack<VoterSet>(held->bytes);
  }

  // The state with which the voters of `set` are activated; nullopt if too few voters answered.
  Task<std::optional<Activate>> seal(VoterSet const set) {
    std::vector<Address> peers = set.previous_addresses;
    for (VoterEntry const& e : set.voters)
      if (std::find(peers.begin(), peers.end(), e.address) == peers.end()) peers.push_back(e.address);
    std::size_t const members_before = set.previous_addresses.size();
    std::size_t const needed = recovery_quorum_size(members_before, set.tolerated_losses);
    auto const enough = [needed, members_before](auto const& replies) {
      std::size_t sealed = 0;
      for (auto const& [at, r] : replies) {
        if (r && r->active) return true;
        sealed += r && r->sealed && at < members_before;
      }
      return sealed >= needed;
    };
    Seal const request{set};
    auto const replies = co_await ask_all<Seal>(env_, peers, request, env_.now() + step_timeout, enough);
    adopt_newer_sets(replies);
    if (!enough(replies)) co_return std::nullopt;
    Activate next;
    next.set = set;
    for (auto const& [at, r] : replies) {
      if (!r || !r->sealed) continue;
      next.bootstrap_id = r->bootstrap_id;
      for (std::size_t k = 0; k < register_count; ++k) merge_newer(next.slots[k], r->slots[k]);
    }
    co_return next;
  }

  template <class Replies>
  void adopt_newer_sets(Replies const& replies) {
    for (auto const& [at, r] : replies)
      if (r && r->newer) client_.adopt_if_newer(*r->newer);
  }
  template <class Replies>
  static std::size_t count_active(Replies const& replies) {
    std::size_t n = 0;
    for (auto const& [at, r] : replies) n += r && r->active;
    return n;
  }

  Env& env_;
  RegisterClient<Env>& client_;
  bool running_ = false;
};

}  // namespace banktide
