#include "server/request_proxy.h"

#include <glib.h>

#include <algorithm>
#include <cstdlib>

#include "base/events.h"
#include "base/invariants.h"
#include "base/key_digest.h"
#include "base/request_guards.h"
#include "net/clock.h"

namespace pipit {

namespace {
constexpr std::size_t max_failed_body_bytes = 1u << 20;
// Above this, the worker's answer is not read on before the client has accepted what was written. Streams are read on,
// because a worker of whose stream nothing is read would count as silent; they are limited by the connection budget.
constexpr std::size_t max_answer_backlog_bytes = 256u << 10;
constexpr std::size_t max_event_end_bytes = 4;  // bytes of the two line breaks that end an event
constexpr std::int64_t max_count = 100000000;   // limit of a received count of tokens, requests or milliseconds (28 h)
Micros now() { return loop_time(); }

// Returns the offset of the end of the last complete event; 0 if there is none.
std::size_t end_of_last_event(std::string const& text) {
  std::size_t const a = text.rfind("\n\n");
  std::size_t const b = text.rfind("\r\n\r\n");
  std::size_t const end_a = a == std::string::npos ? 0 : a + 2;
  std::size_t const end_b = b == std::string::npos ? 0 : b + 4;
  return std::max(end_a, end_b);
}

bool parse_number(std::string const& text, std::uint64_t& out) {
  if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos) return false;
  out = std::strtoull(text.c_str(), nullptr, 10);
  return true;
}

// Parses a number from a peer and clamps it to 0..max_count, so that sums of such numbers cannot overflow. Sets 'rest'
// to the text after the number.
std::int64_t parse_count(char const* text, char** rest) {
  return std::clamp<std::int64_t>(std::strtoll(text, rest, 10), 0, max_count);
}

// Time left before the client's deadline; 0 if the client sent none or sent no number. A deadline that has passed gives
// the shortest time, 1 us.
Micros client_time_remaining(std::string const* text) {
  if (text == nullptr || text->find_first_of("0123456789") == std::string::npos) return 0;
  return std::max<Micros>(1, millis(parse_count(text->c_str(), nullptr)));
}

// Whether clients take the status as a guarantee that the request was not run and never will be.
bool implies_not_executed(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// Whether the field occurs several times with different values.
bool has_conflicting_values(Head const& head, std::string const& name) {
  std::string const first = head.get(name);
  for (std::pair<std::string, std::string> const& item : head.fields)
    if (equals_ignoring_case(item.first, name) && item.second != first) return true;
  return false;
}

std::string event_id_of(std::string_view event) {
  std::size_t at = 0;
  while (at < event.size()) {
    std::size_t const end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (line.substr(0, 3) != "id:") continue;
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.remove_suffix(1);
    return std::string(line);
  }
  return "";
}

// Replaces the client's key and tenant fields by the tenant that this node determined: workers never see a key, and
// clients cannot choose their tenant.
void set_tenant(Head& head, HeaderNames const& header_names, std::string const& tenant) {
  head.remove(header_names.authorization);
  head.remove(header_names.tenant);
  if (!tenant.empty()) head.set(header_names.tenant, tenant);
}

// Returns the digest of the client's API key, or nullopt if there is no key, more than one, or another scheme.
std::optional<Digest> api_key_of(Head const& head, HeaderNames const& header_names) {
  std::string const* value = nullptr;
  for (std::pair<std::string, std::string> const& item : head.fields) {
    if (!equals_ignoring_case(item.first, header_names.authorization)) continue;
    if (value != nullptr) return std::nullopt;
    value = &item.second;
  }
  if (value == nullptr) return std::nullopt;
  std::size_t const space = value->find(' ');
  if (space == std::string::npos || !equals_ignoring_case(value->substr(0, space), header_names.scheme))
    return std::nullopt;
  std::size_t const begin = value->find_first_not_of(' ', space);
  if (begin == std::string::npos) return std::nullopt;
  std::size_t const end = value->find_last_not_of(" \t");
  return key_digest_of(std::string_view(*value).substr(begin, end + 1 - begin));
}
}  // namespace

RequestProxy::RequestProxy(Dispatcher& dispatcher, HeaderNames header_names, std::string own_host, Callbacks callbacks,
                           std::shared_ptr<ConnectionBudget> budget)
    : server({[this](Server::Request&& call) { handle_call(std::move(call)); },
              [this](std::uint64_t id) {
                if (requests_.count(id) == 0) return;
                upstream.cancel(id);
                if (std::optional<FailedRequest> const failed = callbacks_.disconnected(id)) log_failure(*failed);
                requests_.erase(id);
              },
              nullptr, [this](std::uint64_t id) { upstream.pause_response(id, false); }},
             std::move(budget), ListenerGroup::clients),
      upstream(
          {[this](std::uint64_t id) {
             std::map<std::uint64_t, ProxiedRequest>::iterator const position = requests_.find(id);
             if (position != requests_.end()) ++position->second.attempts_sent;
             dispatcher_.on_sent(id, now());
           },
           [this](std::uint64_t id, Head const& head, bool first) { return on_head(id, head, first); },
           [this](std::uint64_t id, std::string_view bytes) { on_body(id, bytes); },
           [this](std::uint64_t id) { on_done(id); },
           [this](std::uint64_t id, UpstreamPool::Failure end, std::string const& why) { on_ended(id, end, why); }},
          std::move(own_host)),
      dispatcher_(dispatcher),
      header_names_(std::move(header_names)),
      end_to_end_(header_names_.end_to_end_fields()),
      callbacks_(std::move(callbacks)) {}

void RequestProxy::set_limits(CallLimits const& from) {
  Server::Limits out;
  out.max_head_bytes = static_cast<std::size_t>(from.max_header_bytes);
  out.max_body_bytes = static_cast<std::size_t>(from.max_body_bytes);
  out.head_timeout = from.header_timeout;
  out.idle_timeout = from.idle_timeout;
  server.set_limits(out);
}

void RequestProxy::close_expired(Micros now) {
  server.close_expired(now);
  upstream.close_expired(now);
}

void RequestProxy::handle_call(Server::Request&& call) {
  // The client has already closed its connection; no worker should start on the request.
  if (server.closed_by_client(call.id)) return;
  RequestInfo info;
  info.host = call.head.get("Host");
  std::size_t const port = info.host.rfind(':');
  if (port != std::string::npos && info.host.find(']', port) == std::string::npos) info.host.resize(port);
  info.path = call.head.target.substr(0, call.head.target.find('?'));
  info.model = call.head.get(header_names_.model);
  info.parts = parse_prompt_parts(call.head.get(header_names_.prompt_parts));
  std::string const tokens = call.head.get(header_names_.token_counts);
  info.input_tokens = parse_count(tokens.c_str(), nullptr);
  std::size_t const comma = tokens.find(',');
  if (comma != std::string::npos) info.output_tokens = parse_count(tokens.c_str() + comma + 1, nullptr);
  info.has_token_counts = !tokens.empty();
  info.key_digest = api_key_of(call.head, header_names_);
  info.time_remaining = client_time_remaining(call.head.find(header_names_.time_remaining));
  info.receive_time = std::max<Micros>(0, now() - call.arrived_at);
  info.last_event_id = call.head.get(header_names_.last_event_id);
  ProxiedRequest request;
  request.head = std::move(call.head);
  remove_hop_by_hop_fields(request.head, end_to_end_);
  request.body = std::make_shared<std::string const>(std::move(call.body));
  request.request_id = request.head.get(header_names_.request_id);
  request.last_event_id = info.last_event_id;
  std::uint64_t const id = call.id;
  requests_.emplace(id, std::move(request));
  callbacks_.request_received(id, std::move(info));
}

void RequestProxy::log_failure(FailedRequest const& failed) {
  std::map<std::uint64_t, ProxiedRequest>::const_iterator const position = requests_.find(failed.request);
  if (position == requests_.end()) return;
  ProxiedRequest const& request = position->second;
  Server::Backlog const backlog = server.backlog_of(failed.request, now());
  AnswerProgress const answer{request.received_bytes, request.forwarded_bytes, backlog.bytes, backlog.blocked_for};
  failure_log_.write(failed, request.request_id, request.last_failure, answer, now());
}

bool RequestProxy::may_repeat(std::uint64_t id) const {
  Route const* const route = dispatcher_.route_of(id);
  return route != nullptr && (route->repeatable || (route->streams && route->resumable));
}

// Reports that the worker of the present attempt did not run the request.
void RequestProxy::report_declined(std::uint64_t id, ProxiedRequest& request) {
  ++request.attempts_declined;
  request.last_failure =
      request.wrong_instance ? "another worker instance answers at this address" : "the worker did not run the request";
  callbacks_.attempt_ended(id, AttemptEnd::declined, request.wrong_instance);
}

void RequestProxy::apply_effects(DispatchEffects& out) {
  for (FailedRequest const& failed : out.failed_requests) log_failure(failed);
  for (std::uint64_t const id : out.cancelled_attempts) upstream.cancel(id);
  for (std::uint64_t const id : out.forwarded_failures) {
    std::map<std::uint64_t, ProxiedRequest>::iterator const position = requests_.find(id);
    if (position == requests_.end()) continue;
    ProxiedRequest const request = std::move(position->second);
    requests_.erase(position);
    server.respond(id, request.answer_head, request.buffered);
  }
  for (Rejection const& rejection : out.rejections) reject(rejection);
  for (std::uint64_t const id : out.aborted_answers) {
    std::map<std::uint64_t, ProxiedRequest>::const_iterator const position = requests_.find(id);
    log_event(Event::stream_broken, position == requests_.end() ? "" : position->second.request_id);
    requests_.erase(id);
    server.abort_response(id);
  }
  std::vector<Attempt> const attempts = std::move(out.attempts);
  out.attempts.clear();
  for (Attempt const& attempt : attempts) start_attempt(attempt);
}

void RequestProxy::reject(Rejection const& rejection) {
  ++error_answers[error_code_row(rejection.error).name];
  ExecutionStatus const execution =
      rejection.retry_after > 0 ? ExecutionStatus::no : error_code_row(rejection.error).execution;
  ErrorResponse const answer = error_response(Error{rejection.error, "", ""}, execution, rejection.retry_after);
  Head head;
  // A rejection with a retry delay means that the request was not run, even if the error code leaves that open.
  head.status = rejection.retry_after > 0 && !implies_not_executed(answer.status) ? 503 : answer.status;
  if (head.status == 401) head.fields.emplace_back("WWW-Authenticate", header_names_.scheme);
  head.fields.emplace_back("Content-Type", "application/json");
  if (rejection.retry_after > 0) {
    char text[32];
    g_ascii_formatd(text, sizeof text, "%.3f", static_cast<double>(rejection.retry_after) / 1e6);
    head.fields.emplace_back("Retry-After", text);
  }
  std::map<std::uint64_t, ProxiedRequest>::const_iterator const position = requests_.find(rejection.request);
  if (position != requests_.end()) {
    ProxiedRequest const& request = position->second;
    bool const honest = !implies_not_executed(head.status) || rejection.repeatable || !request.may_have_run();
    check_invariant(honest, Invariant::true_refusal, [&] {
      return request.request_id + " is answered with " + std::to_string(head.status) + " after " +
             std::to_string(request.attempts_sent) + " sends, " + std::to_string(request.attempts_declined) +
             " of them declined, the last to " + request.instance;
    });
    requests_.erase(position);
  }
  server.respond(rejection.request, head, answer.body);
}

void RequestProxy::start_attempt(Attempt const& attempt) {
  std::map<std::uint64_t, ProxiedRequest>::iterator const position = requests_.find(attempt.request);
  if (position == requests_.end()) return;
  ProxiedRequest& request = position->second;
  Route const* const route = dispatcher_.route_of(attempt.request);
  check_invariant(may_repeat(attempt.request) || !request.may_have_run(), Invariant::single_run, [&] {
    return request.request_id + " is sent to " + attempt.instance + " after " + request.instance + ", " +
           std::to_string(request.attempts_sent) + " sends, " + std::to_string(request.attempts_declined) +
           " of them declined";
  });
  request.instance = attempt.instance;
  request.streams = route != nullptr && route->streams;
  request.resumable = request.streams && route->resumable;
  request.resumed = attempt.resumes_answer;
  request.declined = request.wrong_instance = request.failed = request.withheld = false;
  request.ends_at_close = request.event_forwarded = false;
  request.buffered.clear();
  request.tail.clear();
  Head head = request.head;
  head.set(header_names_.time_remaining, std::to_string(std::max<Micros>(1, attempt.timeout / 1000)));
  if (guard_enabled(RequestGuard::instance)) head.set(header_names_.instance, attempt.instance);
  head.set(header_names_.priority, std::to_string(std::clamp<std::int64_t>(attempt.rank, 0, 9)));
  if (attempt.keys_required) set_tenant(head, header_names_, attempt.tenant);
  if (request.resumed && !request.last_event_id.empty()) head.set(header_names_.last_event_id, request.last_event_id);
  std::string bytes = serialize_request_head(head, static_cast<std::int64_t>(request.body->size()));
  bool const copied = request.body->size() <= max_copied_body_bytes;
  if (copied) bytes += *request.body;
  upstream.start_request(attempt.request, attempt.instance, attempt.address, std::move(bytes), attempt.connect_timeout,
                         copied ? nullptr : request.body);
}

UpstreamPool::ResponseOwner RequestProxy::on_head(std::uint64_t id, Head const& head, bool first) {
  std::map<std::uint64_t, ProxiedRequest>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return UpstreamPool::ResponseOwner::current_request;
  ProxiedRequest& request = position->second;
  if (head.status < 200) return UpstreamPool::ResponseOwner::other_request;
  std::string const answered_id = head.get(header_names_.request_id);
  bool const is_own_answer = answered_id == request.request_id || !guard_enabled(RequestGuard::answer_id);
  if (!answered_id.empty() && !is_own_answer) return UpstreamPool::ResponseOwner::other_request;
  if (has_conflicting_values(head, header_names_.request_id)) return UpstreamPool::ResponseOwner::none;
  if (std::string const* const load = head.find(header_names_.load)) {
    char* rest = nullptr;
    std::int64_t const running = parse_count(load->c_str(), &rest);
    std::int64_t const waiting = *rest == ',' ? parse_count(rest + 1, nullptr) : 0;
    dispatcher_.on_load_report(id, running + waiting, now());
  }
  bool const not_run = head.find(header_names_.not_executed) != nullptr;
  request.wrong_instance = head.status == 421;
  request.declined =
      not_run || request.wrong_instance || (head.status == 429 && !guard_enabled(RequestGuard::not_run_proof));
  request.failed = !request.declined && head.status >= 300;
  request.withheld = request.failed && implies_not_executed(head.status);
  // A refusal without the request id is accepted only as the first answer on its connection; later, it could be a
  // delayed answer to an earlier request.
  bool const unnamed_refusal = request.declined && (first || !guard_enabled(RequestGuard::answer_id));
  if (answered_id.empty() && !is_own_answer && !unnamed_refusal) {
    request.declined = request.wrong_instance = false;
    return UpstreamPool::ResponseOwner::none;
  }
  bool const sealed =
      header_names_.seal.empty() || !guard_enabled(RequestGuard::seal) || head.find(header_names_.seal) != nullptr;
  if (!request.declined && !request.failed && !sealed) return UpstreamPool::ResponseOwner::none;
  request.ends_at_close =
      head.content_length < 0 && !head.chunked && !status_forbids_body(head.status) && request.head.method != "HEAD";
  if (request.resumed) return UpstreamPool::ResponseOwner::current_request;
  request.answer_head = head;
  remove_hop_by_hop_fields(request.answer_head, end_to_end_);
  request.answer_head.content_length = head.content_length;
  return UpstreamPool::ResponseOwner::current_request;
}

// Takes the complete events out of the buffer and records the id of the last one.
std::string RequestProxy::complete_events(std::uint64_t id, ProxiedRequest& request) {
  std::size_t const end = end_of_last_event(request.buffered);
  std::string out = request.buffered.substr(0, end);
  request.buffered.erase(0, end);
  std::uint64_t last = 0;
  bool const known = parse_number(request.last_event_id, last);
  std::string events;
  std::size_t at = 0;
  while (at < out.size()) {
    std::size_t const a = out.find("\n\n", at);
    std::size_t const b = out.find("\r\n\r\n", at);
    std::size_t const stop =
        std::min(a == std::string::npos ? out.size() : a + 2, b == std::string::npos ? out.size() : b + 4);
    std::string const event = out.substr(at, stop - at);
    at = stop;
    std::string const name = event_id_of(event);
    std::uint64_t number = 0;
    // A worker that resumes a stream may start before the event that it was given; skips what the client already has.
    if (request.resumed && known && guard_enabled(RequestGuard::event_order) && parse_number(name, number) &&
        number <= last)
      continue;
    std::uint64_t before = 0;
    bool const first_of_resumed =
        request.resumed && parse_number(request.last_event_id, before) && parse_number(name, number);
    check_invariant(!first_of_resumed || number > before || request.event_forwarded, Invariant::stream_order, [&] {
      return request.request_id + " forwards event " + name + " of " + request.instance + " after " +
             request.last_event_id;
    });
    request.event_forwarded = true;
    if (!name.empty()) request.last_event_id = name;
    if (name.empty() && event.find("data") != std::string::npos) dispatcher_.on_event_without_id(id);
    events += event;
  }
  return events;
}

// Checks that an answer that is about to be sent to a client is a sealed answer to the client's own request.
void RequestProxy::check_own_answer(ProxiedRequest const& request) const {
  bool const named = request.answer_head.get(header_names_.request_id) == request.request_id;
  bool const sealed = header_names_.seal.empty() || request.answer_head.find(header_names_.seal) != nullptr;
  check_invariant(named && sealed && request.answer_head.status < 300, Invariant::own_answer, [&] {
    return request.request_id + " is about to forward status " + std::to_string(request.answer_head.status) + " of '" +
           request.answer_head.get(header_names_.request_id) + "' from " + request.instance +
           (sealed ? "" : " without a seal");
  });
}

void RequestProxy::forward(std::uint64_t id, ProxiedRequest& request, std::string_view bytes) {
  if (bytes.empty()) return;
  if (!request.answer_begun) {
    request.answer_begun = true;
    check_own_answer(request);
    std::int64_t const length = request.resumable ? -1 : request.answer_head.content_length;
    server.begin_response(id, request.answer_head, length);
    dispatcher_.on_answer_begin(id, now());
  } else {
    dispatcher_.on_answer_event(id, now());
  }
  request.forwarded_bytes += bytes.size();
  server.write_body(id, bytes);
  if (!request.streams && server.backlog_of(id, now()).bytes > max_answer_backlog_bytes)
    upstream.pause_response(id, true);
}

void RequestProxy::on_body(std::uint64_t id, std::string_view bytes) {
  std::map<std::uint64_t, ProxiedRequest>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  ProxiedRequest& request = position->second;
  if (request.declined) return;
  request.received_bytes += bytes.size();
  if (request.failed) {
    // A body that is too large to buffer is not forwarded, because a part of it must not be.
    if (request.buffered.size() + bytes.size() > max_failed_body_bytes) request.withheld = true;
    if (!request.withheld) request.buffered.append(bytes);
    return;
  }
  if (request.streams && request.ends_at_close) {
    request.tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), max_event_end_bytes)));
    request.tail.erase(0, request.tail.size() - std::min(request.tail.size(), max_event_end_bytes));
  }
  if (!request.resumable) return forward(id, request, bytes);
  request.buffered.append(bytes);
  std::string const events = complete_events(id, request);
  forward(id, request, events);
}

