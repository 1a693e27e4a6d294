// Operators' streams at a registry. Changes come in as lines of JSON over one
// request, each taken up as it arrives; their verdicts go out, in order, over
// another, as the library answers a request only once its body is over.
// Decisions of the whole fleet go out line by line, from where a reader left
// off. A slow reader costs nobody anything: it is given no more than it takes,
// what it then misses is told as a gap, and the journals stay as long as ever.
#pragma once

#include "programs/registry.hpp"

namespace banktide {

// Lines of a request's body as they arrive; none when it is over.
template <class L>
concept LineSource = requires(L& in) {
  { in.next() } -> std::same_as<Task<std::optional<std::string>>>;
};

// Lines to a reader: `write` says no when the reader is gone; `full` that it is
// slower than what is written.
template <class L>
concept LineSink = requires(L& out, std::string s) {
  { out.write(s) } -> std::same_as<bool>;
  { out.full() } -> std::same_as<bool>;
};

inline std::map<std::string, std::string> query_of(std::string const& target) {
  std::map<std::string, std::string> out;
  std::size_t const mark = target.find('?');
  if (mark == std::string::npos) return out;
  std::stringstream in(target.substr(mark + 1));
  for (std::string pair; std::getline(in, pair, '&');) {
    std::string plain;
    for (std::size_t i = 0; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size() && std::isxdigit(static_cast<unsigned char>(pair[i + 1])) &&
          std::isxdigit(static_cast<unsigned char>(pair[i + 2]))) {
        plain += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        plain += pair[i];
      }
    }
    std::size_t const at = plain.find('=');
    out[plain.substr(0, at)] = at == std::string::npos ? "" : plain.substr(at + 1);
  }
  return out;
}

// Where a reader is, in one word that it can come back with.
inline std::string word_of(Positions const& positions) {
  std::string out;
  for (auto const& [node, p] : positions)
    out += (out.empty() ? "" : ",") + node + ":" + std::to_string(p.epoch) + ":" + std::to_string(p.seq);
  return out;
}
inline Result<Positions> positions_of(std::string const& word) {
  Positions out;
  std::stringstream in(word);
  for (std::string part; std::getline(in, part, ',');) {
    std::size_t const a = part.find(':'), b = part.rfind(':');
    std::string const life = a == b ? "" : part.substr(a + 1, b - a - 1),
                      seq = b == std::string::npos ? "" : part.substr(b + 1);
    auto const number = [](std::string const& s) {
      return !s.empty() && s.size() <= 20 && s.find_first_not_of("0123456789") == std::string::npos;
    };
    if (!number(life) || !number(seq) || out.size() > 1000)
      return mishap("read_position", part.substr(0, 40), "a position is node:life:number, several with commas",
                    Proof::not_run);
    out[part.substr(0, a)] =
        Position{std::strtoull(life.c_str(), nullptr, 10), std::strtoull(seq.c_str(), nullptr, 10)};
  }
  return out;
}

inline Json event_json(CallEvent const& e) {
  Json j = {{"node", e.node},         {"n", e.n},
            {"at_ms", e.at_ms},       {"call", e.call},
            {"decision", e.decision}, {"service", e.service},
            {"cell", e.cell},         {"reason", e.reason},
            {"step", e.step},         {"peer", e.peer},
            {"routing", e.routing},   {"catalogue", e.catalogue}};
  if (e.keyed) j["slice"] = e.slice;
  return j;
}

template <Surroundings W>
class OperatorStreams {
 public:
  explicit OperatorStreams(Registry<W>& r) : registry_(r), w_(r.world()) {}

  static constexpr std::size_t most_streams = 64, most_readers = 32, line_limit = 2 * layout_limit;

