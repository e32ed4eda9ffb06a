// Workers and callers of a world (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

void World::start_process(WorkerProcess& process) {
  process.process_id = process.row.incarnation;
  process.woke = now;
  process.frozen = false;
  process.cold_starts.clear();
  process.history.clear();
}

void World::stop_process(WorkerProcess& process) {
  process.process_id = 0;
  process.runs.clear();
}

void World::write_list() {
  std::vector<ListRow> rows;
  for (std::pair<std::string const, std::unique_ptr<WorkerProcess>> const& item : processes) {
    if (item.second->state == "gone") continue;
    ListRow row = item.second->row;
    row.leaving = item.second->state == "leaving";
    rows.push_back(row);
  }
  list.emplace_back(now, rows);
  if (list.size() > 60) list.erase(list.begin(), list.begin() + 20);
}

// One attempt: the connection opens, the request leaves, the worker runs it, the answer begins and ends.
void World::attempt(Box& box, ChatAttemptStart const& start) {
  std::string const name = box.name;
  std::uint64_t const process_id = box.process_id;
  std::uint64_t const chat_request = start.chat_request;
  int const number = start.attempt;
  std::uint64_t const wish = box.chat_requests.count(chat_request) ? box.chat_requests[chat_request] : 0;
  box.attempts[chat_request] = number;
  WorkerProcess& process = *processes[start.worker];
  auto const done = [this, name, process_id, chat_request, number](ChatAttemptEnd how) {
    enter(*boxes[name], process_id, [chat_request, number, how](Box& b, Micros t, NodeEffects& out) {
      std::map<std::uint64_t, int>::const_iterator const position = b.attempts.find(chat_request);
      if (position == b.attempts.end() || position->second != number) return;
      b.node->chat_attempt_ended(chat_request, how, "", 0, t, out);
    });
  };
  if (process.process_id == 0) return after(lag(), [done] { done(ChatAttemptEnd::unreached); });
  if (cut(name, start.worker)) return after(seconds(1), [done] { done(ChatAttemptEnd::unreached); });
  std::uint64_t const worker_process_id = process.process_id;
  std::string const worker = start.worker;
  Micros const answer = start.first_byte_timeout;
  Micros const stall = start.idle_timeout;
  after(lag(), [this, name, process_id, chat_request, number, worker, worker_process_id, wish, answer, stall, done] {
    Box& item = *boxes[name];
    if (!item.up() || item.process_id != process_id || !item.attempts.count(chat_request) ||
        item.attempts[chat_request] != number)
      return;
    if (processes[worker]->process_id != worker_process_id) return done(ChatAttemptEnd::unreached);
    // The connection is open: from here a byte may have left, even if this node is stopped in the very next moment.
    item.node->chat_attempt_sent(chat_request);
    after(lag(), [this, name, process_id, chat_request, number, worker, worker_process_id, wish, stall] {
      arrive(name, process_id, chat_request, number, worker, worker_process_id, wish, stall);
    });
    after(answer, [this, name, process_id, chat_request, number, worker, worker_process_id, wish, done] {
      Box& late = *boxes[name];
      if (late.up() && late.process_id == process_id && late.attempts.count(chat_request) &&
          late.attempts[chat_request] == number &&
          !(late.begun.count(chat_request) && late.begun[chat_request] == number)) {
        processes[worker]->runs.erase(wish);
        done(ChatAttemptEnd::silent);
      }
    });
  });
}

