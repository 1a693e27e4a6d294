// One voter of the register. It answers only from what its disk has kept: a
// promise or an acceptance is synced before it is said. A blank disk never
// votes: a founding needs every configured voter blank, and a voter that lost
// its disk later votes again only after enough of the others have completed a
// round at a new ballot, which it then holds.
#pragma once

#include "protocol/messages.hpp"
#include "transport/surroundings.hpp"

#include <map>

namespace banktide {

struct VoterRecord {
  Phase phase = Phase::blank;
  std::uint64_t founding = 0;
  std::array<Slot, 2> slots;
  BANKTIDE_FIELDS(phase, founding, slots)
};

template <class D>
concept Disk = requires(D& d, VoterRecord const& r) {
  { d.load() } -> std::same_as<Result<VoterRecord>>;
  { d.keep(r) } -> std::same_as<Task<Result<bool>>>;
};

template <Surroundings W, Disk D>
class Acceptor {
 public:
  Acceptor(W& w, D& d, std::vector<Address> voters, std::size_t const own)
      : w_(w), disk_(d), voters_(std::move(voters)), own_(own), turn_(w) {}

  Result<bool> load() {
    Result<VoterRecord> r = disk_.load();
    if (!r) return tl::unexpected<Mishap>(r.error());
    record_ = std::move(*r);
    return true;
  }

  void attach(Desk& desk) {
    desk.on<Prepare>([this](Prepare q) { return prepare(std::move(q)); });
    desk.on<Accept>([this](Accept q) { return accept(std::move(q)); });
    desk.on<Peek>([this](Peek q) { return peek(std::move(q)); });
    desk.on<Found>([this](Found q) { return found(q); });
  }

  Phase phase() const { return record_.phase; }
  Slot const& slot(Register const r) const { return record_.slots[static_cast<std::size_t>(r)]; }

  // Runs until this voter votes.
  Task<void> settle() {
    while (record_.phase != Phase::voting) {
      std::vector<Address> const others = other_voters();
      Found question{Phase::blank, record_.founding};
      auto const replies =
          co_await ask_all<Found>(w_, others, question, w_.now() + 1s, [](auto const&) { return false; });
      std::size_t heard = 0, voting = 0, same = 0;
      for (auto const& [i, r] : replies) {
        if (!r) continue;
        ++heard;
        if (r->phase == Phase::voting) {
          ++voting;
          same += record_.phase == Phase::prepared && r->founding == record_.founding;
        }
      }
      if (same > 0) {
        co_await change([](VoterRecord& r) {
          r.phase = Phase::voting;
          return true;
        });
      } else if (voting > 0 && broken_on_purpose("votes_blank")) {
        record_.phase = Phase::voting;
      } else if (voting > 0) {
        co_await rejoin(others);
      } else if (own_ == 0 && heard == others.size()) {
        co_await found_all(others);
      }
      if (record_.phase != Phase::voting)
        co_await sleep_for(w_, 200ms + std::chrono::milliseconds(w_.chance()() % 100));
    }
    log_info("voting", {{"founding", std::to_string(record_.founding)},
                        {"routing", std::to_string(slot(Register::routing).held.revision)},
                        {"catalogue", std::to_string(slot(Register::catalogue).held.revision)}});
  }

 private:
  // One change at a time: the disk's sync may take long, and what is said must
  // be what was kept. `f` says whether it changed anything.
  template <class F>
  Task<bool> change(F f) {
    if (turn_.waiting() >= 64) co_return false;
    co_await turn_.enter();
    VoterRecord next = record_;
    bool good = true;
    if (f(next)) {
      Result<bool> kept = co_await disk_.keep(next);
      good = kept.has_value();
      if (good)
        record_ = std::move(next);
      else
        log_warn("disk_mishap", {{"step", kept.error().step}, {"reason", kept.error().reason}});
    }
    turn_.leave();
    co_return good;
  }

  std::vector<Address> other_voters() const {
    std::vector<Address> out;
    for (std::size_t i = 0; i < voters_.size(); ++i)
      if (i != own_) out.push_back(voters_[i]);
    return out;
  }

  static Slot& slot_of(VoterRecord& r, Register const reg) { return r.slots[static_cast<std::size_t>(reg) & 1]; }

  Task<PrepareReply> prepare(Prepare q) {
    PrepareReply reply;
    if (record_.phase != Phase::voting) co_return reply;
    bool ok = false;
    Slot seen;
    bool const kept = co_await change([&](VoterRecord& r) {
      Slot& s = slot_of(r, q.reg);
      ok = q.ballot > s.promised;
      if (ok) s.promised = q.ballot;
      seen = s;
      return ok;
    });
    if (!kept) co_return reply;
    reply.voting = true;
    reply.promised = ok;
    reply.slot = std::move(seen);
    co_return reply;
  }

