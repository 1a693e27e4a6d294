// The encoding of a delta: the later holders as runs of earlier ones and new records, and for each
// service the ranges of keys whose rows differ, with their new rows. A new delta is applied once
// as a check before it is returned.
#include "state/key_table_delta.hpp"

#include "protocol/digest.hpp"

#include <algorithm>

namespace banktide {

namespace {

// How a service's rows are encoded.
enum class RowsEncoding : std::uint8_t { ranges = 0, whole = 1 };

// A part of the later holders: consecutive earlier holders, followed by new ones.
struct HolderRun {
  std::uint16_t first = 0;
  std::uint16_t count = 0;
  std::vector<KeyHolderRecord> added;
  BANKTIDE_FIELDS(first, count, added)
};

// The new rows of a range of keys.
struct RowRange {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::vector<KeyRow> rows;
};

[[noreturn]] void fail(char const* const reason) { throw cereal::Exception(reason); }

// ---- holders

std::vector<HolderRun> encode_holders(std::vector<KeyHolderRecord> const& before,
                                      std::vector<KeyHolderRecord> const& after) {
  std::vector<HolderRun> runs(1);
  for (KeyHolderRecord const& holder : after) {
    std::size_t const at = static_cast<std::size_t>(std::find(before.begin(), before.end(), holder) - before.begin());
    HolderRun& run = runs.back();
    if (at == before.size()) {
      run.added.push_back(holder);
    } else if (run.added.empty() && run.count > 0 && at == std::size_t{run.first} + run.count) {
      ++run.count;
    } else {
      runs.push_back(HolderRun{static_cast<std::uint16_t>(at), 1, {}});
    }
  }
  return runs;
}

std::vector<KeyHolderRecord> decode_holders(std::vector<KeyHolderRecord> const& before,
                                            std::vector<HolderRun> const& runs) {
  std::vector<KeyHolderRecord> after;
  for (HolderRun const& run : runs) {
    if (std::size_t{run.first} + run.count > before.size()) fail("unknown earlier holder");
    after.insert(after.end(), before.begin() + run.first, before.begin() + run.first + run.count);
    after.insert(after.end(), run.added.begin(), run.added.end());
    if (after.size() >= no_holder) fail("too many holders");
  }
  return after;
}

// Converts the earlier table to the later table's holder indexes: instances keep their rows whatever
// their index. Removed holders become `no_holder`.
KeyTable reindexed(KeyTable const& before, std::vector<KeyHolderRecord> const& holders) {
  KeyTable table = before;
  table.holders = holders;
  std::vector<std::uint16_t> new_indexes;
  for (KeyHolderRecord const& holder : before.holders) new_indexes.push_back(table.holder_index(holder.instance));
  for (KeyService& service : table.services)
    for (KeyRow& row : service.rows) {
      if (row.holder != no_holder) row.holder = new_indexes[row.holder];
      if (row.next != no_holder) row.next = new_indexes[row.next];
    }
  return table;
}

// ---- rows

// Both lists cover all keys.
std::vector<RowRange> changed_ranges(std::vector<KeyRow> const& before, std::vector<KeyRow> const& after) {
  std::vector<RowRange> ranges;
  std::size_t i = 0, j = 0;
  bool differed = false;
  while (i < before.size() && j < after.size()) {
    if (before[i] == after[j]) {
      differed = false;
      ++i, ++j;
      continue;
    }
    if (!differed) ranges.push_back(RowRange{after[j].from, after[j].to, {}});
    differed = true;
    RowRange& range = ranges.back();
    std::size_t const first = j;
    // Advance until both rows end at the same key.
    while (before[i].to != after[j].to) ++(before[i].to < after[j].to ? i : j);
    range.to = after[j].to;
    ++i, ++j;
    range.rows.insert(range.rows.end(), after.begin() + static_cast<std::ptrdiff_t>(first),
                      after.begin() + static_cast<std::ptrdiff_t>(j));
  }
  return ranges;
}

// Replaces the rows of the given ranges, which must be in order and aligned to rows.
std::vector<KeyRow> replace_rows(std::vector<KeyRow> const& before, std::vector<RowRange> const& ranges) {
  std::vector<KeyRow> after;
  std::size_t i = 0;
  for (RowRange const& range : ranges) {
    while (i < before.size() && before[i].from < range.from) after.push_back(before[i++]);
    if (i == before.size() || before[i].from != range.from) fail("a range that begins within a row");
    while (i < before.size() && before[i].to < range.to) ++i;
    if (i == before.size() || before[i].to != range.to) fail("a range that ends within a row");
    ++i;
    after.insert(after.end(), range.rows.begin(), range.rows.end());
  }
  after.insert(after.end(), before.begin() + static_cast<std::ptrdiff_t>(i), before.end());
  return after;
}

void save_rows(SaveArchive& archive, std::vector<KeyRow> const& rows) {
  archive(static_cast<std::uint32_t>(rows.size()));
  for (KeyRow const& row : rows) save_key_row(archive, row);
}

// Reads rows that cover the keys `from` to `to`; the encoding doesn't contain the rows' ends.
std::vector<KeyRow> load_rows(LoadArchive& archive, std::uint16_t const from, std::uint16_t const to,
                              std::size_t const holders) {
  std::uint32_t count = 0;
  archive(count);
  if (count > archive.left()) fail("length beyond the value");
  std::vector<KeyRow> rows;
  for (std::uint32_t r = 0; r < count; ++r) {
    KeyRow row = load_key_row(archive);
    if (row.from > to || row.from < from) fail("rows beyond their range");
    if (row.holder != no_holder && row.holder >= holders) fail("unknown holder");
    if (row.next != no_holder && row.next >= holders) fail("unknown next holder");
    if (rows.empty() ? row.from != from : row.from <= rows.back().from) fail("rows out of order");
    if (!rows.empty()) rows.back().to = static_cast<std::uint16_t>(row.from - 1);
    row.to = to;
    rows.push_back(std::move(row));
  }
  return rows;
}

// ---- tables

void save_service(SaveArchive& archive, KeyService const& after, KeyService const* const before) {
  archive(after.name);
  if (before == nullptr || before->rows.empty() || after.rows.empty()) {
    archive(RowsEncoding::whole);
    save_rows(archive, after.rows);
    return;
  }
  std::vector<RowRange> const ranges = changed_ranges(before->rows, after.rows);
  archive(RowsEncoding::ranges, static_cast<std::uint32_t>(ranges.size()));
  for (RowRange const& range : ranges) {
    archive(range.from, range.to);
    save_rows(archive, range.rows);
  }
}

KeyService load_service(LoadArchive& archive, KeyTable const& before) {
  KeyService after;
  RowsEncoding form{};
  archive(after.name, form);
  if (form == RowsEncoding::whole) {
    after.rows = load_rows(archive, 0, last_key, before.holders.size());
    return after;
  }
  if (form != RowsEncoding::ranges) fail("unknown form of rows");
  KeyService const* const known = before.service(after.name);
  if (known == nullptr) fail("unknown earlier service");
  std::uint32_t count = 0;
  archive(count);
  if (count > archive.left()) fail("length beyond the value");
  std::vector<RowRange> ranges;
  for (std::uint32_t r = 0; r < count; ++r) {
    RowRange range;
    archive(range.from, range.to);
    if (range.to < range.from) fail("a range that ends before it begins");
    range.rows = load_rows(archive, range.from, range.to, before.holders.size());
    if (range.rows.empty()) fail("a range without rows");
    ranges.push_back(std::move(range));
  }
  after.rows = replace_rows(known->rows, ranges);
  return after;
}

Bytes pack_delta(KeyTable const& before, KeyTable const& after) {
  Bytes bytes;
  SaveArchive archive(bytes);
  archive(encode_holders(before.holders, after.holders), static_cast<std::uint32_t>(after.services.size()));
  KeyTable const base = reindexed(before, after.holders);
  for (KeyService const& service : after.services) save_service(archive, service, base.service(service.name));
  return bytes;
}

KeyTable apply_delta(KeyTable const& before, KeyDelta const& delta) {
  LoadArchive archive(delta.bytes);
  std::vector<HolderRun> runs;
  std::uint32_t services = 0;
  archive(runs, services);
  if (services > archive.left()) fail("length beyond the value");
  KeyTable const base = reindexed(before, decode_holders(before.holders, runs));
  KeyTable after;
  after.revision = delta.to;
  after.holders = base.holders;
  for (std::uint32_t s = 0; s < services; ++s) after.services.push_back(load_service(archive, base));
  if (archive.left() != 0) fail("bytes left over");
  return after;
}

}  // namespace

std::optional<KeyDelta> make_key_delta(RegisterValue const& base, RegisterValue const& target) {
  if (base.revision >= target.revision || base.bytes.empty()) return std::nullopt;
  Result<KeyTable> const before = unpack_key_table(base.bytes, base.revision);
  Result<KeyTable> const after = unpack_key_table(target.bytes, target.revision);
  if (!before || !after) return std::nullopt;
  KeyDelta delta;
  delta.from = base.revision;
  delta.to = target.revision;
  delta.digest = target.digest;
  delta.bytes = pack_delta(*before, *after);
  if (delta.bytes.size() >= target.bytes.size() || !apply_key_deltas(base, {delta})) return std::nullopt;
  return delta;
}

Result<RegisterValue> apply_key_deltas(RegisterValue const& base, std::vector<KeyDelta> const& deltas) {
  std::vector<KeyDelta>::const_iterator next =
      std::find_if(deltas.begin(), deltas.end(), [&](KeyDelta const& delta) { return delta.to > base.revision; });
  if (next == deltas.end()) return make_error("key table delta", "", "no newer delta");
  if (next->from != base.revision) return make_error("key table delta", "", "made from another base revision");
  Result<KeyTable> table = unpack_key_table(base.bytes, base.revision);
  if (!table) return tl::unexpected<Error>(table.error());
  RegisterValue target;
  try {
    for (; next != deltas.end(); ++next) {
      if (next->from != table->revision || next->to <= next->from) fail("revisions out of order");
      table = apply_delta(*table, *next);
      target.digest = next->digest;
    }
  } catch (std::exception const& e) {
    return make_error("key table delta", "", e.what());
  }
  target.revision = table->revision;
  target.bytes = pack_key_table(*table);
  if (digest_of(target.bytes) != target.digest)
    return make_error("key table delta", "", "the result is not the target table");
  return target;
}

}  // namespace banktide
