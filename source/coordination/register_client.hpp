// The coordinating side of the register, in the registry: each change is a
// prepare and an accept round with a majority of the voters, made from the
// newest value that the majority holds, so changes are ordered with no log and
// no leader; their numbers are what the caller sets. A reading is vouched for by
// a majority that holds the same ballot; otherwise a round writes back what it
// found. Of a quorum that doesn't agree, the highest revision still bounds every
// value chosen before the question: who knows a chosen value of at least that
// revision has a current reading without any agreement, also while rounds are
// under way. "Majority" is the quorum of coordination/voter_set.hpp, in a set of
// voters that a voter has told, or that is fixed; newer sets are followed.
#pragma once

#include "coordination/voter_set.hpp"
#include "protocol/digest.hpp"
#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <algorithm>
#include <limits>

namespace banktide {

inline constexpr std::size_t max_remembered_requests = 128;

/// Stores to ask for the set of voters.
struct StoreSeeds {
  std::vector<Address> addresses;
};

/// The stores on the machines of these registries, all of which listen at one port.
inline std::vector<Address> colocated_stores(std::vector<Address> const& registries, std::uint16_t const port) {
  std::vector<Address> stores;
  for (Address const& a : registries) stores.push_back(a.substr(0, a.rfind(':') + 1) + std::to_string(port));
  return stores;
}

/// A reading, and when its question was sent: it holds every change that was
/// completed before that.
struct ConfirmedValue {
  RegisterValue held;
  Instant as_of{};
};

/// The same without the value: no greater revision was chosen before `asked`.
/// It may itself belong to a round that is still under way.
struct ConfirmedRevision {
  Revision revision = 0;
  Instant as_of{};
};

template <Environment Env>
class RegisterClient {
 public:
  /// Of a fixed list of voters: epoch 0, for good.
  RegisterClient(Env& env, std::vector<Address> voters)
      : env_(env), set_(initial_set(voters, 0)), set_known_(true), nonce_(env.chance()()) {}
  /// Learns the voters from the stores named here and by `learn`.
  RegisterClient(Env& env, StoreSeeds seeds) : env_(env), nonce_(env.chance()()) {
    add_contacts(std::move(seeds.addresses));
  }

  /// Further stores to ask for the set of voters.
  void add_contacts(std::vector<Address> const& stores) {
    for (Address const& a : stores)
      if (contacts_.size() < max_contacts && std::find(contacts_.begin(), contacts_.end(), a) == contacts_.end())
        contacts_.push_back(a);
  }

  /// Takes up a set that a voter has told, if it is newer.
  void adopt_if_newer(VoterSet const& reported) {
    if (reported.voters.empty() || (set_known_ && reported.epoch <= set_.epoch)) return;
    set_ = reported;
    set_known_ = true;
  }
  VoterSet const& set() const { return set_; }
  bool knows_voters() const { return set_known_; }

  /// Asks the contacts and the voters known which set is the newest. True if one
  /// is known then.
  /// With `first_will_do` it returns at the first voter's answer: a newer set is
  /// told by whoever is asked next in an older one.
  Task<bool> discover(Instant const deadline, bool const stop_at_first_voter = false) {
    std::vector<Address> peers = contacts_;
    for (VoterEntry const& e : set_.voters)
      if (std::find(peers.begin(), peers.end(), e.address) == peers.end()) peers.push_back(e.address);
    VotersRequest const query{};
    auto const replies = co_await ask_all<VotersRequest>(
        env_, peers, query, std::min(deadline, env_.now() + round_timeout), [stop_at_first_voter](auto const& heard) {
          bool reported = false;
          for (auto const& [at, r] : heard) reported = reported || (r && r->member);
          return stop_at_first_voter && reported;
        });
    for (auto const& [i, r] : replies)
      if (r && r->member) adopt_if_newer(r->set);
    co_return set_known_;
  }

