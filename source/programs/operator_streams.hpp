// Operators' streams at a registry. Changes arrive as JSON lines of one request
// body and are processed one by one; their verdicts are sent, in order, over a
// second request, because the HTTP library answers a request only after its body
// has ended. Routing decisions of the whole fleet are sent line by line, from the
// position where the reader left off. A slow reader uses no extra memory: lines
// are written only as fast as it reads, the lines that it misses are reported as a
// gap, and the journals have a fixed size.
#pragma once

#include "programs/registry.hpp"

namespace banktide {

// Returns the lines of a request body as they arrive; nothing at the end of the body.
template <class L>
concept LineSource = requires(L& in) {
  { in.next() } -> std::same_as<Task<std::optional<std::string>>>;
};

// Writes lines to a reader: `write` returns false when the reader has disconnected;
// `full` returns true while the reader is slower than the writer.
template <class L>
concept LineSink = requires(L& out, std::string s) {
  { out.write(s) } -> std::same_as<bool>;
  { out.full() } -> std::same_as<bool>;
};

inline std::map<std::string, std::string> parse_query(std::string const& target) {
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

// The reader's position as one word, with which it can resume.
inline std::string format_positions(Positions const& positions) {
  std::string out;
  for (auto const& [node, p] : positions)
    out += (out.empty() ? "" : ",") + node + ":" + std::to_string(p.epoch) + ":" + std::to_string(p.seq);
  return out;
}
inline Result<Positions> parse_positions(std::string const& text) {
  Positions out;
  std::stringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    std::size_t const a = part.find(':'), b = part.rfind(':');
    std::string const incarnation = a == b ? "" : part.substr(a + 1, b - a - 1),
                      seq = b == std::string::npos ? "" : part.substr(b + 1);
    auto const number = [](std::string const& s) {
      return !s.empty() && s.size() <= 20 && s.find_first_not_of("0123456789") == std::string::npos;
    };
    if (!number(incarnation) || !number(seq) || out.size() > 1000)
      return make_error("read_position", part.substr(0, 40),
                        "a position is node:incarnation:number, several are separated by commas", Proof::not_run);
    out[part.substr(0, a)] =
        Position{std::strtoull(incarnation.c_str(), nullptr, 10), std::strtoull(seq.c_str(), nullptr, 10)};
  }
  return out;
}

inline Json event_json(CallEvent const& e) {
  Json j = {{"node", e.node},         {"n", e.number},        {"at_ms", e.at_ms},     {"call", e.call},
            {"decision", e.decision}, {"service", e.service}, {"cell", e.zone},       {"reason", e.reason},
            {"step", e.step},         {"peer", e.peer},       {"routing", e.routing}, {"catalogue", e.catalogue}};
  if (e.keyed) j["slice"] = e.slice;
  return j;
}

template <Environment Env>
class OperatorStreams {
 public:
  explicit OperatorStreams(Registry<Env>& r) : registry_(r), env_(r.environment()) {}

  static constexpr std::size_t max_streams = 64, max_readers = 32, line_limit = 2 * default_json_limit;

  // POST /changes?stream=NAME
  template <LineSource In>
  Task<HttpReply> changes(HttpRequest q, In& in) {
    std::string const name = parse_query(q.target)["stream"].empty() ? "auto-" + std::to_string(env_.chance()())
                                                                     : parse_query(q.target)["stream"];
    std::shared_ptr<Stream> const s = stream(name);
    if (!s) co_return busy("too many streams");
    if (s->sending) co_return json_reply(409, {{"error", "this stream has a sender already"}, {"step", "open_stream"}});
    s->sending = true;
    std::map<std::string, std::uint64_t> verdict_counts;
    while (!registry_.leaving()) {
      std::optional<std::string> const line = co_await in.next();
      if (!line) break;
      if (line->find_first_not_of(" \t\r") == std::string::npos) continue;
      Result<Proposal> p = read_change(*line);
      Verdict v;
      if (p) {
        v = co_await registry_.propose(std::move(*p));
      } else {
        v.outcome = "refused";
        v.error = p.error();
      }
      ++verdict_counts[v.outcome];
      Json j = v.json();
      j["line"] = s->verdicts.last() + 1;
      s->verdicts.append(j.dump());
    }
    s->sending = false;
    s->ended = true;
    co_return json_reply(200, {{"stream", name}, {"lines", s->verdicts.last()}, {"verdicts", verdict_counts}});
  }

