// The scripts' trials, by name. Each starts a small fleet of the project's programs,
// plays its case with the stand-ins of fleet.hpp, writes what was sent, answered and
// run to the record, and judges it by the rule. With TROUBLE=0 it does the same
// without the disruption. Exit codes: 0 the rule held, 1 it was broken, 2 the case
// couldn't run.
//
//     trial NAME FOLDER PROGRAMS
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int held = 0, broken = 1, not_run = 2;

std::string attempt_id(std::string const& prefix, int const n) {
  char text[64];
  std::snprintf(text, sizeof text, "%s-%06d", prefix.c_str(), n);
  return text;
}

// Three zones with a store and a registry each, and the case's own machines with backends.
struct Deployment {
  Deployment(std::string const& folder, std::string const& programs) : fleet(folder, programs) {
    fleet.add_core("a", 11);
    fleet.add_core("b", 21);
    fleet.add_core("c", 31);
  }
  // One machine with a backend in each zone.
  void add_side_in_each_zone(std::string const& service) {
    fleet.add_side("side-a", "a", 12, service);
    fleet.add_side("side-b", "b", 22, service);
    fleet.add_side("side-c", "c", 32, service);
  }
  // Starts everything and waits until all machines are in touch.
  bool start(std::string const& configuration_text, int const circuits, bool const keyed = false) {
    fleet.start_cores(true);
    for (Machine const& m : fleet.sides) fleet.start_proxy(m, true);
    for (Machine const& m : fleet.sides) {
      backends.push_back(std::make_unique<Backend>(m, fleet.ports, "i-" + m.name, circuits, keyed));
      if (!backends.back()->start()) return false;
    }
    if (!fleet.configure(configuration_text, 20)) {
      record.line("the configuration was not acknowledged");
      return false;
    }
    record.line("operator: the configuration is acknowledged");
    if (!fleet.all_ready(20)) {
      record.line("the nodes didn't become ready");
      return false;
    }
    Clock::time_point const began = Clock::now();
    auto const all_beaten = [&] {
      return std::all_of(backends.begin(), backends.end(), [](auto const& b) { return b->beaten(); });
    };
    while (seconds_since(began) < 10 && !all_beaten()) sleep_s(0.1);
    if (!all_beaten()) return false;
    sleep_s(4);  // over contactS: the nodes have heard of each other's backends, and all are in touch
    return true;
  }
  std::optional<Run> run_of(std::string const& id) const {
    for (std::unique_ptr<Backend> const& b : backends)
      for (Run const& r : b->runs())
        if (r.id == id) return r;
    return std::nullopt;
  }
  Fleet fleet;
  std::vector<std::unique_ptr<Backend>> backends;
};

// ---- who holds which keys

// Looks every 10 ms; `longest` is how long two backends that were up held one key together.
struct OwnerWatch {
  explicit OwnerWatch(Deployment& d) : deployment(d), thread([this] { run(); }) {}
  ~OwnerWatch() { end(); }
  void end() {
    over = true;
    if (thread.joinable()) thread.join();
  }
  void run() {
    std::map<std::size_t, double> since;
    while (!over) {
      double const now = now_s();
      std::vector<int> holders(65536, 0);
      for (auto const& b : deployment.backends)
        for (KeyRow const& r : b->held())
          for (long k = r.from; k <= r.to; ++k) ++holders[static_cast<std::size_t>(k)];
      long both = 0;
      for (std::size_t k = 0; k < holders.size(); ++k) {
        if (holders[k] < 2) {
          since.erase(k);
          continue;
        }
        ++both;
        longest = std::max(longest, now - since.try_emplace(k, now).first->second);
      }
      if (both != last) record.line("watch: %ld keys are held by two backends that are up", both);
      last = both;
      most = std::max(most, both);
      sleep_s(0.01);
    }
  }
  Deployment& deployment;
  std::atomic<bool> over{false};
  double longest = 0;
  long most = 0, last = 0;
  std::thread thread;
};

