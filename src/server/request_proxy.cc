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
constexpr std::size_t failing_most = 1u << 20;
constexpr std::size_t event_end_most = 4;       // bytes of the blank line that ends an event, with the line before it
constexpr std::int64_t count_most = 100000000;  // of tokens, requests or milliseconds (28 h)
Micros now() { return loop_time(); }

// Where the last whole event in the text ends; 0 when none is whole.
std::size_t events_end(std::string const& text) {
  std::size_t const a = text.rfind("\n\n");
  std::size_t const b = text.rfind("\r\n\r\n");
  std::size_t const end_a = a == std::string::npos ? 0 : a + 2;
  std::size_t const end_b = b == std::string::npos ? 0 : b + 4;
  return std::max(end_a, end_b);
}

bool number_of(std::string const& text, std::uint64_t& out) {
  if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos) return false;
  out = std::strtoull(text.c_str(), nullptr, 10);
  return true;
}

// A number that somebody else wrote, from 0 to a bound that leaves room for sums. 'rest' is what follows it.
std::int64_t count_from(char const* text, char** rest) {
  return std::clamp<std::int64_t>(std::strtoll(text, rest, 10), 0, count_most);
}

// What a caller says it will wait. Nothing, or what is no number, says nothing: 0. A caller that waits no longer has
// the shortest time that there is.
Micros time_left(std::string const* text) {
  if (text == nullptr || text->find_first_of("0123456789") == std::string::npos) return 0;
  return std::max<Micros>(1, millis(count_from(text->c_str(), nullptr)));
}

