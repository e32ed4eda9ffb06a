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
#include "mesh/mesh.h"
#include "node/catch_up.h"
#include "node/change_forwarder.h"
#include "node/node_effects.h"
#include "node/node_plan.h"
#include "node/register_bootstrap.h"
#include "node/replica_directory.h"
#include "node/replica_set_manager.h"
#include "node/configuration_authority.h"
#include "node/exchange_topology.h"
#include "node/list_freshness.h"
#include "node/peer_selection.h"
#include "node/quota_authority.h"
#include "node/router_registrations.h"
#include "node/worker_departures.h"

namespace pipit {

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
  std::optional<Error> eviction_refusal(std::string const& name) const {
    return router_registrations_.eviction_refusal(name);
  }

  // Routed requests, and workers that register themselves (§12). An answer to a worker's word may be given at once.
  void request(std::uint64_t id, RequestInfo query, Micros now, NodeEffects& out);
  void attempt_ended(std::uint64_t id, AttemptEnd end, bool elsewhere, Micros now, NodeEffects& out);
  // False when this node cannot tell the others: the worker is to call another node, though its word counts here.
  bool heartbeat(Heartbeat const& word, Micros now, NodeEffects& out);
  // Answers 'id' once it is settled whether the others know of the worker's end (docs/control.md, "Ends of workers").
  void await_end(std::uint64_t id, std::string const& worker, Micros now, NodeEffects& out);
  void worker_left(std::string const& id, std::uint64_t order, Micros now, NodeEffects& out);

  // Chat requests.
  void chat_request(std::uint64_t id, ChatRequestInfo ask, Micros now, NodeEffects& out);
  void chat_attempt_sent(std::uint64_t id) { chat_dispatcher.on_sent(id); }
  void chat_attempt_began(std::uint64_t id) { chat_dispatcher.on_answer_begin(id); }
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
    return ready_now_ && (!dispatcher.description()->keys_required || key_lease().valid(now));
  }
  bool draining() const { return leaving_; }
  // The lease on the configuration that requests with keys need.
  ConfigurationLease const& key_lease() const { return configuration_authority_.key_lease(); }
  // This node's part in asking for and handing out tenants' quota.
  QuotaAuthority const& quota_authority() const { return quota_authority_; }
  std::size_t under_way() const { return chat_dispatcher.active_requests(); }

  NodePlan const plan;
  Mesh mesh;
  Proposer proposer;
  Learner learner;
  std::optional<Acceptor> acceptor;
  IndexSync index_sync;
  Fleet fleet;
  ChatDispatcher chat_dispatcher;
  Registry registry;
  ReportExchange exchange;
  Dispatcher dispatcher;
  std::uint64_t jumps = 0;

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
  // Applies patches that came before their base, as far as that is held by now.
  void apply_early_patches(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  // Tells who spread a value that this node holds it.
  void confirm_value(std::string const& from, wire::ChosenT const& update, std::vector<OutgoingMessage>& outgoing);
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
  void manage_replica_set(Micros now, NodeEffects& out);
  // Lets the quota authority work on what the dispatcher needs.
  void process_quota(Micros now, NodeEffects& out);
  void tick_listed(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  void tick_registered(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  void put_entry(wire::EntryT entry, Micros now, NodeEffects& out);
  void adopt_workers(Micros now, NodeEffects& out);
  void exchange_now(Micros now, NodeEffects& out);
  void forward(wire::ChosenT const& update, NodeEffects& out);
  void propose(std::uint64_t id, Change change, Micros now, NodeEffects& out);
  void refuse_now(std::uint64_t id, Change const& change, ErrorCode kind, NodeEffects& out);
  Micros poll_span() const;
  bool half_has(std::uint64_t revision) const;
  void ask_newer(Micros now, std::vector<OutgoingMessage>& outgoing);
  void update_hold();
  void request_registration(Micros now, NodeEffects& out);
  void update_registration(Micros now, NodeEffects& out);
  // Whether an 'empty' still waits for this node's confirmation.
  bool is_unconfirmed(Waiting const& item, std::string const& name) const;
  // Takes the age of a peer's knowledge of the list (§4.3).
  void take_list_age(Micros age, Micros now);
  void take_fresh(Micros now);
  void tell_loads(Micros now, std::vector<OutgoingMessage>& outgoing);
  void check_now(std::string const& id, Micros now, NodeEffects& out);
  void check_asked(Micros now, NodeEffects& out);
  std::vector<std::string> index_peers() const;
  std::set<std::string> routers(bool all) const;
  Index::Bounds bounds(std::string const& model) const;

  ReplicaDirectory::LocalStatus replica_status();
  ChangeForwarder::Actions forwarder_actions();

  ReplicaDirectory replica_directory_;
  RegisterBootstrap register_bootstrap_;
  ReplicaSetManager replica_set_manager_;
  ChangeForwarder change_forwarder_;
  LeaseGrantor lease_grantor_;
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
  Micros behind_since_ = -1;
  bool leaving_ = false;
  bool retiring_ = false;
  Micros stale_from_ = -1;  // since when a jump of the clock waits for fresh knowledge
  std::uint64_t change_count_ = 0;
  std::uint64_t next_request_id_;  // begins at another number in each incarnation: an answer to a former incarnation
                                   // finds no request
  std::map<std::uint64_t, Waiting> waiting_;
  WorkerDepartures worker_departures_;
  RouterRegistrations router_registrations_;
  ListFreshness list_freshness_;
  ExchangeTopology exchange_topology_;
  PeerRotation peer_rotation_;
  CatchUp catch_up_;
  ConfigurationAuthority configuration_authority_;
  QuotaAuthority quota_authority_;
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
};

}  // namespace pipit