void World::arrive(std::string const& name, std::uint64_t process_id, std::uint64_t chat_request, int number,
                   std::string const& worker, std::uint64_t worker_process_id, std::uint64_t wish, Micros stall) {
  WorkerProcess& process = *processes[worker];
  auto const done = [this, name, process_id, chat_request, number](ChatAttemptEnd how) {
    enter(*boxes[name], process_id, [chat_request, number, how](Box& b, Micros t, NodeEffects& out) {
      std::map<std::uint64_t, int>::const_iterator const position = b.attempts.find(chat_request);
      if (position == b.attempts.end() || position->second != number) return;
      if (how == ChatAttemptEnd::done) {
        b.attempts.erase(chat_request);
        b.chat_requests.erase(chat_request);
      }
      b.node->chat_attempt_ended(chat_request, how, "", 0, t, out);
    });
  };
  if (process.process_id != worker_process_id) return after(lag(), [done] { done(ChatAttemptEnd::broke); });
  if (process.refusing) return after(lag(), [done] { done(ChatAttemptEnd::refused); });
  Wish& item = *wishes[wish];
  if (item.knocked < 0) item.knocked = now;
  if (process.frozen) {  // it lies in the worker's socket until the worker wakes
    after(millis(200), [this, name, process_id, chat_request, number, worker, worker_process_id, wish, stall] {
      arrive(name, process_id, chat_request, number, worker, worker_process_id, wish, stall);
    });
    return;
  }
  Box& box = *boxes[name];
  // It came when it reached the worker's socket, though the worker may have stood still since.
  Micros const arrived_at = item.knocked;
  item.knocked = -1;
  ++item.begun;
  ++end.runs;
  note(worker + " runs " + item.tag);
  // The bounds on where requests may go are judged where they arrive.
  std::map<std::uint64_t, Micros> const& marked = departures[worker];
  bool const unread =
      list_down && marked.count(process.process_id) && marked.at(process.process_id) >= list_down_from - millis(1500);
  if (marked.count(process.process_id) && !unread) {
    Micros const gap = arrived_at - marked.at(process.process_id);
    end.margins.departure = std::max(end.margins.departure, gap);
    if (gap > seconds(3))
      fault("N5 " + worker + " got a request from " + name + " " + std::to_string(gap / 1000) + " ms after its mark");
  }
  for (DrainedZones const& zone : drained_zones[process.row.zone]) {
    if (zone.to >= 0 && arrived_at >= zone.to) continue;
    Micros const gap = arrived_at - zone.from;
    end.margins.empty = std::max(end.margins.empty, gap);
    if (gap > seconds(5))
      fault("N6 " + worker + " got a request from " + name + " " + std::to_string(gap / 1000) + " ms after the yes");
  }
  if (now - process.woke < seconds(5) && process.woke > seconds(4)) {
    process.cold_starts.push_back(now);
    int n = 0;
    for (Micros const t : process.cold_starts)
      if (now - t < seconds(1)) ++n;
    end.margins.cold = std::max(end.margins.cold, n);
    if (n > plan.shape->cold)
      fault("N11 " + worker + " got " + std::to_string(n) + " within a second of its cold start");
  }
  // Whoever sent it may be gone already: then its connection is shut and the worker stops at once.
  if (!box.up() || box.process_id != process_id) return;
  process.runs.insert(wish);
  process.history.emplace_back(now, static_cast<std::int64_t>(process.runs.size()));
  if (process.history.size() > 400) process.history.erase(process.history.begin(), process.history.begin() + 200);
  Micros const first = lag(millis(10), millis(200));
  Micros const complete = first + lag(millis(100), millis(1500));
  after(first, [this, name, process_id, chat_request, number, worker, worker_process_id, wish, done] {
    WorkerProcess& here = *processes[worker];
    if (here.process_id != worker_process_id || !here.runs.count(wish)) {
      if (here.process_id != worker_process_id) done(ChatAttemptEnd::broke);
      return;
    }
    if (here.frozen) return;  // the answer's time will run out
    enter(*boxes[name], process_id, [chat_request, number](Box& b, Micros, NodeEffects&) {
      if (!b.attempts.count(chat_request) || b.attempts[chat_request] != number) return;
      b.begun[chat_request] = number;
      b.node->chat_attempt_began(chat_request);
    });
  });
  after(complete, [this, worker, worker_process_id, wish, stall, done] {
    WorkerProcess& here = *processes[worker];
    if (here.process_id != worker_process_id) return done(ChatAttemptEnd::torn);
    if (here.frozen) return after(stall, [done] { done(ChatAttemptEnd::torn); });
    if (!here.runs.count(wish)) return;
    here.runs.erase(wish);
    here.history.emplace_back(now, static_cast<std::int64_t>(here.runs.size()));
    ++wishes[wish]->ended;
    after(lag(), [this, wish, done] {
      done(ChatAttemptEnd::done);
      request_ended(wish, "done", 0);
    });
  });
}