  // `step` sees the newest value and changes it, or says why not (its mishap
  // is handed on untouched). A mishap of a round is `unknown` once any voter
  // may hold the new value.
  template <class F>
  Task<Result<RegisterValue>> change(Register const reg, std::string request, Instant const deadline, F edit,
                                     std::uint64_t* const round = nullptr) {
    bool proposed = false;
    std::string last_failure = "no majority";
    for (std::uint64_t attempt = 0; env_.now() < deadline; ++attempt) {
      if (attempt > 0) co_await sleep_for(env_, backoff_before(attempt));
      bool const known = co_await find_voters(attempt, deadline);
      if (!known) {
        last_failure = "no voter has told the set of voters";
        continue;
      }
      std::vector<Address> const voters = addresses_of(set_);
      std::size_t const needed = quorum_size(set_);
      Ballot const ballot{set_.epoch, ++round_, nonce_};
      Prepare const first{reg, ballot};
      auto const prepared = co_await ask_all<Prepare>(
          env_, voters, first, std::min(deadline, env_.now() + round_timeout), [needed](auto const& replies) {
            return count(replies, &PrepareReply::promised) >= needed || newer_set_reported(replies);
          });
      adopt_newer_sets(prepared);
      Ballot best;
      RegisterValue held;
      for (auto const& [i, r] : prepared) {
        if (!r || !r->voting) continue;
        round_ = std::max(round_, r->slot.promised.round);
        if (r->promised && r->slot.accepted > best) {
          best = r->slot.accepted;
          held = r->slot.held;
        }
      }
      if (count(prepared, &PrepareReply::promised) < needed) {
        last_failure = "prepare had no majority";
        continue;
      }
      bool const repeat = !request.empty() && std::any_of(held.requests.begin(), held.requests.end(),
                                                          [&](auto const& p) { return p.first == request; });
      if (!repeat) {
        Result<RegisterValue> next = edit(held);
        if (!next) {
          next.error().proof = proposed ? Proof::unknown : Proof::not_run;
          co_return next;
        }
        held = std::move(*next);
        if (!request.empty()) {
          held.requests.emplace_back(request, held.revision);
          if (held.requests.size() > max_remembered_requests) held.requests.erase(held.requests.begin());
        }
      }
      proposed = true;
      Accept const second{reg, ballot, held};
      auto const accepted = co_await ask_all<Accept>(
          env_, voters, second, std::min(deadline, env_.now() + round_timeout), [needed](auto const& replies) {
            return count(replies, &AcceptReply::accepted) >= needed || newer_set_reported(replies);
          });
      adopt_newer_sets(accepted);
      for (auto const& [i, r] : accepted)
        if (r) round_ = std::max(round_, r->promised.round);
      if (count(accepted, &AcceptReply::accepted) >= needed) {
        if (round != nullptr) *round = ballot.round;
        co_return held;
      }
      last_failure = "accept had no majority";
    }
    co_return make_error("register", register_name(reg), last_failure, proposed ? Proof::unknown : Proof::not_run);
  }

  // The newest chosen value, vouched for by a majority as of this call.
  Task<Result<RegisterValue>> read(Register const reg, RegisterValue const known, Instant const deadline) {
    bool const ready = co_await find_voters(0, deadline);
    if (ready) {
      std::optional<RegisterValue> const agreed = co_await peek(reg, known, deadline);
      if (agreed) co_return *agreed;
    }
    co_return co_await change(reg, "", deadline, [](RegisterValue const& h) -> Result<RegisterValue> { return h; });
  }

  /// Of each register a revision above which nothing was chosen before this call, as a quorum says: who has that
  /// value of a register needn't read it. Nothing if there is no quorum.
  Task<std::optional<std::array<Revision, register_count>>> newest_revisions(Instant const deadline) {
    bool const ready = co_await find_voters(0, deadline);
    if (!ready) co_return std::nullopt;
    std::size_t const needed = quorum_size(set_);
    ReadRevisions const query{set_.epoch};
    auto const replies = co_await ask_all<ReadRevisions>(
        env_, addresses_of(set_), query, std::min(deadline, env_.now() + round_timeout),
        [needed](auto const& heard) { return voting(heard) >= needed || newer_set_reported(heard); });
    adopt_newer_sets(replies);
    if (voting(replies) < needed) co_return std::nullopt;
    std::array<Revision, register_count> newest{};
    for (auto const& [i, r] : replies) {
      if (!r || !r->voting) continue;
      for (std::size_t reg = 0; reg < register_count; ++reg) newest[reg] = std::max(newest[reg], r->revisions[reg]);
    }
    co_return newest;
  }

  /// A reading that a majority agrees on, with nothing written back: asked again
  /// until the deadline. Each change must have a greater revision than the one
  /// before, as `known` is taken to be current if the revision is the same.
  Task<Result<ConfirmedValue>> confirm(Register const reg, RegisterValue const known, Instant const deadline) {
    for (std::uint64_t attempt = 0; env_.now() < deadline; ++attempt) {
      bool const ready = co_await begin_attempt(attempt, deadline);
      if (!ready) continue;
      Instant const as_of = env_.now();
      std::optional<RegisterValue> agreed = co_await peek(reg, known, deadline);
      if (!agreed) continue;
      ConfirmedValue out;
      out.held = std::move(*agreed);
      out.as_of = as_of;
      co_return out;
    }
    co_return not_confirmed(reg);
  }

