// The simulated environment of a hollow fleet: runs thousands of mesh processes in
// one real process. Time is virtual, messages are passed in memory with the delay
// between their zones, and each process has its own counters: messages and bytes
// by kind, and the real processor time of its events. The code that runs in it is
// the real code of the mesh.
#pragma once

#include "transport/environment.hpp"

#include <map>
#include <queue>
#include <set>
#include <tsl/robin_map.h>

namespace banktide {

/// The location of a hollow process.
struct HollowLocation {
  std::string zone;
  std::size_t region = 0;
};

/// One-way delays of messages.
struct HollowDelays {
  Duration in_zone = 250us;
  Duration in_region = 800us;
  Duration between_regions = 40ms;
};

/// The number of messages and their bytes, frame headers included.
struct HollowTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// Counters of one hollow process since its meter was reset.
struct HollowMeter {
  HollowTraffic sent, received;
  std::map<std::uint8_t, HollowTraffic> sent_by_kind, received_by_kind;
  std::uint64_t events = 0;
  Duration processor{};
  std::uint64_t disk_writes = 0;
  std::uint64_t disk_bytes = 0;
};

/// The part of a machine that a hollow process may use. 0: unlimited.
struct HollowCapacity {
  double processor_share = 0;        ///< of a core
  double link_bytes_per_second = 0;  ///< in each direction
};

/// The processor time of work on a whole core; charged only where the processor share is limited.
struct HollowCosts {
  Duration message = 10us;       ///< sent or received
  Duration kilobyte = 2us;       ///< of a message, sent or received
  Duration route_read = 5500ns;  ///< to decompress and parse one route of a configuration
};

/// One direction of a machine's link. Messages to one peer keep their order; a small message doesn't wait for large
/// messages to other peers, because connections share the link.
class HollowLink {
 public:
  explicit HollowLink(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}
  /// The time at which the last byte has passed, of a message that is ready at `from`.
  Instant pass(Address const& peer, Instant from, std::size_t bytes);

 private:
  static constexpr std::size_t large_above = 8u << 10;

  double const bytes_per_second_;
  Instant small_until_{};
  Instant large_until_{};
  std::map<Address, Instant> peer_until_;
};

/// The machine of a hollow process: its capacity, its current use, and the process's meter.
struct HollowMachine {
  explicit HollowMachine(HollowCapacity const& c)
      : capacity(c), sending(c.link_bytes_per_second), receiving(c.link_bytes_per_second) {}
  /// Charges work that takes this long on a whole core.
  void charge(Duration work);

  HollowCapacity const capacity;
  Instant busy_until{};
  Duration charged{};  ///< time on the processor share, of the event that runs now
  HollowLink sending;
  HollowLink receiving;
  HollowMeter meter;
};

class HollowProcess;

/// The virtual clock and the simulated network.
class HollowNetwork {
 public:
  HollowNetwork(HollowDelays delays, std::uint64_t seed);
  ~HollowNetwork();
  HollowNetwork(HollowNetwork const&) = delete;

  Instant now() const { return now_; }
  std::mt19937_64& chance() { return chance_; }
  asio::io_context& io() { return io_; }

  /// Runs `f` at that time, or later as soon as the machine's processor is free.
  void at(Instant when, std::shared_ptr<HollowMachine> machine, std::function<void()> f);
  /// Charges the process whose event runs now for reading a configuration.
  void charge_reading(std::size_t routes);
  void run_for(Duration d);
  /// Runs all tasks that are ready now.
  void settle();

  void add(std::shared_ptr<HollowProcess> const& process);
  std::shared_ptr<HollowProcess> find(Address const& address) const;

  /// Partitions two regions; messages in flight and messages sent later are lost.
  void cut(std::size_t region, std::size_t other);
  void heal() {
    cuts_.clear();
    isolated_.clear();
  }
  /// Partitions a process from the given others, in both directions.
  void isolate(Address const& process, std::set<Address> from);

  using Done = std::function<void(Result<Bytes>)>;
  /// Sends one message. `done` gets the reply or an error; it is empty for one-way messages.
  void send(HollowProcess& from, Address const& to, std::uint8_t kind, Bytes payload, Done done);

 private:
  struct Event {
    Instant at;
    std::uint64_t number = 0;
    std::shared_ptr<HollowMachine> machine;
    std::function<void()> run;
    bool operator<(Event const& o) const { return std::pair(at, number) > std::pair(o.at, o.number); }
  };
  using Payload = std::shared_ptr<Bytes>;