// A caller takes such an answer for a promise that the request has not run and never will.
bool promises(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// Whether the field of that name stands there with different values.
bool names_two(Head const& head, std::string const& name) {
  std::string const first = head.get(name);
  for (std::pair<std::string, std::string> const& item : head.fields)
    if (equals_ignoring_case(item.first, name) && item.second != first) return true;
  return false;
}

std::string id_of(std::string_view event) {
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

// A worker learns the tenant from this node alone, and never sees a key.
void put_tenant(Head& head, Dialect const& dialect, std::string const& tenant) {
  head.remove(dialect.authorization);
  head.remove(dialect.tenant);
  if (!tenant.empty()) head.set(dialect.tenant, tenant);
}

// The key that a caller names, as a digest; nothing where there is none, two, or one of another scheme.
std::optional<Digest> key_of(Head const& head, Dialect const& dialect) {
  std::string const* value = nullptr;
  for (std::pair<std::string, std::string> const& item : head.fields) {
    if (!equals_ignoring_case(item.first, dialect.authorization)) continue;
    if (value != nullptr) return std::nullopt;
    value = &item.second;
  }
  if (value == nullptr) return std::nullopt;
  std::size_t const space = value->find(' ');
  if (space == std::string::npos || !equals_ignoring_case(value->substr(0, space), dialect.scheme)) return std::nullopt;
  std::size_t const begin = value->find_first_not_of(' ', space);
  if (begin == std::string::npos) return std::nullopt;
  std::size_t const end = value->find_last_not_of(" \t");
  return key_digest_of(std::string_view(*value).substr(begin, end + 1 - begin));
}
}  // namespace

RequestProxy::RequestProxy(Dispatcher& dispatcher, Dialect dialect, std::string own_host, Callbacks callbacks)
    : server({[this](Server::Request&& call) { on_call(std::move(call)); },
              [this](std::uint64_t id) {
                if (callers_.count(id) == 0) return;
                upstream.cancel(id);
                if (std::optional<FailedRequest> const failed = callbacks_.disconnected(id)) log_failure(*failed);
                callers_.erase(id);
              }}),
      upstream(
          {[this](std::uint64_t id) {
             std::map<std::uint64_t, Caller>::iterator const position = callers_.find(id);
             if (position != callers_.end()) ++position->second.sent;
             dispatcher_.on_sent(id, now());
           },
           [this](std::uint64_t id, Head const& head, bool first) { return on_head(id, head, first); },
           [this](std::uint64_t id, std::string_view bytes) { on_body(id, bytes); },
           [this](std::uint64_t id) { on_done(id); },
           [this](std::uint64_t id, UpstreamPool::Failure end, std::string const& why) { on_ended(id, end, why); }},
          std::move(own_host)),
      dispatcher_(dispatcher),
      dialect_(std::move(dialect)),
      end_to_end_(dialect_.end_to_end()),
      callbacks_(std::move(callbacks)) {}

void RequestProxy::limits(CallLimits const& from) {
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

void RequestProxy::on_call(Server::Request&& call) {
  // Its end is read next: no worker is to begin with what nobody waits for.
  if (server.closed_by_client(call.id)) return;
  RequestInfo query;
  query.host = call.head.get("Host");
  std::size_t const port = query.host.rfind(':');
  if (port != std::string::npos && query.host.find(']', port) == std::string::npos) query.host.resize(port);
  query.path = call.head.target.substr(0, call.head.target.find('?'));
  query.model = call.head.get(dialect_.model);
  query.parts = parse_prompt_parts(call.head.get(dialect_.parts));
  std::string const tokens = call.head.get(dialect_.tokens);
  query.input_tokens = count_from(tokens.c_str(), nullptr);
  std::size_t const comma = tokens.find(',');
  if (comma != std::string::npos) query.output_tokens = count_from(tokens.c_str() + comma + 1, nullptr);
  query.has_token_counts = !tokens.empty();
  query.key_digest = key_of(call.head, dialect_);
  query.time_remaining = time_left(call.head.find(dialect_.remaining));
  query.receive_time = std::max<Micros>(0, now() - call.arrived_at);
  query.last_event_id = call.head.get(dialect_.after);
  Caller caller;
  caller.head = std::move(call.head);
  remove_hop_by_hop_fields(caller.head, end_to_end_);
  caller.body = std::move(call.body);
  caller.attempt = caller.head.get(dialect_.attempt);
  caller.last_event = query.last_event_id;
  std::uint64_t const id = call.id;
  callers_.emplace(id, std::move(caller));
  callbacks_.request(id, std::move(query));
}

void RequestProxy::log_failure(FailedRequest const& failed) {
  std::map<std::uint64_t, Caller>::const_iterator const position = callers_.find(failed.request);
  if (position == callers_.end()) return;
  Caller const& caller = position->second;
  Server::Backlog const backlog = server.backlog_of(failed.request, now());
  AnswerProgress const answer{caller.taken_bytes, caller.passed_bytes, backlog.bytes, backlog.blocked_for};
  failure_log_.write(failed, caller.attempt, caller.failure, answer, now());
}

bool RequestProxy::may_repeat(std::uint64_t id) const {
  Route const* const route = dispatcher_.route_of(id);
  return route != nullptr && (route->repeatable || (route->streams && route->resumable));
}

// The worker of the present attempt says that it did not run it.
void RequestProxy::decline(std::uint64_t id, Caller& caller) {
  ++caller.declined_count;
  caller.failure = caller.elsewhere ? "another instance lives there" : "the worker did not run it";
  callbacks_.ended(id, AttemptEnd::declined, caller.elsewhere);
}

void RequestProxy::act(DispatchEffects& out) {
  for (FailedRequest const& failed : out.failed_requests) log_failure(failed);
  for (std::uint64_t const id : out.cancelled_attempts) upstream.cancel(id);
  for (std::uint64_t const id : out.forwarded_failures) {
    std::map<std::uint64_t, Caller>::iterator const position = callers_.find(id);
    if (position == callers_.end()) continue;
    Caller const caller = std::move(position->second);
    callers_.erase(position);
    server.respond(id, caller.answer, caller.pending);
  }
  for (Rejection const& denial : out.rejections) reject(denial);
  for (std::uint64_t const id : out.aborted_answers) {
    std::map<std::uint64_t, Caller>::const_iterator const position = callers_.find(id);
    log_event(Event::stream_broken, position == callers_.end() ? "" : position->second.attempt);
    callers_.erase(id);
    server.abort_response(id);
  }
  std::vector<Attempt> const starts = std::move(out.attempts);
  out.attempts.clear();
  for (Attempt const& attempt : starts) start(attempt);
}

void RequestProxy::reject(Rejection const& denial) {
  ++kinds[error_code_row(denial.error).name];
  ExecutionStatus const execution =
      denial.retry_after > 0 ? ExecutionStatus::no : error_code_row(denial.error).execution;
  ErrorResponse const answer = error_response(Error{denial.error, "", ""}, execution, denial.retry_after);
  Head head;
  // What may be asked again has not run, whatever the kind says of other cases.
  head.status = denial.retry_after > 0 && !promises(answer.status) ? 503 : answer.status;
  if (head.status == 401) head.fields.emplace_back("WWW-Authenticate", dialect_.scheme);
  head.fields.emplace_back("Content-Type", "application/json");
  if (denial.retry_after > 0) {
    char text[32];
    g_ascii_formatd(text, sizeof text, "%.3f", static_cast<double>(denial.retry_after) / 1e6);
    head.fields.emplace_back("Retry-After", text);
  }
  std::map<std::uint64_t, Caller>::const_iterator const position = callers_.find(denial.request);
  if (position != callers_.end()) {
    Caller const& caller = position->second;
    bool const honest = !promises(head.status) || denial.repeatable || !caller.may_have_run();
    check_invariant(honest, Invariant::true_refusal, [&] {
      return caller.attempt + " gets " + std::to_string(head.status) + " after " + std::to_string(caller.sent) +
             " sends, " + std::to_string(caller.declined_count) + " of them declined, the last to " + caller.instance;
    });
    callers_.erase(position);
  }
  server.respond(denial.request, head, answer.body);
}

void RequestProxy::start(Attempt const& attempt) {
  std::map<std::uint64_t, Caller>::iterator const position = callers_.find(attempt.request);
  if (position == callers_.end()) return;
  Caller& caller = position->second;
  Route const* const route = dispatcher_.route_of(attempt.request);
  check_invariant(may_repeat(attempt.request) || !caller.may_have_run(), Invariant::single_run, [&] {
    return caller.attempt + " is sent to " + attempt.instance + " after " + caller.instance + ", " +
           std::to_string(caller.sent) + " sends, " + std::to_string(caller.declined_count) + " of them declined";
  });
  caller.instance = attempt.instance;
  caller.streams = route != nullptr && route->streams;
  caller.resumable = caller.streams && route->resumable;
  caller.resumed = attempt.resumes_answer;
  caller.declined = caller.elsewhere = caller.failing = caller.withheld = false;
  caller.unbounded = caller.spliced = false;
  caller.pending.clear();
  caller.tail.clear();
  Head head = caller.head;
  head.set(dialect_.remaining, std::to_string(std::max<Micros>(1, attempt.timeout / 1000)));
  if (guard_enabled(RequestGuard::instance)) head.set(dialect_.instance, attempt.instance);
  head.set(dialect_.rank, std::to_string(std::clamp<std::int64_t>(attempt.rank, 0, 9)));
  if (attempt.keys_required) put_tenant(head, dialect_, attempt.tenant);
  if (caller.resumed && !caller.last_event.empty()) head.set(dialect_.after, caller.last_event);
  std::string bytes = serialize_request_head(head, static_cast<std::int64_t>(caller.body.size()));
  bytes += caller.body;
  upstream.start_request(attempt.request, attempt.instance, attempt.address, std::move(bytes), attempt.connect_timeout);
}

UpstreamPool::ResponseOwner RequestProxy::on_head(std::uint64_t id, Head const& head, bool first) {
  std::map<std::uint64_t, Caller>::iterator const position = callers_.find(id);
  if (position == callers_.end()) return UpstreamPool::ResponseOwner::current_request;
  Caller& caller = position->second;
  if (head.status < 200) return UpstreamPool::ResponseOwner::other_request;
  std::string const whose = head.get(dialect_.attempt);
  bool const mine = whose == caller.attempt || !guard_enabled(RequestGuard::answer_id);
  if (!whose.empty() && !mine) return UpstreamPool::ResponseOwner::other_request;
  if (names_two(head, dialect_.attempt)) return UpstreamPool::ResponseOwner::none;
  if (std::string const* const load = head.find(dialect_.load)) {
    char* rest = nullptr;
    std::int64_t const running = count_from(load->c_str(), &rest);
    std::int64_t const waiting = *rest == ',' ? count_from(rest + 1, nullptr) : 0;
    dispatcher_.on_load_report(id, running + waiting, now());
  }
  bool const not_run = head.find(dialect_.not_run) != nullptr;
  caller.elsewhere = head.status == 421;
  caller.declined = not_run || caller.elsewhere || (head.status == 429 && !guard_enabled(RequestGuard::not_run_proof));
  caller.failing = !caller.declined && head.status >= 300;
  caller.withheld = caller.failing && promises(head.status);
  // A refusal may come without the id, but then only where nothing was asked before: it might be a late one for that.
  bool const unnamed_refusal = caller.declined && (first || !guard_enabled(RequestGuard::answer_id));
  if (whose.empty() && !mine && !unnamed_refusal) {
    caller.declined = caller.elsewhere = false;
    return UpstreamPool::ResponseOwner::none;
  }
  bool const sealed =
      dialect_.seal.empty() || !guard_enabled(RequestGuard::seal) || head.find(dialect_.seal) != nullptr;
  if (!caller.declined && !caller.failing && !sealed) return UpstreamPool::ResponseOwner::none;
  caller.unbounded =
      head.content_length < 0 && !head.chunked && !status_forbids_body(head.status) && caller.head.method != "HEAD";
  if (caller.resumed) return UpstreamPool::ResponseOwner::current_request;
  caller.answer = head;
  remove_hop_by_hop_fields(caller.answer, end_to_end_);
  caller.answer.content_length = head.content_length;
  return UpstreamPool::ResponseOwner::current_request;
}

// Takes whole events out of what is held, and remembers the id of the last.
std::string RequestProxy::complete_events(std::uint64_t id, Caller& caller) {
  std::size_t const end = events_end(caller.pending);
  std::string out = caller.pending.substr(0, end);
  caller.pending.erase(0, end);
  std::uint64_t last = 0;
  bool const known = number_of(caller.last_event, last);
  std::string kept;
  std::size_t at = 0;
  while (at < out.size()) {
    std::size_t const a = out.find("\n\n", at);
    std::size_t const b = out.find("\r\n\r\n", at);
    std::size_t const stop =
        std::min(a == std::string::npos ? out.size() : a + 2, b == std::string::npos ? out.size() : b + 4);
    std::string const event = out.substr(at, stop - at);
    at = stop;
    std::string const name = id_of(event);
    std::uint64_t number = 0;
    // A worker that takes a stream up may begin a little before the place that it was told.
    if (caller.resumed && known && guard_enabled(RequestGuard::event_order) && number_of(name, number) &&
        number <= last)
      continue;
    std::uint64_t before = 0;
    bool const first_of_resumed = caller.resumed && number_of(caller.last_event, before) && number_of(name, number);
    check_invariant(!first_of_resumed || number > before || caller.spliced, Invariant::stream_order, [&] {
      return caller.attempt + " gets event " + name + " of " + caller.instance + " after " + caller.last_event;
    });
    caller.spliced = true;
    if (!name.empty()) caller.last_event = name;
    if (name.empty() && event.find("data") != std::string::npos) dispatcher_.on_event_without_id(id);
    kept += event;
  }
  return kept;
}

// What begins to go to a caller is the sealed answer to its own request.
void RequestProxy::check_own(Caller const& caller) const {
  bool const named = caller.answer.get(dialect_.attempt) == caller.attempt;
  bool const sealed = dialect_.seal.empty() || caller.answer.find(dialect_.seal) != nullptr;
  check_invariant(named && sealed && caller.answer.status < 300, Invariant::own_answer, [&] {
    return caller.attempt + " gets status " + std::to_string(caller.answer.status) + " of '" +
           caller.answer.get(dialect_.attempt) + "' from " + caller.instance + (sealed ? "" : " without a seal");
  });
}

void RequestProxy::pass_on(std::uint64_t id, Caller& caller, std::string_view bytes) {
  if (bytes.empty()) return;
  if (!caller.begun) {
    caller.begun = true;
    check_own(caller);
    std::int64_t const length = caller.resumable ? -1 : caller.answer.content_length;
    server.begin_response(id, caller.answer, length);
    dispatcher_.on_answer_begin(id, now());
  } else {
    dispatcher_.on_answer_event(id, now());
  }
  caller.passed_bytes += bytes.size();
  server.write_body(id, bytes);
}

void RequestProxy::on_body(std::uint64_t id, std::string_view bytes) {
  std::map<std::uint64_t, Caller>::iterator const position = callers_.find(id);
  if (position == callers_.end()) return;
  Caller& caller = position->second;
  if (caller.declined) return;
  caller.taken_bytes += bytes.size();
  if (caller.failing) {
    // What is too large to hold can't go back whole, and must not go back in part.
    if (caller.pending.size() + bytes.size() > failing_most) caller.withheld = true;
    if (!caller.withheld) caller.pending.append(bytes);
    return;
  }
  if (caller.streams && caller.unbounded) {
    caller.tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), event_end_most)));
    caller.tail.erase(0, caller.tail.size() - std::min(caller.tail.size(), event_end_most));
  }
  if (!caller.resumable) return pass_on(id, caller, bytes);
  caller.pending.append(bytes);
  std::string const events = complete_events(id, caller);
  pass_on(id, caller, events);
}