  /// The same for those who get the value by other ways: it doesn't travel. `have`
  /// is the revision of the chosen value that the caller knows.
  Task<Result<ConfirmedRevision>> confirm_revision(Register const reg, Revision const have, Instant const deadline) {
    for (std::uint64_t attempt = 0; env_.now() < deadline; ++attempt) {
      bool const ready = co_await begin_attempt(attempt, deadline);
      if (!ready) continue;
      Instant const as_of = env_.now();
      std::optional<QuorumReading> const reading = co_await read_revision(reg, have, deadline);
      if (reading) co_return ConfirmedRevision{reading->agreed ? reading->agreed->revision : reading->bound, as_of};
    }
    co_return not_confirmed(reg);
  }

  // A number greater than every one that this has given before, to anyone.
  Task<Result<std::uint64_t>> next_number(Register const reg, Instant const deadline) {
    bool const ready = co_await find_voters(0, deadline);
    std::size_t heard = 0;
    if (ready) {
      ReadRegister const query{reg, std::numeric_limits<Revision>::max(), set_.epoch};
      auto const replies = co_await ask_all<ReadRegister>(env_, addresses_of(set_), query,
                                                          std::min(deadline, env_.now() + round_timeout),
                                                          [](auto const&) { return false; });
      adopt_newer_sets(replies);
      for (auto const& [i, r] : replies) {
        if (!r || !r->voting) continue;
        ++heard;
        round_ = std::max(round_, r->accepted.round);
      }
    }
    if (!ready || heard < majority())
      co_return make_error("register", register_name(reg), "no majority", Proof::not_run);
    std::uint64_t round = 0;
    Result<RegisterValue> const done = co_await change(
        reg, "", deadline, [](RegisterValue const& h) -> Result<RegisterValue> { return h; }, &round);
    if (!done) co_return tl::unexpected<Error>(done.error());
    co_return round;
  }

  std::size_t majority() const { return quorum_size(set_); }

 private:
  static constexpr Duration round_timeout = 600ms;
  static constexpr Duration fetch_timeout = 300ms;
  static constexpr std::size_t max_contacts = 16;
  static constexpr std::uint64_t attempts_before_rediscovery = 3;
  static constexpr std::uint64_t initial_backoff_ms = 20;
  static constexpr std::uint64_t max_backoff_doublings = 4;

  template <class Replies, class Field>
  static std::size_t count(Replies const& replies, Field const field) {
    std::size_t n = 0;
    for (auto const& [i, r] : replies) n += r && r->voting && (*r).*field;
    return n;
  }

  // A newer set makes it useless to wait for more answers: a voter of the older one
  // that is gone never gives any.
  template <class Replies>
  static bool newer_set_reported(Replies const& replies) {
    return std::any_of(replies.begin(), replies.end(), [](auto const& r) { return r.second && r.second->newer; });
  }
  template <class Replies>
  void adopt_newer_sets(Replies const& replies) {
    for (auto const& [i, r] : replies)
      if (r && r->newer) adopt_if_newer(*r->newer);
  }

  // Asks when no set is known, and again when rounds keep failing.
  Task<bool> find_voters(std::uint64_t const attempt, Instant const deadline) {
    bool const again = attempt > 0 && attempt % attempts_before_rediscovery == 0 && !contacts_.empty();
    if (set_known_ && !again) co_return true;
    co_return co_await discover(deadline, true);
  }

  Task<bool> begin_attempt(std::uint64_t const attempt, Instant const deadline) {
    if (attempt > 0) co_await sleep_for(env_, backoff_before(attempt));
    co_return co_await find_voters(attempt, deadline);
  }
  // Pauses double: many clients that ask again at once would keep the voters too busy
  // to complete the very round that they wait for.
  Duration backoff_before(std::uint64_t const attempt) {
    std::uint64_t const longest_ms = initial_backoff_ms << std::min(attempt, max_backoff_doublings);
    return std::chrono::milliseconds(2 + env_.chance()() % longest_ms);
  }
  tl::unexpected<Error> not_confirmed(Register const reg) const {
    return make_error("confirm", register_name(reg), set_known_ ? "no majority agrees" : "no voters known",
                      Proof::not_run);
  }

  // A ballot that a majority has accepted, and who said so, the first to answer first.
  struct Agreement {
    Ballot accepted;
    Revision revision = 0;
    std::vector<Address> voters;
  };

  // What a quorum says of a register's revisions.
  struct QuorumReading {
    // No greater revision was chosen before the question: each chosen value is held by
    // one of any quorum, or was taken up by every voter as it became active in this epoch.
    Revision bound = 0;
    std::optional<Agreement> agreed;
  };

