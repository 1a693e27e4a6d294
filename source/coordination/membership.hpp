// A store's part in the set of voters: it founds the first set with the other
// seeds, asks to be added, joins again after it lost its disk, and drives changes
// of the set that others ask for or have left half done.
//
// A change from epoch e to e + 1:
//   1. Every voter that stays votes in e; a change before is complete then.
//   2. A round of the voters of e puts the new set into Register::voters. Once a
//      set of e + 1 is there it is only ever written again: the set is decided.
//   3. `Seal`: so many voters of e vote there no more that no quorum of e can
//      form, and that each value acknowledged in e is with one of them.
//   4. `Activate`: the voters of e + 1 take up the newest of what these hold, and
//      vote in e + 1. Clients count quorums of e + 1 only among such.
//   5. Each register is written once in e + 1, so that readings agree again.
// Each step may be repeated by anyone, at any time: two drivers do no harm, and
// who finds a change half done completes it. Ballots carry their epoch, so that
// what was left behind in e never wins over what was written in e + 1.
#pragma once

#include "coordination/acceptor.hpp"
#include "coordination/register_client.hpp"

#include <map>

namespace banktide {

/// What a store is told about the others.
struct MembershipSettings {
  std::vector<Address> seeds;
  bool initial_start = false;  // the seeds have empty disks and found the register
  std::uint32_t losses = 1;    // how many stores may lose their disks at once
  Duration remove_after = 20s;
};

template <Surroundings W, Disk D>
class Membership {
 public:
  Membership(W& w, Acceptor<W, D>& acceptor, MembershipSettings settings)
      : w_(w), acceptor_(acceptor), settings_(std::move(settings)), client_(w, StoreSeeds{settings_.seeds}) {
    if (acceptor_.phase() == Phase::voting) client_.follow(acceptor_.set());
  }

  void attach(Desk& desk) {
    desk.on<AddVoter>([this](AddVoter q) { return add(std::move(q)); });
    desk.on<RemoveVoter>([this](RemoveVoter q) { return remove(std::move(q)); });
  }

  /// Runs for as long as the process.
  Task<void> run() {
    for (std::uint64_t tick = 0;; ++tick) {
      bool const was = acceptor_.voting();
      if (!was)
        co_await step_towards_voting();
      else if (acceptor_.behind() || tick % ticks_per_look == 0)
        co_await look_at_others();
      else if (acceptor_.slot(Register::voters).held.revision > acceptor_.set().epoch)
        co_await complete_change();
      if (acceptor_.voting() && !was) {
        log_info("voting", {{"epoch", std::to_string(acceptor_.set().epoch)},
                            {"voters", std::to_string(acceptor_.set().voters.size())}});
      }
      Duration const jitter = std::chrono::milliseconds(w_.chance()() % 50);
      Duration const pause = acceptor_.voting() ? tick_interval : join_interval;
      co_await sleep_for(w_, pause + jitter);
    }
  }

 private:
  static constexpr Duration tick_interval = 500ms;
  static constexpr Duration join_interval = 100ms;
  static constexpr Duration ask_patience = 1s;
  static constexpr Duration change_patience = 3s;
  static constexpr std::uint64_t ticks_per_look = 8;
  static constexpr Duration look_interval = tick_interval * ticks_per_look;

  Task<void> step_towards_voting() {
    if (acceptor_.disk_name() == 0) {
      std::vector<Address> seeds = settings_.initial_start ? settings_.seeds : std::vector<Address>{};
      std::sort(seeds.begin(), seeds.end());
      bool const begun = co_await acceptor_.begin(first_set(seeds, settings_.losses));
      if (!begun) co_return;
    }
    bool const heard = co_await find_newest();
    if (!heard) {
      if (acceptor_.phase() != Phase::voting && !acceptor_.set().voters.empty()) co_await acceptor_.settle_once();
      co_return;
    }
    VoterSet const newest = client_.set();
    VoterEntry const* const mine = entry_of(newest, acceptor_.own());
    if (mine == nullptr) {
      co_await ask_to_be_added(newest);
    } else if (acceptor_.phase() == Phase::voting ||
               (mine->disk != 0 && mine->disk == acceptor_.disk_name() && newest.epoch > 0)) {
      co_await finish(newest);
    } else if (newest.epoch == 0 && acceptor_.set() == newest) {
      co_await acceptor_.settle_once();
    } else {
      co_await acceptor_.rejoin(newest);
    }
  }

