// The cases of the second review that are scripts. Usage: cases-2 NAME RECORD PROGRAMS; exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
#include "site-2.hpp"

using namespace stage;

namespace {

constexpr long drain_ms = 2000, contact_ms = 3000;

bool trouble() {
  char const* const word = getenv("TROUBLE");
  return word == nullptr || std::string(word) != "0";
}

/// The same service on so many machines.
std::vector<std::string> machines_of(std::string const& service, std::size_t const count) {
  return std::vector<std::string>(count, service);
}

int cannot(Record& record, std::string const& why) {
  record.line("could not run: " + why, true);
  return 2;
}

/// Sends requests at a steady rate from the clients of all side machines until it is destroyed.
class Load {
 public:
  Load(Record& record, std::vector<Machine> machines, std::string method, std::string host, std::string path,
       bool const keyed, long const remaining_ms, long const pause_ms)
      : record_(record) {
    for (std::size_t i = 0; i < machines.size(); ++i)
      threads_.emplace_back([this, i, machine = machines[i], method, host, path, keyed, remaining_ms, pause_ms] {
        for (unsigned n = 0; !stopped_; ++n) {
          std::string const attempt = method + "-" + std::to_string(i) + "-" + std::to_string(n);
          int const key = keyed ? static_cast<int>((n * 7919u + i * 1777u) % 65536u) : -1;
          Answer const a = request(machine, method, host, path, attempt, key, remaining_ms);
          record_.line("answer " + a.attempt + " from " + machine.id + " sent " + std::to_string(a.sent) + " status " +
                       std::to_string(a.status) + " key " + std::to_string(a.key));
          {
            std::lock_guard const guard(mutex_);
            answers_.push_back(a);
          }
          sleep_ms(pause_ms);
        }
      });
  }
  ~Load() { stop(); }
  void stop() {
    stopped_ = true;
    for (std::thread& t : threads_)
      if (t.joinable()) t.join();
  }
  std::vector<Answer> answers() const {
    std::lock_guard const guard(mutex_);
    return answers_;
  }
  std::size_t served() const {
    std::size_t n = 0;
    for (Answer const& a : answers()) n += a.status == 200;
    return n;
  }

 private:
  Record& record_;
  std::atomic<bool> stopped_ = false;
  mutable std::mutex mutex_;
  std::vector<Answer> answers_;
  std::vector<std::thread> threads_;
};

/// Watches the rows of all backends: how long two that are up hold the same key.
class HoldWatch {
 public:
  HoldWatch(Record& record, std::function<std::vector<std::shared_ptr<Backend>>()> backends) : record_(record) {
    thread_ = std::thread([this, backends] {
      while (!stopped_) {
        look(backends());
        sleep_ms(5);
      }
    });
  }
  ~HoldWatch() { stop(); }
  void stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
  }
  long longest_ms() const { return longest_; }

