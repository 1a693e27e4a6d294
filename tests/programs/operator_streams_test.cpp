// Operators' streams of decisions, changes and verdicts, on a simulated fleet.
#include "programs/operator_streams.hpp"

#include "simulation/sim_fleet.hpp"

#include <gtest/gtest.h>

namespace banktide {
namespace {

// A reader that is full after a given number of lines.
struct SlowReader {
  std::vector<std::string> lines;
  std::size_t room = static_cast<std::size_t>(-1);
  bool gone = false;
  bool write(std::string const& s) {
    if (gone) return false;
    lines.push_back(s);
    return true;
  }
  bool full() const { return lines.size() >= room; }
};

struct ScriptedLines {
  SimProcess& p;
  std::vector<std::pair<Duration, std::string>> script;
  std::size_t at = 0;
  Task<std::optional<std::string>> next() {
    if (at == script.size()) co_return std::nullopt;
    co_await sleep_for(p, script[at].first);
    co_return script[at++].second;
  }
};

class StreamTrial : public SimTraffic {
 public:
  StreamTrial() : SimTraffic(Scenario{}) {
    start_ = sim_.now;
    build();
    sim_.run_until(start_ + 6s);
    put(0, Register::routing, deployment_.routing);
    sim_.run_until(sim_.now + 1s);
    put(1, Register::catalogue, deployment_.catalogue);
    sim_.run_until(sim_.now + 3s);
    traffic_enabled_ = true;
    for (std::string const& m : deployment_.mix) schedule_calls(m);
    streams = std::make_unique<OperatorStreams<SimProcess>>(*registry_hosts_[2].registry);
  }
  void run(Duration const d) { sim_.run_until(sim_.now + d); }
  SimProcess& process() { return *registry_hosts_[2].process; }
  void watch(std::string const& target, SlowReader& out) {
    spawn(process(), [](OperatorStreams<SimProcess>& s, std::string t, SlowReader& o) -> Task<void> {
      HttpRequest const q{"GET", t, {}, ""};
      std::optional<HttpReply> const no = co_await s.decisions(q, o);
      if (no) o.lines.push_back("status " + std::to_string(no->status));
    }(*streams, target, out));
  }
  void watch_verdicts(std::string const& target, SlowReader& out) {
    spawn(process(), [](OperatorStreams<SimProcess>& s, std::string t, SlowReader& o) -> Task<void> {
      HttpRequest const q{"GET", t, {}, ""};
      co_await s.verdicts(q, o);
      o.lines.push_back("over");
    }(*streams, target, out));
  }
  void send(std::vector<std::pair<Duration, std::string>> script, HttpReply& reply) {
    spawn(process(),
          [](OperatorStreams<SimProcess>& s, SimProcess& p, std::vector<std::pair<Duration, std::string>> lines,
             HttpReply& r) -> Task<void> {
            ScriptedLines in{p, std::move(lines)};
            HttpRequest const q{"POST", "/changes?stream=op", {}, ""};
            r = co_await s.changes(q, in);
          }(*streams, process(), std::move(script), reply));
  }
  void restart(std::size_t const node) {
    nodes_[node].process->kill();
    run(100ms);
    start_node(node);
  }
  std::uint64_t calls() const { return calls_; }
  std::unique_ptr<OperatorStreams<SimProcess>> streams;
};

TEST(OperatorStreams, decisions_of_every_zone_are_sent_once_and_resume_from_a_position) {
  StreamTrial t;
  SlowReader first, second, dropped;
  t.watch("/decisions", first);
  t.watch("/decisions?decision=drop", dropped);
  t.run(5s);
  first.gone = true;
  t.run(1s);
  std::map<std::pair<std::string, std::uint64_t>, int> seen;
  std::set<std::string> zones;
  std::string after;
  auto const read = [&](SlowReader const& sink) {
    for (std::string const& line : sink.lines) {
      Json const j = Json::parse(line);
      EXPECT_FALSE(j.contains("gap")) << line;
      if (j.contains("pulse"))
        after = j["after"];
      else
        ++seen[{j["node"], j["n"]}], zones.insert(j["cell"].get<std::string>());
    }
  };
  read(first);
  EXPECT_GT(seen.size(), 250u);
  EXPECT_EQ(zones.size(), 4u);
  std::size_t const lines_after_pulse = seen.size();
  seen.clear();
  t.watch("/decisions?after=" + after, second);
  t.run(5s);
  read(second);
  for (auto const& [event, n] : seen) EXPECT_EQ(n, 1) << event.first << " " << event.second;
  EXPECT_GT(seen.size(), lines_after_pulse);
  for (std::string const& line : dropped.lines)
    EXPECT_TRUE(Json::parse(line).contains("pulse") || Json::parse(line)["decision"] == "drop") << line;
  SlowReader bad;
  t.watch("/decisions?after=node-1", bad);
  t.watch("/decisions?decision=perhaps", bad);
  t.run(1s);
  EXPECT_EQ(bad.lines, (std::vector<std::string>{"status 400", "status 400"}));
}

TEST(OperatorStreams, a_slow_reader_gets_no_more_lines_and_is_told_of_gaps_and_restarts) {
  StreamTrial t;
  SlowReader slow;
  t.watch("/decisions", slow);
  t.run(3s);
  slow.room = slow.lines.size();
  t.run(1s);  // answers to requests in flight are still written
  std::size_t const held = slow.lines.size();
  t.run(150s);
  EXPECT_EQ(slow.lines.size(), held);
  t.restart(3);
  t.run(5s);
  slow.room = static_cast<std::size_t>(-1);
  t.run(60s);
  std::size_t lost = 0, again = 0;
  for (std::string const& line : slow.lines) {
    Json const j = Json::parse(line);
    if (!j.contains("gap")) continue;
    if (j.contains("lost"))
      ++lost;
    else
      again += j["node"] == "node-3";
  }
  EXPECT_GE(lost, 1u);
  EXPECT_EQ(again, 1u);
}

TEST(OperatorStreams, each_change_gets_its_verdict_in_order_as_soon_as_it_is_known) {
  StreamTrial t;
  SlowReader verdicts;
  HttpReply reply;
  t.watch_verdicts("/verdicts?stream=op", verdicts);
  t.send({{100ms, R"({"change":"move","service":"deliveries","slices":[0,7],"to":"jnb-2","request":"m1"})"},
          {1s, "not json"},
          {100ms, R"({"change":"move","service":"deliveries","slices":[0,77],"to":"jnb-2"})"},
          {100ms, R"({"change":"move","service":"deliveries","slices":[0,7],"to":"jnb-2","request":"m1"})"},
          {100ms, R"({"put":"catalogue","bytes":"{\"cells\":{}}","if_match":99})"},
          {100ms, R"({"change":"close","service":"orders"})"},
          {1s, R"({"put":"catalogue","bytes":" {\"cells\" : {}} "})"}},
         reply);
  t.run(900ms);
  ASSERT_EQ(verdicts.lines.size(), 1u);
  EXPECT_EQ(Json::parse(verdicts.lines[0])["verdict"], "acknowledged");
  t.run(5s);
  std::vector<std::pair<std::string, std::string>> said;
  for (std::string const& line : verdicts.lines) {
    Json const j = Json::parse(line, nullptr, false);
    if (j.is_object() && j.contains("verdict"))
      said.emplace_back(j["verdict"], j.value("step", std::to_string(j.value("revision", 0))));
  }
  EXPECT_EQ(said, (std::vector<std::pair<std::string, std::string>>{{"acknowledged", "2"},
                                                                    {"refused", "parse_json"},
                                                                    {"refused", "check_references"},
                                                                    {"acknowledged", "2"},
                                                                    {"refused", "check_if_match"},
                                                                    {"acknowledged", "3"},
                                                                    {"acknowledged", "4"}}));
  EXPECT_EQ(verdicts.lines.back(), "over");
  EXPECT_EQ(Json::parse(reply.body)["lines"], 7);
}

}  // namespace
}  // namespace banktide
