// The last mishaps of a process, each with the step and the peer where it arose.
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
  void note(Duration const since_start, std::string const& what, Error const& m) {
    records_.append(ErrorRecord{as_ms(since_start), what, m.step, m.peer, m.reason});
    log_warn(what, {{"step", m.step}, {"peer", m.peer}, {"reason", m.reason}});
  }
  std::uint64_t last() const { return records_.last(); }
  Json json() const {
    Json j = Json::array();
    std::optional<std::vector<ErrorRecord>> const all = records_.since(records_.trimmed());
    for (ErrorRecord const& n : *all)
      j.push_back({{"at_ms", n.at_ms}, {"what", n.what}, {"step", n.step}, {"peer", n.peer}, {"reason", n.reason}});
    return Json{{"mishaps", j}, {"trimmed", records_.trimmed()}};
  }

 private:
  Journal<ErrorRecord> records_{256};
};

}  // namespace banktide
