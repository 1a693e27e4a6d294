// The operators' HTTP interface of a registry: reads and proposes revisions of the
// layout and the catalogue, and shows the state of the fleet.
#pragma once

#include "coordination/register_client.hpp"
#include "protocol/http_helpers.hpp"
#include "state/catalogue_edit.hpp"
#include "state/layout.hpp"
#include "state/slice_moves.hpp"
#include "state/view_json.hpp"

namespace banktide {

template <Environment Env>
class Registry;

struct Proposal {
  Register reg{};
  std::string bytes;
  std::optional<Json> change;  // of the newest catalogue, instead of `bytes`
  std::string match, request;
};

struct Verdict {
  Register reg{};
  std::uint16_t status = 0;
  std::string outcome;  // acknowledged, refused, not-taken or unknown
  Revision revision = 0;
  std::string request;
  Error error;

  Json json() const {
    Json j = {{"register", register_name(reg)}, {"request", request}, {"verdict", outcome}};
    if (revision > 0) j["revision"] = revision;
    if (outcome == "acknowledged") return j;
    j["step"] = error.step;
    j[outcome == "refused" ? "pointer" : "peer"] = error.peer;
    j["error"] = error.reason;
    if (outcome == "unknown") j["advice"] = "ask with GET, or repeat with the same banktide-request";
    return j;
  }
};

template <Environment Env>
class OperatorInterface {
 public:
  explicit OperatorInterface(Registry<Env>& registry)
      : registry_(registry), register_client_(registry.registers()), env_(registry.environment()) {}

  // Handles a proposal from any interface: the complete bytes of a register, or a
  // change to the newest catalogue.
  Task<Verdict> propose(Proposal p) {
    ++proposals_in_flight_;
    Verdict const v = co_await process_proposal(std::move(p));
    --proposals_in_flight_;
    co_return v;
  }
  bool idle() const { return proposals_in_flight_ == 0; }

  Task<Verdict> process_proposal(Proposal p) {
    Verdict v;
    v.reg = p.reg;
    if (p.request.size() > 128)
      co_return refused(v, 400, Error{"check_request", "", "banktide-request is over 128 bytes", Proof::not_run});
    if (p.request.empty()) p.request = "auto-" + std::to_string(env_.chance()()) + std::to_string(env_.chance()());
    v.request = p.request;
    std::optional<Revision> expected;
    if (!p.match.empty()) {
      std::string const digits = p.match.size() > 2 && p.match.front() == '"' && p.match.back() == '"'
                                     ? p.match.substr(1, p.match.size() - 2)
                                     : p.match;
      if (digits.empty() || digits.size() > 19 || digits.find_first_not_of("0123456789") != std::string::npos)
        co_return refused(v, 400, Error{"check_if_match", "", "If-Match must be a revision", Proof::not_run});
      expected = std::stoull(digits);
    }
    Layout layout;
    if (broken_on_purpose("takes_bad_revisions")) {
    } else if (p.reg == Register::routing) {
      Result<Layout> const l = Layout::read(p.bytes);
      if (!l) co_return bad_revision(v, l.error());
      Result<RegisterValue> const catalogue =
          co_await register_client_.read(Register::catalogue, held(Register::catalogue), env_.now() + 2s);
      if (!catalogue) co_return not_taken(v, catalogue.error());
      registry_.apply(Register::catalogue, *catalogue);
      Result<Catalogue> const c =
          catalogue->revision > 0 ? Catalogue::read(catalogue->bytes, *l) : Result<Catalogue>(Catalogue{});
      if (!c)
        co_return bad_revision(v, Error{"check_catalogue", c.error().peer,
                                        "catalogue revision " + std::to_string(catalogue->revision) +
                                            " would not fit: " + c.error().reason,
                                        Proof::not_run});
    } else {
      Result<RegisterValue> const routing =
          co_await register_client_.read(Register::routing, held(Register::routing), env_.now() + 2s);
      if (!routing) co_return not_taken(v, routing.error());
      if (routing->revision == 0)
        co_return bad_revision(v, Error{"check_references", "", "there is no routing revision yet", Proof::not_run});
      registry_.apply(Register::routing, *routing);
      Result<Layout> l = Layout::read(routing->bytes);
      if (!l) co_return bad_revision(v, l.error());
      layout = std::move(*l);
      Result<Catalogue> const c = p.change ? Result<Catalogue>(Catalogue{}) : Catalogue::read(p.bytes, layout);
      if (!c) co_return bad_revision(v, c.error());
    }
    Revision newest = 0;
    Result<RegisterValue> done = co_await register_client_.change(
        p.reg, p.request, env_.now() + 5s, [&](RegisterValue const& now) -> Result<RegisterValue> {
          newest = now.revision;
          if (expected && *expected != now.revision)
            return make_error("check_if_match", "", "the newest revision is " + std::to_string(now.revision),
                              Proof::not_run);
          RegisterValue next = now;
          if (p.change) {
            Result<std::string> edited = edit_catalogue(now.bytes, *p.change, layout);
            if (!edited) return tl::unexpected<Error>(edited.error());
            next.bytes = std::move(*edited);
          } else {
            next.bytes = p.bytes;
          }
          next.revision = now.revision + 1;
          next.digest = digest_of(next.bytes);
          return next;
        });
    v.revision = newest;
    bool const checked = !done && done.error().step.starts_with("check_") && done.error().proof == Proof::not_run;
    if (checked && done.error().step == "check_if_match") co_return refused(v, 412, done.error());
    if (checked) co_return bad_revision(v, done.error());
    if (!done) {
      record_error("put_" + register_name(p.reg), done.error());
      bool const nothing = done.error().proof == Proof::not_run;
      v.status = nothing ? 503 : 504;
      v.outcome = nothing ? "not-taken" : "unknown";
      v.error = done.error();
      co_return v;
    }
    registry_.announce(p.reg, *done);
    v.revision = done->revision;
    for (auto const& [id, revision] : done->requests)
      if (id == p.request) v.revision = revision;
    v.status = 200;
    v.outcome = "acknowledged";
    log_info("revision_acknowledged",
             {{"register", register_name(p.reg)}, {"revision", std::to_string(v.revision)}, {"request", p.request}});
    co_return v;
  }

