// Selects the endpoint of a request. In the own zone an endpoint is the node of a backend of the
// service; in another zone it is one of that zone's gateways for the service. The load of each is
// known from the zone's feed and, more recently, from its replies to this node. Local endpoints are
// preferred; a request goes to another zone if no local endpoint has a free slot and the remote one
// is expected to finish clearly sooner.
#pragma once

#include "protocol/forward_messages.hpp"
#include "transport/environment.hpp"

#include <functional>
#include <map>
#include <set>
#include <tsl/robin_map.h>

namespace banktide {

/** A node or gateway that can serve a service. */
struct Endpoint {
  std::string node;
  Address address;
  std::string zone;
  bool local_zone = false;
  std::uint32_t slots = 1;
  /** Requests running and waiting there, as last announced by the zone's feed. */
  std::uint32_t announced_load = 0;
};

/** What this node has itself observed of one peer address. */
struct EndpointHistory {
  std::uint32_t in_flight = 0;
  /** Requests of other nodes there, as of the last reply. */
  double other_load = 0;
  Instant other_load_at{};
  std::uint32_t run_us = 0;
  /** The network time of a request and its reply, in microseconds, as last measured. */
  double transfer_us = 0;
  Instant transfer_at{};
  std::uint32_t consecutive_failures = 0;
  std::uint32_t ejections = 0;
  /** The last failure was certain: nothing is reachable at the address. */
  bool unreachable = false;
  Instant avoid_until{};
  /** Until when the endpoint counts as busy after it refused a request. */
  Instant busy_until{};
  /** The percentage of requests that failed at the backend there, as last reported. */
  std::uint32_t failed_percent = 0;
  Instant failed_percent_at{};
};

class EndpointSelector {
 public:
  using Endpoints = std::vector<Endpoint>;

  /** Replaces all endpoints, by service, with those of the newest view. */
  void replace(std::map<std::string, Endpoints> endpoints);
  Endpoints const& of(std::string const& service) const;
  /** Sets the share of the requests that each of these zones may get, from 0 to 1. Other zones may get all. */
  void set_zone_shares(std::map<std::string, double> shares) { zone_shares_ = std::move(shares); }

  /**
   * Returns the best endpoint whose address isn't in `tried`; nullptr if there is none. An endpoint that its zone's
   * share withholds from this request is considered only if no other, tried or not, is reachable. A few of the
   * repeatable requests go to outliers, to find out whether they still fail.
   */
  Endpoint const* select(std::string const& service, std::set<Address> const& tried, Instant now,
                         std::mt19937_64& chance, bool repeatable = false);

  /** Sets the check for addresses that don't respond at the moment, which are avoided. Optional. */
  void set_silence_check(std::function<bool(Address const&)> silent) { is_silent_ = std::move(silent); }

  void sent(Address const& address);
  /** Ends a request that `sent` counted; its reply contained the load there. */
  void answered(Address const& address, EndpointLoad const& load, Instant now);
  void busy(Address const& address, EndpointLoad const& load, Duration for_time, Instant now);
  /** Ends a request that `sent` counted and that failed; `certain`: nothing is reachable there. */
  void failed(Address const& address, bool certain, Instant now);
  /** Records the network time of a request and its reply, without the time at the endpoint itself. */
  void transferred(Address const& address, Duration took, Instant now);
  /** Returns the expected network time of a request and its reply. */
  Duration expected_transfer(Address const& address, Instant now) const;
  bool avoided(Address const& address, Instant now) const;

  /** A remote endpoint must be better by this factor than a local one without a free slot. */
  static constexpr double crossing_penalty = 1.3;

 private:
  /** An eligible endpoint, its cost, and its throughput: requests that it finishes per microsecond. */
  struct Candidate {
    Endpoint const* endpoint = nullptr;
    double cost = 0;
    double throughput = 0;
  };
  static Endpoint const* pick_better_of_two(std::vector<Candidate> const& from, std::mt19937_64& chance);
  static std::size_t draw(std::vector<Candidate> const& from, std::size_t skipped, std::mt19937_64& chance);
  double run_time_of(Endpoint const& endpoint, double mean_run_us) const;
  /** Selects a good one of the eligible endpoints; those that are a last resort only if there is no other. */
  template <class Eligible, class LastResort>
  Endpoint const* select_from(Endpoints const& all, std::set<Address> const& tried, Instant now,
                              std::mt19937_64& chance, Eligible is_eligible, LastResort is_last_resort) const;
  bool is_withheld(Endpoint const& endpoint, double draw) const;
  bool is_reachable(Endpoint const& endpoint, Instant now) const;
  double cost(Endpoint const& endpoint, Instant now, double mean_run_us) const;
  double transfer_us(Address const& address, Instant now) const;
  bool has_free_slot(Endpoint const& endpoint, Instant now) const;
  /** Whether a slot is free and the network path isn't congested. */
  bool ready(Endpoint const& endpoint, Instant now) const;
  double expected_load(Endpoint const& endpoint, Instant now) const;
  double mean_run_time(Endpoints const& endpoints) const;
  std::set<Address> const& outliers_of(std::string const& service, Endpoints const& endpoints, Instant now);
  std::uint32_t failed_percent(Endpoint const& endpoint, Instant now) const;

  /** The endpoints of a service that fail far more than its others. */
  struct Outliers {
    std::set<Address> addresses;
    Instant found_at{};
  };

  static constexpr std::uint32_t failures_to_eject = 3;
  std::map<std::string, Endpoints> endpoints_;
  std::map<std::string, double> zone_shares_;
  std::function<bool(Address const&)> is_silent_;
  tsl::robin_map<Address, EndpointHistory> history_;
  tsl::robin_map<std::string, Outliers> outliers_;
};

}  // namespace banktide
