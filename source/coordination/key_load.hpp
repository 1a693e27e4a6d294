// The load of a row of keys that a backend serves: requests a second on the
// whole, and how they are spread over its keys, so that a hot row can be cut
// where its load is. A row's mean counts from when it came, over 10 s at most; it
// begins anew when the latest count can't be chance any more.
#pragma once

#include "protocol/key_messages.hpp"

namespace banktide {

class KeyLoad {
 public:
  KeyLoad(std::uint16_t from, std::uint16_t to, Instant since);

  void count(std::uint16_t key);
  /// Takes what another row's load tells of the keys that both have.
  void inherit(KeyLoad const& other);
  /// Takes the counts into the rates, if enough time has passed.
  void measure(Instant now);

  /// Requests a second; below 0 until measured.
  float rate() const { return measured_ ? rate_ : -1; }
  float seconds() const { return static_cast<float>(seconds_); }
  /// Cuts into parts of about the given rate; a key above it is a part by itself.
  std::vector<KeyCut> cuts(float part, std::size_t limit) const;

 private:
  float share_of(std::uint16_t from, std::uint16_t to) const;

  std::uint16_t from_;
  std::uint16_t to_;
  Instant since_;
  bool measured_ = false;
  std::uint32_t count_ = 0;
  float rate_ = 0;
  double seconds_ = 0;
  std::vector<std::uint16_t> counts_;  // of each key, since the last measurement
  std::vector<float> weights_;         // of each key, decayed counts
};

}  // namespace banktide