  // Only a set that a voter tells counts; what this store's own disk says is of
  // no use while nobody votes.
  Task<bool> find_newest() {
    if (acceptor_.phase() == Phase::voting) client_.follow(acceptor_.set());
    if (!acceptor_.last_asker().empty()) client_.learn({acceptor_.last_asker()});
    co_return co_await client_.discover(w_.now() + ask_patience);
  }

  Task<void> ask_to_be_added(VoterSet const set) {
    if (acceptor_.phase() == Phase::voting) {
      // What this store holds may be needed until the set without it votes.
      std::vector<Address> const voters = addresses_of(set);
      std::size_t const active = co_await count_active(set, voters);
      if (active < quorum_of(set)) co_return;
      bool const empty = co_await acceptor_.start_afresh();
      if (!empty) co_return;
    }
    AddVoter question;
    question.entry = VoterEntry{acceptor_.own(), acceptor_.disk_name()};
    std::size_t const first = w_.chance()() % set.voters.size();
    for (std::size_t i = 0; i < set.voters.size(); ++i) {
      Address const peer = set.voters[(first + i) % set.voters.size()].address;
      Result<SetReply> const reply = co_await ask<AddVoter>(w_, peer, question, w_.now() + change_patience);
      if (!reply) continue;
      client_.follow(reply->set);
      if (reply->done) log_info("added", {{"epoch", std::to_string(reply->set.epoch)}, {"by", peer}});
      co_return;
    }
  }

  // ---- changes of the set

  Task<SetReply> add(AddVoter q) {
    SetReply reply;
    VoterSet const now = acceptor_.set();
    VoterEntry const* const known = entry_of(now, q.entry.address);
    if (acceptor_.voting() && known == nullptr) {
      VoterSet const next = set_with(now, q.entry);
      co_await change_set(now, next);
    }
    if (acceptor_.phase() == Phase::voting) reply.set = acceptor_.set();
    VoterEntry const* const entry = entry_of(reply.set, q.entry.address);
    reply.done = entry != nullptr && *entry == q.entry;
    co_return reply;
  }

  Task<SetReply> remove(RemoveVoter q) {
    SetReply reply;
    VoterSet const now = acceptor_.set();
    bool const possible = now.voters.size() > least_voters && q.address != acceptor_.own();
    if (acceptor_.voting() && possible && entry_of(now, q.address) != nullptr) {
      VoterSet const next = set_without(now, q.address);
      co_await change_set(now, next);
    }
    if (acceptor_.phase() == Phase::voting) reply.set = acceptor_.set();
    reply.done = !reply.set.voters.empty() && entry_of(reply.set, q.address) == nullptr;
    co_return reply;
  }

  Task<void> change_set(VoterSet const now, VoterSet const next) {
    if (changing_) co_return;
    changing_ = true;
    client_.follow(now);
    bool const ready = co_await all_active(now, next);
    if (ready) co_await decide(now, next);
    changing_ = false;
  }

  // A change waits until every voter that stays votes in the present set: those
  // of the set before may then be forgotten.
  Task<bool> all_active(VoterSet const now, VoterSet const next) {
    std::vector<Address> peers;
    for (VoterEntry const& e : now.voters)
      if (entry_of(next, e.address) != nullptr) peers.push_back(e.address);
    std::size_t const active = co_await count_active(now, peers);
    co_return active == peers.size();
  }

  Task<std::size_t> count_active(VoterSet const set, std::vector<Address> const peers) {
    VotersAsk const question{};
    auto const replies =
        co_await ask_all<VotersAsk>(w_, peers, question, w_.now() + ask_patience, [](auto const&) { return false; });
    std::size_t active = 0;
    for (auto const& [i, r] : replies) active += r && r->active && r->set == set;
    co_return active;
  }

