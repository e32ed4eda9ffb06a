// The core of a router node or configuration replica, without I/O: it owns the mesh, the register, the worker tables
// and the dispatchers, and connects them. Programs and the simulators drive the same code (§2.2).
//
// § refers to sections of docs/design.md.
//
// The calls that do work take the time of a monotonic clock in microseconds and append the work that results to a
// NodeEffects.
// Not synchronized: used by the node's loop only.
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

// A node of the fleet. The process around it owns sockets, disk and timers, and carries out the effects of each call.
class Node {
 public:
  // 'recovered' is the replica's record from its disk; without one this node is no replica.
  Node(NodePlan initial_plan, Micros now, std::optional<wire::RecordT> recovered);

  // Runs everything that is due; to be called several times a second.
  void tick(Micros now, NodeEffects& out);
  // Notices that the process was suspended: what the node knew is then out of date until it is confirmed again (§6.7).
  // The calls with a time and effects do this themselves before anything else, except record_synced(),
  // await_worker_end() and drain().
  void detect_clock_jump(Micros now);

  // A connection to a peer was opened; 'address' is the one that was dialled, empty for an inbound connection.
  void connection_opened(ConnectionId id, bool outbound, std::string const& address, Micros now, NodeEffects& out);
  // A connection to a peer was closed.
  void connection_closed(ConnectionId id, Micros now, NodeEffects& out);
  // Opening a connection to 'address' failed. 'refused': the peer's host refused the connection.
  void dial_failed(std::string const& address, bool refused, Micros now, NodeEffects& out);
  // Handles a frame from a peer. False if the bytes are not a valid frame; the caller then closes the connection.
  bool receive_frame(ConnectionId id, std::string_view frame, Micros now, NodeEffects& out);

  // The record of NodeEffects::record_to_sync is on disk.
  void record_synced(Micros now, NodeEffects& out);
  // Takes the result of reading the platform's list of workers, nullopt if that failed. 'source_answered': the list's
  // address refused the connection or sent something, so that a failure is the list's own, not that of a cut network.
  void handle_worker_list(std::optional<std::vector<ListRow>> const& rows, bool source_answered, Micros now,
                          NodeEffects& out);
  // Takes the result of a health check, nullopt if it failed. 'refused': the worker's host refused the connection.
  void handle_health_report(HealthCheck const& check, std::optional<HealthReport> const& report, bool refused,
                            Micros now, NodeEffects& out);

  // Proposes an operator's change or read, or forwards it to a replica; the ChangeReply carries 'id'. 'id' 0 is for
  // changes that the node itself needs, which get no reply. The caller has validated the description.
  void submit_change(std::uint64_t id, Change change, Micros now, NodeEffects& out);
  // Whether any known node, worker or drain is in this zone.
  bool is_known_zone(std::string const& zone) const;
  // Why this router node cannot be evicted from the register; nullopt if it can (§5.9).
  std::optional<Error> eviction_refusal(std::string const& name) const {
    return router_registrations_.eviction_refusal(name);
  }

  // Routed requests and self-registered workers (§12).
  // Starts to route a request. 'id' must be new.
  void start_request(std::uint64_t id, RequestInfo request, Micros now, NodeEffects& out);
  // An attempt of a routed request ended; 'wrong_instance': another instance answers at the worker's address.
  void attempt_ended(std::uint64_t id, AttemptEnd end, bool wrong_instance, Micros now, NodeEffects& out);
  // Takes a worker's heartbeat. False if this node cannot pass it on to the others: the worker should call another
  // node, although the heartbeat may count here.
  bool handle_heartbeat(Heartbeat const& heartbeat, Micros now, NodeEffects& out);
  // Answers the call 'id', at once or later, when it is settled whether the other nodes know of the worker's end
  // (docs/control.md, "Ends of workers").
  void await_worker_end(std::uint64_t id, std::string const& worker, Micros now, NodeEffects& out);
  // A worker reported that it leaves; 'call_sequence' orders its calls.
  void worker_left(std::string const& id, std::uint64_t call_sequence, Micros now, NodeEffects& out);

