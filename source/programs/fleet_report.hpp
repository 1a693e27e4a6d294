// The report of a fleet run, made without help of the mesh from the records of
// callers and backends, and from the times at which nodes log that a revision is
// active.
#pragma once

#include "state/layout.hpp"

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <ostream>
#include <sstream>

namespace banktide {

struct Acknowledged {
  std::string what;
  Revision revision = 0;
  std::int64_t at_ms = 0;
  std::string bytes;
};

struct Stage {
  std::string name;
  std::int64_t from_ms = 0, to_ms = 0;
};

// What the fleet runner did: the zone of each process, the times at which processes
// were down or stopped, and the phases of a drill.
struct FleetActions {
  std::map<std::string, std::string> zone_of;  // by process name
  std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> down;
  std::vector<Stage> phases;
  std::vector<Stage> faults;       // each with the seconds after it as its stage
  std::vector<std::string> usage;  // processor time and memory, by program
};

class FleetReport {
 public:
  FleetReport(std::filesystem::path const& folder, std::vector<Acknowledged> const& acks,
              std::uint64_t const extra_tries, std::string const& readback, FleetActions actions)
      : extras_(extra_tries), actions_(std::move(actions)) {
    for (Stage const& p : actions_.phases) phases_.emplace_back().phase = p;
    for (Stage const& f : actions_.faults) faults_.emplace_back().phase = f;
    read_runs(folder / "runs.txt");
    read_calls(folder / "calls.txt");
    read_logs(folder, acks);
    Acknowledged newest;
    for (Acknowledged const& a : acks)
      if (a.what == "routing" && a.revision > newest.revision) newest = a;
    std::set<std::pair<std::string, Revision>> numbers;
    for (Acknowledged const& a : acks)
      if (!numbers.emplace(a.what, a.revision).second)
        violations_.push_back("two " + a.what + " revisions have number " + std::to_string(a.revision));
    if (readback != newest.bytes) violations_.push_back("the routing read back is not the newest acknowledged");
  }

  bool broken() const { return !violations_.empty(); }

  void print(std::ostream& out) const {
    for (auto const& [name, by] : outcomes_) {
      out << name << ":";
      for (auto const& [what, n] : by) out << " " << what << "=" << n;
      out << "\n";
    }
    out << "calls " << calls_ << ", extra tries " << extras_ << " ("
        << (calls_ ? 100.0 * static_cast<double>(extras_) / static_cast<double>(calls_) : 0.0) << " %), runs " << runs_
        << ", strangers " << misdirected_ << "\n";
    out << "latency us: " << summary(latencies_) << "\n";
    out << "acknowledged to in force on every running node, ms: " << summary(propagation_)
        << "; left out, as the node was down: " << excluded_ << "\n";
    for (StageCounts const& s : faults_) print_counts(out, "after ", s);
    for (StageCounts const& s : phases_) {
      print_counts(out, "phase ", s);
      for (auto const& [where, n] : s.runs)
        out << "  " << where << " "
            << static_cast<double>(
                   n * 1000 / static_cast<std::uint64_t>(std::max<std::int64_t>(1, s.phase.to_ms - s.phase.from_ms)))
            << " runs/s" << share_of_first(where, s) << "\n";
    }
    for (std::string const& u : actions_.usage) out << "usage " << u << "\n";
    for (auto const& [why, n] : reasons_) out << "  " << n << " x " << why << "\n";
    for (std::string const& b : violations_) out << "BROKEN: " << b << "\n";
    if (violations_.empty()) out << "no rule broken\n";
  }

