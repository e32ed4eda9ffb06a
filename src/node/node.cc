#include "node/node.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "consensus/register/router_registrations.h"
#include "consensus/register/value_patch.h"

namespace pipit {

namespace {
constexpr Micros clock_jump_threshold = seconds(1);
constexpr Micros majority_timeout = seconds(3);
constexpr Micros first_heartbeat_wait = seconds(2);
// Request ids are counted up from a random start in the lowest 1/256 of their range, so that they cannot overflow.
constexpr int spare_number_bits = 8;

// What a number from incarnation_seed() is used for.
enum class SeedUse : std::uint64_t { ballots = 1, polls, requests, lease, quota };

// Returns a number that differs for each use, node and incarnation. It seeds a random generator or determines the first
// request id. The inputs are hashed before they are combined: the process may have derived 'random_seed' from the
// incarnation and the name, so a plain combination could cancel out and be the same for all nodes and incarnations.
std::uint64_t incarnation_seed(NodePlan const& plan, SeedUse use) {
  std::uint64_t const incarnation =
      hash_bits(plan.incarnation + static_cast<std::uint64_t>(use)) + hash_text(plan.name);
  return hash_bits(hash_bits(incarnation) ^ plan.random_seed);
}

// How long after the last confirmation of its configuration a node may still allocate quota, and thus how long it may
// still act on a superseded replica set. The revocation bound takes its place if one is set.
constexpr Micros quota_owner_max_age = millis(4700);
Micros quota_owner_max_age_of(NodePlan const& plan) {
  return plan.revocation_bound > 0 ? plan.revocation_bound : quota_owner_max_age;
}

QuotaAuthorityOptions quota_plan_of(NodePlan const& plan, std::optional<wire::RecordT> const& recovered) {
  QuotaAuthorityOptions out;
  out.self = plan.name;
  out.terms = plan.quota_terms;
  out.first_request_id = incarnation_seed(plan, SeedUse::quota) >> spare_number_bits;
  out.fence = quota_owner_max_age_of(plan);
  out.settled_membership = recovered ? recovered->quota_members : 0;
  return out;
}

wire::MemberT self_member_of(NodePlan const& plan) {
  wire::MemberT out;
  out.name = plan.name;
  out.address = plan.address;
  out.http = plan.http_address;
  out.role = static_cast<std::uint8_t>(plan.role);
  out.zone = plan.zone;
  out.incarnation = plan.incarnation;
  out.models = plan.models;
  out.replica = plan.is_replica;
  return out;
}

MeshSettings mesh_settings_of(NodePlan const& plan) {
  MeshSettings out;
  out.cluster = plan.cluster;
  out.seeds = plan.seeds;
  // The mode for large fleets (§3.6) requires that owners send their entries themselves and that pings carry revisions.
  // Both hold only where workers register themselves; elsewhere SIZE_MAX disables the mode.
  if (!plan.workers_self_register) out.large_fleet_size = SIZE_MAX;
  return out;
}

// An initial member that restarts before the first replica set was written keeps waiting for that set, with the seed
// addresses of its first start.
NodePlan with_bootstrap(NodePlan plan, std::optional<wire::RecordT> const& recovered) {
  if (recovered && !recovered->bootstrap_seeds.empty())
    plan.bootstrap_seeds = recovered->bootstrap_seeds;
  else if (plan.first_start)
    plan.bootstrap_seeds = plan.seeds;
  return plan;
}

bool is_known_router(Peer const& peer, bool include_down) {
  MemberState const state = peer.state();
  return peer.role() == MemberRole::router &&
         (include_down || state == MemberState::alive || state == MemberState::suspected);
}
}  // namespace

Node::Node(NodePlan initial_plan, Micros now, std::optional<wire::RecordT> recovered)
    : plan(with_bootstrap(std::move(initial_plan), recovered)),
      mesh(mesh_settings_of(plan), self_member_of(plan), plan.random_seed),
      proposer(plan.name, incarnation_seed(plan, SeedUse::ballots)),
      learner(incarnation_seed(plan, SeedUse::polls) >> spare_number_bits),
      index_sync(plan.random_seed + 1),
      chat_dispatcher(plan.name, plan.zone, index_sync, fleet),
      registry(plan.name),
      exchange(plan.name),
      dispatcher(plan.name, plan.zone, index_sync, registry, exchange),
      replica_directory_(plan, mesh, learner, acceptor, replica_status()),
      register_bootstrap_(plan, mesh, learner, acceptor, replica_directory_, now),
      replica_set_manager_(plan, mesh, learner, acceptor, replica_directory_, replica_status(), now,
                           incarnation_seed(plan, SeedUse::lease)),
      change_forwarder_(plan, mesh, learner, replica_directory_, forwarder_actions()),
      lease_grantor_(now),
      started_at_(now),
      last_tick_(now),
      next_request_id_(incarnation_seed(plan, SeedUse::requests) >> spare_number_bits),
      worker_departures_(plan.name, mesh, learner,
                         [this](Micros at) { return replica_directory_.has_quorum_contact(at); }),
      router_registrations_({plan.name, plan.address, plan.role == MemberRole::router, !plan.workers_self_register},
                            mesh, learner),
      list_freshness_(mesh),
      exchange_topology_({plan.name, plan.zone, plan.is_replica}, mesh),
      catch_up_(plan.name, plan.zone, mesh),
      configuration_authority_({plan.revocation_bound, plan.in_force_bound, quota_owner_max_age_of(plan)}, mesh,
                               learner, peer_rotation_, [this] { return ++next_request_id_; }),
      quota_authority_(quota_plan_of(plan, recovered),
                       {mesh, learner, acceptor, configuration_authority_, peer_rotation_, dispatcher}) {
  if (recovered) acceptor.emplace(std::move(*recovered));
  register_bootstrap_.mark_awaiting_bootstrap(acceptor);
  registry.set_heartbeat_interval(plan.heartbeat_interval);
  if (plan.workers_self_register) dispatcher.set_started_at(now);
  dispatcher.set_retry_budget(plan.retry_budget_ratio, plan.retry_budget_limit);
  dispatcher.set_lease(key_lease());
  exchange.set_link(plan.link_bytes_per_second);
}

ReplicaDirectory::LocalStatus Node::replica_status() {
  return {[this] { return draining_; }, [this] { return retiring_; }, [this] { return poll_interval(); }};
}

ChangeForwarder::Actions Node::forwarder_actions() {
  ChangeForwarder::Actions actions;
  actions.next_request_id = [this] { return ++next_request_id_; };
  actions.propose = [this](std::uint64_t id, Change change, Micros now, NodeEffects& out) {
    propose(id, std::move(change), now, out);
  };
  actions.adopt_value = [this](std::string const& from, wire::ValueT const& value, Micros now, NodeEffects& out) {
    if (learner.adopt(value, now)) apply_adopted_value(ValueSource::forwarded_change, from, now, out);
  };
  return actions;
}

void Node::manage_replica_set(Micros now, NodeEffects& out) {
  if (!acceptor) return;
  std::vector<OutgoingMessage> outgoing;
  replica_set_manager_.renew_lease(now, outgoing);
  // This node's own lease reply must be counted before the manager decides.
  send_messages(outgoing, now, out);
  if (std::optional<Change> change = replica_set_manager_.next_change(now))
    submit_change(0, std::move(*change), now, out);
}

void Node::detect_clock_jump(Micros now) {
  if (now - last_tick_ > clock_jump_threshold && guard_enabled(Guard::fresh_start)) {
    ++clock_jumps;
    stale_since_ = now;
    update_dispatch_pause();
    registry.reset_silence_timers(now);
    list_read_in_flight_ = false;
    log_event(Event::clock_jumped, std::to_string((now - last_tick_) / 1000) + " ms");
  }
  last_tick_ = now;
}

std::set<std::string> Node::known_routers(bool include_down) const {
  std::set<std::string> out;
  if (plan.role == MemberRole::router) out.insert(plan.name);
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (is_known_router(item.second, include_down)) out.insert(item.first);
  return out;
}

std::size_t Node::count_known_routers(bool include_down) const {
  std::size_t out = plan.role == MemberRole::router ? 1 : 0;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (is_known_router(item.second, include_down)) ++out;
  return out;
}

std::vector<std::string> Node::index_peers() const {
  std::vector<std::string> out;
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.role() == MemberRole::router && item.second.connection != 0 &&
        item.second.state() == MemberState::alive)
      out.push_back(item.first);
  return out;
}

