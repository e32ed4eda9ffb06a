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
constexpr std::size_t max_idle_lines = 6;  // idle connections per client
constexpr int max_reused_cut = 3;          // reused connections cut without an answer before this is a violation
constexpr std::size_t max_failed = 200;    // failed attempts that are looked up in the logs

// The error kind in a JSON answer, after a space; empty if there is none.
std::string kind_of(std::string const& body) {
  std::size_t const at = body.find("\"kind\":\"");
  if (at == std::string::npos) return "";
  return " " + body.substr(at + 8, body.find('"', at + 8) - at - 8);
}
}  // namespace

// A client with an IP address of its own.
struct Callers::Client {
  std::string ip;
  std::string zone;
  std::uint64_t hash = 0;
  bool keep_alive = false;
  bool impatient = false;  // ignores Retry-After, and retries more often
  std::vector<std::pair<std::string, std::shared_ptr<ClientConnection>>> idle_lines;  // each with the name of its node
};

// A request in flight, over all its attempts.
struct Callers::Request {
  std::uint64_t id = 0;
  std::size_t class_index = 0;
  Client* client = nullptr;
  std::string prompt;
  std::int64_t tokens = 0;
  std::int64_t events = 0;
  std::string path;
  std::string body;
  double size = 1;  // factor of its value
  Micros arrived_at = 0;
  Micros deadline = 0;
  int attempt_count = 0;
  // State of the current attempt.
  Attempt* attempt = nullptr;
  Node* node = nullptr;
  std::shared_ptr<ClientConnection> line;
  Micros sent = 0;
  Micros last_progress = 0;
  unsigned status = 0;
  std::string answer;
  bool awaiting_retry = false;  // between two attempts
  // State over all attempts.
  StreamProgress reading;
  Micros first_event = -1;
  Micros last_event = 0;
  Micros longest_gap = 0;      // longest pause between two events
  bool refused_early = false;  // the first attempt was refused in a quarter of the latency target, and did not run
};

Callers::Callers(Shape const& shape, Nodes& nodes, Judge& judge, int net, std::uint64_t seed, double scale)
    : shape_(shape), nodes_(nodes), judge_(judge), net_(net), random_(seed), jitter_(~seed), scale_(scale) {
  tally.classes.resize(shape_.classes.size());
  int n = 0;
  for (Zone const& zone : shape_.zones)
    for (int i = 0; i < zone.clients; ++i) {
      std::unique_ptr<Client> client = std::make_unique<Client>();
      ++n;
      client->ip = "127." + std::to_string(net_) + ".3." + std::to_string(n);
      client->zone = zone.name;
      client->hash = hash_text(client->ip, seed);
      client->keep_alive = i % 2 == 0;
      client->impatient = i % 10 == 9;
      clients_[zone.name].push_back(std::move(client));
    }
}

Callers::~Callers() = default;

double Callers::uniform() { return (static_cast<double>(random_.next() >> 11) + 0.5) * 0x1.0p-53; }

double Callers::draw(Spread const& spread) {
  if (spread.spread <= 0) return spread.mean;
  double const sigma2 = std::log(1 + spread.spread * spread.spread);
  double const normal = std::sqrt(-2 * std::log(uniform())) * std::cos(2 * 3.14159265358979 * uniform());
  return std::min(spread.max, std::exp(std::log(spread.mean) - sigma2 / 2 + std::sqrt(sigma2) * normal));
}

std::size_t Callers::pick_text(SharedPart const& part, std::size_t class_index, std::size_t level) {
  std::vector<double>& sums = text_weights_[{class_index, level}];
  if (sums.empty()) {
    double sum = 0;
    for (std::size_t i = 0; i < part.variants; ++i)
      sums.push_back(sum += std::pow(static_cast<double>(i + 1), -part.skew));
  }
  return static_cast<std::size_t>(std::lower_bound(sums.begin(), sums.end(), uniform() * sums.back()) - sums.begin());
}

double Callers::mean_size(std::size_t class_index) const {
  RequestClass const& item = shape_.classes[class_index];
  double out = item.own_tokens.mean + 10 * item.events.mean * static_cast<double>(shape_.engine.tokens_per_event);
  for (SharedPart const& part : item.shared) out += part.tokens.mean;
  return out;
}

