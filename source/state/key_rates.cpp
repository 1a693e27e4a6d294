// After a move the new holder's first rate of a row was measured over half a second only. The rate
// of the former holder is kept until the new one has measured for as long, unless the two differ by
// more than random variation explains.
#include "state/key_rates.hpp"

#include <algorithm>
#include <cmath>

namespace banktide {

namespace {

constexpr double max_deviations = 4;            // in standard deviations: a new rate beyond is a real change
constexpr double sufficient_seconds = 4;        // a rate measured over this long replaces any other
constexpr Duration absent_row_retention = 10s;  // rows no longer in the table

bool agrees_with(KeyRate const& known, KeyRowLoad const& reported) {
  if (reported.seconds <= 0 || reported.seconds >= std::min(known.seconds, sufficient_seconds)) return false;
  double const deviation = std::sqrt((known.rate * reported.seconds + 1)) / reported.seconds;
  return std::abs(reported.rate - known.rate) <= max_deviations * deviation;
}

}  // namespace

void KeyRates::update(Instant const now, KeyReport const& report) {
  for (KeyRowLoad const& reported : report.held) {
    if (reported.rate < 0) continue;
    KeyRate& known = known_[Range{reported.from, reported.to}];
    known.reported_at = now;
    known.last_reporter = report.instance;
    bool const of_another = !known.source.empty() && known.source != report.instance;
    if (of_another && agrees_with(known, reported)) continue;
    known.rate = reported.rate;
    known.seconds = reported.seconds;
    known.source = report.instance;
    known.cuts.clear();
    for (KeyRowCuts const& hot : report.hot)
      if (hot.from == reported.from) known.cuts = hot.cuts;
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
    if (now - known.second.reported_at <= absent_row_retention) return false;
    KeyRow const* const row = service.row_of(known.first.from);
    return row == nullptr || row->from != known.first.from || row->to != known.first.to;
  });
}

}  // namespace banktide
