// banktide-caller: a caller for tests. It sends a mix of calls at fixed rates to a
// list of nodes and writes one line per answer to its record. It doesn't judge
// whether the mesh was right; the report does.
#include "programs/process.hpp"
#include "transport/http_edge.hpp"

using namespace banktide;

namespace {

struct MixEntry {
  std::string name, method, path;
  std::uint64_t rate = 0;
  std::uint64_t keys = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Settings settings("banktide-caller");
  settings.list("node", "ip:port of a node's caller door; repeat");
  settings.list("mix", "name:METHOD:path:calls a second:keys (0: not keyed); repeat");
  settings.text("record", "", "file for the record of answers");
  settings.number("seconds", 10, 1, 86400, "how long to call");
  settings.number("seed", 1, 0, UINT64_MAX, "seed of keys and nodes");
  settings.require_addresses("node", 1);
  if (std::optional<int> const code = settings.read(argc, argv)) return *code;
  start_logging(settings.text("log-level"), "banktide-caller", "caller");
  std::vector<MixEntry> mix;
  for (std::string const& m : settings.list("mix")) {
    std::vector<std::string> parts;
    std::stringstream in(m);
    for (std::string p; std::getline(in, p, ':');) parts.push_back(p);
    if (parts.size() != 5) {
      std::cerr << "banktide-caller: settings: mix: " << m << " has not five parts\n";
      return 2;
    }
    mix.push_back(MixEntry{parts[0], parts[1], parts[2], std::stoull(parts[3]), std::stoull(parts[4])});
  }
  Process process;
  SocketEnvironment env;
  std::ofstream record(settings.text("record"), std::ios::app);
  std::vector<std::string> const nodes = settings.list("node");
  std::mt19937_64 chance(settings.number("seed"));
  HttpClient<SocketEnvironment> caller(env);
  std::uint64_t last = 0, in_flight = 0;
  bool ended = false;
  Instant const start = env.now(), end = start + std::chrono::seconds(settings.number("seconds"));
  auto const send_call = [&](MixEntry const line, std::string const id, std::string const node,
                             std::string const key) -> Task<void> {
    ++in_flight;
    std::string const body = line.method == "POST" ? "{\"id\":\"" + id + "\"}" : "";
    HttpRequest q{line.method, line.path + "/" + id, {{"call-id", id}}, body};
    if (!body.empty()) q.headers.push_back({"Content-Type", "application/json"});
    if (line.keys > 0) q.headers.push_back({"x-key", key});
    Instant const from = env.now();
    Result<HttpReply> const r = co_await caller.run_at(node, q, from + 4s);
    std::string outcome = r                                   ? "none"
                          : r.error().proof == Proof::not_run ? "unsent"
                                                              : "lost",
                reason = r ? "" : r.error().reason;
    bool retry_after = false, correct = false;
    if (r) {
      for (Header const& h : r->headers) {
        if (h.name == "banktide-outcome") outcome = h.value;
        if (h.name == "Retry-After") retry_after = true;
      }
      if (r->status == 200) {
        Json const j = Json::parse(r->body, nullptr, false);
        correct = j.is_object() && j.value("call", "") == id && j.value("target", "") == q.target &&
                  j.value("digest", "") == std::to_string(digest_of(body));
      } else {
        Json const j = Json::parse(r->body, nullptr, false);
        if (j.is_object()) reason = j.value("step", "") + "/" + j.value("peer", "") + "/" + j.value("error", "");
      }
    }
    for (char& c : reason)
      if (c == ' ' || c == '\n') c = '_';
    record << as_ms(from.time_since_epoch()) << " " << id << " " << line.name << " " << line.method << " "
           << (key.empty() ? "-" : key) << " " << (r ? r->status : 0) << " " << outcome << " "
           << (correct ? "right" : "-") << " " << (retry_after ? "retry-after" : "-") << " "
           << std::chrono::duration_cast<std::chrono::microseconds>(env.now() - from).count() << " " << node << " "
           << (reason.empty() ? "-" : reason) << "\n";
    --in_flight;
  };
  auto const call_loop = [&](MixEntry const l) -> Task<void> {
    Duration const gap = std::chrono::nanoseconds(1000000000ull / std::max<std::uint64_t>(l.rate, 1));
    typename SocketEnvironment::Alarm alarm(env);
    for (Instant next = start + std::chrono::nanoseconds(chance() % static_cast<std::uint64_t>(gap.count()));
         next < end; next += gap) {
      co_await alarm.wait(next);
      std::string const id = l.name + "-" + std::to_string(settings.number("seed")) + "-" + std::to_string(++last);
      std::string const key = l.keys > 0 ? "k" + std::to_string(chance() % l.keys) : "";
      spawn(env, send_call(l, id, nodes[chance() % nodes.size()], key));
    }
    ended = true;
  };
  process.run_on_thread([&]() {
    for (MixEntry const& line : mix) spawn(env, call_loop(line));
    return true;
  });
  bool done = false;
  while (!done) {
    std::this_thread::sleep_for(50ms);
    done = process.run_on_thread([&]() { return ended && env.now() > end && in_flight == 0; });
  }
  record.flush();
  std::_Exit(record.good() ? 0 : 1);
}
