// banktide-store: one voter of the register, on its own disk. It knows nothing
// of HTTP; registries ask it over our frames.
#include "programs/process.hpp"
#include "state/sqlite_disk.hpp"

#include <filesystem>

using namespace banktide;

namespace {

void define(Settings& s) {
  s.text("id", "", "name of this store");
  s.text("address", "", "ip:port for other processes");
  s.list("voter", "ip:port of a store; repeat for every voter, this one included, in the same order everywhere");
  s.text("data", "", "folder for its file");
  s.need_name("id");
  s.need_address("address");
  s.need_addresses("voter", 1);
  s.check([&s](std::vector<std::string>& errors) {
    std::vector<std::string> const v = s.list("voter");
    if (std::count(v.begin(), v.end(), s.text("address")) != 1) errors.push_back("voter: must name this address once");
    if (s.text("data").empty()) errors.push_back("data: needed");
  });
}

}  // namespace

int main(int argc, char** argv) {
  Settings s("banktide-store");
  define(s);
  if (std::optional<int> const code = s.read(argc, argv)) return *code;
  start_logging(s.text("log-level"), "banktide-store", s.text("id"));
  std::error_code ec;
  std::filesystem::create_directories(s.text("data"), ec);
  Result<std::unique_ptr<SqliteDisk>> disk = SqliteDisk::open(s.text("data") + "/voter.db");
  if (!disk) {
    log_warn("start_failed",
             {{"step", disk.error().step}, {"peer", disk.error().peer}, {"reason", disk.error().reason}});
    return 1;
  }
  Process process;
  SocketWorld world;
  Desk desk;
  std::vector<std::string> const voters = s.list("voter");
  std::size_t const own =
      static_cast<std::size_t>(std::find(voters.begin(), voters.end(), s.text("address")) - voters.begin());
  Acceptor<SocketWorld, SqliteDisk> acceptor(world, **disk, voters, own);
  Result<bool> loaded = acceptor.load();
  Result<Address> bound =
      loaded ? world.listen(s.text("address")) : Result<Address>(tl::unexpected<Mishap>(loaded.error()));
  if (!bound) {
    log_warn("start_failed",
             {{"step", bound.error().step}, {"peer", bound.error().peer}, {"reason", bound.error().reason}});
    return 1;
  }
  acceptor.attach(desk);
  process.on_thread([&]() {
    world.serve(desk);
    spawn(world, acceptor.settle());
    return true;
  });
  log_info("started", {{"address", *bound}});
  process.until_told_to_go(
      [] {}, [] { return true; },
      [&] { Process::reload(s, define, argc, argv, [](std::string const&, Settings const&) { return false; }); }, 1s);
  std::_Exit(0);
}
