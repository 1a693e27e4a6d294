// The coordinating side of the register, in the registry: each change is a
// prepare and an accept round with a majority of the voters, made from the
// newest value that the majority holds, so revisions are dense and ordered with
// no log and no leader. A reading is vouched for by a majority that holds the
// same ballot; otherwise a round writes back what it found.
#pragma once

#include "protocol/digest.hpp"
#include "protocol/messages.hpp"
#include "transport/surroundings.hpp"

#include <algorithm>

namespace banktide {

inline constexpr std::size_t remembered_requests = 128;

template <Surroundings W>
class RegisterClient {
 public:
  RegisterClient(W& w, std::vector<Address> voters) : w_(w), voters_(std::move(voters)), nonce_(w.chance()()) {}

  // `step` sees the newest value and changes it, or says why not (its mishap
  // is handed on untouched). A mishap of a round is `unknown` once any voter
  // may hold the new value.
  template <class F>
  Task<Result<Held>> change(Register const reg, std::string request, Instant const deadline, F step) {
    bool offered = false;
    std::string last = "no majority";
    for (std::uint64_t attempt = 0; w_.now() < deadline; ++attempt) {
      if (attempt > 0) co_await sleep_for(w_, std::chrono::milliseconds(2 + w_.chance()() % (20ull << std::min<std::uint64_t>(attempt, 4))));
      Ballot const ballot{++round_, nonce_};
      Prepare const first{reg, ballot};
      auto const prepared = co_await ask_all<Prepare>(w_, voters_, first, std::min(deadline, w_.now() + 600ms), [this](auto const& replies) { return count(replies, &PrepareReply::promised) >= majority(); });
      Ballot best;
      Held held;
      for (auto const& [i, r] : prepared) {
        if (!r || !r->voting) continue;
        round_ = std::max(round_, r->slot.promised.round);
        if (r->promised && r->slot.accepted > best) {
          best = r->slot.accepted;
          held = r->slot.held;
        }
      }
      if (count(prepared, &PrepareReply::promised) < majority()) {
        last = "prepare had no majority";
        continue;
      }
      bool const repeat = !request.empty() && std::any_of(held.requests.begin(), held.requests.end(), [&](auto const& p) { return p.first == request; });
      if (!repeat) {
        Result<Held> next = step(held);
        if (!next) {
          next.error().proof = offered ? Proof::unknown : Proof::not_run;
          co_return next;
        }
        held = std::move(*next);
        if (!request.empty()) {
          held.requests.emplace_back(request, held.revision);
          if (held.requests.size() > remembered_requests) held.requests.erase(held.requests.begin());
        }
      }
      offered = true;
      Accept const second{reg, ballot, held};
      auto const accepted = co_await ask_all<Accept>(w_, voters_, second, std::min(deadline, w_.now() + 600ms), [this](auto const& replies) { return count(replies, &AcceptReply::accepted) >= majority(); });
      for (auto const& [i, r] : accepted)
        if (r) round_ = std::max(round_, r->promised.round);
      if (count(accepted, &AcceptReply::accepted) >= majority()) co_return held;
      last = "accept had no majority";
    }
    co_return mishap("register", register_name(reg), last, offered ? Proof::unknown : Proof::not_run);
  }

  // The newest chosen value, vouched for by a majority as of this call.
  Task<Result<Held>> read(Register const reg, Held const known, Instant const deadline) {
    Peek const question{reg, known.revision};
    auto const replies = co_await ask_all<Peek>(w_, voters_, question, std::min(deadline, w_.now() + 600ms), [this](auto const& r) { return agreeing(r).second >= majority(); });
    auto const [at, n] = agreeing(replies);
    if (n >= majority()) {
      PeekReply const& r = *replies[at].second;
      co_return r.revision > known.revision ? r.held : known;
    }
    co_return co_await change(reg, "", deadline, [](Held const& h) -> Result<Held> { return h; });
  }

  std::size_t majority() const { return voters_.size() / 2 + 1; }

 private:
  template <class Replies, class Field>
  static std::size_t count(Replies const& replies, Field const field) {
    std::size_t n = 0;
    for (auto const& [i, r] : replies) n += r && r->voting && (*r).*field;
    return n;
  }

  template <class Replies>
  static std::pair<std::size_t, std::size_t> agreeing(Replies const& replies) {
    std::pair<std::size_t, std::size_t> best{0, 0};
    for (std::size_t i = 0; i < replies.size(); ++i) {
      if (!replies[i].second || !replies[i].second->voting) continue;
      std::size_t n = 0;
      for (auto const& [at, r] : replies) n += r && r->voting && r->accepted == replies[i].second->accepted;
      if (n > best.second) best = {i, n};
    }
    return best;
  }

  W& w_;
  std::vector<Address> const voters_;
  std::uint64_t const nonce_;
  std::uint64_t round_ = 0;
};

}  // namespace banktide
