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
    ZoneAnnouncement told;
    told.entry = out.entry;
    told.at = at;
    return told;
  }

  /// The zone is no longer served by this registry.
  void stop(std::string const& zone) { outgoing_.erase(zone); }

  /// Takes in another registry's announcement; returns the entry if it was accepted, else null. Two registries may
  /// announce one zone while its nodes move from one to the other: the one with more gateways wins.
  ZoneEntry const* take(ZoneAnnouncement told, Instant const now) {
    Incoming& known = incoming_[told.entry.zone];
    bool const same = told.sender == known.sender;
    bool const overtaken = same && told.at.epoch == known.at.epoch && told.at.seq < known.at.seq;
    bool const rivals = !same && now - known.heard < rival_timeout;
    if (overtaken || (rivals && told.entry.gateways.size() <= known.entry.gateways.size())) return nullptr;
    known = Incoming{std::move(told.entry), std::move(told.sender), told.at, now};
    return &known.entry;
  }

  /// Forgets zones that nobody has announced for long; returns an empty entry for each.
  std::vector<ZoneEntry> forget(Instant const now) {
    std::vector<ZoneEntry> gone;
    std::erase_if(incoming_, [&](auto const& e) {
      if (now - e.second.heard < RegistryDirectory::kept_for) return false;
      gone.push_back(ZoneEntry{e.first, {}, {}, {}});
      return true;
    });
    return gone;
  }

  template <class F>
  void each(F f) const {
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
    Instant heard{};
  };

  FeedTiming const& timing_;
  std::map<std::string, Outgoing> outgoing_;
  std::map<std::string, Incoming> incoming_;
};

}  // namespace banktide