 private:
  struct StageCounts {
    Stage phase;
    std::uint64_t calls = 0, answered = 0, not_run = 0, unknown = 0;
    std::int64_t last_bad = 0;
    std::vector<std::int64_t> latency;
    std::map<std::string, std::uint64_t> runs;  // by zone and service
  };
  static void print_counts(std::ostream& out, char const* const what, StageCounts const& s) {
    out << what << s.phase.name << ": " << s.calls << " calls, answered "
        << (s.calls ? 100.0 * static_cast<double>(s.answered) / static_cast<double>(s.calls) : 0.0) << " %, not run "
        << s.not_run << ", unknown " << s.unknown << "; last one not answered "
        << (s.last_bad ? std::to_string(s.last_bad - s.phase.from_ms) + " ms after it began" : "never")
        << "; latency us: " << summary(s.latency) << "\n";
  }
  static void count(StageCounts& s, std::int64_t const at, int const status, std::string const& outcome,
                    std::int64_t const us) {
    ++s.calls;
    if (status == 200) {
      ++s.answered;
      s.latency.push_back(us);
      return;
    }
    ++(outcome == "not-run" ? s.not_run : s.unknown);
    s.last_bad = at;
  }
  StageCounts* phase_at(std::int64_t const ms) {
    for (StageCounts& s : phases_)
      if (s.phase.from_ms <= ms && ms < s.phase.to_ms) return &s;
    return nullptr;
  }
  // The load of a zone in this phase as a multiple of its load in the first phase.
  std::string share_of_first(std::string const& where, StageCounts const& s) const {
    if (&s == &phases_.front()) return "";
    auto const first = phases_.front().runs.find(where);
    if (first == phases_.front().runs.end() || first->second == 0) return "";
    double const then = static_cast<double>(first->second) /
                        static_cast<double>(phases_.front().phase.to_ms - phases_.front().phase.from_ms);
    double const now = static_cast<double>(s.runs.at(where)) / static_cast<double>(s.phase.to_ms - s.phase.from_ms);
    std::ostringstream text;
    text << " (" << std::setprecision(3) << now / then << " x)";
    return text.str();
  }

  struct Run {
    std::int64_t begin = 0, end = -1;
    std::string instance;
  };

  static std::string summary(std::vector<std::int64_t> v) {
    if (v.empty()) return "none";
    std::sort(v.begin(), v.end());
    return "min " + std::to_string(v.front()) + " median " + std::to_string(v[v.size() / 2]) + " p99 " +
           std::to_string(v[v.size() * 99 / 100]) + " max " + std::to_string(v.back()) + " of " +
           std::to_string(v.size());
  }

  void read_runs(std::filesystem::path const& file) {
    std::ifstream in(file);
    std::map<std::string, std::vector<Run>> by_key;
    std::map<std::string, Run*> unused;
    std::map<std::pair<std::string, std::string>, std::pair<std::string, std::size_t>> open;
    for (std::string line; std::getline(in, line);) {
      std::istringstream f(line);
      std::string what, id, service, instance, key, epoch, method;
      std::int64_t at = 0;
      f >> what >> at >> id >> service >> instance >> key >> epoch >> method;
      if (what == "stranger") ++misdirected_;
      std::string const k = service + "/" + key;
      if (what == "begin") {
        if (StageCounts* const s = phase_at(at))
          ++s->runs[actions_.zone_of[instance.substr(0, instance.find('.'))] + " " + service];
        ++runs_;
        ++ran_[id];
        if (method == "POST" && ran_[id] > 1) violations_.push_back("call " + id + " ran more than once");
        if (key != "-") {
          by_key[k].push_back(Run{at, -1, instance});
          open[{id, instance}] = {k, by_key[k].size() - 1};
        }
      }
      if (what == "end" && key != "-") {
        auto const it = open.find({id, instance});
        if (it != open.end()) by_key[it->second.first][it->second.second].end = at;
      }
    }
    for (auto const& [key, runs] : by_key)
      for (std::size_t i = 0; i < runs.size(); ++i)
        for (std::size_t j = i + 1; j < runs.size(); ++j)
          if (runs[i].instance != runs[j].instance && runs[i].end >= 0 && runs[j].end >= 0 &&
              runs[i].begin < runs[j].end && runs[j].begin < runs[i].end)
            violations_.push_back("two backends at once on " + key + ": " + runs[i].instance + " and " +
                                  runs[j].instance);
  }

