// See hollow_fleet_node.hpp.
#include "programs/hollow_fleet_node.hpp"

#include "programs/mesh_node.hpp"

namespace banktide {

namespace {

constexpr Duration heartbeat_period = 1s;
constexpr Duration shortest_pause = 10ms;
constexpr std::uint32_t default_slots = 8;

MeshNodeSettings mesh_settings(HollowNodeSettings const& s) {
  MeshNodeSettings m;
  m.follower.id = s.id;
  m.follower.zone = s.location.zone;
  m.follower.address = s.address;
  m.follower.gateway = true;  // as in banktide-proxy
  m.follower.seeds = s.seeds;
  m.service = s.service;
  m.store_port = s.store_port;
  return m;
}

}  // namespace

struct HollowNode::Incarnation {
  Incarnation(HollowNode& owner, std::uint64_t const number)
      : node(owner),
        process(std::make_shared<HollowProcess>(owner.network_, owner.settings_.address, owner.settings_.location,
                                                owner.machine_)),
        mesh(*process, mesh_settings(owner.settings_), owner.interface_.adapter(),
             [&owner](Address const& address, std::size_t const limit) {
               return std::make_unique<BackendConnections>(owner.network_.io(), address, limit);
             }) {
    heartbeat.id = "instance-" + owner.settings_.id + "-" + std::to_string(number);
    heartbeat.service = owner.settings_.service;
    heartbeat.address = owner.settings_.address;
    heartbeat.zone = owner.settings_.location.zone;
    heartbeat.slots = default_slots;
    mesh.on_limits = [&owner](ClientLimits const& limits) {
      owner.activations_.push_back(HollowActivation{limits.header_bytes, owner.network_.now()});
    };
  }

  Task<void> heartbeat_loop() {
    co_await sleep_for(*process, Duration(process->chance()() % static_cast<std::uint64_t>(heartbeat_period.count())));
    while (true) {
      Instant const begun = process->now();
      HttpRequest request = node.interface_.request(HeartbeatOperation{next_heartbeat()});
      HttpReply const reply = co_await mesh.handle_interface_request(std::move(request));
      apply_grant(HollowInterface::grant_of(reply));
      co_await sleep_for(*process, std::max(heartbeat_period - (process->now() - begun), shortest_pause));
    }
  }

  BackendHeartbeat const& next_heartbeat() {
    ++heartbeat.sequence;
    if (node.settings_.load_changes) heartbeat.slots = default_slots + heartbeat.sequence % 2;
    return heartbeat;
  }

  // Rows that are no longer granted are released at once, with the next heartbeat.
  void apply_grant(std::optional<HeartbeatGrant> const& grant) {
    if (!grant) return;
    heartbeat.released.clear();
    for (HeartbeatHeldRow const& held : heartbeat.held) {
      bool const kept = std::any_of(grant->rows.begin(), grant->rows.end(), [&](HeartbeatGrantedRow const& row) {
        return row.from <= held.from && held.to <= row.to && row.fence == held.fence;
      });
      if (!kept) heartbeat.released.push_back(HeartbeatReleasedRow{held.from, held.to, "token"});
    }
    heartbeat.held.clear();
    for (HeartbeatGrantedRow const& row : grant->rows)
      heartbeat.held.push_back(HeartbeatHeldRow{row.from, row.to, row.fence});
  }

  HollowNode& node;
  std::shared_ptr<HollowProcess> process;
  Dispatcher dispatcher;
  MeshNode<HollowProcess> mesh;
  BackendHeartbeat heartbeat;
};

HollowNode::HollowNode(HollowNetwork& network, HollowInterface& interface, HollowNodeSettings settings)
    : network_(network),
      interface_(interface),
      settings_(std::move(settings)),
      machine_(std::make_shared<HollowMachine>(settings_.capacity)) {}

HollowNode::~HollowNode() { kill(); }

void HollowNode::start() {
  kill();
  activations_.clear();
  started_ = network_.now();
  incarnation_ = std::make_unique<Incarnation>(*this, ++incarnations_);
  network_.add(incarnation_->process);
  incarnation_->process->serve(incarnation_->dispatcher);
  incarnation_->mesh.start(incarnation_->dispatcher);
  if (!settings_.service.empty()) spawn(*incarnation_->process, incarnation_->heartbeat_loop());
}

void HollowNode::kill() {
  if (!incarnation_) return;
  incarnation_->process->kill();
  network_.settle();  // unwinds waiting coroutines before the node is destroyed
  incarnation_.reset();
}

void HollowNode::leave() {
  if (incarnation_) incarnation_->mesh.leave();
}

bool HollowNode::alive() const { return incarnation_ != nullptr; }
bool HollowNode::ready() const { return incarnation_ && incarnation_->mesh.ready(); }

std::size_t HollowNode::endpoints(std::vector<std::string> const& services) const {
  if (!incarnation_) return 0;
  std::size_t all = 0;
  for (std::string const& service : services) all += incarnation_->mesh.path().selector().of(service).size();
  return all;
}

std::size_t HollowNode::rows_held() const { return incarnation_ ? incarnation_->heartbeat.held.size() : 0; }

}  // namespace banktide