  // The state of all zones, each from its own registry; zones that don't answer
  // are listed as silent.
  Task<Json> collect_fleet_state() {
    std::vector<Address> others;
    std::set<std::string> silent;
    for (RegistryEntry const& e : registry_.directory())
      if (e.address != registry_.address()) {
        others.push_back(e.address);
        silent.insert(e.zone);
      }
    StateRequest const question{true};
    auto const replies =
        co_await ask_all<StateRequest>(env_, others, question, env_.now() + 800ms, [](auto const&) { return false; });
    StateReply const own = co_await registry_.state(question);
    Json j = {{"cells", Json::array({Json::parse(own.json)})}};
    for (auto const& [i, r] : replies) {
      Json const zone = r ? Json::parse(r->json, nullptr, false) : Json();
      if (!zone.is_object() || !zone.contains("cell")) continue;
      silent.erase(zone["cell"].get<std::string>());
      j["cells"].push_back(zone);
    }
    j["silent"] = silent;
    co_return j;
  }

  // For each slice that moves: its current and its target zone, and what it waits for.
  Task<Json> moves() {
    Json const fleet = co_await collect_fleet_state();
    Result<Layout> const layout = Layout::read(held(Register::routing).bytes);
    if (!layout) co_return Json{{"slices", Json::array()}, {"error", "there is no routing revision yet"}};
    Result<Catalogue> const catalogue = held(Register::catalogue).revision > 0
                                            ? Catalogue::read(held(Register::catalogue).bytes, *layout, true)
                                            : Result<Catalogue>(Catalogue{});
    co_return slice_moves(fleet, *layout, catalogue ? *catalogue : Catalogue{});
  }

