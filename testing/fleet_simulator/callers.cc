// Simulated workers and clients (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

void World::start_process(WorkerProcess& process) {
  process.process_id = process.row.incarnation;
  process.started_at = now;
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

// Simulates one attempt: the connection opens, the request is sent, the worker runs it, the response begins and ends.
void World::start_attempt(Machine& machine, ChatAttemptStart const& start) {
  std::string const name = machine.name;
  std::uint64_t const process_id = machine.process_id;
  std::uint64_t const chat_request = start.chat_request;
  int const number = start.attempt;
  std::uint64_t const client_request =
      machine.chat_requests.count(chat_request) ? machine.chat_requests[chat_request] : 0;
  machine.attempts[chat_request] = number;
  WorkerProcess& process = *processes[start.worker];
  auto const end_attempt = [this, name, process_id, chat_request, number](ChatAttemptEnd how) {
    run_step(*machines[name], process_id, [chat_request, number, how](Machine& b, Micros t, NodeEffects& out) {
      std::map<std::uint64_t, int>::const_iterator const position = b.attempts.find(chat_request);
      if (position == b.attempts.end() || position->second != number) return;
      b.node->chat_attempt_ended(chat_request, how, "", 0, t, out);
    });
  };
  if (process.process_id == 0) return after(random_delay(), [end_attempt] { end_attempt(ChatAttemptEnd::unreached); });
  if (is_cut(name, start.worker)) return after(seconds(1), [end_attempt] { end_attempt(ChatAttemptEnd::unreached); });
  std::uint64_t const worker_process_id = process.process_id;
  std::string const worker = start.worker;
  Micros const answer = start.first_byte_timeout;
  Micros const stall = start.idle_timeout;
  after(random_delay(), [this, name, process_id, chat_request, number, worker, worker_process_id, client_request,
                         answer, stall, end_attempt] {
    Machine& item = *machines[name];
    if (!item.up() || item.process_id != process_id || !item.attempts.count(chat_request) ||
        item.attempts[chat_request] != number)
      return;
    if (processes[worker]->process_id != worker_process_id) return end_attempt(ChatAttemptEnd::unreached);
    // The connection is open: from here on a byte may have been sent, even if this node stops immediately afterwards.
    item.node->chat_attempt_sent(chat_request);
    after(random_delay(),
          [this, name, process_id, chat_request, number, worker, worker_process_id, client_request, stall] {
            deliver_request(name, process_id, chat_request, number, worker, worker_process_id, client_request, stall);
          });
    after(answer,
          [this, name, process_id, chat_request, number, worker, worker_process_id, client_request, end_attempt] {
            Machine& current = *machines[name];
            if (current.up() && current.process_id == process_id && current.attempts.count(chat_request) &&
                current.attempts[chat_request] == number &&
                !(current.begun.count(chat_request) && current.begun[chat_request] == number)) {
              processes[worker]->runs.erase(client_request);
              end_attempt(ChatAttemptEnd::silent);
            }
          });
  });
}

void World::deliver_request(std::string const& name, std::uint64_t process_id, std::uint64_t chat_request, int number,
                            std::string const& worker, std::uint64_t worker_process_id, std::uint64_t client_request,
                            Micros stall) {
  WorkerProcess& process = *processes[worker];
  auto const end_attempt = [this, name, process_id, chat_request, number](ChatAttemptEnd how) {
    run_step(*machines[name], process_id, [chat_request, number, how](Machine& b, Micros t, NodeEffects& out) {
      std::map<std::uint64_t, int>::const_iterator const position = b.attempts.find(chat_request);
      if (position == b.attempts.end() || position->second != number) return;
      if (how == ChatAttemptEnd::done) {
        b.attempts.erase(chat_request);
        b.chat_requests.erase(chat_request);
      }
      b.node->chat_attempt_ended(chat_request, how, "", 0, t, out);
    });
  };
  if (process.process_id != worker_process_id)
    return after(random_delay(), [end_attempt] { end_attempt(ChatAttemptEnd::broke); });
  if (process.refusing) return after(random_delay(), [end_attempt] { end_attempt(ChatAttemptEnd::refused); });
  ClientRequest& item = *client_requests[client_request];
  if (item.reached_worker_at < 0) item.reached_worker_at = now;
  if (process.frozen) {  // the request waits in the worker's socket until the worker resumes
    after(millis(200),
          [this, name, process_id, chat_request, number, worker, worker_process_id, client_request, stall] {
            deliver_request(name, process_id, chat_request, number, worker, worker_process_id, client_request, stall);
          });
    return;
  }
  Machine& machine = *machines[name];
  // The request arrived when it reached the worker's socket, though the worker may have been frozen since.
  Micros const arrived_at = item.reached_worker_at;
  item.reached_worker_at = -1;
  ++item.begun;
  ++end.runs;
  add_to_hash(worker + " runs " + item.tag);
  // The bounds on where requests may be sent (N5, N6, N11) are checked on arrival at the worker.
  std::map<std::uint64_t, Micros> const& marked = departures[worker];
  bool const mark_unreadable =
      list_down && marked.count(process.process_id) && marked.at(process.process_id) >= list_down_from - millis(1500);
  if (marked.count(process.process_id) && !mark_unreadable) {
    Micros const gap = arrived_at - marked.at(process.process_id);
    end.margins.departure = std::max(end.margins.departure, gap);
    if (gap > seconds(3))
      record_violation("N5 " + worker + " received a request from " + name + " " + std::to_string(gap / 1000) +
                       " ms after it was marked as leaving");
  }
  for (DrainInterval const& zone : drained_zones[process.row.zone]) {
    if (zone.to >= 0 && arrived_at >= zone.to) continue;
    Micros const gap = arrived_at - zone.from;
    end.margins.empty = std::max(end.margins.empty, gap);
    if (gap > seconds(5))
      record_violation("N6 " + worker + " received a request from " + name + " " + std::to_string(gap / 1000) +
                       " ms after the drain of its zone was accepted");
  }
  if (now - process.started_at < seconds(5) && process.started_at > seconds(4)) {
    process.cold_starts.push_back(now);
    int n = 0;
    for (Micros const t : process.cold_starts)
      if (now - t < seconds(1)) ++n;
    end.margins.cold = std::max(end.margins.cold, n);
    if (n > plan.shape->cold)
      record_violation("N11 " + worker + " received " + std::to_string(n) +
                       " requests within a second while it was cold");
  }
  // If the node that sent the request is down, its connection is closed and the worker stops the request at once.
  if (!machine.up() || machine.process_id != process_id) return;
  process.runs.insert(client_request);
  process.history.emplace_back(now, static_cast<std::int64_t>(process.runs.size()));
  if (process.history.size() > 400) process.history.erase(process.history.begin(), process.history.begin() + 200);
  Micros const first = random_delay(millis(10), millis(200));
  Micros const complete = first + random_delay(millis(100), millis(1500));
  after(first, [this, name, process_id, chat_request, number, worker, worker_process_id, client_request, end_attempt] {
    WorkerProcess& here = *processes[worker];
    if (here.process_id != worker_process_id || !here.runs.count(client_request)) {
      if (here.process_id != worker_process_id) end_attempt(ChatAttemptEnd::broke);
      return;
    }
    if (here.frozen) return;  // the attempt's timeout will expire
    run_step(*machines[name], process_id, [chat_request, number](Machine& b, Micros, NodeEffects&) {
      if (!b.attempts.count(chat_request) || b.attempts[chat_request] != number) return;
      b.begun[chat_request] = number;
      b.node->chat_attempt_began(chat_request);
    });
  });
  after(complete, [this, worker, worker_process_id, client_request, stall, end_attempt] {
    WorkerProcess& here = *processes[worker];
    if (here.process_id != worker_process_id) return end_attempt(ChatAttemptEnd::torn);
    if (here.frozen) return after(stall, [end_attempt] { end_attempt(ChatAttemptEnd::torn); });
    if (!here.runs.count(client_request)) return;
    here.runs.erase(client_request);
    here.history.emplace_back(now, static_cast<std::int64_t>(here.runs.size()));
    ++client_requests[client_request]->ended;
    after(random_delay(), [this, client_request, end_attempt] {
      end_attempt(ChatAttemptEnd::done);
      request_ended(client_request, "done", 0);
    });
  });
}

void World::start_client_call() {
  std::unique_ptr<ClientRequest> client_request = std::make_unique<ClientRequest>();
  client_request->call = ++call_count;
  RequestKind const& request_kind = plan.shape->kinds[random.below(plan.shape->kinds.size())];
  client_request->safe = request_kind.safe;
  client_request->tag = request_kind.lane;
  client_request->opening = std::min(random.below(static_cast<std::uint64_t>(request_kind.openings)),
                                     random.below(static_cast<std::uint64_t>(request_kind.openings)));
  client_request->arrived_at = now;
  std::uint64_t const id = ++client_request_count;
  client_requests[id] = std::move(client_request);
  send_client_request(id);
}

void World::send_client_request(std::uint64_t id) {
  ClientRequest& client_request = *client_requests[id];
  ++client_request.attempt_count;
  Machine* const machine = pick_running([](Machine const& b) { return b.role == MemberRole::router; });
  if (machine == nullptr) return after(random_delay(), [this, id] { request_ended(id, "no", millis(500)); });
  std::uint64_t const process_id = machine->process_id;
  std::string const name = machine->name;
  after(random_delay(), [this, id, name, process_id] {
    Machine& b = *machines[name];
    if (!b.up() || b.process_id != process_id) return request_ended(id, "lost", 0);
    ChatRequestInfo info;
    ClientRequest const& item = *client_requests[id];
    info.facts.model = "tribute";
    info.facts.user = item.tag;
    info.facts.size = 5000;
    std::uint64_t hash = hash_text(item.tag, item.opening + 1);
    for (int i = 0; i < 20; ++i) info.path.push_back(hash = hash_bits(hash + 1));
    info.path.push_back(hash_bits(hash ^ id));
    std::uint64_t const chat_request = ++b.next_chat_request;
    b.chat_requests[chat_request] = id;
    run_step(b, process_id, [chat_request, info](Machine& here, Micros t, NodeEffects& out) {
      here.node->start_chat_request(chat_request, info, t, out);
    });
  });
}

void World::request_ended(std::uint64_t id, std::string const& what, Micros back) {
  if (id == 0) return;
  ClientRequest& client_request = *client_requests[id];
  if (client_request.finished) {
    // The answer and the stop of the node that handles the request can cross; the first counts, as on a connection.
    return;
  }
  add_to_hash(client_request.tag + " told " + what);
  client_request.outcome = what;
  client_request.finished = true;
  if (what == "done") {
    ++end.done;
    if (client_request.ended == 0)
      record_violation("N4 a client request was reported as done, but no worker completed it");
    if (full_loss_at >= 0 && service_back_at < 0 && now > full_loss_at) service_back_at = now;
    return;
  }
  bool const retry = what == "no" || (what == "lost" && client_request.safe);
  if (what == "lost") ++end.lost;
  if (retry && now - client_request.arrived_at < seconds(12) && !quiet) {
    if (what == "no" && back <= 0) record_violation("contract: a refusal without a retry delay");
    // The next request is checked on its own and together with all requests of its call.
    std::unique_ptr<ClientRequest> next = std::make_unique<ClientRequest>(client_request);
    next->finished = false;
    next->outcome.clear();
    next->begun = next->ended = 0;
    std::uint64_t const retry_id = ++client_request_count;
    client_requests[retry_id] = std::move(next);
    after(std::max<Micros>(back, millis(200)), [this, retry_id] { send_client_request(retry_id); });
    return;
  }
  ++end.refused;
}

}  // namespace pipit
