// Machines, connections and steps of a fleet whose costs are counted (§10.5).
#include "testing/cost_simulator/scale.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "mesh/frame.h"
#include "testing/cost_simulator/machine.h"
#include "testing/cost_simulator/processor_time.h"

namespace pipit {

namespace {
constexpr Micros tick_gap = millis(25);  // as the host's
constexpr Micros answer_span = millis(300);
constexpr int regions = 4;
constexpr int zone_count = 10;

std::string numbered(char const* head, int n) {
  char text[32];
  std::snprintf(text, sizeof text, "%s%05d", head, n);
  return text;
}
std::size_t kind_of(std::string const& bytes) {
  return static_cast<std::size_t>(flatbuffers::GetSizePrefixedRoot<wire::Frame>(bytes.data())->body_type());
}
}  // namespace

std::vector<std::string> Scale::phase_names() { return {"calm", "change", "restart", "cut", "region"}; }

// Lines of measured runs (docs/CAPACITY.md), half as much again: what outgrows them is refused too early, not too late.
double bytes_for(ScalePlan const& plan) {
  double const n = plan.nodes, w = plan.workers;
  double const blocks = static_cast<double>(plan.prefixes) * (prefix_blocks + 1) +
                        static_cast<double>(plan.sessions) * (session_blocks + 1);
  // Every request adds a block to every index for as long as the run goes on.
  double const lasts = 60 + static_cast<double>(plan.span) / 1e6 * static_cast<double>(1 + plan.phases.size());
  double const any = 400e3 + 4e3 * n + 2000 * w + 1200 * plan.routes;
  double const router = 200 * (blocks + plan.rate * n * lasts);
  return 1.5 * (n * any + (n - plan.replicas) * router);
}

int nodes_within(ScalePlan plan, double bytes) {
  int const least = plan.replicas + 2;
  int best = 0;
  for (plan.nodes = least; plan.nodes <= 100000 && bytes_for(plan) <= bytes; ++plan.nodes) best = plan.nodes;
  return best;
}

Scale::Scale(ScalePlan plan_) : plan(std::move(plan_)), random(plan.seed * 6151 + 29) {
  for (int i = 0; i < zone_count; ++i) zones.push_back("r" + std::to_string(i % regions) + "z" + std::to_string(i));
  for (int i = 0; i < plan.nodes; ++i) {
    std::unique_ptr<Machine> made = std::make_unique<Machine>();
    made->role = i < plan.replicas ? MemberRole::config_store : MemberRole::router;
    made->name = made->role == MemberRole::config_store ? numbered("k", i + 1) : numbered("p", i + 1 - plan.replicas);
    made->address = "10.1." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":7000";
    made->region = i % zone_count % regions;
    made->zone = zones[static_cast<std::size_t>(i % zone_count)];
    made->offset = seconds(60) + static_cast<Micros>(random.below(1000000000));
    by_name[made->name] = i;
    by_address[made->address] = i;
    machines.push_back(std::move(made));
  }
  rows = std::make_shared<std::vector<ListRow>>();
  for (int i = 0; i < plan.workers; ++i)
    rows->push_back(ListRow{numbered("w", i + 1),
                            "10.2." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":9000",
                            zones[static_cast<std::size_t>(i % zone_count)], "main", 1, 60, false});
  // What the clock itself costs is taken off each step.
  std::int64_t const from = processor();
  for (int i = 0; i < 20000; ++i) processor();
  clock_cost = (processor() - from) / 20001;
}
Scale::~Scale() = default;

std::string Scale::description(int n) const {
  std::size_t const each = static_cast<std::size_t>((static_cast<double>(plan.prefixes) * (prefix_blocks + 1) +
                                                     static_cast<double>(plan.sessions) * (session_blocks + 1)) /
                                                    std::max(1, plan.workers));
  std::string out =
      "{\"format\":1,\n \"locality_ms\":60,\n \"pools\":[{\"name\":\"main\",\"model\":\"tribute\","
      "\"slots\":60,\"cold_per_second\":8,\"cold_ms\":5000,\"cache_blocks\":" +
      std::to_string(std::max<std::size_t>(4000, 2 * each + 1000)) +
      ",\"block_us\":3000,\"service_ms\":300}],\n \"lanes\":[\n";
  // The lane that callers use comes last, so that a request passes every other one.
  for (int i = 1; i < plan.routes; ++i)
    out += "  {\"name\":\"tenant" + std::to_string(i) + "\",\"binding\":\"match user starts \\\"tenant" +
           std::to_string(i) + "\\\"; pool main\",\"policy\":\"wait 1s\"},\n";
  return out + "  {\"name\":\"drafts\",\"binding\":\"match model = \\\"tribute\\\"; pool main\",\"policy\":\"wait " +
         std::to_string(2000 + n % 50) + "ms; repeat never; backlog 200; tries 2; answer 10s; stall 8s\"}]}\n";
}

Path Scale::path(std::uint64_t prefix, std::uint64_t session) const {
  Path out;
  std::uint64_t hash = hash_bits(prefix + 1);
  for (int i = 0; i < prefix_blocks; ++i) out.push_back(hash = hash_bits(hash + 1));
  if (session == 0) return out;
  hash ^= hash_bits(session << 20);
  for (int i = 0; i < session_blocks; ++i) out.push_back(hash = hash_bits(hash + 1));
  return out;
}

void Scale::fill(Machine& machine) {
  if (!machine.up() || machine.role != MemberRole::router || plan.workers == 0 || plan.prefixes == 0) return;
  Index& index = machine.node->index_sync.index("tribute");
  Micros const t = now + machine.offset;
  Index::Bounds const bounds{100000000, seconds(900)};
  for (int i = 0; i < plan.prefixes; ++i) {
    std::uint64_t const n = static_cast<std::uint64_t>(i);
    index.touch(path(n, 0), (*rows)[n % rows->size()].id, 1, bounds, t);
  }
  for (int i = 1; i <= plan.sessions; ++i) {
    std::uint64_t const prefix = static_cast<std::uint64_t>(i % plan.prefixes);
    index.touch(path(prefix, static_cast<std::uint64_t>(i)), (*rows)[prefix % rows->size()].id, 1, bounds, t);
  }
}

Micros Scale::lag(Machine const& a, Machine const& b) {
  if (a.zone == b.zone) return between(100, 500);
  return a.region == b.region ? between(500, 2000) : between(millis(15), millis(45));
}

bool Scale::cut(Machine const& a, Machine const& b) const {
  return !zone_cut.empty() && (a.zone == zone_cut) != (b.zone == zone_cut);
}

void Scale::boot(int who) {
  Machine& m = *machines[static_cast<std::size_t>(who)];
  if (m.up()) return;
  m.process_id = ++process_count;
  m.silent = false;
  m.connections.clear();
  m.chat_requests = 0;
  m.serial = 0;
  m.troubled = now;
  NodePlan p;
  p.name = m.name;
  p.zone = m.zone;
  p.address = m.address;
  p.http_address = m.address.substr(0, m.address.find(':')) + ":7080";
  p.role = m.role;
  for (int i = 0; i < plan.replicas; ++i) {
    if (i < 3) p.seeds.push_back(machines[static_cast<std::size_t>(i)]->address);
    if (m.role == MemberRole::config_store) p.initial_members.push_back(machines[static_cast<std::size_t>(i)]->name);
  }
  p.incarnation = 1000 + process_count;
  p.random_seed = hash_bits(plan.seed * 31 + process_count);
  std::optional<wire::RecordT> recovered;
  if (m.role == MemberRole::config_store) {
    if (!m.disk) {
      wire::RecordT blank;
      blank.cluster = "pipit";
      blank.name = m.name;
      blank.disk = hash_bits(plan.seed ^ (process_count << 20));
      m.disk = blank;
    }
    recovered = m.disk;
  }
  m.node = std::make_unique<Node>(p, now + m.offset, recovered);
  std::uint64_t const process_id = m.process_id;
  after(between(0, tick_gap), [this, who, process_id] { tick(who, process_id); });
  if (m.role == MemberRole::router && plan.rate > 0)
    after(seconds(2), [this, who, process_id] { call(who, process_id); });
}

void Scale::halt(int who, bool silent) {
  Machine& m = *machines[static_cast<std::size_t>(who)];
  if (!m.up()) return;
  m.troubled = now;
  m.silent = silent;
  std::unordered_map<ConnectionId, std::pair<std::shared_ptr<Link>, int>> const connections = std::move(m.connections);
  m.connections.clear();
  m.node.reset();
  for (Kill& other : kills) other.pending.erase(who);
  if (silent) return;
  for (std::pair<ConnectionId const, std::pair<std::shared_ptr<Link>, int>> const& item : connections)
    hang(item.second.first, item.second.second);
}

// Runs one step of a node and counts the processor time of the step alone, not of what carries its effects out.
template <class F>
void Scale::enter(int who, std::uint64_t process_id, Step type, F&& step, int kind) {
  Machine& m = *machines[static_cast<std::size_t>(who)];
  if (!m.up() || m.process_id != process_id) return;
  NodeEffects out;
  std::int64_t const from = processor();
  step(m, now + m.offset, out);
  std::int64_t const took = std::max<std::int64_t>(0, processor() - from - clock_cost);
  if (phase != nullptr) {
    Count& count = phase->count[static_cast<std::size_t>(m.role)];
    count.nanos[static_cast<std::size_t>(type)] += took;
    if (kind >= 0) count.nanos_in[static_cast<std::size_t>(kind)] += took;
  }
  obey(who, out);
  if (m.node->learner.serial() == m.serial) return;
  m.serial = m.node->learner.serial();
  for (Turn& item : turns)
    if (m.serial >= item.serial && item.pending.erase(who) > 0 && item.pending.empty())
      everywhere_after.push_back(now - item.at);
}

void Scale::tick(int who, std::uint64_t process_id) {
  Machine& m = *machines[static_cast<std::size_t>(who)];
  if (!m.up() || m.process_id != process_id) return;
  enter(who, process_id, Step::tick, [](Machine& b, Micros t, NodeEffects& out) { b.node->tick(t, out); });
  for (Kill& kill : kills) {
    if (!kill.pending.count(who)) continue;
    std::map<std::string, Peer>::const_iterator const peer =
        m.node->mesh.members.peers.find(machines[static_cast<std::size_t>(kill.who)]->name);
    if (peer == m.node->mesh.members.peers.end() || peer->second.state() != MemberState::down) continue;
    kill.pending.erase(who);
    detected[kill.silent ? 1 : 0].push_back(now - kill.at);
  }
  after(tick_gap, [this, who, process_id] { tick(who, process_id); });
}

void Scale::dial(int who, std::string const& address) {
  Machine& m = *machines[static_cast<std::size_t>(who)];
  std::uint64_t const process_id = m.process_id;
  if (phase != nullptr) ++phase->count[static_cast<std::size_t>(m.role)].dials;
  std::unordered_map<std::string, int>::const_iterator const position = by_address.find(address);
  Machine* const target =
      position == by_address.end() ? nullptr : machines[static_cast<std::size_t>(position->second)].get();
  bool const mute = target == nullptr || target->silent || cut(m, *target);
  if (mute || !target->up()) {
    after(mute ? seconds(1) : 2 * lag(m, *target), [this, who, process_id, address, mute] {
      enter(who, process_id, Step::connection,
            [&address, mute](Machine& b, Micros t, NodeEffects& out) { b.node->dial_failed(address, !mute, t, out); });
    });
    return;
  }
  std::shared_ptr<Link> const link = std::make_shared<Link>();
  link->who[0] = who;
  link->who[1] = position->second;
  link->process_id[0] = process_id;
  link->process_id[1] = target->process_id;
  Micros const there = lag(m, *target);
  Micros const back = there + lag(m, *target);
  link->last[1] = now + back;  // nothing reaches the dialler before its connection is open
  for (int side = 0; side < 2; ++side)
    after(side == 1 ? there : back, [this, link, side, address] {
      Machine& b = *machines[static_cast<std::size_t>(link->who[side])];
      if (!b.up() || b.process_id != link->process_id[side]) return;
      if (!link->open) {
        if (side == 0)
          enter(link->who[0], b.process_id, Step::connection,
                [&address](Machine& x, Micros t, NodeEffects& out) { x.node->dial_failed(address, false, t, out); });
        return;
      }
      ConnectionId const id = ++b.next_connection;
      link->connection[side] = id;
      b.connections[id] = {link, side};
      enter(link->who[side], b.process_id, Step::connection,
            [id, side, &address](Machine& x, Micros t, NodeEffects& out) {
              x.node->connection_opened(id, side == 0, address, t, out);
            });
    });
}

void Scale::hang(std::shared_ptr<Link> const& link, int from) {
  if (!link->open) return;
  link->open = false;
  int const to = 1 - from;
  Machine& local = *machines[static_cast<std::size_t>(link->who[from])];
  Machine& remote = *machines[static_cast<std::size_t>(link->who[to])];
  if (local.up() && link->connection[from] != 0) local.connections.erase(link->connection[from]);
  if (cut(local, remote)) return;  // the other side finds out by itself
  // What was sent before the end arrives before it.
  at(std::max(link->last[from] + 1, now + lag(local, remote)), [this, link, to] {
    Machine& b = *machines[static_cast<std::size_t>(link->who[to])];
    if (!b.up() || b.process_id != link->process_id[to] || link->connection[to] == 0) return;
    b.connections.erase(link->connection[to]);
    ConnectionId const id = link->connection[to];
    enter(link->who[to], b.process_id, Step::connection,
          [id](Machine& x, Micros t, NodeEffects& out) { x.node->connection_closed(id, t, out); });
  });
}

void Scale::pass(std::shared_ptr<Link> const& link, int side, std::string bytes) {
  Machine const& local = *machines[static_cast<std::size_t>(link->who[side])];
  Machine const& remote = *machines[static_cast<std::size_t>(link->who[1 - side])];
  if (cut(local, remote)) {
    if (link->delayed[0].empty() && link->delayed[1].empty()) stalled.push_back(link);
    link->delayed[side].push_back(std::move(bytes));
    return;
  }
  Micros const when = std::max(link->last[side] + 1, now + lag(local, remote));
  link->last[side] = when;
  at(when, [this, link, side, bytes = std::move(bytes)] { arrive(link, side, bytes); });
}

void Scale::arrive(std::shared_ptr<Link> const& link, int side, std::string const& bytes) {
  int const to = link->who[1 - side];
  Machine& b = *machines[static_cast<std::size_t>(to)];
  if (!link->open || !b.up() || b.process_id != link->process_id[1 - side]) return;
  if (cut(*machines[static_cast<std::size_t>(link->who[side])], b)) {
    if (link->delayed[0].empty() && link->delayed[1].empty()) stalled.push_back(link);
    link->delayed[side].push_back(bytes);
    return;
  }
  ConnectionId const id = link->connection[1 - side];
  if (!b.connections.count(id)) return;
  std::size_t const kind = kind_of(bytes);
  if (phase != nullptr) {
    Count& count = phase->count[static_cast<std::size_t>(b.role)];
    ++count.frames_in[kind];
    count.bytes_in[kind] += bytes.size();
  }
  enter(
      to, b.process_id, Step::connection,
      [id, &bytes](Machine& x, Micros t, NodeEffects& out) { x.node->receive_frame(id, bytes, t, out); },
      static_cast<int>(kind));
}

void Scale::carry(int who, ConnectionId id, std::string bytes) {
  Machine& m = *machines[static_cast<std::size_t>(who)];
  std::unordered_map<ConnectionId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const position =
      m.connections.find(id);
  if (position == m.connections.end()) return;
  std::pair<std::shared_ptr<Link>, int> const end = position->second;
  Machine const& remote = *machines[static_cast<std::size_t>(end.first->who[1 - end.second])];
  bool const reborn = remote.up() && remote.process_id != end.first->process_id[1 - end.second];
  if (!end.first->open || reborn) {
    // The other end is gone, or its machine lives anew and knows nothing of this connection: writing finds that out.
    end.first->open = false;
    m.connections.erase(id);
    std::uint64_t const process_id = m.process_id;
    after(2 * lag(m, remote), [this, who, process_id, id] {
      enter(who, process_id, Step::connection,
            [id](Machine& x, Micros t, NodeEffects& out) { x.node->connection_closed(id, t, out); });
    });
    return;
  }
  if (phase != nullptr) {
    std::size_t const kind = kind_of(bytes);
    Count& count = phase->count[static_cast<std::size_t>(m.role)];
    ++count.frames_out[kind];
    count.bytes_out[kind] += bytes.size();
  }
  pass(end.first, end.second, std::move(bytes));
}

void Scale::heal() {
  zone_cut.clear();
  healed_at = now;
  std::vector<std::weak_ptr<Link>> const list = std::move(stalled);
  stalled.clear();
  for (std::weak_ptr<Link> const& item : list)
    if (std::shared_ptr<Link> const link = item.lock())
      for (int side = 0; side < 2; ++side) {
        std::vector<std::string> const delayed = std::move(link->delayed[side]);
        link->delayed[side].clear();
        if (!link->open) continue;
        for (std::string const& bytes : delayed) pass(link, side, bytes);
      }
}

void Scale::obey(int who, NodeEffects& out) {
  Machine& m = *machines[static_cast<std::size_t>(who)];
  std::uint64_t const process_id = m.process_id;
  if (out.record_to_sync)
    after(between(500, 6000), [this, who, process_id, record = std::move(*out.record_to_sync)] {
      Machine& b = *machines[static_cast<std::size_t>(who)];
      if (!b.up() || b.process_id != process_id) return;
      b.disk = record;
      enter(who, process_id, Step::connection,
            [](Machine& x, Micros t, NodeEffects& o) { x.node->record_synced(t, o); });
    });
  for (std::string const& address : out.mesh.dial_addresses) dial(who, address);
  for (ConnectionEffects::OutgoingFrame& send : out.mesh.outgoing_frames)
    carry(who, send.connection, std::move(send.bytes));
  for (ConnectionId const id : out.mesh.closed_connections) {
    std::unordered_map<ConnectionId, std::pair<std::shared_ptr<Link>, int>>::const_iterator const position =
        m.connections.find(id);
    if (position == m.connections.end()) continue;
    std::pair<std::shared_ptr<Link>, int> const end = position->second;
    hang(end.first, end.second);
    m.connections.erase(id);
  }
  for (ChatAttemptStart const& start : out.chat.attempts) {
    std::uint64_t const chat_request = start.chat_request;
    m.node->chat_attempt_sent(chat_request);
    after(millis(30), [this, who, process_id, chat_request] {
      Machine& b = *machines[static_cast<std::size_t>(who)];
      if (b.up() && b.process_id == process_id) b.node->chat_attempt_began(chat_request);
    });
    after(answer_span, [this, who, process_id, chat_request] {
      ++answered;
      enter(who, process_id, Step::chat_request, [chat_request](Machine& x, Micros t, NodeEffects& o) {
        x.node->chat_attempt_ended(chat_request, ChatAttemptEnd::done, "", 0, t, o);
      });
    });
  }
  for (ChatFailure const& verdict : out.chat.failures) ++refused[error_code_row(verdict.error.code).name];
  for (ChangeReply const& reply : out.replies) {
    bool const holds = reply.outcome.type == Outcome::Type::chosen;
    for (std::vector<Turn>::iterator it = turns.begin(); it != turns.end();) {
      if (it->yes >= 0 || reply.change_id != it->id) {
        ++it;
        continue;
      }
      it->yes = now;
      if (holds) yes_after.push_back(now - it->at);
      it = holds ? std::next(it) : turns.erase(it);
    }
  }
  bool const away = !zone_cut.empty() && m.zone == zone_cut;
  if (out.read_list)
    after(away ? seconds(1) : between(millis(3), millis(40)), [this, who, process_id, away] {
      enter(who, process_id, Step::list, [this, away](Machine& x, Micros t, NodeEffects& o) {
        if (away)
          x.node->handle_worker_list(std::nullopt, false, t, o);
        else
          x.node->handle_worker_list(*rows, true, t, o);
      });
    });
  if (out.health_checks.empty()) return;
  if (phase != nullptr) phase->count[static_cast<std::size_t>(m.role)].checks += out.health_checks.size();
  std::vector<HealthCheck> local, remote;
  for (HealthCheck& check : out.health_checks) {
    bool mute = false;
    if (!zone_cut.empty()) {
      std::size_t const n = static_cast<std::size_t>(std::stoi(check.worker.substr(1)) - 1) % zones.size();
      mute = (zones[n] == zone_cut) != (m.zone == zone_cut);
    }
    (mute ? remote : local).push_back(std::move(check));
  }
  for (bool const mute : {false, true}) {
    std::vector<HealthCheck>& list = mute ? remote : local;
    if (list.empty()) continue;
    after(mute ? seconds(1) : between(millis(1), millis(15)), [this, who, process_id, mute, list = std::move(list)] {
      for (HealthCheck const& check : list)
        enter(who, process_id, Step::health, [this, &check, mute](Machine& x, Micros t, NodeEffects& o) {
          std::optional<HealthReport> report;
          if (!mute) {
            report.emplace();
            report->incarnation = 1;
            report->awake = now + seconds(3600);
          }
          x.node->handle_health_report(check, report, false, t, o);
        });
    });
  }
}

void Scale::call(int who, std::uint64_t process_id) {
  Machine& m = *machines[static_cast<std::size_t>(who)];
  if (!m.up() || m.process_id != process_id) return;
  Micros const gap = static_cast<Micros>(1e6 / plan.rate);
  after(gap / 2 + between(0, std::max<Micros>(2, gap)), [this, who, process_id] { call(who, process_id); });
  if (!calling || !m.node->is_ready() || phase == nullptr) return;
  ++asked;
  ChatRequestInfo ask;
  ask.facts.model = "tribute";
  ask.facts.user = "someone";
  ask.facts.size = 5000;
  std::uint64_t const session = plan.sessions > 0 ? 1 + random.below(static_cast<std::uint64_t>(plan.sessions)) : 0;
  std::uint64_t const prefixes = static_cast<std::uint64_t>(std::max(1, plan.prefixes));
  ask.path = path(session > 0 ? session % prefixes : random.below(prefixes), session);
  ask.path.push_back(hash_bits(ask.path.back() ^ random.next()));
  std::uint64_t const chat_request = ++m.chat_requests;
  enter(who, process_id, Step::chat_request, [chat_request, &ask](Machine& x, Micros t, NodeEffects& out) {
    x.node->start_chat_request(chat_request, std::move(ask), t, out);
  });
}

void Scale::change() {
  std::vector<int> field;
  for (int i = plan.replicas; i < plan.nodes; ++i)
    if (machines[static_cast<std::size_t>(i)]->up()) field.push_back(i);
  if (field.empty()) return;
  int const who = field[random.below(field.size())];
  Machine& m = *machines[static_cast<std::size_t>(who)];
  Change item;
  item.type = Change::Type::apply;
  item.text = description(++turn);
  item.expected = m.node->learner.serial();
  item.id = "c" + std::to_string(turn);
  Turn made;
  made.id = item.id;
  made.at = now;
  made.serial = item.expected + 1;
  for (int i = 0; i < plan.nodes; ++i)
    if (machines[static_cast<std::size_t>(i)]->up()) made.pending.insert(i);
  turns.push_back(std::move(made));
  enter(who, m.process_id, Step::operate,
        [&item](Machine& x, Micros t, NodeEffects& out) { x.node->submit_change(1, std::move(item), t, out); });
}

}  // namespace pipit
