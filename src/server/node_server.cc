#include "server/node_server.h"

#include <glib-unix.h>
#include <unistd.h>

#include <iostream>

#include "base/events.h"
#include "base/random_seed.h"

namespace pipit {

namespace {
Micros now() { return g_get_monotonic_time(); }
constexpr guint tick_ms = 50;
// §12.6: how long callers may need to learn that this node wants no more of them.
constexpr Micros heed = millis(2600);
constexpr Micros last_moment = millis(700);  // before the grace ends
}  // namespace

NodeServer::NodeServer(NodeServerPlan plan) : plan_(std::move(plan)), loop_(g_main_loop_new(nullptr, FALSE)) {}

NodeServer::~NodeServer() {
  proxy_.reset();
  control_server_.reset();
  ready_server_.reset();
  metrics_server_.reset();
  connections_.reset();
  disk_.reset();
  g_main_loop_unref(loop_);
}

Result<void> NodeServer::open() {
  std::optional<wire::RecordT> recovered;
  std::unique_ptr<PosixDisk> posix;
  std::unique_ptr<RecordStore> ring;
  if (!plan_.data.empty()) {
    posix = std::make_unique<PosixDisk>(plan_.data);
    ring = std::make_unique<RecordStore>(*posix, plan_.node.cluster, plan_.node.name, 256u << 10);
    bool blank = false;
    std::uint64_t const fresh = random_seed();
    // A disk that is full or hangs when the process starts is waited for: without it the node is no replica.
    Result<wire::RecordT> opened = ring->open(fresh, blank);
    for (int attempts = 0; !opened && opened.error().code == ErrorCode::bad_disk && attempts < 50; ++attempts) {
      if (attempts == 0) log_event(Event::disk_write_retried, opened.error().what);
      g_usleep(100000);
      opened = ring->open(fresh, blank);
    }
    if (!opened) return opened.as_failure();
    recovered = std::move(opened.value());
    log_event(blank ? Event::replica_formatted : Event::replica_recovered,
              "serial " + std::to_string(recovered->value ? recovered->value->serial : 0));
  }
  node_ = std::make_unique<Node>(plan_.node, now(), std::move(recovered));

  Connections::Callbacks we;
  we.opened = [this](ConnectionId id, bool outbound, std::string const& address) {
    NodeEffects out;
    node_->connection_opened(id, outbound, address, now(), out);
    act(out);
  };
  we.shut = [this](ConnectionId id) {
    NodeEffects out;
    node_->connection_closed(id, now(), out);
    act(out);
  };
  we.failed = [this](std::string const& address, bool refused) {
    NodeEffects out;
    node_->dial_failed(address, refused, now(), out);
    act(out);
  };
  we.frame = [this](ConnectionId id, std::string_view frame) {
    NodeEffects out;
    bool const good = node_->receive_frame(id, frame, now(), out);
    if (good) traffic_.count_received(body_type_of(frame), frame.size());
    act(out);
    return good;
  };
  connections_ = std::make_unique<Connections>(std::move(we));

  RequestProxy::Callbacks proxy_callbacks;
  proxy_callbacks.request = [this](std::uint64_t id, RequestInfo query) {
    NodeEffects out;
    node_->start_request(id, std::move(query), now(), out);
    act(out);
  };
  proxy_callbacks.ended = [this](std::uint64_t id, AttemptEnd end, bool elsewhere) {
    NodeEffects out;
    node_->attempt_ended(id, end, elsewhere, now(), out);
    act(out);
  };
  proxy_callbacks.disconnected = [this](std::uint64_t id) { return node_->dispatcher.on_client_disconnect(id, now()); };
  proxy_ = std::make_unique<RequestProxy>(node_->dispatcher, plan_.dialect, plan_.own_host, std::move(proxy_callbacks));
  control_server_ = std::make_unique<Server>(
      Server::Callbacks{[this](Server::Request&& call) { on_call(std::move(call)); }, [](std::uint64_t) {}});
  Server::Limits control_limits;
  control_limits.max_body_bytes = plan_.control_body;
  control_server_->set_limits(control_limits);
  ready_server_ = std::make_unique<Server>(
      Server::Callbacks{[this](Server::Request&& call) { on_ready(std::move(call)); }, [](std::uint64_t) {}});

  metrics_server_ = std::make_unique<Server>(
      Server::Callbacks{[this](Server::Request&& call) { on_metrics(std::move(call)); }, [](std::uint64_t) {}});
  if (ring)
    disk_ = std::make_unique<DiskTask>(
        std::move(posix), std::move(ring),
        [this](bool, std::string const&) {
          NodeEffects out;
          node_->record_synced(now(), out);
          act(out);
        },
        true);
  Result<void> done = connections_->listen(plan_.mesh.empty() ? plan_.node.address : plan_.mesh);
  if (done && !plan_.control.empty()) done = control_server_->listen(plan_.control);
  if (done && !plan_.ready.empty()) done = ready_server_->listen(plan_.ready);
  // A node without its metrics still serves: somebody else may listen there.
  if (done && !plan_.metrics.empty())
    if (Result<void> const listening = metrics_server_->listen(plan_.metrics); !listening)
      log_event(Event::metrics_listen_failed, listening.error().what);
  if (done && !plan_.front.empty()) done = proxy_->listen(plan_.front);
  return done;
}

// The executor: obeys what the core decided.
void NodeServer::act(NodeEffects& out) {
  if (out.record_to_sync && disk_) disk_->save(std::move(*out.record_to_sync));
  for (std::string const& address : out.mesh.dial_addresses) connections_->dial(address);
  for (ConnectionEffects::OutgoingFrame const& send : out.mesh.outgoing_frames) {
    traffic_.count_sent(body_type_of(send.bytes), send.bytes.size());
    connections_->send(send.connection, send.bytes);
  }
  for (ConnectionId const id : out.mesh.closed_connections) connections_->shut(id);
  if (!out.dispatch.empty()) proxy_->act(out.dispatch);
  std::vector<ChangeReply> const replies = std::move(out.replies);
  for (ChangeReply const& item : replies) {
    std::map<std::uint64_t, Done>::iterator const position = asked_.find(item.id);
    if (position == asked_.end()) continue;
    Done const done = std::move(position->second);
    asked_.erase(position);
    done(item);
  }
  std::vector<DepartureAnswer> const end_answers = std::move(out.end_answers);
  for (DepartureAnswer const& item : end_answers) {
    std::map<std::uint64_t, EndDone>::iterator const position = ends_asked_.find(item.id);
    if (position == ends_asked_.end()) continue;
    EndDone const done = std::move(position->second);
    ends_asked_.erase(position);
    done(item.acknowledged);
  }
  if (limits_of_ != node_->dispatcher.description()) {
    limits_of_ = node_->dispatcher.description();
    proxy_->limits(limits_of_->limits);
  }
}

bool NodeServer::heartbeat(Heartbeat const& heartbeat) {
  NodeEffects out;
  bool const heard = node_->handle_heartbeat(heartbeat, now(), out);
  act(out);
  return heard;
}

void NodeServer::await_end(std::string const& worker, EndDone done) {
  std::uint64_t const id = ++next_ask_;
  ends_asked_.emplace(id, std::move(done));
  NodeEffects out;
  node_->await_worker_end(id, worker, now(), out);
  act(out);
}

bool NodeServer::worker_left(std::string const& id, std::uint64_t order) {
  if (node_->registry.find(id) == nullptr) return false;
  NodeEffects out;
  node_->worker_left(id, order, now(), out);
  proxy_->forget(id);
  act(out);
  return true;
}

void NodeServer::operate(Change change, Done done) {
  std::uint64_t const id = ++next_ask_;
  asked_.emplace(id, std::move(done));
  NodeEffects out;
  node_->submit_change(id, std::move(change), now(), out);
  act(out);
}

void NodeServer::answer(std::uint64_t call, unsigned status, std::string const& body,
                        std::vector<std::pair<std::string, std::string>> const& fields) {
  Head head;
  head.status = status;
  head.fields = fields;
  head.fields.emplace_back("Content-Type", "application/json");
  control_server_->respond(call, head, body);
}

void NodeServer::note_order(std::string const& call, unsigned status, std::string const& why) {
  ++order_answers_[std::to_string(status)];
  log_event(Event::operator_call_answered, call + " " + std::to_string(status) + (why.empty() ? "" : " " + why));
}

void NodeServer::on_ready(Server::Request&& call) {
  bool const path = call.head.target == plan_.ready_path;
  bool const yes = node_->accepts_requests(now()) && stop_from_ < 0;
  Head head;
  head.status = !path ? 404 : yes ? 200 : 503;
  ready_server_->respond(call.id, head, "");
}

void NodeServer::on_metrics(Server::Request&& call) {
  bool const path = call.head.method == "GET" && call.head.target == "/metrics";
  Head head;
  head.status = path ? 200 : 404;
  head.fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
  metrics_server_->respond(call.id, head, path ? metrics() : "");
}

void NodeServer::on_call(Server::Request&& call) {
  std::uint64_t const id = call.id;
  if (control_ && control_(call)) return;
  // The product's own paths, as on its other programs (docs/api.md).
  if (call.head.method == "GET" && call.head.target == "/health") return answer(id, 200, "{\"ok\":true}");
  if (call.head.method == "GET" && call.head.target == "/v1/status") return answer(id, 200, status());
  if (call.head.method == "GET" && call.head.target == "/v1/tenants") return answer(id, 200, tenants());
  if (call.head.method == "GET" && call.head.target == "/metrics") return answer(id, 200, metrics());
  answer(id, 404, error_response(Error{ErrorCode::not_found, "", ""}).body);
}

void NodeServer::stop() {
  if (stop_from_ >= 0) return;
  stop_from_ = now();
  proxy_->server.close_after_responses();
  node_->retire();
  log_event(Event::grace_began, "");
}

// §12.6: first only the word that no new callers are wanted; then the doors; then what is under way comes to its end.
void NodeServer::check_stop(Micros at) {
  if (stop_from_ < 0) return;
  Micros const span = at - stop_from_;
  if (!doors_shut_ && span >= std::min(heed, plan_.grace / 3)) {
    doors_shut_ = true;
    proxy_->server.stop_listening();
    proxy_->server.close_idle_connections();
    NodeEffects out;
    node_->drain(at, out);
    act(out);
  }
  if (!doors_shut_) return;
  proxy_->server.close_idle_connections();
  // What a slow caller has not taken yet would end with the process too. A replica stays until another one has its
  // place, where one is here to take it.
  bool const finished = proxy_->server.active_requests() == 0 && proxy_->server.flushing_connections() == 0;
  bool const idle = finished && asked_.empty() && ends_asked_.empty() && node_->may_stop(at);
  if (idle || span >= plan_.grace - last_moment) g_main_loop_quit(loop_);
}

void NodeServer::tick() {
  Micros const at = now();
  NodeEffects out;
  node_->tick(at, out);
  act(out);
  traffic_.log_busy_second(at);
  if (at >= next_cleanup_) {
    next_cleanup_ = at + millis(500);
    proxy_->close_expired(at);
    control_server_->close_expired(at);
    ready_server_->close_expired(at);
    metrics_server_->close_expired(at);
  }
  if (periodic_check_ && at >= next_check_) {
    next_check_ = at + seconds(2);
    periodic_check_();
  }
  check_stop(at);
}

namespace {
gboolean on_stop(gpointer data) {
  static_cast<NodeServer*>(data)->stop();
  return G_SOURCE_CONTINUE;
}
}  // namespace

int NodeServer::run() {
  guint const ticker = g_timeout_add(
      tick_ms,
      [](gpointer data) -> gboolean {
        static_cast<NodeServer*>(data)->tick();
        return G_SOURCE_CONTINUE;
      },
      this);
  guint const term = g_unix_signal_add(SIGTERM, on_stop, this);
  guint const interrupt = g_unix_signal_add(SIGINT, on_stop, this);
  guint const hup = g_unix_signal_add(
      SIGHUP,
      [](gpointer data) -> gboolean {
        NodeServer& self = *static_cast<NodeServer*>(data);
        if (self.periodic_check_) self.periodic_check_();
        return G_SOURCE_CONTINUE;
      },
      this);
  log_event(Event::process_started, plan_.front + " mesh " + plan_.node.address);
  g_main_loop_run(loop_);
  g_source_remove(ticker);
  g_source_remove(term);
  g_source_remove(interrupt);
  g_source_remove(hup);
  log_event(Event::process_stopped, "");
  std::cout.flush();
  // A disk that hangs must not hold the end up: whatever it has not synced was answered to nobody.
  ::_exit(0);
}

}  // namespace pipit