Index::Bounds Node::index_bounds(std::string const& model) const {
  Index::Bounds out;
  for (Pool const& pool : chat_dispatcher.description()->pools)
    if (pool.model == model) {
      out.blocks = static_cast<std::size_t>(pool.cache_blocks);
      out.age = pool.cache_ttl;
    } else if (plan.workers_self_register && model.compare(0, pool.name.size() + 1, pool.name + "/") == 0) {
      // Routed requests have one prefix tree for each pool and model, named 'pool/model'. Its bound counts tokens
      // instead of blocks (§12.5): cache_tokens, or cache_blocks if that is unknown.
      out.blocks = static_cast<std::size_t>(pool.cache_tokens > 0 ? pool.cache_tokens : pool.cache_blocks);
      out.age = pool.cache_ttl;
    }
  return out;
}

void Node::send_messages(std::vector<OutgoingMessage>& outgoing, Micros now, NodeEffects& out) {
  while (!outgoing.empty()) {
    std::vector<OutgoingMessage> batch;
    batch.swap(outgoing);
    for (OutgoingMessage& item : batch) {
      if (item.to == plan.name) {
        handle_message(plan.name, item.body, now, out);
        continue;
      }
      send_frame(item, out);
    }
  }
}

// The message is encoded once for all of its receivers.
void Node::send_frame(OutgoingMessage& message, NodeEffects& out) {
  message.also_to.push_back(message.to);
  std::vector<ConnectionId> receivers;
  for (std::string const& name : message.also_to) {
    std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(name);
    if (peer != mesh.members.peers.end() && peer->second.connection != 0) receivers.push_back(peer->second.connection);
  }
  if (receivers.empty()) return;
  wire::FrameT frame;
  frame.body = std::move(message.body);
  std::string const bytes = encode_frame(frame);
  if (bytes.size() > max_frame_bytes) {
    log_event(Event::frame_too_large, message.to + " " + std::to_string(bytes.size()));
    return;
  }
  for (ConnectionId const connection : receivers) out.mesh.outgoing_frames.push_back({connection, bytes});
}

