// The steps from one set of voters to the next, as any voter may drive them.
//
// A change from epoch e to e + 1:
//   1. A round of the voters of e puts the new set into Register::voters. Once a
//      set of e + 1 is there it is only ever written again: the set is decided.
//   2. `Seal`: so many voters of e vote there no more that no quorum of e can
//      form, and that each value acknowledged in e is with one of them.
//   3. `Activate`: the voters of e + 1 take up the newest of what these hold, and
//      vote in e + 1. Clients count quorums of e + 1 only among such.
//   4. Each register is written once in e + 1, so that readings agree again.
// Each step may be repeated by anyone, at any time: two drivers do no harm, and
// who finds a change half done completes it. Ballots carry their epoch, so that
// what was left behind in e never wins over what was written in e + 1.
//
// No step needs a voter that is gone. Step 1 needs a quorum of e. Step 2 needs a
// recovery quorum of e (voter_set.hpp), and a voter that never voted in e may be
// part of it: whatever was acknowledged in e is with a quorum that did, and the two
// have a voter in common. Where a voter of e + 1 is active already its word alone
// will do for the next one: it holds all that was acknowledged before e + 1.
#pragma once

#include "coordination/register_client.hpp"

namespace banktide {

template <Environment Env>
class VoterSetChange {
 public:
  VoterSetChange(Env& env, RegisterClient<Env>& client) : env_(env), client_(client) {}

  /// Changes the set from `now` to `next`, unless another change was decided first:
  /// then that one is completed. Does nothing while a change is driven here.
  Task<void> run(VoterSet const now, VoterSet const next) {
    if (running_) co_return;
    running_ = true;
    client_.adopt_if_newer(now);
    Result<VoterSet> const decided = co_await decide(now, next);
    if (decided) co_await finish(*decided);
    running_ = false;
  }

  /// Completes the change that may have been decided in the epoch of `now`.
  Task<void> complete(VoterSet const now) { co_await run(now, now); }

  /// Steps 2 to 4 for a set that is decided.
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
          if (client_.set().epoch != now.epoch) return make_error("decide_set", "", "the set has changed meanwhile");
          bool const decided = h.revision > now.epoch;  // only ever written again
          if (decided || next == now) return h;
          RegisterValue changed;
          changed.revision = next.epoch;
          changed.bytes = pack(next);
          return changed;
        });
    if (!held) co_return tl::unexpected<Error>(held.error());
    if (held->revision <= now.epoch) co_return make_error("decide_set", "", "no change of the set was under way");
    co_return unpack<VoterSet>(held->bytes);
  }

  // What the voters of `set` begin with; nothing while too few have told.
  Task<std::optional<Activate>> seal(VoterSet const set) {
    std::vector<Address> peers = set.before;
    for (VoterEntry const& e : set.voters)
      if (std::find(peers.begin(), peers.end(), e.address) == peers.end()) peers.push_back(e.address);
    std::size_t const members_before = set.before.size();
    std::size_t const needed = recovery_quorum_size(members_before, set.losses);
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