  // POST /changes?stream=NAME
  template <LineSource In>
  Task<HttpReply> changes(HttpRequest q, In& in) {
    std::string const name =
        query_of(q.target)["stream"].empty() ? "auto-" + std::to_string(w_.chance()()) : query_of(q.target)["stream"];
    std::shared_ptr<Stream> const s = stream(name);
    if (!s) co_return busy("too many streams");
    if (s->sending) co_return json_reply(409, {{"error", "this stream has a sender already"}, {"step", "open_stream"}});
    s->sending = true;
    std::map<std::string, std::uint64_t> counted;
    while (!registry_.leaving()) {
      std::optional<std::string> const line = co_await in.next();
      if (!line) break;
      if (line->find_first_not_of(" \t\r") == std::string::npos) continue;
      Result<Proposal> p = read_change(*line);
      Verdict v;
      if (p) {
        v = co_await registry_.propose(std::move(*p));
      } else {
        v.word = "refused";
        v.mishap = p.error();
      }
      ++counted[v.word];
      Json j = v.json();
      j["line"] = s->verdicts.last() + 1;
      s->verdicts.append(j.dump());
    }
    s->sending = false;
    s->ended = true;
    co_return json_reply(200, {{"stream", name}, {"lines", s->verdicts.last()}, {"verdicts", counted}});
  }

  // GET /verdicts?stream=NAME&after=LINE
  template <LineSink Out>
  Task<std::optional<HttpReply>> verdicts(HttpRequest q, Out& out) {
    std::map<std::string, std::string> query = query_of(q.target);
    std::string const after = query["after"].empty() ? "0" : query["after"];
    if (query["stream"].empty()) co_return json_reply(400, {{"error", "name the stream"}, {"step", "open_stream"}});
    if (after.size() > 18 || after.find_first_not_of("0123456789") != std::string::npos)
      co_return json_reply(400, {{"error", "after must be a line's number"}, {"step", "open_stream"}});
    std::shared_ptr<Stream> const s = stream(query["stream"]);
    if (!s || *readers_ >= most_readers) co_return busy("too many streams or readers");
    Reader const reader(readers_);
    std::uint64_t at = std::min<std::uint64_t>(std::stoull(after), s->verdicts.last());
    Instant told = w_.now();
    while (!registry_.leaving()) {
      if (!out.full()) {
        std::optional<std::vector<std::string>> const lines = s->verdicts.since(at, 100);
        if (!lines) {
          if (!out.write(Json{{"gap", true}, {"lost", s->verdicts.trimmed() - at}}.dump())) break;
          at = s->verdicts.trimmed();
          continue;
        }
        bool open = true;
        for (std::string const& line : *lines) open = open && out.write(line);
        at += lines->size();
        if (!lines->empty()) told = w_.now();
        if (!open || (s->ended && !s->sending && at == s->verdicts.last())) break;
        if (!lines->empty()) continue;
        if (w_.now() - told > 1s) {
          told = w_.now();
          if (!out.write(Json{{"pulse", true}, {"after", at}}.dump())) break;
        }
      }
      co_await sleep_for(w_, 30ms);
    }
    co_return std::nullopt;
  }

  // GET /decisions?service=&decision=&cell=&after=WORD
  template <LineSink Out>
  Task<std::optional<HttpReply>> decisions(HttpRequest q, Out& out) {
    std::map<std::string, std::string> query = query_of(q.target);
    for (auto const& [name, value] : query)
      if (name != "service" && name != "decision" && name != "cell" && name != "after")
        co_return json_reply(400, {{"error", "no such filter: " + name}, {"step", "open_stream"}});
    Result<Positions> at = positions_of(query["after"]);
    if (!at)
      co_return json_reply(400, {{"error", at.error().reason}, {"step", at.error().step}, {"peer", at.error().peer}});
    std::string const& decision = query["decision"];
    if (!decision.empty() && decision != "stay" && decision != "cross" && decision != "drop")
      co_return json_reply(400, {{"error", "decision is stay, cross or drop"}, {"step", "open_stream"}});
    if (*readers_ >= most_readers) co_return busy("too many readers");
    Reader const reader(readers_);
    DecisionsAsk question{*at, at->empty(), DecisionFilter{query["service"], decision, query["cell"]}, 60};
    Instant told{};
    while (!registry_.leaving()) {
      if (!out.full()) {
        DecisionsReply const reply = co_await gather(question);
        for (auto const& [node, p] : reply.next) question.after[node] = p;
        if (!reply.next.empty()) question.from_now = false;
        bool open = true;
        for (Gap const& g : reply.gaps) {
          Json j = {{"gap", true}, {"node", g.node}};
          if (g.lost > 0)
            j["lost"] = g.lost;
          else
            j["reason"] = "the node has started again; what it had not told is gone";
          open = open && out.write(j.dump());
        }
        for (CallEvent const& e : reply.events)
          if (e.state != "answered") open = open && out.write(event_json(e).dump());
        if (open && w_.now() - told >= 1s) {
          told = w_.now();
          open = out.write(Json{{"pulse", true}, {"after", word_of(question.after)}}.dump());
        }
        if (!open) break;
      }
      co_await sleep_for(w_, 100ms);
    }
    co_return std::nullopt;
  }