void Node::handle_message(std::string const& from, wire::BodyUnion& body, Micros now, NodeEffects& out) {
  std::vector<OutgoingMessage> outgoing;
  switch (body.type) {
    case wire::Body::Prepare:
    case wire::Body::Accept:
    case wire::Body::Bootstrap:
      if (acceptor) {
        acceptor->enqueue(from, std::move(body));
        if (std::optional<wire::RecordT> save = acceptor->step(outgoing)) out.record_to_sync = std::move(save);
      }
      break;
    case wire::Body::ReadRequest:
      note_peer_list_age(body.AsReadRequest()->age, now);
      if (acceptor) {
        wire::ReadReplyT reply = make_read_reply(acceptor->durable_state(), *body.AsReadRequest());
        reply.age = list_freshness_.age(now);
        reply.retiring = retiring_;
        outgoing.push_back(message_to(from, std::move(reply)));
      }
      break;
    case wire::Body::Promise:
    case wire::Body::Accepted:
      proposer.handle_reply(from, body, now, outgoing);
      finish_ended_changes(now, out);
      break;
    case wire::Body::ReadReply:
      note_peer_list_age(body.AsReadReply()->age, now);
      if (learner.handle_reply(from, *body.AsReadReply(), now, outgoing))
        apply_adopted_value(ValueSource::poll, from, now, out);
      proposer.adopt_membership(learner.membership());
      update_readiness(now, out);
      break;
    case wire::Body::Chosen:
      handle_chosen(from, *body.AsChosen(), now, outgoing, out);
      break;
    case wire::Body::CatchUpRequest:
      send_full_value(from, *body.AsCatchUpRequest(), outgoing);
      break;
    case wire::Body::ChosenAck: {
      std::map<std::uint64_t, PendingConfirmation>::iterator const position =
          pending_confirmations_.find(body.AsChosenAck()->request_id);
      if (position != pending_confirmations_.end() && body.AsChosenAck()->serial >= position->second.serial) {
        position->second.confirmed.insert(from);
        for (std::string const& name : body.AsChosenAck()->routers)
          if (name != plan.name && guard_enabled(Guard::confirm_all)) position->second.unconfirmed.insert(name);
      }
      complete_confirmations(now, out);
      break;
    }
    case wire::Body::LeaseRequest:
      if (acceptor) {
        wire::LeaseRequestT const& request = *body.AsLeaseRequest();
        wire::LeaseReplyT reply;
        reply.request_id = request.request_id;
        reply.role = request.role;
        reply.disk = acceptor->durable_state().disk;
        reply.ok = lease_grantor_.handle_request(from, request.role, request.term, now);
        outgoing.push_back(message_to(from, std::move(reply)));
      }
      break;
    case wire::Body::LeaseReply:
      replica_set_manager_.handle_lease_reply(from, *body.AsLeaseReply(), now);
      break;
    case wire::Body::Loads:
      note_peer_list_age(body.AsLoads()->age, now);
      if (plan.workers_self_register) {
        registry.take_peer_loads(*body.AsLoads(), now);
        exchange.forward(from, *body.AsLoads());
      } else
        fleet.take_peer_loads(from, *body.AsLoads(), now);
      break;
    case wire::Body::NewestRequest:
      outgoing.push_back(
          message_to(from, configuration_authority_.answer_request(body.AsNewestRequest()->request_id, now)));
      break;
    case wire::Body::NewestReply:
      mesh.members.note_revision(from, body.AsNewestReply()->revision);
      configuration_authority_.handle_reply(*body.AsNewestReply());
      break;
    case wire::Body::QuotaRequest:
      quota_authority_.handle_request(from, *body.AsQuotaRequest(), now, outgoing);
      break;
    case wire::Body::QuotaReply:
      quota_authority_.handle_reply(from, *body.AsQuotaReply(), now, outgoing);
      process_quota(now, out);
      break;
    case wire::Body::ForwardedChange:
      change_forwarder_.handle_forwarded_change(from, *body.AsForwardedChange(), now, out);
      break;
    case wire::Body::ForwardedChangeReply:
      change_forwarder_.handle_reply(from, *body.AsForwardedChangeReply(), now, out);
      break;
    case wire::Body::WorkerSuspected:
      // The worker is checked at once, so that a healthy one is available again soon.
      if (fleet.suspect(body.AsWorkerSuspected()->worker, body.AsWorkerSuspected()->incarnation, now))
        start_health_check(body.AsWorkerSuspected()->worker, now, out);
      break;
    case wire::Body::Deltas:
    case wire::Body::TreeRequest:
    case wire::Body::TreePage:
      if (plan.role == MemberRole::router)
        index_sync.take(
            from, body, now, [this](std::string const& model) { return index_bounds(model); },
            [this] { return index_peers(); }, outgoing);
      if (plan.workers_self_register && body.type == wire::Body::Deltas) exchange.forward(*body.AsDeltas());
      break;
    default:
      break;
  }
  send_messages(outgoing, now, out);
}

