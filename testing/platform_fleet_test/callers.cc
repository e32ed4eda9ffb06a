#include "testing/platform_fleet_test/callers.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros tick_span = millis(10);
constexpr Micros window = seconds(2);
constexpr std::size_t kept_most = 6;  // connections of one client
constexpr int kept_cut_most = 3;
constexpr std::size_t failed_most = 200;  // that are looked for in the logs

std::string kind_of(std::string const& body) {
  std::size_t const at = body.find("\"kind\":\"");
  if (at == std::string::npos) return "";
  return " " + body.substr(at + 8, body.find('"', at + 8) - at - 8);
}
}  // namespace

struct Callers::Client {
  std::string ip;
  std::string zone;
  std::uint64_t hash = 0;
  bool keeps = false;
  bool impatient = false;                                                       // ignores the wait that it is told
  std::vector<std::pair<std::string, std::shared_ptr<ClientConnection>>> free;  // with the node's name
};

struct Callers::Request {
  std::uint64_t id = 0;
  std::size_t of = 0;
  Client* client = nullptr;
  std::string prompt;
  std::int64_t tokens = 0;
  std::int64_t events = 0;
  std::string path;
  std::string body;
  double size = 1;  // of its worth
  Micros arrived_at = 0;
  Micros due = 0;
  int attempt_count = 0;
  // The present try.
  Attempt* attempt = nullptr;
  Node* node = nullptr;
  std::shared_ptr<ClientConnection> line;
  Micros sent = 0;
  Micros heard = 0;
  unsigned status = 0;
  std::string answer;
  bool waiting = false;  // between two tries
  // Over all of them.
  Reading reading;
  Micros first = -1;
  Micros last = 0;
  Micros widest = 0;  // pause between events
  bool refused_early = false;
};

Callers::Callers(Shape const& shape_, Nodes& nodes_, Judge& judge_, int net_, std::uint64_t seed, double scale_)
    : shape(shape_), nodes(nodes_), judge(judge_), net(net_), random(seed), jitter(~seed), scale(scale_) {
  tally.classes.resize(shape.classes.size());
  int n = 0;
  for (Zone const& zone : shape.zones)
    for (int i = 0; i < zone.clients; ++i) {
      std::unique_ptr<Client> client = std::make_unique<Client>();
      ++n;
      client->ip = "127." + std::to_string(net) + ".3." + std::to_string(n);
      client->zone = zone.name;
      client->hash = hash_text(client->ip, seed);
      client->keeps = i % 2 == 0;
      client->impatient = i % 10 == 9;
      clients[zone.name].push_back(std::move(client));
    }
}

Callers::~Callers() = default;

double Callers::unit() { return (static_cast<double>(random.next() >> 11) + 0.5) * 0x1.0p-53; }

double Callers::draw(Spread const& spread) {
  if (spread.spread <= 0) return spread.mean;
  double const sigma2 = std::log(1 + spread.spread * spread.spread);
  double const normal = std::sqrt(-2 * std::log(unit())) * std::cos(2 * 3.14159265358979 * unit());
  return std::min(spread.most, std::exp(std::log(spread.mean) - sigma2 / 2 + std::sqrt(sigma2) * normal));
}

std::size_t Callers::thing_of(SharedPart const& part, std::size_t of, std::size_t level) {
  std::vector<double>& sums = weights[{of, level}];
  if (sums.empty()) {
    double sum = 0;
    for (std::size_t i = 0; i < part.things; ++i)
      sums.push_back(sum += std::pow(static_cast<double>(i + 1), -part.skew));
  }
  return static_cast<std::size_t>(std::lower_bound(sums.begin(), sums.end(), unit() * sums.back()) - sums.begin());
}

double Callers::mean_size(std::size_t of) const {
  RequestClass const& item = shape.classes[of];
  double out = item.own_tokens.mean + 10 * item.events.mean * static_cast<double>(shape.engine.stride);
  for (SharedPart const& part : item.shared) out += part.tokens.mean;
  return out;
}

