// The shell's `maintenance` command: translates its arguments into a request to a
// registry, and the reply into an exit code for scripts.
#pragma once

#include "protocol/http_helpers.hpp"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace banktide {

enum class MaintenanceVerb : std::uint8_t { mark, status, end };

struct MaintenanceCommand {
  MaintenanceVerb verb = MaintenanceVerb::status;
  std::string zone;  // empty: all, for `status` only
  HttpRequest request;
};

/** The request succeeded; for `status`: traffic has moved away and nothing is left in the zones under maintenance. */
inline constexpr int exit_ok = 0;
inline constexpr int exit_refused = 1;
inline constexpr int exit_unknown_command = 2;
/** `status` was answered, but not all zones asked for are clear, or none is under maintenance. */
inline constexpr int exit_not_clear = 3;

inline constexpr char const* maintenance_usage =
    "maintenance mark ZONE --opens-in SECONDS --lasts SECONDS [--lead SECONDS] [--allow-second] [--force], "
    "maintenance status [ZONE], or maintenance end ZONE";

/** `words` begins with "maintenance". The error is the text to print. */
tl::expected<MaintenanceCommand, std::string> parse_maintenance_command(std::vector<std::string> const& words);
/** The windows in the reply that the command asked for; none if the reply can't be parsed. */
Json windows_in_reply(MaintenanceCommand const& command, HttpReply const& reply);
int maintenance_exit_code(MaintenanceCommand const& command, HttpReply const& reply);

}  // namespace banktide
