// The shell's `maintenance` command: its words as a question to a registry, and
// the answer as an exit code that scripts can wait for.
#pragma once

#include "protocol/http_words.hpp"

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

/** Answered, and for `status`: traffic is away, nothing is left where machines may be worked on. */
inline constexpr int exit_ok = 0;
inline constexpr int exit_refused = 1;
inline constexpr int exit_unknown_command = 2;
/** `status` was answered, but no zone asked for is clear, or not all of them are. */
inline constexpr int exit_not_clear = 3;

inline constexpr char const* maintenance_usage =
    "maintenance mark ZONE --opens-in SECONDS --lasts SECONDS [--lead SECONDS] [--allow-second] [--force], "
    "maintenance status [ZONE], or maintenance end ZONE";

/** `words` begins with "maintenance". The error is what to tell the caller. */
tl::expected<MaintenanceCommand, std::string> parse_maintenance_command(std::vector<std::string> const& words);
/** Windows that the answer tells of, as far as they were asked for; none if it is no such answer. */
Json windows_in_reply(MaintenanceCommand const& command, HttpReply const& reply);
int maintenance_exit_code(MaintenanceCommand const& command, HttpReply const& reply);

}  // namespace banktide