void Callers::begin() {
  began = next_tick = now();
  every(tick_span, [this] {
    // However late the loop is, as much comes as should.
    for (Micros const at = now(); !stopped && next_tick <= at; next_tick += tick_span) tick(next_tick);
    return true;
  });
  every(millis(50), [this] {
    close_overdue();
    return true;
  });
}

void Callers::perform(Fault const& fault) {
  for (std::size_t of = 0; of < shape.classes.size(); ++of) {
    if (!fault.on.empty() && fault.on != shape.classes[of].name) continue;
    Crowd crowd;
    crowd.of = of;
    crowd.until = now() + fault.span;
    if (fault.kind == Fault::Kind::burst) crowd.x = fault.x;
    if (fault.kind == Fault::Kind::hot) crowd.hot = fault.share;
    crowds.push_back(crowd);
  }
}

void Callers::tick(Micros at) {
  double const turn = static_cast<double>(at - began) / static_cast<double>(shape.period);
  std::erase_if(crowds, [at](Crowd const& crowd) { return crowd.until <= at; });
  for (Zone const& zone : shape.zones)
    for (std::size_t of = 0; of < shape.classes.size(); ++of) {
      double rate = shape.classes[of].per_second * zone.share * scale *
                    (1 + shape.swing * std::sin(2 * 3.14159265358979 * (turn + zone.phase)));
      for (Crowd const& crowd : crowds)
        if (crowd.of == of) rate *= crowd.x;
      // Requests come in clumps.
      double const clumps = rate * static_cast<double>(tick_span) / 1e6 / shape.clump;
      for (double left = clumps; left > 0; left -= 1) {
        if (!random.chance(std::min(1.0, left))) continue;
        std::uint64_t const many = 1 + random.below(static_cast<std::uint64_t>(2 * shape.clump - 1));
        for (std::uint64_t i = 0; i < many; ++i) come(zone, of);
      }
    }
}

void Callers::come(Zone const& zone, std::size_t of) {
  RequestClass const& item = shape.classes[of];
  std::unique_ptr<Request> made = std::make_unique<Request>();
  Request& request = *made;
  request.id = ++last;
  request.of = of;
  std::vector<std::unique_ptr<Client>>& here = clients[zone.name];
  request.client = here[random.below(here.size())].get();
  char text[64];
  for (std::size_t level = 0; level < item.shared.size(); ++level) {
    SharedPart const& part = item.shared[level];
    std::size_t thing = thing_of(part, of, level);
    for (Crowd const& crowd : crowds)
      if (crowd.of == of && level + 1 == item.shared.size() && crowd.hot > 0 && random.chance(crowd.hot)) thing = 0;
    // A text has one length, whoever asks for it.
    std::uint64_t const hash = hash_text(item.name + "/" + std::to_string(level) + "/" + std::to_string(thing));
    RandomSource own(hash);
    std::swap(own, random);
    std::int64_t const tokens = std::max<std::int64_t>(16, static_cast<std::int64_t>(draw(part.tokens)));
    std::swap(own, random);
    std::snprintf(text, sizeof text, "%08llx:%lld,", static_cast<unsigned long long>(hash & 0xffffffff),
                  static_cast<long long>(tokens));
    request.prompt += text;
    request.tokens += tokens;
  }
  std::int64_t const own = std::max<std::int64_t>(16, static_cast<std::int64_t>(draw(item.own_tokens)));
  std::snprintf(text, sizeof text, "%08llx:%lld", static_cast<unsigned long long>(random.next() & 0xffffffff),
                static_cast<long long>(own));
  request.prompt += text;
  request.tokens += own;
  request.events = std::max<std::int64_t>(1, static_cast<std::int64_t>(std::lround(draw(item.events))));
  std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(request.id));
  request.path = item.path_prefix + text;
  request.body = text + std::string(" ");
  while (request.body.size() < item.body_bytes) request.body += "abcdefghijklmnopqrstuvwxyz0123456789";
  request.body.resize(item.body_bytes);
  double const size = static_cast<double>(request.tokens + 10 * request.events * shape.engine.stride);
  request.size = std::min(4.0, 0.3 + 0.7 * size / mean_size(of));
  request.arrived_at = now();
  request.due = request.arrived_at + item.deadline;
  ++tally.classes[of].asked;
  requests.emplace(request.id, std::move(made));
  attempt(request);
}

