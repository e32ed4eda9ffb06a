// Methods of Node for router nodes whose platform has a list of workers (§4): reading the list, health checks, the
// entries that this node owns, and chat requests.
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros list_read_interval = millis(300);
constexpr Micros health_check_interval = millis(500);
constexpr Micros load_report_interval = millis(200);
constexpr Micros unchanged_load_report_interval = millis(500);
constexpr Micros index_round_interval = seconds(1);
constexpr Micros reconcile_interval = seconds(30);
constexpr Micros list_read_timeout = seconds(3);
constexpr Micros max_list_age = seconds(5);  // for publishing entries of workers
}  // namespace

// The periodic work of a router node whose platform has a list of workers.
void Node::tick_worker_list(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out) {
  if (now >= next_index_round_) {
    next_index_round_ = now + index_round_interval;
    std::vector<std::pair<std::string, std::vector<std::string>>> peers;
    for (std::string const& name : index_peers()) peers.emplace_back(name, mesh.members.peers.at(name).member.models);
    index_sync.round(
        now, peers, [this](std::string const& model) { return index_bounds(model); }, outgoing);
    publish_own_entries(now, out);
  }
  index_sync.tick(
      now, [this] { return index_peers(); }, outgoing);
  if (now >= next_reconcile_) {
    next_reconcile_ = now + reconcile_interval;
    fleet.reconcile(mesh.entry_table.entries(), now);
  }
  if (list_read_in_flight_ && now - list_read_started_at_ > list_read_timeout) list_read_in_flight_ = false;
  if (now >= next_list_read_ && !list_read_in_flight_) {
    next_list_read_ = now + list_read_interval;
    list_read_in_flight_ = true;
    list_read_started_at_ = now;
    out.read_list = true;
  }
  for (std::pair<std::string const, Worker> const& item : fleet.workers) {
    Worker const& worker = item.second;
    if (worker.state == WorkerState::ended || health_checks_in_flight_.count(item.first)) continue;
    if (now >= next_health_check_[item.first]) start_health_check(item.first, now, out);
  }
  // §6.6: a cold worker's limit is divided among all known nodes, including those that are down, so that a network
  // partition never raises the sum of the shares.
  std::set<std::string> names = known_routers(true);
  if (learner.value)
    for (std::unique_ptr<wire::RouterRegistrationT> const& registration : learner.value->registrations)
      names.insert(registration->name);
  chat_dispatcher.set_routers(std::move(names), router_registrations_.is_newcomer(now));
  update_registration(now, out);
  send_loads(now, outgoing);
  std::set<std::string> senders = known_routers(false);
  senders.erase(plan.name);
  fleet.sum_peer_loads(senders, now);
  update_readiness(now, out);
  bool const isolated = guard_enabled(Guard::isolation) && !list_freshness_.update(now);
  if (ready_ && isolated != isolated_) {
    isolated_ = isolated;
    log_event(isolated ? Event::node_isolated : Event::node_rejoined, "");
  }
  chat_dispatcher.set_ready(ready_ && !isolated_);
  chat_dispatcher.process_backlog(now, out.chat);
  start_requested_health_checks(now, out);
}

void Node::handle_worker_list(std::optional<std::vector<ListRow>> const& rows, bool source_answered, Micros now,
                              NodeEffects& out) {
  detect_clock_jump(now);
  list_read_in_flight_ = false;
  if (!rows) {
    // A failed reading does not mean that workers have left.
    if (source_answered) list_freshness_.note_source_failure(now);
    if (!list_failing_) log_event(Event::list_failed, "");
    list_failing_ = true;
    return;
  }
  if (list_failing_) log_event(Event::list_recovered, "");
  list_failing_ = false;
  fleet.take_list(*rows, now);
  // A reading that began before a clock jump does not show the list as it was after the jump.
  if (stale_since_ < 0 || list_read_started_at_ >= stale_since_) {
    last_list_read_at_ = list_read_started_at_;
    list_freshness_.note_reading(last_list_read_at_);
  }
  apply_updated_entries(now, out);
  publish_own_entries(now, out);
  update_readiness(now, out);
  chat_dispatcher.process_backlog(now, out.chat);
}

void Node::handle_health_report(HealthCheck const& check, std::optional<HealthReport> const& report, bool refused,
                                Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  health_checks_in_flight_.erase(check.worker);
  fleet.health_report(check.worker, check.incarnation, check.sent_at, report, refused, now);
  apply_updated_entries(now, out);
  chat_dispatcher.process_backlog(now, out.chat);
  start_requested_health_checks(now, out);
}

