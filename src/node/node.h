// One node without its I/O: the planes put together. Programs and the simulator drive the same code (§2.2).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/lease/lease_candidate.h"
#include "consensus/lease/lease_grantor.h"
#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "consensus/register/proposer.h"
#include "routing/dispatch/dispatcher.h"
#include "routing/chat/chat_dispatcher.h"
#include "routing/registry/registry.h"
#include "routing/tenants/configuration_lease.h"
#include "routing/tenants/quota_client.h"
#include "routing/tenants/quota_owner.h"
#include "routing/tenants/quota_shares.h"
#include "mesh/mesh.h"

namespace pipit {

struct NodePlan {
  std::string cluster = "pipit";
  std::string name;
  std::string zone;
  std::string address;  // of the mesh
  std::string http;
  Role role = Role::router;
  std::vector<std::string> seeds;
  std::vector<std::string> models;           // those that a passage serves; none means all
  std::vector<std::string> initial_members;  // names of the first replicas
  std::uint64_t incarnation = 1;
  std::uint64_t chance = 1;
  // Where workers register themselves (§12): no list is read and no health reports are asked, registrations are not
  // needed since no zone is ever drained there, and the first replicas are those at the seeds.
  bool registered = false;
  bool replica = false;      // a router node that keeps as well
  bool first_start = false;  // the fleet starts for the first time
  // Whose replicas are the first set; none where this node may not found. The node fills it in.
  std::vector<std::string> bootstrap_seeds;
  Micros heartbeat_interval = millis(1200);
  double resend_ratio = 0.15;
  double resend_store = 30;   // of all nodes together
  std::size_t tolerated = 1;  // replicas that may be lost at once with their disks
  // What makes a description of the register's text.
  DescriptionReader read = read_description;
  // Within which a key that was taken away must let nothing run any more, also at a node that is cut off; 0: only nodes
  // that hear of it are bound.
  Micros revocation = 0;
  // Within which a change is in force at a node that is in touch: an older configuration refuses nothing for good.
  Micros in_force = millis(2000);
  QuotaTerms quota;
};

// What an operator asked, answered.
struct Reply {
  std::uint64_t id = 0;
  Outcome outcome;
  std::vector<std::string> missing;  // nodes that have not confirmed, of an 'empty'
  std::string change;
};

struct Check {
  std::string worker;
  std::string address;
  std::uint64_t incarnation = 0;
  Micros asked = 0;
};

// Whether the end of a worker may be acknowledged: the other nodes know of it.
struct EndAnswer {
  std::uint64_t id = 0;  // of the call
  bool known = false;
};

struct NodeEffects {
  ConnectionEffects mesh;
  std::optional<wire::RecordT> save;
  std::vector<Reply> replies;
  std::vector<EndAnswer> end_answers;
  ChatEffects chat;
  DispatchEffects dispatch;
  bool read_list = false;
  std::vector<Check> checks;
};

class Node {
 public:
  Node(NodePlan initial_plan, Micros now, std::optional<wire::RecordT> recovered);

  void tick(Micros now, NodeEffects& out);
  // A node that was stopped for a while learns it here, before anything else it does (§6.7).
  void watch_clock(Micros now);

  void opened(ConnectionId id, bool outbound, std::string const& address, Micros now, NodeEffects& out);
  void shut(ConnectionId id, Micros now, NodeEffects& out);
  void dial_failed(std::string const& address, bool refused, Micros now, NodeEffects& out);
  // False when the frame was no frame: the shell then shuts the connection.
  bool bytes(ConnectionId id, std::string_view frame, Micros now, NodeEffects& out);

  void disk_done(Micros now, NodeEffects& out);
  // 'answered': a failed reading whose fault is the list's own, since its address refused or answered oddly.
  void list(std::optional<std::vector<ListRow>> const& rows, bool answered, Micros now, NodeEffects& out);
  void health_report(Check const& check, std::optional<HealthReport> const& report, bool refused, Micros now,
                     NodeEffects& out);

  // Operators. The description was checked by the caller of operate().
  void operate(std::uint64_t id, Change change, Micros now, NodeEffects& out);
  bool zone_known(std::string const& zone) const;
  // Why a router node cannot be forgotten; nothing when it can (§5.9).
  std::optional<Error> keeps(std::string const& name) const;