void World::call() {
  std::unique_ptr<Wish> wish = std::make_unique<Wish>();
  wish->call = ++call_count;
  RequestKind const& request_kind = plan.shape->kinds[random.below(plan.shape->kinds.size())];
  wish->safe = request_kind.safe;
  wish->tag = request_kind.lane;
  wish->opening = std::min(random.below(static_cast<std::uint64_t>(request_kind.openings)),
                           random.below(static_cast<std::uint64_t>(request_kind.openings)));
  wish->arrived_at = now;
  std::uint64_t const id = ++wish_count;
  wishes[id] = std::move(wish);
  attempt(id);
}

void World::attempt(std::uint64_t id) {
  Wish& wish = *wishes[id];
  ++wish.attempt_count;
  Box* const box = pick([](Box const& b) { return b.role == MemberRole::router; });
  if (box == nullptr) return after(lag(), [this, id] { request_ended(id, "no", millis(500)); });
  std::uint64_t const process_id = box->process_id;
  std::string const name = box->name;
  after(lag(), [this, id, name, process_id] {
    Box& b = *boxes[name];
    if (!b.up() || b.process_id != process_id) return request_ended(id, "lost", 0);
    ChatRequestInfo ask;
    Wish const& item = *wishes[id];
    ask.facts.model = "tribute";
    ask.facts.user = item.tag;
    ask.facts.size = 5000;
    std::uint64_t hash = hash_text(item.tag, item.opening + 1);
    for (int i = 0; i < 20; ++i) ask.path.push_back(hash = hash_bits(hash + 1));
    ask.path.push_back(hash_bits(hash ^ id));
    std::uint64_t const chat_request = ++b.next_chat_request;
    b.chat_requests[chat_request] = id;
    enter(b, process_id, [chat_request, ask](Box& here, Micros t, NodeEffects& out) {
      here.node->start_chat_request(chat_request, ask, t, out);
    });
  });
}

void World::request_ended(std::uint64_t id, std::string const& what, Micros back) {
  if (id == 0) return;
  Wish& wish = *wishes[id];
  if (wish.over) {
    // The answer and the end of its node can cross; the first counts, as on a connection.
    return;
  }
  note(wish.tag + " told " + what);
  wish.outcome = what;
  wish.over = true;
  if (what == "done") {
    ++end.done;
    if (wish.ended == 0) fault("N4 a caller was told done without an end");
    if (lost_at >= 0 && back_at < 0 && now > lost_at) back_at = now;
    return;
  }
  bool const retry = what == "no" || (what == "lost" && wish.safe);
  if (what == "lost") ++end.lost;
  if (retry && now - wish.arrived_at < seconds(12) && !quiet) {
    if (what == "no" && back <= 0) fault("contract: a refusal without a time to come back");
    // The next attempt is judged on its own, and with all of its call.
    std::unique_ptr<Wish> next = std::make_unique<Wish>(wish);
    next->over = false;
    next->outcome.clear();
    next->begun = next->ended = 0;
    std::uint64_t const fresh = ++wish_count;
    wishes[fresh] = std::move(next);
    after(std::max<Micros>(back, millis(200)), [this, fresh] { attempt(fresh); });
    return;
  }
  ++end.refused;
}

}  // namespace pipit
