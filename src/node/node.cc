#include "node/node.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "consensus/register/router_registrations.h"
#include "consensus/register/value_patch.h"

namespace pipit {

namespace {
constexpr Micros jump = seconds(1);
constexpr Micros fresh_bound = seconds(3);
constexpr int spare_number_bits = 8;  // request numbers begin below this share of their range, and only rise

// Seeds for one incarnation of one node. A shell may have made 'chance' of the incarnation and the name, so none of
// them is merely combined with another: they could cancel out, and all nodes and incarnations would draw the same
// numbers.
enum class SeedUse : std::uint64_t { ballots = 1, polls, requests, lease, quota };
std::uint64_t incarnation_seed(NodePlan const& plan, SeedUse use) {
  std::uint64_t const incarnation =
      hash_bits(plan.incarnation + static_cast<std::uint64_t>(use)) + hash_text(plan.name);
  return hash_bits(hash_bits(incarnation) ^ plan.chance);
}

// By which set of replicas limits are handed out is never older than this.
constexpr Micros owner_span = millis(4700);
Micros owner_span_of(NodePlan const& plan) { return plan.revocation > 0 ? plan.revocation : owner_span; }

QuotaAuthorityOptions quota_plan_of(NodePlan const& plan, std::optional<wire::RecordT> const& recovered) {
  QuotaAuthorityOptions out;
  out.self = plan.name;
  out.terms = plan.quota;
  out.first_request_id = incarnation_seed(plan, SeedUse::quota) >> spare_number_bits;
  out.fence = owner_span_of(plan);
  out.settled_membership = recovered ? recovered->quota_members : 0;
  return out;
}

wire::MemberT self_of(NodePlan const& plan) {
  wire::MemberT out;
  out.name = plan.name;
  out.address = plan.address;
  out.http = plan.http;
  out.role = static_cast<std::uint8_t>(plan.role);
  out.zone = plan.zone;
  out.incarnation = plan.incarnation;
  out.models = plan.models;
  out.replica = plan.replica;
  return out;
}
MeshSettings mesh_of(NodePlan const& plan) {
  MeshSettings out;
  out.cluster = plan.cluster;
  out.seeds = plan.seeds;
  // §3.6 needs owners that tell entries themselves and revisions on pings, as where workers register.
  if (!plan.registered) out.large_fleet_size = SIZE_MAX;
  return out;
}
// A initial member whose incarnation ended before the first set was written goes on waiting for it, with the seeds of
// the first start.
NodePlan with_bootstrap(NodePlan plan, std::optional<wire::RecordT> const& recovered) {
  if (recovered && !recovered->bootstrap_seeds.empty())
    plan.bootstrap_seeds = recovered->bootstrap_seeds;
  else if (plan.first_start)
    plan.bootstrap_seeds = plan.seeds;
  return plan;
}
}  // namespace

Node::Node(NodePlan initial_plan, Micros now, std::optional<wire::RecordT> recovered)
    : plan(with_bootstrap(std::move(initial_plan), recovered)),
      mesh(mesh_of(plan), self_of(plan), plan.chance),
      proposer(plan.name, incarnation_seed(plan, SeedUse::ballots)),
      learner(incarnation_seed(plan, SeedUse::polls) >> spare_number_bits),
      index_sync(plan.chance + 1),
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
      router_registrations_({plan.name, plan.address, plan.role == MemberRole::router, !plan.registered}, mesh,
                            learner),
      list_freshness_(mesh),
      exchange_topology_({plan.name, plan.zone, plan.replica}, mesh),
      catch_up_(plan.name, plan.zone, mesh),
      configuration_authority_({plan.revocation, plan.in_force, owner_span_of(plan)}, mesh, learner, peer_rotation_,
                               [this] { return ++next_request_id_; }),
      quota_authority_(quota_plan_of(plan, recovered),
                       {mesh, learner, acceptor, configuration_authority_, peer_rotation_, dispatcher}) {
  if (recovered) acceptor.emplace(std::move(*recovered));
  register_bootstrap_.mark_awaiting_bootstrap(acceptor);
  registry.span(plan.heartbeat_interval);
  if (plan.registered) dispatcher.set_started_at(now);
  dispatcher.set_retry_budget(plan.resend_ratio, plan.resend_store);
  dispatcher.set_lease(key_lease());
}

ReplicaDirectory::LocalStatus Node::replica_status() {
  return {[this] { return leaving_; }, [this] { return retiring_; }, [this] { return poll_span(); }};
}

ChangeForwarder::Actions Node::forwarder_actions() {
  ChangeForwarder::Actions actions;
  actions.next_request_id = [this] { return ++next_request_id_; };
  actions.propose = [this](std::uint64_t id, Change change, Micros now, NodeEffects& out) {
    propose(id, std::move(change), now, out);
  };
  actions.adopt_value = [this](wire::ValueT const& value, Micros now, NodeEffects& out) {
    if (learner.adopt(value, now)) after_value(now, out);
  };
  return actions;
}

void Node::manage_replica_set(Micros now, NodeEffects& out) {
  if (!acceptor) return;
  std::vector<OutgoingMessage> outgoing;
  replica_set_manager_.renew_lease(now, outgoing);
  // This node's own answer counts before the manager decides what it may do.
  dispatch(outgoing, now, out);
  if (std::optional<Change> change = replica_set_manager_.next_change(now)) operate(0, std::move(*change), now, out);
}

void Node::watch_clock(Micros now) {
  if (now - last_tick_ > jump && guard(Guard::fresh_start)) {
    ++jumps;
    stale_from_ = now;
    update_hold();
    registry.stood_still(now);
    list_flying_ = false;
    log_event(Event::clock_jumped, std::to_string((now - last_tick_) / 1000) + " ms");
  }
  last_tick_ = now;
}

std::set<std::string> Node::routers(bool all) const {
  std::set<std::string> out;
  if (plan.role == MemberRole::router) out.insert(plan.name);
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
    MemberState const state = item.second.state();
    if (item.second.role() == MemberRole::router &&
        (all || state == MemberState::alive || state == MemberState::suspected))
      out.insert(item.first);
  }
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

Index::Bounds Node::bounds(std::string const& model) const {
  Index::Bounds out;
  for (Pool const& pool : chat_dispatcher.description()->pools)
    if (pool.model == model) {
      out.blocks = static_cast<std::size_t>(pool.cache_blocks);
      out.age = pool.cache_age;
    } else if (plan.registered && model.compare(0, pool.name.size() + 1, pool.name + "/") == 0) {
      // A tree of routed requests is a pool's and a model's; its parts weigh their tokens (§12.5).
      out.blocks = static_cast<std::size_t>(pool.cache_tokens > 0 ? pool.cache_tokens : pool.cache_blocks);
      out.age = pool.cache_age;
    }
  return out;
}

// Carries messages until none is left: to this node itself at once, to others by the mesh.
void Node::dispatch(std::vector<OutgoingMessage>& outgoing, Micros now, NodeEffects& out) {
  while (!outgoing.empty()) {
    std::vector<OutgoingMessage> batch;
    batch.swap(outgoing);
    for (OutgoingMessage& item : batch) {
      if (item.to == plan.name) {
        deliver(plan.name, item.body, now, out);
        continue;
      }
      std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(item.to);
      if (peer == mesh.members.peers.end() || peer->second.connection == 0) continue;
      wire::FrameT frame;
      frame.body = std::move(item.body);
      std::string bytes = encode_frame(frame);
      if (bytes.size() > max_frame_bytes) {
        log_event(Event::frame_too_large, item.to + " " + std::to_string(bytes.size()));
        continue;
      }
      out.mesh.outgoing_frames.push_back({peer->second.connection, std::move(bytes)});
    }
  }
}

void Node::deliver(std::string const& from, wire::BodyUnion& body, Micros now, NodeEffects& out) {
  std::vector<OutgoingMessage> outgoing;
  switch (body.type) {
    case wire::Body::Prepare:
    case wire::Body::Accept:
    case wire::Body::Bootstrap:
      if (acceptor) {
        acceptor->enqueue(from, std::move(body));
        if (std::optional<wire::RecordT> save = acceptor->step(outgoing)) out.save = std::move(save);
      }
      break;
    case wire::Body::ReadRequest:
      take_list_age(body.AsReadRequest()->age, now);
      if (acceptor) {
        wire::ReadReplyT ans = make_read_reply(acceptor->durable_state(), *body.AsReadRequest());
        ans.age = list_freshness_.age(now);
        ans.retiring = retiring_;
        outgoing.push_back(message_to(from, std::move(ans)));
      }
      break;
    case wire::Body::Promise:
    case wire::Body::Accepted:
      proposer.handle_reply(from, body, now, outgoing);
      settle_ended(now, out);
      break;
    case wire::Body::ReadReply:
      take_list_age(body.AsReadReply()->age, now);
      if (learner.handle_reply(from, *body.AsReadReply(), now, outgoing)) after_value(now, out);
      proposer.adopt_membership(learner.membership());
      update_readiness(now, out);
      break;
    case wire::Body::Chosen:
      take_chosen(from, *body.AsChosen(), now, outgoing, out);
      break;
    case wire::Body::CatchUpRequest:
      send_whole(from, *body.AsCatchUpRequest(), outgoing);
      break;
    case wire::Body::ChosenAck: {
      std::map<std::uint64_t, Waiting>::iterator const position = waiting_.find(body.AsChosenAck()->request_id);
      if (position != waiting_.end() && body.AsChosenAck()->serial >= position->second.serial) {
        position->second.sure.insert(from);
        for (std::string const& name : body.AsChosenAck()->routers)
          if (name != plan.name && guard(Guard::confirm_all)) position->second.owe.insert(name);
      }
      settle_waiting(now, out);
      break;
    }
    case wire::Body::LeaseRequest:
      if (acceptor) {
        wire::LeaseRequestT const& ask = *body.AsLeaseRequest();
        wire::LeaseReplyT ans;
        ans.request_id = ask.request_id;
        ans.role = ask.role;
        ans.disk = acceptor->durable_state().disk;
        ans.ok = lease_grantor_.handle_request(from, ask.role, ask.term, now);
        outgoing.push_back(message_to(from, std::move(ans)));
      }
      break;
    case wire::Body::LeaseReply:
      replica_set_manager_.handle_lease_reply(from, *body.AsLeaseReply(), now);
      break;
    case wire::Body::Loads:
      take_list_age(body.AsLoads()->age, now);
      if (plan.registered) {
        registry.peer_loads(*body.AsLoads(), now);
        exchange.relay(from, *body.AsLoads());
      } else
        fleet.take_peer_loads(from, *body.AsLoads(), now);
      break;
    case wire::Body::NewestRequest:
      outgoing.push_back(
          message_to(from, configuration_authority_.answer_request(body.AsNewestRequest()->request_id, now)));
      break;
    case wire::Body::NewestReply:
      configuration_authority_.handle_reply(from, *body.AsNewestReply(), now, outgoing);
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
      // Asked at once; a worker that is well is back in a moment.
      if (fleet.suspect(body.AsWorkerSuspected()->worker, body.AsWorkerSuspected()->incarnation, now))
        check_now(body.AsWorkerSuspected()->worker, now, out);
      break;
    case wire::Body::Deltas:
    case wire::Body::TreeRequest:
    case wire::Body::TreePage:
      if (plan.role == MemberRole::router)
        index_sync.take(
            from, body, now, [this](std::string const& model) { return bounds(model); },
            [this] { return index_peers(); }, outgoing);
      if (plan.registered && body.type == wire::Body::Deltas) exchange.relay(*body.AsDeltas());
      break;
    default:
      break;
  }
  dispatch(outgoing, now, out);
}

void Node::take_chosen(std::string const& from, wire::ChosenT const& update, Micros now,
                       std::vector<OutgoingMessage>& outgoing, NodeEffects& out) {
  if (!update.value && !update.patch) return;
  std::uint64_t const revision = update.value         ? update.value->revision
                                 : update.patch->rest ? update.patch->rest->revision
                                                      : 0;
  bool const fresh = update.value ? learner.adopt(*update.value, now) : learner.adopt(*update.patch, now);
  if (fresh) after_value(now, out);
  proposer.adopt_membership(learner.membership());
  if (update.hops > 0) forward(update, out);
  if (learner.revision() < revision) {
    // The patch has another base than what is held here. The base may be on its way on another connection.
    catch_up_.keep(from, update, now);
    return;
  }
  confirm_value(from, update, outgoing);
  apply_early_patches(now, outgoing, out);
  update_readiness(now, out);
}

void Node::apply_early_patches(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out) {
  while (std::optional<CatchUp::EarlyPatch> const early = catch_up_.take_next(learner.revision())) {
    if (learner.adopt(*early->update.patch, now)) after_value(now, out);
    std::uint64_t const revision = early->update.patch->rest ? early->update.patch->rest->revision : 0;
    if (learner.revision() >= revision) confirm_value(early->from, early->update, outgoing);
  }
}

void Node::confirm_value(std::string const& from, wire::ChosenT const& update, std::vector<OutgoingMessage>& outgoing) {
  if (update.request_id == 0) return;
  wire::ChosenAckT ok;
  ok.request_id = update.request_id;
  ok.serial = learner.serial();
  // Router nodes that hold no registration may serve by this node's word alone (§6.7): who asks must hear of them.
  for (std::string const& name : plan.registered ? std::set<std::string>() : routers(true))
    if (!learner.value || registration_of(*learner.value, name) == nullptr) ok.routers.push_back(name);
  outgoing.push_back(message_to(update.origin.empty() ? from : update.origin, std::move(ok)));
}

void Node::send_whole(std::string const& to, wire::CatchUpRequestT const& ask,
                      std::vector<OutgoingMessage>& outgoing) const {
  if (!learner.value || learner.revision() <= ask.revision) return;
  wire::ChosenT update;
  update.request_id = ask.request_id;
  update.origin = ask.origin;
  update.value = std::make_unique<wire::ValueT>(*learner.value);
  outgoing.push_back(message_to(to, std::move(update)));
}

void Node::spread(wire::ValueT const& value, std::optional<wire::ValueT> const& base, std::uint64_t request_id,
                  NodeEffects& out) {
  wire::ChosenT update;
  update.request_id = request_id;
  if (base && base->revision < value.revision)
    update.patch = make_value_patch(*base, value);
  else
    update.value = std::make_unique<wire::ValueT>(value);
  if (!guard(Guard::spread)) return;
  if (plan.registered && mesh.is_large_fleet()) {
    // §12.7: to those that keep, who bring it to the rest of their zones.
    update.origin = plan.name;
    update.hops = 1;
    std::string const far = encode_message(wire::ChosenT(update));
    std::set<std::string> reached{plan.replica ? plan.zone : std::string()};
    for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
      if (item.second.connection == 0 || !item.second.member.replica) continue;
      reached.insert(item.second.member.zone);
      out.mesh.outgoing_frames.push_back({item.second.connection, far});
    }
    for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
      if (item.second.connection != 0 && !reached.count(item.second.member.zone))
        out.mesh.outgoing_frames.push_back({item.second.connection, far});
    if (plan.replica) forward(update, out);
    return;
  }
  std::string const bytes = encode_message(std::move(update));
  for (std::pair<std::string const, Peer> const& item : mesh.members.peers)
    if (item.second.connection != 0) out.mesh.outgoing_frames.push_back({item.second.connection, bytes});
}

