// The stand-in workers: heartbeats to the nodes, draining, and the end of a worker.
#include <simdjson.h>
#include <unistd.h>

#include <cstdlib>

#include "base/json_writer.h"
#include "testing/platform_fleet_test/clock.h"
#include "testing/platform_fleet_test/worker_parts.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros linger = millis(1500);
}  // namespace

void Workers::call(Worker& worker, std::string const& address, std::string const& target, std::string const& body,
                   std::function<void(bool good, std::string const& body)> done) {
  std::shared_ptr<unsigned> const status = std::make_shared<unsigned>(0);
  std::shared_ptr<std::string> const got = std::make_shared<std::string>();
  ClientConnection::Callbacks callbacks;
  callbacks.head = [status](unsigned code) { *status = code; };
  callbacks.body = [got](std::string_view bytes) { got->append(bytes); };
  callbacks.end = [status, got, done](ClientConnection::Outcome how) {
    done(how == ClientConnection::Outcome::complete && *status >= 200 && *status < 300 && got->size() <= 4096, *got);
  };
  worker.line = ClientConnection::dial(address, worker.ip, millis(1000));
  worker.line->send_request(
      request_of("POST", target, address, "Content-Type: application/json\r\nConnection: close\r\n", body),
      std::move(callbacks), millis(1000));
}

void Workers::heartbeat(Worker& worker, int moves) {
  // After its farewell it says nothing more.
  bool const said_farewell = worker.state == State::draining && worker.drain_said < 0;
  if (over || worker.state == State::ended || worker.is_silent || said_farewell) return;
  std::string const address = !worker.heartbeat_at.empty() ? worker.heartbeat_at : any_node(worker);
  bool const leaving = worker.state == State::draining;
  JsonWriter json;
  json.begin_object()
      .key("service")
      .text(worker.service)
      .key("address")
      .text(worker.public_ip + ":" + std::to_string(worker_port));
  json.key("zone").text(worker.zone).key("version").text("v1").key("slots").number(shape.engine.slots);
  json.key("state").text(leaving ? "draining" : "available").key("cold_remaining_ms").number(0);
  json.key("stage")
      .text("combined")
      .key("models")
      .begin_list()
      .begin_object()
      .key("name")
      .text(shape.model)
      .key("version")
      .number(1);
  json.key("adapters").begin_list().end_list().end_object().end_list();
  json.key("call_sequence").number(static_cast<std::int64_t>(++worker.order)).end_object();
  Worker* const at = &worker;
  call(worker, address, "/Instances.Beat/" + worker.id, json.take(),
       [this, at, address, leaving, moves](bool good, std::string const& body) {
         if (!good) {
           at->heartbeat_at.clear();
           ++at->next_node;
           if (moves < 4) after(millis(100) << moves, [this, at, moves] { heartbeat(*at, moves + 1); });
           return;
         }
         simdjson::dom::parser parser;
         simdjson::dom::element root;
         std::string_view later;
         if (!parser.parse(simdjson::padded_string(body)).get(root) && !root["beat_address"].get_string().get(later))
           at->heartbeat_at = nodes.public_address(std::string(later));
         if (!leaving || at->drain_heard >= 0) return;
         at->drain_heard = now();
         at->drain_heard_by = address;
         after(drain_span + linger, [this, at] { leave(*at, 0); });
       });
}

void Workers::drain(Worker& worker) {
  if (worker.state != State::up) return;
  worker.state = State::draining;
  worker.drain_said = now();
  heartbeat(worker, 0);
  Worker* const at = &worker;
  after(unheard_end, [this, at] {
    if (at->drain_heard >= 0 || at->state == State::ended) return;
    ++count.unacknowledged_leaves;
    end(*at, false);
  });
}

// Says farewell at once, and serves on as long as after a word that it drains.
void Workers::announce_leave(Worker& worker, int moves) {
  if (worker.state != State::up) return;
  std::string const address = !worker.heartbeat_at.empty() ? worker.heartbeat_at : any_node(worker);
  Worker* const at = &worker;
  call(worker, address, "/Instances.Leave/" + worker.id, "{\"call_sequence\":" + std::to_string(++worker.order) + "}",
       [this, at, moves, address](bool good, std::string const&) {
         if (!good) {
           at->heartbeat_at.clear();
           ++at->next_node;
           if (moves < 6) return announce_leave(*at, moves + 1);
           ++count.unacknowledged_leaves;
           return end(*at, false);
         }
         at->state = State::draining;
         at->drain_heard = now();
         at->drain_heard_by = address;
         after(drain_span + linger, [this, at] { end(*at, false); });
       });
}

std::string Workers::any_node(Worker& worker) {
  while (nodes.all[worker.next_node % nodes.all.size()]->removed) ++worker.next_node;
  return nodes.all[worker.next_node % nodes.all.size()]->control_address();
}

void Workers::leave(Worker& worker, int moves) {
  if (worker.state == State::ended) return;
  std::string const address = !worker.heartbeat_at.empty() ? worker.heartbeat_at : any_node(worker);
  Worker* const at = &worker;
  call(worker, address, "/Instances.Leave/" + worker.id, "{\"call_sequence\":" + std::to_string(++worker.order) + "}",
       [this, at, moves](bool good, std::string const&) {
         if (!good && moves < 2) {
           at->heartbeat_at.clear();
           ++at->next_node;
           return leave(*at, moves + 1);
         }
         end(*at, false);
       });
}

void Workers::end(Worker& worker, bool reset) {
  if (worker.state == State::ended) return;
  worker.state = State::ended;
  if (worker.watch != 0) g_source_remove(worker.watch);
  worker.watch = 0;
  if (worker.door >= 0) ::close(worker.door);
  worker.door = -1;
  if (nodes.relay() != nullptr) nodes.relay()->close_listeners(worker.public_ip);
  for (std::pair<std::uint64_t const, Job>& job : worker.jobs) {
    job.second.attempt->worker_broke = true;
    worker.engine.cancel(job.first);
  }
  worker.jobs.clear();
  std::map<Conn*, std::shared_ptr<Conn>> const conns = std::move(worker.conns);
  worker.conns.clear();
  for (std::pair<Conn* const, std::shared_ptr<Conn>> const& conn : conns) conn.second->link->close(reset);
}

}  // namespace pipit::platform_fleet
