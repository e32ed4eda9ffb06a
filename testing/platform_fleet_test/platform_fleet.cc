#include "testing/platform_fleet_test/platform_fleet.h"

#include <glib-unix.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "testing/platform_fleet_test/clock.h"
#include "testing/platform_fleet_test/worker_parts.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros lag_interval = millis(5);
constexpr Micros max_lag = millis(150);  // with a longer delay of its event loop the experiment can't judge times
constexpr std::size_t max_faults = 200;
constexpr Micros recovery_time_limit = seconds(12);
constexpr double min_recovered_share = 0.25;

// Whether an IP address is a worker's public one (third byte 10 to 99) or private one (110 to 119).
bool is_worker_ip(std::string const& ip) {
  std::size_t const second = ip.find('.', ip.find('.') + 1);
  int const third = std::atoi(ip.c_str() + second + 1);
  return (third >= 10 && third < 100) || (third >= 110 && third < 120);
}
}  // namespace

PlatformFleet::PlatformFleet(PlatformFleetPlan plan_)
    : plan(std::move(plan_)),
      random(plan.seed),
      relay(plan.relayed ? std::make_unique<FaultRelay>(random.next(), Nodes::public_address) : nullptr),
      nodes({plan.folder, plan.program, plan.net, relay.get()}, plan.shape, judge),
      workers(plan.shape, nodes, judge, plan.net, random.next()),
      callers(plan.shape, nodes, judge, plan.net, random.next(), plan.rate_scale),
      operators(plan.shape, nodes, judge, plan.net, random.next()),
      rude(nodes, plan.net, random.next()) {
  ClientConnection::on_unexpected_bytes = [this](std::string_view bytes) {
    judge.report_violation(Promise::mixed, "bytes where no answer is due: " + std::string(bytes.substr(0, 60)));
  };
}

PlatformFleet::~PlatformFleet() { ClientConnection::on_unexpected_bytes = nullptr; }

// Runs the event loop until `condition` is true, for `max_wait` at most.
bool PlatformFleet::run_until(Micros max_wait, std::function<bool()> condition) {
  Micros const end = now() + max_wait;
  while (!interrupted && now() < end) {
    if (condition()) return true;
    g_main_context_iteration(nullptr, TRUE);
  }
  return !interrupted && condition();
}

bool PlatformFleet::run() {
  for (int const signal : {SIGINT, SIGTERM})
    g_unix_signal_add(
        signal,
        [](gpointer data) -> gboolean {
          static_cast<PlatformFleet*>(data)->interrupted = true;
          return TRUE;
        },
        this);
  Micros const started_at = now();
  nodes.start_all();
  run_after(millis(300), [this] { workers.start_all(); });
  run_after(millis(500), [this] { operators.begin(); });
  last_tick = now();
  run_every(lag_interval, [this] {
    Micros const at = now();
    Micros const late = std::max<Micros>(0, at - last_tick - lag_interval);
    loop_delays.push_back(late);
    if (late > max_lag) nodes.record_loop_delay(at);
    last_tick = at;
    return true;
  });
  bool const up = run_until(seconds(20), [this] { return nodes.all_ready() && operators.has_configuration(); });
  ready_after_ms = static_cast<double>(now() - started_at) / 1000;
  if (!up) return false;
  // The times of the faults count from here on, after a settling time from the start of the processes.
  run_until(std::max<Micros>(0, seconds(4) - (now() - started_at)), [] { return false; });
  nodes.polls = nodes.polls_unready = 0;
  loop_delays.clear();
  callers.begin();
  operators.read_periodically();
  operators.probe_periodically();
  std::size_t fault_count = 0;
  for (Fault const& fault : plan.faults)
    if (++fault_count <= max_faults) run_after(fault.at, [this, fault] { inject_fault(fault); });
  run_until(static_cast<Micros>(plan.seconds * 1e6), [] { return false; });
  callers.stop();
  if (interrupted) return false;  // an interrupted experiment is not judged
  Micros longest = 0;
  for (RequestClass const& item : plan.shape.classes) longest = std::max(longest, item.deadline);
  run_until(longest + seconds(1), [this] { return callers.idle(); });
  run_until(seconds(14), [this] { return operators.idle(); });
  run_until(seconds(12), [this] { return nodes.all_in_touch(now()); });
  bool read = false;
  operators.read_back(seconds(3), [&read] { read = true; });
  if (!run_until(seconds(16), [&read] { return read; }))
    judge.report_violation(Promise::config_lost, "reading the configuration back did not end in time");
  operators.stop_reading();
  bool metrics_checked = false;
  nodes.check_metrics([&metrics_checked] { metrics_checked = true; });
  run_until(seconds(3), [&metrics_checked] { return metrics_checked; });
  nodes.sample();
  workers.stop_heartbeats();
  nodes.end_all();
  run_until(seconds(10), [this] { return nodes.all_ended(); });
  std::uint64_t served = 0;
  for (ClassTally const& item : callers.tally.classes) served += item.within_target + item.late;
  std::uint64_t answered = 0;
  for (ClassTally const& item : callers.tally.classes) answered += item.requests;
  if (answered > 0) operators.check_added_routes(static_cast<double>(served) / static_cast<double>(answered));
  if (served == 0) judge.report_violation(Promise::unserved, "no request was served");
  nodes.check_logs();
  check_failures();
  check_recovery();
  judge.check_retries(plan.shape.retry_ratio, plan.shape.extra_retries, seconds(10));
  return !interrupted;
}

