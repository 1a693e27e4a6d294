// The voter's disk: record formats, and a disk that refuses writes.
#include "state/sqlite_disk.hpp"

#include <filesystem>
#include <gtest/gtest.h>

namespace banktide {
namespace {

class SqliteDiskFile : public testing::Test {
 protected:
  SqliteDiskFile() : folder(std::filesystem::temp_directory_path() / ("banktide-h2-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(folder);
    file = (folder / "voter.db").string();
  }
  ~SqliteDiskFile() override { std::filesystem::remove_all(folder); }

  Result<bool> save(SqliteDisk& disk, VoterRecord const& record) {
    Result<bool> out = make_error("keep", "", "no end");
    asio::io_context io;
    asio::co_spawn(io, disk.save(record), [&](std::exception_ptr, Result<bool> kept) { out = kept; });
    io.run();
    return out;
  }
  void run(std::string const& sql) {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open(file.c_str(), &db), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(db, sql.c_str(), nullptr, nullptr, nullptr), SQLITE_OK);
    sqlite3_close(db);
  }

  void put_row(Bytes const& raw, int const format) {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open(file.c_str(), &db), SQLITE_OK);
    sqlite3_stmt* statement = nullptr;
    ASSERT_EQ(sqlite3_prepare_v2(db, "INSERT OR REPLACE INTO voter VALUES(1, ?, ?)", -1, &statement, nullptr),
              SQLITE_OK);
    sqlite3_bind_blob64(statement, 1, raw.data(), raw.size(), SQLITE_STATIC);
    sqlite3_bind_int64(statement, 2, static_cast<sqlite3_int64>(digest_of(raw)));
    EXPECT_EQ(sqlite3_step(statement), SQLITE_DONE);
    sqlite3_finalize(statement);
    sqlite3_close(db);
    run("PRAGMA user_version=" + std::to_string(format));
  }