// The value held here grew newer: it comes into force.
void Node::after_value(Micros now, NodeEffects& out) {
  wire::ValueT const& value = *learner.value;
  catch_up_.value_came();
  check_value(value);
  // A registration raises the revision alone; what the description says was compiled when its serial came.
  if (value.serial != mesh.members.self.serial) {
    std::shared_ptr<Description const> description = std::make_shared<Description>();
    if (!value.text.empty()) {
      Result<std::shared_ptr<Description const>> made = plan.read(value.text);
      if (!made) {
        log_event(Event::configuration_rejected, "serial " + std::to_string(value.serial) + " " + made.error().what);
        description = chat_dispatcher.description();
      } else {
        description = made.value();
      }
    }
    dispatcher.set_description(description);
    chat_dispatcher.set_description(description,
                                    std::set<std::string>(value.drained_zones.begin(), value.drained_zones.end()));
    log_event(Event::configuration_in_force, "serial " + std::to_string(value.serial));
  }
  mesh.members.self.serial = value.serial;
  mesh.members.self.revision = value.revision;
  configuration_authority_.update_confirmations();
  update_registration(now, out);
  // Among nodes whose workers register, pings carry revisions; a bump of the record is not needed for them (§3.6).
  if (!plan.registered) mesh.announce_self(out.mesh);
}

