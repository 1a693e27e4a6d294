// The external observations of a simulated run, and the checks of its invariants.
// Nothing here queries the mesh: the input is the records of the simulated callers,
// backends and operators, the messages on the wire, and samples of the revisions in
// force at each node.
#pragma once

#include "protocol/digest.hpp"
#include "protocol/messages.hpp"
#include "transport/result.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace banktide {

struct CallRecord {
  std::string id, service, key, zone, machine;
  bool repeatable = false;
  Instant sent{}, answered{};
  Instant received_at{};  // by the node, which may have been frozen
  std::uint16_t status = 0;
  // answered, not-run, unknown; lost: no answer arrived; unsent: the node was down;
  // hung-up: the caller disconnected.
  std::string outcome;
  bool correct = false, retry_after = false;
  bool must_stay = false;        // an undisturbed backend of its own zone was able to serve it
  bool must_serve = false;       // a backend of its own or of a reachable zone was able to serve it
  bool no_recent_fault = false;  // at least 15 s after the last fault and with no fault during the call
  std::string after_fault;       // the last fault kind, if it was injected within 3 s before
  std::string reason;
};

struct RunRecord {
  std::string id, service, instance, key, zone, machine;
  Instant begin{}, end{};
  std::uint64_t epoch = 0;
};

// One attempt of a call as it left a machine, over the wire or directly to a backend
// on the same machine.
struct AttemptRecord {
  Instant at{};
  std::string id, machine, instance;
  bool reached = false;  // the link was open
};

struct RevisionRecord {
  Register reg{};
  std::string bytes;
  Instant sent{}, answered{};
  Revision revision = 0;  // 0: not acknowledged
  bool may_be_applied = false;
  std::optional<Revision> if_match;
};

struct InForceSample {
  Instant at{};
  std::array<Revision, 2> in_force{};
  bool excused = false;  // no update could have reached it by any path
};

struct History {
  std::map<std::string, CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<AttemptRecord> attempts;
  std::vector<RevisionRecord> revisions;
  std::map<std::string, std::vector<InForceSample>> in_force_samples;  // by machine
  std::vector<std::pair<Instant, std::string>> drains;                 // instances that announced their departure
  std::vector<Instant> extra_attempts;
  bool planned_only = false;                      // only planned restarts are injected, so no answer may be lost
  std::vector<std::string> immediate_violations;  // detected during the run
  std::string readback[2];
  bool readback_good[2] = {false, false};

  std::vector<std::string> violations() const {
    std::vector<std::string> out = immediate_violations;
    check_runs(out);
    check_answers(out);
    check_keys(out);
    check_catalogue(out);
    check_revisions(out);
    check_drains(out);
    check_budget(out);
    check_dropped_calls(out);
    check_recovery(out);
    return out;
  }