// A backend of a keyed service signs off without having said `quiescing`, while the first beat that the node
// beside it has had since it was killed and came back is still unanswered.
int sign_off_after_restart(Deployment& d) {
  d.add_side_in_each_zone("catalogue");
  std::vector<RouteText> const routes{{"browse", "/browse/", "idempotent", "catalogue", 2.0, 0.5, 2}};
  if (!d.start(configuration(1, routes, {"catalogue"}, true), 12, true)) return not_run;
  sleep_s(4);  // the keys are dealt out, and rest
  Machine const side = d.fleet.sides.front();
  Backend& leaver = *d.backends.front();
  if (leaver.held().empty()) return not_run;
  OwnerWatch watch(d);
  int const acknowledged = leaver.acknowledged();
  while (leaver.acknowledged() == acknowledged) sleep_s(0.005);
  if (with_trouble()) {
    d.fleet.signal("proxy-" + side.name, SIGKILL);
    d.fleet.wait_end("proxy-" + side.name, 2);
    sleep_s(0.3);  // the platform's short delay
    d.fleet.start_proxy(side, false);
  }
  int const sent = leaver.beats_sent();
  while (leaver.beats_sent() == sent) sleep_s(0.005);
  sleep_s(0.4);
  bool const taken = leaver.sign_off();
  if (!taken) return not_run;
  sleep_s(3.0);  // it serves on for drainS and a little longer
  record.line("backend %s: ends", leaver.id().c_str());
  leaver.stop();
  sleep_s(1.0);
  watch.end();
  record.line("judge: at most %ld keys were held by two backends at once, for %.3f s at most; the rule allows 0.5 s",
              watch.most, watch.longest);
  return watch.longest > 0.5 ? broken : held;
}

// ---- a machine is told to end

// A steady flow of deposits to a machine that is told to end.
int late_deposits(Deployment& d) {
  d.add_side_in_each_zone("vault");
  std::vector<RouteText> const routes{{"deposit", "/deposit/", "non_idempotent", "vault", 2.5, 0.6, 2}};
  if (!d.start(configuration(1, routes, {"vault"}), 24)) return not_run;
  Machine const side = d.fleet.sides.front();
  Address const at{side.ip, d.fleet.ports.outbound};
  std::vector<Outcome> outcomes(140);
  std::vector<std::thread> clients;
  double const began = now_s();
  double term_at = -1;
  for (int n = 0; n < static_cast<int>(outcomes.size()); ++n) {
    sleep_s(began + n * 0.05 - now_s());
    if (with_trouble() && term_at < 0 && now_s() - began >= 1.04) {
      term_at = now_s();
      d.fleet.signal("proxy-" + side.name, SIGTERM);
    }
    clients.emplace_back([&outcomes, n, at] {
      Call c;
      c.method = "POST";
      c.target = "/deposit/" + std::to_string(n) + "?work=2400";
      c.id = attempt_id("deposit", n);
      c.remaining_ms = 2500;
      c.body = "amount";
      record.line("client: sends %s", c.id.c_str());
      Outcome const o = outcomes[static_cast<std::size_t>(n)] = call(at, c, 2.6);
      if (o.connected)
        record.line("client: the answer to %s ended %s, status %d", c.id.c_str(), name_of(o.ended), o.answer.status());
      else
        record.line("client: %s finds nobody listening", c.id.c_str());
    });
  }
  for (std::thread& t : clients) t.join();
  std::optional<int> const end = with_trouble() ? d.fleet.wait_end("proxy-" + side.name, 3) : std::nullopt;
  record.line("platform: the proxy of %s has %s", side.name.c_str(), end ? "ended" : "not ended");
  int lost = 0, served = 0;
  for (int n = 0; n < static_cast<int>(outcomes.size()); ++n) {
    Outcome const& o = outcomes[static_cast<std::size_t>(n)];
    served += o.ended == Ended::whole && o.answer.status() == 200;
    if (!o.connected || o.ended == Ended::whole || o.ended == Ended::timeout) continue;
    std::optional<Run> const run = d.run_of(attempt_id("deposit", n));
    if (!run) continue;  // not passed on to a backend
    double const taken = o.ended_at - o.sent_at;
    double const after_term = term_at < 0 ? -1 : o.sent_at - term_at;
    // Excused: sent no later than 3 s after the SIGTERM with the backend at work in the last sixth of graceS; or the
    // deadline, which is the route's timeout too, was reached.
    bool const excused = (term_at >= 0 && after_term <= 3.0 && o.ended_at - term_at >= 5.0) || taken >= 2.45;
    record.line("judge: %s was sent %.3f s after the SIGTERM, ran at %s, and its connection ended (%s) %.3f s after it "
                "was sent: %s",
                attempt_id("deposit", n).c_str(), after_term, run->backend.c_str(), name_of(o.ended), taken,
                excused ? "excused" : "LOST");
    lost += !excused;
  }
  record.line("judge: %d deposits answered with 200, %d lost", served, lost);
  if (served == 0) return not_run;
  return lost > 0 ? broken : held;
}

