// The client side of the register, its proposer: each change is a prepare and an
// accept round with a majority of the voters, based on the newest value that the
// majority holds. Changes are thus ordered without a log or a leader; the caller
// sets their revisions. A read is confirmed by a majority that holds the same
// ballot; otherwise a round writes back the value it found. When a quorum doesn't
// agree, its highest revision is still an upper bound for every value chosen before
// the request: a caller that knows a chosen value of at least that revision is
// current without agreement, even while rounds are in progress. "Majority" means the
// quorum of coordination/voter_set.hpp in a voter set that is fixed or was reported
// by a voter; newer sets are adopted as they are reported.
#pragma once

#include "coordination/voter_set.hpp"
#include "protocol/digest.hpp"
#include "protocol/messages.hpp"
#include "transport/environment.hpp"

#include <algorithm>
#include <limits>

namespace banktide {

inline constexpr std::size_t max_remembered_requests = 128;

/// Stores from which the voter set is discovered.
struct StoreSeeds {
  std::vector<Address> addresses;
};

/// The stores on the same hosts as these registries; all of them listen on `port`.
inline std::vector<Address> colocated_stores(std::vector<Address> const& registries, std::uint16_t const port) {
  std::vector<Address> stores;
  for (Address const& a : registries) stores.push_back(a.substr(0, a.rfind(':') + 1) + std::to_string(port));
  return stores;
}

/// A confirmed value and the time at which it was requested. It includes every
/// change that was completed before that time.
struct ConfirmedValue {
  RegisterValue held;
  Instant as_of{};
};

/// A confirmed revision without the value: no greater revision was chosen before
/// `as_of`. The revision itself may belong to a round that is still in progress.
struct ConfirmedRevision {
  Revision revision = 0;
  Instant as_of{};
};

template <Environment Env>
class RegisterClient {
 public:
  /// Uses a fixed list of voters, which stays the set of epoch 0.
  RegisterClient(Env& env, std::vector<Address> voters)
      : env_(env), set_(initial_set(voters, 0)), set_known_(true), nonce_(env.chance()()) {}
  /// Discovers the voters from the stores given here and to `add_contacts`.
  RegisterClient(Env& env, StoreSeeds seeds) : env_(env), nonce_(env.chance()()) {
    add_contacts(std::move(seeds.addresses));
  }

  /// Adds stores from which the voter set may be discovered.
  void add_contacts(std::vector<Address> const& stores) {
    for (Address const& a : stores)
      if (contacts_.size() < max_contacts && std::find(contacts_.begin(), contacts_.end(), a) == contacts_.end())
        contacts_.push_back(a);
  }

  /// Adopts a set reported by a voter if it is newer.
  void adopt_if_newer(VoterSet const& reported) {
    if (reported.voters.empty() || (set_known_ && reported.epoch <= set_.epoch)) return;
    set_ = reported;
    set_known_ = true;
  }
  VoterSet const& set() const { return set_; }
  bool knows_voters() const { return set_known_; }

  /// Requests the voter set from the contacts and the known voters and adopts the
  /// newest. Returns whether a set is known.
  /// With `stop_at_first_voter` it returns at the first voter's answer. That is enough,
  /// as later requests in an outdated epoch are answered with the newer set.
  Task<bool> discover(Instant const deadline, bool const stop_at_first_voter = false) {
    std::vector<Address> peers = contacts_;
    for (VoterEntry const& e : set_.voters)
      if (std::find(peers.begin(), peers.end(), e.address) == peers.end()) peers.push_back(e.address);
    VotersRequest const query{};
    auto const replies =
        co_await ask_all<VotersRequest>(env_, peers, query, std::min(deadline, env_.now() + round_timeout),
                                        [stop_at_first_voter](auto const& answered) {
                                          bool reported = false;
                                          for (auto const& [at, r] : answered) reported = reported || (r && r->member);
                                          return stop_at_first_voter && reported;
                                        });
    for (auto const& [i, r] : replies)
      if (r && r->member) adopt_if_newer(r->set);
    co_return set_known_;
  }