void Callers::attempt(Request& request) {
  RequestClass const& item = shape.classes[request.of];
  Client& client = *request.client;
  Micros const at = now();
  request.waiting = false;
  request.status = 0;
  request.answer.clear();
  request.reading.rest.clear();
  request.reading.run = 0;
  request.sent = request.heard = at;
  request.line.reset();
  // Further tries go out on new connections, and meet other nodes.
  if (client.keeps && request.attempt_count == 0) {
    while (!client.free.empty() && !request.line) {
      std::pair<std::string, std::shared_ptr<ClientConnection>> const kept = client.free.back();
      client.free.pop_back();
      if (!kept.second->reusable()) continue;
      request.line = kept.second;
      for (std::unique_ptr<Node> const& node : nodes.all)
        if (node->name == kept.first) request.node = node.get();
      ++tally.reused;
    }
  }
  if (!request.line) {
    request.node = nodes.choose_node(client.zone, client.hash, request.attempt_count);
    if (request.node == nullptr) return finish(request, false);
    request.line = ClientConnection::dial(request.node->front_address(), client.ip, millis(1000));
    ++tally.dialled;
  }
  ++tally.attempts;
  if (request.attempt_count > 0) ++tally.retries;
  Attempt attempt;
  char id[40];
  std::snprintf(id, sizeof id, "%012llx%04x", static_cast<unsigned long long>(request.id),
                static_cast<unsigned>(request.attempt_count));
  attempt.id = id;
  attempt.service = shape.service;
  attempt.target = "POST " + request.path;
  attempt.body = hash_text(request.body);
  attempt.repeatable = item.resumable;
  attempt.events = request.events;
  attempt.after = request.reading.last;
  attempt.node = request.node->name;
  attempt.sent = at;
  request.attempt = &judge.sent(std::move(attempt));
  std::string fields = std::string("X-Request-Attempt: ") + id + "\r\nX-Model-Name: " + shape.model +
                       "\r\nX-Token-Counts: " + std::to_string(request.tokens) + "," +
                       std::to_string(request.events * shape.engine.stride) + "\r\nX-Prompt-Prefix: " + request.prompt +
                       "\r\nX-Deadline-Remaining: " + std::to_string(std::max<Micros>(1, (request.due - at) / 1000)) +
                       "\r\n" + (client.keeps ? "" : "Connection: close\r\n");
  if (request.reading.last > 0) {
    ++tally.resumes;
    fields += "Last-Event-Id: " + std::to_string(request.reading.last) + "\r\n";
  }
  ++request.attempt_count;
  std::uint64_t const number = request.id;
  ClientConnection::Callbacks callbacks;
  callbacks.head = [this, number](unsigned status) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests.find(number);
    if (position != requests.end()) on_head(*position->second, status);
  };
  callbacks.body = [this, number](std::string_view bytes) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests.find(number);
    if (position != requests.end()) on_body(*position->second, bytes);
  };
  callbacks.end = [this, number](ClientConnection::Outcome how) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests.find(number);
    if (position != requests.end()) on_end(*position->second, how);
  };
  request.line->send_request(request_of("POST", request.path, item.host, fields, request.body), std::move(callbacks));
}

void Callers::on_head(Request& request, unsigned status) {
  request.heard = now();
  request.status = status;
  if (status == 200 && request.line->field("x-request-attempt") != request.attempt->id)
    judge.broken(Promise::mixed, request.attempt->id + " by " + request.attempt->node + " got the answer to '" +
                                     request.line->field("x-request-attempt") + "'");
}