void Node::opened(ConnectionId id, bool outbound, std::string const& address, Micros now, NodeEffects& out) {
  watch_clock(now);
  mesh.connection_opened(id, outbound, address, now, out.mesh);
}

void Node::shut(ConnectionId id, Micros now, NodeEffects& out) {
  watch_clock(now);
  mesh.connection_closed(id, now, out.mesh);
}

void Node::dial_failed(std::string const& address, bool refused, Micros now, NodeEffects& out) {
  watch_clock(now);
  mesh.dial_failed(address, refused, now, out.mesh);
  settle_waiting(now, out);
  check_replies(out);
}

bool Node::bytes(ConnectionId id, std::string_view bytes, Micros now, NodeEffects& out) {
  watch_clock(now);
  Result<std::unique_ptr<wire::FrameT>> frame = decode_frame(bytes);
  if (!frame) {
    log_event(Event::malformed_frame, frame.error().what);
    return false;
  }
  bool const greeting = frame.value()->body.type == wire::Body::Hello;
  std::string const hello_name =
      greeting && frame.value()->body.AsHello()->self ? frame.value()->body.AsHello()->self->name : "";
  std::string const from = mesh.handle_frame(id, *frame.value(), now, out.mesh);
  take_fresh(now);
  if (greeting) {
    // §5.5: a peer that comes with an older serial is told the chosen value at once. Where many would do so, it asks:
    // its polls and the turns that its peers tell bring the value from one.
    std::map<std::string, Peer>::const_iterator const peer = mesh.members.peers.find(hello_name);
    if (!mesh.is_large_fleet() && peer != mesh.members.peers.end() && peer->second.connection == id && learner.value &&
        peer->second.member.revision < learner.revision()) {
      wire::ChosenT update;
      update.value = std::make_unique<wire::ValueT>(*learner.value);
      mesh.send(hello_name, std::move(update), out.mesh);
    }
    return true;
  }
  if (!from.empty()) deliver(from, frame.value()->body, now, out);
  if (!waiting_.empty()) settle_waiting(now, out);
  change_forwarder_.tick(now, out);
  worker_departures_.answer_calls(now, out.end_answers);
  check_replies(out);
  return true;
}