 private:
  struct Stream {
    Journal<std::string> verdicts{1024};
    bool sending = false, ended = false;
    std::uint64_t used = 0;
  };
  struct Reader {
    explicit Reader(std::shared_ptr<std::size_t> n) : n_(std::move(n)) { ++*n_; }
    Reader(Reader const&) = delete;
    ~Reader() { --*n_; }
    std::shared_ptr<std::size_t> const n_;
  };

  static HttpReply busy(std::string const& why) {
    HttpReply reply = json_reply(503, {{"error", why}, {"step", "open_stream"}});
    reply.headers.push_back({"Retry-After", "1"});
    return reply;
  }

  // The named stream; the one unused for longest makes room.
  std::shared_ptr<Stream> stream(std::string const& name) {
    if (!streams_.contains(name) && streams_.size() >= most_streams) {
      auto oldest = streams_.end();
      for (auto it = streams_.begin(); it != streams_.end(); ++it)
        if (!it->second->sending && it->second.use_count() == 1 &&
            (oldest == streams_.end() || it->second->used < oldest->second->used))
          oldest = it;
      if (oldest == streams_.end()) return nullptr;
      streams_.erase(oldest);
    }
    std::shared_ptr<Stream>& s = streams_[name];
    if (!s) s = std::make_shared<Stream>();
    s->used = ++uses_;
    return s;
  }

  static constexpr char const* whole_schema = R"({
    "type": "object", "additionalProperties": false, "required": ["put", "bytes"],
    "properties": {
      "put": {"type": "string", "enum": ["routing", "catalogue"]}, "bytes": {"type": "string"},
      "request": {"type": "string", "maxLength": 128}, "if_match": {"type": "integer", "minimum": 0}}})";

  static Result<Proposal> read_change(std::string const& line) {
    Result<Json> j = parse_json(line, line_limit);
    if (!j) return tl::unexpected<Mishap>(j.error());
    if (!j->is_object()) return mishap("check_schema", "", "a change is an object", Proof::not_run);
    Proposal p;
    if (j->contains("put")) {
      Result<bool> const fits = check_schema(*j, whole_schema);
      if (!fits) return tl::unexpected<Mishap>(fits.error());
      p.reg = (*j)["put"] == "routing" ? Register::routing : Register::catalogue;
      p.bytes = (*j)["bytes"];
    } else {
      p.reg = Register::catalogue;
    }
    if (j->contains("if_match") && (*j)["if_match"].is_number_unsigned())
      p.match = std::to_string((*j)["if_match"].get<Revision>());
    if (j->contains("request") && (*j)["request"].is_string()) p.request = (*j)["request"];
    if (!j->contains("put")) {
      p.change = *j;
      p.change->erase("if_match");
      p.change->erase("request");
      Result<bool> const fits = check_schema(*p.change, catalogue_change_schema);
      if (!fits) return tl::unexpected<Mishap>(fits.error());
    }
    return p;
  }

  Task<DecisionsReply> gather(DecisionsAsk q) {
    std::vector<Address> others;
    for (RegistryEntry const& e : registry_.directory())
      if (e.address != registry_.address()) others.push_back(e.address);
    auto replies = co_await ask_all<DecisionsAsk>(w_, others, q, w_.now() + 500ms, [](auto const&) { return false; });
    DecisionsReply all = co_await registry_.decisions(q);
    for (auto& [i, r] : replies)
      if (r) Registry<W>::merge(all, std::move(*r));
    co_return all;
  }

  Registry<W>& registry_;
  W& w_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  std::shared_ptr<std::size_t> const readers_ = std::make_shared<std::size_t>(0);  // a reader may outlive this
  std::uint64_t uses_ = 0;
};

}  // namespace banktide

