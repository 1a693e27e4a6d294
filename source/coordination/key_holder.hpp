// Beside a backend of a keyed service: which keys the backend may hold, for how
// long, and whether a request may be sent to it. A node grants only under its
// lease, which a reading of the table confirmed by a majority gives from when
// the question was sent; every hold ends before that lease, even by a slow
// clock. State only: the caller brings the time, the beats and the tables.
#pragma once

#include "coordination/key_load.hpp"
#include "protocol/key_messages.hpp"
#include "state/key_table.hpp"

#include <optional>
#include <set>

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

// A backend's heartbeat, as far as it's about keys.
struct KeyHeartbeat {
  std::string instance;
  std::uint64_t sequence = 0;  // rises with each beat of an instance
  KeyHolderState state = KeyHolderState::serving;
  std::uint32_t slots = 1;
  std::vector<HeldRange> held;  // holds or still works on
  std::vector<ReleasedRange> released;
};

struct KeyGrant {
  std::uint16_t from = 0;
  std::uint16_t to = 0;
  std::uint32_t fence = 0;
  std::string handover;
  bool operator==(KeyGrant const&) const = default;
};

// The answer to a beat. Without `renews` it says nothing of keys.
struct KeyHeartbeatReply {
  bool renews = false;
  std::vector<KeyGrant> rows;
  Duration hold{};
};

class KeyGranter {
 public:
  /// `started`: of this process. What a process before it granted may be held for a whole term after that.
  KeyGranter(std::string service, std::string node, std::string address, std::string zone, KeySettings settings,
             Instant started);

  /// Takes a beat in when it arrives. The answer may be given later, when
  /// `answer_may_wait` says that nothing new is to be told. The caller decides which instance counts
  /// here; of the one before, which may run on all the same, the end is told once its hold has run out, or
  /// it has been silent for as long as makes a holder revoked while the other went on beating.
  void take_heartbeat(Instant now, KeyHeartbeat const& heartbeat);
  /// The answer to the beat with that number, which must be the last taken in.
  KeyHeartbeatReply reply(Instant now, std::string const& instance, std::uint64_t sequence);
  /// Both at once.
  KeyHeartbeatReply handle_heartbeat(Instant now, KeyHeartbeat const& heartbeat);
  /// Whether the answer to the last beat would change nothing at the backend.
  bool reply_may_wait(Instant now) const;

  /// A chosen table, from whomever; older ones change nothing.
  void on_table(KeyTable const& table);
  /// A majority confirmed that no newer table was chosen when the question was sent, at `sent`.
  /// The lease starts once a table of at least that revision is here; one that is running
  /// goes on meanwhile, as its own reading still holds.
  void on_confirmed(Revision revision, Instant sent);
  /// The process of an instance is proved to have ended, or left in order.
  void on_instance_ended(std::string const& instance, std::string const& reason);
  /// An instance has signed off, but its process may serve on for a while: it gets nothing
  /// more to run, and its end is told once the hold that it was given last has run out.
  /// One that was draining before ends as it signs off.
  void on_instance_signed_off(std::string const& instance, Instant now);

  /// Whether a request on a key may be sent to the backend now: the fence of
  /// its row, if work of the expected length ends within the hold.
  std::optional<std::uint32_t> may_run(std::uint16_t key, Instant now, Duration expected) const;
  /// Whether the newest table gives the key to this backend for good: if it may not run yet, it will soon.
  bool is_assigned(std::uint16_t key) const;
  /// A request on a key has come: it counts for the load of its row, run or not.
  void count(std::uint16_t key);

  /// What the coordinators are to know; takes the count of requests since the last.
  KeyReport report(Instant now, float busy, float capacity = 0);
  /// Whether there is news that a report should carry at once.
  bool has_urgent_report() const { return urgent_report_; }

  std::string const& instance() const { return instance_; }
  /// Whether the last answer gave the backend no row.
  bool grants_nothing() const { return served_.empty(); }
  Revision table_revision() const { return table_revision_; }
  bool leased(Instant now) const;

 private:
  // A row that the table gives to this node's instance, or to one that ended here.
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
  // A row in a planned move away from here.
  struct MovingRow {
    KeyRow row;
    std::uint64_t omitted_at = 0;  // the first beat whose answer left it out
    bool released = false;
    std::string handover;
  };

  // An instance that gets nothing more, and what it was granted last.
  struct PendingEnd {
    std::string instance;
    Instant held_until{};
    Instant silent_until{};  // if it is, while another one beats on, its process has ended
    std::string reason;
  };

  // A confirmed reading whose table isn't here yet.
  struct PendingLease {
    Revision revision = 0;
    Instant until{};
  };

  void extend_lease(Instant until);
  void start_pending_leases();
  void start_instance(std::string const& instance);
  void end_instance(std::string const& instance, std::string const& reason);
  void reset_instance();
  void await_end(PendingEnd end);
  bool is_pending(std::string const& instance) const;
  bool has_ended(PendingEnd const& end, Instant now) const;
  void end_expired_holds(Instant now);
  bool runs_steadily(Instant now) const;
  void record_releases(KeyHeartbeat const& heartbeat);
  void detect_releases(KeyHeartbeat const& heartbeat);
  void update_moving_rows();
  void end_instances_replaced_in_table();
  void bind_releases_to_fences();
  std::string released_token(KeyRow const& row) const;
  std::vector<KeyGrant> rows_to_grant() const;
  void update_served(std::vector<KeyGrant> const& rows, Instant now);
  ServedRow const* served_row(std::uint16_t key) const;
  void measure(Instant now);
  std::vector<KeyRowCuts> cuts_of_hot_rows(float capacity) const;

  std::string const service_, node_, address_, zone_;
  KeySettings const settings_;
  Instant const previous_process_grants_end_;  // the last end of a hold that a process before this one gave

  std::string instance_;
  std::uint64_t sequence_ = 0;  // of the last beat
  std::size_t heartbeats_ = 0;  // of this life, heard here
  Instant heartbeat_arrived_{};
  KeyHolderState holder_state_ = KeyHolderState::serving;
  std::uint32_t slots_ = 1;
  std::vector<HeldRange> held_;          // by the last beat
  std::vector<ReleasedToken> released_;  // tokens of what was let go and not granted again
  std::vector<ServedRow> served_;        // by the last answer that renewed
  Instant hold_end_{};
  Instant granted_until_{};  // by the slowest clock that a backend may have
  bool signed_off_ = false;  // the instance: it ends at `granted_until_`
  std::vector<MovingRow> moving_away_;
  std::vector<PendingEnd> pending_ends_;
  std::vector<KeyEnd> ended_;
  std::set<std::string> ended_ids_;

  Revision table_revision_ = 0;
  std::optional<Instant> lease_until_;
  std::vector<PendingLease> pending_leases_;
  std::vector<AssignedRow> assigned_;

  Instant last_report_{};
  Instant running_since_{};
  bool urgent_report_ = false;
};

}  // namespace banktide