  std::filesystem::path const folder;
  std::string file;
};

TEST(SqliteDisk, a_record_survives_reopening_and_a_corrupt_one_is_refused) {
  std::filesystem::path const dir =
      std::filesystem::temp_directory_path() / ("banktide-disk-" + std::to_string(::getpid()));
  std::filesystem::create_directories(dir);
  std::string const file = dir / "voter.db";
  VoterRecord r;
  r.phase = BootstrapPhase::voting;
  r.slots[1].held.bytes = std::string("a\0b", 3);
  asio::io_context io;
  {
    std::unique_ptr<SqliteDisk> d = std::move(*SqliteDisk::open(file));
    EXPECT_EQ(d->load()->phase, BootstrapPhase::blank);
    bool kept = false;
    asio::co_spawn(io, d->save(r), [&](std::exception_ptr, Result<bool> ok) { kept = ok.has_value(); });
    io.run();
    EXPECT_TRUE(kept);
  }
  {
    std::unique_ptr<SqliteDisk> d = std::move(*SqliteDisk::open(file));
    EXPECT_EQ(d->load()->slots, r.slots);
  }
  sqlite3* db = nullptr;
  sqlite3_open(file.c_str(), &db);
  sqlite3_exec(db, "UPDATE voter SET record = x'00'", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  EXPECT_FALSE((*SqliteDisk::open(file))->load());
  std::filesystem::remove_all(dir);
}

TEST_F(SqliteDiskFile, the_voter_set_and_all_registers_survive_reopening) {
  VoterRecord record;
  record.phase = BootstrapPhase::voting;
  record.set = initial_set({"a:1", "b:1"}, 1);
  record.set.epoch = record.active_epoch = 7;
  record.disk = 99;
  record.slots[static_cast<std::size_t>(Register::keys)].held.bytes = "keys";
  {
    std::unique_ptr<SqliteDisk> disk = std::move(*SqliteDisk::open(file));
    ASSERT_TRUE(save(*disk, record));
  }
  Result<VoterRecord> const back = (*SqliteDisk::open(file))->load();
  ASSERT_TRUE(back);
  EXPECT_EQ(back->set, record.set);
  EXPECT_EQ(back->active_epoch, 7u);
  EXPECT_EQ(back->disk, 99u);
  EXPECT_EQ(back->slots, record.slots);
}

TEST_F(SqliteDiskFile, a_record_of_an_unknown_format_is_refused_with_its_number) {
  {
    std::unique_ptr<SqliteDisk> disk = std::move(*SqliteDisk::open(file));
    VoterRecord const record;
    ASSERT_TRUE(save(*disk, record));
  }
  run("PRAGMA user_version=0");
  Result<VoterRecord> const old = (*SqliteDisk::open(file))->load();
  ASSERT_FALSE(old);
  EXPECT_EQ(old.error().reason, "record of format 0, known is 3");
}

// Writes a record in format 2, which has four registers, directly into the database.
TEST_F(SqliteDiskFile, a_record_of_format_2_is_read_and_then_written_in_the_current_format) {
  VoterRecordFormat2 before;
  before.phase = BootstrapPhase::voting;
  before.bootstrap_id = 5;
  before.set = initial_set({"a:1", "b:1"}, 1);
  before.set.epoch = before.active_epoch = 7;
  before.disk = 99;
  for (std::size_t i = 0; i < before.slots.size(); ++i) {
    before.slots[i].promised = Ballot{7, 10 + i, 3};
    before.slots[i].accepted = Ballot{7, 9 + i, 3};
    before.slots[i].held.revision = 20 + i;
    before.slots[i].held.bytes = "value " + std::to_string(i);
  }
  (*SqliteDisk::open(file)).reset();
  put_row(pack(before), 2);
  std::unique_ptr<SqliteDisk> disk = std::move(*SqliteDisk::open(file));
  Result<VoterRecord> loaded = disk->load();
  ASSERT_TRUE(loaded) << loaded.error().reason;
  EXPECT_EQ(loaded->phase, BootstrapPhase::voting);
  EXPECT_EQ(loaded->bootstrap_id, 5u);
  EXPECT_EQ(loaded->set, before.set);
  EXPECT_EQ(loaded->active_epoch, 7u);
  EXPECT_EQ(loaded->disk, 99u);
  for (std::size_t i = 0; i < before.slots.size(); ++i) EXPECT_EQ(loaded->slots[i], before.slots[i]);
  EXPECT_EQ(loaded->slots[static_cast<std::size_t>(Register::maintenance)], RegisterSlot{});
  loaded->slots[static_cast<std::size_t>(Register::maintenance)].held.bytes = "window";
  ASSERT_TRUE(save(*disk, *loaded));
  disk.reset();
  Result<VoterRecord> const again = (*SqliteDisk::open(file))->load();
  ASSERT_TRUE(again) << again.error().reason;
  EXPECT_EQ(again->slots, loaded->slots);
}

// The new format must not be set before a record in it is stored.
TEST_F(SqliteDiskFile, a_refused_first_write_leaves_the_record_of_format_2_readable) {
  (*SqliteDisk::open(file)).reset();
  VoterRecordFormat2 before;
  before.disk = 99;
  put_row(pack(before), 2);
  {
    std::unique_ptr<SqliteDisk> disk = std::move(*SqliteDisk::open(file));
    Result<VoterRecord> large = disk->load();
    ASSERT_TRUE(large);
    large->slots[0].held.bytes = std::string(300000, 'x');
    disk->limit_pages(20);
    EXPECT_FALSE(save(*disk, *large));
  }
  Result<VoterRecord> const back = (*SqliteDisk::open(file))->load();
  ASSERT_TRUE(back) << back.error().reason;
  EXPECT_EQ(back->disk, 99u);
}

TEST_F(SqliteDiskFile, a_refused_write_is_an_error_and_the_next_may_succeed) {
  std::unique_ptr<SqliteDisk> disk = std::move(*SqliteDisk::open(file));
  VoterRecord small, large;
  large.slots[0].held.bytes = std::string(300000, 'x');
  ASSERT_TRUE(save(*disk, small));
  disk->limit_pages(20);
  EXPECT_FALSE(save(*disk, large));
  small.disk = 3;
  EXPECT_TRUE(save(*disk, small));
  EXPECT_EQ(disk->load()->disk, 3u);
}

TEST_F(SqliteDiskFile, its_files_stay_small_however_often_it_is_written) {
  std::unique_ptr<SqliteDisk> disk = std::move(*SqliteDisk::open(file));
  VoterRecord record;
  record.slots[0].held.bytes = std::string(20000, 'x');
  for (int i = 0; i < 200; ++i) ASSERT_TRUE(save(*disk, record));
  std::uintmax_t bytes = 0;
  for (auto const& entry : std::filesystem::directory_iterator(folder)) bytes += entry.file_size();
  EXPECT_LT(bytes, 1000000u);
}

}  // namespace
}  // namespace banktide
