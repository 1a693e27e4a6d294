// A taker's first rate of a row rests on half a second: what the giver knew is
// kept until the taker knows as much, unless the two can't both be right.
#include "state/key_rates.hpp"

#include <algorithm>
#include <cmath>

namespace banktide {

namespace {

constexpr double max_deviations = 4;            // standard deviations beyond which a new rate is no chance
constexpr double sufficient_seconds = 4;        // a rate taken over this long needs no other
constexpr Duration absent_row_retention = 10s;  // that are in the table no more

bool agrees_with(KeyRate const& known, KeyRowLoad const& told) {
  if (told.seconds <= 0 || told.seconds >= std::min(known.seconds, sufficient_seconds)) return false;
  double const deviation = std::sqrt((known.rate * told.seconds + 1)) / told.seconds;
  return std::abs(told.rate - known.rate) <= max_deviations * deviation;
}

}  // namespace

void KeyRates::update(Instant const now, KeyReport const& report) {
  for (KeyRowLoad const& told : report.held) {
    if (told.rate < 0) continue;
    KeyRate& known = known_[Range{told.from, told.to}];
    known.told = now;
    known.last_reporter = report.instance;
    bool const of_another = !known.source.empty() && known.source != report.instance;
    if (of_another && agrees_with(known, told)) continue;
    known.rate = told.rate;
    known.seconds = told.seconds;
    known.source = report.instance;
    known.cuts.clear();
    for (KeyRowCuts const& hot : report.hot)
      if (hot.from == told.from) known.cuts = hot.cuts;
  }
}

KeyRate const* KeyRates::find(KeyRow const& row) const {
  std::map<Range, KeyRate>::const_iterator const found = known_.find(Range{row.from, row.to});
  return found == known_.end() ? nullptr : &found->second;
}

void KeyRates::set(KeyRow const& row, KeyRate rate) { known_[Range{row.from, row.to}] = std::move(rate); }

void KeyRates::note_move(KeyRow const& row, Instant const now) { known_[Range{row.from, row.to}].moved_at = now; }

void KeyRates::remove_expired(KeyService const& service, Instant const now) {
  std::erase_if(known_, [&](std::pair<Range const, KeyRate> const& known) {
    if (now - known.second.told <= absent_row_retention) return false;
    KeyRow const* const row = service.row_of(known.first.from);
    return row == nullptr || row->from != known.first.from || row->to != known.first.to;
  });
}

}  // namespace banktide
