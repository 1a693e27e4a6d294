// See hollow_fleet_world.hpp.
#include "programs/hollow_fleet_world.hpp"

#include <ctime>

namespace banktide {

namespace {

constexpr std::size_t frame_head_bytes = 15;
constexpr Duration connect_timeout = 300ms;

Duration thread_processor_time() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

// The processor time that one reading of the clock adds to a measured interval.
Duration clock_reading_cost() {
  constexpr int readings = 10000;
  Duration const begin = thread_processor_time();
  for (int i = 0; i < readings; ++i) thread_processor_time();
  return (thread_processor_time() - begin) / readings;
}

void count(HollowTraffic& all, HollowTraffic& of_kind, std::size_t const payload) {
  for (HollowTraffic* const t : {&all, &of_kind}) {
    ++t->messages;
    t->bytes += payload + frame_head_bytes;
  }
}
void count_sent(HollowMeter& meter, std::uint8_t const kind, std::size_t const payload) {
  count(meter.sent, meter.sent_by_kind[kind], payload);
}
void count_received(HollowMeter& meter, std::uint8_t const kind, std::size_t const payload) {
  count(meter.received, meter.received_by_kind[kind], payload);
}

}  // namespace

// ---- a machine

void HollowMachine::charge(Duration const work) {
  if (capacity.processor_share <= 0) return;
  charged += std::chrono::duration_cast<Duration>(work / capacity.processor_share);
}

Instant HollowLink::pass(Address const& peer, Instant const from, std::size_t const bytes) {
  if (bytes_per_second_ <= 0) return from;
  std::chrono::duration<double> const exact(static_cast<double>(bytes) / bytes_per_second_);
  Duration const takes = std::chrono::duration_cast<Duration>(exact);
  Instant& peer_until = peer_until_[peer];
  Instant const ready = std::max(from, peer_until);
  if (bytes > large_above) {
    large_until_ = std::max(ready, large_until_) + takes;
    peer_until = large_until_;
  } else {
    small_until_ = std::max(ready, small_until_) + takes;
    peer_until = small_until_;
    if (large_until_ > from) large_until_ += takes;
  }
  return peer_until;
}

// ---- the network

HollowNetwork::HollowNetwork(HollowDelays const delays, std::uint64_t const seed)
    : delays_(delays), chance_(seed), clock_cost_(clock_reading_cost()) {}

HollowNetwork::~HollowNetwork() {
  for (auto const& [address, process] : processes_) process->kill();
  queue_ = {};
  settle();
}

void HollowNetwork::at(Instant const when, std::shared_ptr<HollowMachine> machine, std::function<void()> f) {
  queue_.push(Event{std::max(when, now_), ++last_event_, std::move(machine), std::move(f)});
}

void HollowNetwork::charge_reading(std::size_t const routes) {
  if (running_) running_->charge(costs_.route_read * static_cast<Duration::rep>(routes));
}

void HollowNetwork::run_for(Duration const d) {
  Instant const end = now_ + d;
  settle();
  while (!queue_.empty() && queue_.top().at <= end) {
    Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    if (event.machine->busy_until > now_) {
      event.at = event.machine->busy_until;  // delayed events run in the order of their numbers
      queue_.push(std::move(event));
    } else {
      run(event);
    }
  }
  now_ = end;
}

void HollowNetwork::run(Event& event) {
  HollowMachine& machine = *event.machine;
  running_ = event.machine;
  machine.charged = Duration::zero();
  Duration const begin = thread_processor_time();
  event.run();
  settle();
  Duration const took = thread_processor_time() - begin - clock_cost_;
  running_ = nullptr;
  machine.busy_until = now_ + std::exchange(machine.charged, Duration::zero());
  ++machine.meter.events;
  machine.meter.processor += std::max(took, Duration::zero());
}

void HollowNetwork::settle() {
  io_.restart();
  io_.poll();
}

void HollowNetwork::add(std::shared_ptr<HollowProcess> const& process) { processes_[process->address()] = process; }

std::shared_ptr<HollowProcess> HollowNetwork::find(Address const& address) const {
  auto const it = processes_.find(address);
  return it == processes_.end() ? nullptr : it->second;
}

void HollowNetwork::cut(std::size_t const region, std::size_t const other) {
  cuts_.insert({region, other});
  cuts_.insert({other, region});
}

Duration HollowNetwork::delay(HollowLocation const& from, HollowLocation const& to) const {
  if (from.region != to.region) return delays_.between_regions;
  return from.zone == to.zone ? delays_.in_zone : delays_.in_region;
}

bool HollowNetwork::open(HollowProcess const& from, HollowProcess const& to) const {
  auto const cut_off = [this](HollowProcess const& one, HollowProcess const& other) {
    auto const it = isolated_.find(one.address());
    return it != isolated_.end() && it->second.contains(other.address());
  };
  if (!isolated_.empty() && (cut_off(from, to) || cut_off(to, from))) return false;
  return cuts_.empty() || !cuts_.contains({from.location().region, to.location().region});
}

void HollowNetwork::isolate(Address const& process, std::set<Address> from) { isolated_[process] = std::move(from); }

Instant HollowNetwork::arrival(HollowProcess& from, HollowProcess& to, std::size_t const payload) {
  std::size_t const bytes = payload + frame_head_bytes;
  Duration const work = costs_.message + costs_.kilobyte * static_cast<Duration::rep>(bytes) / 1024;
  HollowMachine& sender = *from.machine();
  HollowMachine& receiver = *to.machine();
  sender.charge(work);
  Instant const sent = sender.sending.pass(to.address(), now_ + sender.charged, bytes);
  Instant const at_link = sent + delay(from.location(), to.location());
  return receiver.receiving.pass(from.address(), at_link, bytes);
}

void HollowNetwork::send(HollowProcess& from, Address const& to, std::uint8_t const kind, Bytes payload, Done done) {
  std::shared_ptr<HollowProcess> const target = find(to);
  std::weak_ptr<HollowProcess> const sender = from.weak_from_this();
  if (!target || !target->alive()) return refuse(sender, to, delays_.in_region, done);
  if (!open(from, *target)) return refuse(sender, to, connect_timeout, done);
  count_sent(from.meter(), kind, payload.size());
  Instant const arrives = arrival(from, *target, payload.size());
  Payload const kept = std::make_shared<Bytes>(std::move(payload));
  at(arrives, target->machine(),
     [this, sender, target, kind, kept, done = std::move(done)] { arrive(sender, target, kind, kept, done); });
}

void HollowNetwork::charge_receipt(HollowProcess& to, std::size_t const payload) {
  to.machine()->charge(costs_.message + costs_.kilobyte * static_cast<Duration::rep>(payload) / 1024);
}

void HollowNetwork::arrive(std::weak_ptr<HollowProcess> const& from, std::shared_ptr<HollowProcess> const& to,
                           std::uint8_t const kind, Payload const& payload, Done const& done) {
  std::shared_ptr<HollowProcess> const sender = from.lock();
  if (!to->alive()) return refuse(from, to->address(), delays_.in_region, done);
  if (sender && !open(*sender, *to)) return;
  count_received(to->meter(), kind, payload->size());
  charge_receipt(*to, payload->size());
  if (to->dispatcher() == nullptr || !to->dispatcher()->handlers[kind]) return;
  spawn(*to, handle(from, to, kind, payload, done));
}

Task<void> HollowNetwork::handle(std::weak_ptr<HollowProcess> from, std::shared_ptr<HollowProcess> to,
                                 std::uint8_t const kind, Payload payload, Done done) {
  Bytes request = std::move(*payload);
  Result<Bytes> reply = co_await to->dispatcher()->handlers[kind](std::move(request), nullptr);
  if (done) answer(from, *to, kind, std::move(reply), done);
}

void HollowNetwork::answer(std::weak_ptr<HollowProcess> const& to, HollowProcess& from, std::uint8_t const kind,
                           Result<Bytes> reply, Done const& done) {
  std::shared_ptr<HollowProcess> const asker = to.lock();
  if (!asker || !asker->alive() || !open(from, *asker)) return;
  std::size_t const size = reply ? reply->size() : 0;
  count_sent(from.meter(), kind, size);
  Instant const arrives = arrival(from, *asker, size);
  std::shared_ptr<Result<Bytes>> const kept = std::make_shared<Result<Bytes>>(std::move(reply));
  at(arrives, asker->machine(), [this, asker, kind, size, kept, done] {
    if (!asker->alive()) return;
    count_received(asker->meter(), kind, size);
    charge_receipt(*asker, size);
    done(std::move(*kept));
  });
}

void HollowNetwork::refuse(std::weak_ptr<HollowProcess> const& from, Address const& peer, Duration const wait,
                           Done const& done) {
  std::shared_ptr<HollowProcess> const sender = from.lock();
  if (!done || !sender || !sender->alive()) return;
  at(now_ + wait, sender->machine(), [sender, peer, done] {
    if (sender->alive()) done(make_error("connect", peer, "refused", Proof::not_run));
  });
}

// ---- a process

Task<bool> HollowProcess::Alarm::wait(Instant const until) {
  if (waiting_->woken) {
    waiting_->woken = false;
    co_return false;
  }
  std::uint64_t const wait = ++waiting_->wait;
  bool const ran_out = co_await asio::async_initiate<asio::use_awaitable_t<> const, void(bool)>(
      [](auto handler, HollowProcess* const process, std::shared_ptr<Waiting> const waiting, Instant const when,
         std::uint64_t const number) {
        auto const kept = std::make_shared<decltype(handler)>(std::move(handler));
        waiting->handler = [kept](bool const v) { std::move (*kept)(v); };
        std::weak_ptr<Waiting> const weak = waiting;
        std::weak_ptr<HollowProcess> const owner = process->weak_from_this();
        process->network_.at(when, process->machine_, [weak, owner, number] {
          std::shared_ptr<HollowProcess> const alive = owner.lock();
          if (!alive || !alive->alive()) return;
          if (std::shared_ptr<Waiting> const still = weak.lock()) fire(still, number, true);
        });
      },
      asio::use_awaitable, &process_, waiting_, until, wait);
  waiting_->woken = false;
  co_return ran_out;
}

void HollowProcess::Alarm::wake() {
  waiting_->woken = true;
  if (!waiting_->handler) return;
  std::weak_ptr<Waiting> const weak = waiting_;
  std::uint64_t const number = waiting_->wait;
  asio::post(process_.network_.io(), [weak, number] {
    if (std::shared_ptr<Waiting> const still = weak.lock()) fire(still, number, false);
  });
}

void HollowProcess::Alarm::fire(std::shared_ptr<Waiting> const& waiting, std::uint64_t const wait, bool const ran_out) {
  if (waiting->wait != wait || !waiting->handler) return;
  std::function<void(bool)> const handler = std::move(waiting->handler);
  waiting->handler = nullptr;
  handler(ran_out && !waiting->woken);
}

Task<Result<Bytes>> HollowProcess::ask_raw(Address const peer, std::uint8_t const kind, Bytes payload,
                                           Instant const deadline, SharedCancellation) {
  using Answer = OneShot<HollowProcess, Result<Bytes>>;
  std::shared_ptr<Answer> const answer = std::make_shared<Answer>(*this);
  std::weak_ptr<Answer> const weak = answer;
  network_.send(*this, peer, kind, std::move(payload), [weak](Result<Bytes> reply) {
    if (std::shared_ptr<Answer> const waiting = weak.lock()) waiting->give(std::move(reply));
  });
  std::optional<Result<Bytes>> got = co_await answer->wait(deadline);
  if (got) co_return std::move(*got);
  co_return make_error("wait_for_reply", peer, "deadline", Proof::unknown);
}

void HollowProcess::tell_raw(Address const& peer, std::uint8_t const kind, SharedBytes const& payload) {
  network_.send(*this, peer, kind, *payload, nullptr);
}

void HollowProcess::kill() {
  if (!alive_) return;
  alive_ = false;
  std::map<std::uint64_t, std::weak_ptr<Waiting>> alarms;
  alarms.swap(alarms_);
  std::vector<std::function<void(bool)>> dropped;  // destroys the waiting coroutines
  for (auto const& [number, weak] : alarms) {
    std::shared_ptr<Waiting> const waiting = weak.lock();
    if (!waiting) continue;
    dropped.push_back(std::move(waiting->handler));
    waiting->handler = nullptr;
  }
}

}  // namespace banktide