void Callers::begin() {
  began_ = next_tick_ = now();
  run_every(tick_span, [this] {
    // Catches up on missed ticks, so that a late event loop does not lower the arrival rate.
    for (Micros const at = now(); !stopped_ && next_tick_ <= at; next_tick_ += tick_span) tick(next_tick_);
    return true;
  });
  run_every(millis(50), [this] {
    close_overdue();
    return true;
  });
}

void Callers::perform(Fault const& fault) {
  for (std::size_t class_index = 0; class_index < shape_.classes.size(); ++class_index) {
    if (!fault.on.empty() && fault.on != shape_.classes[class_index].name) continue;
    LoadSurge surge;
    surge.class_index = class_index;
    surge.until = now() + fault.span;
    if (fault.kind == Fault::Kind::burst) surge.rate_factor = fault.x;
    if (fault.kind == Fault::Kind::hot) surge.hot_share = fault.share;
    surges_.push_back(surge);
  }
}

void Callers::tick(Micros at) {
  double const turn = static_cast<double>(at - began_) / static_cast<double>(shape_.period);
  std::erase_if(surges_, [at](LoadSurge const& surge) { return surge.until <= at; });
  for (Zone const& zone : shape_.zones)
    for (std::size_t class_index = 0; class_index < shape_.classes.size(); ++class_index) {
      double rate = shape_.classes[class_index].per_second * zone.share * scale_ *
                    (1 + shape_.swing * std::sin(2 * 3.14159265358979 * (turn + zone.phase)));
      for (LoadSurge const& surge : surges_)
        if (surge.class_index == class_index) rate *= surge.rate_factor;
      // Requests arrive in clumps of `clump` on average.
      double const expected_clumps = rate * static_cast<double>(tick_span) / 1e6 / shape_.clump;
      for (double remaining = expected_clumps; remaining > 0; remaining -= 1) {
        if (!random_.chance(std::min(1.0, remaining))) continue;
        std::uint64_t const clump_size = 1 + random_.below(static_cast<std::uint64_t>(2 * shape_.clump - 1));
        for (std::uint64_t i = 0; i < clump_size; ++i) start_request(zone, class_index);
      }
    }
}

void Callers::start_request(Zone const& zone, std::size_t class_index) {
  RequestClass const& item = shape_.classes[class_index];
  std::unique_ptr<Request> made = std::make_unique<Request>();
  Request& request = *made;
  request.id = ++last_id_;
  request.class_index = class_index;
  std::vector<std::unique_ptr<Client>>& zone_clients = clients_[zone.name];
  request.client = zone_clients[random_.below(zone_clients.size())].get();
  char text[64];
  for (std::size_t level = 0; level < item.shared.size(); ++level) {
    SharedPart const& part = item.shared[level];
    std::size_t text_index = pick_text(part, class_index, level);
    for (LoadSurge const& surge : surges_)
      if (surge.class_index == class_index && level + 1 == item.shared.size() && surge.hot_share > 0 &&
          random_.chance(surge.hot_share))
        text_index = 0;
    // The length of a text depends on its hash alone, so that every request with this text agrees on it.
    std::uint64_t const hash = hash_text(item.name + "/" + std::to_string(level) + "/" + std::to_string(text_index));
    RandomSource own(hash);
    std::swap(own, random_);
    std::int64_t const tokens = std::max<std::int64_t>(16, static_cast<std::int64_t>(draw(part.tokens)));
    std::swap(own, random_);
    std::snprintf(text, sizeof text, "%08llx:%lld,", static_cast<unsigned long long>(hash & 0xffffffff),
                  static_cast<long long>(tokens));
    request.prompt += text;
    request.tokens += tokens;
  }
  std::int64_t const own = std::max<std::int64_t>(16, static_cast<std::int64_t>(draw(item.own_tokens)));
  std::snprintf(text, sizeof text, "%08llx:%lld", static_cast<unsigned long long>(random_.next() & 0xffffffff),
                static_cast<long long>(own));
  request.prompt += text;
  request.tokens += own;
  request.events = std::max<std::int64_t>(1, static_cast<std::int64_t>(std::lround(draw(item.events))));
  std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(request.id));
  request.path = item.path_prefix + text;
  request.body = text + std::string(" ");
  while (request.body.size() < item.body_bytes) request.body += "abcdefghijklmnopqrstuvwxyz0123456789";
  request.body.resize(item.body_bytes);
  double const size = static_cast<double>(request.tokens + 10 * request.events * shape_.engine.tokens_per_event);
  request.size = std::min(4.0, 0.3 + 0.7 * size / mean_size(class_index));
  request.arrived_at = now();
  request.deadline = request.arrived_at + item.deadline;
  ++tally.classes[class_index].requests;
  requests_.emplace(request.id, std::move(made));
  attempt(request);
}

