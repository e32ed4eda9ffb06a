#include "runtime/router_host.h"

#include <glib-unix.h>
#include <unistd.h>

#include <cstdio>

#include "base/events.h"
#include "base/fault_points.h"
#include "base/json_writer.h"
#include "base/random_seed.h"
#include "config/description/description.h"
#include "routing/chat/chat_request_reader.h"

namespace pipit {

namespace {
Micros now() { return g_get_monotonic_time(); }
constexpr guint tick_ms = 25;
}  // namespace

RouterHost::RouterHost(Settings settings, MemberRole role, std::optional<wire::RecordT> recovered,
                       std::unique_ptr<PosixDisk> disk, std::unique_ptr<RecordStore> store)
    : settings_(std::move(settings)), role_(role), loop_(g_main_loop_new(nullptr, FALSE)) {
  NodePlan plan;
  plan.cluster = settings_.cluster;
  plan.name = settings_.name;
  plan.zone = settings_.zone;
  plan.address = settings_.mesh;
  plan.http_address = settings_.http;
  plan.role = role_;
  plan.seeds = settings_.seeds;
  plan.models = settings_.models;
  plan.initial_members = settings_.initial_members;
  plan.incarnation = static_cast<std::uint64_t>(g_get_real_time());
  plan.random_seed = random_seed();
  node_ = std::make_unique<Node>(plan, now(), std::move(recovered));

  Connections::Callbacks mesh_callbacks;
  mesh_callbacks.opened = [this](ConnectionId id, bool outbound, std::string const& address) {
    NodeEffects out;
    node_->connection_opened(id, outbound, address, now(), out);
    apply_effects(out);
  };
  mesh_callbacks.closed = [this](ConnectionId id) {
    NodeEffects out;
    connection_names_.erase(id);
    node_->connection_closed(id, now(), out);
    apply_effects(out);
  };
  mesh_callbacks.dial_failed = [this](std::string const& address, bool refused) {
    NodeEffects out;
    node_->dial_failed(address, refused, now(), out);
    apply_effects(out);
  };
  mesh_callbacks.frame = [this](ConnectionId id, std::string_view frame) {
    mesh_bytes_ += frame.size();
    if (settings_.faults && drops_incoming(id, frame)) return true;
    NodeEffects out;
    bool const good = node_->receive_frame(id, frame, now(), out);
    if (good) traffic_.count_received(body_type_of(frame), frame.size());
    apply_effects(out);
    return good;
  };
  ProcessLimits limits;
  limits.memory_bytes = settings_.memory_bytes;
  if (settings_.descriptors != 0) limits.descriptors = std::min(limits.descriptors, settings_.descriptors);
  budget_ = std::make_shared<ConnectionBudget>(limits);
  connections_ = std::make_unique<Connections>(std::move(mesh_callbacks), budget_);

  ChatUpstream::Callbacks upstream_callbacks;
  upstream_callbacks.sent = [this](std::uint64_t id) { node_->chat_attempt_sent(id); };
  upstream_callbacks.event = [this](std::uint64_t id, std::string const& event) {
    std::map<std::uint64_t, ClientRequest>::iterator const position = requests_.find(id);
    if (position == requests_.end()) return;
    if (!position->second.answer_begun) {
      position->second.answer_begun = true;
      node_->chat_attempt_began(id);
    }
    attempt_bytes_by_zone_[position->second.worker_zone] += event.size() + 2;
    chat_server_->write_chunk(id, event + "\n\n", {{"X-Request-Id", position->second.id}});
  };
  upstream_callbacks.answer = [this](std::uint64_t id, std::string const& body) {
    std::map<std::uint64_t, ClientRequest>::iterator const position = requests_.find(id);
    if (position == requests_.end()) return;
    attempt_bytes_by_zone_[position->second.worker_zone] += body.size();
    chat_server_->answer(id, 200, "application/json", body, {{"X-Request-Id", position->second.id}});
  };
  upstream_callbacks.ended = [this](std::uint64_t id, ChatAttemptEnd end, std::string const& why, Micros back) {
    if (end == ChatAttemptEnd::done && requests_.count(id)) {
      if (requests_[id].stream) {
        chat_server_->write_chunk(id, "data: [DONE]\n\n");
        chat_server_->end(id);
      }
      requests_.erase(id);
    }
    NodeEffects out;
    node_->chat_attempt_ended(id, end, why, back, now(), out);
    apply_effects(out);
  };
  upstream_ = std::make_unique<ChatUpstream>(std::move(upstream_callbacks));

  ChatServer::Callbacks server_callbacks;
  server_callbacks.call = [this](ChatServer::Call& call) { handle_call(call); };
  server_callbacks.disconnected = [this](std::uint64_t id) {
    operator_calls_.erase(id);
    if (requests_.erase(id) == 0) return;
    NodeEffects out;
    node_->client_disconnected(id, now(), out);
    apply_effects(out);
  };
  chat_server_ = std::make_unique<ChatServer>(std::move(server_callbacks),
                                              std::max(settings_.max_body_bytes, description_limit + 4096), budget_);

  if (store)
    disk_ = std::make_unique<DiskTask>(std::move(disk), std::move(store), [this](bool good, std::string const& why) {
      if (!good) {
        // §5.6: after a failed sync the content of the disk is unknown, so the replica must not answer again.
        log_event(Event::disk_failed, why);
        exit_code_ = 3;
        g_main_loop_quit(loop_);
        return;
      }
      NodeEffects out;
      node_->record_synced(now(), out);
      apply_effects(out);
    });
}

RouterHost::~RouterHost() {
  if (tick_source_ != 0) g_source_remove(tick_source_);
  chat_server_.reset();
  upstream_.reset();
  connections_.reset();
  disk_.reset();
  g_main_loop_unref(loop_);
}

Result<void> RouterHost::listen() {
  Result<void> done = connections_->listen(settings_.mesh);
  if (!done) return done;
  return chat_server_->listen(settings_.http);
}

bool RouterHost::drops_incoming(ConnectionId id, std::string_view frame) {
  std::string name = connection_names_.count(id) ? connection_names_[id] : "";
  if (name.empty()) {
    Result<std::unique_ptr<wire::FrameT>> decoded = decode_frame(frame);
    if (decoded && decoded.value()->body.type == wire::Body::Hello && decoded.value()->body.AsHello()->self) {
      name = decoded.value()->body.AsHello()->self->name;
      connection_names_[id] = name;
    }
  }
  return fault_fires_for(FaultPoint::cut_in, name);
}

bool RouterHost::drops_outgoing(ConnectionId id, std::string const& frame) {
  std::map<ConnectionId, std::string>::const_iterator const position = connection_names_.find(id);
  if (position != connection_names_.end() && fault_fires_for(FaultPoint::cut_out, position->second)) return true;
  wire::Frame const* const decoded = flatbuffers::GetSizePrefixedRoot<wire::Frame>(frame.data());
  switch (decoded->body_type()) {
    case wire::Body::Chosen:
      return fault_fires(FaultPoint::spread_lost);
    case wire::Body::Promise:
      return fault_fires(FaultPoint::promise_lost);
    case wire::Body::Accepted:
      return fault_fires(FaultPoint::accepted_lost);
    case wire::Body::ChosenAck:
      return fault_fires(FaultPoint::confirm_lost);
    case wire::Body::Deltas:
      return fault_fires(FaultPoint::delta_lost);
    case wire::Body::TreePage:
      return fault_fires(FaultPoint::page_lost);
    case wire::Body::Entries:
      return fault_fires(FaultPoint::entries_lost);
    default:
      return false;
  }
}

// Performs the I/O that the node core requested.
void RouterHost::apply_effects(NodeEffects& out) {
  if (out.record_to_sync) disk_->save(std::move(*out.record_to_sync));
  for (std::string const& address : out.mesh.dial_addresses) connections_->dial(address);
  for (ConnectionEffects::OutgoingFrame& send : out.mesh.outgoing_frames) {
    if (settings_.faults && drops_outgoing(send.connection, send.bytes)) continue;
    mesh_bytes_ += send.bytes.size();
    mesh_bytes_by_zone_[node_->mesh.zone_of(send.connection)] += send.bytes.size();
    traffic_.count_sent(body_type_of(send.bytes), send.bytes.size());
    if (settings_.faults && fault_fires(FaultPoint::frame_corrupted))
      for (std::size_t i = 4; i < send.bytes.size(); ++i) send.bytes[i] = static_cast<char>(send.bytes[i] ^ 0x5a);
    connections_->send(send.connection, send.bytes);
  }
  for (ConnectionId const id : out.mesh.closed_connections) {
    connection_names_.erase(id);
    connections_->close(id);
  }
  for (ChatAttemptStart const& start : out.chat.attempts) {
    std::map<std::uint64_t, ClientRequest>::iterator const position = requests_.find(start.chat_request);
    if (position == requests_.end()) continue;
    Worker const* const worker = node_->fleet.find(start.worker);
    position->second.worker_zone = worker == nullptr ? "" : worker->row.zone;
    attempt_bytes_by_zone_[position->second.worker_zone] += position->second.body->size();
    upstream_->start(start, position->second.id, position->second.path, position->second.body, position->second.stream);
  }
  for (ChatFailure const& failure : out.chat.failures) fail_request(failure);
  for (std::uint64_t const id : out.chat.cancelled_attempts) upstream_->cancel(id);
  for (ChangeReply const& item : out.replies) answer_operator(item);
  if (out.read_list) {
    if (fault_fires(FaultPoint::list_fail)) {
      NodeEffects more;
      node_->handle_worker_list(std::nullopt, true, now(), more);
      apply_effects(more);
    } else {
      upstream_->fetch(
          settings_.platform, "/workers", seconds(1), [this](bool good, bool refused, std::string const& body) {
            std::optional<std::vector<ListRow>> rows;
            if (good) {
              Result<std::vector<ListRow>> read =
                  read_worker_list(fault_fires(FaultPoint::list_torn) ? body.substr(0, body.size() / 2) : body);
              if (read) rows = std::move(read.value());
            }
            NodeEffects more;
            node_->handle_worker_list(rows, refused || !body.empty(), now(), more);
            apply_effects(more);
          });
    }
  }
  for (HealthCheck const& check : out.health_checks) {
    if (fault_fires_for(FaultPoint::cut_workers, check.worker) || fault_fires(FaultPoint::health_check_fail)) {
      NodeEffects more;
      node_->handle_health_report(check, std::nullopt, false, now(), more);
      apply_effects(more);
      continue;
    }
    upstream_->fetch(check.address, "/vitals", millis(1000),
                     [this, check](bool good, bool refused, std::string const& body) {
                       std::optional<HealthReport> report;
                       if (good) {
                         Result<HealthReport> read = read_health_report(body);
                         if (read) report = read.value();
                       }
                       NodeEffects more;
                       node_->handle_health_report(check, report, refused, now(), more);
                       apply_effects(more);
                     });
  }
}

void RouterHost::refuse(std::uint64_t id, Error const& error) {
  ++error_answers_[error_code_row(error.code).name];
  chat_server_->answer(id, error_response(error));
}

void RouterHost::fail_request(ChatFailure const& failure) {
  ++error_answers_[error_code_row(failure.error.code).name];
  ErrorResponse const out = error_response(failure.error, failure.execution, failure.retry_after);
  std::map<std::uint64_t, ClientRequest>::iterator const position = requests_.find(failure.chat_request);
  if (position == requests_.end()) return;
  bool const begun = position->second.answer_begun;
  requests_.erase(position);
  if (begun) {
    log_event(Event::stream_broken, error_code_row(failure.error.code).name);
    chat_server_->break_off(failure.chat_request, "event: error\ndata: " + out.body + "\n\n");
  } else {
    chat_server_->answer(failure.chat_request, out);
  }
}

// §8.4: during the grace only /ready fails and each answer closes its connection, so that clients that follow either
// have moved to another router when the grace ends.
void RouterHost::begin_drain() {
  if (grace_until_ >= 0) {
    g_main_loop_quit(loop_);  // a second signal ends the process at once
    return;
  }
  grace_until_ = now() + settings_.grace;
  chat_server_->close_after_answers();
  log_event(Event::grace_began, "");
}

void RouterHost::check_drain() {
  if (grace_until_ < 0) return;
  if (drain_until_ < 0) {
    if (now() < grace_until_) return;
    drain_until_ = now() + settings_.drain;
    chat_server_->stop_listening();
    NodeEffects out;
    node_->drain(now(), out);
    apply_effects(out);
  }
  if ((node_->chat_requests_in_flight() == 0 && chat_server_->open_calls() == 0) || now() >= drain_until_)
    g_main_loop_quit(loop_);
}

void RouterHost::reload() {
  std::string const flag = "--settings=" + settings_.file;
  char const* const argv[] = {"reload", flag.c_str()};
  if (settings_.file.empty()) {
    log_event(Event::settings_rejected, "reload: the process was started without a settings file");
    return;
  }
  Result<Settings> fresh = read_settings(2, argv, role_ == MemberRole::config_store);
  std::string why;
  if (!fresh) {
    why = fresh.error().what;
  } else {
    Settings const& s = fresh.value();
    // The identity of a process cannot change while it runs; its limits and timeouts can.
    if (s.name != settings_.name || s.cluster != settings_.cluster || s.zone != settings_.zone ||
        s.mesh != settings_.mesh || s.http != settings_.http || s.data_directory != settings_.data_directory ||
        s.initial_members != settings_.initial_members || s.memory_bytes != settings_.memory_bytes ||
        s.descriptors != settings_.descriptors || s.models != settings_.models || s.seeds != settings_.seeds ||
        s.faults != settings_.faults || s.log != settings_.log)
      why = "only platform, grace, drain and body can change without a restart";
  }
  if (!why.empty()) {
    log_event(Event::settings_rejected, why);
    return;
  }
  settings_.grace = fresh.value().grace;
  settings_.drain = fresh.value().drain;
  settings_.max_body_bytes = fresh.value().max_body_bytes;
  settings_.platform = fresh.value().platform;
  log_event(Event::settings_applied, settings_.file);
}

int RouterHost::run() {
  tick_source_ = g_timeout_add(
      tick_ms,
      [](gpointer data) -> gboolean {
        RouterHost& host = *static_cast<RouterHost*>(data);
        NodeEffects out;
        // The delay of a tick measures the longest turn of the loop. A delay of a second or more means that the process
        // was stopped, which the core counts as a clock jump.
        Micros const gap = now() - host.last_tick_at_;
        if (host.last_tick_at_ > 0 && gap < seconds(1))
          host.longest_loop_turn_us_ = std::max(host.longest_loop_turn_us_,
                                                static_cast<std::uint64_t>(std::max<Micros>(0, gap - millis(tick_ms))));
        host.last_tick_at_ = now();
        host.node_->tick(now(), out);
        host.traffic_.log_busy_second(now(), host.node_->exchange.index_changes);
        host.apply_effects(out);
        host.check_drain();
        return G_SOURCE_CONTINUE;
      },
      this);
  guint const term = g_unix_signal_add(
      SIGTERM,
      [](gpointer data) -> gboolean {
        static_cast<RouterHost*>(data)->begin_drain();
        return G_SOURCE_CONTINUE;
      },
      this);
  guint const interrupt = g_unix_signal_add(
      SIGINT,
      [](gpointer data) -> gboolean {
        static_cast<RouterHost*>(data)->begin_drain();
        return G_SOURCE_CONTINUE;
      },
      this);
  guint const hup = g_unix_signal_add(
      SIGHUP,
      [](gpointer data) -> gboolean {
        static_cast<RouterHost*>(data)->reload();
        return G_SOURCE_CONTINUE;
      },
      this);
  log_event(Event::process_started, settings_.http + " mesh " + settings_.mesh);
  g_main_loop_run(loop_);
  g_source_remove(term);
  g_source_remove(interrupt);
  g_source_remove(hup);
  log_event(Event::process_stopped, "");
  return exit_code_;
}

int run_node(int argc, char** argv, MemberRole role) {
  bool const replica = role == MemberRole::config_store;
  Result<Settings> settings = read_settings(argc, argv, replica);
  if (!settings) {
    std::fprintf(stderr, "%s: %s\n", replica ? "pipitspool-config-store" : "pipitspool-router",
                 settings.error().what.c_str());
    return 2;
  }
  if (settings.value().help) {
    std::fputs(settings.value().help_text.c_str(), stdout);
    return 0;
  }
  open_log(settings.value().name, settings.value().log);
  std::optional<wire::RecordT> recovered;
  std::unique_ptr<PosixDisk> disk;
  std::unique_ptr<RecordStore> store;
  if (replica) {
    disk = std::make_unique<PosixDisk>(settings.value().data_directory);
    store = std::make_unique<RecordStore>(*disk, settings.value().cluster, settings.value().name);
    Result<void> const locked = disk->lock();
    bool blank = false;
    std::uint64_t const fresh = random_seed();
    Result<wire::RecordT> opened = locked ? store->open(fresh, blank) : Result<wire::RecordT>(locked.as_failure());
    if (!opened) {
      std::fprintf(stderr, "pipitspool-config-store: data: %s\n", opened.error().what.c_str());
      return 2;
    }
    recovered = std::move(opened.value());
    log_event(blank ? Event::replica_formatted : Event::replica_recovered,
              "serial " + std::to_string(recovered->value ? recovered->value->serial : 0));
  }
  RouterHost host(std::move(settings.value()), role, std::move(recovered), std::move(disk), std::move(store));
  Result<void> const listening = host.listen();
  if (!listening) {
    std::fprintf(stderr, "%s: %s\n", replica ? "pipitspool-config-store" : "pipitspool-router",
                 listening.error().what.c_str());
    return 2;
  }
  return host.run();
}

}  // namespace pipit
