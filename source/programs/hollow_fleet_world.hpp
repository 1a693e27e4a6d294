// The surroundings of a hollow fleet: thousands of processes of the mesh in one
// real process. Time is virtual, messages go from memory to memory with the
// delay between their zones, and everything is counted for the process it
// belongs to: messages and bytes by kind, and the real processor time of the
// code that an event runs. The code above it is the product's own.
#pragma once

#include "transport/surroundings.hpp"

#include <map>
#include <queue>
#include <set>
#include <tsl/robin_map.h>

namespace banktide {

/// Where a hollow process stands.
struct HollowPlace {
  std::string zone;
  std::size_t region = 0;
};

/// One-way delays of messages.
struct HollowDelays {
  Duration in_zone = 250us;
  Duration in_region = 800us;
  Duration between_regions = 40ms;
};

/// Messages and their bytes, each with the head of its frame.
struct HollowTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// What one hollow process has done since its meter was reset.
struct HollowMeter {
  HollowTraffic sent, received;
  std::map<std::uint8_t, HollowTraffic> sent_by_kind, received_by_kind;
  std::uint64_t events = 0;
  Duration processor{};
  std::uint64_t disk_writes = 0;
  std::uint64_t disk_bytes = 0;
};

class HollowProcess;

/// Virtual time, and the way of messages.
class HollowNetwork {
 public:
  HollowNetwork(HollowDelays delays, std::uint64_t seed);
  ~HollowNetwork();
  HollowNetwork(HollowNetwork const&) = delete;

  Instant now() const { return now_; }
  std::mt19937_64& chance() { return chance_; }
  asio::io_context& io() { return io_; }

  /// Runs `f` at that time, on the account of the meter's process.
  void at(Instant when, std::shared_ptr<HollowMeter> meter, std::function<void()> f);
  void run_for(Duration d);
  /// Runs what is ready now.
  void settle();

  void add(std::shared_ptr<HollowProcess> const& process);
  std::shared_ptr<HollowProcess> find(Address const& address) const;

  /// Regions that lose each other; what is on its way is lost, and so is what is sent.
  void cut(std::size_t region, std::size_t other);
  void heal() { cuts_.clear(); }

  using Done = std::function<void(Result<Bytes>)>;
  /// Sends one message. `done` gets the reply, or why there can be none; empty: nobody waits for one.
  void send(HollowProcess& from, Address const& to, std::uint8_t kind, Bytes payload, Done done);

 private:
  struct Event {
    Instant at;
    std::uint64_t number = 0;
    std::shared_ptr<HollowMeter> meter;
    std::function<void()> run;
    bool operator<(Event const& o) const { return std::pair(at, number) > std::pair(o.at, o.number); }
  };
  using Payload = std::shared_ptr<Bytes>;

  void run(Event& event);
  Duration delay(HollowPlace const& from, HollowPlace const& to) const;
  bool open(HollowPlace const& from, HollowPlace const& to) const;
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
  Duration clock_cost_{};
};

/// One life of a hollow process: what the product's code is given as its surroundings.
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

  HollowProcess(HollowNetwork& network, Address address, HollowPlace place, std::shared_ptr<HollowMeter> meter)
      : network_(network),
        address_(std::move(address)),
        place_(std::move(place)),
        meter_(std::move(meter)),
        chance_(network.chance()()) {}
  ~HollowProcess() { kill(); }

  Instant now() const { return network_.now(); }
  std::mt19937_64& chance() { return chance_; }
  asio::io_context::executor_type executor() { return network_.io().get_executor(); }
  /** The cancellation isn't passed on: no clients leave here. */
  Task<Result<Bytes>> ask_raw(Address peer, std::uint8_t kind, Bytes payload, Instant deadline,
                              SharedCancellation cancellation = nullptr);
  void tell_raw(Address const& peer, std::uint8_t kind, SharedBytes const& payload);
  void serve(Dispatcher& dispatcher) { desk_ = &dispatcher; }

  /// Ends this life: nothing of it runs any more.
  void kill();
  bool alive() const { return alive_; }
  Dispatcher* dispatcher() const { return desk_; }
  Address const& address() const { return address_; }
  HollowPlace const& place() const { return place_; }
  HollowNetwork& network() { return network_; }
  std::shared_ptr<HollowMeter> const& meter() const { return meter_; }

 private:
  HollowNetwork& network_;
  Address const address_;
  HollowPlace const place_;
  std::shared_ptr<HollowMeter> const meter_;
  std::mt19937_64 chance_;
  Dispatcher* desk_ = nullptr;
  bool alive_ = true;
  std::map<std::uint64_t, std::weak_ptr<Waiting>> alarms_;
  std::uint64_t last_alarm_ = 0;
};

static_assert(Surroundings<HollowProcess>);

}  // namespace banktide
