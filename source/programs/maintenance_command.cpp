#include "programs/maintenance_command.hpp"

namespace banktide {

namespace {

using Command = tl::expected<MaintenanceCommand, std::string>;

tl::unexpected<std::string> usage() { return tl::unexpected<std::string>(maintenance_usage); }

/** The body field of a flag that takes seconds; empty for other words. */
std::string field_of(std::string const& flag) {
  if (flag == "--opens-in") return "opens_in_s";
  if (flag == "--lasts") return "lasts_s";
  if (flag == "--lead") return "lead_s";
  return "";
}

bool is_number(std::string const& word) {
  return !word.empty() && word.size() <= 9 && word.find_first_not_of("0123456789") == std::string::npos;
}

Command parse_mark(std::vector<std::string> const& words) {
  if (words.size() < 3) return usage();
  Json body = Json::object();
  for (std::size_t i = 3; i < words.size(); ++i) {
    std::string const field = field_of(words[i]);
    if (words[i] == "--force") {
      body["force"] = true;
    } else if (words[i] == "--allow-second") {
      body["allow_second"] = true;
    } else if (!field.empty() && i + 1 < words.size() && is_number(words[i + 1])) {
      body[field] = std::stoul(words[++i]);
    } else {
      return usage();
    }
  }
  if (!body.contains("opens_in_s") || !body.contains("lasts_s")) return usage();
  MaintenanceCommand command;
  command.verb = MaintenanceVerb::mark;
  command.zone = words[2];
  command.request = HttpRequest{"PUT", "/maintenance/" + words[2], {{"Content-Type", "application/json"}}, body.dump()};
  return command;
}

}  // namespace

Command parse_maintenance_command(std::vector<std::string> const& words) {
  if (words.size() < 2) return usage();
  MaintenanceCommand command;
  if (words[1] == "mark") return parse_mark(words);
  if (words[1] == "status" && words.size() <= 3) {
    command.verb = MaintenanceVerb::status;
    if (words.size() == 3) command.zone = words[2];
    command.request = HttpRequest{"GET", "/maintenance", {}, ""};
    return command;
  }
  if (words[1] == "end" && words.size() == 3) {
    command.verb = MaintenanceVerb::end;
    command.zone = words[2];
    command.request = HttpRequest{"DELETE", "/maintenance/" + words[2], {}, ""};
    return command;
  }
  return usage();
}

Json windows_in_reply(MaintenanceCommand const& command, HttpReply const& reply) {
  Json const answer = Json::parse(reply.body, nullptr, false);
  Json asked = Json::array();
  if (reply.status != 200 || !answer.is_object()) return asked;
  Json const windows =
      command.verb == MaintenanceVerb::status ? answer.value("windows", Json::array()) : Json::array({answer});
  for (Json const& window : windows)
    if (window.is_object() && (command.zone.empty() || window.value("zone", "") == command.zone))
      asked.push_back(window);
  return asked;
}

int maintenance_exit_code(MaintenanceCommand const& command, HttpReply const& reply) {
  if (reply.status != 200) return exit_refused;
  if (command.verb != MaintenanceVerb::status) return exit_ok;
  std::size_t withheld = 0, clear = 0;
  for (Json const& window : windows_in_reply(command, reply)) {
    std::string const phase = window.value("phase", "");
    if (phase != "draining" && phase != "open") continue;
    ++withheld;
    clear += window.value("clear", false);
  }
  return withheld > 0 && clear == withheld ? exit_ok : exit_not_clear;
}

}  // namespace banktide
