// The phases of a run: start, calm, changes, restarts, a cut zone, a lost region (§10.5).
#include <sys/resource.h>

#include <algorithm>

#include "base/events.h"
#include "testing/cost_simulator/machine.h"
#include "testing/cost_simulator/processor_time.h"
#include "testing/cost_simulator/scale.h"

namespace pipit {

namespace {
constexpr Micros check_interval = millis(100);
}  // namespace

// Who holds whom for not alive, every tenth of a second. What was ended, started or cut off a short while ago, or is
// held so by one that was, is no false suspicion.
void Scale::check_suspicions() {
  bool const cut_lately = !zone_cut.empty() || now - healed_at < seconds(6);
  for (int i = 0; i < plan.nodes; ++i) {
    Machine const& m = *machines[static_cast<std::size_t>(i)];
    if (!m.up()) continue;
    for (std::pair<std::string const, Peer> const& item : m.node->mesh.members.peers) {
      int const j = by_name.at(item.first);
      std::pair<int, int> const pair{i, j};
      if (item.second.state() == MemberState::alive) {
        if (!suspected.empty()) suspected.erase(pair);
        continue;
      }
      unwell_at = now;
      Machine const& other = *machines[static_cast<std::size_t>(j)];
      bool const expected =
          !other.up() || now - other.troubled < seconds(6) || now - m.troubled < seconds(6) || cut_lately;
      if (!suspected.insert(pair).second || expected) continue;
      ++suspicions;
    }
  }
  after(check_interval, [this] { check_suspicions(); });
}

bool Scale::all_ready() const {
  for (std::unique_ptr<Machine> const& m : machines)
    if (!m->up() || !m->node->is_ready()) return false;
  return true;
}

bool Scale::all_alive() const {
  for (std::unique_ptr<Machine> const& m : machines) {
    if (!m->up()) return false;
    if (m->node->mesh.members.peers.size() + 1 != machines.size()) return false;
    for (std::pair<std::string const, Peer> const& item : m->node->mesh.members.peers)
      if (item.second.state() != MemberState::alive || item.second.connection == 0) return false;
  }
  return true;
}

// Runs events until a moment, or until something holds, which is looked at every tenth of a second. False when the
// processor time of the run is used up.
bool Scale::go_until(Micros when, std::function<bool()> const& done) {
  std::uint64_t n = 0;
  Micros next_check = now;
  while (!events.empty() && events.top().at <= when) {
    if (++n % 256 == 0 && processor() - started > plan.limit * 1000) {
      stopped = "its processor time of " + std::to_string(plan.limit / 1000000) + " s is used up";
      return false;
    }
    Event_ item = events.top();
    events.pop();
    now = std::max(now, item.at);
    item.act();
    if (done && now >= next_check) {
      next_check = now + check_interval;
      if (done()) return true;
    }
  }
  now = std::max(now, when);
  return true;
}

void Scale::begin(std::string const& name) {
  if (phase != nullptr) phase->to = now;
  phases.emplace_back(name, Phase());
  phase = &phases.back().second;
  phase->from = now;
}

// All nodes start, hold one description and take requests. False when the run cannot go on.
bool Scale::run_start(Figures& out) {
  for (int i = 0; i < plan.nodes; ++i) after(between(0, seconds(1)), [this, i] { boot(i); });
  after(check_interval, [this] { check_suspicions(); });
  begin("start");
  bool more = go_until(seconds(180), [this] { return all_ready() && all_alive(); });
  if (more && !all_ready()) stopped = "after 180 s not every node was ready", more = false;
  if (more) out.add("start.ready_s", static_cast<double>(now) / 1e6);
  if (more) {
    change();
    more = go_until(now + seconds(20), [this] { return !everywhere_after.empty(); });
  }
  if (more && everywhere_after.empty()) stopped = "the first description did not get everywhere", more = false;
  everywhere_after.clear();
  yes_after.clear();
  turns.clear();
  suspicions = 0;
  if (more) {
    for (std::unique_ptr<Machine>& m : machines) fill(*m);
    more = go_until(now + seconds(3));
  }
  calling = true;
  return more;
}

bool Scale::run_change(Figures& out) {
  begin("change");
  Micros const from = now;
  for (Micros t = 0; t + seconds(2) <= plan.span; t += seconds(2)) at(from + t, [this] { change(); });
  bool const more = go_until(from + plan.span);
  out.add("change.count", static_cast<double>(turns.size()));
  return more;
}

// Ends one router, every other time silently, and starts it again six seconds later.
void Scale::restart(int who, bool silent) {
  Kill kill;
  kill.who = who;
  kill.at = now;
  kill.silent = silent;
  halt(who, kill.silent);
  for (int j = 0; j < plan.nodes; ++j)
    if (machines[static_cast<std::size_t>(j)]->up()) kill.pending.insert(j);
  kills.push_back(std::move(kill));
  after(seconds(6), [this, who] {
    boot(who);
    for (Kill& past : kills)
      if (past.who == who) missed += past.pending.size(), past.pending.clear();
  });
}

bool Scale::run_restart(Figures& out) {
  begin("restart");
  Micros const from = now;
  int const routers = plan.nodes - plan.replicas;
  int const count = std::max(2, std::min(12, routers / 4));
  for (int i = 0; i < count; ++i) {
    int const who = plan.replicas + (i * routers / count) % routers;
    at(from + plan.span * i / count, [this, who, i] { restart(who, i % 2 == 1); });
  }
  bool const more = go_until(from + plan.span + seconds(12));
  out.add("restart.count", count);
  return more;
}

bool Scale::run_cut(Figures& out) {
  begin("cut");
  Micros const from = now;
  zone_cut = zones[4 % zones.size()];
  bool more = go_until(from + plan.span);
  heal();
  Micros const healed = now;
  if (more) more = go_until(healed + seconds(40), [this] { return all_alive() && all_ready(); });
  if (more) out.add("cut.whole_again_ms", static_cast<double>(now - healed) / 1000);
  return more && go_until(now + seconds(8));
}

// Every machine of one region loses its power, and all of them return in one second.
bool Scale::run_region(Figures& out) {
  begin("region");
  Micros const from = now;
  std::vector<int> lost;
  for (int i = plan.replicas; i < plan.nodes; ++i)
    if (machines[static_cast<std::size_t>(i)]->region == 3) lost.push_back(i);
  for (int const who : lost) halt(who, true);
  bool more = go_until(from + plan.span);
  for (int const who : lost) after(between(0, seconds(1)), [this, who] { boot(who); });
  Micros const back = now;
  if (more) more = go_until(back + seconds(60), [this] { return all_alive() && all_ready(); });
  if (more) out.add("region.whole_again_ms", static_cast<double>(now - back) / 1000);
  out.add("region.nodes", static_cast<double>(lost.size()));
  return more && go_until(now + seconds(4));
}

bool Scale::wants(char const* name) const {
  return std::find(plan.phases.begin(), plan.phases.end(), name) != plan.phases.end();
}

Figures Scale::run() {
  mute_log(true);
  started = processor();
  Figures out;
  bool more = run_start(out);
  Micros const calm_from = now;
  if (more) begin("calm"), more = go_until(calm_from + plan.span);
  if (more && wants("change")) more = run_change(out);
  if (more && wants("restart")) more = run_restart(out);
  if (more && wants("cut")) more = run_cut(out);
  if (more && wants("region")) run_region(out);
  out.add("processor_s", static_cast<double>(processor() - started) / 1e9);
  // Of the whole process, the machines' side with it, and never less than for a size that ran before.
  struct rusage use {};
  getrusage(RUSAGE_SELF, &use);
  out.add("process_peak_mb", static_cast<double>(use.ru_maxrss) / 1024);
  finish(out);
  return out;
}

}  // namespace pipit
