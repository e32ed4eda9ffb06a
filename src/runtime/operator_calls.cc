// Handlers of HTTP calls from clients, operators and tests (§7.1, §8.1).
#include <cstdlib>

#include "base/events.h"
#include "base/fault_points.h"
#include "base/json_writer.h"
#include "config/description/description.h"
#include "consensus/register/router_registrations.h"
#include "routing/chat/chat_request_reader.h"
#include "runtime/router_host.h"

namespace pipit {

namespace {
Micros now() { return g_get_monotonic_time(); }
}  // namespace

void RouterHost::handle_call(ChatServer::Call& call) {
  bool const get = call.method == "GET";
  if (call.path == "/health" && get) return chat_server_->answer(call.id, 200, "application/json", "{\"ok\":true}");
  if (call.path == "/ready" && get) {
    if (grace_until_ >= 0) return refuse(call.id, Error{ErrorCode::draining, "", ""});
    if (!node_->is_ready()) return refuse(call.id, Error{ErrorCode::not_ready, "", ""});
    return chat_server_->answer(call.id, 200, "application/json", "{\"ready\":true}");
  }
  if (call.path == "/metrics" && get) return chat_server_->answer(call.id, 200, "text/plain; version=0.0.4", metrics());
  if (call.path == "/v1/status" && get) return chat_server_->answer(call.id, 200, "application/json", status());
  if (call.path == "/faults" && settings_.faults) return handle_fault_call(call);
  bool const chat = call.path == "/v1/chat/completions";
  if (chat || call.path == "/v1/completions") {
    if (role_ != MemberRole::router)
      return refuse(call.id, Error{ErrorCode::not_found, "a configuration store serves no model requests", ""});
    if (call.method != "POST") return refuse(call.id, Error{ErrorCode::bad_method, "", ""});
    return handle_chat_call(call, chat);
  }
  handle_operator_call(call);
}

void RouterHost::handle_chat_call(ChatServer::Call& call, bool chat) {
  if (call.body.size() > settings_.max_body_bytes)
    return refuse(call.id, Error{ErrorCode::too_large,
                                 "a body has at most " + std::to_string(settings_.max_body_bytes) + " bytes", ""});
  Result<ChatRequestInfo> info = parse_chat_request(call.body, chat ? ChatApi::chat : ChatApi::completion);
  if (!info) return refuse(call.id, info.error());
  info.value().lane = call.header("X-Pipit-Lane");
  std::string const repeat = call.header("X-Pipit-Repeat");
  if (!repeat.empty() && repeat != "safe" && repeat != "never")
    return refuse(call.id, Error{ErrorCode::bad_request, "X-Pipit-Repeat must be safe or never", ""});
  info.value().repeatable = repeat == "safe";
  ClientRequest request;
  request.id = settings_.name + "-" + std::to_string(node_->plan.incarnation) + "-" + std::to_string(call.id);
  request.path = call.path;
  request.body = std::make_shared<std::string const>(std::move(call.body));
  request.stream = info.value().facts.stream;
  request.arrived_at = now();
  requests_.emplace(call.id, std::move(request));
  NodeEffects out;
  node_->start_chat_request(call.id, std::move(info.value()), now(), out);
  apply_effects(out);
}

void RouterHost::handle_operator_call(ChatServer::Call const& call) {
  Change change;
  if (call.path == "/v1/description") {
    if (call.method == "GET") {
      change.type = Change::Type::read;
    } else if (call.method == "PUT") {
      std::string const expected = call.header("If-Match");
      if (expected.empty() || expected.size() > 18 || expected.find_first_not_of("0123456789") != std::string::npos)
        return refuse(call.id, Error{ErrorCode::bad_request, "If-Match with the expected serial is needed", ""});
      Result<std::shared_ptr<Description const>> const description = read_description(call.body);
      if (!description) {
        log_event(Event::change_rejected, description.error().what);
        return refuse(call.id, description.error());
      }
      change.type = Change::Type::apply;
      change.text = call.body;
      change.expected = std::stoull(expected);
    } else {
      return refuse(call.id, Error{ErrorCode::bad_method, "", ""});
    }
  } else if (call.path.rfind("/v1/zones/", 0) == 0) {
    std::string const rest = call.path.substr(10);
    std::size_t const cut = rest.rfind('/');
    std::string const verb = cut == std::string::npos ? "" : rest.substr(cut + 1);
    change.text = rest.substr(0, cut);
    if (verb == "empty")
      change.type = Change::Type::empty;
    else if (verb == "refill")
      change.type = Change::Type::refill;
    else
      return refuse(call.id, Error{ErrorCode::not_found, "", ""});
    if (call.method != "POST") return refuse(call.id, Error{ErrorCode::bad_method, "", ""});
    if (!node_->is_known_zone(change.text))
      return refuse(call.id,
                    Error{ErrorCode::unknown_zone, "no node or worker is known in the zone '" + change.text + "'", ""});
  } else if (call.path.rfind("/v1/nodes/", 0) == 0) {
    std::string const rest = call.path.substr(10);
    std::size_t const cut = rest.rfind('/');
    if (cut == std::string::npos || rest.substr(cut) != "/forget")
      return refuse(call.id, Error{ErrorCode::not_found, "", ""});
    if (call.method != "POST") return refuse(call.id, Error{ErrorCode::bad_method, "", ""});
    std::string const name = rest.substr(0, cut);
    if (std::optional<Error> const why = node_->eviction_refusal(name)) return refuse(call.id, *why);
    change.type = Change::Type::evict_router;
    change.registration = *registration_of(*node_->learner.value, name);
  } else if (call.path.rfind("/v1/changes/", 0) == 0 && call.method == "GET") {
    change.type = Change::Type::read;
    operator_calls_[call.id] = {change.type, call.path.substr(12)};
    NodeEffects out;
    node_->submit_change(call.id, std::move(change), now(), out);
    return apply_effects(out);
  } else {
    return refuse(call.id, Error{ErrorCode::not_found, "", ""});
  }
  operator_calls_[call.id] = {change.type, ""};
  NodeEffects out;
  node_->submit_change(call.id, std::move(change), now(), out);
  apply_effects(out);
}

void RouterHost::answer_operator(ChangeReply const& item) {
  std::map<std::uint64_t, std::pair<Change::Type, std::string>>::iterator const position =
      operator_calls_.find(item.id);
  if (position == operator_calls_.end()) return;
  std::pair<Change::Type, std::string> const operator_call = position->second;
  operator_calls_.erase(position);
  Outcome const& outcome = item.outcome;
  if (outcome.type == Outcome::Type::refused || outcome.type == Outcome::Type::unknown) {
    ++error_answers_[error_code_row(outcome.error.code).name];
    ErrorCodeRow const& row = error_code_row(outcome.error.code);
    ErrorResponse const out = error_response(outcome.error);
    std::map<std::string, std::string> more = {{"X-Pipit-Change", item.change_id}};
    if (row.retry_after > 0) more["Retry-After"] = std::to_string((row.retry_after + seconds(1) - 1) / seconds(1));
    return chat_server_->answer(item.id, out.status, "application/json", out.body, more);
  }
  wire::ValueT const& value = outcome.value;
  if (operator_call.first == Change::Type::read && operator_call.second.empty()) {
    std::string drained_zones;
    for (std::string const& zone : value.drained_zones) drained_zones += (drained_zones.empty() ? "" : ",") + zone;
    return chat_server_->answer(item.id, 200, "application/json", value.text,
                                {{"X-Pipit-Serial", std::to_string(value.serial)},
                                 {"X-Pipit-Emptied", drained_zones},
                                 {"ETag", std::to_string(value.serial)}});
  }
  if (operator_call.first == Change::Type::read) {
    std::uint64_t const serial = Proposer::serial_of(value, operator_call.second);
    if (serial == 0) return refuse(item.id, Error{ErrorCode::unknown_change, "", ""});
    JsonWriter json;
    json.begin_object()
        .key("change")
        .text(operator_call.second)
        .key("serial")
        .number(static_cast<std::int64_t>(serial))
        .end_object();
    return chat_server_->answer(item.id, 200, "application/json", json.take());
  }
  JsonWriter json;
  json.begin_object()
      .key("serial")
      .number(static_cast<std::int64_t>(outcome.serial > 0 ? outcome.serial : value.serial))
      .key("change")
      .text(item.change_id);
  json.key("changed").boolean(outcome.type == Outcome::Type::chosen);
  if (operator_call.first == Change::Type::empty) {
    json.key("unconfirmed").begin_list();
    for (std::string const& name : item.unconfirmed) json.text(name);
    json.end_list();
  }
  json.end_object();
  chat_server_->answer(item.id, item.unconfirmed.empty() ? 200 : 202, "application/json", json.take());
}

void RouterHost::handle_fault_call(ChatServer::Call const& call) {
  // Fault injection for tests; the query has the fault point, its argument and the number of times to fire.
  unsigned const number = static_cast<unsigned>(
      std::strtoul(call.query.count("point") ? call.query.at("point").c_str() : "0", nullptr, 10));
  std::string const arg = call.query.count("arg") ? call.query.at("arg") : "";
  std::uint64_t const times =
      call.query.count("times") ? std::strtoull(call.query.at("times").c_str(), nullptr, 10) : 0;
  if (call.method == "GET") {
    JsonWriter json;
    json.begin_object()
        .key("fired")
        .number(static_cast<std::int64_t>(fault_count(static_cast<FaultPoint>(number))))
        .end_object();
    return chat_server_->answer(call.id, 200, "application/json", json.take());
  }
  bool const good = call.method == "DELETE" ? disarm_fault(number) : arm_fault(number, arg, times);
  if (!good)
    return refuse(call.id, Error{ErrorCode::not_found, "there is no fault point " + std::to_string(number), ""});
  chat_server_->answer(call.id, 200, "application/json", "{\"ok\":true}");
}

}  // namespace pipit
