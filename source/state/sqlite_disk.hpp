// Stores a voter's record as one row in SQLite, fully synced before `save` returns. The blob is the
// record as cereal packs it, stored with its digest, so that a torn or foreign row is an error at
// start-up and never becomes a vote. `user_version` is the format of the record: the previous format
// is read too and replaced by the current one at the next write; any other is refused with an error.
#pragma once

#include "coordination/acceptor.hpp"
#include "protocol/digest.hpp"

#include <sqlite3.h>

namespace banktide {

/// A voter's record in format 2, before the register `maintenance` was added.
struct VoterRecordFormat2 {
  BootstrapPhase phase = BootstrapPhase::blank;
  std::uint64_t bootstrap_id = 0;
  std::array<RegisterSlot, 4> slots;
  VoterSet set;
  std::uint64_t active_epoch = 0;
  std::uint64_t disk = 0;
  BANKTIDE_FIELDS(phase, bootstrap_id, slots, set, active_epoch, disk)

  /// Returns the record in the current format, with an empty register `maintenance`.
  VoterRecord upgraded() const {
    VoterRecord record;
    record.phase = phase;
    record.bootstrap_id = bootstrap_id;
    for (std::size_t i = 0; i < slots.size(); ++i) record.slots[i] = slots[i];
    record.set = set;
    record.active_epoch = active_epoch;
    record.disk = disk;
    return record;
  }
};

class SqliteDisk {
 public:
  static Result<std::unique_ptr<SqliteDisk>> open(std::string const& file) {
    std::unique_ptr<SqliteDisk> d(new SqliteDisk());
    if (sqlite3_open(file.c_str(), &d->db_) != SQLITE_OK) return make_error("open_disk", file, sqlite3_errmsg(d->db_));
    for (
        char const* sql :
        {"PRAGMA locking_mode=EXCLUSIVE", "PRAGMA journal_mode=WAL", "PRAGMA synchronous=FULL",
         "PRAGMA cache_size=-256", "PRAGMA wal_autocheckpoint=64", "PRAGMA journal_size_limit=262144",
         "CREATE TABLE IF NOT EXISTS voter(one INTEGER PRIMARY KEY CHECK(one=1), record BLOB NOT NULL, digest INTEGER NOT NULL)",
         "BEGIN IMMEDIATE", "COMMIT"})
      if (sqlite3_exec(d->db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
        return make_error("open_disk", file, sqlite3_errmsg(d->db_));
    return d;
  }
  ~SqliteDisk() { sqlite3_close(db_); }
  SqliteDisk(SqliteDisk const&) = delete;

  Result<VoterRecord> load() {
    sqlite3_stmt* s = nullptr;
    if (sqlite3_prepare_v2(db_, "SELECT record, digest FROM voter", -1, &s, nullptr) != SQLITE_OK)
      return make_error("load_disk", "", sqlite3_errmsg(db_));
    int const rc = sqlite3_step(s);
    Result<VoterRecord> out = VoterRecord{};
    if (rc == SQLITE_ROW && format() != record_format && format() != previous_record_format) {
      out = make_error("load_disk", "",
                       "record of format " + std::to_string(format()) + ", known is " + std::to_string(record_format));
    } else if (rc == SQLITE_ROW) {
      Bytes const raw(static_cast<char const*>(sqlite3_column_blob(s, 0)),
                      static_cast<std::size_t>(sqlite3_column_bytes(s, 0)));
      if (digest_of(raw) != static_cast<std::uint64_t>(sqlite3_column_int64(s, 1)))
        out = make_error("load_disk", "", "the digest of the record doesn't match");
      else
        out = read(raw);
    } else if (rc != SQLITE_DONE) {
      out = make_error("load_disk", "", sqlite3_errmsg(db_));
    }
    sqlite3_finalize(s);
    return out;
  }

  Task<Result<bool>> save(VoterRecord const& r) {
    if (format() == record_format) co_return write(r);
    // The new format and the first record in it are committed together or not at all.
    std::string const number = "BEGIN IMMEDIATE; PRAGMA user_version=" + std::to_string(record_format);
    Result<bool> done = execute(number.c_str());
    if (done) done = write(r);
    if (done) done = execute("COMMIT");
    if (!done && sqlite3_get_autocommit(db_) == 0) (void)execute("ROLLBACK");
    co_return done;
  }

  /// Limits the pages of the file, to simulate a full disk in tests.
  void limit_pages(int const pages) {
    std::string const sql = "PRAGMA max_page_count=" + std::to_string(pages);
    sqlite3_exec(db_, sql.c_str(), nullptr, nullptr, nullptr);
  }

 private:
  static constexpr int record_format = 3;
  static constexpr int previous_record_format = 2;

  Result<VoterRecord> read(Bytes const& raw) const {
    if (format() == record_format) return unpack<VoterRecord>(raw);
    return unpack<VoterRecordFormat2>(raw).map([](VoterRecordFormat2 const& old) { return old.upgraded(); });
  }

  Result<bool> execute(char const* const sql) {
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK) return true;
    return make_error("keep_disk", "", sqlite3_errmsg(db_));
  }

  Result<bool> write(VoterRecord const& r) {
    Bytes const raw = pack(r);
    sqlite3_stmt* s = nullptr;
    if (sqlite3_prepare_v2(db_, "INSERT OR REPLACE INTO voter VALUES(1, ?, ?)", -1, &s, nullptr) != SQLITE_OK)
      return make_error("keep_disk", "", sqlite3_errmsg(db_));
    sqlite3_bind_blob64(s, 1, raw.data(), raw.size(), SQLITE_STATIC);
    sqlite3_bind_int64(s, 2, static_cast<sqlite3_int64>(digest_of(raw)));
    int const rc = sqlite3_step(s);
    sqlite3_finalize(s);
    if (rc != SQLITE_DONE) return make_error("keep_disk", "", sqlite3_errmsg(db_));
    return true;
  }

  SqliteDisk() = default;
  int format() const {
    if (format_ == record_format) return format_;
    sqlite3_stmt* s = nullptr;
    if (sqlite3_prepare_v2(db_, "PRAGMA user_version", -1, &s, nullptr) != SQLITE_OK) return -1;
    format_ = sqlite3_step(s) == SQLITE_ROW ? sqlite3_column_int(s, 0) : -1;
    sqlite3_finalize(s);
    return format_;
  }
  sqlite3* db_ = nullptr;
  mutable int format_ = -1;
};

}  // namespace banktide
