// See hollow_fleet_control.hpp.
#include "programs/hollow_fleet_control.hpp"

#include "coordination/membership.hpp"
#include "programs/mesh_registry.hpp"

namespace banktide {

namespace {

constexpr Duration sync_time = 1ms;

}  // namespace

// An in-memory disk that outlives the store's process.
struct HollowControl::Disk {
  HollowProcess* process = nullptr;
  VoterRecord record;

  Result<VoterRecord> load() { return record; }
  Task<Result<bool>> save(VoterRecord const& next) {
    VoterRecord const kept = next;
    HollowMeter& meter = process->meter();
    ++meter.disk_writes;
    meter.disk_bytes += pack(kept).size();
    co_await sleep_for(*process, sync_time);
    record = kept;
    co_return true;
  }
};

struct HollowControl::Incarnation {
  using Store = Acceptor<HollowProcess, Disk>;

  Incarnation(HollowControl& owner, bool const initial_start)
      : registry_process(std::make_shared<HollowProcess>(owner.network_, owner.settings_.registry,
                                                         owner.settings_.location, owner.registry_machine_)),
        store_process(std::make_shared<HollowProcess>(owner.network_, owner.settings_.store, owner.settings_.location,
                                                      owner.store_machine_)),
        registry(*registry_process, registry_settings(owner.settings_)),
        mesh(*registry_process, registry, owner.interface_.adapter(), KeySettings{}),
        acceptor(*store_process, *owner.disk_, owner.settings_.store),
        membership(*store_process, acceptor, membership_settings(owner.settings_, initial_start)) {
    owner.disk_->process = store_process.get();
  }

  static RegistrySettings registry_settings(HollowControlSettings const& s) {
    RegistrySettings r;
    r.id = s.id;
    r.zone = s.location.zone;
    r.address = s.registry;
    r.seeds = s.seeds;
    r.store_port = s.store_port;
    return r;
  }

  static MembershipSettings membership_settings(HollowControlSettings const& s, bool const initial_start) {
    MembershipSettings m;
    m.initial_start = initial_start;
    for (Address const& seed : s.seeds)
      m.seeds.push_back(seed.substr(0, seed.rfind(':') + 1) + std::to_string(s.store_port));
    return m;
  }

  void start() {
    (void)acceptor.load();
    store_process->serve(store_dispatcher);
    acceptor.attach(store_dispatcher);
    membership.attach(store_dispatcher);
    spawn(*store_process, membership.run());
    registry_process->serve(registry_dispatcher);
    registry.start(registry_dispatcher);
    mesh.start(registry_dispatcher);
  }

  Task<void> write(HttpRequest request, Written done) {
    HttpReply const reply = co_await mesh.handle_interface_request(std::move(request));
    done(reply.status == 200);
  }

  std::shared_ptr<HollowProcess> registry_process, store_process;
  Dispatcher registry_dispatcher, store_dispatcher;
  Registry<HollowProcess> registry;
  MeshRegistry<HollowProcess> mesh;
  Store acceptor;
  Membership<HollowProcess, Disk> membership;
};

HollowControl::HollowControl(HollowNetwork& network, HollowInterface& interface, HollowControlSettings settings)
    : network_(network),
      interface_(interface),
      settings_(std::move(settings)),
      registry_machine_(std::make_shared<HollowMachine>(settings_.capacity)),
      store_machine_(std::make_shared<HollowMachine>(settings_.capacity)),
      disk_(std::make_unique<Disk>()) {}

HollowControl::~HollowControl() { kill(); }

void HollowControl::start() {
  kill();
  incarnation_ = std::make_unique<Incarnation>(*this, !started_before_);
  started_before_ = true;
  network_.add(incarnation_->registry_process);
  network_.add(incarnation_->store_process);
  incarnation_->start();
}

void HollowControl::kill() {
  if (!incarnation_) return;
  incarnation_->registry_process->kill();
  incarnation_->store_process->kill();
  network_.settle();
  incarnation_.reset();
}

bool HollowControl::alive() const { return incarnation_ != nullptr; }
bool HollowControl::has_quorum_reading() const { return incarnation_ && incarnation_->registry.has_quorum_reading(); }
std::size_t HollowControl::voters() const { return incarnation_ ? incarnation_->acceptor.set().voters.size() : 0; }

void HollowControl::write_configuration(HollowConfiguration const& configuration, Written done) {
  if (!incarnation_) return done(false);
  WriteConfigurationOperation operation;
  operation.version = configuration.version;
  operation.bytes = hollow_configuration_bytes(configuration);
  HttpRequest request = interface_.request(std::move(operation));
  spawn(*incarnation_->registry_process, incarnation_->write(std::move(request), std::move(done)));
}

}  // namespace banktide