// Clients that read long answers while their machine is told to end.
int long_answers(Deployment& d) {
  d.add_side_in_each_zone("archive");
  std::vector<RouteText> const routes{{"statement", "/statement/", "idempotent", "archive", 3.0, 2.0, 2}};
  if (!d.start(configuration(1, routes, {"archive"}), 24)) return not_run;
  Machine const side = d.fleet.sides.front();
  constexpr long size = 24000000;
  constexpr std::size_t bytes_per_s = 9000000;
  double const term_at = now_s();
  if (with_trouble()) d.fleet.signal("proxy-" + side.name, SIGTERM);
  sleep_s(1.5);
  std::vector<Outcome> outcomes(2);
  std::vector<std::thread> clients;
  for (std::size_t n = 0; n < outcomes.size(); ++n)
    clients.emplace_back([&, n] {
      Call c;
      c.target = "/statement/" + std::to_string(n) + "?work=50&size=" + std::to_string(size);
      c.id = attempt_id("statement", static_cast<int>(n));
      c.remaining_ms = 3000;
      c.read_bytes_per_s = bytes_per_s;
      c.receive_buffer = 65536;
      record.line("client: sends %s", c.id.c_str());
      outcomes[n] = call(Address{side.ip, d.fleet.ports.outbound}, c, 3.0);
      record.line("client: the answer to %s ended %s, status %d, %zu of %ld bytes", c.id.c_str(),
                  name_of(outcomes[n].ended), outcomes[n].answer.status(), outcomes[n].answer.body.size(), size);
    });
  for (std::thread& t : clients) t.join();
  int lost = 0, whole = 0;
  for (std::size_t n = 0; n < outcomes.size(); ++n) {
    Outcome const& o = outcomes[n];
    whole += o.ended == Ended::whole && o.answer.status() == 200;
    std::optional<Run> const run = d.run_of(attempt_id("statement", static_cast<int>(n)));
    bool const cut = o.connected && (o.ended == Ended::closed || o.ended == Ended::reset);
    if (!cut || !run || !run->finished || o.ended_at - o.sent_at >= 2.95) continue;
    record.line("judge: %s was sent %.3f s after the SIGTERM, its backend answered it whole, and its connection ended "
                "(%s) %.3f s after it was sent with %zu of %ld bytes: LOST",
                attempt_id("statement", static_cast<int>(n)).c_str(), o.sent_at - term_at, name_of(o.ended),
                o.ended_at - o.sent_at, o.answer.body.size(), size);
    ++lost;
  }
  record.line("judge: %d answers whole, %d lost", whole, lost);
  if (lost == 0 && whole == 0) return not_run;
  return lost > 0 ? broken : held;
}