void Node::handle_chosen(std::string const& from, wire::ChosenT const& update, Micros now,
                         std::vector<OutgoingMessage>& outgoing, NodeEffects& out) {
  if (!update.value && !update.patch) return;
  std::uint64_t const revision = update.value         ? update.value->revision
                                 : update.patch->rest ? update.patch->rest->revision
                                                      : 0;
  bool const newer = update.value ? learner.adopt(*update.value, now) : learner.adopt(*update.patch, now);
  // The answer to a request for the newer value names no request of a proposer.
  if (newer) apply_adopted_value(update.request_id == 0 ? ValueSource::catch_up : ValueSource::push, from, now, out);
  proposer.adopt_membership(learner.membership());
  if (update.hops > 0) forward_to_zone(update, out);
  if (learner.revision() < revision) {
    // The patch's base is not the value held here. The base may still arrive on another connection.
    catch_up_.buffer_patch(from, update, now);
    return;
  }
  acknowledge_value(from, update, outgoing);
  apply_early_patches(now, outgoing, out);
  update_readiness(now, out);
}

void Node::apply_early_patches(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out) {
  while (std::optional<CatchUp::EarlyPatch> const early = catch_up_.take_applicable_patch(learner.revision())) {
    if (learner.adopt(*early->update.patch, now)) apply_adopted_value(ValueSource::push, early->from, now, out);
    std::uint64_t const revision = early->update.patch->rest ? early->update.patch->rest->revision : 0;
    if (learner.revision() >= revision) acknowledge_value(early->from, early->update, outgoing);
  }
}

