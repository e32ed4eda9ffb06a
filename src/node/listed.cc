// A router node where the platform has a list of workers (§4): readings of the list, workers' health, entries that this
// node owns, and requests of callers in its chat requests.
#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros list_gap = millis(300);
constexpr Micros check_gap = millis(500);
constexpr Micros load_gap = millis(200);
}  // namespace

// What a router node does each turn where the platform has a list of workers.
void Node::tick_listed(Micros now, std::vector<OutgoingMessage>& outgoing, NodeEffects& out) {
  if (now >= next_round_) {
    next_round_ = now + seconds(1);
    std::vector<std::pair<std::string, std::vector<std::string>>> peers;
    for (std::string const& name : index_peers()) peers.emplace_back(name, mesh.members.peers.at(name).member.models);
    index_sync.round(
        now, peers, [this](std::string const& model) { return bounds(model); }, outgoing);
    own_entries(now, out);
  }
  index_sync.tick(now, index_peers(), outgoing);
  if (now >= next_reconcile_) {
    next_reconcile_ = now + seconds(30);
    fleet.reconcile(mesh.entry_table.entries(), now);
  }
  if (list_flying_ && now - list_flew_ > seconds(3)) list_flying_ = false;
  if (now >= next_list_ && !list_flying_) {
    next_list_ = now + list_gap;
    list_flying_ = true;
    list_flew_ = now;
    out.read_list = true;
  }
  for (std::pair<std::string const, Worker> const& item : fleet.workers) {
    Worker const& worker = item.second;
    if (worker.standing == WorkerState::ended || checking_.count(item.first)) continue;
    if (now >= check_due_[item.first]) check_now(item.first, now, out);
  }
  // §6.6: the share of a cold worker's bound counts every node that is known, DOWN ones too, so that a cut never
  // raises the sum.
  std::set<std::string> names = routers(true);
  if (learner.value)
    for (std::unique_ptr<wire::RouterRegistrationT> const& registration : learner.value->registrations)
      names.insert(registration->name);
  chat_dispatcher.set_routers(std::move(names), router_registrations_.is_newcomer(now));
  update_registration(now, out);
  tell_loads(now, outgoing);
  std::set<std::string> senders = routers(false);
  senders.erase(plan.name);
  fleet.sum_others(senders, now);
  update_readiness(now, out);
  bool const alone = guard(Guard::isolation) && !list_freshness_.update(now);
  if (ready_now_ && alone != isolated_) {
    isolated_ = alone;
    log_event(alone ? Event::node_isolated : Event::node_rejoined, "");
  }
  chat_dispatcher.set_ready(ready_now_ && !isolated_);
  chat_dispatcher.process_backlog(now, out.chat);
  check_asked(now, out);
}

void Node::list(std::optional<std::vector<ListRow>> const& rows, bool answered, Micros now, NodeEffects& out) {
  watch_clock(now);
  list_flying_ = false;
  if (!rows) {
    // A failed reading is no departure.
    if (answered) list_freshness_.note_source_failure(now);
    if (!list_bad_) log_event(Event::list_failed, "");
    list_bad_ = true;
    return;
  }
  if (list_bad_) log_event(Event::list_recovered, "");
  list_bad_ = false;
  fleet.take_list(*rows, now);
  // What this reading began before a jump of the clock says nothing about the time after it.
  if (stale_from_ < 0 || list_flew_ >= stale_from_) {
    listed_at_ = list_flew_;
    list_freshness_.note_reading(listed_at_);
  }
  take_fresh(now);
  own_entries(now, out);
  update_readiness(now, out);
  chat_dispatcher.process_backlog(now, out.chat);
}

void Node::health_report(Check const& check, std::optional<HealthReport> const& report, bool refused, Micros now,
                         NodeEffects& out) {
  watch_clock(now);
  checking_.erase(check.worker);
  fleet.health_report(check.worker, check.incarnation, check.asked, report, refused, now);
  take_fresh(now);
  chat_dispatcher.process_backlog(now, out.chat);
  check_asked(now, out);
}

