// What was seen from outside during a simulated run, and the plain checks of
// what must never happen. Nothing here asks the mesh; it has only the records
// of the stand-in callers, backends and operators, and samples of what each
// node had in force.
#pragma once

#include "protocol/messages.hpp"
#include "transport/result.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace banktide {

struct CallSeen {
  std::string id, service, key, cell;
  bool repeatable = false;
  Instant sent{}, answered{};
  std::uint16_t status = 0;
  std::string outcome;  // answered, not-run, unknown; lost: the node went away
  bool right = false, retry_after = false;
};

struct RunSeen {
  std::string id, service, instance, key;
  Instant begin{}, end{};
};

struct RevisionSeen {
  Register reg{};
  std::string bytes;
  Instant sent{}, answered{};
  Revision revision = 0;  // 0: not acknowledged
  bool maybe = false;
};

struct ForceSeen {
  Instant at{};
  std::string machine, cell;
  Revision routing = 0;
  bool excused = false;  // cut off, frozen, just started
};

struct History {
  std::map<std::string, CallSeen> calls;
  std::vector<RunSeen> runs;
  std::vector<RevisionSeen> revisions;
  std::vector<ForceSeen> forces;
  std::vector<std::pair<Instant, std::string>> drains;  // instance that said it leaves
  std::vector<Instant> extra_tries;
  std::set<std::string> services_ever;
  Instant quiet_from{};  // the last fault is over
  std::string readback;
  bool readback_good = false;

  std::vector<std::string> broken() const {
    std::vector<std::string> out;
    check_runs(out);
    check_answers(out);
    check_keys(out);
    check_revisions(out);
    check_drains(out);
    check_budget(out);
    check_recovery(out);
    return out;
  }

 private:
  static std::string ms(Instant const t) { return std::to_string(as_ms(t.time_since_epoch()) - 3600000); }

  void check_runs(std::vector<std::string>& out) const {
    std::map<std::string, int> n;
    for (RunSeen const& r : runs) {
      int const times = ++n[r.id];
      auto const c = calls.find(r.id);
      if (c == calls.end()) out.push_back("a run of no call: " + r.id);
      else if (times > 1 && !c->second.repeatable) out.push_back("ran twice: " + r.id);
      else if (r.service != c->second.service) out.push_back("ran at the wrong service: " + r.id);
      if (!services_ever.contains(r.service)) out.push_back("ran at a service that was never allowed: " + r.service);
    }
  }

  void check_answers(std::vector<std::string>& out) const {
    std::set<std::string> ran;
    for (RunSeen const& r : runs) ran.insert(r.id);
    for (auto const& [id, c] : calls) {
      if (c.outcome == "not-run" && ran.contains(id)) out.push_back("said not run, and ran: " + id);
      if (c.outcome == "answered" && !c.right) out.push_back("wrong answer: " + id);
      if (c.status >= 500 && !c.retry_after && c.outcome != "answered") out.push_back("given up with no Retry-After: " + id);
      if (c.outcome.empty()) out.push_back("never answered: " + id);
    }
  }

  void check_keys(std::vector<std::string>& out) const {
    std::map<std::string, std::vector<RunSeen const*>> by;
    for (RunSeen const& r : runs)
      if (!r.key.empty()) by[r.service + "/" + r.key].push_back(&r);
    for (auto const& [key, all] : by)
      for (std::size_t i = 0; i < all.size(); ++i)
        for (std::size_t j = i + 1; j < all.size(); ++j)
          if (all[i]->instance != all[j]->instance && all[i]->begin < all[j]->end && all[j]->begin < all[i]->end) out.push_back("two backends at once on " + key + ": " + all[i]->instance + " and " + all[j]->instance + " at " + ms(all[j]->begin));
  }