  // Chat requests.
  // Starts to dispatch a chat request. 'id' must be new.
  void start_chat_request(std::uint64_t id, ChatRequestInfo request, Micros now, NodeEffects& out);
  // A byte of the current attempt may have left this node.
  void chat_attempt_sent(std::uint64_t id) { chat_dispatcher.on_sent(id); }
  // A byte of the answer was forwarded to the client.
  void chat_attempt_began(std::uint64_t id) { chat_dispatcher.on_answer_begin(id); }
  // An attempt of a chat request ended. 'why' describes a failure for the log; 'retry_after' is the delay in
  // microseconds that the worker named in its refusal.
  void chat_attempt_ended(std::uint64_t id, ChatAttemptEnd end, std::string const& why, Micros retry_after, Micros now,
                          NodeEffects& out);
  // The client of a chat request closed its connection.
  void client_disconnected(std::uint64_t id, Micros now, NodeEffects& out);

  // A planned stop is near: from now on a replica has itself replaced while it still holds its copy.
  void retire() { retiring_ = true; }
  // Whether the process need not wait before it stops. True for a node that is no member of the replica set, and for a
  // member in contact with a quorum that can be neither replaced by a spare replica nor removed from the set. False for
  // a member that waits for its replacement or removal, or for a quorum.
  bool may_stop(Micros now) const;
  // Refuses and no longer retries chat requests, gives up the replica set manager's lease and announces that the node
  // leaves. Routed requests are not refused here: the process keeps them out (NodeServer closes its listeners first).
  void drain(Micros now, NodeEffects& out);
  bool is_ready() const { return ready_; }
  // Ready, not behind the newest configuration for too long, and holding the configuration lease if the description
  // requires API keys.
  bool accepts_requests(Micros now) const {
    if (!ready_ || !key_lease().may_handle_requests(now)) return false;
    return !dispatcher.description()->keys_required || key_lease().valid(now);
  }
  bool is_draining() const { return draining_; }
  // The lease on the configuration; API keys are accepted only while it is held.
  ConfigurationLease const& key_lease() const { return configuration_authority_.key_lease(); }
  // This node's part in requesting and granting tenants' quota.
  QuotaAuthority const& quota_authority() const { return quota_authority_; }
  std::size_t chat_requests_in_flight() const { return chat_dispatcher.active_requests(); }

  // Terms: the register is the value that the replicas agree on by Paxos (Proposer, Learner, Acceptor). Its revision
  // counts every change; its serial counts the operators' changes to the configuration in it. The registrations of
  // router nodes are entries of the register. The fleet contains the workers of the platform's list, the registry those
  // that register themselves. ChatDispatcher places chat requests on the fleet, Dispatcher places routed requests on
  // the registry.
  NodePlan const plan;
  Mesh mesh;
  Proposer proposer;
  Learner learner;
  std::optional<Acceptor> acceptor;  // replicas only
  IndexSync index_sync;
  Fleet fleet;
  ChatDispatcher chat_dispatcher;
  Registry registry;
  ReportExchange exchange;
  Dispatcher dispatcher;
  std::uint64_t clock_jumps = 0;  // since the start

