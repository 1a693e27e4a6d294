// See hollow_fleet_node.hpp.
#include "programs/hollow_fleet_node.hpp"

#include "programs/mesh_node.hpp"

namespace banktide {

namespace {

constexpr Duration beat_period = 1s;
constexpr Duration shortest_pause = 10ms;
constexpr std::uint32_t usual_slots = 8;

MeshNodeSettings mesh_settings(HollowNodeSettings const& s) {
  MeshNodeSettings m;
  m.follower.id = s.id;
  m.follower.zone = s.place.zone;
  m.follower.address = s.address;
  m.follower.gateway = true;  // as in banktide-proxy
  m.follower.seeds = s.seeds;
  m.service = s.service;
  m.store_port = s.store_port;
  return m;
}

}  // namespace

struct HollowNode::Life {
  Life(HollowNode& owner, std::uint64_t const number)
      : node(owner),
        process(std::make_shared<HollowProcess>(owner.network_, owner.settings_.address, owner.settings_.place,
                                                owner.machine_)),
        mesh(*process, mesh_settings(owner.settings_), owner.interface_.adapter(),
             [&owner](Address const& address, std::size_t const limit) {
               return std::make_unique<BackendConnections>(owner.network_.io(), address, limit);
             }) {
    beat.id = "instance-" + owner.settings_.id + "-" + std::to_string(number);
    beat.service = owner.settings_.service;
    beat.address = owner.settings_.address;
    beat.zone = owner.settings_.place.zone;
    beat.slots = usual_slots;
    mesh.on_limits = [&owner](ClientLimits const& limits) {
      owner.in_force_.push_back(HollowInForce{limits.header_bytes, owner.network_.now()});
    };
  }

  Task<void> keep_beating() {
    co_await sleep_for(*process, Duration(process->chance()() % static_cast<std::uint64_t>(beat_period.count())));
    while (true) {
      Instant const begun = process->now();
      HttpRequest question = node.interface_.request(HeartbeatOperation{next_beat()});
      HttpReply const reply = co_await mesh.handle_interface_request(std::move(question));
      take(HollowInterface::grant_of(reply));
      co_await sleep_for(*process, std::max(beat_period - (process->now() - begun), shortest_pause));
    }
  }

  BackendHeartbeat const& next_beat() {
    ++beat.sequence;
    if (node.settings_.load_changes) beat.slots = usual_slots + beat.sequence % 2;
    return beat;
  }

  // Rows that are no longer granted are released at once, with the next heartbeat.
  void take(std::optional<HeartbeatGrant> const& grant) {
    if (!grant) return;
    beat.released.clear();
    for (HeartbeatHeldRow const& held : beat.held) {
      bool const kept = std::any_of(grant->rows.begin(), grant->rows.end(), [&](HeartbeatGrantedRow const& row) {
        return row.from <= held.from && held.to <= row.to && row.fence == held.fence;
      });
      if (!kept) beat.released.push_back(HeartbeatReleasedRow{held.from, held.to, "token"});
    }
    beat.held.clear();
    for (HeartbeatGrantedRow const& row : grant->rows)
      beat.held.push_back(HeartbeatHeldRow{row.from, row.to, row.fence});
  }

  HollowNode& node;
  std::shared_ptr<HollowProcess> process;
  Dispatcher dispatcher;
  MeshNode<HollowProcess> mesh;
  BackendHeartbeat beat;
};

HollowNode::HollowNode(HollowNetwork& network, HollowInterface& interface, HollowNodeSettings settings)
    : network_(network),
      interface_(interface),
      settings_(std::move(settings)),
      machine_(std::make_shared<HollowMachine>(settings_.capacity)) {}

HollowNode::~HollowNode() { kill(); }

void HollowNode::start() {
  kill();
  in_force_.clear();
  started_ = network_.now();
  life_ = std::make_unique<Life>(*this, ++lives_);
  network_.add(life_->process);
  life_->process->serve(life_->dispatcher);
  life_->mesh.start(life_->dispatcher);
  if (!settings_.service.empty()) spawn(*life_->process, life_->keep_beating());
}

void HollowNode::kill() {
  if (!life_) return;
  life_->process->kill();
  network_.settle();  // unwinds waiting coroutines before the node is destroyed
  life_.reset();
}

void HollowNode::leave() {
  if (life_) life_->mesh.leave();
}

bool HollowNode::alive() const { return life_ != nullptr; }
bool HollowNode::ready() const { return life_ && life_->mesh.ready(); }

std::size_t HollowNode::endpoints(std::vector<std::string> const& services) const {
  if (!life_) return 0;
  std::size_t all = 0;
  for (std::string const& service : services) all += life_->mesh.path().selector().of(service).size();
  return all;
}

std::size_t HollowNode::rows_held() const { return life_ ? life_->beat.held.size() : 0; }

}  // namespace banktide
