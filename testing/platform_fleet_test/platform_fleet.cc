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

namespace pipit::stage {

namespace {
constexpr Micros lag_tick = millis(5);
constexpr Micros lag_most = millis(150);  // above it the stage itself is no fair judge of time
constexpr std::size_t trouble_most = 200;
constexpr Micros recovery_within = seconds(12);
constexpr double recovered_least = 0.25;

// Workers live at the numbers that the relay gives them, or at their own.
bool worker_ip(std::string const& ip) {
  std::size_t const second = ip.find('.', ip.find('.') + 1);
  int const third = std::atoi(ip.c_str() + second + 1);
  return (third >= 10 && third < 100) || (third >= 110 && third < 120);
}
}  // namespace

Stage::Stage(StagePlan plan_)
    : plan(std::move(plan_)),
      random(plan.seed),
      relay(plan.relayed ? std::make_unique<FaultRelay>(random.next(),
                                                        [this](std::string const& ip) {
                                                          std::string const at = nodes.public_address(ip);
                                                          return at.empty() ? ip : at;
                                                        })
                         : nullptr),
      nodes({plan.folder, plan.program, plan.net, relay.get()}, plan.shape, judge),
      workers(plan.shape, nodes, judge, plan.net, random.next()),
      callers(plan.shape, nodes, judge, plan.net, random.next(), plan.rate_scale),
      operators(plan.shape, nodes, judge, plan.net, random.next()),
      rude(nodes, plan.net, random.next()) {
  Line::stray = [this](std::string_view bytes) {
    judge.broken(Promise::mixed, "bytes where no answer is due: " + std::string(bytes.substr(0, 60)));
  };
}

Stage::~Stage() { Line::stray = nullptr; }

// Runs the loop until it holds, or for so long at most.
bool Stage::until(Micros most, std::function<bool()> yes) {
  Micros const end = now() + most;
  while (!interrupted && now() < end) {
    if (yes()) return true;
    g_main_context_iteration(nullptr, TRUE);
  }
  return !interrupted && yes();
}

bool Stage::run() {
  for (int const signal : {SIGINT, SIGTERM})
    g_unix_signal_add(
        signal,
        [](gpointer data) -> gboolean {
          static_cast<Stage*>(data)->interrupted = true;
          return TRUE;
        },
        this);
  Micros const launched = now();
  nodes.start_all();
  after(millis(300), [this] { workers.start_all(); });
  after(millis(500), [this] { operators.begin(); });
  last_turn = now();
  every(lag_tick, [this] {
    Micros const at = now();
    Micros const late = std::max<Micros>(0, at - last_turn - lag_tick);
    lags.push_back(late);
    if (late > lag_most) nodes.held_up(at);
    last_turn = at;
    return true;
  });
  bool const up = until(seconds(20), [this] { return nodes.all_ready() && operators.begun(); });
  ready_after = static_cast<double>(now() - launched) / 1000;
  if (!up) return false;
  // Troubles count from here on, and what the start unsettled has settled.
  until(std::max<Micros>(0, seconds(4) - (now() - launched)), [] { return false; });
  nodes.polls = nodes.polls_unready = 0;
  lags.clear();
  callers.begin();
  operators.read_all_the_time();
  std::size_t many = 0;
  for (Trouble const& trouble : plan.troubles)
    if (++many <= trouble_most) after(trouble.at, [this, trouble] { perform(trouble); });
  until(static_cast<Micros>(plan.seconds * 1e6), [] { return false; });
  callers.stop();
  if (interrupted) return false;  // what was cut short is not judged
  Micros longest = 0;
  for (RequestClass const& item : plan.shape.classes) longest = std::max(longest, item.deadline);
  until(longest + seconds(1), [this] { return callers.idle(); });
  until(seconds(14), [this] { return operators.idle(); });
  until(seconds(12), [this] { return nodes.calm(now()); });
  bool read = false;
  operators.read_back(seconds(3), [&read] { read = true; });
  if (!until(seconds(16), [&read] { return read; })) judge.broken(Promise::config_lost, "reading back never ended");
  operators.stop_reading();
  bool told = false;
  nodes.look_at_metrics([&told] { told = true; });
  until(seconds(3), [&told] { return told; });
  nodes.sample();
  workers.quiet();
  nodes.end_all();
  until(seconds(10), [this] { return nodes.all_gone(); });
  std::uint64_t served = 0;
  for (ClassTally const& item : callers.tally.classes) served += item.within_target + item.late;
  if (served == 0) judge.broken(Promise::unserved, "no request was served");
  nodes.look_at_logs();
  look_at_failures();
  look_at_recovery();
  judge.look_at_retries(plan.shape.retry_ratio, plan.shape.extra_retries, seconds(10));
  return !interrupted;
}

std::vector<Node*> Stage::some(Trouble const& trouble) {
  std::vector<Node*> up;
  for (std::unique_ptr<Node> const& node : nodes.all) {
    if (node->pid <= 0 || node->leaving || node->frozen || node->removed) continue;
    if (trouble.on == "core" && !node->core) continue;
    if (trouble.on == "plain" && node->core) continue;
    if (trouble.on == "seed" && !node->seed) continue;
    up.push_back(node.get());
  }
  std::size_t want = trouble.count > 0
                         ? static_cast<std::size_t>(trouble.count)
                         : static_cast<std::size_t>(trouble.share * static_cast<double>(up.size()) + 0.999);
  std::vector<Node*> out;
  while (want-- > 0 && !up.empty()) {
    std::size_t const i = random.below(up.size());
    out.push_back(up[i]);
    up.erase(up.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return out;
}

void Stage::perform(Trouble const& trouble) {
  switch (trouble.kind) {
    case Trouble::Kind::kill:
    case Trouble::Kind::restart:
      for (Node* const node : some(trouble)) nodes.kill(*node, trouble.span);
      return;
    case Trouble::Kind::term: {
      Micros when = 0;
      for (Node* const node : some(trouble)) {
        after(when, [this, node, trouble] { nodes.term(*node, trouble.span); });
        when += trouble.gap;
      }
      return;
    }
    case Trouble::Kind::freeze:
      for (Node* const node : some(trouble)) nodes.freeze(*node, trouble.span);
      return;
    case Trouble::Kind::crash:
      nodes.unplanned(now() + trouble.span);
      return workers.crash(trouble);
    case Trouble::Kind::dark:
      nodes.unplanned(now() + trouble.span);
      return workers.dark(trouble);
    case Trouble::Kind::farewell:
    case Trouble::Kind::release:
      return workers.release(trouble);
    case Trouble::Kind::surplus:
    case Trouble::Kind::garble:
      nodes.unplanned(now() + trouble.span);
      return workers.lie(trouble);
    case Trouble::Kind::reload:
      for (Node* const node : some(trouble)) nodes.reload(*node);
      return;
    case Trouble::Kind::wipe:
      for (Node* const node : some(trouble)) nodes.wipe(*node, trouble.span);
      return;
    case Trouble::Kind::replace:
      for (Node* const node : some(trouble)) nodes.replace(*node, trouble.span);
      return;
    case Trouble::Kind::blackout:
      return blackout(trouble);
    case Trouble::Kind::rude:
      return rude.come(trouble.count, trouble.gap);
    case Trouble::Kind::cut:
    case Trouble::Kind::deaf:
    case Trouble::Kind::halves:
    case Trouble::Kind::delay:
    case Trouble::Kind::reset:
    case Trouble::Kind::lost:
    case Trouble::Kind::mute:
      return perform_on_links(trouble);
    case Trouble::Kind::burst:
    case Trouble::Kind::hot:
      return callers.perform(trouble);
    default:
      return operators.perform(trouble);
  }
}

// All are killed at one moment, and come back in any order; some of those with a disk come back without it.
void Stage::blackout(Trouble const& trouble) {
  int disks = static_cast<int>(trouble.x);
  for (Node* const node : some(trouble)) {
    Micros const back = trouble.span + static_cast<Micros>(random.below(300000));
    if (node->core && disks-- > 0)
      nodes.wipe(*node, back);
    else
      nodes.kill(*node, back);
  }
}

void Stage::perform_on_links(Trouble const& trouble) {
  if (!relay) return;
  std::set<std::string> chosen;
  std::vector<Node*> const some_nodes = some(trouble);
  std::size_t const half = some_nodes.size() / 2;
  for (std::size_t n = 0; n < some_nodes.size(); ++n)
    if (trouble.kind != Trouble::Kind::halves || n < half) chosen.insert(some_nodes[n]->ip);
  std::set<std::string> core;
  for (std::unique_ptr<Node> const& node : nodes.all)
    if (node->core) core.insert(node->ip);
  Micros const until = now() + trouble.span;
  bool const other_way = trouble.x > 0;
  // Whoever is cut off from one of the core is not in touch, and lost answers hold up anybody.
  bool const all_troubled = trouble.kind == Trouble::Kind::lost || trouble.kind == Trouble::Kind::mute ||
                            trouble.kind == Trouble::Kind::delay || trouble.kind == Trouble::Kind::reset;
  for (std::unique_ptr<Node> const& node : nodes.all) {
    bool const halved = trouble.kind == Trouble::Kind::halves && node->core;
    if (all_troubled || halved || chosen.count(node->ip) > 0) nodes.troubled(*node, until);
  }
  LinkFault fault;
  fault.until = until;
  std::function<bool(std::string const&)> const is_node = [this](std::string const& ip) {
    return nodes.by_ip(ip) != nullptr;
  };
  switch (trouble.kind) {
    case Trouble::Kind::cut:
      fault.concerns = [chosen, is_node, other_way](std::string const& from, std::string const& to) {
        bool const apart = (chosen.count(from) > 0) != (chosen.count(to) > 0);
        bool const workers_too = other_way && from.compare(0, 4, "127.") == 0;
        if (is_node(from) && is_node(to)) return apart;
        // Callers and operators reach them all the same.
        return workers_too && apart && (worker_ip(from) || worker_ip(to));
      };
      return relay->begin(fault);
    case Trouble::Kind::deaf:
      fault.concerns = [chosen, is_node, other_way](std::string const& from, std::string const& to) {
        std::string const& deaf = other_way ? from : to;
        std::string const& other = other_way ? to : from;
        return is_node(from) && is_node(to) && chosen.count(deaf) > 0 && chosen.count(other) == 0;
      };
      return relay->begin(fault);
    case Trouble::Kind::halves:
      fault.concerns = [chosen, core](std::string const& from, std::string const& to) {
        return core.count(from) > 0 && core.count(to) > 0 && (chosen.count(from) > 0) != (chosen.count(to) > 0);
      };
      return relay->begin(fault);
    case Trouble::Kind::delay:
      fault.kind = LinkFault::Kind::delay;
      fault.span = static_cast<Micros>(trouble.x * 1e6);
      fault.concerns = [is_node](std::string const& from, std::string const& to) {
        return is_node(from) && is_node(to);
      };
      return relay->begin(fault);
    case Trouble::Kind::lost:
    case Trouble::Kind::mute:
      fault.kind = LinkFault::Kind::swallow;
      fault.chance = trouble.share;
      fault.port = trouble.kind == Trouble::Kind::lost ? control_port : worker_port;
      fault.concerns = [](std::string const&, std::string const&) { return true; };
      return relay->begin(fault);
    default:
      return relay->reset([](std::string const&, std::string const&) { return true; }, trouble.share);
  }
}

void Stage::look_at_failures() {
  std::map<std::string, std::string> logs;
  for (std::unique_ptr<Node> const& node : nodes.all) {
    std::ifstream file(node->log);
    std::stringstream text;
    text << file.rdbuf();
    logs[node->name] = text.str();
  }
  for (Callers::Failed const& item : callers.failed)
    if (logs[item.node].find("id " + item.attempt + " ") == std::string::npos &&
        logs[item.node].find(" E506 ") == std::string::npos)
      judge.broken(Promise::unexplained, item.attempt + " at " + item.node);
}

// Of what was sent in the last seconds of the experiment at least a quarter is served, where all troubles were over
// long before.
void Stage::look_at_recovery() {
  Micros last = 0;
  for (Trouble const& trouble : plan.troubles) last = std::max(last, trouble.at + trouble.span);
  Micros const length = static_cast<Micros>(plan.seconds * 1e6);
  if (last + recovery_within + seconds(2) > length) return;
  std::optional<double> const share = callers.served_since(last + recovery_within);
  if (share && *share < recovered_least)
    judge.broken(Promise::unrecovered, std::to_string(*share) + " of the requests long after the last trouble");
}

Figures Stage::figures() {
  Figures out;
  char text[64];
  out.words.emplace_back("shape", plan.shape.name);
  std::snprintf(text, sizeof text, "%g", plan.seconds);
  out.words.emplace_back("seconds", text);
  std::snprintf(text, sizeof text, "%g", plan.rate_scale);
  out.words.emplace_back("rate-scale", text);
  out.words.emplace_back("troubles", plan.troubles_text);
  out.words.emplace_back("seed", std::to_string(plan.seed));
  CallersTally& c = callers.tally;
  double earned = 0;
  double owed = 0;
  std::uint64_t asked = 0;
  std::uint64_t unserved = 0;
  double worst_class = 1;
  for (ClassTally const& item : c.classes) {
    earned += item.earned;
    owed += item.owed;
    asked += item.asked;
    unserved += item.unserved;
    if (item.owed > 0) worst_class = std::min(worst_class, item.earned / item.owed);
  }
  std::vector<double> windows;
  std::vector<double> zones;
  for (std::pair<std::int64_t const, std::pair<double, double>> const& item : c.windows)
    if (item.second.second > 0) windows.push_back(item.second.first / item.second.second);
  for (std::pair<std::string const, std::pair<double, double>> const& item : c.zones)
    if (item.second.second > 0) zones.push_back(item.second.first / item.second.second);
  std::sort(windows.begin(), windows.end());
  out.put("worth", owed > 0 ? earned / owed : 0);
  out.put("worth of the two worst windows", windows.size() < 2 ? 0 : (windows[0] + windows[1]) / 2);
  out.put("worth of the worst class", worst_class);
  out.put("worth of the worst zone", zones.empty() ? 0 : *std::min_element(zones.begin(), zones.end()));
  out.put("requests", static_cast<double>(asked));
  out.put("requests unserved", static_cast<double>(unserved));
  std::vector<Micros> all;
  for (std::size_t of = 0; of < c.classes.size(); ++of) {
    ClassTally& item = c.classes[of];
    std::string const name = plan.shape.classes[of].name;
    out.put(name + " requests", static_cast<double>(item.asked));
    out.put(name + " in aim", static_cast<double>(item.within_target));
    out.put(name + " late", static_cast<double>(item.late));
    out.put(name + " unserved", static_cast<double>(item.unserved));
    out.put(name + " worth", item.owed > 0 ? item.earned / item.owed : 0);
    out.put(name + " first event p50 ms", quantile(item.first, 0.5) / 1000);
    out.put(name + " first event p95 ms", quantile(item.first, 0.95) / 1000);
    out.put(name + " first event p99 ms", quantile(item.first, 0.99) / 1000);
    all.insert(all.end(), item.first.begin(), item.first.end());
  }
  out.put("first event p50 ms", quantile(all, 0.5) / 1000);
  out.put("first event p95 ms", quantile(all, 0.95) / 1000);
  out.put("first event p99 ms", quantile(all, 0.99) / 1000);
  out.put("events passed on p50 ms", quantile(judge.passing, 0.5) / 1000);
  out.put("events passed on p99 ms", quantile(judge.passing, 0.99) / 1000);
  out.put("events passed on later than 120 ms",
          static_cast<double>(
              std::count_if(judge.passing.begin(), judge.passing.end(), [](Micros t) { return t > millis(120); })));
  out.put("attempts", static_cast<double>(c.attempts));
  out.put("attempts that are further tries", static_cast<double>(c.retries));
  out.put("attempts that resume", static_cast<double>(c.resumes));
  out.put("requests given up by their caller", static_cast<double>(c.gave_up));
  for (std::pair<std::string const, std::uint64_t> const& item : c.answers)
    out.put("answer: " + item.first, static_cast<double>(item.second));
  WorkersTally const w = workers.tally();
  out.put("arrivals at workers", static_cast<double>(w.arrivals));
  out.put("repeats at workers", static_cast<double>(judge.repeats));
  out.put("declined by full workers", static_cast<double>(w.declined));
  out.put("declined, another worker was meant", static_cast<double>(w.elsewhere));
  out.put("broken off while at work", static_cast<double>(w.broken_off));
  out.put("probes", static_cast<double>(w.probes));
  out.put("connections to workers", static_cast<double>(w.connections));
  out.put("connections to workers reset over the limit", static_cast<double>(w.over_limit));
  out.put("connections of callers", static_cast<double>(c.dialled));
  out.put("prompt tokens read", static_cast<double>(w.tokens_read));
  out.put("prompt tokens spared", static_cast<double>(w.tokens_spared));
  out.put("prompt tokens of parts read again", static_cast<double>(w.tokens_again));
  out.put("part of tokens read again",
          w.tokens_read > 0 ? static_cast<double>(w.tokens_again) / static_cast<double>(w.tokens_read) : 0);
  out.put("requests put back for memory", static_cast<double>(w.put_back));
  out.put("worker bytes", static_cast<double>(w.bytes));
  out.put("worker bytes across zones", static_cast<double>(w.bytes_across));
  out.put("mesh bytes", static_cast<double>(nodes.mesh_bytes));
  out.put("mesh bytes across zones", static_cast<double>(nodes.mesh_bytes_across));
  out.put("bytes across zones", static_cast<double>(w.bytes_across + nodes.mesh_bytes_across));
  OperatorsTally& o = operators.tally;
  out.put("configurations acknowledged", static_cast<double>(o.acknowledged));
  out.put("configuration changes", static_cast<double>(o.changes));
  out.put("configuration conflicts", static_cast<double>(o.conflicts));
  out.put("configurations unclear", static_cast<double>(o.unclear));
  out.put("configuration races", static_cast<double>(o.races));
  out.put("configurations invalid", static_cast<double>(o.invalid));
  out.put("configuration checks at nodes", static_cast<double>(o.checks));
  out.put("metrics read", static_cast<double>(nodes.metrics_read));
  out.put("configuration readings at any node", static_cast<double>(o.readings));
  out.put("failed requests looked for in logs", static_cast<double>(callers.failed.size()));
  if (relay) {
    out.put("bytes through the relay", static_cast<double>(relay->carried));
    out.put("answers swallowed", static_cast<double>(relay->swallowed));
    out.put("connections reset", static_cast<double>(relay->resets));
  }
  out.put("configuration acknowledged p50 ms", quantile(o.acks, 0.5) / 1000);
  out.put("configuration acknowledged most ms", quantile(o.acks, 1) / 1000);
  out.put("workers that left unacknowledged", static_cast<double>(w.leaves_unacknowledged));
  out.put("readiness polls in calm", static_cast<double>(nodes.polls));
  out.put("readiness polls in calm, not ready", static_cast<double>(nodes.polls_unready));
  double cpu = 0;
  double memory = 0;
  for (std::unique_ptr<Node> const& node : nodes.all) {
    cpu += node->cpu_ended + node->cpu;
    memory = std::max(memory, node->memory_mb);
  }
  out.put("nodes", static_cast<double>(nodes.all.size()));
  out.put("node processor seconds", cpu);
  out.put("node memory most MB", memory);
  out.put("ready after ms", ready_after);
  rusage own;
  getrusage(RUSAGE_SELF, &own);
  out.put("stage processor seconds", static_cast<double>(own.ru_utime.tv_sec + own.ru_stime.tv_sec));
  out.put("stage loop late p99 ms", quantile(lags, 0.99) / 1000);
  out.put("stage loop late most ms", quantile(lags, 1) / 1000);
  for (std::size_t i = 0; i < promise_rows().size(); ++i)
    if (judge.counts[i] > 0)
      out.put(std::string("broken promise ") + promise_rows()[i].name, static_cast<double>(judge.counts[i]));
  out.put("broken promises", static_cast<double>(judge.total()));
  out.broken = judge.details;
  return out;
}

}  // namespace pipit::stage
