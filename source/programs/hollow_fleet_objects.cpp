// See hollow_fleet_objects.hpp.
#include "programs/hollow_fleet_objects.hpp"

#include "data_path/endpoint_selector.hpp"
#include "programs/hollow_fleet_interface.hpp"
#include "programs/process.hpp"
#include "protocol/key_messages.hpp"
#include "state/zone_view.hpp"
#include "state/key_planner.hpp"
#include "transport/socket_environment.hpp"

#include <ctime>
#include <functional>
#include <malloc.h>
#include <memory>

namespace banktide {

namespace {

constexpr std::size_t object_counts[] = {250, 500, 1000, 2000, 4000};
constexpr int repeats = 5;

double processor_us() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

// As the allocator counts them, its overhead included.
double allocated_bytes() {
  struct mallinfo2 const m = mallinfo2();
  return static_cast<double>(m.uordblks + m.hblkhd);
}

// Prints the bytes per object that `make` leaves allocated, and its shortest run time.
void measure_construction(std::ostream& out, std::string const& name, std::size_t const count,
                          std::function<std::shared_ptr<void>()> const& make) {
  double bytes = 0, shortest = 0;
  for (int i = 0; i < repeats; ++i) {
    double const before = allocated_bytes();
    double const begun = processor_us();
    std::shared_ptr<void> const made = make();
    double const took = processor_us() - begun;
    bytes = allocated_bytes() - before;
    shortest = i == 0 ? took : std::min(shortest, took);
  }
  out << name << "," << count << "," << bytes / static_cast<double>(count) << "," << shortest << "\n";
}

Member member(std::size_t const i) {
  return Member{"node-" + std::to_string(i),
                "zone-1",
                "10.1.0." + std::to_string(i % 250) + ":7200",
                Role::gateway,
                1,
                Liveness::alive};
}

BackendRecord backend(std::size_t const i) {
  BackendRecord b;
  b.service = hollow_service_name(i / 5);
  b.instance = "instance-node-" + std::to_string(i) + "-1";
  b.node = "node-" + std::to_string(i);
  b.slots = 8;
  return b;
}

ServiceOffer offer(std::size_t const i) {
  return ServiceOffer{
      hollow_service_name(i / 5), "node-" + std::to_string(i), "10.1.0." + std::to_string(i % 250) + ":7200", 8, 0, 0};
}

std::shared_ptr<ZoneView> view_of_members(std::size_t const n) {
  std::shared_ptr<ZoneView> const view = std::make_shared<ZoneView>();
  for (std::size_t i = 0; i < n; ++i) view->members[member(i).id] = member(i);
  return view;
}

std::shared_ptr<ZoneView> view_of_backends(std::size_t const n) {
  std::shared_ptr<ZoneView> const view = std::make_shared<ZoneView>();
  for (std::size_t i = 0; i < n; ++i) view->backends[{backend(i).service, backend(i).instance}] = backend(i);
  return view;
}

ZoneEntry entry_of(std::size_t const n) {
  ZoneEntry entry;
  entry.zone = "zone-2";
  for (std::size_t i = 0; i < n; ++i) {
    entry.gateways.push_back(member(i));
    entry.services.push_back(offer(i));
  }
  return entry;
}

using Endpoints = std::map<std::string, EndpointSelector::Endpoints>;

// Endpoints as a node builds them at each change of its view.
Endpoints endpoints_of(std::size_t const n) {
  Endpoints all;
  for (std::size_t i = 0; i < n; ++i) {
    ServiceOffer const o = offer(i);
    all[o.service].push_back(Endpoint{o.node, o.address, "zone-2", false, o.slots, 0});
  }
  return all;
}

KeyTable table_of(std::size_t const rows) {
  constexpr std::size_t rows_per_holder = 12, rows_per_service = 120;
  KeyTable table;
  table.revision = 1;
  for (std::size_t i = 0; i < rows; ++i) {
    if (i % rows_per_service == 0) {
      table.services.emplace_back();
      table.services.back().name = hollow_service_name(table.services.size());
    }
    std::size_t const holder = i / rows_per_holder;
    KeyRow row;
    row.from = static_cast<std::uint16_t>(i % rows_per_service * 546);
    row.to = static_cast<std::uint16_t>(i % rows_per_service == rows_per_service - 1 ? last_key : row.from + 545);
    row.holder = table.add_holder(KeyHolderRecord{"instance-node-" + std::to_string(holder) + "-1",
                                                  "node-" + std::to_string(holder), "10.1.0.1:7200", "zone-1"});
    row.fence = 7;
    row.handover = "0123456789abcdef";
    table.services.back().rows.push_back(row);
  }
  return table;
}

void measure_routes(std::ostream& out, std::size_t const n) {
  HollowConfiguration size;
  size.routes = n;
  measure_construction(out, "route", n, [size] {
    Result<ServiceConfiguration> read = read_hollow_configuration(hollow_configuration_bytes(size));
    return std::make_shared<Router>(std::move(*read));
  });
  size.routes = 1;
  size.services = n;
  measure_construction(out, "service", n, [size] {
    Result<ServiceConfiguration> read = read_hollow_configuration(hollow_configuration_bytes(size));
    return std::make_shared<Router>(std::move(*read));
  });
}

void measure_keys(std::ostream& out, std::size_t const n) {
  KeyTable const table = table_of(n);
  Bytes const packed = pack_key_table(table);
  out << "packed_key_row," << n << "," << static_cast<double>(packed.size()) / static_cast<double>(n) << ",0\n";
  measure_construction(out, "key_row", n,
                       [&packed] { return std::make_shared<KeyTable>(*unpack_key_table(packed, 1)); });
}

void measure_view(std::ostream& out, std::size_t const n) {
  measure_construction(out, "member", n, [n] { return view_of_members(n); });
  measure_construction(out, "backend", n, [n] { return view_of_backends(n); });
  measure_construction(out, "entry_of_backend", n, [n] { return std::make_shared<ZoneEntry>(entry_of(n)); });
  ZoneAnnouncement announcement;
  announcement.entry = entry_of(n);
  Bytes const packed = pack(announcement);
  out << "packed_entry_of_backend," << n << "," << static_cast<double>(packed.size()) / static_cast<double>(n)
      << ",0\n";
  measure_construction(out, "unpacked_entry_of_backend", n,
                       [&packed] { return std::make_shared<ZoneAnnouncement>(*unpack<ZoneAnnouncement>(packed)); });
  measure_construction(out, "endpoint", n, [n] {
    std::shared_ptr<EndpointSelector> const selector = std::make_shared<EndpointSelector>();
    selector->replace(endpoints_of(n));
    return selector;
  });
}

struct Echo {
  static constexpr std::uint8_t kind = 200;
  struct Reply {
    std::string text;
    BANKTIDE_FIELDS(text)
  };
  std::string text;
  BANKTIDE_FIELDS(text)
};

Task<void> ask_echo(SocketEnvironment& env, Address const peer, std::size_t const size, std::size_t const count,
                    std::promise<std::size_t>& done) {
  std::size_t answered = 0;
  for (std::size_t i = 0; i < count; ++i) {
    Echo const request{std::string(size, 'x')};
    Result<Echo::Reply> const reply = co_await ask(env, peer, request, env.now() + 2s);
    answered += reply.has_value();
  }
  done.set_value(answered);
}

}  // namespace

void measure_objects(std::ostream& out) {
  for (std::size_t const n : object_counts) {
    measure_view(out, n);
    measure_routes(out, n);
    measure_keys(out, n);
  }
}

void measure_frames(std::ostream& out) {
  constexpr std::size_t questions = 20000;
  Process process;
  SocketEnvironment server, client;
  Dispatcher dispatcher;
  dispatcher.on<Echo>([](Echo q) -> Task<Echo::Reply> {
    Echo::Reply reply{std::move(q.text)};
    co_return reply;
  });
  Result<Address> const address = server.listen("127.0.0.1:0");
  if (!address) return;
  process.run_on_thread([&] { return (server.serve(dispatcher), true); });
  for (std::size_t const size : {16, 64, 256, 1024, 4096, 16384}) {
    std::promise<std::size_t> done;
    double const begun = processor_us();
    process.run_on_thread([&] { return (spawn(client, ask_echo(client, *address, size, questions, done)), true); });
    std::size_t const answered = done.get_future().get();
    double const each = (processor_us() - begun) / static_cast<double>(2 * questions);
    out << "message_over_sockets," << size << "," << answered << "," << each << "\n";
  }
}

}  // namespace banktide