void Callers::attempt(Request& request) {
  RequestClass const& item = shape_.classes[request.class_index];
  Client& client = *request.client;
  Micros const at = now();
  request.awaiting_retry = false;
  request.status = 0;
  request.answer.clear();
  request.reading.partial_event.clear();
  request.reading.run = 0;
  request.sent = request.last_progress = at;
  request.line.reset();
  // Retries use new connections, and other nodes.
  if (client.keep_alive && request.attempt_count == 0) {
    while (!client.idle_lines.empty() && !request.line) {
      std::pair<std::string, std::shared_ptr<ClientConnection>> const kept = client.idle_lines.back();
      client.idle_lines.pop_back();
      if (!kept.second->reusable()) continue;
      request.line = kept.second;
      for (std::unique_ptr<Node> const& node : nodes_.all)
        if (node->name == kept.first) request.node = node.get();
      ++tally.reused;
    }
  }
  if (!request.line) {
    request.node = nodes_.choose_node(client.zone, client.hash, request.attempt_count);
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
  attempt.service = shape_.service;
  attempt.target = "POST " + request.path;
  attempt.body = hash_text(request.body);
  attempt.repeatable = item.resumable;
  attempt.events = request.events;
  attempt.resumed_after = request.reading.last_event;
  attempt.node = request.node->name;
  attempt.sent = at;
  request.attempt = &judge_.record_sent(std::move(attempt));
  std::string fields =
      std::string("X-Request-Attempt: ") + id + "\r\nX-Model-Name: " + shape_.model +
      "\r\nX-Token-Counts: " + std::to_string(request.tokens) + "," +
      std::to_string(request.events * shape_.engine.tokens_per_event) + "\r\nX-Prompt-Prefix: " + request.prompt +
      "\r\nX-Deadline-Remaining: " + std::to_string(std::max<Micros>(1, (request.deadline - at) / 1000)) + "\r\n" +
      (client.keep_alive ? "" : "Connection: close\r\n");
  if (request.reading.last_event > 0) {
    ++tally.resumes;
    fields += "Last-Event-Id: " + std::to_string(request.reading.last_event) + "\r\n";
  }
  ++request.attempt_count;
  std::uint64_t const number = request.id;
  ClientConnection::Callbacks callbacks;
  callbacks.head = [this, number](unsigned status) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(number);
    if (position != requests_.end()) on_head(*position->second, status);
  };
  callbacks.body = [this, number](std::string_view bytes) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(number);
    if (position != requests_.end()) on_body(*position->second, bytes);
  };
  callbacks.end = [this, number](ClientConnection::Outcome how) {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(number);
    if (position != requests_.end()) on_end(*position->second, how);
  };
  request.line->send_request(request_of("POST", request.path, item.host, fields, request.body), std::move(callbacks));
}

void Callers::on_head(Request& request, unsigned status) {
  request.last_progress = now();
  request.status = status;
  if (status == 200 && request.line->field("x-request-attempt") != request.attempt->id)
    judge_.report_violation(Promise::mixed, request.attempt->id + " through " + request.attempt->node +
                                                ": the client received the answer to '" +
                                                request.line->field("x-request-attempt") + "'");
}

