// The zone entries that registries exchange: for the zones served by this registry, when their entries are due to be
// sent; for the others, the last entry received.
#pragma once

#include "coordination/feed_timing.hpp"
#include "coordination/registry_directory.hpp"

namespace banktide {

class ZoneEntries {
 public:
  explicit ZoneEntries(FeedTiming const& timing) : timing_(timing) {}

  /// The announcement of a zone served here, if it is due now. `make` is called only if the feed's position has
  /// changed. The caller fills in the sender.
  template <class Make>
  std::optional<ZoneAnnouncement> due(std::string const& zone, Position const at, Instant const now, Make make) {
    Outgoing& out = outgoing_[zone];
    if (!(out.at == at)) {
      ZoneEntry entry = make();
      if (!(entry == out.entry)) out.repeats_left = repeats;
      out.entry = std::move(entry);
      out.at = at;
    }
    Duration const pause = out.repeats_left > 0 ? timing_.entry_every : timing_.entry_repeat;
    if (now - out.sent_at < pause) return std::nullopt;
    out.sent_at = now;
    if (out.repeats_left > 0) --out.repeats_left;
    ZoneAnnouncement announcement;
    announcement.entry = out.entry;
    announcement.at = at;
    return announcement;
  }

  /// The zone is no longer served by this registry.
  void stop(std::string const& zone) { outgoing_.erase(zone); }

  /// Takes in another registry's announcement; returns the entry if it was accepted, else null. Two registries may
  /// announce one zone while its nodes move from one to the other: the one with more gateways wins.
  ZoneEntry const* accept(ZoneAnnouncement announcement, Instant const now) {
    Incoming& known = incoming_[announcement.entry.zone];
    bool const same = announcement.sender == known.sender;
    bool const overtaken = same && announcement.at.epoch == known.at.epoch && announcement.at.seq < known.at.seq;
    bool const rivals = !same && now - known.last_heard < rival_timeout;
    if (overtaken || (rivals && announcement.entry.gateways.size() <= known.entry.gateways.size())) return nullptr;
    known = Incoming{std::move(announcement.entry), std::move(announcement.sender), announcement.at, now};
    return &known.entry;
  }

  /// Forgets zones that nobody has announced for long; returns an empty entry for each.
  std::vector<ZoneEntry> forget(Instant const now) {
    std::vector<ZoneEntry> expired;
    std::erase_if(incoming_, [&](auto const& e) {
      if (now - e.second.last_heard < RegistryDirectory::kept_for) return false;
      expired.push_back(ZoneEntry{e.first, {}, {}, {}});
      return true;
    });
    return expired;
  }

  template <class F>
  void for_each(F f) const {
    for (auto const& [zone, in] : incoming_) f(in.entry);
    for (auto const& [zone, out] : outgoing_) f(out.entry);
  }

 private:
  static constexpr Duration rival_timeout = 3s;
  static constexpr unsigned repeats = 3;  // of a changed entry, because one-way messages may be lost

  struct Outgoing {
    Position at;
    ZoneEntry entry;
    Instant sent_at{};
    unsigned repeats_left = 0;
  };
  struct Incoming {
    ZoneEntry entry;
    Address sender;
    Position at;
    Instant last_heard{};
  };

  FeedTiming const& timing_;
  std::map<std::string, Outgoing> outgoing_;
  std::map<std::string, Incoming> incoming_;
};

}  // namespace banktide