// A worker may break off anywhere. Where only the connection's end tells the end of a stream, that is whole only after
// a whole event.
bool RequestProxy::stops_in_event(Caller const& caller) {
  return caller.streams && caller.unbounded && guard_enabled(RequestGuard::event_end) &&
         !caller.tail.ends_with("\n\n") && !caller.tail.ends_with("\r\n\r\n");
}

void RequestProxy::on_done(std::uint64_t id) {
  std::map<std::uint64_t, Caller>::iterator const position = callers_.find(id);
  if (position == callers_.end()) return;
  Caller& caller = position->second;
  if (caller.declined) return decline(id, caller);
  if (caller.withheld) return callbacks_.ended(id, AttemptEnd::broke, false);
  if (caller.failing) return callbacks_.ended(id, AttemptEnd::failed, false);
  if (stops_in_event(caller)) return callbacks_.ended(id, AttemptEnd::broke, false);
  if (caller.resumable && !caller.pending.empty()) {
    std::string const rest = std::move(caller.pending);
    caller.pending.clear();
    pass_on(id, caller, rest);
  }
  if (!caller.begun) {
    check_own(caller);
    server.begin_response(id, caller.answer,
                          caller.resumable ? -1 : std::max<std::int64_t>(0, caller.answer.content_length));
  }
  server.end_response(id);
  callers_.erase(position);
  callbacks_.ended(id, AttemptEnd::complete, false);
}

void RequestProxy::on_ended(std::uint64_t id, UpstreamPool::Failure end, std::string const& why) {
  std::map<std::uint64_t, Caller>::iterator const position = callers_.find(id);
  if (position == callers_.end()) return;
  position->second.failure = why;
  log_event(Event::attempt_failed, position->second.attempt + " at " + position->second.instance + " " + why);
  if (end == UpstreamPool::Failure::truncated && !guard_enabled(RequestGuard::torn_visible)) return on_done(id);
  // What the worker said before it broke off holds: it did not run the request.
  if (position->second.declined) return decline(id, position->second);
  callbacks_.ended(id, end == UpstreamPool::Failure::connect_failed ? AttemptEnd::unreached : AttemptEnd::broke, false);
}

}  // namespace pipit
