// Orders of replacements, lost disks, lost power and changes cut short, played on the
// real stores beside a plain model: which machines are members, and which value was
// acknowledged last. The model says when the register must be available (no more
// machines are lost than the set is to bear) and what a reader must see.
#pragma once

#include "tests/coordination/store_trial.hpp"

#include <ostream>

namespace banktide {

enum class Trouble {
  replace,          // gone for good, an empty machine comes a second later at another address
  replace_planned,  // the new machine first, then the old one leaves
  lose_disk,        // back at once with an empty disk
  lose_power,       // dark for a few seconds
  stay_away,        // dark for so long that it is removed, then back with its old disk
  interrupted,      // a replacement during whose change every machine loses power
  closing,          // as many disks as may be lost, and the power of all others, at one moment
};

inline char const* name_of(Trouble const t) {
  switch (t) {
    case Trouble::replace:
      return "replace";
    case Trouble::replace_planned:
      return "replace_planned";
    case Trouble::lose_disk:
      return "lose_disk";
    case Trouble::lose_power:
      return "lose_power";
    case Trouble::stay_away:
      return "stay_away";
    case Trouble::interrupted:
      return "interrupted";
    case Trouble::closing:
      return "closing";
  }
  return "";
}

/// Strikes the member that has been there longest, or the one that came last.
struct Step {
  Trouble trouble{};
  bool oldest = true;
  friend std::ostream& operator<<(std::ostream& out, Step const& s) {
    return out << name_of(s.trouble) << (s.oldest ? "(oldest)" : "(newest)");
  }
};

class ReplacementTrial {
 public:
  /// How long a machine counts as lost after it is back.
  static constexpr Duration catch_up = 4s;

  ReplacementTrial(std::uint64_t const seed, std::size_t const voters, std::uint32_t const losses,
                   std::size_t const spares)
      : t_(seed, voters + spares, losses), losses_(losses), next_spare_(voters) {
    for (std::size_t i = 0; i < voters; ++i) {
      members_.push_back(i);
      t_.start(i, true);
    }
  }

  bool formed() {
    std::size_t const voters = members_.size();
    return t_.run_until([&] { return t_.all_vote(voters); }, 30s) && acknowledge("formed");
  }

  /// Plays the steps; true if the register was available and right after each.
  bool play(std::vector<Step> const& steps) {
    return std::all_of(steps.begin(), steps.end(), [this](Step const& s) { return play_one(s); });
  }

  StoreTrial& stores() { return t_; }

 private:
  static constexpr Duration patience = 3s;

  bool play_one(Step const& s) {
    std::size_t const struck = s.oldest ? members_.front() : members_.back();
    switch (s.trouble) {
      case Trouble::replace:
        return replace(struck) && settle();
      case Trouble::replace_planned:
        return replace_planned(struck) && settle();
      case Trouble::lose_disk:
        darken(struck);
        t_.wipe(struck);
        t_.run_for(500ms);
        come_back(struck);
        return settle();
      case Trouble::lose_power:
        darken(struck);
        t_.run_for(3s);
        if (!acknowledge("without power")) return false;
        come_back(struck);
        return settle();
      case Trouble::stay_away:
        darken(struck);
        t_.run_for(15s);
        if (!acknowledge("one away for long")) return false;
        come_back(struck);
        return settle();
      case Trouble::interrupted:
        return interrupt(struck) && settle();
      case Trouble::closing:
        return close(s.oldest) && settle();
    }
    return false;
  }

  bool replace(std::size_t const gone) {
    darken(gone);
    std::erase(members_, gone);
    t_.run_for(1s);
    add_spare();
    return acknowledge("just replaced");
  }

  bool replace_planned(std::size_t const gone) {
    add_spare();
    t_.run_for(1s);
    spawn(*t_.net.at[t_.addresses[gone]], t_.memberships[gone]->leave(2s));
    t_.run_for(2s);
    darken(gone);
    std::erase(members_, gone);
    return acknowledge("just left");
  }

  // Power goes at another moment of the change in each place of an order.
  bool interrupt(std::size_t const gone) {
    darken(gone);
    std::erase(members_, gone);
    t_.run_for(1s);
    add_spare();
    t_.run_for(100ms + 137ms * static_cast<int>(++interruptions_ * 5 % 13));
    for (std::size_t const m : members_) t_.power_off(m);
    t_.run_for(200ms);
    for (std::size_t const m : members_) t_.start(m, false);
    return true;
  }

  bool close(bool const oldest) {
    std::vector<std::size_t> wiped = members_;
    if (!oldest) std::reverse(wiped.begin(), wiped.end());
    wiped.resize(losses_);
    if (!acknowledge("before the closing loss")) return false;
    for (std::size_t const m : members_) t_.power_off(m);
    for (std::size_t const m : wiped) t_.wipe(m);
    t_.run_for(500ms);
    for (std::size_t const m : members_) t_.start(m, false);
    return true;
  }

  void darken(std::size_t const i) {
    t_.power_off(i);
    t_.net.dark.insert("core-" + std::to_string(i));
  }
  void come_back(std::size_t const i) {
    t_.net.dark.erase("core-" + std::to_string(i));
    t_.start(i, false);
  }
  // The operators' list of machines follows the replacements, and lags by one.
  void add_spare() {
    t_.seeds.clear();
    for (std::size_t k = 0; k < 3 && k < members_.size(); ++k) t_.seeds.push_back(t_.addresses[members_[k]]);
    members_.push_back(next_spare_);
    t_.start(next_spare_, false);
    ++next_spare_;
  }

  // From now on all count as there: the next trouble may come.
  bool settle() {
    t_.run_for(catch_up);
    return bears_losses_again() && read_back() && acknowledge("settled");
  }

  // All members vote in one set, and as many may be lost as ever.
  bool bears_losses_again() {
    VoterSet const& set = t_.acceptors[members_.front()]->set();
    bool const all_vote = std::all_of(members_.begin(), members_.end(), [&](std::size_t const m) {
      return t_.acceptors[m]->voting() && t_.acceptors[m]->set() == set;
    });
    bool const borne = members_.size() >= quorum_size(set) + losses_;
    EXPECT_TRUE(all_vote && borne) << t_.described();
    return all_vote && borne;
  }

  bool acknowledge(char const* const when) {
    ++last_;
    Result<RegisterValue> const done = t_.put(0, Register::routing, last_, std::to_string(last_), patience);
    EXPECT_TRUE(done) << when << ": " << done.error().reason;
    return done.has_value();
  }

  bool read_back() {
    Result<RegisterValue> const seen = t_.get(1, Register::routing, patience);
    EXPECT_TRUE(seen) << "read back: " << seen.error().reason;
    if (!seen) return false;
    EXPECT_EQ(seen->bytes, std::to_string(last_));
    return seen->bytes == std::to_string(last_);
  }

  StoreTrial t_;
  std::size_t const losses_;
  std::vector<std::size_t> members_;  // in the order in which they came
  std::size_t next_spare_;
  std::size_t interruptions_ = 0;
  Revision last_ = 0;
};

}  // namespace banktide
