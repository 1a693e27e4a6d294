// Lookup of keys, and the compact encoding of the table: each optional field (a move, a revocation,
// a handover token) takes one bit if absent, and a row's end follows from the next row's beginning.
#include "state/key_table.hpp"

#include <algorithm>

namespace banktide {

namespace {

constexpr std::uint8_t has_next = 1;
constexpr std::uint8_t has_moving = 2;
constexpr std::uint8_t is_revoked = 4;
constexpr std::uint8_t has_handover = 8;

// Sets the rows' ends. Throws if the rows don't cover all keys in order or refer to unknown holders.
void set_row_ends(std::vector<KeyRow>& rows, std::size_t const holders) {
  if (rows.empty()) return;
  if (rows.front().from != 0) throw cereal::Exception("keys without a row");
  for (std::size_t i = 0; i < rows.size(); ++i) {
    bool const last = i + 1 == rows.size();
    if (!last && rows[i + 1].from <= rows[i].from) throw cereal::Exception("rows out of order");
    rows[i].to = last ? last_key : static_cast<std::uint16_t>(rows[i + 1].from - 1);
    if (rows[i].holder != no_holder && rows[i].holder >= holders) throw cereal::Exception("unknown holder");
    if (rows[i].next != no_holder && rows[i].next >= holders) throw cereal::Exception("unknown next holder");
  }
}

}  // namespace

KeyRow const* KeyService::row_of(std::uint16_t const key) const {
  std::vector<KeyRow>::const_iterator const after =
      std::upper_bound(rows.begin(), rows.end(), key, [](std::uint16_t k, KeyRow const& row) { return k < row.from; });
  return after == rows.begin() ? nullptr : &*(after - 1);
}

std::uint32_t KeyService::highest_fence() const {
  std::uint32_t highest = 0;
  for (KeyRow const& row : rows) highest = std::max(highest, row.fence);
  return highest;
}

KeyService const* KeyTable::service(std::string_view const name) const {
  for (KeyService const& s : services)
    if (s.name == name) return &s;
  return nullptr;
}

KeyHolderRecord const* KeyTable::find(std::string_view const name, std::uint16_t const key) const {
  KeyService const* const found = service(name);
  KeyRow const* const row = found == nullptr ? nullptr : found->row_of(key);
  return row == nullptr || row->holder == no_holder ? nullptr : &holders[row->holder];
}

std::uint16_t KeyTable::holder_index(std::string_view const instance) const {
  for (std::size_t i = 0; i < holders.size(); ++i)
    if (holders[i].instance == instance) return static_cast<std::uint16_t>(i);
  return no_holder;
}

std::uint16_t KeyTable::add_holder(KeyHolderRecord const& holder) {
  std::uint16_t const known = holder_index(holder.instance);
  if (known != no_holder) {
    holders[known] = holder;
    return known;
  }
  holders.push_back(holder);
  return static_cast<std::uint16_t>(holders.size() - 1);
}

void KeyTable::remove_unused_holders() {
  std::vector<std::uint16_t> new_indexes(holders.size(), no_holder);
  for (KeyService const& s : services)
    for (KeyRow const& row : s.rows) {
      if (row.holder != no_holder) new_indexes[row.holder] = 0;
      if (row.next != no_holder) new_indexes[row.next] = 0;
    }
  std::vector<KeyHolderRecord> kept;
  for (std::size_t i = 0; i < holders.size(); ++i) {
    if (new_indexes[i] == no_holder) continue;
    new_indexes[i] = static_cast<std::uint16_t>(kept.size());
    kept.push_back(std::move(holders[i]));
  }
  holders = std::move(kept);
  for (KeyService& s : services)
    for (KeyRow& row : s.rows) {
      if (row.holder != no_holder) row.holder = new_indexes[row.holder];
      if (row.next != no_holder) row.next = new_indexes[row.next];
    }
}

void save_key_row(SaveArchive& archive, KeyRow const& row) {
  std::uint8_t const flags =
      static_cast<std::uint8_t>((row.next != no_holder ? has_next : 0) | (row.moving != 0 ? has_moving : 0) |
                                (row.revoked != 0 ? is_revoked : 0) | (!row.handover.empty() ? has_handover : 0));
  archive(flags, row.from, row.holder, row.fence);
  if (flags & has_next) archive(row.next);
  if (flags & has_moving) archive(row.moving);
  if (flags & is_revoked) archive(row.revoked);
  if (flags & has_handover) archive(row.handover);
}

KeyRow load_key_row(LoadArchive& archive) {
  KeyRow row;
  std::uint8_t flags = 0;
  archive(flags, row.from, row.holder, row.fence);
  if (flags & has_next) archive(row.next);
  if (flags & has_moving) archive(row.moving);
  if (flags & is_revoked) archive(row.revoked);
  if (flags & has_handover) archive(row.handover);
  return row;
}

Bytes pack_key_table(KeyTable const& table) {
  Bytes bytes;
  SaveArchive archive(bytes);
  archive(table.holders, static_cast<std::uint32_t>(table.services.size()));
  for (KeyService const& s : table.services) {
    archive(s.name, static_cast<std::uint32_t>(s.rows.size()));
    for (KeyRow const& row : s.rows) save_key_row(archive, row);
  }
  return bytes;
}

Result<KeyTable> unpack_key_table(Bytes const& bytes, Revision const revision) {
  KeyTable table;
  table.revision = revision;
  if (bytes.empty()) return table;
  try {
    LoadArchive archive(bytes);
    std::uint32_t services = 0;
    archive(table.holders, services);
    for (std::uint32_t s = 0; s < services; ++s) {
      KeyService one;
      std::uint32_t rows = 0;
      archive(one.name, rows);
      if (rows > archive.left()) throw cereal::Exception("length beyond the value");
      for (std::uint32_t r = 0; r < rows; ++r) one.rows.push_back(load_key_row(archive));
      set_row_ends(one.rows, table.holders.size());
      table.services.push_back(std::move(one));
    }
    if (archive.left() != 0) return make_error("key table", "", "bytes left over");
  } catch (std::exception const& e) {
    return make_error("key table", "", e.what());
  }
  return table;
}

}  // namespace banktide