void Node::acknowledge_value(std::string const& from, wire::ChosenT const& update,
                             std::vector<OutgoingMessage>& outgoing) {
  if (update.request_id == 0) return;
  wire::ChosenAckT acknowledgement;
  acknowledgement.request_id = update.request_id;
  acknowledgement.serial = learner.serial();
  // A router node without a registration may have become ready by this node's value alone (§6.7). The node that
  // proposed the change cannot know of it, so the acknowledgement names all those that this node knows.
  for (std::string const& name : plan.workers_self_register ? std::set<std::string>() : known_routers(true))
    if (!learner.value || registration_of(*learner.value, name) == nullptr) acknowledgement.routers.push_back(name);
  outgoing.push_back(message_to(update.origin.empty() ? from : update.origin, std::move(acknowledgement)));
}

void Node::send_full_value(std::string const& to, wire::CatchUpRequestT const& request,
                           std::vector<OutgoingMessage>& outgoing) const {
  if (!learner.value || learner.revision() <= request.revision) return;
  wire::ChosenT update;
  update.request_id = request.request_id;
  update.origin = request.origin;
  update.value = std::make_unique<wire::ValueT>(*learner.value);
  outgoing.push_back(message_to(to, std::move(update)));
}

void Node::broadcast_value(wire::ValueT const& value, std::optional<wire::ValueT> const& base, std::uint64_t request_id,
                           NodeEffects& out) {
  wire::ChosenT update;
  update.request_id = request_id;
  if (base && base->revision < value.revision)
    update.patch = make_value_patch(*base, value);
  else
    update.value = std::make_unique<wire::ValueT>(value);
  if (!guard_enabled(Guard::spread)) return;
  if (plan.workers_self_register && mesh.is_large_fleet()) {
    // §12.7: the value is sent to the replicas, which forward it within their zones, and to every node of a zone
    // without a connected replica that answers.
    update.origin = plan.name;
    update.hops = 1;
    std::string const bytes = encode_message(wire::ChosenT(update));
    std::set<std::string> covered_zones{plan.is_replica ? plan.zone : std::string()};
    for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
      if (item.second.connection == 0 || !item.second.member.replica) continue;
      if (item.second.state() == MemberState::alive) covered_zones.insert(item.second.member.zone);
      out.mesh.outgoing_frames.push_back({item.second.connection, bytes});
    }
    for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
      if (item.second.connection != 0 && !item.second.member.replica && !covered_zones.count(item.second.member.zone))
        out.mesh.outgoing_frames.push_back({item.second.connection, bytes});
    if (plan.is_replica) forward_to_zone(update, out);
    return;
  }
  std::string const bytes = encode_message(std::move(update));
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.connection != 0) out.mesh.outgoing_frames.push_back({item.second.connection, bytes});
}

char const* Node::value_source_name(ValueSource source) {
  static char const* const names[] = {"proposal", "push", "catch_up", "poll", "forwarded_change"};
  return names[static_cast<std::size_t>(source)];
}