  void check_revisions(std::vector<std::string>& out) const {
    RevisionSeen const* newest = nullptr;
    std::map<std::pair<Register, Revision>, std::string> bytes;
    for (RevisionSeen const& r : revisions) {
      if (r.revision == 0) continue;
      auto const [it, fresh] = bytes.emplace(std::pair(r.reg, r.revision), r.bytes);
      if (!fresh && it->second != r.bytes) out.push_back("two revisions with number " + std::to_string(r.revision));
      if (r.reg == Register::routing && (newest == nullptr || r.revision > newest->revision)) newest = &r;
    }
    for (RevisionSeen const& a : revisions)
      for (RevisionSeen const& b : revisions)
        if (a.revision && b.revision && a.reg == b.reg && a.answered < b.sent && a.revision >= b.revision) out.push_back("revision " + std::to_string(b.revision) + " was sent after " + std::to_string(a.revision) + " was acknowledged");
    bool const maybe = std::any_of(revisions.begin(), revisions.end(), [&](RevisionSeen const& r) { return r.maybe && r.bytes == readback; });
    if (!readback_good || (newest != nullptr && readback != newest->bytes && !maybe)) out.push_back("the routing read back is not the newest acknowledged");
    // In force within 2 s, unless the machine was excused in between; no step back.
    std::map<std::string, std::vector<ForceSeen const*>> by;
    for (ForceSeen const& f : forces) by[f.machine].push_back(&f);
    for (auto const& [machine, seen] : by) {
      Revision top = 0;
      Instant back_since{};
      Instant excused_at{};
      for (ForceSeen const* const f : seen) {
        if (f->excused) excused_at = f->at;
        if (f->routing < top) {
          if (back_since == Instant{}) back_since = f->at;
          if (f->at - back_since > 250ms) {
            out.push_back(machine + " slipped back from " + std::to_string(top) + " to " + std::to_string(f->routing) + " at " + ms(f->at));
            back_since = f->at + 3600s;
          }
        } else {
          back_since = {};
        }
        top = std::max(top, f->routing);
        for (RevisionSeen const& r : revisions) {
          if (r.revision == 0 || r.reg != Register::routing || f->routing >= r.revision) continue;
          if (f->at - r.answered > 2s && f->at - r.answered < 2300ms && (excused_at == Instant{} || f->at - excused_at > 2s)) out.push_back(machine + " has routing " + std::to_string(f->routing) + " at " + ms(f->at) + ", " + std::to_string(r.revision) + " was acknowledged at " + ms(r.answered));
        }
      }
    }
  }

  void check_drains(std::vector<std::string>& out) const {
    for (auto const& [at, instance] : drains)
      for (RunSeen const& r : runs)
        if (r.instance == instance && r.begin - at > 2s) out.push_back("new work for " + instance + " after its drain: " + r.id);
  }

  void check_budget(std::vector<std::string>& out) const {
    std::vector<Instant> sent;
    for (auto const& [id, c] : calls) sent.push_back(c.sent);
    std::sort(sent.begin(), sent.end());
    for (std::size_t i = 0; i < extra_tries.size(); ++i) {
      Instant const end = extra_tries[i];
      std::size_t const extras = static_cast<std::size_t>(std::count_if(extra_tries.begin(), extra_tries.end(), [&](Instant const t) { return t > end - 10s && t <= end; }));
      std::size_t const firsts = static_cast<std::size_t>(std::upper_bound(sent.begin(), sent.end(), end) - std::lower_bound(sent.begin(), sent.end(), end - 10s));
      if (extras > firsts / 5 + 20) {
        out.push_back(std::to_string(extras) + " extra tries to " + std::to_string(firsts) + " calls in the 10 s before " + ms(end));
        break;
      }
    }
  }

  // 15 s after the last fault, every call is answered.
  void check_recovery(std::vector<std::string>& out) const {
    if (quiet_from == Instant{}) return;
    std::size_t bad = 0, all = 0;
    std::string one;
    for (auto const& [id, c] : calls) {
      if (c.sent < quiet_from + 15s) continue;
      ++all;
      if (c.outcome == "answered") continue;
      ++bad;
      one = id + " " + c.outcome + " " + std::to_string(c.status) + " in " + c.cell + " at " + ms(c.sent);
    }
    if (all == 0) out.push_back("no call after the quiet");
    if (bad > 0) out.push_back(std::to_string(bad) + " of " + std::to_string(all) + " calls unserved 15 s after the last fault, as " + one);
  }
};

}  // namespace banktide
