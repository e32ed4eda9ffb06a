#include "gate/station/station.h"

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

Station::Station(StationPlan plan_) : plan(std::move(plan_)), loop(g_main_loop_new(nullptr, FALSE)) {}

Station::~Station() {
  relay.reset();
  control_server.reset();
  ready_server.reset();
  metrics_server.reset();
  connections.reset();
  disk.reset();
  g_main_loop_unref(loop);
}

Result<void> Station::open() {
  std::optional<wire::RecordT> recovered;
  std::unique_ptr<PosixDisk> posix;
  std::unique_ptr<RecordStore> ring;
  if (!plan.data.empty()) {
    posix = std::make_unique<PosixDisk>(plan.data);
    ring = std::make_unique<RecordStore>(*posix, plan.node.cluster, plan.node.name, 256u << 10);
    bool blank = false;
    std::uint64_t const fresh = random_seed();
    // A disk that is full or hangs when the process starts is waited for: without it the node is no keeper.
    Result<wire::RecordT> opened = ring->open(fresh, blank);
    for (int tries = 0; !opened && opened.error().kind == Kind::bad_disk && tries < 50; ++tries) {
      if (tries == 0) log_event(Event::disk_waits, opened.error().why);
      g_usleep(100000);
      opened = ring->open(fresh, blank);
    }
    if (!opened) return opened.as_failure();
    recovered = std::move(opened.value());
    log_event(blank ? Event::keeper_blank : Event::keeper_back,
              "serial " + std::to_string(recovered->value ? recovered->value->serial : 0));
  }
  node = std::make_unique<Node>(plan.node, now(), std::move(recovered));

  Connections::Callbacks we;
  we.opened = [this](WireId id, bool outbound, std::string const& address) {
    NodeOut out;
    node->opened(id, outbound, address, now(), out);
    act(out);
  };
  we.shut = [this](WireId id) {
    NodeOut out;
    node->shut(id, now(), out);
    act(out);
  };
  we.failed = [this](std::string const& address, bool refused) {
    NodeOut out;
    node->dial_failed(address, refused, now(), out);
    act(out);
  };
  we.frame = [this](WireId id, std::string_view frame) {
    NodeOut out;
    bool const good = node->bytes(id, frame, now(), out);
    act(out);
    return good;
  };
  connections = std::make_unique<Connections>(std::move(we));

  Relay::Callbacks re;
  re.request = [this](std::uint64_t id, Query query) {
    NodeOut out;
    node->request(id, std::move(query), now(), out);
    act(out);
  };
  re.ended = [this](std::uint64_t id, AttemptEnd end, bool elsewhere) {
    NodeOut out;
    node->attempt_ended(id, end, elsewhere, now(), out);
    act(out);
  };
  re.gone = [this](std::uint64_t id) { return node->dispatcher.hung_up(id, now()); };
  relay = std::make_unique<Relay>(node->dispatcher, plan.dialect, plan.own_host, std::move(re));
  control_server = std::make_unique<Server>(
      Server::Callbacks{[this](Server::Call&& call) { on_call(std::move(call)); }, [](std::uint64_t) {}});
  Server::Limits wide;
  wide.body_most = plan.control_body;
  control_server->limit(wide);
  ready_server = std::make_unique<Server>(
      Server::Callbacks{[this](Server::Call&& call) { on_ready(std::move(call)); }, [](std::uint64_t) {}});

  metrics_server = std::make_unique<Server>(
      Server::Callbacks{[this](Server::Call&& call) { on_metrics(std::move(call)); }, [](std::uint64_t) {}});
  if (ring)
    disk = std::make_unique<DiskTask>(
        std::move(posix), std::move(ring),
        [this](bool, std::string const&) {
          NodeOut out;
          node->disk_done(now(), out);
          act(out);
        },
        true);
  Result<void> done = connections->listen(plan.mesh.empty() ? plan.node.address : plan.mesh);
  if (done && !plan.control.empty()) done = control_server->listen(plan.control);
  if (done && !plan.ready.empty()) done = ready_server->listen(plan.ready);
  // A node without its metrics still serves: somebody else may listen there.
  if (done && !plan.metrics.empty())
    if (Result<void> const told = metrics_server->listen(plan.metrics); !told)
      log_event(Event::metrics_untold, told.error().why);
  if (done && !plan.front.empty()) done = relay->listen(plan.front);
  return done;
}

// The executor: obeys what the core decided.
void Station::act(NodeOut& out) {
  if (out.save && disk) disk->save(std::move(*out.save));
  for (std::string const& address : out.mesh.dials) connections->dial(address);
  for (Sends::Send& send : out.mesh.sends) connections->send(send.wire, send.bytes);
  for (WireId const id : out.mesh.shuts) connections->shut(id);
  if (!out.dispatch.empty()) relay->act(out.dispatch);
  std::vector<Reply> const replies = std::move(out.replies);
  for (Reply const& item : replies) {
    std::map<std::uint64_t, Done>::iterator const spot = asked.find(item.id);
    if (spot == asked.end()) continue;
    Done const done = std::move(spot->second);
    asked.erase(spot);
    done(item);
  }
  std::vector<EndAnswer> const end_answers = std::move(out.end_answers);
  for (EndAnswer const& item : end_answers) {
    std::map<std::uint64_t, EndDone>::iterator const spot = ends_asked.find(item.id);
    if (spot == ends_asked.end()) continue;
    EndDone const done = std::move(spot->second);
    ends_asked.erase(spot);
    done(item.known);
  }
  if (limits_of != node->dispatcher.description()) {
    limits_of = node->dispatcher.description();
    relay->limits(limits_of->limits);
  }
}