void Node::apply_adopted_value(ValueSource source, std::string const& from, Micros now, NodeEffects& out) {
  wire::ValueT const& value = *learner.value;
  catch_up_.value_adopted();
  check_value(value);
  // A change of registrations or members raises only the revision; the description was parsed when its serial was
  // adopted.
  if (value.serial != mesh.members.self.serial) {
    std::shared_ptr<Description const> description = std::make_shared<Description>();
    if (!value.text.empty()) {
      Result<std::shared_ptr<Description const>> parsed = plan.parse_description(value.text);
      if (!parsed) {
        log_event(Event::configuration_rejected, "serial " + std::to_string(value.serial) + " " + parsed.error().what);
        description = chat_dispatcher.description();
      } else {
        description = parsed.value();
      }
    }
    dispatcher.set_description(description);
    chat_dispatcher.set_description(description,
                                    std::set<std::string>(value.drained_zones.begin(), value.drained_zones.end()));
    log_event(Event::configuration_in_force,
              "serial " + std::to_string(value.serial) + " by " + value_source_name(source) + " from " + from);
  }
  mesh.members.self.serial = value.serial;
  mesh.members.self.revision = value.revision;
  configuration_authority_.update_confirmations();
  update_registration(now, out);
  // Where workers register themselves, peers learn this node's new revision from its pings (§3.6), and otherwise from
  // this announcement.
  if (!plan.workers_self_register) mesh.announce_self(out.mesh);
}

void Node::connection_opened(ConnectionId id, bool outbound, std::string const& address, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  mesh.connection_opened(id, outbound, address, now, out.mesh);
}

void Node::connection_closed(ConnectionId id, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  mesh.connection_closed(id, now, out.mesh);
}

void Node::dial_failed(std::string const& address, bool refused, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  mesh.dial_failed(address, refused, now, out.mesh);
  complete_confirmations(now, out);
  check_replies(out);
}

bool Node::receive_frame(ConnectionId id, std::string_view bytes, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  Result<std::unique_ptr<wire::FrameT>> frame = decode_frame(bytes);
  if (!frame) {
    log_event(Event::malformed_frame, frame.error().what);
    return false;
  }
  bool const is_hello = frame.value()->body.type == wire::Body::Hello;
  std::string const hello_name =
      is_hello && frame.value()->body.AsHello()->self ? frame.value()->body.AsHello()->self->name : "";
  std::string const from = mesh.handle_frame(id, *frame.value(), now, out.mesh);
  apply_updated_entries(now, out);
  if (is_hello) {
    // §5.5: a peer that connects with an older revision is sent the chosen value at once. In a large fleet too many
    // nodes would send it; there the peer polls, or requests the value from one peer that announces a newer revision.
    std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(hello_name);
    if (!mesh.is_large_fleet() && peer != mesh.members.peers.end() && peer->second.connection == id && learner.value &&
        peer->second.member.revision < learner.revision()) {
      wire::ChosenT update;
      update.value = std::make_unique<wire::ValueT>(*learner.value);
      mesh.send(hello_name, std::move(update), out.mesh);
    }
    return true;
  }
  if (!from.empty()) handle_message(from, frame.value()->body, now, out);
  if (!pending_confirmations_.empty()) complete_confirmations(now, out);
  change_forwarder_.tick(now, out);
  worker_departures_.answer_calls(now, out.end_answers);
  check_replies(out);
  return true;
}

void Node::record_synced(Micros now, NodeEffects& out) {
  std::vector<OutgoingMessage> outgoing;
  acceptor->on_synced(outgoing);
  if (std::optional<wire::RecordT> save = acceptor->step(outgoing)) out.record_to_sync = std::move(save);
  send_messages(outgoing, now, out);
  change_forwarder_.tick(now, out);
  check_replies(out);
}