#ifdef TESTS_OF_OPERATOR_STREAMS
#include "simulation/sim_fleet.hpp"

namespace banktide {

// A reader that takes as many lines as it is told to.
struct SlowSink {
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

struct ScriptSource {
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
    put(0, Register::routing, d_.routing);
    sim_.run_until(sim_.now + 1s);
    put(1, Register::catalogue, d_.catalogue);
    sim_.run_until(sim_.now + 3s);
    calling_ = true;
    for (std::string const& m : d_.mix) keep_calling(m);
    streams = std::make_unique<OperatorStreams<SimProcess>>(*controls_[2].registry);
  }
  void run(Duration const d) { sim_.run_until(sim_.now + d); }
  SimProcess& process() { return *controls_[2].process; }
  void watch(std::string const& target, SlowSink& out) {
    spawn(process(), [](OperatorStreams<SimProcess>& s, std::string t, SlowSink& o) -> Task<void> {
      HttpRequest const q{"GET", t, {}, ""};
      std::optional<HttpReply> const no = co_await s.decisions(q, o);
      if (no) o.lines.push_back("status " + std::to_string(no->status));
    }(*streams, target, out));
  }
  void watch_verdicts(std::string const& target, SlowSink& out) {
    spawn(process(), [](OperatorStreams<SimProcess>& s, std::string t, SlowSink& o) -> Task<void> {
      HttpRequest const q{"GET", t, {}, ""};
      co_await s.verdicts(q, o);
      o.lines.push_back("over");
    }(*streams, target, out));
  }
  void send(std::vector<std::pair<Duration, std::string>> script, HttpReply& reply) {
    spawn(process(),
          [](OperatorStreams<SimProcess>& s, SimProcess& p, std::vector<std::pair<Duration, std::string>> lines,
             HttpReply& r) -> Task<void> {
            ScriptSource in{p, std::move(lines)};
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

TEST(OperatorStreams, decisions_of_every_cell_come_once_and_go_on_from_a_position) {
  StreamTrial t;
  SlowSink first, second, dropped;
  t.watch("/decisions", first);
  t.watch("/decisions?decision=drop", dropped);
  t.run(5s);
  first.gone = true;
  t.run(1s);
  std::map<std::pair<std::string, std::uint64_t>, int> seen;
  std::set<std::string> cells;
  std::string after;
  auto const read = [&](SlowSink const& sink) {
    for (std::string const& line : sink.lines) {
      Json const j = Json::parse(line);
      EXPECT_FALSE(j.contains("gap")) << line;
      if (j.contains("pulse"))
        after = j["after"];
      else
        ++seen[{j["node"], j["n"]}], cells.insert(j["cell"].get<std::string>());
    }
  };
  read(first);
  EXPECT_GT(seen.size(), 250u);
  EXPECT_EQ(cells.size(), 4u);
  std::size_t const lines_after_pulse = seen.size();
  seen.clear();
  t.watch("/decisions?after=" + after, second);
  t.run(5s);
  read(second);
  for (auto const& [event, n] : seen) EXPECT_EQ(n, 1) << event.first << " " << event.second;
  EXPECT_GT(seen.size(), lines_after_pulse);
  for (std::string const& line : dropped.lines)
    EXPECT_TRUE(Json::parse(line).contains("pulse") || Json::parse(line)["decision"] == "drop") << line;
  SlowSink bad;
  t.watch("/decisions?after=node-1", bad);
  t.watch("/decisions?decision=perhaps", bad);
  t.run(1s);
  EXPECT_EQ(bad.lines, (std::vector<std::string>{"status 400", "status 400"}));
}

TEST(OperatorStreams, a_slow_reader_is_given_no_more_and_told_of_the_gap_and_a_restart) {
  StreamTrial t;
  SlowSink slow;
  t.watch("/decisions", slow);
  t.run(3s);
  slow.room = slow.lines.size();
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

TEST(OperatorStreams, each_change_gets_its_verdict_in_order_as_it_falls) {
  StreamTrial t;
  SlowSink verdicts;
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

}  // namespace banktide
#endif