  // Routes an operator's HTTP request.
  Task<HttpReply> handle_operator_request(HttpRequest q) {
    std::string const path = q.target.substr(0, q.target.find('?'));
    if (path == "/live") co_return json_reply(200, {{"live", true}});
    if (path == "/ready")
      co_return json_reply(registry_.ready() ? 200 : 503, {{"ready", registry_.ready()},
                                                           {"vouched", registry_.has_quorum_reading()},
                                                           {"warm", registry_.warm()},
                                                           {"leaving", registry_.leaving()}});
    if (path == "/fleet" && q.method == "GET") co_return json_reply(200, fleet());
    if (path == "/mishaps" && q.method == "GET") co_return json_reply(200, registry_.recent_errors().json());
    if (path == "/nodes" && q.method == "GET") co_return json_reply(200, co_await collect_fleet_state());
    if (path == "/moves" && q.method == "GET") co_return json_reply(200, co_await moves());
    for (Register const r : operator_registers) {
      if (path != "/" + register_name(r)) continue;
      if (q.method == "GET") co_return co_await get(r);
      if (q.method == "PUT") co_return co_await put(r, std::move(q));
      HttpReply no = json_reply(405, {{"error", "use GET or PUT"}});
      no.headers.push_back({"Allow", "GET, PUT"});
      co_return no;
    }
    co_return json_reply(404, {{"error", "no such resource"}, {"path", path}});
  }

 private:
  static std::string quoted(Revision const r) { return "\"" + std::to_string(r) + "\""; }

  Task<HttpReply> get(Register const r) {
    Result<RegisterValue> h = co_await register_client_.read(r, held(r), env_.now() + 2s);
    if (!h) co_return no_quorum(h.error());
    registry_.apply(r, *h);
    if (h->revision == 0) co_return json_reply(404, {{"error", "no revision exists yet"}, {"revision", 0}});
    HttpReply reply;
    reply.status = 200;
    reply.headers = {{"Content-Type", "application/json"},
                     {"ETag", quoted(h->revision)},
                     {"banktide-revision", std::to_string(h->revision)}};
    reply.body = h->bytes;
    co_return reply;
  }

  HttpReply no_quorum(Error const& m) {
    record_error("register", m);
    HttpReply reply = json_reply(503, {{"error", "no majority of the stores confirms a reading"},
                                       {"step", m.step},
                                       {"peer", m.peer},
                                       {"reason", m.reason}});
    reply.headers.push_back({"Retry-After", "1"});
    return reply;
  }

  Task<HttpReply> put(Register const r, HttpRequest q) {
    Proposal proposal{r, std::move(q.body), std::nullopt, header_value(q, "If-Match"),
                      header_value(q, "banktide-request")};
    Verdict const v = co_await propose(std::move(proposal));
    HttpReply reply = json_reply(v.status, v.json());
    if (v.status == 200) reply.headers.push_back({"ETag", quoted(v.revision)});
    if (v.status >= 500) reply.headers.push_back({"Retry-After", "1"});
    co_return reply;
  }

  static Verdict refused(Verdict v, std::uint16_t const status, Error const& m) {
    v.status = status;
    v.outcome = "refused";
    v.error = m;
    return v;
  }
  Verdict bad_revision(Verdict v, Error const& m) {
    record_error("bad_revision", m);
    return refused(std::move(v), m.step == "check_size" ? 413 : m.step == "parse_json" ? 400 : 422, m);
  }
  Verdict not_taken(Verdict v, Error const& m) {
    record_error("register", m);
    v.status = 503;
    v.outcome = "not-taken";
    v.error = m;
    return v;
  }

  Json fleet() const {
    Json j = view_json(registry_.view());
    j["cell"] = registry_.settings().zone;
    j["registry"] = registry_.settings().id;
    j["epoch"] = registry_.position().epoch;
    j["position"] = registry_.position().seq;
    j["routing"] = held(Register::routing).revision;
    j["catalogue"] = held(Register::catalogue).revision;
    j["vouched"] = registry_.has_quorum_reading();
    Json registries = Json::array();
    for (RegistryEntry const& e : registry_.directory())
      registries.push_back({{"cell", e.zone}, {"address", e.address}});
    j["registries"] = registries;
    return j;
  }

  RegisterValue const& held(Register const r) const { return registry_.held(r); }
  void record_error(std::string const& what, Error const& m) { registry_.record_error(what, m); }

  Registry<Env>& registry_;
  RegisterClient<Env>& register_client_;
  Env& env_;
  std::size_t proposals_in_flight_ = 0;
};

}  // namespace banktide
