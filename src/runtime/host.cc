#include "runtime/host.h"

#include <glib-unix.h>
#include <unistd.h>

#include <cstdio>

#include "base/events.h"
#include "base/faults.h"
#include "base/json_writer.h"
#include "config/description/description.h"
#include "flow/errand/parse.h"

namespace pipit {

namespace {
Micros now() { return g_get_monotonic_time(); }
constexpr guint tick_ms = 25;
}  // namespace

Host::Host(Settings settings_, Role role_, std::optional<wire::RecordT> recovered, std::unique_ptr<PosixDisk> disk_,
           std::unique_ptr<RecordStore> store)
    : settings(std::move(settings_)), role(role_), loop(g_main_loop_new(nullptr, FALSE)) {
  NodePlan plan;
  plan.cluster = settings.cluster;
  plan.name = settings.name;
  plan.zone = settings.zone;
  plan.address = settings.mesh;
  plan.http = settings.http;
  plan.role = role;
  plan.seeds = settings.seeds;
  plan.models = settings.models;
  plan.founders = settings.founders;
  plan.incarnation = static_cast<std::uint64_t>(g_get_real_time());
  plan.chance = plan.incarnation ^ hash_text(settings.name);
  node = std::make_unique<Node>(plan, now(), std::move(recovered));

  Connections::Callbacks we;
  we.opened = [this](WireId id, bool outbound, std::string const& address) {
    NodeOut out;
    node->opened(id, outbound, address, now(), out);
    act(out);
  };
  we.shut = [this](WireId id) {
    NodeOut out;
    connection_names.erase(id);
    node->shut(id, now(), out);
    act(out);
  };
  we.failed = [this](std::string const& address, bool refused) {
    NodeOut out;
    node->dial_failed(address, refused, now(), out);
    act(out);
  };
  we.frame = [this](WireId id, std::string_view frame) {
    wire_bytes += frame.size();
    if (settings.faults && dropped_in(id, frame)) return true;
    NodeOut out;
    bool const good = node->bytes(id, frame, now(), out);
    act(out);
    return good;
  };
  connections = std::make_unique<Connections>(std::move(we));

  Legs::Callbacks le;
  le.sent = [this](std::uint64_t id) { node->leg_sent(id); };
  le.piece = [this](std::uint64_t id, std::string const& event) {
    std::map<std::uint64_t, Caller>::iterator const spot = callers.find(id);
    if (spot == callers.end()) return;
    if (!spot->second.begun) {
      spot->second.begun = true;
      node->leg_began(id);
    }
    legs_with[spot->second.worker_zone] += event.size() + 2;
    front->piece(id, event + "\n\n", {{"X-Request-Id", spot->second.id}});
  };
  le.whole = [this](std::uint64_t id, std::string const& body) {
    std::map<std::uint64_t, Caller>::iterator const spot = callers.find(id);
    if (spot == callers.end()) return;
    legs_with[spot->second.worker_zone] += body.size();
    front->answer(id, 200, "application/json", body, {{"X-Request-Id", spot->second.id}});
  };
  le.ended = [this](std::uint64_t id, LegEnd end, std::string const& why, Micros back) {
    if (end == LegEnd::done && callers.count(id)) {
      if (callers[id].stream) {
        front->piece(id, "data: [DONE]\n\n");
        front->end(id);
      }
      callers.erase(id);
    }
    NodeOut out;
    node->leg_ended(id, end, why, back, now(), out);
    act(out);
  };
  legs = std::make_unique<Legs>(std::move(le));

  Front::Callbacks fe;
  fe.call = [this](Front::Call const& call) { on_call(call); };
  fe.gone = [this](std::uint64_t id) {
    asked.erase(id);
    if (callers.erase(id) == 0) return;
    NodeOut out;
    node->hung_up(id, now(), out);
    act(out);
  };
  front = std::make_unique<Front>(std::move(fe), std::max(settings.body, description_limit + 4096));

  if (store)
    disk = std::make_unique<DiskTask>(std::move(disk_), std::move(store), [this](bool good, std::string const& why) {
      if (!good) {
        // §5.6: after a failed sync nothing is known of what the disk holds; the keeper must not speak again.
        log_event(Event::disk_failed, why);
        code = 3;
        g_main_loop_quit(loop);
        return;
      }
      NodeOut out;
      node->disk_done(now(), out);
      act(out);
    });
}

Host::~Host() {
  if (ticker != 0) g_source_remove(ticker);
  front.reset();
  legs.reset();
  connections.reset();
  disk.reset();
  g_main_loop_unref(loop);
}

Result<void> Host::listen() {
  Result<void> done = connections->listen(settings.mesh);
  if (!done) return done;
  return front->listen(settings.http);
}

bool Host::dropped_in(WireId id, std::string_view frame) {
  std::string name = connection_names.count(id) ? connection_names[id] : "";
  if (name.empty()) {
    Result<std::unique_ptr<wire::FrameT>> seen = decode(frame);
    if (seen && seen.value()->body.type == wire::Body::Hello && seen.value()->body.AsHello()->self) {
      name = seen.value()->body.AsHello()->self->name;
      connection_names[id] = name;
    }
  }
  return fires_for(Point::cut_in, name);
}

bool Host::dropped_out(WireId id, std::string const& frame) {
  std::map<WireId, std::string>::const_iterator const spot = connection_names.find(id);
  if (spot != connection_names.end() && fires_for(Point::cut_out, spot->second)) return true;
  wire::Frame const* const seen = flatbuffers::GetSizePrefixedRoot<wire::Frame>(frame.data());
  switch (seen->body_type()) {
    case wire::Body::Chosen:
      return fires(Point::spread_lost);
    case wire::Body::Promise:
      return fires(Point::promise_lost);
    case wire::Body::Accepted:
      return fires(Point::accepted_lost);
    case wire::Body::Confirm:
      return fires(Point::confirm_lost);
    case wire::Body::Deltas:
      return fires(Point::delta_lost);
    case wire::Body::TreePage:
      return fires(Point::page_lost);
    case wire::Body::Entries:
      return fires(Point::entries_lost);
    default:
      return false;
  }
}

// The executor: obeys what the core decided.
void Host::act(NodeOut& out) {
  if (out.save) disk->save(std::move(*out.save));
  for (std::string const& address : out.mesh.dials) connections->dial(address);
  for (Sends::Send& send : out.mesh.sends) {
    if (settings.faults && dropped_out(send.wire, send.bytes)) continue;
    wire_bytes += send.bytes.size();
    mesh_to[node->mesh.zone_of(send.wire)] += send.bytes.size();
    frame_bytes[flatbuffers::GetSizePrefixedRoot<wire::Frame>(send.bytes.data())->body_type()] += send.bytes.size();
    if (settings.faults && fires(Point::wire_garbage))
      for (std::size_t i = 4; i < send.bytes.size(); ++i) send.bytes[i] = static_cast<char>(send.bytes[i] ^ 0x5a);
    connections->send(send.wire, send.bytes);
  }
  for (WireId const id : out.mesh.shuts) {
    connection_names.erase(id);
    connections->shut(id);
  }
  for (Start const& start : out.desk.starts) {
    std::map<std::uint64_t, Caller>::iterator const spot = callers.find(start.errand);
    if (spot == callers.end()) continue;
    Worker const* const worker = node->fleet.find(start.worker);
    spot->second.worker_zone = worker == nullptr ? "" : worker->row.zone;
    legs_with[spot->second.worker_zone] += spot->second.body.size();
    legs->start(start, spot->second.id, spot->second.path, spot->second.body, spot->second.stream);
  }
  for (Verdict const& verdict : out.desk.ends) finish(verdict);
  for (std::uint64_t const id : out.desk.drops) legs->cut(id);
  for (Reply const& item : out.replies) reply(item);
  if (out.read_list) {
    if (fires(Point::list_fail)) {
      NodeOut more;
      node->list(std::nullopt, true, now(), more);
      act(more);
    } else {
      legs->get(settings.platform, "/workers", seconds(1), [this](bool good, bool refused, std::string const& body) {
        std::optional<std::vector<ListRow>> rows;
        if (good) {
          Result<std::vector<ListRow>> read =
              read_list(fires(Point::list_torn) ? body.substr(0, body.size() / 2) : body);
          if (read) rows = std::move(read.value());
        }
        NodeOut more;
        node->list(rows, refused || !body.empty(), now(), more);
        act(more);
      });
    }
  }
  for (Check const& check : out.checks) {
    if (fires_for(Point::cut_workers, check.worker) || fires(Point::vitals_fail)) {
      NodeOut more;
      node->health_report(check, std::nullopt, false, now(), more);
      act(more);
      continue;
    }
    legs->get(check.address, "/vitals", millis(1000), [this, check](bool good, bool refused, std::string const& body) {
      std::optional<HealthReport> report;
      if (good) {
        Result<HealthReport> read = read_health_report(body);
        if (read) report = read.value();
      }
      NodeOut more;
      node->health_report(check, report, refused, now(), more);
      act(more);
    });
  }
}

void Host::refuse(std::uint64_t id, Fault const& fault) {
  ++kinds[kind_row(fault.kind).name];
  front->answer(id, answer_for(fault));
}

void Host::finish(Verdict const& verdict) {
  ++kinds[kind_row(verdict.fault.kind).name];
  Answer const out = answer_for(verdict.fault, verdict.ran, verdict.wait);
  std::map<std::uint64_t, Caller>::iterator const spot = callers.find(verdict.errand);
  if (spot == callers.end()) return;
  bool const begun = spot->second.begun;
  callers.erase(spot);
  if (begun) {
    log_event(Event::stream_broke, kind_row(verdict.fault.kind).name);
    front->break_off(verdict.errand, "event: error\ndata: " + out.body + "\n\n");
  } else {
    front->answer(verdict.errand, out);
  }
}

// §8.4: first only /ready says no, and answers close their wires; whoever follows either is elsewhere when the grace
// ends.
void Host::begin_drain() {
  if (grace_until >= 0) {
    g_main_loop_quit(loop);  // asked twice: at once
    return;
  }
  grace_until = now() + settings.grace;
  front->closing();
  log_event(Event::grace_began, "");
}

void Host::look_drain() {
  if (grace_until < 0) return;
  if (drain_until < 0) {
    if (now() < grace_until) return;
    drain_until = now() + settings.drain;
    front->stop_listening();
    NodeOut out;
    node->drain(now(), out);
    act(out);
  }
  if ((node->under_way() == 0 && front->open() == 0) || now() >= drain_until) g_main_loop_quit(loop);
}

void Host::reload() {
  std::string const flag = "--settings=" + settings.file;
  char const* const argv[] = {"reload", flag.c_str()};
  if (settings.file.empty()) {
    log_event(Event::settings_refused, "there is no settings file");
    return;
  }
  Result<Settings> fresh = read_settings(2, argv, role == Role::accord);
  std::string why;
  if (!fresh) {
    why = fresh.error().why;
  } else {
    Settings const& s = fresh.value();
    // What a process is cannot change while it lives; what it allows can.
    if (s.name != settings.name || s.cluster != settings.cluster || s.zone != settings.zone ||
        s.mesh != settings.mesh || s.http != settings.http || s.data != settings.data ||
        s.founders != settings.founders || s.models != settings.models || s.seeds != settings.seeds ||
        s.faults != settings.faults || s.log != settings.log)
      why = "only platform, grace, drain and body can change without a restart";
  }
  if (!why.empty()) {
    log_event(Event::settings_refused, why);
    return;
  }
  settings.grace = fresh.value().grace;
  settings.drain = fresh.value().drain;
  settings.body = fresh.value().body;
  settings.platform = fresh.value().platform;
  log_event(Event::settings_taken, settings.file);
}

int Host::run() {
  ticker = g_timeout_add(
      tick_ms,
      [](gpointer data) -> gboolean {
        Host& host = *static_cast<Host*>(data);
        NodeOut out;
        // How late a tick comes tells the longest turn of the loop; a node that stood still is counted elsewhere.
        Micros const gap = now() - host.ticked;
        if (host.ticked > 0 && gap < seconds(1))
          host.longest_turn =
              std::max(host.longest_turn, static_cast<std::uint64_t>(std::max<Micros>(0, gap - millis(tick_ms))));
        host.ticked = now();
        host.node->tick(now(), out);
        host.act(out);
        host.look_drain();
        return G_SOURCE_CONTINUE;
      },
      this);
  guint const term = g_unix_signal_add(
      SIGTERM,
      [](gpointer data) -> gboolean {
        static_cast<Host*>(data)->begin_drain();
        return G_SOURCE_CONTINUE;
      },
      this);
  guint const interrupt = g_unix_signal_add(
      SIGINT,
      [](gpointer data) -> gboolean {
        static_cast<Host*>(data)->begin_drain();
        return G_SOURCE_CONTINUE;
      },
      this);
  guint const hup = g_unix_signal_add(
      SIGHUP,
      [](gpointer data) -> gboolean {
        static_cast<Host*>(data)->reload();
        return G_SOURCE_CONTINUE;
      },
      this);
  log_event(Event::started, settings.http + " mesh " + settings.mesh);
  g_main_loop_run(loop);
  g_source_remove(term);
  g_source_remove(interrupt);
  g_source_remove(hup);
  log_event(Event::stopped, "");
  return code;
}

int run_node(int argc, char** argv, Role role) {
  bool const keeper = role == Role::accord;
  Result<Settings> settings = read_settings(argc, argv, keeper);
  if (!settings) {
    std::fprintf(stderr, "%s: %s\n", keeper ? "accord" : "passage", settings.error().why.c_str());
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
  if (keeper) {
    disk = std::make_unique<PosixDisk>(settings.value().data);
    store = std::make_unique<RecordStore>(*disk, settings.value().cluster, settings.value().name);
    Result<void> const locked = disk->lock();
    bool blank = false;
    std::uint64_t const fresh =
        hash_bits(static_cast<std::uint64_t>(g_get_real_time()) ^ (static_cast<std::uint64_t>(g_random_int()) << 32));
    Result<wire::RecordT> opened = locked ? store->open(fresh, blank) : Result<wire::RecordT>(locked.as_failure());
    if (!opened) {
      std::fprintf(stderr, "accord: data: %s\n", opened.error().why.c_str());
      return 2;
    }
    recovered = std::move(opened.value());
    log_event(blank ? Event::keeper_blank : Event::keeper_back,
              "serial " + std::to_string(recovered->value ? recovered->value->serial : 0));
  }
  Host host(std::move(settings.value()), role, std::move(recovered), std::move(disk), std::move(store));
  Result<void> const listening = host.listen();
  if (!listening) {
    std::fprintf(stderr, "%s: %s\n", keeper ? "accord" : "passage", listening.error().why.c_str());
    return 2;
  }
  return host.run();
}

}  // namespace pipit
