// Grants key ranges to a node's local backend of a keyed service: which keys the backend may hold, for how long, and
// whether a request may be sent to it. A node grants only under its lease. The lease starts when the request for a
// reading of the key table was sent, once a majority has confirmed that reading; every hold ends before the lease
// does, even by a slow clock. Contains no I/O: the caller passes in the time, the heartbeats and the tables.
#pragma once

#include "coordination/key_load.hpp"
#include "protocol/key_messages.hpp"
#include "state/key_table.hpp"
#include "state/recent_ids.hpp"

#include <optional>

namespace banktide {

struct HeldRange {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::uint32_t fence = 0;
};
struct ReleasedRange {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::string handover;
};

// The part of a backend's heartbeat that concerns keys.
struct KeyHeartbeat {
  std::string instance;
  std::uint64_t sequence = 0;  // increases with each heartbeat of an instance
  KeyHolderState state = KeyHolderState::serving;
  std::uint32_t slots = 1;
  std::vector<HeldRange> held;  // rows that it holds or still works on
  std::vector<ReleasedRange> released;
};

struct KeyGrant {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::uint32_t fence = 0;
  std::string handover;
  bool operator==(KeyGrant const&) const = default;
};

// The reply to a heartbeat. Without `renews` it contains no grant.
struct KeyHeartbeatReply {
  bool renews = false;
  std::vector<KeyGrant> rows;
  Duration hold{};
};

class KeyGranter {
 public:
  /// `started` is when this process started. What its predecessor granted may be held for a whole term after that.
  KeyGranter(std::string service, std::string node, std::string address, std::string zone, KeySettings settings,
             Instant started);

  /// Takes in a heartbeat when it arrives. The reply may be delayed while `reply_may_wait` says that it would change
  /// nothing. The caller decides which instance is the current one. Heartbeats may be seconds late, so another
  /// instance's heartbeats prove nothing about the previous one: it gets no grants while it isn't current, but its end
  /// is reported only when it is proved, and it may become current again.
  void take_heartbeat(Instant now, KeyHeartbeat const& heartbeat);
  /// The reply to the heartbeat with this sequence number, which must be the last one taken in.
  KeyHeartbeatReply reply(Instant now, std::string const& instance, std::uint64_t sequence);
  /// Takes in a heartbeat and returns its reply.
  KeyHeartbeatReply handle_heartbeat(Instant now, KeyHeartbeat const& heartbeat);
  /// Whether the reply to the last heartbeat would change nothing at the backend.
  bool reply_may_wait(Instant now) const;

  /// Takes in a chosen table from any source; older tables are ignored.
  void on_table(KeyTable const& table);
  /// A majority confirmed that no newer table had been chosen when the request was sent, at `sent`. The lease starts
  /// once a table of at least that revision has arrived; a running lease continues meanwhile, because its own reading
  /// is still valid.
  void on_confirmed(Revision revision, Instant sent);
  /// Nobody accepts connections at the current instance's address: its process has ended, or doesn't listen at the
  /// moment. Until its next heartbeat it is granted nothing, and its keys go to others once its hold has expired.
  void on_instance_unreachable(std::string const& instance);
  /// The process of an instance is proved to have ended, or has shut down gracefully.
  void on_instance_ended(std::string const& instance, std::string const& reason);
  /// The instances of this node, other than the current one, that may hold keys because nothing proves their end.
  std::vector<std::string> instances_without_proved_end() const;
  /// An instance, the current one or another, has signed off, but its process may keep serving for a while: it gets no
  /// more requests, and its end is reported once its last hold has expired. A current instance that was draining before
  /// ends at once.
  void on_instance_signed_off(std::string const& instance, Instant now);

  /// The fence of the key's row if a request may be sent to the backend now, that is, if work of the expected length
  /// ends within the hold; else none.
  std::optional<std::uint32_t> fence_to_run(std::uint16_t key, Instant now, Duration expected) const;
  /// Whether the newest table assigns the key to this backend, without a move or revocation; if a request may not run
  /// yet, it will be allowed soon.
  bool is_assigned(std::uint16_t key) const;
  /// Counts an arrived request on a key for the load of its row, whether it runs or not.
  void count(std::uint16_t key);