  // By fault kind: the calls answered and made within 3 s after such a fault.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> answered_shares() const {
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> out;
    for (auto const& [id, c] : calls) {
      if (c.after_fault.empty() || c.outcome == "unsent" || c.outcome == "hung-up") continue;
      ++out[c.after_fault].second;
      out[c.after_fault].first += c.outcome == "answered";
    }
    return out;
  }

  // Records the attempts of each call after its first one.
  void count_extra_attempts() {
    std::map<std::string, std::size_t> n;
    for (AttemptRecord const& t : attempts) {
      auto const c = calls.find(t.id);
      if (c != calls.end() && c->second.machine == t.machine && ++n[t.id] > 1) extra_attempts.push_back(t.at);
    }
  }

 private:
  using Json = nlohmann::json;
  static std::string ms(Instant const t) { return std::to_string(as_ms(t.time_since_epoch()) - 3600000); }

  bool excused(std::string const& machine, Instant const from, Instant const to) const {
    auto const it = in_force_samples.find(machine);
    if (it == in_force_samples.end()) return true;
    auto const at = std::lower_bound(it->second.begin(), it->second.end(), from,
                                     [](InForceSample const& f, Instant const t) { return f.at < t; });
    for (auto f = at; f != it->second.end() && f->at <= to; ++f)
      if (f->excused) return true;
    return false;
  }

  void check_runs(std::vector<std::string>& out) const {
    std::set<std::string> allowed;
    for (RevisionRecord const& r : revisions)
      if (r.reg == Register::routing && (r.revision > 0 || r.may_be_applied)) {
        Json const j = Json::parse(r.bytes);
        for (auto const& [name, s] : j["services"].items()) allowed.insert(name);
      }
    std::map<std::string, int> n;
    for (RunRecord const& r : runs) {
      int const times = ++n[r.id];
      auto const c = calls.find(r.id);
      if (c == calls.end())
        out.push_back("a run of no call: " + r.id);
      else if (times > 1 && !c->second.repeatable)
        out.push_back("ran twice: " + r.id);
      else if (r.service != c->second.service)
        out.push_back("ran at the wrong service: " + r.id + " at " + r.service);
      else if (r.begin > c->second.received_at + 2500ms)
        out.push_back("ran past its deadline: " + r.id + " at " + ms(r.begin));
      else if (c->second.outcome == "unsent")
        out.push_back("ran though never sent: " + r.id);
      if (!allowed.contains(r.service)) out.push_back("ran at a service that was never allowed: " + r.service);
    }
  }

  void check_answers(std::vector<std::string>& out) const {
    std::set<std::string> ran;
    for (RunRecord const& r : runs) ran.insert(r.id);
    for (auto const& [id, c] : calls) {
      if (c.outcome == "not-run" && ran.contains(id)) out.push_back("said not run, and ran: " + id);
      if (c.outcome == "answered" && !c.correct) out.push_back("wrong answer: " + id);
      if (c.outcome == "answered" && !ran.contains(id)) out.push_back("answered and never ran: " + id);
      if (c.status >= 500 && !c.retry_after && c.outcome != "answered")
        out.push_back("given up with no Retry-After: " + id);
      if (c.outcome.empty()) out.push_back("never answered: " + id);
      if (planned_only && (c.outcome == "lost" || c.outcome == "unknown"))
        out.push_back("a planned restart lost the answer of " + id + ": " + c.outcome + " " + c.reason);
    }
  }

  void check_keys(std::vector<std::string>& out) const {
    std::map<std::string, std::vector<RunRecord const*>> revisions_by_register;
    for (RunRecord const& r : runs)
      if (!r.key.empty()) revisions_by_register[r.service + "/" + r.key].push_back(&r);
    for (auto& [key, all] : revisions_by_register) {
      std::stable_sort(all.begin(), all.end(),
                       [](RunRecord const* a, RunRecord const* b) { return a->begin < b->begin; });
      RunRecord const* last = nullptr;  // the run that ends last
      std::uint64_t highest = 0;
      std::string highest_instance;
      for (RunRecord const* const r : all) {
        if (last != nullptr && last->instance != r->instance && r->begin < last->end)
          out.push_back("two backends at once on " + key + ": " + last->instance + " and " + r->instance + " at " +
                        ms(r->begin));
        if (last == nullptr || r->end > last->end) last = r;
        if (r->epoch < highest || (r->epoch == highest && highest_instance != r->instance && highest > 0))
          out.push_back("the epoch of " + key + " did not rise: " + std::to_string(r->epoch) + " for " + r->instance +
                        " after " + std::to_string(highest) + " for " + highest_instance);
        if (r->epoch >= highest) {
          highest = r->epoch;
          highest_instance = r->instance;
        }
      }
    }
  }

  // Whether a catalogue permits a call to run in a zone; computed independently from its JSON.
  static bool permits(Json const& catalogue, Json const& routing, CallRecord const& c, std::string const& zone) {
    if (!routing["services"].contains(c.service)) return false;
    for (Json const& name : catalogue.value("closed", Json::array()))
      if (name == c.service) return false;
    bool named = false;
    for (auto const& [where, services] : catalogue["cells"].items()) {
      if (!services.contains(c.service)) continue;
      named = true;
      if (where != zone) continue;
      Json const& e = services[c.service];
      if (!e.contains("slices")) return true;
      std::uint64_t const slice =
          digest_of(c.key) % routing["services"][c.service]["key"]["slices"].get<std::uint64_t>();
      for (Json const& range : e["slices"])
        if (range[0].get<std::uint64_t>() <= slice && slice <= range[1].get<std::uint64_t>()) return true;
    }
    return !named;
  }

  // The revisions that may have applied to a call: sent before it ran, and not superseded
  // for more than 2 s when the call was made.
  std::vector<std::size_t> possible_revisions(
      Register const reg, Instant const made, Instant const ran,
      std::map<Register, std::vector<std::size_t>> const& revisions_by_register) const {
    std::vector<std::size_t> out;
    Revision floor = 0;
    auto const it = revisions_by_register.find(reg);
    if (it == revisions_by_register.end()) return out;
    for (std::size_t const i : it->second)
      if (revisions[i].revision > 0 && revisions[i].answered < made - 2s)
        floor = std::max(floor, revisions[i].revision);
    for (std::size_t const i : it->second)
      if (revisions[i].sent <= ran &&
          (revisions[i].revision >= floor || (revisions[i].revision == 0 && revisions[i].may_be_applied)))
        out.push_back(i);
    return out;
  }

  void check_catalogue(std::vector<std::string>& out) const {
    std::map<Register, std::vector<std::size_t>> revisions_by_register;
    std::vector<Json> parsed(revisions.size());
    for (std::size_t i = 0; i < revisions.size(); ++i) {
      if (revisions[i].revision == 0 && !revisions[i].may_be_applied) continue;
      revisions_by_register[revisions[i].reg].push_back(i);
      parsed[i] = Json::parse(revisions[i].bytes);
    }
    for (RunRecord const& r : runs) {
      auto const c = calls.find(r.id);
      if (c == calls.end() || excused(r.machine, c->second.sent - 2s, r.begin) ||
          excused(c->second.machine, c->second.sent - 2s, r.begin))
        continue;
      bool permitted = false, any = false;
      for (std::size_t const k :
           possible_revisions(Register::catalogue, c->second.sent, r.begin, revisions_by_register)) {
        any = true;
        for (std::size_t const l :
             possible_revisions(Register::routing, c->second.sent, r.begin, revisions_by_register))
          if (!permitted && permits(parsed[k], parsed[l], c->second, r.zone)) permitted = true;
        if (permitted) break;
      }
      if (any && !permitted)
        out.push_back(r.id + " ran in " + r.zone + " at " + ms(r.begin) + ", where no catalogue of then lets it");
    }
  }

  void check_revisions(std::vector<std::string>& out) const {
    std::map<std::pair<Register, Revision>, std::string> bytes;
    RevisionRecord const* newest[2] = {nullptr, nullptr};
    std::map<Register, std::vector<RevisionRecord const*>> acked;
    for (RevisionRecord const& r : revisions) {
      if (r.revision == 0) continue;
      auto const [it, fresh] = bytes.emplace(std::pair(r.reg, r.revision), r.bytes);
      if (!fresh) out.push_back("two revisions with number " + std::to_string(r.revision));
      if (r.if_match && *r.if_match + 1 != r.revision)
        out.push_back("revision " + std::to_string(r.revision) + " was to follow " + std::to_string(*r.if_match));
      acked[r.reg].push_back(&r);
      RevisionRecord const*& highest = newest[static_cast<std::size_t>(r.reg)];
      if (highest == nullptr || r.revision > highest->revision) highest = &r;
    }
    for (auto& [reg, all] : acked) {
      std::sort(all.begin(), all.end(),
                [](RevisionRecord const* a, RevisionRecord const* b) { return a->revision < b->revision; });
      Instant latest{};  // latest send time so far: no revision may be sent after a later revision was acknowledged
      for (RevisionRecord const* const r : all) {
        if (r->answered < latest)
          out.push_back("revision " + std::to_string(r->revision) + " was acknowledged before an older one was sent");
        latest = std::max(latest, r->sent);
      }
    }
    for (Register const reg : operator_registers) {
      std::size_t const i = static_cast<std::size_t>(reg);
      bool const may_be_applied = std::any_of(revisions.begin(), revisions.end(), [&](RevisionRecord const& r) {
        return r.reg == reg && r.may_be_applied && r.bytes == readback[i];
      });
      if (!readback_good[i] || (newest[i] != nullptr && readback[i] != newest[i]->bytes && !may_be_applied))
        out.push_back("the " + register_name(reg) + " read back is not the newest acknowledged: " +
                      (readback_good[i] ? readback[i].substr(0, 60) : "no reading"));
    }
    // A revision must be in force within 2 s after its acknowledgement, or after the
    // machine became able to receive it, and must not be replaced by an older one.
    for (auto const& [machine, seen] : in_force_samples)
      for (Register const reg : operator_registers) {
        std::size_t const i = static_cast<std::size_t>(reg);
        Revision highest = 0;
        Instant rolled_back_since{}, excused_at{};
        bool reported_rollback = false, reported_late = false;
        for (InForceSample const& f : seen) {
          if (f.excused) excused_at = f.at;
          Revision const in_force_revision = f.in_force[i];
          if (in_force_revision < highest) {
            if (rolled_back_since == Instant{}) rolled_back_since = f.at;
            if (f.at - rolled_back_since > 250ms && !reported_rollback) {
              out.push_back(machine + " slipped back from " + register_name(reg) + " " + std::to_string(highest) +
                            " to " + std::to_string(in_force_revision) + " at " + ms(f.at));
              reported_rollback = true;
            }
          } else {
            rolled_back_since = {};
          }
          highest = std::max(highest, in_force_revision);
          if (reported_late || f.excused || f.at - excused_at <= 2s) continue;
          std::vector<RevisionRecord const*> const& all = acked[reg];
          auto const from = std::upper_bound(all.begin(), all.end(), in_force_revision,
                                             [](Revision const m, RevisionRecord const* r) { return m < r->revision; });
          for (auto r = from; r != all.end() && !reported_late; ++r)
            if (f.at - (*r)->answered > 2s) {
              out.push_back(machine + " has " + register_name(reg) + " " + std::to_string(in_force_revision) + " at " +
                            ms(f.at) + ", " + std::to_string((*r)->revision) + " was acknowledged at " +
                            ms((*r)->answered));
              reported_late = true;
            }
        }
      }
  }

  void check_drains(std::vector<std::string>& out) const {
    std::map<std::string, Instant> left;
    for (auto const& [at, instance] : drains) left.emplace(instance, at);
    for (RunRecord const& r : runs) {
      auto const d = left.find(r.instance);
      if (d != left.end() && r.begin - d->second > 2s)
        out.push_back("new work for " + r.instance + " after its drain: " + r.id);
    }
    for (AttemptRecord const& t : attempts) {
      auto const d = left.find(t.instance);
      if (d != left.end() && t.reached && t.at - d->second > 2s && !excused(t.machine, t.at - 2s, t.at))
        out.push_back(t.machine + " sent " + t.id + " to " + t.instance + " at " + ms(t.at) + " after its drain at " +
                      ms(d->second));
    }
  }

  void check_budget(std::vector<std::string>& out) const {
    std::vector<Instant> sent;
    for (auto const& [id, c] : calls) sent.push_back(c.sent);
    std::sort(sent.begin(), sent.end());
    for (std::size_t i = 0; i < extra_attempts.size(); ++i) {
      Instant const end = extra_attempts[i];
      std::size_t const recent_extras = static_cast<std::size_t>(std::count_if(
          extra_attempts.begin(), extra_attempts.end(), [&](Instant const t) { return t > end - 10s && t <= end; }));
      std::size_t const recent_calls = static_cast<std::size_t>(std::upper_bound(sent.begin(), sent.end(), end) -
                                                                std::lower_bound(sent.begin(), sent.end(), end - 10s));
      if (recent_extras > recent_calls / 5 + 20) {
        out.push_back(std::to_string(recent_extras) + " extra tries to " + std::to_string(recent_calls) +
                      " calls in the 10 s before " + ms(end));
        break;
      }
    }
  }

  void check_dropped_calls(std::vector<std::string>& out) const {
    std::map<std::string, std::set<std::string>> ran_in;
    for (RunRecord const& r : runs) ran_in[r.id].insert(r.zone);
    for (auto const& [id, c] : calls) {
      if (c.must_stay && c.outcome == "not-run")
        out.push_back(id + " was dropped at " + ms(c.sent) + " in " + c.zone +
                      " beside a backend known to be good: " + c.reason);
      else if (c.must_stay && ran_in.contains(id) && !ran_in[id].contains(c.zone))
        out.push_back(id + " left " + c.zone + " at " + ms(c.sent) + " where a backend was known to be good");
      else if (c.must_serve && c.outcome == "not-run")
        out.push_back(id + " was dropped at " + ms(c.sent) + " in " + c.zone +
                      ", and another cell could serve it: " + c.reason);
    }
  }

  // From 15 s after a fault on, every call must be answered.
  void check_recovery(std::vector<std::string>& out) const {
    std::size_t bad = 0, all = 0;
    std::string one;
    for (auto const& [id, c] : calls) {
      if (!c.no_recent_fault) continue;
      ++all;
      if (c.outcome == "answered" || c.outcome == "hung-up") continue;
      ++bad;
      one = id + " " + c.outcome + " " + std::to_string(c.status) + " in " + c.zone + " at " + ms(c.sent) + ": " +
            c.reason;
    }
    if (all == 0) out.push_back("no call in calm");
    if (bad > 0)
      out.push_back(std::to_string(bad) + " of " + std::to_string(all) + " calls unserved 15 s after a fault, as " +
                    one);
  }
};

}  // namespace banktide