std::vector<Node*> PlatformFleet::choose_nodes(Fault const& fault) {
  std::vector<Node*> up;
  for (std::unique_ptr<Node> const& node : nodes.all) {
    if (node->pid <= 0 || node->terminating || node->frozen || node->removed) continue;
    if (fault.on == "core" && !node->core) continue;
    if (fault.on == "plain" && node->core) continue;
    if (fault.on == "seed" && !node->seed) continue;
    up.push_back(node.get());
  }
  std::size_t want = fault.count > 0 ? static_cast<std::size_t>(fault.count)
                                     : static_cast<std::size_t>(fault.share * static_cast<double>(up.size()) + 0.999);
  std::vector<Node*> out;
  while (want-- > 0 && !up.empty()) {
    std::size_t const i = random.below(up.size());
    out.push_back(up[i]);
    up.erase(up.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return out;
}

void PlatformFleet::inject_fault(Fault const& fault) {
  switch (fault.kind) {
    case Fault::Kind::kill:
    case Fault::Kind::restart:
      for (Node* const node : choose_nodes(fault)) nodes.kill(*node, fault.span);
      return;
    case Fault::Kind::term: {
      Micros when = 0;
      for (Node* const node : choose_nodes(fault)) {
        run_after(when, [this, node, fault] { nodes.terminate(*node, fault.span); });
        when += fault.gap;
      }
      return;
    }
    case Fault::Kind::freeze:
      for (Node* const node : choose_nodes(fault)) nodes.freeze(*node, fault.span);
      return;
    case Fault::Kind::crash:
      nodes.record_unplanned_fault(now() + fault.span);
      return workers.crash(fault);
    case Fault::Kind::dark:
      nodes.record_unplanned_fault(now() + fault.span);
      return workers.silence(fault);
    case Fault::Kind::farewell:
    case Fault::Kind::release:
      return workers.release(fault);
    case Fault::Kind::surplus:
    case Fault::Kind::garble:
      nodes.record_unplanned_fault(now() + fault.span);
      return workers.misbehave(fault);
    case Fault::Kind::reload:
      for (Node* const node : choose_nodes(fault)) nodes.reload(*node);
      return;
    case Fault::Kind::wipe:
      for (Node* const node : choose_nodes(fault)) nodes.wipe(*node, fault.span);
      return;
    case Fault::Kind::replace:
      for (Node* const node : choose_nodes(fault)) nodes.replace(*node, fault.span);
      return;
    case Fault::Kind::blackout:
      return blackout(fault);
    case Fault::Kind::rude:
      return rude.connect_clients(fault.count, fault.gap);
    case Fault::Kind::cut:
    case Fault::Kind::deaf:
    case Fault::Kind::halves:
    case Fault::Kind::delay:
    case Fault::Kind::reset:
    case Fault::Kind::lost:
    case Fault::Kind::mute:
      return inject_link_fault(fault);
    case Fault::Kind::burst:
    case Fault::Kind::hot:
      return callers.perform(fault);
    default:
      return operators.perform(fault);
  }
}

// Kills the chosen nodes together; they restart in random order, and x of the core nodes lose their disks.
void PlatformFleet::blackout(Fault const& fault) {
  int disks = static_cast<int>(fault.x);
  for (Node* const node : choose_nodes(fault)) {
    Micros const back = fault.span + static_cast<Micros>(random.below(300000));
    if (node->core && disks-- > 0)
      nodes.wipe(*node, back);
    else
      nodes.kill(*node, back);
  }
}

void PlatformFleet::inject_link_fault(Fault const& fault) {
  if (!relay) return;
  std::set<std::string> chosen;
  std::vector<Node*> const some_nodes = choose_nodes(fault);
  std::size_t const half = some_nodes.size() / 2;
  for (std::size_t n = 0; n < some_nodes.size(); ++n)
    if (fault.kind != Fault::Kind::halves || n < half) chosen.insert(some_nodes[n]->ip);
  std::set<std::string> core;
  for (std::unique_ptr<Node> const& node : nodes.all)
    if (node->core) core.insert(node->ip);
  Micros const until = now() + fault.span;
  bool const variant = fault.x > 0;
  // A node that is cut off from a core node is not in touch. Lost responses can delay every node.
  bool const affects_every_node = fault.kind == Fault::Kind::lost || fault.kind == Fault::Kind::mute ||
                                  fault.kind == Fault::Kind::delay || fault.kind == Fault::Kind::reset;
  for (std::unique_ptr<Node> const& node : nodes.all) {
    bool const halved = fault.kind == Fault::Kind::halves && node->core;
    if (affects_every_node || halved || chosen.count(node->ip) > 0)
      nodes.mark_link_fault(*node, until, !affects_every_node && !halved);
  }
  LinkFault link_fault;
  link_fault.until = until;
  // The relay's thread calls it, so it must not look at the nodes.
  std::function<bool(std::string const&)> const is_node = Nodes::is_node_ip;
  switch (fault.kind) {
    case Fault::Kind::cut:
      link_fault.applies_to = [chosen, is_node, variant](std::string const& from, std::string const& to) {
        bool const separated = (chosen.count(from) > 0) != (chosen.count(to) > 0);
        bool const workers_too = variant && from.compare(0, 4, "127.") == 0;
        if (is_node(from) && is_node(to)) return separated;
        // Clients and operators still reach every node.
        return workers_too && separated && (is_worker_ip(from) || is_worker_ip(to));
      };
      return relay->add_fault(link_fault);
    case Fault::Kind::deaf:
      link_fault.applies_to = [chosen, is_node, variant](std::string const& from, std::string const& to) {
        std::string const& deaf = variant ? from : to;
        std::string const& other = variant ? to : from;
        return is_node(from) && is_node(to) && chosen.count(deaf) > 0 && chosen.count(other) == 0;
      };
      return relay->add_fault(link_fault);
    case Fault::Kind::halves:
      link_fault.applies_to = [chosen, core](std::string const& from, std::string const& to) {
        return core.count(from) > 0 && core.count(to) > 0 && (chosen.count(from) > 0) != (chosen.count(to) > 0);
      };
      return relay->add_fault(link_fault);
    case Fault::Kind::delay:
      link_fault.kind = LinkFault::Kind::delay;
      link_fault.delay = static_cast<Micros>(fault.x * 1e6);
      link_fault.applies_to = [is_node](std::string const& from, std::string const& to) {
        return is_node(from) && is_node(to);
      };
      return relay->add_fault(link_fault);
    case Fault::Kind::lost:
    case Fault::Kind::mute:
      link_fault.kind = LinkFault::Kind::swallow;
      link_fault.chance = fault.share;
      link_fault.port = fault.kind == Fault::Kind::lost ? control_port : worker_port;
      link_fault.applies_to = [](std::string const&, std::string const&) { return true; };
      return relay->add_fault(link_fault);
    default:
      return relay->reset([](std::string const&, std::string const&) { return true; }, fault.share);
  }
}

void PlatformFleet::check_failures() {
  std::map<std::string, std::string> logs;
  for (std::unique_ptr<Node> const& node : nodes.all) {
    std::ifstream file(node->log);
    std::stringstream text;
    text << file.rdbuf();
    logs[node->name] = text.str();
  }
  for (Callers::FailedAttempt const& item : callers.failed)
    if (logs[item.node].find("id " + item.attempt + " ") == std::string::npos &&
        logs[item.node].find(" E506 ") == std::string::npos)
      judge.report_violation(Promise::unexplained, item.attempt + " at " + item.node);
}

// Checks that at least `min_recovered_share` of the requests in the last seconds is served, if all faults ended long
// before.
void PlatformFleet::check_recovery() {
  Micros last = 0;
  for (Fault const& fault : plan.faults) last = std::max(last, fault.at + fault.span);
  Micros const length = static_cast<Micros>(plan.seconds * 1e6);
  if (last + recovery_time_limit + seconds(2) > length) return;
  std::optional<double> const share = callers.served_since(last + recovery_time_limit);
  if (share && *share < min_recovered_share)
    judge.report_violation(Promise::unrecovered,
                           std::to_string(*share) + " of the requests were served after the recovery time");
}

// The value of the responses to their clients: in total, and of the worst class, zone and windows.
void PlatformFleet::report_value(Figures& out) {
  CallersTally& calls = callers.tally;
  double earned = 0;
  double offered_value = 0;
  std::uint64_t asked = 0;
  std::uint64_t unserved = 0;
  double worst_class = 1;
  for (ClassTally const& item : calls.classes) {
    earned += item.earned;
    offered_value += item.offered_value;
    asked += item.requests;
    unserved += item.unserved;
    if (item.offered_value > 0) worst_class = std::min(worst_class, item.earned / item.offered_value);
  }
  std::vector<double> windows;
  std::vector<double> zones;
  for (std::pair<std::int64_t const, std::pair<double, double>> const& item : calls.windows)
    if (item.second.second > 0) windows.push_back(item.second.first / item.second.second);
  for (std::pair<std::string const, std::pair<double, double>> const& item : calls.zones)
    if (item.second.second > 0) zones.push_back(item.second.first / item.second.second);
  std::sort(windows.begin(), windows.end());
  out.put("worth", offered_value > 0 ? earned / offered_value : 0);
  out.put("worth of the two worst windows", windows.size() < 2 ? 0 : (windows[0] + windows[1]) / 2);
  out.put("worth of the worst class", worst_class);
  out.put("worth of the worst zone", zones.empty() ? 0 : *std::min_element(zones.begin(), zones.end()));
  out.put("requests", static_cast<double>(asked));
  out.put("requests unserved", static_cast<double>(unserved));
}

// Latency of the first event, by class and in total, and the delay of relayed events.
void PlatformFleet::report_latency(Figures& out) {
  CallersTally& calls = callers.tally;
  std::vector<Micros> all;
  for (std::size_t of = 0; of < calls.classes.size(); ++of) {
    ClassTally& item = calls.classes[of];
    std::string const name = plan.shape.classes[of].name;
    out.put(name + " requests", static_cast<double>(item.requests));
    out.put(name + " in aim", static_cast<double>(item.within_target));
    out.put(name + " late", static_cast<double>(item.late));
    out.put(name + " unserved", static_cast<double>(item.unserved));
    out.put(name + " worth", item.offered_value > 0 ? item.earned / item.offered_value : 0);
    out.put(name + " first event p50 ms", quantile(item.first, 0.5) / 1000);
    out.put(name + " first event p95 ms", quantile(item.first, 0.95) / 1000);
    out.put(name + " first event p99 ms", quantile(item.first, 0.99) / 1000);
    all.insert(all.end(), item.first.begin(), item.first.end());
  }
  out.put("first event p50 ms", quantile(all, 0.5) / 1000);
  out.put("first event p95 ms", quantile(all, 0.95) / 1000);
  out.put("first event p99 ms", quantile(all, 0.99) / 1000);
  out.put("events passed on p50 ms", quantile(judge.event_transit_times, 0.5) / 1000);
  out.put("events passed on p99 ms", quantile(judge.event_transit_times, 0.99) / 1000);
  out.put("events passed on later than 120 ms",
          static_cast<double>(std::count_if(judge.event_transit_times.begin(), judge.event_transit_times.end(),
                                            [](Micros t) { return t > millis(120); })));
}

// Attempts of the clients, and the responses they received.
void PlatformFleet::report_attempts(Figures& out) {
  CallersTally& calls = callers.tally;
  out.put("attempts", static_cast<double>(calls.attempts));
  out.put("attempts that are further tries", static_cast<double>(calls.retries));
  out.put("attempts that resume", static_cast<double>(calls.resumes));
  out.put("requests given up by their caller", static_cast<double>(calls.abandoned));
  for (std::pair<std::string const, std::uint64_t> const& item : calls.answers)
    out.put("answer: " + item.first, static_cast<double>(item.second));
}

// Requests, connections, tokens and bytes at the workers.
void PlatformFleet::report_workers(Figures& out) {
  CallersTally& calls = callers.tally;
  WorkersTally const work = workers.tally();
  out.put("arrivals at workers", static_cast<double>(work.arrivals));
  out.put("repeats at workers", static_cast<double>(judge.repeats));
  out.put("declined by full workers", static_cast<double>(work.declined));
  out.put("declined, another worker was meant", static_cast<double>(work.wrong_instance));
  out.put("broken off while at work", static_cast<double>(work.abandoned_while_running));
  out.put("probes", static_cast<double>(work.probes));
  out.put("connections to workers", static_cast<double>(work.connections));
  out.put("connections to workers reset over the limit", static_cast<double>(work.over_limit));
  out.put("connections of callers", static_cast<double>(calls.dialled));
  out.put("prompt tokens read", static_cast<double>(work.tokens_prefilled));
  out.put("prompt tokens spared", static_cast<double>(work.cached_tokens_reused));
  out.put("prompt tokens of parts read again", static_cast<double>(work.recomputed_tokens));
  out.put("part of tokens read again", work.tokens_prefilled > 0 ? static_cast<double>(work.recomputed_tokens) /
                                                                       static_cast<double>(work.tokens_prefilled)
                                                                 : 0);
  out.put("requests put back for memory", static_cast<double>(work.preemptions));
  out.put("worker bytes", static_cast<double>(work.bytes));
  out.put("worker bytes across zones", static_cast<double>(work.cross_zone_bytes));
  out.put("mesh bytes", static_cast<double>(nodes.mesh_bytes));
  out.put("mesh bytes across zones", static_cast<double>(nodes.mesh_bytes_across));
  out.put("bytes across zones", static_cast<double>(work.cross_zone_bytes + nodes.mesh_bytes_across));
}

// Configuration changes, their results, and the reads that checked them.
void PlatformFleet::report_configuration(Figures& out) {
  OperatorsTally& changes = operators.tally;
  out.put("configurations acknowledged", static_cast<double>(changes.acknowledged));
  out.put("configuration changes", static_cast<double>(changes.changes));
  out.put("configuration conflicts", static_cast<double>(changes.conflicts));
  out.put("configurations unclear", static_cast<double>(changes.unclear));
  out.put("configuration races", static_cast<double>(changes.races));
  out.put("configurations invalid", static_cast<double>(changes.invalid));
  out.put("configuration checks at nodes", static_cast<double>(changes.checks));
  out.put("metrics read", static_cast<double>(nodes.metrics_read));
  out.put("configuration readings at any node", static_cast<double>(changes.readings));
  out.put("failed requests looked for in logs", static_cast<double>(callers.failed.size()));
  if (relay) {
    out.put("bytes through the relay", static_cast<double>(relay->bytes_forwarded));
    out.put("answers swallowed", static_cast<double>(relay->swallowed));
    out.put("connections reset", static_cast<double>(relay->resets));
  }
  out.put("configuration checks of added routes", static_cast<double>(changes.added_checks));
  out.put("configuration checks of added routes served", static_cast<double>(changes.added_served));
  out.put("configuration slowest effect ms", static_cast<double>(changes.slowest_effect) / 1000);
  out.put("configuration acknowledged p50 ms", quantile(changes.acks, 0.5) / 1000);
  out.put("configuration acknowledged most ms", quantile(changes.acks, 1) / 1000);
}

// Readiness, CPU time and memory of the nodes.
void PlatformFleet::report_nodes(Figures& out) {
  WorkersTally const work = workers.tally();
  out.put("workers that left unacknowledged", static_cast<double>(work.unacknowledged_leaves));
  out.put("readiness polls in calm", static_cast<double>(nodes.polls));
  out.put("readiness polls in calm, not ready", static_cast<double>(nodes.polls_unready));
  double cpu = 0;
  double memory = 0;
  for (std::unique_ptr<Node> const& node : nodes.all) {
    cpu += node->cpu_of_ended_processes + node->cpu;
    memory = std::max(memory, node->memory_mb);
  }
  out.put("nodes", static_cast<double>(nodes.all.size()));
  out.put("node processor seconds", cpu);
  out.put("node memory most MB", memory);
  out.put("ready after ms", ready_after_ms);
}

// CPU time and event loop delays of the experiment itself; times are not judged near delays above `max_lag`.
void PlatformFleet::report_own_load(Figures& out) {
  rusage own;
  getrusage(RUSAGE_SELF, &own);
  out.put("stage processor seconds", static_cast<double>(own.ru_utime.tv_sec + own.ru_stime.tv_sec));
  out.put("stage loop late p99 ms", quantile(loop_delays, 0.99) / 1000);
  out.put("stage loop late most ms", quantile(loop_delays, 1) / 1000);
}

// Broken promises, by promise.
void PlatformFleet::report_promises(Figures& out) {
  for (std::size_t i = 0; i < promise_rows().size(); ++i)
    if (judge.counts[i] > 0)
      out.put(std::string("broken promise ") + promise_rows()[i].name, static_cast<double>(judge.counts[i]));
  out.put("broken promises", static_cast<double>(judge.violation_count()));
  out.broken = judge.details;
}

Figures PlatformFleet::figures() {
  Figures out;
  char text[64];
  out.settings.emplace_back("shape", plan.shape.name);
  std::snprintf(text, sizeof text, "%g", plan.seconds);
  out.settings.emplace_back("seconds", text);
  std::snprintf(text, sizeof text, "%g", plan.rate_scale);
  out.settings.emplace_back("rate-scale", text);
  out.settings.emplace_back("troubles", plan.faults_text);
  out.settings.emplace_back("seed", std::to_string(plan.seed));
  report_value(out);
  report_latency(out);
  report_attempts(out);
  report_workers(out);
  report_configuration(out);
  report_nodes(out);
  report_own_load(out);
  report_promises(out);
  return out;
}

}  // namespace pipit::platform_fleet
