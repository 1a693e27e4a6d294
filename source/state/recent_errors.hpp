// Keeps the latest errors of a process, each with the step and the peer where it occurred.
#pragma once

#include "protocol/json.hpp"
#include "state/journal.hpp"
#include "transport/log.hpp"
#include "transport/result.hpp"

namespace banktide {

struct ErrorRecord {
  std::int64_t at_ms = 0;
  std::string what, step, peer, reason;
};

class RecentErrors {
 public:
  void note(Duration const since_start, std::string const& what, Error const& error) {
    records_.append(ErrorRecord{as_ms(since_start), what, error.step, error.peer, error.reason});
    log_warn(what, {{"step", error.step}, {"peer", error.peer}, {"reason", error.reason}});
  }
  std::uint64_t last() const { return records_.last(); }
  Json json() const {
    Json j = Json::array();
    std::optional<std::vector<ErrorRecord>> const all = records_.since(records_.trimmed());
    for (ErrorRecord const& e : *all)
      j.push_back({{"at_ms", e.at_ms}, {"what", e.what}, {"step", e.step}, {"peer", e.peer}, {"reason", e.reason}});
    return Json{{"mishaps", j}, {"trimmed", records_.trimmed()}};
  }

 private:
  Journal<ErrorRecord> records_{256};
};

}  // namespace banktide
