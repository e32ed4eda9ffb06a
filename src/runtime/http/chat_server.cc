#include "runtime/http/chat_server.h"

#include <glib.h>

#include "net/clock.h"

namespace pipit {

namespace {
constexpr Micros body_timeout = seconds(10);   // time limit for receiving a request body
constexpr Micros write_timeout = seconds(20);  // time limit for a client to accept any of the unsent bytes
constexpr std::size_t max_unsent_bytes = 8u << 20;
constexpr unsigned expiry_interval_ms = 500;

// Decodes the percent-encoded bytes of a part of a request target; invalid ones stay as they are.
std::string decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    int const high = text[i] == '%' && i + 2 < text.size() ? g_ascii_xdigit_value(text[i + 1]) : -1;
    int const low = high >= 0 ? g_ascii_xdigit_value(text[i + 2]) : -1;
    if (low < 0) {
      out += text[i];
      continue;
    }
    out += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return out;
}

std::map<std::string, std::string> parse_query(std::string_view text) {
  std::map<std::string, std::string> out;
  while (!text.empty()) {
    std::string_view const item = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    std::size_t const separator = std::min(item.find('='), item.size());
    if (separator == 0) continue;
    out[decode(item.substr(0, separator))] = decode(item.substr(std::min(item.size(), separator + 1)));
  }
  return out;
}
}  // namespace

ChatServer::ChatServer(Callbacks callbacks, std::size_t max_body_bytes, std::shared_ptr<ConnectionBudget> budget)
    : callbacks_(std::move(callbacks)),
      max_body_bytes_(max_body_bytes),
      server_({[this](Server::Request&& request) { receive(std::move(request)); },
               [this](std::uint64_t id) { callbacks_.disconnected(id); },
               [this](unsigned status) -> std::string {
                 if (status != 413) return "";
                 return error_response(Error{ErrorCode::too_large,
                                             "a body has at most " + std::to_string(max_body_bytes_) + " bytes", ""})
                     .body;
               }},
              std::move(budget), ListenerGroup::clients) {
  Server::Limits limits;
  limits.max_body_bytes = max_body_bytes;
  limits.body_timeout = body_timeout;
  server_.set_limits(limits);
  expiry_timer_ = g_timeout_add(
      expiry_interval_ms,
      [](gpointer self) -> gboolean {
        static_cast<ChatServer*>(self)->close_expired();
        return G_SOURCE_CONTINUE;
      },
      this);
}

ChatServer::~ChatServer() { g_source_remove(expiry_timer_); }

Result<void> ChatServer::listen(std::string const& address) {
  Result<void> const listening = server_.listen(address);
  if (listening) return boost::outcome_v2::success();
  return fail(ErrorCode::bad_settings, "http: " + listening.error().what);
}

void ChatServer::close_expired() {
  server_.close_expired(loop_time());
  server_.abort_stalled_responses(loop_time(), write_timeout);
}

void ChatServer::receive(Server::Request&& request) {
  Call call;
  call.id = request.id;
  call.method = request.head.method;
  std::string_view const target = request.head.target;
  std::size_t const query = std::min(target.find('?'), target.size());
  call.path = decode(target.substr(0, query));
  call.query = parse_query(target.substr(std::min(target.size(), query + 1)));
  call.body = std::move(request.body);
  call.head = std::move(request.head);
  callbacks_.call(call);
}

void ChatServer::answer(std::uint64_t id, unsigned status, std::string const& type, std::string const& body,
                        std::map<std::string, std::string> const& headers) {
  Head head;
  head.status = status;
  head.fields.emplace_back("Server", "pipitspool");
  head.fields.emplace_back("Content-Type", type);
  for (std::pair<std::string const, std::string> const& item : headers) head.fields.emplace_back(item);
  server_.respond(id, head, body);
}

void ChatServer::answer(std::uint64_t id, ErrorResponse const& out) {
  std::map<std::string, std::string> headers;
  if (out.retry_after > 0) headers["Retry-After"] = std::to_string((out.retry_after + seconds(1) - 1) / seconds(1));
  answer(id, out.status, "application/json", out.body, headers);
}

void ChatServer::write_chunk(std::uint64_t id, std::string const& bytes,
                             std::map<std::string, std::string> const& headers) {
  if (!server_.response_begun(id)) {
    Head head;
    head.status = 200;
    head.fields.emplace_back("Server", "pipitspool");
    head.fields.emplace_back("Content-Type", "text/event-stream");
    head.fields.emplace_back("Cache-Control", "no-cache");
    for (std::pair<std::string const, std::string> const& item : headers) head.fields.emplace_back(item);
    server_.begin_response(id, head, -1);
  }
  server_.write_body(id, bytes);
  if (server_.backlog_of(id, loop_time()).bytes > max_unsent_bytes) server_.cut_connection(id);
}

void ChatServer::break_off(std::uint64_t id, std::string const& last) {
  write_chunk(id, last);
  server_.abort_response(id);
}

}  // namespace pipit