 private:
  void look(std::vector<std::shared_ptr<Backend>> const& all) {
    std::set<std::string> now;
    for (std::size_t i = 0; i < all.size(); ++i)
      for (std::size_t j = i + 1; j < all.size(); ++j) {
        std::vector<Row> const a = all[i]->held(), b = all[j]->held();
        for (Row const& x : a)
          for (Row const& y : b) {
            int const from = std::max(x.from, y.from), to = std::min(x.to, y.to);
            if (from > to) continue;
            now.insert(all[i]->id() + " and " + all[j]->id() + " hold " + std::to_string(from) + ".." +
                       std::to_string(to) + " by the fences " + std::to_string(x.fence) + " and " +
                       std::to_string(y.fence));
          }
      }
    for (std::string const& one : now) since_.try_emplace(one, now_ms());
    std::erase_if(since_, [&](auto const& known) {
      if (now.contains(known.first)) return false;
      report(known.first, known.second);
      return true;
    });
    for (auto const& [one, since] : since_) longest_ = std::max<long>(longest_, now_ms() - since);
  }
  void report(std::string const& one, long const since) {
    record_.line("both: " + one + " for " + std::to_string(now_ms() - since) + " ms", now_ms() - since > 300);
  }
  Record& record_;
  std::map<std::string, long> since_;
  std::atomic<long> longest_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

std::size_t rows_of(std::shared_ptr<Backend> const& b) { return b->held().size(); }

template <class F>
bool await(long const until, F const done) {
  while (now_ms() < until) {
    if (done()) return true;
    sleep_ms(5);
  }
  return false;
}

// A proxy is killed and started again; its first beat is a late one of the backend's former life, which said that it
// was leaving. Rule OWNER.
int late_beat_of_a_former_life(Record& record, std::string const& folder, std::string const& programs) {
  Site site(record, folder, programs, machines_of("catalogue", 10), 4);
  Runs runs;
  if (!site.start()) return cannot(record, "start");
  std::mutex mutex;
  std::vector<std::shared_ptr<Backend>> backends;
  BeatPath path(record, site.sides[0]);
  if (!path.is_open()) return cannot(record, "a port is taken");
  for (std::size_t i = 0; i < site.sides.size(); ++i)
    backends.push_back(std::make_shared<Backend>(record, runs, site.sides[i],
                                                 BackendSettings{"i-first-" + std::to_string(i), "catalogue", true},
                                                 i == 0 ? ports.delayed_control : ports.control));
  Json const routes = Json::array({route("r-browse", "shop.example", "/browse/", true, "catalogue", 0.8)});
  if (!site.configure(configuration(1, routes, Json::array({service("catalogue", true)})), 20000))
    return cannot(record, "no configuration");
  HoldWatch watch(record, [&] {
    std::lock_guard const guard(mutex);
    return backends;
  });
  if (!await(30000, [&] {
        for (std::shared_ptr<Backend> const& b : backends)
          if (rows_of(b) == 0) return false;
        return true;
      }))
    return cannot(record, "keys were not dealt out");
  Load load(record, site.sides, "GET", "shop.example", "/browse/1", true, 800, 40);
  sleep_ms(6000);
  if (watch.longest_ms() > 0) record.line("held twice before the disruption", true);

  // A planned end: the backend says that it leaves, serves on for the drain time, and ends.
  std::shared_ptr<Backend> const first = backends[0];
  first->quiesce();
  if (!await(now_ms() + 5000, [&] { return first->quiescing_acknowledged(); })) return cannot(record, "no drain");
  record.line("the drain of " + first->id() + " is acknowledged", true);
  sleep_ms(1200);
  path.hold_next(first->id());  // one of its further beats is late
  first->beat_now();
  if (!await(now_ms() + 3000, [&] { return path.held() > 0; })) return cannot(record, "no beat");
  long const end_at = std::max(first->quiescing_acknowledged_at() + drain_ms + 300, path.held_since() + 1010);
  sleep_ms(end_at - now_ms());
  first->stop_beats();
  first->sign_off();
  first->end();

  // The next life on the same machine.
  sleep_ms(200);
  std::shared_ptr<Backend> const second =
      std::make_shared<Backend>(record, runs, site.sides[0], BackendSettings{"i-second-0", "catalogue", true},
                                ports.delayed_control);
  {
    std::lock_guard const guard(mutex);
    backends[0] = second;
  }
  if (!await(now_ms() + 15000, [&] { return rows_of(second) > 0; })) return cannot(record, "no keys for the next life");
  record.line("the next life holds " + std::to_string(rows_of(second)) + " rows", true);
  sleep_ms(50);
  long const struck = now_ms();
  if (trouble()) {
    site.signal("proxy", site.sides[0], SIGKILL);
    sleep_ms(300);
    site.start_proxy(site.sides[0]);
    await(now_ms() + 3000, [&] { return Connection::open(site.sides[0].ip, ports.control, 200) != nullptr; });
  }
  sleep_ms(400);  // the new process has its configuration and the table of keys
  path.release();
  sleep_ms(12000);
  load.stop();
  watch.stop();

  // Requests on the keys at both backends while both held them are in the record; the rule needs none.
  record.line("longest time for which two backends that are up held the same keys: " +
                  std::to_string(watch.longest_ms()) + " ms (allowed 500); disruption at " + std::to_string(struck),
              true);
  record.line("requests served: " + std::to_string(load.served()) + " of " + std::to_string(load.answers().size()),
              true);
  return watch.longest_ms() > 500 ? 1 : 0;
}

// A backend signs off without draining first and serves on; its node is killed and started again and then hears a late
// beat. Rule DRAIN.
int late_beat_after_signing_off(Record& record, std::string const& folder, std::string const& programs) {
  Site site(record, folder, programs, machines_of("orders", 10), 4);
  Runs runs;
  if (!site.start()) return cannot(record, "start");
  BeatPath path(record, site.sides[0]);
  if (!path.is_open()) return cannot(record, "a port is taken");
  std::vector<std::shared_ptr<Backend>> backends;
  for (std::size_t i = 0; i < site.sides.size(); ++i)
    backends.push_back(std::make_shared<Backend>(record, runs, site.sides[i],
                                                 BackendSettings{"i-" + std::to_string(i), "orders", false, 8, 120},
                                                 i == 0 ? ports.delayed_control : ports.control));
  Json const routes = Json::array({route("r-pay", "shop.example", "/pay/", false, "orders", 1)});
  if (!site.configure(configuration(1, routes, Json::array({service("orders", false)})), 20000))
    return cannot(record, "no configuration");
  for (Machine const& m : site.sides)
    if (!site.await_ready(m, 30000)) return cannot(record, "not ready");
  Load load(record, site.sides, "POST", "shop.example", "/pay/1", false, 1000, 20);
  sleep_ms(6000);

  path.hold_next(backends[0]->id());  // its last beat is late
  backends[0]->beat_now();
  if (!await(now_ms() + 3000, [&] { return path.held() > 0; })) return cannot(record, "no beat");
  backends[0]->stop_beats();
  sleep_ms(1010);
  if (!backends[0]->sign_off()) return cannot(record, "the sign-off was not acknowledged");
  long const gone_at = now_ms();
  sleep_ms(100);
  long restarted_at = 0;
  if (trouble()) {
    site.signal("proxy", site.sides[0], SIGKILL);
    sleep_ms(300);
    site.start_proxy(site.sides[0]);
    restarted_at = now_ms();
    await(now_ms() + 3000, [&] { return Connection::open(site.sides[0].ip, ports.control, 200) != nullptr; });
  }
  path.release();
  sleep_ms(gone_at + 5000 - now_ms());
  backends[0]->end();
  sleep_ms(3000);
  load.stop();

  std::size_t late = 0, in_touch = 0, cut = 0;
  for (Run const& r : runs.all()) {
    if (r.instance != "i-0" || !r.ran || r.arrived <= gone_at + drain_ms) continue;
    ++late;
    bool const counts = restarted_at == 0 || r.arrived >= restarted_at + contact_ms;
    in_touch += counts;
    cut += r.ended == 0;
    record.line("late run " + r.attempt + " reached " + r.instance + " " + std::to_string(r.arrived - gone_at) +
                " ms after it was gone" + (counts ? "" : " (its machine was not in touch)"));
  }
  std::size_t failed = 0;
  for (Answer const& a : load.answers()) failed += a.status == 502 || a.status == 504 || a.status == 0;
  record.line("runs more than drainS after the acknowledged sign-off: " + std::to_string(late) +
                  ", with all machines in touch: " + std::to_string(in_touch) + "; cut by its end: " +
                  std::to_string(cut) + "; answers without an outcome: " + std::to_string(failed),
              true);
  record.line("requests served: " + std::to_string(load.served()) + " of " + std::to_string(load.answers().size()),
              true);
  return in_touch > 0 ? 1 : 0;
}

// A backend that is leaving crashes, and its last two beats are late. Rule OWNER.
int late_beats_of_a_crashed_backend(Record& record, std::string const& folder, std::string const& programs) {
  Site site(record, folder, programs, machines_of("catalogue", 8), 4);
  Runs runs;
  if (!site.start()) return cannot(record, "start");
  std::mutex mutex;
  std::vector<std::shared_ptr<Backend>> backends;
  BeatPath path(record, site.sides[0]);
  if (!path.is_open()) return cannot(record, "a port is taken");
  for (std::size_t i = 0; i < site.sides.size(); ++i)
    backends.push_back(std::make_shared<Backend>(record, runs, site.sides[i],
                                                 BackendSettings{"i-first-" + std::to_string(i), "catalogue", true},
                                                 i == 0 ? ports.delayed_control : ports.control));
  Json const routes = Json::array({route("r-browse", "shop.example", "/browse/", true, "catalogue", 0.8)});
  if (!site.configure(configuration(1, routes, Json::array({service("catalogue", true)})), 20000))
    return cannot(record, "no configuration");
  HoldWatch watch(record, [&] {
    std::lock_guard const guard(mutex);
    return backends;
  });
  if (!await(30000, [&] {
        for (std::shared_ptr<Backend> const& b : backends)
          if (rows_of(b) == 0) return false;
        return true;
      }))
    return cannot(record, "keys were not dealt out");
  sleep_ms(6000);

  std::shared_ptr<Backend> const first = backends[0];
  first->quiesce();
  if (!await(now_ms() + 5000, [&] { return first->quiescing_acknowledged() && rows_of(first) == 0; }))
    return cannot(record, "no drain");
  record.line("the drain of " + first->id() + " is acknowledged, and its keys have moved", true);
  path.hold_next(first->id(), 2);
  if (!await(now_ms() + 5000, [&] { return path.held() == 2; })) return cannot(record, "no beats");
  first->stop_beats();
  if (!trouble()) {
    sleep_ms(first->quiescing_acknowledged_at() + drain_ms + 300 - now_ms());
    first->sign_off();
  }
  first->end();

  sleep_ms(100);
  std::shared_ptr<Backend> const second = std::make_shared<Backend>(
      record, runs, site.sides[0], BackendSettings{"i-second-0", "catalogue", true}, ports.delayed_control);
  {
    std::lock_guard const guard(mutex);
    backends[0] = second;
  }
  if (!await(now_ms() + 15000, [&] { return rows_of(second) > 0; })) return cannot(record, "no keys for the next life");
  record.line("the next life holds " + std::to_string(rows_of(second)) + " rows", true);
  sleep_ms(second->last_beat_sent() + 1600 - now_ms());
  path.release();
  sleep_ms(12000);
  watch.stop();
  record.line("longest time for which two backends that are up held the same keys: " +
                  std::to_string(watch.longest_ms()) + " ms (allowed 500)",
              true);
  return watch.longest_ms() > 500 ? 1 : 0;
}

// The store of a seed is killed right after the start of everything and started again. Rule Fault.
int founder_killed_at_its_start(Record& record, std::string const& folder, std::string const& programs) {
  constexpr long kill_after_ms = 4, watched_ms = 60000;
  Site site(record, folder, programs, {"orders", "orders", "orders", "orders"}, 4);
  Runs runs;
  Machine const& struck = site.cores[1];
  if (!site.start_core(struck, true)) return cannot(record, "start");
  if (trouble()) {
    sleep_ms(kill_after_ms);
    site.signal("store", struck, SIGKILL);
  }
  for (Machine const& m : site.cores)
    if (m.id != struck.id && !site.start_core(m, true)) return cannot(record, "start");
  std::vector<std::shared_ptr<Backend>> backends;
  for (std::size_t i = 0; i < site.sides.size(); ++i) {
    if (!site.start_proxy(site.sides[i], true)) return cannot(record, "start");
    backends.push_back(std::make_shared<Backend>(record, runs, site.sides[i],
                                                 BackendSettings{"i-" + std::to_string(i), "orders", false},
                                                 ports.control));
  }
  if (trouble()) {
    sleep_ms(300);
    site.start_store(struck, false);
  }
  Json const routes = Json::array({route("r-pay", "shop.example", "/pay/", false, "orders", 1)});
  long const since = now_ms();
  bool const taken =
      site.configure(configuration(1, routes, Json::array({service("orders", false)})), since + watched_ms - 15000);
  Load load(record, site.sides, "POST", "shop.example", "/pay/1", false, 1000, 200);
  sleep_ms(taken ? 8000 : since + watched_ms - now_ms());
  load.stop();
  bool all_run = true;
  for (Machine const& m : site.cores)
    all_run = all_run && !site.has_ended("store", m) && !site.has_ended("registry", m);
  record.line(std::string("configuration acknowledged: ") + (taken ? "yes" : "never") + "; requests served: " +
                  std::to_string(load.served()) + " of " + std::to_string(load.answers().size()) +
                  "; all processes of the core run: " + (all_run ? "yes" : "no") + "; watched for " +
                  std::to_string(now_ms() - since) + " ms",
              true);
  if (load.answers().empty()) return cannot(record, "no request was sent");
  return !taken && load.served() == 0 ? 1 : 0;
}

// Twelve large answers at once from one backend. The proxy beside it holds more than its machine's memory and is killed
// for that. Rule LOST.
int large_answers(Record& record, std::string const& folder, std::string const& programs) {
  constexpr long memory_kib = 260 * 1024, slots = 12, payers = 12;
  std::size_t const answer_bytes = trouble() ? std::size_t{24} << 20 : 2000;
  Site site(record, folder, programs, {"catalogue", "orders", "orders", "orders"}, 4);
  Runs runs;
  if (!site.start()) return cannot(record, "start");
  std::vector<std::shared_ptr<Backend>> backends;
  for (std::size_t i = 0; i < site.sides.size(); ++i)
    backends.push_back(std::make_shared<Backend>(
        record, runs, site.sides[i],
        BackendSettings{"i-" + std::to_string(i), site.sides[i].service, false, slots, i == 0 ? 100 : 300, 1500,
                        i == 0 ? answer_bytes : 0},
        ports.control));
  Json const routes = Json::array({route("r-browse", "shop.example", "/browse/", true, "catalogue", 3),
                                   route("r-pay", "shop.example", "/pay/", false, "orders", 1)});
  if (!site.configure(configuration(1, routes, Json::array({service("catalogue", false), service("orders", false)})),
                      20000))
    return cannot(record, "no configuration");
  for (Machine const& m : site.sides)
    if (!site.await_ready(m, 30000)) return cannot(record, "not ready");
  sleep_ms(4000);

  // The platform: a process over its memory is killed, and started again.
  Machine const& crowded = site.sides[0];
  std::atomic<bool> stopped = false;
  std::atomic<long> most_kib = 0;
  std::atomic<int> kills = 0;
  std::thread platform([&] {
    while (!stopped) {
      long const now = site.private_kib("proxy", crowded);
      most_kib = std::max<long>(most_kib, now);
      if (now > memory_kib) {
        record.line("the platform: proxy on " + crowded.id + " has " + std::to_string(now) + " KiB of private memory",
                    true);
        site.signal("proxy", crowded, SIGKILL);
        ++kills;
        sleep_ms(300);
        site.start_proxy(crowded);
      }
      sleep_ms(2);
    }
  });

  // The clients of that machine pay, on kept connections.
  std::mutex mutex;
  std::vector<std::string> cut;
  std::atomic<long> paid = 0;
  std::vector<std::thread> clients;
  for (long p = 0; p < payers; ++p)
    clients.emplace_back([&, p] {
      std::unique_ptr<Connection> kept;
      long served_on_it = 0;
      for (long n = 0; !stopped; ++n) {
        if (!kept) {
          kept = Connection::open(crowded.ip, ports.outbound, 1500);
          served_on_it = 0;
          if (!kept) {
            sleep_ms(50);
            continue;
          }
        }
        std::string const attempt = "pay-" + std::to_string(p) + "-" + std::to_string(n);
        bool const sent = kept->write(request_text("POST", "shop.example", "/pay/1", attempt, 1000, "some body"));
        long const at = now_ms();
        std::optional<Message> const r = sent ? kept->read() : std::nullopt;
        record.line("answer " + attempt + " sent " + std::to_string(at) + " status " +
                    (r ? std::to_string(r->status()) : std::string("none, the connection has ended")) +
                    ", answered before on this connection: " + std::to_string(served_on_it));
        if (r && r->status() == 200) ++paid;
        if (r) ++served_on_it;
        if (!r && served_on_it > 0) {
          std::lock_guard const guard(mutex);
          cut.push_back(attempt);
        }
        if (!r || strcasecmp(r->header("Connection").c_str(), "close") == 0) kept.reset();
      }
    });
  sleep_ms(3000);

  std::vector<std::thread> readers;
  std::atomic<int> whole = 0;
  for (long i = 0; i < slots; ++i)
    readers.emplace_back([&, i] {
      Answer const a = request(site.sides[1 + static_cast<std::size_t>(i) % 3], "GET", "shop.example", "/browse/1",
                               "browse-" + std::to_string(i), -1, 3000);
      record.line("answer " + a.attempt + " sent " + std::to_string(a.sent) + " status " + std::to_string(a.status) +
                  " bytes " + std::to_string(a.body.size()));
      whole += a.status == 200;
    });
  for (std::thread& t : readers) t.join();
  sleep_ms(3000);
  stopped = true;
  for (std::thread& t : clients) t.join();
  platform.join();

  std::set<std::string> ran;
  for (Run const& r : runs.all())
    if (r.ran) ran.insert(r.attempt);
  std::size_t lost = 0;
  for (std::string const& attempt : cut) lost += ran.contains(attempt);
  record.line("requests on kept connections that were passed on to a sound backend and got no answer: " +
                  std::to_string(lost) + " (allowed 3); paid: " + std::to_string(paid) + "; kills for memory: " +
                  std::to_string(kills) + "; most private memory: " + std::to_string(most_kib) + " KiB of " +
                  std::to_string(memory_kib) + "; large answers that came whole: " + std::to_string(whole) + " of " +
                  std::to_string(slots),
              true);
  if (paid == 0) return cannot(record, "nothing was paid");
  return lost > 3 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 4) return 2;
  std::string const name = argv[1];
  Record record(argv[2]);
  char folder[] = "/tmp/banktide-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) return 2;
  int outcome = 2;
  if (name == "late-beat-of-a-former-life") outcome = late_beat_of_a_former_life(record, folder, argv[3]);
  if (name == "late-beat-after-signing-off") outcome = late_beat_after_signing_off(record, folder, argv[3]);
  if (name == "late-beats-of-a-crashed-backend") outcome = late_beats_of_a_crashed_backend(record, folder, argv[3]);
  if (name == "founder-killed-at-its-start") outcome = founder_killed_at_its_start(record, folder, argv[3]);
  if (name == "large-answers") outcome = large_answers(record, folder, argv[3]);
  record.line(outcome == 1 ? "the rule is broken" : outcome == 0 ? "the rule holds" : "the case could not run", true);
  if (getenv("KEEP") == nullptr) std::filesystem::remove_all(folder);
  else fprintf(stderr, "%s\n", folder);
  fflush(nullptr);
  _exit(outcome);  // threads of stand-ins may still wait for something
}