void Node::take_fresh(Micros now) {
  for (std::string const& key : mesh.updated_entry_keys) {
    std::map<std::string, wire::EntryT>::const_iterator const entry = mesh.entry_table.entries().find(key);
    if (entry == mesh.entry_table.entries().end()) continue;
    if (!plan.registered)
      fleet.take_entry(entry->second, now);
    else if (std::optional<wire::EntryT> word = registry.take_entry(entry->second, now))
      mesh.put_entry(std::move(*word), now);
  }
  mesh.updated_entry_keys.clear();
  for (std::string const& id : registry.ended) index_sync.forget(id);
  registry.ended.clear();
  for (std::string const& name : fleet.reborn) index_sync.forget(name);
  fleet.reborn.clear();
}

void Node::disk_done(Micros now, NodeEffects& out) {
  std::vector<OutgoingMessage> outgoing;
  acceptor->on_synced(outgoing);
  if (std::optional<wire::RecordT> save = acceptor->step(outgoing)) out.save = std::move(save);
  dispatch(outgoing, now, out);
  change_forwarder_.tick(now, out);
  check_replies(out);
}

void Node::update_readiness(Micros now, NodeEffects& out) {
  // What must be known: a majority's word on the register, and the list; both after the last jump.
  Micros const from = stale_from_ >= 0 ? stale_from_ : started_at_;
  bool const word = learner.confirmed_at >= from;  // of a majority
  // Where replicas are many enough for the losses that are allowed, nothing else will do (docs/control.md).
  if (plan.registered && !word && !ready_now_) return;
  bool sure = word;
  if (word && plan.role == MemberRole::router && !router_registrations_.is_registered()) {
    // §5.9: nothing is placed before this incarnation of the node has its registration; while a majority answers, by
    // nobody's word.
    request_registration(now, out);
    if (!ready_now_) return;
  }
  // Where workers register: a description, and the word of workers, or time enough for any to have called.
  bool const told = plan.registered && learner.serial() > 0 && (!registry.all.empty() || now - from > seconds(2));
  bool const listed = plan.role == MemberRole::config_store || listed_at_ >= from || told;
  if (!word && now - from > fresh_bound) {
    // §6.7: no majority answers. A node that was serving goes on; a new one may take the word of one that serves.
    if (ready_now_) sure = true;
    for (std::pair<std::string const, Peer> const& item : mesh.members.peers) {
      Peer const& peer = item.second;
      if (peer.connection != 0 && peer.state() == MemberState::alive && peer.role() == MemberRole::router &&
          peer.member.ready && learner.value && learner.serial() >= peer.member.serial)
        sure = true;
    }
  }
  if (!sure || !(listed || (ready_now_ && now - from > fresh_bound))) return;
  if (stale_from_ >= 0) {
    stale_from_ = -1;
    update_hold();
    chat_dispatcher.process_backlog(now, out.chat);
  }
  if (!ready_now_ && router_registrations_.is_newcomer(now)) return;
  if (!ready_now_) {
    ready_now_ = true;
    log_event(Event::node_ready, "revision " + std::to_string(learner.revision()) + ", " +
                                     std::to_string((now - started_at_) / 1000) + " ms after its start");
    chat_dispatcher.set_ready(true);
    mesh.members.self.ready = true;
    mesh.announce_self(out.mesh);
  }
}