  // Routed requests, and workers that register themselves (§12). An answer to a worker's word may be given at once.
  void request(std::uint64_t id, Query query, Micros now, NodeEffects& out);
  void attempt_ended(std::uint64_t id, AttemptEnd end, bool elsewhere, Micros now, NodeEffects& out);
  // False when this node cannot tell the others: the worker is to call another node, though its word counts here.
  bool heartbeat(Heartbeat const& word, Micros now, NodeEffects& out);
  // Answers 'id' once it is settled whether the others know of the worker's end (docs/control.md, "Ends of workers").
  void await_end(std::uint64_t id, std::string const& worker, Micros now, NodeEffects& out);
  void worker_left(std::string const& id, std::uint64_t order, Micros now, NodeEffects& out);

  // Chat requests.
  void chat_request(std::uint64_t id, Ask ask, Micros now, NodeEffects& out);
  void chat_attempt_sent(std::uint64_t id) { chat_dispatcher.sent(id); }
  void chat_attempt_began(std::uint64_t id) { chat_dispatcher.began(id); }
  void chat_attempt_ended(std::uint64_t id, ChatAttemptEnd end, std::string const& why, Micros back, Micros now,
                          NodeEffects& out);
  void hung_up(std::uint64_t id, Micros now, NodeEffects& out);

  // A planned stop is near: a replica asks to be replaced while it still holds its copy.
  void retire() { retiring_ = true; }
  // Whether nothing is lost when this node ends now: it keeps no more, or nobody is here to take its place.
  bool may_end(Micros now) const;
  void drain(Micros now, NodeEffects& out);
  bool ready() const { return ready_now_; }
  // Ready, and not without the lease that keys need.
  bool takes_requests(Micros now) const {
    return ready_now_ && (!dispatcher.description()->keys_required || lease.holds(now));
  }
  bool draining() const { return leaving_; }
  std::size_t under_way() const { return chat_dispatcher.under_way(); }

  NodePlan const plan;
  Mesh mesh;
  Proposer proposer;
  Learner learner;
  std::optional<Acceptor> acceptor;
  bool resumes_bootstrap =
      false;  // an earlier incarnation of this initial member ended before the first set was written
  IndexSync index_sync;
  Fleet fleet;
  ChatDispatcher chat_dispatcher;
  Registry registry;
  Exchange exchange;
  Dispatcher dispatcher;
  std::uint64_t jumps = 0;
  ConfigurationLease lease;  // for keys
  QuotaOwner quota_owner;
  QuotaClient quota_client;