 private:
  // A chosen change whose reply waits for confirmations by other nodes.
  struct PendingConfirmation {
    ChangeReply reply;
    std::set<std::string> unconfirmed;  // of an 'empty': nodes that must confirm it
    std::uint64_t spread_revision = 0;  // of an 'apply': half of the router nodes must hold this revision; else 0
    std::set<std::string> confirmed;    // nodes that have confirmed it
    std::uint64_t serial = 0;           // that a confirmation must have at least
    Micros chosen_at = 0;
    Micros deadline = 0;
  };
  void handle_message(std::string const& from, wire::BodyUnion& body, Micros now, NodeEffects& out);
  // Sends all messages, also those that follow from them: to this node itself by a direct call, to others by the mesh.
  void send_messages(std::vector<OutgoingMessage>& outgoing, Micros now, NodeEffects& out);
  void send_frame(OutgoingMessage& message, NodeEffects& out);
  // How a newer value came to this node; the log names it.
  enum class ValueSource : std::uint8_t { proposal, push, catch_up, poll, forwarded_change };
  static char const* value_source_name(ValueSource source);
  // Brings a newer value, just adopted by the learner, into force. 'from' is the peer that sent it, or this node.
  void apply_adopted_value(ValueSource source, std::string const& from, Micros now, NodeEffects& out);
  // Sends a chosen value to all peers, as a patch of 'base' if one is given.
  void broadcast_value(wire::ValueT const& value, std::optional<wire::ValueT> const& base, std::uint64_t request_id,
                       NodeEffects& out);
  void handle_chosen(std::string const& from, wire::ChosenT const& update, Micros now,
                     std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  // Applies patches that arrived before their base, as soon as the base is held.
  void apply_early_patches(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  // Confirms to the sender or origin of a value that this node holds it.
  void acknowledge_value(std::string const& from, wire::ChosenT const& update, std::vector<OutgoingMessage>& outgoing);
  void send_full_value(std::string const& to, wire::CatchUpRequestT const& request,
                       std::vector<OutgoingMessage>& outgoing) const;
  void finish_change(std::uint64_t id, Change const& change, Outcome const& outcome, Micros now, NodeEffects& out);
  // Adopts the value that contains a change of this node, and sends it to the other nodes.
  void bring_into_force(Change const& change, Outcome const& outcome, std::uint64_t request_id, Micros now,
                        NodeEffects& out);
  void note_failed_change(Change const& change, Outcome const& outcome, Micros now, NodeEffects& out);
  // A change that this node needed for itself has an outcome.
  void finish_own_change(Change const& change);
  // Keep the reply until other nodes have confirmed the value, or the wait for them ends.
  void await_drain_confirmations(ChangeReply reply, std::uint64_t request_id, Micros now, NodeEffects& out);
  void await_spread(ChangeReply reply, std::uint64_t request_id, Micros now, NodeEffects& out);
  void finish_ended_changes(Micros now, NodeEffects& out);
  // Invariants of replies to operators and of values that come into force (node/node_invariants.cc).
  void record_call(std::uint64_t id, Change const& change);
  void check_replies(NodeEffects const& out);
  void check_reply(ChangeReply const& reply);
  void check_value(wire::ValueT const& value);
  // Logs at intervals why this node is not ready yet.
  void log_not_ready(Micros now);
  std::string not_ready_reason(Micros now) const;
  // Replies to the pending changes that are confirmed or past their deadline.
  void complete_confirmations(Micros now, NodeEffects& out);
  void update_readiness(Micros now, NodeEffects& out);
  // Publishes the entries of the workers that this node owns.
  void publish_own_entries(Micros now, NodeEffects& out);
  void manage_replica_set(Micros now, NodeEffects& out);
  // Lets the quota authority serve the dispatcher's needs.
  void process_quota(Micros now, NodeEffects& out);
  void tick_worker_list(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  void tick_registered_workers(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out);
  void publish_entry(wire::EntryT entry, Micros now, NodeEffects& out);
  void adopt_workers(Micros now, NodeEffects& out);
  void restore_worker(std::string const& id, Micros now);
  void send_reports(Micros now, NodeEffects& out);
  void update_gossip_paths(Micros now);
  void log_report_hub(GossipPaths const& paths);
  void forward_to_zone(wire::ChosenT const& update, NodeEffects& out);
  void propose(std::uint64_t id, Change change, Micros now, NodeEffects& out);
  void refuse_change(std::uint64_t id, Change const& change, ErrorCode code, NodeEffects& out);
  Micros poll_interval() const;
  bool is_on_half_of_routers(std::uint64_t revision) const;
  void request_newer_value(Micros now, std::vector<OutgoingMessage>& outgoing);
  // Pauses or resumes the dispatchers, by whether the state of this node is up to date and it is registered.
  void update_dispatch_pause();
  void request_registration(Micros now, NodeEffects& out);
  void update_registration(Micros now, NodeEffects& out);
  // Whether an 'empty' still waits for this node's confirmation.
  bool is_unconfirmed(PendingConfirmation const& pending, std::string const& name) const;
  // Takes the age of a peer's knowledge of the list of workers (§4.3).
  void note_peer_list_age(Micros age, Micros now);
  // Passes entries that gossip has updated to the tables of workers.
  void apply_updated_entries(Micros now, NodeEffects& out);
  // Writes an entry against one that a peer sent.
  void refute_entry(wire::EntryT entry, Micros now, NodeEffects& out);
  void send_loads(Micros now, std::vector<OutgoingMessage>& outgoing);
  void start_health_check(std::string const& id, Micros now, NodeEffects& out);
  void start_requested_health_checks(Micros now, NodeEffects& out);
  // Connected, alive router nodes.
  std::vector<std::string> index_peers() const;
  // This node, if it is a router, and the router nodes that are alive or suspected; with 'include_down' also others.
  std::set<std::string> known_routers(bool include_down) const;
  std::size_t count_known_routers(bool include_down) const;
  Index::Bounds index_bounds(std::string const& model) const;

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
  Micros next_list_read_ = 0;
  Micros next_index_round_ = 0;
  Micros next_reconcile_ = 0;
  Micros next_adoption_ = 0;
  Micros next_loads_ = 0;
  Micros loads_sent_at_ = 0;
  std::string last_sent_loads_;
  GossipPaths gossip_paths_;
  Micros next_gossip_paths_ = 0;
  std::string report_hub_;  // of this node's zone, when last looked at
  bool list_read_in_flight_ = false;
  Micros list_read_started_at_ = 0;
  Micros last_list_read_at_ = -1;  // start of the last successful reading of the list; -1: none
  bool list_failing_ = false;
  std::set<std::string> health_checks_in_flight_;    // workers
  std::map<std::string, Micros> next_health_check_;  // by worker
  bool ready_ = false;
  bool isolated_ = false;
  Micros behind_since_ = -1;  // since when a peer has a newer revision; -1: none has
  bool draining_ = false;
  bool retiring_ = false;
  Micros stale_since_ = -1;  // the last clock jump, until knowledge is confirmed again; -1 otherwise
  std::uint64_t change_count_ = 0;
  std::uint64_t next_request_id_;  // begins at another number in each incarnation: an answer to a former incarnation
                                   // finds no request
  std::map<std::uint64_t, PendingConfirmation> pending_confirmations_;  // by request id
  WorkerDepartures worker_departures_;
  RouterRegistrations router_registrations_;
  ListFreshness list_freshness_;
  ExchangeTopology exchange_topology_;
  PeerRotation peer_rotation_;
  CatchUp catch_up_;
  ConfigurationAuthority configuration_authority_;
  QuotaAuthority quota_authority_;
  // An operator's call that has no reply yet.
  struct OpenCall {
    Change::Type type = Change::Type::read;
    std::string change_id;
    std::uint64_t revision = 0;  // that this node held when the call arrived
  };
  std::map<std::uint64_t, OpenCall> open_calls_;
  std::size_t settled_set_size_ = 0;  // of the last replica set in force here that was not joint
  Micros next_not_ready_log_ = 0;
  // A change whose outcome the proposer has reported.
  struct EndedChange {
    std::uint64_t id;
    Change change;
    Outcome outcome;
  };
  std::vector<EndedChange> ended_changes_;
};

}  // namespace pipit