  void read_calls(std::filesystem::path const& file) {
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
      std::istringstream f(line);
      std::string at, id, name, method, key, outcome, right, retry, node, reason;
      int status = 0;
      std::int64_t us = 0;
      f >> at >> id >> name >> method >> key >> status >> outcome >> right >> retry >> us >> node >> reason;
      std::int64_t const when = std::stoll(at);
      if (outcome != "unsent") {
        if (StageCounts* const s = phase_at(when)) count(*s, when, status, outcome, us);
        for (StageCounts& f : faults_)
          if (f.phase.from_ms <= when && when < f.phase.to_ms) count(f, when, status, outcome, us);
      }
      ++calls_;
      ++outcomes_[name][outcome + "/" + std::to_string(status)];
      if (status == 200) latencies_.push_back(us);
      if (status != 200) ++reasons_[outcome + " " + std::to_string(status) + " " + strip_digits(reason)];
      if (status == 200 && right != "right") violations_.push_back("call " + id + " got a wrong answer");
      if (outcome == "not-run" && ran_.contains(id)) violations_.push_back("call " + id + " was said not run and ran");
      if (outcome == "unsent" && ran_.contains(id)) violations_.push_back("call " + id + " was never sent and ran");
      if (status == 200 && !ran_.contains(id)) violations_.push_back("call " + id + " was answered and never ran");
      if (status >= 500 && retry != "retry-after")
        violations_.push_back("call " + id + " was given up with no Retry-After");
    }
  }

  static std::string strip_digits(std::string s) {
    for (char& c : s)
      if (c >= '0' && c <= '9') c = '#';
    return s;
  }

  // Computes for each acknowledged revision and node the time until it, or a newer one,
  // was active there; nodes that were down meanwhile are left out.
  void read_logs(std::filesystem::path const& folder, std::vector<Acknowledged> const& acks) {
    for (std::filesystem::directory_entry const& e : std::filesystem::directory_iterator(folder)) {
      std::string const name = e.path().filename().string();
      if (!name.starts_with("node-") || e.path().extension() != ".log") continue;
      std::ifstream in(e.path());
      std::vector<std::pair<std::int64_t, Revision>> activations;
      for (std::string line; std::getline(in, line);) {
        if (line.find("event=in_force") == std::string::npos) continue;
        activations.emplace_back(number(line, " at_ms="), number(line, " routing="));
      }
      for (std::size_t i = 1; i < activations.size(); ++i)
        if (activations[i].second < activations[i - 1].second)
          violations_.push_back(name + " slipped back from routing " + std::to_string(activations[i - 1].second));
      for (Acknowledged const& a : acks) {
        if (a.what != "routing") continue;
        for (auto const& [at, revision] : activations) {
          if (revision < a.revision) continue;
          std::vector<std::pair<std::int64_t, std::int64_t>> const& down =
              actions_.down[name.substr(0, name.size() - 4)];
          if (std::any_of(down.begin(), down.end(),
                          [&](auto const& d) { return d.first <= at && a.at_ms <= d.second; })) {
            ++excluded_;
            break;
          }
          propagation_.push_back(std::max<std::int64_t>(0, at - a.at_ms));
          break;
        }
      }
    }
  }

  static std::int64_t number(std::string const& line, std::string const& name) {
    std::size_t const at = line.find(name);
    return at == std::string::npos ? 0 : std::stoll(line.substr(at + name.size()));
  }

  std::uint64_t const extras_;
  FleetActions actions_;
  std::vector<StageCounts> phases_, faults_;
  std::uint64_t excluded_ = 0;
  std::uint64_t calls_ = 0, runs_ = 0, misdirected_ = 0;
  std::map<std::string, std::map<std::string, std::uint64_t>> outcomes_;
  std::map<std::string, std::uint64_t> ran_, reasons_;
  std::vector<std::int64_t> latencies_, propagation_;
  std::vector<std::string> violations_;
};

}  // namespace banktide