  /// The report for the coordinators; includes the requests counted since the last report.
  KeyReport report(Instant now, float busy, float capacity = 0);
  /// Whether something has changed that should be reported at once.
  bool has_urgent_report() const { return urgent_report_; }

  std::string const& instance() const { return instance_; }
  /// Whether the last reply granted the backend no row.
  bool grants_nothing() const { return served_.empty(); }
  Revision table_revision() const { return table_revision_; }
  bool leased(Instant now) const;

 private:
  // A row that the table assigns to this node's instance, or to a former instance here.
  struct AssignedRow {
    KeyRow row;
    std::string instance;
  };
  struct ServedRow {
    KeyGrant grant;
    KeyLoad load;
  };
  struct ReleasedToken {
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    std::uint32_t fence = 0;  // 0: not known yet
    std::string handover;
  };
  // A row that is being moved away by plan.
  struct MovingRow {
    KeyRow row;
    std::uint64_t omitted_at = 0;  // the first heartbeat whose reply omitted it
    bool released = false;
    std::string handover;
  };

  // An instance of this node that isn't the current one, though nothing proves that its process has ended.
  struct ReplacedInstance {
    std::string instance;
    Instant held_until{};  // by the slowest allowed backend clock
  };
  // An instance other than the current one that signed off, and may hold keys until then.
  struct SignedOffInstance {
    std::string instance;
    Instant held_until{};
  };

  // A confirmed reading whose table hasn't arrived yet.
  struct PendingLease {
    Revision revision = 0;
    Instant until{};
  };

  void extend_lease(Instant until);
  void start_pending_leases();
  void start_instance(std::string const& instance);
  void end_instance(std::string const& instance, std::string const& reason);
  void reset_instance();
  void add_replaced(ReplacedInstance replaced);
  void add_signed_off_other(SignedOffInstance other);
  bool has_signed_off(std::string const& instance) const;
  ReplacedInstance const* find_replaced(std::string const& instance) const;
  Instant held_until(std::string const& instance) const;
  void end_expired_holds(Instant now);
  bool is_in_table(std::string const& instance) const;
  bool runs_steadily(Instant now) const;
  void record_releases(KeyHeartbeat const& heartbeat);
  void detect_releases(KeyHeartbeat const& heartbeat);
  void update_moving_rows();
  void release_expired_moving_rows(Instant now);
  void add_instances_replaced_in_table();
  void bind_releases_to_fences();
  std::string released_token(KeyRow const& row) const;
  std::vector<KeyGrant> rows_to_grant() const;
  void update_served(std::vector<KeyGrant> const& rows, Instant now);
  ServedRow const* served_row(std::uint16_t key) const;
  void measure(Instant now);
  std::vector<KeyRowCuts> cuts_of_hot_rows(float capacity) const;

  std::string const service_, node_, address_, zone_;
  KeySettings const settings_;
  Instant const previous_process_grants_end_;  // when the last hold granted by the previous process ends at the latest

  std::string instance_;
  std::uint64_t sequence_ = 0;  // of the last heartbeat
  std::size_t heartbeats_ = 0;  // received from this instance
  Instant heartbeat_arrived_{};
  KeyHolderState holder_state_ = KeyHolderState::serving;
  std::uint32_t slots_ = 1;
  std::vector<HeldRange> held_;          // by the last heartbeat
  std::vector<ReleasedToken> released_;  // tokens of rows that were released and not granted again
  std::vector<ServedRow> served_;        // by the last reply that renewed
  Instant hold_end_{};
  Instant granted_until_{};   // by the slowest allowed backend clock
  bool unreachable_ = false;  // since the last heartbeat of the current instance
  bool signed_off_ = false;   // the current instance has signed off; it ends at `granted_until_`
  std::vector<MovingRow> moving_away_;
  std::vector<ReplacedInstance> replaced_;
  std::vector<SignedOffInstance> signed_off_others_;
  std::vector<KeyEnd> ended_;  // the latest, for the reports
  RecentIds ended_ids_;

  Revision table_revision_ = 0;
  std::optional<Instant> lease_until_;
  std::vector<PendingLease> pending_leases_;
  std::vector<AssignedRow> assigned_;

  Instant last_report_{};
  Instant running_since_{};
  bool urgent_report_ = false;
};

}  // namespace banktide