// A worker may fail at any byte. If the end of the connection is the only end mark of a stream, the stream is complete
// only if its last event is.
bool RequestProxy::ends_within_event(ProxiedRequest const& request) {
  return request.streams && request.ends_at_close && guard_enabled(RequestGuard::event_end) &&
         !request.tail.ends_with("\n\n") && !request.tail.ends_with("\r\n\r\n");
}

void RequestProxy::on_done(std::uint64_t id) {
  std::map<std::uint64_t, ProxiedRequest>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  ProxiedRequest& request = position->second;
  if (request.declined) return report_declined(id, request);
  if (request.withheld) return callbacks_.attempt_ended(id, AttemptEnd::broke, false);
  if (request.failed) return callbacks_.attempt_ended(id, AttemptEnd::failed, false);
  if (ends_within_event(request)) return callbacks_.attempt_ended(id, AttemptEnd::broke, false);
  if (request.resumable && !request.buffered.empty()) {
    std::string const rest = std::move(request.buffered);
    request.buffered.clear();
    forward(id, request, rest);
  }
  if (!request.answer_begun) {
    check_own_answer(request);
    server.begin_response(id, request.answer_head,
                          request.resumable ? -1 : std::max<std::int64_t>(0, request.answer_head.content_length));
  }
  server.end_response(id);
  requests_.erase(position);
  callbacks_.attempt_ended(id, AttemptEnd::complete, false);
}

void RequestProxy::on_ended(std::uint64_t id, UpstreamPool::Failure end, std::string const& why) {
  std::map<std::uint64_t, ProxiedRequest>::iterator const position = requests_.find(id);
  if (position == requests_.end()) return;
  position->second.last_failure = why;
  log_event(Event::attempt_failed, position->second.request_id + " at " + position->second.instance + " " + why);
  if (end == UpstreamPool::Failure::truncated && !guard_enabled(RequestGuard::torn_visible)) return on_done(id);
  // The worker reported before the failure that it did not run the request; that still holds.
  if (position->second.declined) return report_declined(id, position->second);
  callbacks_.attempt_ended(id, end == UpstreamPool::Failure::connect_failed ? AttemptEnd::unreached : AttemptEnd::broke,
                           false);
}

}  // namespace pipit