// Deposits are under way from a machine that is told to end, while long answers come back to it from the same node.
// With TROUBLE=0 the SIGTERM comes too, and the answers are short.
int answers_at_once(Deployment& d) {
  d.fleet.add_side("side-a", "a", 12, "web");
  d.fleet.add_side("side-b", "b", 22, "vault");
  std::vector<RouteText> const routes{{"deposit", "/deposit/", "non_idempotent", "vault", 2.5, 1.9, 2},
                                      {"statement", "/statement/", "idempotent", "vault", 2.5, 1.9, 2}};
  if (!d.start(configuration(1, routes, {"vault", "web"}), 30)) return not_run;
  Machine const side = d.fleet.sides.front();
  Address const at{side.ip, d.fleet.ports.outbound};
  constexpr std::size_t deposits = 5, statements = 14;
  std::vector<Outcome> outcomes(deposits + statements);
  std::vector<std::thread> clients;
  double const term_at = now_s();
  d.fleet.signal("proxy-" + side.name, SIGTERM);
  for (std::size_t n = 0; n < outcomes.size(); ++n) {
    if (n == 0 || n == deposits) sleep_s(0.4);
    bool const deposit = n < deposits;
    clients.emplace_back([&outcomes, n, at, deposit] {
      Call c;
      std::string const number = std::to_string(n);
      c.method = deposit ? "POST" : "GET";
      c.target = deposit ? "/deposit/" + number + "?work=1500"
                         : "/statement/" + number + "?work=300&size=" + (with_trouble() ? "800000" : "2000");
      c.id = attempt_id(deposit ? "deposit" : "statement", static_cast<int>(n));
      c.remaining_ms = 2500;
      if (deposit) c.body = "amount";
      record.line("client: sends %s", c.id.c_str());
      Outcome const o = outcomes[n] = call(at, c, 2.6);
      record.line("client: the answer to %s ended %s, status %d: %s", c.id.c_str(), name_of(o.ended), o.answer.status(),
                  o.answer.status() == 200 ? "" : o.answer.body.c_str());
    });
  }
  for (std::thread& t : clients) t.join();
  sleep_s(1);  // the runs end
  int lost = 0, served = 0;
  for (std::size_t n = 0; n < outcomes.size(); ++n) {
    Outcome const& o = outcomes[n];
    served += o.ended == Ended::whole && o.answer.status() == 200;
    if (n >= deposits || o.ended != Ended::whole || o.answer.status() < 500) continue;
    std::string const id = attempt_id("deposit", static_cast<int>(n));
    std::optional<Run> const run = d.run_of(id);
    bool const own = o.answer.header("banktide-server-seal").empty();
    bool const at_work = run && run->began < o.ended_at && run->ended > o.ended_at + 0.1 && run->finished;
    bool const in_time = o.ended_at - o.sent_at < 2.45;
    if (!own || !at_work || !in_time) continue;
    record.line("judge: %s was sent %.3f s after the SIGTERM and answered with the system's own %d %.3f s later, while "
                "%s worked on it for %.3f s more and answered it: LOST",
                id.c_str(), o.sent_at - term_at, o.answer.status(), o.ended_at - o.sent_at, run->backend.c_str(),
                run->ended - o.ended_at);
    ++lost;
  }
  record.line("judge: %d of %zu requests answered with 200, %d deposits lost", served, outcomes.size(), lost);
  if (lost == 0 && served == 0) return not_run;
  return lost > 0 ? broken : held;
}

// ---- memory

// A client that keeps one connection and sends one request after the other on it.
struct KeptClient {
  std::atomic<int> whole{0}, lost{0};
  void run(Deployment& d, Address const at, int const number, std::atomic<bool> const& over) {
    int fd = -1;
    std::string buffer;
    for (int n = 0; !over; ++n) {
      bool const fresh = fd < 0;
      if (fresh) {
        buffer.clear();
        fd = connect_to(at, 1.0);
        if (fd < 0) {
          sleep_s(0.2);
          continue;
        }
      }
      Call c;
      c.target = "/lookup/" + std::to_string(n) + "?work=400";
      c.id = attempt_id("lookup-" + std::to_string(number), n);
      c.remaining_ms = 2000;
      if (!send_all(fd, text_of(c), 1)) {
        ::close(fd);
        fd = -1;
        continue;
      }
      Message answer;
      Ended const e = read_message(fd, buffer, answer, 2.0);
      if (e == Ended::whole) {
        whole += answer.status() == 200;
        continue;
      }
      std::optional<Run> const ran = d.run_of(c.id);
      record.line("client: %s on a %s connection ended %s; it %s", c.id.c_str(), fresh ? "new" : "kept", name_of(e),
                  ran ? "was passed on to its backend" : "was not passed on");
      if (!fresh && ran && e != Ended::timeout) ++lost;
      ::close(fd);
      fd = -1;
    }
    if (fd >= 0) ::close(fd);
  }
};

// The private memory of a process, in MiB.
long private_mib(pid_t const pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line))
    if (line.compare(0, 8, "RssAnon:") == 0) return std::atol(line.c_str() + 8) / 1024;
  return 0;
}

