// Which endpoint a request goes to. An endpoint is a node beside a backend of
// the service: in the own zone the node itself, in another zone one of that
// zone's gateways for the service. What is known of each comes from the zone's
// feed and, fresher, from its answers to this node. Local endpoints come first;
// a request crosses to another zone when no local one has a free slot and the
// remote one would finish it clearly sooner.
#pragma once

#include "protocol/forward_messages.hpp"
#include "transport/environment.hpp"

#include <functional>
#include <map>
#include <set>
#include <tsl/robin_map.h>

namespace banktide {

/** One place that can serve a service. */
struct Endpoint {
  std::string node;
  Address address;
  std::string zone;
  bool local_zone = false;
  std::uint32_t slots = 1;
  /** Requests running and waiting there, as last announced by the feed. */
  std::uint32_t announced_load = 0;
};

/** What this node has itself seen of one peer address. */
struct EndpointHistory {
  std::uint32_t in_flight = 0;
  /** Requests of other nodes there, as of the last answer. */
  double other_load = 0;
  Instant other_load_at{};
  std::uint32_t run_us = 0;
  /** What requests and answers take on their way there and back, in microseconds, when it was last measured. */
  double transfer_us = 0;
  Instant transfer_at{};
  std::uint32_t consecutive_failures = 0;
  std::uint32_t ejections = 0;
  /** The last failure was certain: nothing was there. */
  bool unreachable = false;
  Instant avoid_until{};
  /** For how long refusals for being busy are believed. */
  Instant busy_until{};
  /** Of the requests that reached the backend there, how many failed, as it last told. */
  std::uint32_t failed_percent = 0;
  Instant failed_percent_at{};
};

class EndpointSelector {
 public:
  using Endpoints = std::vector<Endpoint>;

  /** All endpoints by service, from the newest view. */
  void replace(std::map<std::string, Endpoints> endpoints);
  Endpoints const& of(std::string const& service) const;
  /** The part of the requests that each of these zones may get: 0 none, up to 1. A zone left out may get all. */
  void set_zone_shares(std::map<std::string, double> shares) { zone_shares_ = std::move(shares); }

  /**
   * The best endpoint whose address isn't in `tried`; nullptr when there is none. One that its zone's share
   * withholds from this request is considered only if there is no other, tried or not, that can be reached. Of the
   * repeatable requests a few go to endpoints that fail much, to learn whether they still do.
   */
  Endpoint const* select(std::string const& service, std::set<Address> const& tried, Instant now,
                         std::mt19937_64& chance, bool repeatable = false);

  /** Says which addresses don't answer at the moment; they are avoided. May be left unset. */
  void set_silence_check(std::function<bool(Address const&)> silent) { is_silent_ = std::move(silent); }

  void sent(Address const& address);
  /** The request that `sent` counted is over; its answer told the load there. */
  void answered(Address const& address, EndpointLoad const& load, Instant now);
  void busy(Address const& address, EndpointLoad const& load, Duration for_time, Instant now);
  /** The request that `sent` counted failed; `certain`: nothing is there at all. */
  void failed(Address const& address, bool certain, Instant now);
  /** A request and its answer took so long on their way, without the time at the endpoint itself. */
  void transferred(Address const& address, Duration took, Instant now);
  /** What the way there and back is expected to take. */
  Duration expected_transfer(Address const& address, Instant now) const;
  bool avoided(Address const& address, Instant now) const;

  /** A remote endpoint must look this much better than a local one that has no free slot. */
  static constexpr double crossing_penalty = 1.3;

 private:
  /** An endpoint that may be had, its cost, and its ability: requests that it finishes in a microsecond. */
  struct Candidate {
    Endpoint const* endpoint = nullptr;
    double cost = 0;
    double throughput = 0;
  };
  static Endpoint const* pick_better_of_two(std::vector<Candidate> const& from, std::mt19937_64& chance);
  static std::size_t draw(std::vector<Candidate> const& from, std::size_t skipped, std::mt19937_64& chance);
  double run_time_of(Endpoint const& endpoint, double mean_run_us) const;
  /** A good one of those that `offered` says may be had; those that `shunned` names are the last resort. */
  template <class Eligible, class LastResort>
  Endpoint const* select_from(Endpoints const& all, std::set<Address> const& tried, Instant now,
                              std::mt19937_64& chance, Eligible is_eligible, LastResort is_last_resort) const;
  bool is_withheld(Endpoint const& endpoint, double draw) const;
  bool is_reachable(Endpoint const& endpoint, Instant now) const;
  double cost(Endpoint const& endpoint, Instant now, double mean_run_us) const;
  double transfer_us(Address const& address, Instant now) const;
  bool has_free_slot(Endpoint const& endpoint, Instant now) const;
  /** A slot is free, and the links on the way aren't congested. */
  bool ready(Endpoint const& endpoint, Instant now) const;
  double expected_load(Endpoint const& endpoint, Instant now) const;
  double mean_run_time(Endpoints const& endpoints) const;
  std::set<Address> const& outliers_of(std::string const& service, Endpoints const& endpoints, Instant now);
  std::uint32_t failed_percent(Endpoint const& endpoint, Instant now) const;

  /** Endpoints that fail far more than the others of their service. */
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