void Node::own_entries(Micros now, NodeEffects& out) {
  if (plan.role != MemberRole::router || listed_at_ < 0 || now - listed_at_ > seconds(5) || leaving_) return;
  std::set<std::string> const names = routers(false);
  std::set<std::string> mine;
  for (std::pair<std::string const, Worker> const& item : fleet.workers)
    if (rendezvous(item.first, names) == plan.name) mine.insert(item.first);
  bool any = false;
  for (wire::EntryT& entry : fleet.entries_for(mine)) any = mesh.put_entry(std::move(entry), now) || any;
  // §4.3: the owner may have missed a mark that this node read. Then this node says so under a key of its own.
  std::set<std::string> marked;
  for (std::pair<std::string const, Worker> const& item : fleet.workers) {
    std::map<std::string, wire::EntryT>::const_iterator const said = mesh.entry_table.entries().find(item.first);
    bool const told = said != mesh.entry_table.entries().end() &&
                      said->second.incarnation >= item.second.row.incarnation &&
                      said->second.state != static_cast<std::uint8_t>(WorkerState::serving);
    if (item.second.standing != WorkerState::serving && !told && !mine.count(item.first)) marked.insert(item.first);
  }
  for (wire::EntryT& entry : fleet.entries_for(marked)) {
    entry.key += "!" + plan.name;
    any = mesh.put_entry(std::move(entry), now) || any;
  }
  if (any) mesh.flush_entries(out.mesh);
}

void Node::chat_request(std::uint64_t id, ChatRequestInfo ask, Micros now, NodeEffects& out) {
  watch_clock(now);
  ask.facts.zone = plan.zone;
  chat_dispatcher.on_request(id, std::move(ask), now, out.chat);
  check_asked(now, out);
}

// Peers hear how many attempts this node has at each worker, soon when that changed, and now and then when not.
void Node::tell_loads(Micros now, std::vector<OutgoingMessage>& outgoing) {
  if (now < next_loads_) return;
  next_loads_ = now + load_gap;
  wire::LoadsT loads = fleet.own_loads();
  loads.age = list_freshness_.age(now);
  std::string print;
  for (std::unique_ptr<wire::LoadT> const& item : loads.list)
    print += item->worker + " " + std::to_string(item->attempts) + " ";
  if (print == loads_last_ && now - loads_told_ < millis(500)) return;
  loads_last_ = print;
  loads_told_ = now;
  for (std::string const& name : index_peers()) outgoing.push_back(message_to(name, wire::LoadsT(loads)));
}

void Node::check_now(std::string const& id, Micros now, NodeEffects& out) {
  Worker const* const worker = fleet.find(id);
  if (worker == nullptr) return;
  check_due_[id] = now + check_gap;
  checking_.insert(id);
  out.checks.push_back(Check{id, worker->row.address, worker->row.incarnation, now});
}

// Placing waits for a worker's word: it is asked once, and again when that was lost.
void Node::check_asked(Micros now, NodeEffects& out) {
  for (std::string const& id : out.chat.probes) {
    Worker* const worker = fleet.find(id);
    if (worker == nullptr || worker->asked >= 0) continue;
    worker->asked = now;
    check_now(id, now, out);
  }
  out.chat.probes.clear();
}

void Node::chat_attempt_ended(std::uint64_t id, ChatAttemptEnd end, std::string const& why, Micros back, Micros now,
                              NodeEffects& out) {
  watch_clock(now);
  chat_dispatcher.on_attempt_end(id, end, why, back, now, out.chat);
  for (std::pair<std::string, std::uint64_t> const& suspect : out.chat.suspected_workers) {
    check_now(suspect.first, now, out);
    for (std::string const& name : index_peers()) {
      wire::WorkerSuspectedT word;
      word.worker = suspect.first;
      word.incarnation = suspect.second;
      mesh.send(name, std::move(word), out.mesh);
    }
  }
  out.chat.suspected_workers.clear();
  chat_dispatcher.process_backlog(now, out.chat);
  check_asked(now, out);
}

void Node::hung_up(std::uint64_t id, Micros now, NodeEffects& out) {
  watch_clock(now);
  chat_dispatcher.on_client_disconnect(id, now, out.chat);
  chat_dispatcher.process_backlog(now, out.chat);
}

}  // namespace pipit