 private:
  struct Waiting {  // an 'empty' that waits for confirmations
    Reply reply;
    std::set<std::string> owe;
    std::uint64_t half = 0;      // or one of an 'apply': the revision that half of the router nodes must have
    std::set<std::string> sure;  // those that confirmed
    std::uint64_t serial = 0;
    Micros due = 0;
  };
  void deliver(std::string const& from, wire::BodyUnion& body, Micros now, NodeEffects& out);
  void dispatch(std::vector<OutgoingMessage>& outgoing, Micros now, NodeEffects& out);
  void after_value(Micros now, NodeEffects& out);
  // Tells all peers of a chosen value, as a patch of 'base' where that is given.
  void spread(wire::ValueT const& value, std::optional<wire::ValueT> const& base, std::uint64_t request_id,
              NodeEffects& out);
  void take_chosen(std::string const& from, wire::ChosenT const& update, Micros now,
                   std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  void send_whole(std::string const& to, wire::CatchUpRequestT const& ask,
                  std::vector<OutgoingMessage>& outgoing) const;
  void settle(std::uint64_t id, Change const& change, Outcome const& outcome, Micros now, NodeEffects& out);
  void settle_ended(Micros now, NodeEffects& out);
  // Invariants of what operators are told, and of the values that come into force (core/checks.cc).
  void note_call(std::uint64_t id, Change const& change);
  void check_replies(NodeEffects const& out);
  void check_reply(Reply const& reply);
  void check_value(wire::ValueT const& value);
  // Says now and then why this node does not take requests yet.
  void tell_waiting(Micros now);
  std::string waits_for(Micros now) const;
  void settle_waiting(Micros now, NodeEffects& out);
  void update_readiness(Micros now, NodeEffects& out);
  void own_entries(Micros now, NodeEffects& out);
  void duties(Micros now, NodeEffects& out);
  void bootstrap(Micros now, std::vector<OutgoingMessage>& outgoing);
  std::optional<Membership> initial_set(Micros now) const;
  std::string address_of(std::string const& name) const;
  std::optional<std::uint64_t> disk_here(std::string const& name, Micros within, Micros now) const;
  bool replica_leaves(std::string const& name) const;
  std::optional<wire::ReplicaT> spare_replica(Micros now) const;
  std::optional<wire::ReplicaT> lost_replica(Micros now) const;
  bool majority_here(std::vector<wire::ReplicaT> const& replicas, Micros now) const;
  bool members_answer(Micros now) const;
  std::size_t replicas_needed() const;
  bool set_may_shrink() const;
  std::optional<Change> member_change(Micros now) const;
  std::optional<Change> duty_due(Micros now);
  std::optional<Change> catch_up_read(Micros now);
  std::vector<std::string> initial_replicas(Micros now) const;
  std::size_t replicas_wanted() const;
  // Keys and limits of tenants (core/tenancy.cc).
  void renew_lease(Micros now, std::vector<OutgoingMessage>& outgoing);
  void confirm_configuration(Micros now);
  wire::NewestReplyT newest_reply(std::uint64_t request_id, Micros now) const;
  void take_newest(std::string const& from, wire::NewestReplyT const& reply, Micros now,
                   std::vector<OutgoingMessage>& outgoing);
  void tick_quota(Micros now, std::vector<OutgoingMessage>& outgoing);
  void settle_quota(Micros now, NodeEffects& out);
  void take_quota_ask(std::string const& from, wire::QuotaRequestT const& ask, Micros now,
                      std::vector<OutgoingMessage>& outgoing);
  void take_quota_reply(std::string const& from, wire::QuotaReplyT& reply, Micros now,
                        std::vector<OutgoingMessage>& outgoing);
  QuotaDecision decide_quota(wire::QuotaRequestT const& ask, Micros now);
  QuotaPeers quota_peers() const;
  bool reached(std::string const& name) const;
  void tick_listed(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  void tick_registered(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  void put_entry(wire::EntryT entry, Micros now, NodeEffects& out);
  void adopt_workers(Micros now, NodeEffects& out);
  void exchange_now(Micros now, NodeEffects& out);
  Paths paths() const;
  std::string hub_of(std::string const& zone) const;
  void forward(wire::ChosenT const& update, NodeEffects& out);
  // Changes go to one replica, so that proposers do not outbid each other (§12.8).
  std::string proposing_replica() const;
  // Whether a replica of the set is reached, and was last seen on the disk that belongs to the set.
  bool replica_reached(wire::ReplicaT const& replica) const;
  std::string relaying_peer();
  bool hand_over(std::uint64_t id, Change const& change, Micros now, NodeEffects& out);
  void take_handed(std::string const& from, wire::ForwardedChangeT const& ask, Micros now, NodeEffects& out);
  void put_text(std::string const& text, wire::ForwardedChangeT& ask) const;
  std::optional<std::string> handed_text(wire::ForwardedChangeT const& ask) const;
  void send_text(std::string const& to, std::uint64_t request_id, Change const& change, NodeEffects& out);
  void take_answer(std::string const& from, wire::ForwardedChangeReplyT const& ans, Micros now, NodeEffects& out);
  void settle_handed(Micros now, NodeEffects& out);
  void settle_ends(Micros now, NodeEffects& out);
  bool told_all_reached(std::string const& worker) const;
  bool told_enough(std::string const& worker) const;
  bool hears_others(Micros now) const;
  void check_end(std::string const& worker) const;
  void propose(std::uint64_t id, Change change, Micros now, NodeEffects& out);
  // Whether this node still hears a quorum of the replicas; without one it refuses operators at once (docs/control.md).
  bool quorum_heard(Micros now) const;
  void refuse_now(std::uint64_t id, Change const& change, ErrorCode kind, NodeEffects& out);
  Micros poll_span() const;
  bool half_has(std::uint64_t revision) const;
  bool is_registered() const;
  void ask_newer(Micros now, std::vector<OutgoingMessage>& outgoing);
  void update_hold();
  bool newcomer(Micros now) const;
  bool self_evicted() const;
  void request_registration(Micros now, NodeEffects& out);
  void update_registration(Micros now, NodeEffects& out);
  bool owes(Waiting const& item, std::string const& name) const;
  bool eviction_due(Micros now, Change& change) const;
  // Knowledge of the list that a peer passed on, as old as it said (§4.3).
  void hear(Micros age, Micros now);
  bool is_up_to_date(Micros now);
  Micros list_age(Micros now) const { return list_known_at_ < 0 ? -1 : now - list_known_at_; }
  void take_fresh(Micros now);
  void tell_loads(Micros now, std::vector<OutgoingMessage>& outgoing);
  void check_now(std::string const& id, Micros now, NodeEffects& out);
  void check_asked(Micros now, NodeEffects& out);
  std::vector<std::string> replicas() const;
  std::vector<std::string> index_peers() const;
  std::set<std::string> routers(bool all) const;
  Index::Bounds bounds(std::string const& model) const;

  ConfigurationLease owner_lease_;  // for handing limits out
  QuotaShares quota_shares_;
  std::map<std::uint64_t, Micros> newest_asks_;  // when each question that may still be answered was sent
  // By revision that is not held here yet: a moment at which nothing above it had been chosen.
  std::map<std::uint64_t, Micros> newest_told_;
  Micros next_newest_ask_ = 0;
  std::uint64_t newest_turn_ = 0;

  LeaseGrantor lease_grantor_;
  LeaseCandidate repair_lease_;
  Micros started_at_;
  Micros last_tick_;
  Micros next_poll_ = 0;
  Micros next_list_ = 0;
  Micros next_round_ = 0;
  Micros next_reconcile_ = 0;
  Micros next_adoption_ = 0;
  Micros next_loads_ = 0;
  Micros loads_told_ = 0;
  std::string loads_last_;
  bool list_flying_ = false;
  Micros list_flew_ = 0;
  Micros listed_at_ = -1;
  bool list_bad_ = false;
  std::set<std::string> checking_;
  std::map<std::string, Micros> check_due_;
  bool ready_now_ = false;
  bool isolated_ = false;
  Micros list_known_at_ = -1;  // when the freshest reading of the list that is known here was begun, by whomever
  Micros up_to_date_at_ = -1;  // until when no mark can have been missed
  Micros half_since_ = -1;     // since when at least half of all members are heard
  Micros list_said_at_ = -1;   // when the list's own address last refused, or answered oddly
  bool registration_pending_ = false;
  bool was_registered_ = false;
  bool registered_before_ = false;  // a former incarnation had one: nobody's share changes with this one
  Micros behind_since_ = -1;
  Micros next_registration_ = 0;
  Micros registered_at_ = -1;
  bool leaving_ = false;
  bool retiring_ = false;
  Micros stale_from_ = -1;  // since when a jump of the clock waits for fresh knowledge
  std::uint64_t change_count_ = 0;
  std::uint64_t relay_turn_ = 0;   // which peer is next to be asked for a quorum's sake
  std::uint64_t next_request_id_;  // begins at another number in each incarnation: an answer to a former incarnation
                                   // finds no request
  std::map<std::uint64_t, Waiting> waiting_;
  bool duty_busy_ = false;
  bool had_duty_ = false;
  Micros repaired_at_ = -seconds(60);
  struct WorkerEnd {  // that waits until the others know of it
    std::string worker;
    Micros due = 0;
  };
  std::map<std::uint64_t, WorkerEnd> worker_ends_;
  struct OpenCall {  // of an operator, until it is answered
    Change::Type type = Change::Type::read;
    std::string change;
    std::uint64_t revision = 0;  // that was known here when it was asked
  };
  std::map<std::uint64_t, OpenCall> open_calls_;
  std::size_t settled_size_ = 0;  // of the last settled set of replicas that was in force here
  Micros next_waiting_ = 0;
  struct Ended {
    std::uint64_t id;
    Change change;
    Outcome outcome;
  };
  std::vector<Ended> ended_;
  struct Handed {  // a change that another node was asked to propose
    std::uint64_t id = 0;
    std::string proposer;  // that node
    Change change;
    Micros due = 0;
  };
  std::map<std::uint64_t, Handed> handed_;
  struct Asked {  // by whom this node was asked to propose
    std::string from;
    std::uint64_t request_id = 0;
    std::uint64_t revision = 0;  // what it held
  };
  std::map<std::uint64_t, Asked> asked_by_;
};

}  // namespace pipit