void Callers::on_body(Request& request, std::string_view bytes) {
  Micros const at = now();
  request.heard = at;
  tally.bytes += bytes.size();
  if (request.status != 200) {
    request.answer.append(bytes.substr(0, 4096));
    return;
  }
  for (std::int64_t const number : judge.read(*request.attempt, request.reading, bytes, at)) {
    if (number == 1) request.first = at;
    if (number > 1) request.widest = std::max(request.widest, at - request.last);
    request.last = at;
  }
}

void Callers::on_end(Request& request, ClientConnection::Outcome how) {
  RequestClass const& item = shape.classes[request.of];
  Micros const at = now();
  std::shared_ptr<ClientConnection> const line = request.line;
  bool const served = how == ClientConnection::Outcome::complete && request.status == 200;
  bool const by_node = how == ClientConnection::Outcome::complete ||
                       (how == ClientConnection::Outcome::cut && line->any_byte_received());
  if (!served && by_node && nodes.in_touch(*request.node, request.sent) && nodes.in_touch(*request.node, at) &&
      failed.size() < failed_most)
    failed.push_back({request.attempt->id, request.node->name});
  if (how == ClientConnection::Outcome::complete && request.status == 200) {
    judge.record_complete(*request.attempt, request.reading, line->field("x-server-seal"));
    if (request.client->keeps && line->reusable() && request.client->free.size() < kept_most)
      request.client->free.emplace_back(request.node->name, line);
    return finish(request, true);
  }
  if (how == ClientConnection::Outcome::garbage)
    judge.broken(Promise::mixed,
                 request.attempt->id + " by " + request.attempt->node + " got bytes that are no answer");
  if (how != ClientConnection::Outcome::complete) {
    char const* const what = how == ClientConnection::Outcome::unreached ? "unreached"
                             : request.status == 200                     ? "cut in its stream"
                             : line->any_byte_received()                 ? "cut in its head"
                             : line->reused()                            ? "cut before its answer, kept"
                                                                         : "cut before its answer";
    ++tally.answers[what];
    if (how == ClientConnection::Outcome::cut && nodes.ended_by_planned_termination(*request.node, request.sent, at) &&
        !request.attempt->worker_broke && (request.attempt->arrivals > 0 || at - request.sent > millis(200)))
      judge.broken(Promise::lost, request.attempt->id + " by " + request.node->name + ", " + what + " " +
                                      std::to_string((at - request.node->termination_requested_at) / 1000) +
                                      " ms after it was told to end");
    bool const sound = request.attempt->arrivals > 0 && !request.attempt->worker_broke;
    bool const in_touch = nodes.in_touch(*request.node, request.sent) && nodes.in_touch(*request.node, at);
    if (how == ClientConnection::Outcome::cut && line->reused() && !line->any_byte_received() && sound && in_touch &&
        ++kept_cut > kept_cut_most)
      judge.broken(Promise::kept_lost, request.attempt->id + " by " + request.node->name);
    // Nothing of a request goes out before the connection is up.
    if (how == ClientConnection::Outcome::unreached || item.resumable)
      return retry(request, millis(20 + static_cast<Micros>(jitter.below(80))));
    return finish(request, false);
  }
  ++tally.answers[std::to_string(request.status) + kind_of(request.answer)];
  bool const promise = request.status == 408 || request.status == 421 || request.status == 429 || request.status == 503;
  if (promise) {
    judge.refused(*request.attempt, request.status);
    if (request.attempt_count == 1 && at - request.arrived_at < item.latency_target / 4 && request.attempt->runs == 0)
      request.refused_early = true;
    Micros wait = millis(50 + static_cast<Micros>(jitter.below(100)));
    std::string const retry_after = line->field("retry-after");
    if (!retry_after.empty())
      wait = std::min(static_cast<Micros>(std::atof(retry_after.c_str()) * 1e6), (request.due - at) / 3);
    if (request.client->impatient) wait = millis(5);
    return retry(request, wait);
  }
  if (request.status >= 300 && request.status < 500 && nodes.in_touch(*request.node, request.sent) &&
      nodes.in_touch(*request.node, at))
    judge.broken(Promise::denied,
                 request.attempt->id + " by " + request.attempt->node + " got " + std::to_string(request.status));
  if (request.status >= 500 && item.resumable)
    return retry(request, millis(20 + static_cast<Micros>(jitter.below(80))));
  finish(request, false);
}