void Node::tick(Micros now, NodeEffects& out) {
  watch_clock(now);
  mesh.tick(now, out.mesh);
  take_fresh(now);
  std::vector<OutgoingMessage> outgoing;
  if (now >= next_poll_ &&
      (guard(Guard::spread) || learner.confirmed_at < 0 || plan.role == MemberRole::config_store)) {
    next_poll_ = now + poll_span();
    learner.poll(now, replica_directory_.connected_replicas(), list_freshness_.age(now), outgoing);
    register_bootstrap_.propose_initial_membership(now, outgoing);
  }
  if (acceptor)
    if (std::optional<wire::RecordT> save = acceptor->step(outgoing)) out.save = std::move(save);
  apply_early_patches(now, outgoing, out);
  ask_newer(now, outgoing);
  proposer.adopt_membership(learner.membership());
  proposer.suggest_membership(learner.newest_seen_membership());
  if (plan.registered && !replica_directory_.has_quorum_contact(now)) proposer.abandon_unsent_changes();
  proposer.tick(now, outgoing);
  settle_ended(now, out);
  if (plan.registered) {
    tick_registered(now, outgoing, out);
  } else if (plan.role == MemberRole::router) {
    tick_listed(now, outgoing, out);
  } else {
    update_readiness(now, out);
  }
  dispatch(outgoing, now, out);
  manage_replica_set(now, out);
  settle_waiting(now, out);
  change_forwarder_.tick(now, out);
  check_replies(out);
  tell_waiting(now);
}

bool Node::may_end(Micros now) const {
  if (!acceptor || !acceptor->durable_state().formed) return true;
  if (!learner.membership().has_participant(plan.name, acceptor->durable_state().disk)) return true;
  // Who hears no quorum cannot know whether a replica is here to take its place: it waits for the end of its grace.
  // Nor does one end that the set can do without: it is taken out first.
  return replica_directory_.has_quorum_contact(now) && replica_set_manager_.lacks_replacement(now);
}

void Node::drain(Micros now, NodeEffects& out) {
  if (leaving_) return;
  leaving_ = true;
  std::vector<OutgoingMessage> outgoing;
  replica_set_manager_.release_lease(outgoing);
  dispatch(outgoing, now, out);
  chat_dispatcher.drain();
  mesh.members.self.ready = false;
  mesh.announce_departure(out.mesh);
  log_event(Event::drain_began, "");
}

}  // namespace pipit
