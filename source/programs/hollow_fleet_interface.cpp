// See hollow_fleet_interface.hpp.
#include "programs/hollow_fleet_interface.hpp"

#include <random>
#include <sstream>

namespace banktide {

namespace {

constexpr std::string_view format_name = "hollow";

InterfaceReply reply_with(std::string body) {
  InterfaceReply reply;
  reply.body = std::move(body);
  return reply;
}

InterfaceReply refusal(unsigned const status, std::string_view const reason) {
  InterfaceReply reply = reply_with(std::string(reason));
  reply.status = status;
  return reply;
}

// One line per route, with about as many random letters as the host names, paths and classes of a real route have.
void append_route(std::string& bytes, std::uint64_t const number, std::uint64_t const edition) {
  constexpr std::size_t drawn_letters = 24;
  std::minstd_rand draw(static_cast<std::uint32_t>(number * 7919 + edition + 1));
  std::size_t const end = bytes.size() + hollow_bytes_per_route;
  bytes += "route-" + std::to_string(number) + " ";
  for (std::size_t i = 0; i < drawn_letters; ++i) bytes += static_cast<char>('a' + draw() / 7 % 26);
  bytes.resize(end - 1, '.');
  bytes += '\n';
}

std::string grant_text(HeartbeatGrant const& grant) {
  std::ostringstream out;
  out << grant.hold.count() << "\n";
  for (HeartbeatGrantedRow const& row : grant.rows) out << row.from << " " << row.to << " " << row.fence << "\n";
  return out.str();
}

}  // namespace

std::string hollow_service_name(std::uint64_t const index) { return "service-" + std::to_string(index); }

std::string hollow_configuration_bytes(HollowConfiguration const& c) {
  std::ostringstream out;
  out << format_name << " " << c.version << " " << c.routes << " " << c.services << " " << c.keyed_services << "\n";
  std::string bytes = out.str();
  std::uint64_t const changed = c.routes == 0 ? 0 : c.version % c.routes;
  for (std::uint64_t i = 0; i < c.routes; ++i) append_route(bytes, i, i == changed ? c.version : 0);
  bytes.append(c.services * hollow_bytes_per_service, '.');
  return bytes;
}

Result<ServiceConfiguration> read_hollow_configuration(std::string_view const bytes) {
  std::istringstream in(std::string(bytes.substr(0, bytes.find('\n'))));
  std::string format;
  HollowConfiguration size;
  in >> format >> size.version >> size.routes >> size.services >> size.keyed_services;
  if (!in || format != format_name || size.services == 0)
    return make_error("read_hollow_configuration", "", "other bytes");
  ServiceConfiguration c;
  c.version = size.version;
  c.limits.header_bytes = size.version;
  for (std::uint64_t i = 0; i < size.services; ++i) {
    ServiceDefinition service;
    service.name = hollow_service_name(i);
    service.health_path = "/health";
    service.keyed = i < size.keyed_services;
    c.services.push_back(std::move(service));
  }
  for (std::uint64_t i = 0; i < size.routes; ++i) {
    Route route;
    route.name = "route-" + std::to_string(i);
    route.host = "host-" + std::to_string(i % 10) + ".test";
    route.prefix = "/path-" + std::to_string(i) + "/";
    route.targets.push_back(WeightedService{static_cast<std::uint32_t>(i % size.services), 1});
    c.routes.push_back(std::move(route));
  }
  return c;
}

HollowInterface::HollowInterface(std::function<void(std::size_t routes)> on_read) {
  adapter_.read_configuration = [on_read = std::move(on_read)](std::string_view const bytes) {
    Result<ServiceConfiguration> configuration = read_hollow_configuration(bytes);
    if (configuration) on_read(configuration->routes.size());
    return configuration;
  };
  adapter_.interpret = [this](HttpRequest const& q) -> tl::expected<InterfaceOperation, InterfaceReply> {
    auto const it = waiting_.find(q.target);
    if (it == waiting_.end()) return tl::unexpected<InterfaceReply>(reply_with("no such request"));
    InterfaceOperation operation = std::move(it->second);
    waiting_.erase(it);
    return operation;
  };
  adapter_.readiness_reply = [](bool const ready) {
    InterfaceReply reply;
    reply.status = ready ? 200 : 503;
    return reply;
  };
  adapter_.acknowledgement_reply = [] { return InterfaceReply{}; };
  adapter_.heartbeat_reply = [](HeartbeatAnswer const& answer) {
    return reply_with(answer.grant ? grant_text(*answer.grant) : "");
  };
  adapter_.configuration_reply = [](std::string bytes) { return reply_with(std::move(bytes)); };
  adapter_.unavailable_reply = [](std::string_view const reason) { return refusal(503, reason); };
  adapter_.conflict_reply = [](std::string_view const reason) { return refusal(409, reason); };
  adapter_.read_bounds = [](std::vector<std::string> const&) -> Result<TimingBounds> { return TimingBounds{}; };
}

HttpRequest HollowInterface::request(InterfaceOperation operation) {
  HttpRequest q;
  q.target = std::to_string(++last_request_);
  waiting_[q.target] = std::move(operation);
  return q;
}

std::optional<HeartbeatGrant> HollowInterface::grant_of(HttpReply const& reply) {
  std::istringstream in(reply.body);
  Duration::rep hold = 0;
  if (!(in >> hold)) return std::nullopt;
  HeartbeatGrant grant;
  grant.hold = Duration(hold);
  HeartbeatGrantedRow row;
  while (in >> row.from >> row.to >> row.fence) grant.rows.push_back(row);
  return grant;
}

}  // namespace banktide
