// The status page for operators when the control plane has faults: which voters
// vote, how many more losses the voter set tolerates, and how old this registry's
// data is. Each request queries the voters directly, so it also works in a minority.
#pragma once

#include "coordination/voter_monitor.hpp"
#include "programs/registry.hpp"

namespace banktide {

inline constexpr std::string_view control_status_path = "/control/status";

inline bool is_control_status_target(std::string_view const target) {
  return target.substr(0, target.find('?')) == control_status_path;
}

template <Environment Env>
class ControlStatus {
 public:
  ControlStatus(Env& env, Registry<Env>& registry) : env_(env), registry_(registry) {}

  /// Handles `GET /control/status`; the answer is a JSON object.
  Task<HttpReply> call(HttpRequest const question) {
    HttpReply reply;
    if (question.method != "GET") {
      reply.status = 405;
      reply.headers.push_back({"Allow", "GET"});
      co_return reply;
    }
    Json const status = co_await collect();
    reply.status = 200;
    reply.headers.push_back({"Content-Type", "application/json"});
    reply.body = status.dump();
    co_return reply;
  }

 private:
  static constexpr Duration voter_timeout = 400ms;

  Task<Json> collect() {
    RegisterClient<Env>& registers = registry_.registers();
    co_await registers.discover(env_.now() + voter_timeout, true);
    VoterSet const set = registers.set();
    std::vector<Address> const voters = addresses_of(set);
    VotersRequest const question{};
    auto const replies = co_await ask_all<VotersRequest>(env_, voters, question, env_.now() + voter_timeout,
                                                         [](auto const&) { return false; });
    std::vector<std::string> conditions(voters.size(), "silent");
    std::size_t voting = 0;
    for (auto const& [at, reply] : replies) {
      if (!reply) continue;
      bool const votes = reply->active && reply->set == set;
      conditions[at] = votes ? "votes" : "doesn't vote";
      voting += votes;
    }
    co_return to_json(set, conditions, voting);
  }

  Json to_json(VoterSet const& set, std::vector<std::string> const& conditions, std::size_t const voting) const {
    VoterSetHealth const health = health_of(set, voting);
    Json status = {{"registry", registry_.settings().id},
                   {"epoch", health.epoch},
                   {"quorum", quorum_size(set)},
                   {"voting", health.voting},
                   {"losses_to_bear", health.tolerable_losses},
                   {"losses_wanted", set.tolerated_losses},
                   {"vouched", registry_.has_quorum_reading()},
                   {"configuration", registry_.held(Register::routing).revision},
                   {"key_table", registry_.held(Register::keys).revision},
                   {"voters", Json::array()}};
    if (std::optional<Duration> const age = registry_.reading_age()) status["reading_age_ms"] = as_ms(*age);
    for (std::size_t i = 0; i < set.voters.size(); ++i)
      status["voters"].push_back({{"address", set.voters[i].address}, {"condition", conditions[i]}});
    return status;
  }

  Env& env_;
  Registry<Env>& registry_;
};

}  // namespace banktide