// Five machines' clients upload a body each, well below `bodyMaxBytes`, to the one backend of a service.
int uploads(Deployment& d) {
  constexpr int senders = 5;
  constexpr std::size_t bytes = 45000000;
  constexpr long memory_mib = 260;
  char const* const zones[] = {"a", "b", "c"};
  d.fleet.add_side("side-v", "b", 22, "vault");
  for (int i = 0; i < senders; ++i) d.fleet.add_side("side-" + std::to_string(i), zones[i % 3], 100 + i, "web");
  std::vector<RouteText> const routes{{"upload", "/upload/", "non_idempotent", "vault", 6.0, 3.0, 2},
                                      {"lookup", "/lookup/", "idempotent", "vault", 2.0, 0.5, 2}};
  if (!d.start(configuration(1, routes, {"vault", "web"}), 24)) return not_run;
  Machine const vault = d.fleet.sides.front();
  std::string const proxy = "proxy-" + vault.name;
  std::atomic<bool> over{false};
  std::atomic<bool> killed{false};
  std::atomic<long> most{0};
  // The platform: a process over its memory is killed, and restarted after a short delay.
  std::thread platform([&] {
    while (!over) {
      long const now = private_mib(d.fleet.pid(proxy));
      if (now > most) most = now;
      if (now > memory_mib) {
        record.line("platform: %s has %ld MiB of its own, over %ld: it is killed", proxy.c_str(), now, memory_mib);
        killed = true;
        d.fleet.signal(proxy, SIGKILL);
        d.fleet.wait_end(proxy, 2);
        sleep_s(0.3);
        d.fleet.start_proxy(vault, false);
      }
      sleep_s(0.004);
    }
  });
  std::vector<KeptClient> kept(12);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kept.size(); ++i)
    threads.emplace_back([&, i] { kept[i].run(d, Address{vault.ip, d.fleet.ports.outbound}, static_cast<int>(i), over); });
  sleep_s(2);
  std::vector<std::thread> uploading;
  for (int n = 0; with_trouble() && n < senders; ++n)
    uploading.emplace_back([&, n] {
      Call c;
      c.method = "POST";
      c.target = "/upload/" + std::to_string(n) + "?work=300";
      c.id = attempt_id("upload", n);
      c.remaining_ms = 6000;
      c.body = std::string(bytes, 'u');
      record.line("client: sends %s, %zu bytes", c.id.c_str(), bytes);
      Outcome const o = call(Address{d.fleet.sides[static_cast<std::size_t>(n) + 1].ip, d.fleet.ports.outbound}, c, 7);
      record.line("client: the answer to %s ended %s, status %d", c.id.c_str(), name_of(o.ended), o.answer.status());
    });
  for (std::thread& t : uploading) t.join();
  sleep_s(3);
  over = true;
  platform.join();
  for (std::thread& t : threads) t.join();
  int lost = 0, whole = 0;
  for (KeptClient const& k : kept) lost += k.lost, whole += k.whole;
  record.line("judge: %s had %ld MiB of its own at most and was %skilled for it; on kept connections %d requests were "
              "answered, and %d were passed on to the backend and ended with no answer; the rule allows 3",
              proxy.c_str(), most.load(), killed ? "" : "not ", whole, lost);
  if (whole == 0) return not_run;
  return killed && lost > 3 ? broken : held;
}

int play(std::string const& name, Deployment& d) {
  if (name == "answers_at_once") return answers_at_once(d);
  if (name == "sign_off_after_restart") return sign_off_after_restart(d);
  if (name == "late_deposits") return late_deposits(d);
  if (name == "long_answers") return long_answers(d);
  if (name == "uploads") return uploads(d);
  return not_run;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return not_run;
  std::signal(SIGPIPE, SIG_IGN);
  std::string const name = argv[1], folder = argv[2], programs = argv[3];
  record.open(folder + "/record.txt");
  int code = not_run;
  {
    Deployment d(folder, programs);
    code = play(name, d);
    d.fleet.stop_all();
  }
  char const* const verdict = code == held     ? "the rule held"
                              : code == broken ? "the rule was broken"
                                               : "the case couldn't run";
  record.line("%s", verdict);
  std::printf("%s\n", verdict);
  std::fflush(stdout);
  std::_Exit(code);
}
