// Settings that the mesh programs share, and the values derived from them: seed
// peers, timing bounds and key lease timing.
#pragma once

#include "coordination/feed_timing.hpp"
#include "programs/process.hpp"
#include "protocol/interface_adapter.hpp"
#include "state/key_table.hpp"

#include <charconv>

namespace banktide {

/** A command line in the form of the `argc` and `argv` of `main`. */
class CommandLine {
 public:
  explicit CommandLine(std::vector<std::string> const& words) : words_(words) {
    for (std::string& w : words_) pointers_.push_back(w.data());
  }
  int count() const { return static_cast<int>(pointers_.size()); }
  char** words() { return pointers_.data(); }

 private:
  std::vector<std::string> words_;
  std::vector<char*> pointers_;
};

inline void define_mesh_settings(Settings& settings) {
  settings.text("interface", "", "the interface that the process meets; not used");
  settings.text("id", "", "name of this process");
  settings.text("zone", "", "the zone that it stands in");
  settings.text("address", "", "ip:port for other processes");
  settings.list("seed-control", "ip:port of a registry's operator interface; repeat for three");
  settings.text("peer-port", "0", "the port at which registries listen for other processes");
  settings.text("store-port", "0", "the port at which stores listen");
  settings.flag("initial-start", "the whole system starts for the first time");
  settings.text("losses", "1", "how many machines with a disk may be lost at once");
  settings.list("bounds", "name=value, as the operators state them");
  settings.require_name("id");
  settings.require_name("zone");
  settings.require_address("address");
  settings.require_addresses("seed-control", 1);
}

/** A number that is set as text, as the platform's templates do; `fallback` if the text is not a number. */
inline std::uint64_t number_of(Settings const& settings, std::string const& name, std::uint64_t const fallback) {
  std::string const text = settings.text(name);
  if (text.empty() || text.size() > 9 || text.find_first_not_of("0123456789") != std::string::npos) return fallback;
  return std::stoull(text);
}

/** A time in seconds that is set as text; `fallback` if the text is not a positive number of at most an hour. */
inline Duration seconds_of(Settings const& settings, std::string const& name, Duration const fallback) {
  constexpr double most = 3600;
  std::string const text = settings.text(name);
  double seconds = 0;
  auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  bool const is_number = error == std::errc() && end == text.data() + text.size();
  if (!is_number || !(seconds > 0 && seconds <= most)) return fallback;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** The port of the stores. */
inline std::uint16_t store_port(Settings const& settings) {
  return static_cast<std::uint16_t>(number_of(settings, "store-port", 0));
}

/** The seeds' addresses for traffic between processes: their hosts with the port that all registries use. */
inline std::vector<Address> seed_peers(Settings const& settings) {
  std::vector<Address> peers;
  std::string const port = ":" + settings.text("peer-port");
  for (std::string const& seed : settings.list("seed-control")) peers.push_back(seed.substr(0, seed.rfind(':')) + port);
  return peers;
}

/** The timing of zone feeds: rejoins and warm-ups are quicker than in the stand-alone fleet. */
inline FeedTiming mesh_timing() {
  FeedTiming t;
  t.join_every = 600ms;
  t.warm_up = 900ms;
  t.moved_warm_up = 1500ms;
  t.entry_every = 600ms;
  return t;
}

/** The key lease timing that follows from the bounds. */
inline KeySettings key_settings(TimingBounds const& bounds) {
  KeySettings k;
  k.hold_limit = bounds.hold_limit;
  k.term = std::min<Duration>(k.term, bounds.hold_limit);
  k.revoke_slack = std::max<Duration>(k.revoke_slack, bounds.thaw_slack);
  return k;
}

/** How long a process may take to shut down: a little less than the platform's grace period. */
inline Duration shutdown_timeout(TimingBounds const& bounds) {
  constexpr Duration left_of_grace = 600ms;
  return bounds.shutdown_grace - left_of_grace;
}

/** Reloads the settings. `initial-start` matters at the start only, so a change of it needs no restart. */
template <class Define>
void reload_mesh_settings(Settings& settings, Define define, CommandLine& line) {
  Process::reload(settings, define, line.count(), line.words(),
                  [](std::string const& name, Settings const&) { return name == "initial-start"; });
}

/** Logs why a start failed and returns the exit code. */
inline int start_failed(Error const& m) {
  log_warn("start_failed", {{"step", m.step}, {"peer", m.peer}, {"reason", m.reason}});
  return 1;
}

}  // namespace banktide