  // What a majority agrees on, or `known` if nothing newer can have been chosen. A
  // ballot of an older epoch is no agreement: it may have been copied here from less
  // than a majority.
  Task<std::optional<RegisterValue>> peek(Register const reg, RegisterValue const known, Instant const deadline) {
    if (value_is_large(reg)) co_return co_await peek_and_fetch(reg, known, deadline);
    std::uint64_t const epoch = set_.epoch;
    std::size_t const needed = quorum_size(set_);
    ReadRegister const query{reg, known.revision, epoch};
    auto const replies = co_await ask_all<ReadRegister>(
        env_, addresses_of(set_), query, std::min(deadline, env_.now() + round_timeout),
        [epoch, needed, &known](auto const& r) {
          return agreeing(r, epoch).second >= needed || none_newer(r, needed, known.revision) || newer_set_reported(r);
        });
    adopt_newer_sets(replies);
    if (none_newer(replies, needed, known.revision)) co_return known;
    auto const [at, n] = agreeing(replies, epoch);
    if (n < needed) co_return std::nullopt;
    ReadRegisterReply const& r = *replies[at].second;
    co_return r.revision > known.revision ? r.held : known;
  }

  // Only one voter's answer is to carry such a value.
  static bool value_is_large(Register const reg) { return reg == Register::keys; }

  Task<std::optional<QuorumReading>> read_revision(Register const reg, Revision const have, Instant const deadline) {
    std::uint64_t const epoch = set_.epoch;
    std::size_t const needed = quorum_size(set_);
    std::vector<Address> const voters = addresses_of(set_);
    ReadRegister const query{reg, 0, epoch, false};
    auto const replies = co_await ask_all<ReadRegister>(
        env_, voters, query, std::min(deadline, env_.now() + round_timeout), [epoch, needed, have](auto const& r) {
          return agreeing(r, epoch).second >= needed || none_newer(r, needed, have) || newer_set_reported(r);
        });
    adopt_newer_sets(replies);
    if (voting(replies) < needed) co_return std::nullopt;
    QuorumReading reading;
    reading.bound = newest_revision(replies);
    auto const [at, n] = agreeing(replies, epoch);
    if (n < needed) co_return reading;
    Agreement agreed;
    agreed.accepted = replies[at].second->accepted;
    agreed.revision = replies[at].second->revision;
    for (auto const& [i, r] : replies)
      if (r && r->voting && r->accepted == agreed.accepted) agreed.voters.push_back(voters[i]);
    reading.agreed = std::move(agreed);
    co_return reading;
  }

  // A voter that has accepted another ballot meanwhile may hold what is never
  // chosen, so only a value under the ballot of the agreement counts.
  Task<std::optional<RegisterValue>> peek_and_fetch(Register const reg, RegisterValue const known,
                                                    Instant const deadline) {
    std::uint64_t const epoch = set_.epoch;
    std::optional<QuorumReading> const reading = co_await read_revision(reg, known.revision, deadline);
    if (!reading) co_return std::nullopt;
    if (reading->bound <= known.revision) co_return known;
    std::optional<Agreement> const& agreed = reading->agreed;
    if (!agreed) co_return std::nullopt;
    if (agreed->revision <= known.revision) co_return known;
    for (Address const& voter : agreed->voters) {
      ReadRegister const query{reg, known.revision, epoch};
      Result<ReadRegisterReply> const r =
          co_await ask(env_, voter, query, std::min(deadline, env_.now() + fetch_timeout));
      if (r && r->voting && r->accepted == agreed->accepted) co_return r->held;
    }
    co_return std::nullopt;
  }

  template <class Replies>
  static std::size_t voting(Replies const& replies) {
    std::size_t n = 0;
    for (auto const& [i, r] : replies) n += r && r->voting;
    return n;
  }
  template <class Replies>
  static Revision newest_revision(Replies const& replies) {
    Revision newest = 0;
    for (auto const& [i, r] : replies)
      if (r && r->voting) newest = std::max(newest, r->revision);
    return newest;
  }
  template <class Replies>
  static bool none_newer(Replies const& replies, std::size_t const needed, Revision const have) {
    return voting(replies) >= needed && newest_revision(replies) <= have;
  }

  template <class Replies>
  static std::pair<std::size_t, std::size_t> agreeing(Replies const& replies, std::uint64_t const epoch) {
    std::pair<std::size_t, std::size_t> best{0, 0};
    for (std::size_t i = 0; i < replies.size(); ++i) {
      if (!replies[i].second || !replies[i].second->voting || replies[i].second->accepted.epoch != epoch) continue;
      std::size_t n = 0;
      for (auto const& [at, r] : replies) n += r && r->voting && r->accepted == replies[i].second->accepted;
      if (n > best.second) best = {i, n};
    }
    return best;
  }

  Env& env_;
  VoterSet set_;
  bool set_known_ = false;
  std::vector<Address> contacts_;
  std::uint64_t const nonce_;
  std::uint64_t round_ = 0;
};

}  // namespace banktide
