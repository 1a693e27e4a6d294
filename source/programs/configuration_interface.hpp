// The operators' configuration: writes under a version of their choice, and reads of the
// newest version. Each answer needs a quorum round that began after the request arrived.
//
// The highest version wins. A write with a version that isn't above the current one changes
// nothing; it is acknowledged unless other content was acknowledged under that version
// before. The answer follows from the register's value after the round, never from one
// voter's earlier value: content that only some voters have accepted causes no refusal.
#pragma once

#include "programs/registry.hpp"
#include "protocol/interface_adapter.hpp"
#include "state/compressed_text.hpp"
#include "state/version_claims.hpp"

namespace banktide {

template <Environment Env>
class ConfigurationInterface {
 public:
  ConfigurationInterface(Env& env, Registry<Env>& registry, InterfaceAdapter const& adapter)
      : env_(env), registry_(registry), adapter_(adapter) {}

  Task<HttpReply> write(WriteConfigurationOperation const operation) {
    std::string const bytes = compress(operation.bytes);
    auto const step = [&](RegisterValue const& now) -> Result<RegisterValue> {
      if (operation.version == 0 && now.revision == 0) return now;
      return claim_version(now, operation.version, operation.bytes, bytes);
    };
    Result<RegisterValue> const done =
        co_await registry_.registers().change(Register::routing, "", env_.now() + request_timeout, step);
    if (!done) {
      log_warn("configuration_not_taken", {{"version", std::to_string(operation.version)},
                                           {"step", done.error().step},
                                           {"reason", done.error().reason}});
      co_return http_reply(adapter_.unavailable_reply(done.error().reason));
    }
    // Version 0 isn't newer than an empty register: it can't become active and couldn't be read back.
    if (done->revision == 0) co_return http_reply(adapter_.conflict_reply("versions begin at 00000001"));
    registry_.announce(Register::routing, *done);
    VersionClaim const claim = find_claim(*done, operation.version, operation.bytes);
    if (claim == VersionClaim::other_content && !broken_on_purpose("confirms_any_content")) {
      log_warn("configuration_conflicts",
               {{"version", std::to_string(operation.version)}, {"holds", std::to_string(done->revision)}});
      co_return http_reply(adapter_.conflict_reply("another configuration was acknowledged under this version"));
    }
    log_info("configuration_taken",
             {{"version", std::to_string(operation.version)}, {"holds", std::to_string(done->revision)}});
    co_return http_reply(adapter_.acknowledgement_reply());
  }

  Task<HttpReply> read() {
    RegisterValue const known = registry_.held(Register::routing);
    Result<RegisterValue> held = known;
    if (!broken_on_purpose("shows_what_it_holds"))
      held = co_await registry_.registers().read(Register::routing, known, env_.now() + request_timeout);
    if (!held) co_return http_reply(adapter_.unavailable_reply(held.error().reason));
    if (held->revision == 0) co_return http_reply(adapter_.unavailable_reply("no configuration has been written yet"));
    Result<std::string> const text = decompress(held->bytes);
    if (!text) {
      log_warn("configuration_unreadable",
               {{"version", std::to_string(held->revision)}, {"reason", text.error().reason}});
      co_return http_reply(adapter_.unavailable_reply(text.error().reason));
    }
    co_return http_reply(adapter_.configuration_reply(*text));
  }

 private:
  // Callers try another registry after one second without an answer.
  static constexpr Duration request_timeout = 900ms;

  Env& env_;
  Registry<Env>& registry_;
  InterfaceAdapter const& adapter_;
};

}  // namespace banktide