void Node::update_readiness(Micros now, NodeEffects& out) {
  // Two things must be known since the start or the last clock jump: the register's value, confirmed by a majority, and
  // the workers.
  Micros const from = stale_since_ >= 0 ? stale_since_ : started_at_;
  bool const majority_confirmed = learner.confirmed_at >= from;
  // Where workers register themselves, the replica set is sized to keep a majority through plan.tolerated_losses, so a
  // node can insist on a majority before it becomes ready (docs/control.md).
  if (plan.workers_self_register && !majority_confirmed && !ready_) return;
  bool value_confirmed = majority_confirmed;
  if (majority_confirmed && plan.role == MemberRole::router && !router_registrations_.is_registered()) {
    // §5.9: no request is placed before this incarnation of the node is registered. While a majority answers, a ready
    // peer with the same value is no substitute for the registration.
    request_registration(now, out);
    if (!ready_) return;
  }
  // Where workers register themselves: a description is in force (serial above 0), and a worker is known or the wait
  // for the first heartbeat is over.
  bool const workers_reported = plan.workers_self_register && learner.serial() > 0 &&
                                (!registry.all.empty() || now - from > first_heartbeat_wait);
  bool const workers_known = plan.role == MemberRole::config_store || last_list_read_at_ >= from || workers_reported;
  if (!majority_confirmed && now - from > majority_timeout) {
    // §6.7: no majority answers. A node that was ready stays so; a new node may rely on the value of a ready peer.
    if (ready_) value_confirmed = true;
    for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
      Peer const& peer = item.second;
      if (peer.connection != 0 && peer.state() == MemberState::alive && peer.role() == MemberRole::router &&
          peer.member.ready && learner.value && learner.serial() >= peer.member.serial)
        value_confirmed = true;
    }
  }
  // A node that was ready resumes with its old worker list if no list could be read within the timeout.
  if (!value_confirmed || !(workers_known || (ready_ && now - from > majority_timeout))) return;
  if (stale_since_ >= 0) {
    stale_since_ = -1;
    update_dispatch_pause();
    chat_dispatcher.process_backlog(now, out.chat);
  }
  if (!ready_ && router_registrations_.is_newcomer(now)) return;
  if (!ready_) {
    ready_ = true;
    log_event(Event::node_ready, "revision " + std::to_string(learner.revision()) + ", " +
                                     std::to_string((now - started_at_) / 1000) + " ms after its start");
    chat_dispatcher.set_ready(true);
    mesh.members.self.ready = true;
    mesh.announce_self(out.mesh);
  }
}

void Node::tick(Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  mesh.tick(now, out.mesh);
  apply_updated_entries(now, out);
  std::vector<OutgoingMessage> outgoing;
  if (now >= next_poll_ &&
      (guard_enabled(Guard::spread) || learner.confirmed_at < 0 || plan.role == MemberRole::config_store)) {
    next_poll_ = now + poll_interval();
    learner.poll(now, replica_directory_.connected_replicas(), list_freshness_.age(now), outgoing);
    register_bootstrap_.propose_initial_membership(now, outgoing);
  }
  if (acceptor)
    if (std::optional<wire::RecordT> save = acceptor->step(outgoing)) out.record_to_sync = std::move(save);
  apply_early_patches(now, outgoing, out);
  request_newer_value(now, outgoing);
  proposer.adopt_membership(learner.membership());
  proposer.suggest_membership(learner.newest_seen_membership());
  if (plan.workers_self_register && !replica_directory_.has_quorum_contact(now)) proposer.abandon_unsent_changes();
  proposer.tick(now, outgoing);
  finish_ended_changes(now, out);
  if (plan.workers_self_register) {
    tick_registered_workers(now, outgoing, out);
  } else if (plan.role == MemberRole::router) {
    tick_worker_list(now, outgoing, out);
  } else {
    update_readiness(now, out);
  }
  send_messages(outgoing, now, out);
  manage_replica_set(now, out);
  complete_confirmations(now, out);
  change_forwarder_.tick(now, out);
  check_replies(out);
  log_not_ready(now);
}

bool Node::may_stop(Micros now) const {
  if (!acceptor || !acceptor->durable_state().formed) return true;
  if (!learner.membership().has_participant(plan.name, acceptor->durable_state().disk)) return true;
  // A member of the replica set may stop only when it is in contact with a quorum and can be neither replaced nor
  // removed. It waits while a spare replica can replace it, while the set can do without it and removes it, and while
  // it has no quorum and so cannot know either. The process ends the wait after its grace period.
  return replica_directory_.has_quorum_contact(now) && replica_set_manager_.lacks_replacement(now);
}

void Node::drain(Micros now, NodeEffects& out) {
  if (draining_) return;
  draining_ = true;
  std::vector<OutgoingMessage> outgoing;
  replica_set_manager_.release_lease(outgoing);
  send_messages(outgoing, now, out);
  chat_dispatcher.drain();
  mesh.members.self.ready = false;
  mesh.announce_departure(out.mesh);
  log_event(Event::drain_began, "");
}

}  // namespace pipit
