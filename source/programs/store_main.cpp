// banktide-store: one voter of the register, with its own disk. It has no HTTP
// interface; registries use the peer protocol. The set of voters is either a
// fixed list (--voter), or discovered from the seeds and changed as stores join
// and leave (--seed-voter).
#include "coordination/membership.hpp"
#include "platform/settings_file.hpp"
#include "programs/mesh_settings.hpp"
#include "programs/process.hpp"
#include "state/sqlite_disk.hpp"

#include <filesystem>

using namespace banktide;

namespace {

/// How long a store that shuts down waits to be removed from the set of voters.
constexpr Duration removal_timeout = 2s;

void define(Settings& settings) {
  settings.text("id", "", "name of this store");
  settings.text("address", "", "ip:port for other processes");
  settings.list("voter", "ip:port of a store; repeat for every voter, this one included, in the same order everywhere");
  settings.list("seed-voter", "instead of --voter: ip:port of a store to ask; repeat");
  settings.list("seed-control", "like seed-voter, by the operator interfaces on their machines; with peer-port");
  settings.text("peer-port", "0", "the port at which all stores listen");
  settings.flag("counted", "this machine counts among those that may be lost; not used");
  settings.flag("initial-start", "the seeds found the register: their disks are empty");
  settings.number("losses", 1, 0, 9, "with --seed-voter: how many stores may lose their disks at once");
  settings.text("data", "", "folder for its file");
  settings.require_name("id");
  settings.require_address("address");
  settings.require_addresses("voter", 0);
  settings.require_addresses("seed-voter", 0);
  settings.check([&settings](std::vector<std::string>& errors) {
    std::vector<std::string> const v = settings.list("voter");
    if (v.empty() == (settings.list("seed-voter").empty() && settings.list("seed-control").empty()))
      errors.push_back("voter: needed, or else seed-voter, not both");
    if (!v.empty() && std::count(v.begin(), v.end(), settings.text("address")) != 1)
      errors.push_back("voter: must name this address once");
    if (settings.text("data").empty()) errors.push_back("data: needed");
  });
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> const on_platform = platform::command_line(argc, argv);
  CommandLine line(on_platform.empty() ? std::vector<std::string>(argv, argv + argc) : on_platform);
  Settings settings("banktide-store");
  define(settings);
  if (std::optional<int> const code = settings.read(line.count(), line.words())) return *code;
  start_logging(settings.text("log-level"), "banktide-store", settings.text("id"));
  std::error_code ec;
  std::filesystem::create_directories(settings.text("data"), ec);
  Result<std::unique_ptr<SqliteDisk>> disk = SqliteDisk::open(settings.text("data") + "/voter.db");
  if (!disk) {
    log_warn("start_failed",
             {{"step", disk.error().step}, {"peer", disk.error().peer}, {"reason", disk.error().reason}});
    return 1;
  }
  Process process;
  SocketEnvironment env;
  Dispatcher dispatcher;
  std::vector<std::string> const voters = settings.list("voter");
  std::size_t const own =
      static_cast<std::size_t>(std::find(voters.begin(), voters.end(), settings.text("address")) - voters.begin());
  bool const fixed = !voters.empty();
  using Voter = Acceptor<SocketEnvironment, SqliteDisk>;
  std::unique_ptr<Voter> const owned = fixed ? std::make_unique<Voter>(env, **disk, voters, own)
                                             : std::make_unique<Voter>(env, **disk, settings.text("address"));
  Voter& acceptor = *owned;
  Result<bool> loaded = acceptor.load();
  MembershipSettings membership_settings;
  membership_settings.seeds =
      settings.list("seed-control").empty() ? settings.list("seed-voter") : seed_peers(settings);
  membership_settings.initial_start = settings.flag("initial-start");
  membership_settings.losses = static_cast<std::uint32_t>(settings.number("losses"));
  Membership<SocketEnvironment, SqliteDisk> membership(env, acceptor, membership_settings);
  Result<Address> bound =
      loaded ? env.listen(settings.text("address")) : Result<Address>(tl::unexpected<Error>(loaded.error()));
  if (!bound) {
    log_warn("start_failed",
             {{"step", bound.error().step}, {"peer", bound.error().peer}, {"reason", bound.error().reason}});
    return 1;
  }
  acceptor.attach(dispatcher);
  process.run_on_thread([&]() {
    env.serve(dispatcher);
    if (!fixed) membership.attach(dispatcher);
    spawn(env, fixed ? acceptor.run_until_voting() : membership.run());
    return true;
  });
  log_info("started", {{"address", *bound}, {"commit", source_commit()}});
  auto const reload = [&] {
    Process::reload(settings, define, line.count(), line.words(),
                    [](std::string const&, Settings const&) { return false; });
  };
  auto const leave = [&] {
    if (!fixed) spawn(env, membership.leave(removal_timeout));
  };
  process.run_until_shutdown(
      leave, [&] { return fixed || membership.left(); }, reload, removal_timeout + 500ms);
  std::_Exit(0);
}
