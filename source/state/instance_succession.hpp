// Decides which instance of a node's backend is the current one. The instances of a machine follow one another, but
// their heartbeats may arrive seconds late and in any order. So a heartbeat of another instance proves nothing about
// the current one: it may make the other one current, which can be undone. An instance has ended for good only if it
// signed off or if its end was proved otherwise. Contains no I/O; the caller passes in the time and the events.
#pragma once

#include "state/recent_ids.hpp"
#include "transport/result.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banktide {

struct SuccessionSettings {
  /// The pause between the reply to a heartbeat and the next heartbeat.
  Duration heartbeat_interval = 1500ms;
  /// The same if the reply left out keys that the instance held.
  Duration interval_after_release = 100ms;
  /// The current instance is overdue when its next heartbeat is late by more than this.
  Duration max_lateness = 500ms;
  /// While its last heartbeat hasn't been replied to, it is overdue when it has been silent for longer than this.
  Duration overdue_without_reply = 3s;
  /// Heartbeats that were delayed together arrive within this time, and count as one.
  Duration min_heartbeat_gap = 40ms;
};

enum class HeartbeatVerdict : std::uint8_t {
  ignored,   // of an instance that has ended, or older than one seen before
  current,   // of the current instance
  replaces,  // of an instance that becomes the current one with it
  contends,  // of another instance, which may be a former one or the next one
};

class InstanceSuccession {
 public:
  explicit InstanceSuccession(SuccessionSettings settings = {}) : settings_(settings) {}

  /// Another instance replaces the current one if it sends a second heartbeat while the current one sends none, or if
  /// the current one is overdue or unreachable.
  HeartbeatVerdict on_heartbeat(Instant now, std::string const& id, std::uint64_t sequence);
  /// The reply to the last heartbeat of an instance was sent; `releases_keys` tells that it left out keys that the
  /// instance held.
  void on_replied(Instant now, std::string const& id, bool releases_keys);
  /// The instance signed off, or its process is proved to have ended: its heartbeats are ignored from now on.
  void on_ended(std::string const& id);
  /// Nobody listens at the current instance's address; its next heartbeat shows that it is reachable again.
  void on_unreachable() { unreachable_ = true; }
  /// When the instance first said that it is leaving. Kept while another instance is current.
  Instant leaving_since(std::string const& id, Instant now);
  std::optional<Instant> known_leaving_since(std::string const& id) const;

  /// The id of the current instance; empty if there is none.
  std::string const& current() const { return current_; }
  bool has_ended(std::string const& id) const { return ended_.contains(id); }
  /// Whether a heartbeat of this instance was received recently.
  bool knows(std::string const& id) const { return known_.contains(id); }
  /// The instances heard from recently that haven't ended, the current one included.
  std::vector<std::string> known() const;

 private:
  static constexpr std::size_t known_limit = 16;

  struct Known {
    std::uint64_t newest_sequence = 0;
    Instant last_heard{};
    Instant overdue_at{};                     // when its next heartbeat is too late
    std::optional<Instant> contending_since;  // the first heartbeat since the current instance's last one
    std::optional<Instant> leaving_since;
  };

  bool may_replace_current(Known const& contender, Instant now) const;
  void make_current(std::string const& id);
  void forget_oldest();

  SuccessionSettings settings_;
  std::string current_;
  bool unreachable_ = false;
  std::map<std::string, Known> known_;
  RecentIds ended_;
};

}  // namespace banktide