  // GET /verdicts?stream=NAME&after=LINE
  template <LineSink Out>
  Task<std::optional<HttpReply>> verdicts(HttpRequest q, Out& out) {
    std::map<std::string, std::string> query = parse_query(q.target);
    std::string const after = query["after"].empty() ? "0" : query["after"];
    if (query["stream"].empty()) co_return json_reply(400, {{"error", "name the stream"}, {"step", "open_stream"}});
    if (after.size() > 18 || after.find_first_not_of("0123456789") != std::string::npos)
      co_return json_reply(400, {{"error", "after must be a line's number"}, {"step", "open_stream"}});
    std::shared_ptr<Stream> const s = stream(query["stream"]);
    if (!s || *readers_ >= max_readers) co_return busy("too many streams or readers");
    Reader const reader(readers_);
    std::uint64_t at = std::min<std::uint64_t>(std::stoull(after), s->verdicts.last());
    Instant last_write_at = env_.now();
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
        if (!lines->empty()) last_write_at = env_.now();
        if (!open || (s->ended && !s->sending && at == s->verdicts.last())) break;
        if (!lines->empty()) continue;
        if (env_.now() - last_write_at > 1s) {
          last_write_at = env_.now();
          if (!out.write(Json{{"pulse", true}, {"after", at}}.dump())) break;
        }
      }
      co_await sleep_for(env_, 30ms);
    }
    co_return std::nullopt;
  }

  // GET /decisions?service=&decision=&cell=&after=WORD
  template <LineSink Out>
  Task<std::optional<HttpReply>> decisions(HttpRequest q, Out& out) {
    std::map<std::string, std::string> query = parse_query(q.target);
    for (auto const& [name, value] : query)
      if (name != "service" && name != "decision" && name != "cell" && name != "after")
        co_return json_reply(400, {{"error", "no such filter: " + name}, {"step", "open_stream"}});
    Result<Positions> at = parse_positions(query["after"]);
    if (!at)
      co_return json_reply(400, {{"error", at.error().reason}, {"step", at.error().step}, {"peer", at.error().peer}});
    std::string const& decision = query["decision"];
    if (!decision.empty() && decision != "stay" && decision != "cross" && decision != "drop")
      co_return json_reply(400, {{"error", "decision is stay, cross or drop"}, {"step", "open_stream"}});
    if (*readers_ >= max_readers) co_return busy("too many readers");
    Reader const reader(readers_);
    DecisionsRequest request{*at, at->empty(), DecisionFilter{query["service"], decision, query["cell"]}, 60};
    Instant last_write_at{};
    while (!registry_.leaving()) {
      if (!out.full()) {
        DecisionsReply const reply = co_await collect_decisions(request);
        for (auto const& [node, p] : reply.next) request.after[node] = p;
        if (!reply.next.empty()) request.from_now = false;
        bool open = true;
        for (Gap const& g : reply.gaps) {
          Json j = {{"gap", true}, {"node", g.node}};
          if (g.lost > 0)
            j["lost"] = g.lost;
          else
            j["reason"] = "the node has restarted; decisions that it had not sent yet are lost";
          open = open && out.write(j.dump());
        }
        for (CallEvent const& e : reply.events)
          if (e.state != "answered") open = open && out.write(event_json(e).dump());
        if (open && env_.now() - last_write_at >= 1s) {
          last_write_at = env_.now();
          open = out.write(Json{{"pulse", true}, {"after", format_positions(request.after)}}.dump());
        }
        if (!open) break;
      }
      co_await sleep_for(env_, 100ms);
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
    explicit Reader(std::shared_ptr<std::size_t> n) : count_(std::move(n)) { ++*count_; }
    Reader(Reader const&) = delete;
    ~Reader() { --*count_; }
    std::shared_ptr<std::size_t> const count_;
  };

  static HttpReply busy(std::string const& why) {
    HttpReply reply = json_reply(503, {{"error", why}, {"step", "open_stream"}});
    reply.headers.push_back({"Retry-After", "1"});
    return reply;
  }

  // Returns the named stream, or creates it; if there are too many, evicts the least recently used one.
  std::shared_ptr<Stream> stream(std::string const& name) {
    if (!streams_.contains(name) && streams_.size() >= max_streams) {
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

  static constexpr char const* put_schema = R"({
    "type": "object", "additionalProperties": false, "required": ["put", "bytes"],
    "properties": {
      "put": {"type": "string", "enum": ["routing", "catalogue"]}, "bytes": {"type": "string"},
      "request": {"type": "string", "maxLength": 128}, "if_match": {"type": "integer", "minimum": 0}}})";

  static Result<Proposal> read_change(std::string const& line) {
    Result<Json> j = parse_json(line, line_limit);
    if (!j) return tl::unexpected<Error>(j.error());
    if (!j->is_object()) return make_error("check_schema", "", "a change is an object", Proof::not_run);
    Proposal p;
    if (j->contains("put")) {
      Result<bool> const fits = check_schema(*j, put_schema);
      if (!fits) return tl::unexpected<Error>(fits.error());
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
      if (!fits) return tl::unexpected<Error>(fits.error());
    }
    return p;
  }

  Task<DecisionsReply> collect_decisions(DecisionsRequest q) {
    std::vector<Address> others;
    for (RegistryEntry const& e : registry_.directory())
      if (e.address != registry_.address()) others.push_back(e.address);
    auto replies =
        co_await ask_all<DecisionsRequest>(env_, others, q, env_.now() + 500ms, [](auto const&) { return false; });
    DecisionsReply all = co_await registry_.decisions(q);
    for (auto& [i, r] : replies)
      if (r) Registry<Env>::merge(all, std::move(*r));
    co_return all;
  }

  Registry<Env>& registry_;
  Env& env_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  std::shared_ptr<std::size_t> const readers_ = std::make_shared<std::size_t>(0);  // shared: readers may outlive this
  std::uint64_t uses_ = 0;
};

}  // namespace banktide