void Callers::on_body(Request& request, std::string_view bytes) {
  Micros const at = now();
  request.last_progress = at;
  tally.bytes += bytes.size();
  if (request.status != 200) {
    request.answer.append(bytes.substr(0, 4096));
    return;
  }
  for (std::int64_t const number : judge_.read_events(*request.attempt, request.reading, bytes, at)) {
    if (number == 1) request.first_event = at;
    if (number > 1) request.longest_gap = std::max(request.longest_gap, at - request.last_event);
    request.last_event = at;
  }
}

void Callers::on_end(Request& request, ClientConnection::Outcome how) {
  RequestClass const& item = shape_.classes[request.class_index];
  Micros const at = now();
  std::shared_ptr<ClientConnection> const line = request.line;
  bool const served = how == ClientConnection::Outcome::complete && request.status == 200;
  bool const answered_or_cut = how == ClientConnection::Outcome::complete ||
                               (how == ClientConnection::Outcome::cut && line->any_byte_received());
  if (!served && answered_or_cut && nodes_.in_touch(*request.node, request.sent) &&
      nodes_.in_touch(*request.node, at) && failed.size() < max_failed)
    failed.push_back({request.attempt->id, request.node->name});
  if (how == ClientConnection::Outcome::complete && request.status == 200) {
    judge_.record_complete(*request.attempt, request.reading, line->field("x-server-seal"));
    if (request.client->keep_alive && line->reusable() && request.client->idle_lines.size() < max_idle_lines)
      request.client->idle_lines.emplace_back(request.node->name, line);
    return finish(request, true);
  }
  if (how == ClientConnection::Outcome::garbage)
    judge_.report_violation(Promise::mixed, request.attempt->id + " through " + request.attempt->node +
                                                ": the client received bytes that are not an HTTP answer");
  if (how != ClientConnection::Outcome::complete) {
    char const* const what = how == ClientConnection::Outcome::unreached ? "unreached"
                             : request.status == 200                     ? "cut in its stream"
                             : line->any_byte_received()                 ? "cut in its head"
                             : line->reused()                            ? "cut before its answer, kept"
                                                                         : "cut before its answer";
    ++tally.answers[what];
    if (how == ClientConnection::Outcome::cut && nodes_.ended_by_planned_termination(*request.node, request.sent, at) &&
        !request.attempt->worker_broke && (request.attempt->arrivals > 0 || at - request.sent > millis(200)))
      judge_.report_violation(Promise::lost, request.attempt->id + " through " + request.node->name + ", " + what +
                                                 " " +
                                                 std::to_string((at - request.node->termination_requested_at) / 1000) +
                                                 " ms after SIGTERM");
    bool const reached_sound_worker = request.attempt->arrivals > 0 && !request.attempt->worker_broke;
    bool const in_touch = nodes_.in_touch(*request.node, request.sent) && nodes_.in_touch(*request.node, at);
    if (how == ClientConnection::Outcome::cut && line->reused() && !line->any_byte_received() && reached_sound_worker &&
        in_touch && ++reused_cut_ > max_reused_cut)
      judge_.report_violation(Promise::kept_lost, request.attempt->id + " through " + request.node->name);
    // Retrying an attempt that could not connect is safe: no byte of the request was sent.
    if (how == ClientConnection::Outcome::unreached || item.resumable)
      return retry(request, millis(20 + static_cast<Micros>(jitter_.below(80))));
    return finish(request, false);
  }
  ++tally.answers[std::to_string(request.status) + kind_of(request.answer)];
  bool const promises_no_run =
      request.status == 408 || request.status == 421 || request.status == 429 || request.status == 503;
  if (promises_no_run) {
    judge_.record_refusal(*request.attempt, request.status);
    if (request.attempt_count == 1 && at - request.arrived_at < item.latency_target / 4 && request.attempt->runs == 0)
      request.refused_early = true;
    Micros wait = millis(50 + static_cast<Micros>(jitter_.below(100)));
    std::string const retry_after = line->field("retry-after");
    if (!retry_after.empty())
      wait = std::min(static_cast<Micros>(std::atof(retry_after.c_str()) * 1e6), (request.deadline - at) / 3);
    if (request.client->impatient) wait = millis(5);
    return retry(request, wait);
  }
  if (request.status >= 300 && request.status < 500 && nodes_.in_touch(*request.node, request.sent) &&
      nodes_.in_touch(*request.node, at))
    judge_.report_violation(Promise::denied, request.attempt->id + " through " + request.attempt->node +
                                                 " was rejected with status " + std::to_string(request.status));
  if (request.status >= 500 && item.resumable)
    return retry(request, millis(20 + static_cast<Micros>(jitter_.below(80))));
  finish(request, false);
}

