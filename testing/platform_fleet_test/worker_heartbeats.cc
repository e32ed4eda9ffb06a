// Stand-in workers: heartbeats to the nodes, draining and shutdown.
#include <simdjson.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

#include "base/json_writer.h"
#include "testing/platform_fleet_test/clock.h"
#include "testing/platform_fleet_test/worker_parts.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros leave_delay = millis(1500);              // from the end of the drain to the worker's exit
constexpr Micros longest_heartbeat_delay = millis(2500);  // after the worker's departure was acknowledged
}  // namespace

void Workers::call(Worker& worker, std::string const& address, std::string const& target, std::string const& body,
                   std::function<void(bool good, std::string const& body)> done) {
  std::shared_ptr<unsigned> const status = std::make_shared<unsigned>(0);
  std::shared_ptr<std::string> const received = std::make_shared<std::string>();
  ClientConnection::Callbacks callbacks;
  callbacks.head = [status](unsigned code) { *status = code; };
  callbacks.body = [received](std::string_view bytes) { received->append(bytes); };
  callbacks.end = [status, received, done](ClientConnection::Outcome how) {
    done(how == ClientConnection::Outcome::complete && *status >= 200 && *status < 300 && received->size() <= 4096,
         *received);
  };
  worker.line = ClientConnection::dial(address, worker.ip, millis(1000));
  worker.line->send_request(
      request_of("POST", target, address, "Content-Type: application/json\r\nConnection: close\r\n", body),
      std::move(callbacks), millis(1000));
}

std::uint64_t Workers::next_call_number(Worker& worker) {
  std::uint64_t const clock = worker.numbers_by_clock ? static_cast<std::uint64_t>(g_get_real_time()) : 0;
  worker.call_sequence = std::max(worker.call_sequence + 1, clock);
  return worker.call_sequence;
}

std::string Workers::heartbeat_body(Worker& worker, bool leaving) const {
  JsonWriter json;
  json.begin_object()
      .key("service")
      .text(worker.service)
      .key("address")
      .text(worker.public_ip + ":" + std::to_string(worker_port));
  json.key("zone").text(worker.zone).key("version").text("v1").key("slots").number(shape_.engine.slots);
  json.key("state").text(leaving ? "draining" : "available").key("cold_remaining_ms").number(0);
  json.key("stage")
      .text("combined")
      .key("models")
      .begin_list()
      .begin_object()
      .key("name")
      .text(shape_.model)
      .key("version")
      .number(1);
  json.key("adapters").begin_list().end_list().end_object().end_list();
  json.key("call_sequence").number(static_cast<std::int64_t>(next_call_number(worker))).end_object();
  return json.take();
}

std::string Workers::leave_body(Worker& worker) {
  std::uint64_t const number = next_call_number(worker);
  return worker.numbers_by_clock ? "" : "{\"call_sequence\":" + std::to_string(number) + "}";
}

void Workers::deliver_late_heartbeat(Worker& worker, std::string const& body) {
  Worker* const at = &worker;
  run_after(static_cast<Micros>(random_.below(longest_heartbeat_delay)), [this, at, body] {
    if (stopping_ || at->state == State::ended) return;
    ++at->next_node;
    call(*at, any_node(*at), "/Instances.Beat/" + at->id, body, [](bool, std::string const&) {});
  });
}

void Workers::heartbeat(Worker& worker, int retries) {
  // A worker that has sent Instances.Leave sends no more heartbeats.
  bool const has_left = worker.state == State::draining && worker.drain_announced_at < 0;
  if (stopping_ || worker.state == State::ended || worker.is_silent || has_left) return;
  std::string const address = !worker.heartbeat_address.empty() ? worker.heartbeat_address : any_node(worker);
  bool const leaving = worker.state == State::draining;
  Worker* const at = &worker;
  call(worker, address, "/Instances.Beat/" + worker.id, heartbeat_body(worker, leaving),
       [this, at, address, leaving, retries](bool good, std::string const& body) {
         if (!good) {
           at->heartbeat_address.clear();
           ++at->next_node;
           if (retries < 4) run_after(millis(100) << retries, [this, at, retries] { heartbeat(*at, retries + 1); });
           return;
         }
         simdjson::dom::parser parser;
         simdjson::dom::element root;
         std::string_view next_address;
         if (!parser.parse(simdjson::padded_string(body)).get(root) &&
             !root["beat_address"].get_string().get(next_address))
           at->heartbeat_address = nodes_.public_address(std::string(next_address));
         if (!leaving || at->drain_acknowledged_at >= 0) return;
         at->drain_acknowledged_at = now();
         at->drain_acknowledged_by = address;
         run_after(shape_.bounds.drain + leave_delay, [this, at] { leave(*at, 0); });
       });
}