  // Runs rounds until `edit`'s change of the newest value is accepted by a majority.
  // An error of `edit` is returned with its text unchanged. Errors have the proof
  // `unknown` once any voter may hold the new value. `round` receives the ballot's round.
  template <class F>
  Task<Result<RegisterValue>> change(Register const reg, std::string request, Instant const deadline, F edit,
                                     std::uint64_t* const round = nullptr) {
    bool proposed = false;
    std::string last_failure = "no majority";
    for (std::uint64_t attempt = 0; env_.now() < deadline; ++attempt) {
      if (attempt > 0) co_await sleep_for(env_, backoff_before(attempt));
      bool const known = co_await find_voters(attempt, deadline);
      if (!known) {
        last_failure = "no voter has reported the voter set";
        continue;
      }
      std::vector<Address> const voters = addresses_of(set_);
      std::size_t const needed = quorum_size(set_);
      Ballot const ballot{set_.epoch, ++round_, nonce_};
      Prepare const prepare_request{reg, ballot};
      auto const prepared = co_await ask_all<Prepare>(
          env_, voters, prepare_request, std::min(deadline, env_.now() + round_timeout), [needed](auto const& replies) {
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
        last_failure = "no majority promised the ballot";
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
      Accept const accept_request{reg, ballot, held};
      auto const accepted = co_await ask_all<Accept>(
          env_, voters, accept_request, std::min(deadline, env_.now() + round_timeout), [needed](auto const& replies) {
            return count(replies, &AcceptReply::accepted) >= needed || newer_set_reported(replies);
          });
      adopt_newer_sets(accepted);
      for (auto const& [i, r] : accepted)
        if (r) round_ = std::max(round_, r->promised.round);
      if (count(accepted, &AcceptReply::accepted) >= needed) {
        if (round != nullptr) *round = ballot.round;
        co_return held;
      }
      last_failure = "no majority accepted the value";
    }
    co_return make_error("register", register_name(reg), last_failure, proposed ? Proof::unknown : Proof::not_run);
  }

  // Returns the newest chosen value, confirmed by a majority after the start of this call.
  Task<Result<RegisterValue>> read(Register const reg, RegisterValue const known, Instant const deadline) {
    bool const ready = co_await find_voters(0, deadline);
    if (ready) {
      std::optional<RegisterValue> const agreed = co_await read_agreed_value(reg, known, deadline);
      if (agreed) co_return *agreed;
    }
    co_return co_await change(reg, "", deadline, [](RegisterValue const& h) -> Result<RegisterValue> { return h; });
  }

  /// For each register, a quorum's upper bound of the revisions chosen before this call. A caller that has a
  /// register's value of that revision needn't read it. Returns nullopt without a quorum.
  Task<std::optional<std::array<Revision, register_count>>> newest_revisions(Instant const deadline) {
    bool const ready = co_await find_voters(0, deadline);
    if (!ready) co_return std::nullopt;
    std::size_t const needed = quorum_size(set_);
    ReadRevisions const query{set_.epoch};
    auto const replies = co_await ask_all<ReadRevisions>(
        env_, addresses_of(set_), query, std::min(deadline, env_.now() + round_timeout),
        [needed](auto const& answered) { return voting(answered) >= needed || newer_set_reported(answered); });
    adopt_newer_sets(replies);
    if (voting(replies) < needed) co_return std::nullopt;
    std::array<Revision, register_count> newest{};
    for (auto const& [i, r] : replies) {
      if (!r || !r->voting) continue;
      for (std::size_t reg = 0; reg < register_count; ++reg) newest[reg] = std::max(newest[reg], r->revisions[reg]);
    }
    co_return newest;
  }

  /// Reads a value on which a majority agrees, without writing back, and retries
  /// until the deadline. Each change must have a greater revision than the one
  /// before, as `known` is considered current if its revision is the same.
  Task<Result<ConfirmedValue>> confirm(Register const reg, RegisterValue const known, Instant const deadline) {
    for (std::uint64_t attempt = 0; env_.now() < deadline; ++attempt) {
      bool const ready = co_await begin_attempt(attempt, deadline);
      if (!ready) continue;
      Instant const as_of = env_.now();
      std::optional<RegisterValue> agreed = co_await read_agreed_value(reg, known, deadline);
      if (!agreed) continue;
      ConfirmedValue out;
      out.held = std::move(*agreed);
      out.as_of = as_of;
      co_return out;
    }
    co_return not_confirmed(reg);
  }

  /// Like `confirm` for callers that receive the value by another path: the value isn't
  /// transferred. `have` is the revision of the chosen value that the caller knows.
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

  // Returns a number greater than every number that any client has received from this register.
  Task<Result<std::uint64_t>> next_number(Register const reg, Instant const deadline) {
    bool const ready = co_await find_voters(0, deadline);
    std::size_t answered = 0;
    if (ready) {
      ReadRegister const query{reg, std::numeric_limits<Revision>::max(), set_.epoch};
      auto const replies = co_await ask_all<ReadRegister>(env_, addresses_of(set_), query,
                                                          std::min(deadline, env_.now() + round_timeout),
                                                          [](auto const&) { return false; });
      adopt_newer_sets(replies);
      for (auto const& [i, r] : replies) {
        if (!r || !r->voting) continue;
        ++answered;
        round_ = std::max(round_, r->accepted.round);
      }
    }
    if (!ready || answered < majority())
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

  // Once a newer set is reported, waiting for more answers is useless: a removed voter
  // of the older set may never answer.
  template <class Replies>
  static bool newer_set_reported(Replies const& replies) {
    return std::any_of(replies.begin(), replies.end(), [](auto const& r) { return r.second && r.second->newer; });
  }
  template <class Replies>
  void adopt_newer_sets(Replies const& replies) {
    for (auto const& [i, r] : replies)
      if (r && r->newer) adopt_if_newer(*r->newer);
  }

  // Discovers the voters if no set is known, and again if rounds keep failing.
  Task<bool> find_voters(std::uint64_t const attempt, Instant const deadline) {
    bool const again = attempt > 0 && attempt % attempts_before_rediscovery == 0 && !contacts_.empty();
    if (set_known_ && !again) co_return true;
    co_return co_await discover(deadline, true);
  }

  Task<bool> begin_attempt(std::uint64_t const attempt, Instant const deadline) {
    if (attempt > 0) co_await sleep_for(env_, backoff_before(attempt));
    co_return co_await find_voters(attempt, deadline);
  }
  // Exponential backoff with jitter: many clients that retry at once would keep the
  // voters too busy to complete the round that the clients wait for.
  Duration backoff_before(std::uint64_t const attempt) {
    std::uint64_t const longest_ms = initial_backoff_ms << std::min(attempt, max_backoff_doublings);
    return std::chrono::milliseconds(2 + env_.chance()() % longest_ms);
  }
  tl::unexpected<Error> not_confirmed(Register const reg) const {
    return make_error("confirm", register_name(reg), set_known_ ? "no majority agrees" : "no voters known",
                      Proof::not_run);
  }

  // A ballot that a majority has accepted, and the voters that reported it, in order of their answers.
  struct Agreement {
    Ballot accepted;
    Revision revision = 0;
    std::vector<Address> voters;
  };

  // What a quorum reports about a register's revisions.
  struct QuorumReading {
    // No greater revision was chosen before the request: each chosen value is held by a
    // member of every quorum, or was adopted by every voter when it was activated in this epoch.
    Revision bound = 0;
    std::optional<Agreement> agreed;
  };

  // The value on which a majority agrees, or `known` if nothing newer can have been
  // chosen. A ballot of an older epoch doesn't count as agreement: the voters may have
  // copied it from fewer than a majority.
  Task<std::optional<RegisterValue>> read_agreed_value(Register const reg, RegisterValue const known,
                                                       Instant const deadline) {
    if (value_is_large(reg)) co_return co_await read_and_fetch(reg, known, deadline);
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

  // A large value is fetched from one voter only, not sent by every voter.
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

  // A voter that has accepted another ballot meanwhile may hold a value that is never
  // chosen, so only a value with the agreed ballot counts.
  Task<std::optional<RegisterValue>> read_and_fetch(Register const reg, RegisterValue const known,
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