  Task<void> decide(VoterSet const now, VoterSet const next) {
    Result<Held> const held =
        co_await client_.change(Register::voters, "", w_.now() + change_patience, [&](Held const& h) -> Result<Held> {
          if (client_.set().epoch != now.epoch) return mishap("change_set", "", "the set has changed meanwhile");
          bool const decided = h.revision > now.epoch;  // only ever written again
          if (decided || next == now) return h;
          Held changed;
          changed.revision = next.epoch;
          changed.bytes = pack(next);
          return changed;
        });
    if (!held || held->revision <= now.epoch) co_return;
    Result<VoterSet> const decided = unpack<VoterSet>(held->bytes);
    if (decided) co_await finish(*decided);
  }

  // The voter here holds a newer set that may or may not be decided.
  Task<void> complete_change() {
    VoterSet const now = acceptor_.set();
    if (changing_) co_return;
    changing_ = true;
    client_.follow(now);
    co_await decide(now, now);
    changing_ = false;
  }

  // Steps 3 to 5 for a set that is decided.
  Task<void> finish(VoterSet const set) {
    std::size_t const needed = recovery_quorum_of(set.before.size(), set.losses);
    Seal const question{set};
    auto const replies = co_await ask_all<Seal>(w_, set.before, question, w_.now() + ask_patience,
                                                [needed](auto const& r) { return sealed(r) >= needed; });
    for (auto const& [i, r] : replies)
      if (r && r->newer) client_.follow(*r->newer);
    if (sealed(replies) < needed) co_return;
    Activate next;
    next.set = set;
    for (auto const& [i, r] : replies) {
      if (!r || !r->sealed) continue;
      next.founding = r->founding;
      for (std::size_t k = 0; k < register_count; ++k) take_newest(next.slots[k], r->slots[k]);
    }
    std::vector<Address> const voters = addresses_of(set);
    auto const started =
        co_await ask_all<Activate>(w_, voters, next, w_.now() + ask_patience, [](auto const&) { return false; });
    std::size_t active = 0;
    for (auto const& [i, r] : started) active += r && r->active;
    if (active < quorum_of(set)) co_return;
    client_.follow(set);
    for (Register const reg : kept_registers) {
      Held const none{};
      co_await client_.read(reg, none, w_.now() + ask_patience);
    }
  }

  template <class Replies>
  static std::size_t sealed(Replies const& replies) {
    std::size_t n = 0;
    for (auto const& [i, r] : replies) n += r && r->sealed;
    return n;
  }
  static void take_newest(Slot& best, Slot const& told) {
    best.promised = std::max(best.promised, told.promised);
    if (told.accepted <= best.accepted) return;
    best.accepted = told.accepted;
    best.held = told.held;
  }

  // ---- what a voter sees of the others

  // A newer set is taken up; who has been silent too long while all the others
  // vote is removed (change_set checks that they do).
  Task<void> look_at_others() {
    VoterSet const now = acceptor_.set();
    std::vector<Address> peers = addresses_of(now);
    std::erase(peers, acceptor_.own());
    VotersAsk const question{acceptor_.own()};
    auto const replies =
        co_await ask_all<VotersAsk>(w_, peers, question, w_.now() + ask_patience, [](auto const&) { return false; });
    std::map<Address, std::uint64_t> silent;
    for (Address const& a : peers) silent[a] = silent_looks_[a] + 1;
    VoterSet newest = now;
    for (auto const& [i, r] : replies) {
      if (!r) continue;
      silent[peers[i]] = 0;
      if (r->member && r->set.epoch > newest.epoch) newest = r->set;
    }
    silent_looks_ = std::move(silent);
    if (newest.epoch > now.epoch) {
      client_.follow(newest);
      if (entry_of(newest, acceptor_.own()) != nullptr)
        co_await finish(newest);
      else
        co_await ask_to_be_added(newest);
      co_return;
    }
    std::uint64_t const most = static_cast<std::uint64_t>(settings_.remove_after / look_interval);
    for (auto const& [address, looks] : silent_looks_) {
      if (looks < most) continue;
      RemoveVoter gone;
      gone.address = address;
      SetReply const reply = co_await remove(gone);
      if (reply.done) log_info("removed", {{"voter", gone.address}, {"epoch", std::to_string(reply.set.epoch)}});
      break;
    }
  }

  W& w_;
  Acceptor<W, D>& acceptor_;
  MembershipSettings const settings_;
  RegisterClient<W> client_;
  bool changing_ = false;
  std::map<Address, std::uint64_t> silent_looks_;  // by voter: looks at it without an answer, in a row
};

}  // namespace banktide