void Callers::retry(Request& request, Micros wait) {
  int const most = 1 + shape.classes[request.of].retries + (request.client->impatient ? 2 : 0);
  if (request.attempt_count >= most || now() + wait >= request.due) return finish(request, false);
  request.waiting = true;
  request.line.reset();
  std::uint64_t const number = request.id;
  after(wait, [this, number] {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests.find(number);
    if (position != requests.end()) attempt(*position->second);
  });
}

void Callers::close_overdue() {
  Micros const at = now();
  std::vector<Request*> over;
  std::vector<Request*> unread;
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& position : requests) {
    Request& request = *position.second;
    RequestClass const& item = shape.classes[request.of];
    Micros const silence_limit = std::max({seconds(2), item.latency_target * 4, item.gap * 8});
    if (at >= request.due || (!request.waiting && at - request.heard > silence_limit)) over.push_back(&request);
    // Whoever sent into a process that stands still sees that nothing of it is read.
    else if (!request.waiting && item.resumable && request.node->frozen && !request.line->any_byte_received() &&
             request.sent > request.node->last_fault &&
             at - request.sent > std::min(seconds(1), (request.due - request.sent) / 3))
      unread.push_back(&request);
  }
  for (Request* const request : over) {
    ++tally.gave_up;
    ++tally.answers[at >= request->due ? "no answer by the deadline" : "silence"];
    if (request->line) request->line->close();
    if (request->attempt != nullptr && !request->waiting) request->attempt->left_at = at;
    finish(*request, false);
  }
  for (Request* const request : unread) {
    ++tally.answers["not read"];
    request->line->close();
    request->attempt->left_at = at;
    retry(*request, 0);
  }
}

std::optional<double> Callers::served_since(Micros span) const {
  double all = 0;
  double served = 0;
  for (std::pair<Micros, bool> const& item : ends) {
    if (item.first < began + span) continue;
    all += 1;
    served += item.second ? 1 : 0;
  }
  if (all == 0) return std::nullopt;
  return served / all;
}

void Callers::finish(Request& request, bool served) {
  ends.emplace_back(request.arrived_at, served);
  RequestClass const& item = shape.classes[request.of];
  ClassTally& own = tally.classes[request.of];
  double const value_due = item.value * request.size;
  double earned = 0;
  if (served) {
    Micros const first = request.first - request.arrived_at;
    own.first.push_back(first);
    bool const within_target = first <= item.latency_target && request.widest <= item.gap;
    if (within_target)
      ++own.within_target;
    else
      ++own.late;
    earned = within_target ? value_due : item.late_value * request.size;
    if (!within_target && request.refused_early && request.last > 0 &&
        first - (request.sent - request.arrived_at) <= item.latency_target && request.widest <= item.gap)
      earned = (item.value + item.late_value) / 2 * request.size;
  } else {
    ++own.unserved;
  }
  own.value_due += value_due;
  own.earned += earned;
  std::pair<double, double>& zone = tally.zones[request.client->zone];
  zone.first += earned;
  zone.second += value_due;
  std::pair<double, double>& slice = tally.windows[(request.arrived_at - began) / window];
  slice.first += earned;
  slice.second += value_due;
  requests.erase(request.id);
}

}  // namespace pipit::platform_fleet
