#include "testing/quota_simulator/load.h"

#include <algorithm>
#include <cmath>

#include "base/json_writer.h"
#include "base/key_digest.h"

namespace pipit::tenants {

namespace {
using control_plane_simulator::Machine;
using control_plane_simulator::MachineId;

constexpr double window_s = 8;
constexpr double overshoot = 0.1;
constexpr double slack = 140000;
constexpr Micros settle_time = seconds(14);  // wait before the clients start
constexpr Micros heartbeat_interval = millis(500);
constexpr Micros lower_limit_delay =
    seconds(8) + millis(2500);  // time from a lower limit's acknowledgement until it binds

std::string key_of(std::size_t tenant, bool second) {
  return "key-" + std::to_string(tenant) + (second ? "-second" : "-first");
}
double seconds_of(Micros span) { return static_cast<double>(span) / 1e6; }
}  // namespace

Load::Load(LoadPlan plan_)
    : world([&plan_] {
        control_plane_simulator::WorldPlan out;
        out.seed = plan_.seed;
        out.disks = plan_.disks;
        out.plain = plan_.plain;
        out.tolerated = 2;
        return out;
      }()),
      figures(plan_.tenants),
      plan(plan_),
      random(plan_.seed * 31 + 5),
      rate_factors(plan_.tenants, 1),
      bucket_levels(plan_.tenants, 0),
      bucket_updated_at(plan_.tenants, 0),
      runs(plan_.tenants),
      key_revoked(plan_.tenants, false),
      revoked_at(plan_.tenants, -1) {
  for (std::size_t n = 0; n < plan.tenants; ++n)
    limits.push_back(std::max(36000.0, std::floor(plan.max_rate * std::pow(2.0 / 3, static_cast<double>(n)))));
  first_limits = limits;
  for (double const limit : limits) history.push_back({LimitPeriod{0, limit}});
  world.on_plan = [this](NodePlan& node_plan) {
    node_plan.revocation_bound = plan.revocation - millis(300);
    node_plan.quota_terms.window = static_cast<Micros>(window_s * 1e6);
    node_plan.quota_terms.overshoot = overshoot;
    node_plan.quota_terms.slack = slack;
  };
  world.on_dispatch = [this](Machine& machine, DispatchEffects& out) { handle_dispatch(machine, out); };
  world.on_reply = [this](Machine&, ChangeReply const& reply) {
    std::map<std::uint64_t, std::function<void()>>::iterator const position = pending_changes.find(reply.id);
    if (position == pending_changes.end()) return;
    std::function<void()> const done = std::move(position->second);
    pending_changes.erase(position);
    if (reply.outcome.type == Outcome::Type::chosen) return done();
    apply_description(done);  // the change is retried under a new call number
  };
}

void Load::record_finding(std::string const& what) {
  findings.push_back(std::to_string(world.now() / 1000) + " ms: " + what);
}

std::string Load::description() const {
  JsonWriter json;
  json.begin_object().key("format").number(1);
  json.key("pools").begin_list().begin_object().key("name").text("p").key("model").text("m");
  json.key("slots").number(100000).end_object().end_list();
  json.key("lanes").begin_list().end_list();
  json.key("routes").begin_list().begin_object().key("name").text("r").key("host").text("h").key("prefix").text("/");
  json.key("shares").begin_list().begin_object().key("pool").text("p").end_object().end_list();
  json.key("hold_ms").number(3000).key("aim_ms").number(500).end_object().end_list();
  json.key("tenants").begin_list();
  for (std::size_t n = 0; n < plan.tenants; ++n) {
    json.begin_object().key("name").text("tenant-" + std::to_string(n)).key("keys").begin_list();
    json.text(key_of(n, true));
    if (!key_revoked[n]) json.text(key_of(n, false));
    json.end_list().key("counts").text("tokens").key("plain_tokens").number(200);
    json.key("rate").number(n == unlimited() ? 0 : static_cast<std::int64_t>(limits[n]));
    json.key("burst").number(static_cast<std::int64_t>(limits[n])).end_object();
  }
  json.end_list().end_object();
  return json.take();
}

void Load::apply_description(std::function<void()> const& confirmed) {
  std::vector<MachineId> const at = owners();
  MachineId target = at.empty() ? 0 : at[random.below(at.size())];
  std::uint64_t const call = ++next_call;
  pending_changes[call] = confirmed;
  Change change;
  change.type = Change::Type::apply;
  change.id = "change-" + std::to_string(call);
  change.text = description();
  Machine& machine = world.machine(target);
  if (machine.up()) change.expected = machine.node->learner.serial();
  world.enter(target, machine.process,
              [call, change](Node& node, Micros now, NodeEffects& out) { node.submit_change(call, change, now, out); });
  world.after(seconds(3), [this, call] {
    std::map<std::uint64_t, std::function<void()>>::iterator const position = pending_changes.find(call);
    if (position == pending_changes.end()) return;
    std::function<void()> const done = std::move(position->second);
    pending_changes.erase(position);
    apply_description(done);
  });
}

void Load::change_limit(std::size_t tenant, double times) {
  limits[tenant] = std::floor(first_limits[tenant] * times);
  double const new_limit = limits[tenant];
  // A higher limit may be granted as soon as its change is sent; a lower one binds some time after its acknowledgement.
  if (new_limit > history[tenant].back().rate) history[tenant].push_back(LimitPeriod{world.now(), new_limit});
  apply_description([this, tenant, new_limit] {
    if (new_limit < history[tenant].back().rate)
      history[tenant].push_back(LimitPeriod{world.now() + lower_limit_delay, new_limit});
  });
}

void Load::revoke_key(std::size_t tenant) {
  key_revoked[tenant] = true;
  apply_description([this, tenant] { revoked_at[tenant] = world.now(); });
}

std::vector<MachineId> Load::owners() {
  std::vector<MachineId> out;
  for (MachineId const id : world.replicas())
    if (world.machine(id).up() && world.machine(id).calm()) out.push_back(id);
  return out;
}

MachineId Load::random_plain_machine() { return plan.disks + random.below(plan.plain); }

void Load::heartbeat() {
  ++heartbeat_order;
  for (MachineId id = 0; id < world.size(); ++id) {
    Machine& machine = world.machine(id);
    if (!machine.up()) continue;
    Heartbeat message;
    message.id = "w" + std::to_string(id);
    message.address = "10.9.0." + std::to_string(id + 1) + ":80";
    message.zone = machine.zone;
    message.pool = "p";
    message.slots = 100000;
    message.order = heartbeat_order;
    world.enter(id, machine.process,
                [message](Node& node, Micros now, NodeEffects& out) { node.handle_heartbeat(message, now, out); });
  }
  world.after(heartbeat_interval, [this] { heartbeat(); });
}

void Load::begin() {
  world.boot_all(true);
  world.run(seconds(4));
  apply_description([] {});
  heartbeat();
  world.run(settle_time);
  started_at = world.now();
  is_sending = true;
  for (std::size_t n = 0; n < plan.tenants; ++n) {
    bucket_levels[n] = first_limits[n];
    bucket_updated_at[n] = world.now();
    schedule_next(n);
  }
}

void Load::finish() { is_sending = false; }

void Load::schedule_next(std::size_t tenant) {
  if (!is_sending) return;
  double const mean_tokens = 6000;
  double const rate = first_limits[tenant] * plan.load_ratio * rate_factors[tenant] / mean_tokens /
                      plan.burst_size;  // bursts per second
  double const gap = -std::log(1 - static_cast<double>(random.below(1000000)) / 1e6) / rate;
  world.after(static_cast<Micros>(gap * 1e6), [this, tenant] {
    std::size_t const burst_size = 1 + random.below(static_cast<std::uint64_t>(plan.burst_size * 2 - 1));
    for (std::size_t n = 0; n < burst_size; ++n) send_request(tenant);
    schedule_next(tenant);
  });
}

void Load::send_request(std::size_t tenant) {
  if (!is_sending) return;
  MachineId at = random.below(world.size());
  if (concentrated_on && random.chance(0.9)) at = *concentrated_on;
  Machine& machine = world.machine(at);
  if (!machine.up() || machine.removed || !machine.node->is_ready()) return;
  SentRequest sent;
  sent.tenant = tenant;
  sent.at = world.now();
  sent.count = 500 + static_cast<std::int64_t>(random.below(11000));
  sent.revoked_key = key_revoked[tenant] && random.chance(0.5);
  double const limit = std::min(limits[tenant], history[tenant].back().rate);
  bucket_levels[tenant] =
      std::min(limit, bucket_levels[tenant] + limit * seconds_of(world.now() - bucket_updated_at[tenant]));
  bucket_updated_at[tenant] = world.now();
  sent.within_limit = !sent.revoked_key && bucket_levels[tenant] >= static_cast<double>(sent.count);
  if (sent.within_limit) {
    bucket_levels[tenant] -= static_cast<double>(sent.count);
    figures[tenant].tokens_within_limit += static_cast<double>(sent.count);
  }
  ++figures[tenant].sent;
  std::uint64_t const id = ++next_id;
  in_flight[id] = sent;
  RequestInfo request;
  request.host = "h";
  request.path = "/x";
  request.has_token_counts = true;
  request.input_tokens = sent.count;
  request.key_digest = key_digest_of(key_of(tenant, !sent.revoked_key && key_revoked[tenant]));
  request.time_remaining = seconds(3);
  world.enter(at, machine.process,
              [id, request](Node& node, Micros now, NodeEffects& out) { node.start_request(id, request, now, out); });
}

void Load::handle_dispatch(Machine& machine, DispatchEffects& out) {
  for (Attempt const& start : out.attempts) {
    std::map<std::uint64_t, SentRequest>::iterator const position = in_flight.find(start.request);
    if (position == in_flight.end()) continue;
    judge_run(position->second);
    in_flight.erase(position);
    std::uint64_t const id = start.request;
    MachineId const at = machine.id;
    std::uint64_t const incarnation = machine.process;
    world.after(millis(5), [this, id, at, incarnation] {
      world.enter(at, incarnation, [id](Node& node, Micros now, NodeEffects& done) {
        node.dispatcher.on_sent(id, now);
        node.attempt_ended(id, AttemptEnd::complete, false, now, done);
      });
    });
  }
  for (Rejection const& rejection : out.rejections) {
    std::map<std::uint64_t, SentRequest>::iterator const position = in_flight.find(rejection.request);
    if (position == in_flight.end()) continue;
    SentRequest const& sent = position->second;
    TenantFigures& tenant_figures = figures[sent.tenant];
    if (rejection.error == ErrorCode::over_quota) {
      ++tenant_figures.refused;
      if (sent.within_limit) ++tenant_figures.refused_within_limit;
    } else {
      ++tenant_figures.unavailable;
    }
    if (rejection.error == ErrorCode::unknown_key && !sent.revoked_key)
      record_finding("a valid key was rejected as unknown");
    in_flight.erase(position);
  }
}

double Load::allowed_tokens(std::size_t tenant, Micros from) const {
  double rate = 0;
  std::vector<LimitPeriod> const& periods = history[tenant];
  for (std::size_t n = 0; n < periods.size(); ++n) {
    bool const ended = n + 1 < periods.size() && periods[n + 1].since <= from;
    if (!ended && periods[n].since <= world.now()) rate = std::max(rate, periods[n].rate);
  }
  return (rate * window_s + rate) * (1 + overshoot) + slack;
}

void Load::judge_run(SentRequest const& sent) {
  TenantFigures& tenant_figures = figures[sent.tenant];
  ++tenant_figures.granted;
  tenant_figures.tokens += static_cast<double>(sent.count);
  std::string const name = "tenant-" + std::to_string(sent.tenant);
  bool const revoked = sent.revoked_key && revoked_at[sent.tenant] >= 0;
  if (revoked && sent.at > revoked_at[sent.tenant] + plan.revocation)
    record_finding(name + ": a request runs that was sent " +
                   std::to_string((sent.at - revoked_at[sent.tenant]) / 1000) + " ms after its key was revoked");
  std::deque<GrantedRequest>& last = runs[sent.tenant];
  last.push_back(GrantedRequest{sent.at, world.now(), static_cast<double>(sent.count)});
  Micros const from = world.now() - static_cast<Micros>(window_s * 1e6);
  while (!last.empty() && last.front().at < from) last.pop_front();
  double sum = 0;
  for (GrantedRequest const& run : last)
    if (run.sent >= from) sum += run.count;
  double const allowed = allowed_tokens(sent.tenant, from);
  if (sent.tenant != unlimited())
    tenant_figures.max_window_usage = std::max(tenant_figures.max_window_usage, sum / allowed);
  if (sum > allowed && sent.tenant != unlimited())
    record_finding(name + ": " + std::to_string(sum) + " tokens in a window that allows " + std::to_string(allowed));
}

std::uint64_t Load::messages() const {
  std::uint64_t out = 0;
  for (wire::Body const kind :
       {wire::Body::QuotaRequest, wire::Body::QuotaReply, wire::Body::NewestRequest, wire::Body::NewestReply}) {
    std::map<wire::Body, control_plane_simulator::FrameCount>::const_iterator const position = world.sent.find(kind);
    if (position != world.sent.end()) out += position->second.frames;
  }
  return out;
}

std::uint64_t Load::message_bytes() const {
  std::uint64_t out = 0;
  for (wire::Body const kind :
       {wire::Body::QuotaRequest, wire::Body::QuotaReply, wire::Body::NewestRequest, wire::Body::NewestReply}) {
    std::map<wire::Body, control_plane_simulator::FrameCount>::const_iterator const position = world.sent.find(kind);
    if (position != world.sent.end()) out += position->second.bytes;
  }
  return out;
}

}  // namespace pipit::tenants
