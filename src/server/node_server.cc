#include "server/node_server.h"

#include <glib-unix.h>
#include <unistd.h>

#include <iostream>
#include <utility>

#include "base/events.h"
#include "base/random_seed.h"

namespace pipit {

namespace {
Micros now() { return g_get_monotonic_time(); }
constexpr guint tick_ms = 50;
constexpr Micros delay_span = seconds(1);
// §12.6: time that load balancers and clients may need to notice that this node is no longer ready.
constexpr Micros drain_notice = millis(2600);
constexpr std::size_t max_monitoring_body_bytes = 4096;  // these listeners answer only GET
constexpr Micros exit_margin = millis(700);              // the process ends this long before the end of the grace
}  // namespace

NodeServer::NodeServer(NodeServerOptions options)
    : options_(std::move(options)), loop_(g_main_loop_new(nullptr, FALSE)) {}

NodeServer::~NodeServer() {
  proxy_.reset();
  control_server_.reset();
  readiness_server_.reset();
  metrics_server_.reset();
  connections_.reset();
  disk_.reset();
  g_main_loop_unref(loop_);
}

Result<void> NodeServer::open() {
  std::optional<wire::RecordT> recovered;
  std::unique_ptr<PosixDisk> posix;
  std::unique_ptr<RecordStore> ring;
  if (!options_.data_directory.empty()) {
    posix = std::make_unique<PosixDisk>(options_.data_directory);
    ring = std::make_unique<RecordStore>(*posix, options_.node.cluster, options_.node.name, 256u << 10);
    bool blank = false;
    std::uint64_t const fresh = random_seed();
    // Retries while the disk is full or hangs at process start, because the node cannot be a replica without it.
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
  node_ = std::make_unique<Node>(options_.node, now(), std::move(recovered));

  Connections::Callbacks mesh_callbacks;
  mesh_callbacks.opened = [this](ConnectionId id, bool outbound, std::string const& address) {
    NodeEffects out;
    node_->connection_opened(id, outbound, address, now(), out);
    apply_effects(out);
  };
  mesh_callbacks.closed = [this](ConnectionId id) {
    NodeEffects out;
    node_->connection_closed(id, now(), out);
    apply_effects(out);
  };
  mesh_callbacks.dial_failed = [this](std::string const& address, bool refused) {
    NodeEffects out;
    node_->dial_failed(address, refused, now(), out);
    apply_effects(out);
  };
  mesh_callbacks.frame = [this](ConnectionId id, std::string_view frame) {
    NodeEffects out;
    bool const good = node_->receive_frame(id, frame, now(), out);
    if (good) traffic_.count_received(body_type_of(frame), frame.size());
    apply_effects(out);
    return good;
  };
  budget_ = std::make_shared<ConnectionBudget>(options_.limits);
  connections_ = std::make_unique<Connections>(std::move(mesh_callbacks), budget_);

  RequestProxy::Callbacks proxy_callbacks;
  proxy_callbacks.request_received = [this](std::uint64_t id, RequestInfo request) {
    NodeEffects out;
    node_->start_request(id, std::move(request), now(), out);
    apply_effects(out);
  };
  proxy_callbacks.attempt_ended = [this](std::uint64_t id, AttemptEnd end, bool elsewhere) {
    NodeEffects out;
    node_->attempt_ended(id, end, elsewhere, now(), out);
    apply_effects(out);
  };
  proxy_callbacks.disconnected = [this](std::uint64_t id) { return node_->dispatcher.on_client_disconnect(id, now()); };
  proxy_ = std::make_unique<RequestProxy>(node_->dispatcher, options_.header_names, options_.own_host,
                                          std::move(proxy_callbacks), budget_);
  control_server_ =
      make_server([this](Server::Request&& call) { handle_control_call(std::move(call)); }, ListenerGroup::control);
  Server::Limits control_limits;
  control_limits.max_body_bytes = options_.max_control_body_bytes;
  control_server_->set_limits(control_limits);
  readiness_server_ = make_server([this](Server::Request&& call) { handle_readiness_call(std::move(call)); },
                                  ListenerGroup::monitoring);
  metrics_server_ =
      make_server([this](Server::Request&& call) { handle_metrics_call(std::move(call)); }, ListenerGroup::monitoring);
  Server::Limits monitoring_limits;
  monitoring_limits.max_body_bytes = max_monitoring_body_bytes;
  readiness_server_->set_limits(monitoring_limits);
  metrics_server_->set_limits(monitoring_limits);
  if (ring)
    disk_ = std::make_unique<DiskTask>(
        std::move(posix), std::move(ring),
        [this](bool, std::string const&) {
          NodeEffects out;
          node_->record_synced(now(), out);
          apply_effects(out);
        },
        true);
  Result<void> done =
      connections_->listen(options_.mesh_listen_address.empty() ? options_.node.address : options_.mesh_listen_address);
  if (done && !options_.control_address.empty()) done = control_server_->listen(options_.control_address);
  if (done && !options_.readiness_address.empty()) done = readiness_server_->listen(options_.readiness_address);
  // The node serves without its metrics listener: another process may occupy the port.
  if (done && !options_.metrics_address.empty())
    if (Result<void> const listening = metrics_server_->listen(options_.metrics_address); !listening)
      log_event(Event::metrics_listen_failed, listening.error().what);
  if (done && !options_.front_address.empty()) done = proxy_->listen(options_.front_address);
  return done;
}

std::unique_ptr<Server> NodeServer::make_server(std::function<void(Server::Request&&)> handle, ListenerGroup group) {
  return std::make_unique<Server>(Server::Callbacks{std::move(handle), [](std::uint64_t) {}}, budget_, group);
}

// Performs the I/O that the node core requested.
void NodeServer::apply_effects(NodeEffects& out) {
  if (out.record_to_sync && disk_) disk_->save(std::move(*out.record_to_sync));
  for (std::string const& address : out.mesh.dial_addresses) connections_->dial(address);
  for (ConnectionEffects::OutgoingFrame const& send : out.mesh.outgoing_frames) {
    traffic_.count_sent(body_type_of(send.bytes), send.bytes.size());
    connections_->send(send.connection, send.bytes);
  }
  for (ConnectionId const id : out.mesh.closed_connections) connections_->close(id);
  if (!out.dispatch.empty()) proxy_->apply_effects(out.dispatch);
  std::vector<ChangeReply> const replies = std::move(out.replies);
  for (ChangeReply const& item : replies) {
    std::map<std::uint64_t, ChangeCallback>::iterator const position = pending_changes_.find(item.id);
    if (position == pending_changes_.end()) continue;
    ChangeCallback const done = std::move(position->second);
    pending_changes_.erase(position);
    done(item);
  }
  std::vector<DepartureAnswer> const end_answers = std::move(out.end_answers);
  for (DepartureAnswer const& item : end_answers) {
    std::map<std::uint64_t, WorkerEndCallback>::iterator const position = pending_worker_ends_.find(item.id);
    if (position == pending_worker_ends_.end()) continue;
    WorkerEndCallback const done = std::move(position->second);
    pending_worker_ends_.erase(position);
    done(item.acknowledged);
  }
  if (limits_description_ != node_->dispatcher.description()) {
    limits_description_ = node_->dispatcher.description();
    proxy_->set_limits(limits_description_->limits);
  }
}

bool NodeServer::heartbeat(Heartbeat const& heartbeat) {
  NodeEffects out;
  bool const accepted = node_->handle_heartbeat(heartbeat, now(), out);
  apply_effects(out);
  return accepted;
}

void NodeServer::await_worker_end(std::string const& worker, WorkerEndCallback done) {
  std::uint64_t const id = ++next_operation_id_;
  pending_worker_ends_.emplace(id, std::move(done));
  NodeEffects out;
  node_->await_worker_end(id, worker, now(), out);
  apply_effects(out);
}

bool NodeServer::worker_left(std::string const& id, std::uint64_t order) {
  if (node_->registry.find(id) == nullptr) return false;
  NodeEffects out;
  node_->worker_left(id, order, now(), out);
  proxy_->forget_worker(id);
  apply_effects(out);
  return true;
}

void NodeServer::submit_change(Change change, ChangeCallback done) {
  std::uint64_t const id = ++next_operation_id_;
  pending_changes_.emplace(id, std::move(done));
  NodeEffects out;
  node_->submit_change(id, std::move(change), now(), out);
  apply_effects(out);
}

void NodeServer::answer(std::uint64_t call, unsigned status, std::string const& body,
                        std::vector<std::pair<std::string, std::string>> const& fields) {
  Head head;
  head.status = status;
  head.fields = fields;
  head.fields.emplace_back("Content-Type", "application/json");
  control_server_->respond(call, head, body);
}

void NodeServer::record_operator_call(std::string const& call, unsigned status, std::string const& why,
                                      std::string const& timing) {
  ++operator_answers_[std::to_string(status)];
  log_event(Event::operator_call_answered, call + " " + std::to_string(status) + (why.empty() ? "" : " " + why) + " " +
                                               timing + ", loop late by " + std::to_string(recent_delay() / 1000) +
                                               " ms");
}

void NodeServer::handle_readiness_call(Server::Request&& call) {
  bool const path_matches = call.head.target == options_.readiness_path;
  bool const ready = node_->accepts_requests(now()) && shutdown_started_at_ < 0;
  Head head;
  head.status = !path_matches ? 404 : ready ? 200 : 503;
  readiness_server_->respond(call.id, head, "");
}

void NodeServer::handle_metrics_call(Server::Request&& call) {
  bool const path_matches = call.head.method == "GET" && call.head.target == "/metrics";
  Head head;
  head.status = path_matches ? 200 : 404;
  head.fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
  metrics_server_->respond(call.id, head, path_matches ? metrics() : "");
}

void NodeServer::handle_control_call(Server::Request&& call) {
  std::uint64_t const id = call.id;
  if (control_handler_ && control_handler_(call)) return;
  // Paths that all programs of the product serve (docs/api.md).
  if (call.head.method == "GET" && call.head.target == "/health") return answer(id, 200, "{\"ok\":true}");
  if (call.head.method == "GET" && call.head.target == "/v1/status") return answer(id, 200, status());
  if (call.head.method == "GET" && call.head.target == "/v1/tenants") return answer(id, 200, tenants());
  if (call.head.method == "GET" && call.head.target == "/metrics") return answer(id, 200, metrics());
  answer(id, 404, error_response(Error{ErrorCode::not_found, "", ""}).body);
}

void NodeServer::begin_shutdown() {
  if (shutdown_started_at_ >= 0) return;
  shutdown_started_at_ = now();
  proxy_->server.close_after_responses();
  node_->retire();
  log_event(Event::grace_began, "");
}

// §12.6: shutdown has three steps. First only the readiness check fails; then the listeners close; then the requests in
// flight finish.
void NodeServer::advance_shutdown(Micros at) {
  if (shutdown_started_at_ < 0) return;
  Micros const elapsed = at - shutdown_started_at_;
  if (!listeners_closed_ && elapsed >= std::min(drain_notice, options_.shutdown_grace / 3)) {
    listeners_closed_ = true;
    proxy_->server.stop_listening();
    proxy_->server.close_idle_connections();
    NodeEffects out;
    node_->drain(at, out);
    apply_effects(out);
  }
  if (!listeners_closed_) return;
  proxy_->server.close_idle_connections();
  // Waits for answers that slow clients have not yet read, because they would be lost with the process. A replica also
  // waits until another node has replaced it, if there is one that can.
  bool const requests_finished = proxy_->server.active_requests() == 0 && proxy_->server.flushing_connections() == 0;
  bool const idle =
      requests_finished && pending_changes_.empty() && pending_worker_ends_.empty() && node_->may_stop(at);
  if (idle || elapsed >= options_.shutdown_grace - exit_margin) g_main_loop_quit(loop_);
}

void NodeServer::record_delay(Micros at) {
  if (at >= delay_span_ends_) {
    former_delay_ = std::exchange(delay_, 0);
    delay_span_ends_ = at + delay_span;
  }
  if (last_tick_ >= 0) delay_ = std::max(delay_, at - last_tick_ - millis(tick_ms));
  last_tick_ = at;
}

void NodeServer::tick() {
  Micros const at = now();
  record_delay(at);
  NodeEffects out;
  node_->tick(at, out);
  apply_effects(out);
  traffic_.log_busy_second(at, node_->exchange.index_changes);
  if (at >= next_cleanup_) {
    next_cleanup_ = at + millis(500);
    proxy_->close_expired(at);
    control_server_->close_expired(at);
    readiness_server_->close_expired(at);
    metrics_server_->close_expired(at);
  }
  if (periodic_check_ && at >= next_check_) {
    next_check_ = at + seconds(2);
    periodic_check_();
  }
  advance_shutdown(at);
}

namespace {
gboolean on_stop(gpointer data) {
  static_cast<NodeServer*>(data)->begin_shutdown();
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
  log_event(Event::process_started, options_.front_address + " mesh " + options_.node.address);
  g_main_loop_run(loop_);
  g_source_remove(ticker);
  g_source_remove(term);
  g_source_remove(interrupt);
  g_source_remove(hup);
  log_event(Event::process_stopped, "");
  std::cout.flush();
  // Exits without waiting for the disk task, which may hang: a record that is not synced was never acknowledged.
  ::_exit(0);
}

}  // namespace pipit