bool Station::beat(Beat const& word) {
  NodeOut out;
  bool const heard = node->beat(word, now(), out);
  act(out);
  return heard;
}

void Station::await_end(std::string const& worker, EndDone done) {
  std::uint64_t const id = ++next_ask;
  ends_asked.emplace(id, std::move(done));
  NodeOut out;
  node->await_end(id, worker, now(), out);
  act(out);
}

bool Station::beat_end(std::string const& id, std::uint64_t order) {
  if (node->registry.find(id) == nullptr) return false;
  NodeOut out;
  node->beat_end(id, order, now(), out);
  relay->forget(id);
  act(out);
  return true;
}

void Station::operate(Change change, Done done) {
  std::uint64_t const id = ++next_ask;
  asked.emplace(id, std::move(done));
  NodeOut out;
  node->operate(id, std::move(change), now(), out);
  act(out);
}

void Station::answer(std::uint64_t call, unsigned status, std::string const& body,
                     std::vector<std::pair<std::string, std::string>> const& fields) {
  Head head;
  head.status = status;
  head.fields = fields;
  head.fields.emplace_back("Content-Type", "application/json");
  control_server->answer(call, head, body);
}

void Station::note_order(std::string const& call, unsigned status, std::string const& why) {
  ++order_answers[std::to_string(status)];
  log_event(Event::order_answered, call + " " + std::to_string(status) + (why.empty() ? "" : " " + why));
}

void Station::on_ready(Server::Call&& call) {
  bool const path = call.head.target == plan.ready_path;
  bool const yes = node->takes_requests(now()) && stop_from < 0;
  Head head;
  head.status = !path ? 404 : yes ? 200 : 503;
  ready_server->answer(call.id, head, "");
}

void Station::on_metrics(Server::Call&& call) {
  bool const path = call.head.method == "GET" && call.head.target == "/metrics";
  Head head;
  head.status = path ? 200 : 404;
  head.fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
  metrics_server->answer(call.id, head, path ? metrics() : "");
}

void Station::on_call(Server::Call&& call) {
  std::uint64_t const id = call.id;
  if (control && control(call)) return;
  // The product's own paths, as on its other programs (docs/api.md).
  if (call.head.method == "GET" && call.head.target == "/health") return answer(id, 200, "{\"ok\":true}");
  if (call.head.method == "GET" && call.head.target == "/v1/status") return answer(id, 200, status());
  if (call.head.method == "GET" && call.head.target == "/v1/tenants") return answer(id, 200, tenants());
  if (call.head.method == "GET" && call.head.target == "/metrics") return answer(id, 200, metrics());
  answer(id, 404, answer_for(Fault{Kind::not_found, "", ""}).body);
}

void Station::stop() {
  if (stop_from >= 0) return;
  stop_from = now();
  relay->server.closing();
  node->retire();
  log_event(Event::grace_began, "");
}

// §12.6: first only the word that no new callers are wanted; then the doors; then what is under way comes to its end.
void Station::look_stop(Micros at) {
  if (stop_from < 0) return;
  Micros const span = at - stop_from;
  if (!doors_shut && span >= std::min(heed, plan.grace / 3)) {
    doors_shut = true;
    relay->server.stop_listening();
    relay->server.close_idle();
    NodeOut out;
    node->drain(at, out);
    act(out);
  }
  if (!doors_shut) return;
  relay->server.close_idle();
  // What a slow caller has not taken yet would end with the process too. A keeper stays until another one has its
  // place, where one is here to take it.
  bool const finished = relay->server.calls() == 0 && relay->server.finishing() == 0;
  bool const idle = finished && asked.empty() && ends_asked.empty() && node->may_end(at);
  if (idle || span >= plan.grace - last_moment) g_main_loop_quit(loop);
}

void Station::tick() {
  Micros const at = now();
  NodeOut out;
  node->tick(at, out);
  act(out);
  if (at >= next_sweep) {
    next_sweep = at + millis(500);
    relay->sweep(at);
    control_server->sweep(at);
    ready_server->sweep(at);
    metrics_server->sweep(at);
  }
  if (look && at >= next_look) {
    next_look = at + seconds(2);
    look();
  }
  look_stop(at);
}

namespace {
gboolean on_stop(gpointer data) {
  static_cast<Station*>(data)->stop();
  return G_SOURCE_CONTINUE;
}
}  // namespace

int Station::run() {
  guint const ticker = g_timeout_add(
      tick_ms,
      [](gpointer data) -> gboolean {
        static_cast<Station*>(data)->tick();
        return G_SOURCE_CONTINUE;
      },
      this);
  guint const term = g_unix_signal_add(SIGTERM, on_stop, this);
  guint const interrupt = g_unix_signal_add(SIGINT, on_stop, this);
  guint const hup = g_unix_signal_add(
      SIGHUP,
      [](gpointer data) -> gboolean {
        Station& self = *static_cast<Station*>(data);
        if (self.look) self.look();
        return G_SOURCE_CONTINUE;
      },
      this);
  log_event(Event::started, plan.front + " mesh " + plan.node.address);
  g_main_loop_run(loop);
  g_source_remove(ticker);
  g_source_remove(term);
  g_source_remove(interrupt);
  g_source_remove(hup);
  log_event(Event::stopped, "");
  std::cout.flush();
  // A disk that hangs must not hold the end up: whatever it has not synced was answered to nobody.
  ::_exit(0);
}

}  // namespace pipit