  void run(Event& event);
  Duration delay(HollowLocation const& from, HollowLocation const& to) const;
  bool open(HollowProcess const& from, HollowProcess const& to) const;
  /// The arrival time of a message that is sent now, after both machines' links.
  Instant arrival(HollowProcess& from, HollowProcess& to, std::size_t payload);
  void charge_receipt(HollowProcess& to, std::size_t payload);
  void arrive(std::weak_ptr<HollowProcess> const& from, std::shared_ptr<HollowProcess> const& to, std::uint8_t kind,
              Payload const& payload, Done const& done);
  Task<void> handle(std::weak_ptr<HollowProcess> from, std::shared_ptr<HollowProcess> to, std::uint8_t kind,
                    Payload payload, Done done);
  void answer(std::weak_ptr<HollowProcess> const& to, HollowProcess& from, std::uint8_t kind, Result<Bytes> reply,
              Done const& done);
  void refuse(std::weak_ptr<HollowProcess> const& from, Address const& peer, Duration wait, Done const& done);

  HollowDelays const delays_;
  asio::io_context io_;
  std::mt19937_64 chance_;
  Instant now_{std::chrono::hours(1)};
  std::uint64_t last_event_ = 0;
  std::priority_queue<Event> queue_;
  tsl::robin_map<Address, std::shared_ptr<HollowProcess>> processes_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::map<Address, std::set<Address>> isolated_;
  HollowCosts const costs_;
  std::shared_ptr<HollowMachine> running_;  // the machine of the event that runs now
  Duration clock_cost_{};
};

/// One incarnation of a hollow process: the environment that the real code runs in.
class HollowProcess : public std::enable_shared_from_this<HollowProcess> {
 private:
  struct Waiting {
    std::function<void(bool)> handler;
    std::uint64_t wait = 0;
    bool woken = false;
  };

 public:
  class Alarm {
   public:
    explicit Alarm(HollowProcess& process)
        : process_(process), waiting_(std::make_shared<Waiting>()), number_(++process.last_alarm_) {
      process_.alarms_[number_] = waiting_;
    }
    ~Alarm() { process_.alarms_.erase(number_); }
    Alarm(Alarm const&) = delete;

    Task<bool> wait(Instant until);
    void wake();

   private:
    static void fire(std::shared_ptr<Waiting> const& waiting, std::uint64_t wait, bool ran_out);

    HollowProcess& process_;
    std::shared_ptr<Waiting> waiting_;
    std::uint64_t const number_;
  };

  HollowProcess(HollowNetwork& network, Address address, HollowLocation location,
                std::shared_ptr<HollowMachine> machine)
      : network_(network),
        address_(std::move(address)),
        location_(std::move(location)),
        machine_(std::move(machine)),
        chance_(network.chance()()) {}
  ~HollowProcess() { kill(); }

  Instant now() const { return network_.now(); }
  std::mt19937_64& chance() { return chance_; }
  asio::io_context::executor_type executor() { return network_.io().get_executor(); }
  /** Ignores the cancellation: hollow fleets have no clients that disconnect. */
  Task<Result<Bytes>> ask_raw(Address peer, std::uint8_t kind, Bytes payload, Instant deadline,
                              SharedCancellation cancellation = nullptr);
  void tell_raw(Address const& peer, std::uint8_t kind, SharedBytes const& payload);
  void serve(Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }

  /// Ends this incarnation: none of its code runs any more.
  void kill();
  bool alive() const { return alive_; }
  Dispatcher* dispatcher() const { return dispatcher_; }
  Address const& address() const { return address_; }
  HollowLocation const& location() const { return location_; }
  HollowNetwork& network() { return network_; }
  std::shared_ptr<HollowMachine> const& machine() const { return machine_; }
  HollowMeter& meter() const { return machine_->meter; }

 private:
  HollowNetwork& network_;
  Address const address_;
  HollowLocation const location_;
  std::shared_ptr<HollowMachine> const machine_;
  std::mt19937_64 chance_;
  Dispatcher* dispatcher_ = nullptr;
  bool alive_ = true;
  std::map<std::uint64_t, std::weak_ptr<Waiting>> alarms_;
  std::uint64_t last_alarm_ = 0;
};

static_assert(Environment<HollowProcess>);

}  // namespace banktide