  Task<AcceptReply> accept(Accept q) {
    AcceptReply reply;
    if (record_.phase != Phase::voting) co_return reply;
    bool ok = false;
    bool const kept = co_await change([&](VoterRecord& r) {
      Slot& s = slot_of(r, q.reg);
      ok = q.ballot >= s.promised;
      if (ok) {
        s.promised = q.ballot;
        s.accepted = q.ballot;
        s.held = q.held;
      }
      reply.promised = s.promised;
      return ok;
    });
    if (!kept) co_return AcceptReply{};
    reply.voting = true;
    reply.accepted = ok;
    co_return reply;
  }

  Task<PeekReply> peek(Peek q) {
    PeekReply reply;
    if (record_.phase != Phase::voting) co_return reply;
    Slot const& s = slot(static_cast<Register>(static_cast<std::uint8_t>(q.reg) & 1));
    reply.voting = true;
    reply.accepted = s.accepted;
    reply.revision = s.held.revision;
    if (s.held.revision > q.have) reply.held = s.held;
    co_return reply;
  }

  Task<FoundReply> found(Found q) {
    if (q.want == Phase::prepared && record_.phase != Phase::voting && own_ != 0)
      co_await change([&](VoterRecord& r) {
        if (r.phase == Phase::voting) return false;
        r.phase = Phase::prepared;
        r.founding = q.founding;
        return true;
      });
    if (q.want == Phase::voting && record_.phase == Phase::prepared && record_.founding == q.founding)
      co_await change([&](VoterRecord& r) {
        if (r.phase != Phase::prepared || r.founding != q.founding) return false;
        r.phase = Phase::voting;
        return true;
      });
    co_return FoundReply{record_.phase, record_.founding};
  }

  Task<void> found_all(std::vector<Address> others) {
    std::uint64_t const id = w_.chance()() | 1;
    bool const began = co_await change([&](VoterRecord& r) {
      r.phase = Phase::prepared;
      r.founding = id;
      return true;
    });
    if (!began) co_return;
    Found const prepared{Phase::prepared, id}, open{Phase::voting, id};
    auto const replies =
        co_await ask_all<Found>(w_, others, prepared, w_.now() + 2s, [](auto const&) { return false; });
    std::size_t ready = 0;
    for (auto const& [i, r] : replies) ready += r && r->phase == Phase::prepared && r->founding == id;
    if (ready != others.size()) co_return;
    bool const opened = co_await change([](VoterRecord& r) {
      r.phase = Phase::voting;
      return true;
    });
    if (!opened) co_return;
    log_info("founded", {{"founding", std::to_string(id)}});
    co_await ask_all<Found>(w_, others, open, w_.now() + 2s, [](auto const&) { return false; });
  }

  // How many of the others must complete a round for a voter that has lost its
  // disk: so many that with any majority that it was part of they have one in
  // common, and that with it they are a majority again.
  std::size_t enough_others() const {
    std::size_t const n = voters_.size(), majority = n / 2 + 1;
    return std::max(n - majority + 1, majority - 1);
  }

  Task<void> rejoin(std::vector<Address> others) {
    std::uint64_t const nonce = w_.chance()();
    VoterRecord next;
    Found const question{};
    auto const whose = co_await ask_all<Found>(w_, others, question, w_.now() + 1s, [](auto const&) { return false; });
    std::map<std::uint64_t, std::size_t> foundings;
    for (auto const& [i, r] : whose)
      if (r && r->phase == Phase::voting && ++foundings[r->founding] >= enough_others()) next.founding = r->founding;
    if (next.founding == 0) co_return;
    for (Register const reg : all_registers) {
      Ballot ballot{1, nonce};
      Held held;
      for (int attempt = 0;; ++attempt) {
        if (attempt == 20) co_return;
        Prepare const asked{reg, ballot};
        auto const got = co_await ask_all<Prepare>(w_, others, asked, w_.now() + 1s, [](auto const&) { return false; });
        std::size_t promised = 0;
        Ballot best, top;
        held = Held{};
        for (auto const& [i, r] : got) {
          if (!r || !r->voting) continue;
          promised += r->promised;
          top = std::max(top, r->slot.promised);
          if (r->slot.accepted > best) {
            best = r->slot.accepted;
            held = r->slot.held;
          }
        }
        if (promised >= enough_others()) {
          Accept const question{reg, ballot, held};
          auto const taken =
              co_await ask_all<Accept>(w_, others, question, w_.now() + 1s, [](auto const&) { return false; });
          std::size_t accepted = 0;
          for (auto const& [i, r] : taken) accepted += r && r->accepted;
          if (accepted >= enough_others()) break;
        }
        ballot.round = std::max(ballot.round, top.round) + 1;
        co_await sleep_for(w_, std::chrono::milliseconds(5 + w_.chance()() % 50));
      }
      next.slots[static_cast<std::size_t>(reg)] = Slot{ballot, ballot, held};
    }
    next.phase = Phase::voting;
    co_await change([&](VoterRecord& r) {
      r = next;
      return true;
    });
    log_info("rejoined", {{"founding", std::to_string(next.founding)}});
  }

  W& w_;
  D& disk_;
  std::vector<Address> const voters_;
  std::size_t const own_;
  Turn<W> turn_;
  VoterRecord record_;
};

}  // namespace banktide