void Workers::drain(Worker& worker) {
  if (worker.state != State::up) return;
  worker.state = State::draining;
  worker.drain_announced_at = now();
  heartbeat(worker, 0);
  Worker* const at = &worker;
  run_after(unacknowledged_drain_timeout, [this, at] {
    if (at->drain_acknowledged_at >= 0 || at->state == State::ended) return;
    ++count_.unacknowledged_leaves;
    end(*at, false);
  });
}

// Sends Instances.Leave without draining first, and keeps serving for as long as after an acknowledged drain. A
// heartbeat sent just before it arrives after the acknowledgement.
void Workers::announce_leave(Worker& worker, int retries, std::string const& late_heartbeat) {
  if (worker.state != State::up) return;
  std::string const late = retries > 0 ? late_heartbeat : heartbeat_body(worker, false);
  std::string const address = !worker.heartbeat_address.empty() ? worker.heartbeat_address : any_node(worker);
  Worker* const at = &worker;
  call(worker, address, "/Instances.Leave/" + worker.id, leave_body(worker),
       [this, at, retries, address, late](bool good, std::string const&) {
         if (!good) {
           at->heartbeat_address.clear();
           ++at->next_node;
           if (retries < 6) return announce_leave(*at, retries + 1, late);
           ++count_.unacknowledged_leaves;
           return end(*at, false);
         }
         at->state = State::draining;
         at->drain_acknowledged_at = now();
         at->drain_acknowledged_by = address;
         deliver_late_heartbeat(*at, late);
         run_after(shape_.bounds.drain + leave_delay, [this, at] { end(*at, false); });
       });
}

std::string Workers::any_node(Worker& worker) {
  while (nodes_.all[worker.next_node % nodes_.all.size()]->removed) ++worker.next_node;
  return nodes_.all[worker.next_node % nodes_.all.size()]->control_address();
}

void Workers::leave(Worker& worker, int retries) {
  if (worker.state == State::ended) return;
  std::string const address = !worker.heartbeat_address.empty() ? worker.heartbeat_address : any_node(worker);
  Worker* const at = &worker;
  call(worker, address, "/Instances.Leave/" + worker.id, leave_body(worker),
       [this, at, retries](bool good, std::string const&) {
         if (!good && retries < 2) {
           at->heartbeat_address.clear();
           ++at->next_node;
           return leave(*at, retries + 1);
         }
         end(*at, false);
       });
}

void Workers::end(Worker& worker, bool reset) {
  if (worker.state == State::ended) return;
  worker.state = State::ended;
  if (worker.listen_watch != 0) g_source_remove(worker.listen_watch);
  worker.listen_watch = 0;
  if (worker.listen_fd >= 0) ::close(worker.listen_fd);
  worker.listen_fd = -1;
  if (nodes_.relay() != nullptr) nodes_.relay()->close_listeners(worker.public_ip);
  for (std::pair<std::uint64_t const, Job>& job : worker.jobs) {
    job.second.attempt->worker_broke = true;
    worker.engine.cancel(job.first);
  }
  worker.jobs.clear();
  std::map<Connection*, std::shared_ptr<Connection>> const conns = std::move(worker.conns);
  worker.conns.clear();
  for (std::pair<Connection* const, std::shared_ptr<Connection>> const& conn : conns) conn.second->link->close(reset);
}

}  // namespace pipit::platform_fleet