void Callers::retry(Request& request, Micros wait) {
  int const max_attempts = 1 + shape_.classes[request.class_index].retries + (request.client->impatient ? 2 : 0);
  if (request.attempt_count >= max_attempts || now() + wait >= request.deadline) return finish(request, false);
  request.awaiting_retry = true;
  request.line.reset();
  std::uint64_t const number = request.id;
  run_after(wait, [this, number] {
    std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(number);
    if (position != requests_.end()) attempt(*position->second);
  });
}

void Callers::close_overdue() {
  Micros const at = now();
  std::vector<Request*> overdue;
  std::vector<Request*> unread;
  for (std::pair<std::uint64_t const, std::unique_ptr<Request>> const& position : requests_) {
    Request& request = *position.second;
    RequestClass const& item = shape_.classes[request.class_index];
    Micros const silence_limit = std::max({seconds(2), item.latency_target * 4, item.max_gap * 8});
    if (at >= request.deadline || (!request.awaiting_retry && at - request.last_progress > silence_limit))
      overdue.push_back(&request);
    // A client that has sent to a frozen process can tell that its bytes are not read; it retries on another node.
    else if (!request.awaiting_retry && item.resumable && request.node->frozen && !request.line->any_byte_received() &&
             request.sent > request.node->last_fault &&
             at - request.sent > std::min(seconds(1), (request.deadline - request.sent) / 3))
      unread.push_back(&request);
  }
  for (Request* const request : overdue) {
    ++tally.abandoned;
    ++tally.answers[at >= request->deadline ? "no answer by the deadline" : "silence"];
    if (request->line) request->line->close();
    if (request->attempt != nullptr && !request->awaiting_retry) request->attempt->abandoned_at = at;
    finish(*request, false);
  }
  for (Request* const request : unread) {
    ++tally.answers["not read"];
    request->line->close();
    request->attempt->abandoned_at = at;
    retry(*request, 0);
  }
}

std::optional<double> Callers::served_since(Micros span) const {
  double all = 0;
  double served = 0;
  for (std::pair<Micros, bool> const& item : outcomes_) {
    if (item.first < began_ + span) continue;
    all += 1;
    served += item.second ? 1 : 0;
  }
  if (all == 0) return std::nullopt;
  return served / all;
}

void Callers::finish(Request& request, bool served) {
  outcomes_.emplace_back(request.arrived_at, served);
  RequestClass const& item = shape_.classes[request.class_index];
  ClassTally& own = tally.classes[request.class_index];
  double const offered_value = item.value * request.size;
  double earned = 0;
  if (served) {
    Micros const first = request.first_event - request.arrived_at;
    own.first.push_back(first);
    bool const within_target = first <= item.latency_target && request.longest_gap <= item.max_gap;
    if (within_target)
      ++own.within_target;
    else
      ++own.late;
    earned = within_target ? offered_value : item.late_value * request.size;
    if (!within_target && request.refused_early && request.last_event > 0 &&
        first - (request.sent - request.arrived_at) <= item.latency_target && request.longest_gap <= item.max_gap)
      earned = (item.value + item.late_value) / 2 * request.size;
  } else {
    ++own.unserved;
  }
  own.offered_value += offered_value;
  own.earned += earned;
  std::pair<double, double>& zone = tally.zones[request.client->zone];
  zone.first += earned;
  zone.second += offered_value;
  std::pair<double, double>& time_window = tally.windows[(request.arrived_at - began_) / window];
  time_window.first += earned;
  time_window.second += offered_value;
  requests_.erase(request.id);
}

}  // namespace pipit::platform_fleet
