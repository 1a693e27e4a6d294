// Structured logging: one line of key=value pairs per event. Values with spaces,
// quotes or control characters are quoted and escaped, so that input from peers
// can't break or forge lines.
#pragma once

#include <initializer_list>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <string>
#include <string_view>
#include <utility>

namespace banktide {

using LogField = std::pair<std::string_view, std::string>;

inline std::string log_value(std::string_view const raw) {
  bool plain = !raw.empty();
  for (char const c : raw) plain = plain && c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
  if (plain) return std::string(raw);
  std::string out = "\"";
  for (char const c : raw) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
      out += '?';
    } else {
      out += c;
    }
  }
  return out + "\"";
}

inline std::string log_line(std::string_view const event, std::initializer_list<LogField> const fields) {
  std::string line = "event=" + log_value(event);
  for (LogField const& p : fields) line += " " + std::string(p.first) + "=" + log_value(p.second);
  return line;
}

inline log4cplus::Logger& logger() {
  static log4cplus::Logger root = log4cplus::Logger::getRoot();
  return root;
}

inline void log_info(std::string_view const event, std::initializer_list<LogField> const fields) {
  LOG4CPLUS_INFO(logger(), log_line(event, fields));
}
inline void log_warn(std::string_view const event, std::initializer_list<LogField> const fields) {
  LOG4CPLUS_WARN(logger(), log_line(event, fields));
}

inline void start_logging(std::string const& level, std::string const& program, std::string const& id) {
  log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(true, true));
  console->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p program=" + program + " id=" + id + " %m%n"));
  logger().removeAllAppenders();
  logger().addAppender(console);
  logger().setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

}  // namespace banktide