void Node::publish_own_entries(Micros now, NodeEffects& out) {
  if (plan.role != MemberRole::router || last_list_read_at_ < 0 || now - last_list_read_at_ > max_list_age || draining_)
    return;
  std::set<std::string> const names = known_routers(false);
  std::set<std::string> owned;
  for (std::pair<std::string const, Worker> const& item : fleet.workers)
    if (rendezvous(item.first, names) == plan.name) owned.insert(item.first);
  bool changed = false;
  for (wire::EntryT& entry : fleet.entries_for(owned)) changed = mesh.put_entry(std::move(entry), now) || changed;
  // §4.3: the owner may have missed a departure mark that this node read. This node then publishes the mark under a
  // separate key.
  std::set<std::string> marked;
  for (std::pair<std::string const, Worker> const& item : fleet.workers) {
    std::map<std::string, wire::EntryT>::const_iterator const entry = mesh.entry_table.entries().find(item.first);
    bool const published = entry != mesh.entry_table.entries().end() &&
                           entry->second.incarnation >= item.second.row.incarnation &&
                           entry->second.state != static_cast<std::uint8_t>(WorkerState::serving);
    if (item.second.state != WorkerState::serving && !published && !owned.count(item.first)) marked.insert(item.first);
  }
  for (wire::EntryT& entry : fleet.entries_for(marked)) {
    entry.key += "!" + plan.name;
    changed = mesh.put_entry(std::move(entry), now) || changed;
  }
  if (changed) mesh.flush_entries(out.mesh);
}

void Node::start_chat_request(std::uint64_t id, ChatRequestInfo request, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  request.facts.zone = plan.zone;
  chat_dispatcher.on_request(id, std::move(request), now, out.chat);
  start_requested_health_checks(now, out);
}

// Reports to the peers how many attempts this node has in flight at each worker: at the next report interval after a
// change, and otherwise every 'unchanged_load_report_interval'.
void Node::send_loads(Micros now, std::vector<OutgoingMessage>& outgoing) {
  if (now < next_loads_) return;
  next_loads_ = now + load_report_interval;
  wire::LoadsT loads = fleet.own_loads();
  loads.age = list_freshness_.age(now);
  std::string fingerprint;
  for (std::unique_ptr<wire::LoadT> const& item : loads.list)
    fingerprint += item->worker + " " + std::to_string(item->attempts) + " ";
  if (fingerprint == last_sent_loads_ && now - loads_sent_at_ < unchanged_load_report_interval) return;
  last_sent_loads_ = fingerprint;
  loads_sent_at_ = now;
  for (std::string const& name : index_peers()) outgoing.push_back(message_to(name, wire::LoadsT(loads)));
}

void Node::start_health_check(std::string const& id, Micros now, NodeEffects& out) {
  Worker const* const worker = fleet.find(id);
  if (worker == nullptr) return;
  next_health_check_[id] = now + health_check_interval;
  health_checks_in_flight_.insert(id);
  out.health_checks.push_back(HealthCheck{id, worker->row.address, worker->row.incarnation, now});
}

// Starts the health checks that the chat dispatcher waits for before it places a request. One check per worker is in
// flight; a lost one is repeated.
void Node::start_requested_health_checks(Micros now, NodeEffects& out) {
  for (std::string const& id : out.chat.probes) {
    Worker* const worker = fleet.find(id);
    if (worker == nullptr || worker->probe_sent >= 0) continue;
    worker->probe_sent = now;
    start_health_check(id, now, out);
  }
  out.chat.probes.clear();
}

void Node::chat_attempt_ended(std::uint64_t id, ChatAttemptEnd end, std::string const& why, Micros retry_after,
                              Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  chat_dispatcher.on_attempt_end(id, end, why, retry_after, now, out.chat);
  for (std::pair<std::string, std::uint64_t> const& suspect : out.chat.suspected_workers) {
    start_health_check(suspect.first, now, out);
    for (std::string const& name : index_peers()) {
      wire::WorkerSuspectedT message;
      message.worker = suspect.first;
      message.incarnation = suspect.second;
      mesh.send(name, std::move(message), out.mesh);
    }
  }
  out.chat.suspected_workers.clear();
  chat_dispatcher.process_backlog(now, out.chat);
  start_requested_health_checks(now, out);
}

void Node::client_disconnected(std::uint64_t id, Micros now, NodeEffects& out) {
  detect_clock_jump(now);
  chat_dispatcher.on_client_disconnect(id, now, out.chat);
  chat_dispatcher.process_backlog(now, out.chat);
}

}  // namespace pipit
