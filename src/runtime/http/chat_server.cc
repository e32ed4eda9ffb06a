#include "runtime/http/chat_server.h"

#include <sys/socket.h>

#include "base/ip.h"
#include "base/micros.h"

namespace pipit {

namespace {
constexpr guint body_timeout_ms = 10000;   // time limit for receiving a request body
constexpr guint write_timeout_ms = 20000;  // time limit for a client to accept any of the unsent bytes
constexpr std::size_t max_unsent_bytes = 8u << 20;
}  // namespace

struct ChatServer::OpenCall {
  ChatServer* server = nullptr;
  std::uint64_t id = 0;
  SoupServerMessage* message = nullptr;
  GSource* watch = nullptr;         // detects that the client disconnects before the answer
  guint timer = 0;                  // time limit for the next progress; 0: none
  bool request_complete = false;    // the whole request was received
  bool answered = false;            // the whole answer was handed to libsoup
  bool stream = false;              // the answer is an event stream that has begun
  bool aborts_after_write = false;  // the connection is closed when all queued chunks are written
  std::size_t buffered_bytes = 0;   // bytes of the request body received; then bytes of the stream queued for writing
  std::size_t written_bytes = 0;    // of the queued bytes, those written to the socket
  std::size_t chunks_queued = 0;
  std::size_t chunks_written = 0;
  void unwatch() {
    if (watch == nullptr) return;
    g_source_destroy(watch);
    g_source_unref(watch);
    watch = nullptr;
  }
  ~OpenCall() {
    if (timer != 0) g_source_remove(timer);
    unwatch();
    if (message != nullptr) {
      g_signal_handlers_disconnect_by_data(message, this);
      g_object_unref(message);
    }
  }
};

ChatServer::ChatServer(Callbacks callbacks, std::size_t max_body_bytes)
    : callbacks_(std::move(callbacks)), max_body_bytes_(max_body_bytes) {}

std::string ChatServer::Call::header(char const* name) const {
  char const* const value = soup_message_headers_get_one(request_headers, name);
  return value == nullptr ? "" : value;
}

ChatServer::~ChatServer() {
  calls_.clear();
  if (server_ != nullptr) {
    soup_server_disconnect(server_);
    g_object_unref(server_);
  }
}

Result<void> ChatServer::listen(std::string const& address) {
  std::string host;
  std::uint16_t port = 0;
  split_address(address, host, port);
  server_ = soup_server_new("server-header", "pipitspool", nullptr);
  g_signal_connect(server_, "request-started", G_CALLBACK(on_started), this);
  soup_server_add_early_handler(server_, nullptr, on_headers, this, nullptr);
  soup_server_add_handler(server_, nullptr, on_call, this, nullptr);
  GSocketAddress* const socket_address = g_inet_socket_address_new_from_string(host.c_str(), port);
  GError* error = nullptr;
  bool const good = soup_server_listen(server_, socket_address, static_cast<SoupServerListenOptions>(0), &error);
  g_object_unref(socket_address);
  if (!good) {
    std::string const why = error->message;
    g_error_free(error);
    return fail(ErrorCode::bad_settings, "http: " + address + " cannot be listened on: " + why);
  }
  return boost::outcome_v2::success();
}

void ChatServer::on_started(SoupServer*, SoupServerMessage* message, gpointer self) {
  ChatServer& server = *static_cast<ChatServer*>(self);
  std::unique_ptr<OpenCall> open_call = std::make_unique<OpenCall>();
  open_call->server = &server;
  open_call->id = ++server.next_id_;
  open_call->message = SOUP_SERVER_MESSAGE(g_object_ref(message));
  g_object_set_data(G_OBJECT(message), "pipit", open_call.get());
  soup_server_message_get_remote_address(message);  // libsoup caches the address now; later the socket may be closed
  g_signal_connect(message, "finished", G_CALLBACK(on_finished), open_call.get());
  server.calls_.emplace(open_call->id, std::move(open_call));
}

void ChatServer::on_headers(SoupServer*, SoupServerMessage* message, char const*, GHashTable*, gpointer self) {
  ChatServer& server = *static_cast<ChatServer*>(self);
  OpenCall* const open_call = static_cast<OpenCall*>(g_object_get_data(G_OBJECT(message), "pipit"));
  if (open_call == nullptr) return;
  open_call->timer = g_timeout_add(body_timeout_ms, on_timeout, open_call);
  SoupMessageHeaders* const head = soup_server_message_get_request_headers(message);
  if (soup_message_headers_get_encoding(head) == SOUP_ENCODING_CONTENT_LENGTH &&
      soup_message_headers_get_content_length(head) > static_cast<goffset>(server.max_body_bytes_)) {
    ++server.aborted_bodies;
    open_call->request_complete = true;
    ErrorResponse const out = error_response(
        Error{ErrorCode::too_large, "a body has at most " + std::to_string(server.max_body_bytes_) + " bytes", ""});
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
    server.answer(open_call->id, out);
    return;
  }
  // A body without a Content-Length is counted as it is received.
  g_signal_connect(message, "got-chunk", G_CALLBACK(+[](SoupServerMessage*, GBytes* chunk, gpointer data) {
                     OpenCall* const item = static_cast<OpenCall*>(data);
                     item->buffered_bytes += g_bytes_get_size(chunk);
                     if (item->buffered_bytes > item->server->max_body_bytes_ && !item->request_complete) {
                       ++item->server->aborted_bodies;
                       item->server->abort(*item);
                     }
                   }),
                   open_call);
}

gboolean ChatServer::on_timeout(gpointer data) {
  OpenCall& open_call = *static_cast<OpenCall*>(data);
  open_call.timer = 0;
  if (open_call.request_complete && open_call.buffered_bytes == open_call.written_bytes) return G_SOURCE_REMOVE;
  ++open_call.server->aborted_bodies;
  open_call.server->abort(open_call);
  return G_SOURCE_REMOVE;
}

void ChatServer::on_call(SoupServer*, SoupServerMessage* message, char const* path, GHashTable* query, gpointer self) {
  ChatServer& server = *static_cast<ChatServer*>(self);
  OpenCall* const open_call = static_cast<OpenCall*>(g_object_get_data(G_OBJECT(message), "pipit"));
  if (open_call == nullptr || open_call->request_complete) return;
  open_call->request_complete = true;
  open_call->buffered_bytes = 0;
  if (open_call->timer != 0) g_source_remove(open_call->timer);
  open_call->timer = 0;
  soup_server_message_pause(message);
  g_signal_connect(message, "wrote-chunk", G_CALLBACK(on_wrote_chunk), open_call);
  g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_wrote_data), open_call);
  // Watches the socket, because a disconnect of the client would not be noticed while nothing is written.
  GSocket* const socket = soup_server_message_get_socket(message);
  if (socket != nullptr) {
    open_call->watch =
        g_socket_create_source(socket, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr);
    g_source_set_callback(open_call->watch, G_SOURCE_FUNC(on_peer), open_call, nullptr);
    g_source_attach(open_call->watch, nullptr);
  }
  Call call;
  call.id = open_call->id;
  call.method = soup_server_message_get_method(message);
  call.path = path;
  call.request_headers = soup_server_message_get_request_headers(message);
  SoupMessageBody* const body = soup_server_message_get_request_body(message);
  GBytes* const bytes = soup_message_body_flatten(body);
  gsize size = 0;
  char const* const raw = static_cast<char const*>(g_bytes_get_data(bytes, &size));
  if (raw != nullptr) call.body.assign(raw, size);
  g_bytes_unref(bytes);
  if (query != nullptr) {
    GHashTableIter it;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&it, query);
    while (g_hash_table_iter_next(&it, &key, &value))
      call.query[static_cast<char const*>(key)] = value == nullptr ? "" : static_cast<char const*>(value);
  }
  server.callbacks_.call(call);
}

gboolean ChatServer::on_peer(GSocket* socket, GIOCondition condition, gpointer data) {
  OpenCall& open_call = *static_cast<OpenCall*>(data);
  char next_byte = 0;
  ssize_t const n = ::recv(g_socket_get_fd(socket), &next_byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    // The client sent its next request early; libsoup will read it. Disconnects are then noticed when writing.
    g_source_unref(open_call.watch);
    open_call.watch = nullptr;
    return G_SOURCE_REMOVE;
  }
  if (n < 0 && (errno == EAGAIN || errno == EINTR) && !(condition & (G_IO_HUP | G_IO_ERR))) return G_SOURCE_CONTINUE;
  g_source_unref(open_call.watch);
  open_call.watch = nullptr;
  open_call.server->abort(open_call);
  return G_SOURCE_REMOVE;
}

void ChatServer::on_finished(SoupServerMessage*, gpointer data) {
  OpenCall& open_call = *static_cast<OpenCall*>(data);
  open_call.server->remove(open_call, true);
}

void ChatServer::remove(OpenCall& open_call, bool disconnected) {
  std::uint64_t const id = open_call.id;
  bool const report_disconnect = disconnected && open_call.request_complete && !open_call.answered;
  g_object_set_data(G_OBJECT(open_call.message), "pipit", nullptr);
  std::map<std::uint64_t, std::unique_ptr<OpenCall>>::iterator const position = calls_.find(id);
  if (position == calls_.end()) return;
  std::unique_ptr<OpenCall> const last = std::move(position->second);
  calls_.erase(position);
  if (report_disconnect) callbacks_.disconnected(id);
}

// Closes the connection at once; the client sees an incomplete body.
void ChatServer::abort(OpenCall& open_call) {
  SoupServerMessage* const message = SOUP_SERVER_MESSAGE(g_object_ref(open_call.message));
  remove(open_call, true);
  // Shuts down the socket first: libsoup closes its chunked writer when the connection is stolen from it, and that
  // would write the end mark of a complete body.
  GSocket* const socket = soup_server_message_get_socket(message);
  if (socket != nullptr) g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  GIOStream* const stream = soup_server_message_steal_connection(message);
  if (stream != nullptr) {
    g_io_stream_close_async(stream, G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
    g_object_unref(stream);
  }
  g_object_unref(message);
}

void ChatServer::answer(std::uint64_t id, unsigned status, std::string const& type, std::string const& body,
                        std::map<std::string, std::string> const& headers) {
  std::map<std::uint64_t, std::unique_ptr<OpenCall>>::iterator const position = calls_.find(id);
  if (position == calls_.end()) return;
  OpenCall& open_call = *position->second;
  open_call.answered = true;
  open_call.unwatch();
  SoupMessageHeaders* const head = soup_server_message_get_response_headers(open_call.message);
  for (std::pair<std::string const, std::string> const& item : headers)
    soup_message_headers_replace(head, item.first.c_str(), item.second.c_str());
  if (closes_connections_) soup_message_headers_replace(head, "Connection", "close");
  soup_server_message_set_status(open_call.message, status, nullptr);
  soup_server_message_set_response(open_call.message, type.c_str(), SOUP_MEMORY_COPY, body.data(), body.size());
  soup_server_message_unpause(open_call.message);
}

void ChatServer::answer(std::uint64_t id, ErrorResponse const& out) {
  std::map<std::string, std::string> headers;
  if (out.retry_after > 0) headers["Retry-After"] = std::to_string((out.retry_after + seconds(1) - 1) / seconds(1));
  answer(id, out.status, "application/json", out.body, headers);
}

bool ChatServer::streaming(std::uint64_t id) const {
  std::map<std::uint64_t, std::unique_ptr<OpenCall>>::const_iterator const position = calls_.find(id);
  return position != calls_.end() && position->second->stream;
}

void ChatServer::write_chunk(std::uint64_t id, std::string const& bytes,
                             std::map<std::string, std::string> const& headers) {
  std::map<std::uint64_t, std::unique_ptr<OpenCall>>::iterator const position = calls_.find(id);
  if (position == calls_.end()) return;
  OpenCall& open_call = *position->second;
  SoupMessageBody* const body = soup_server_message_get_response_body(open_call.message);
  if (!open_call.stream) {
    open_call.stream = true;
    SoupMessageHeaders* const head = soup_server_message_get_response_headers(open_call.message);
    soup_server_message_set_status(open_call.message, 200, nullptr);
    soup_message_headers_set_encoding(head, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(head, "Content-Type", "text/event-stream");
    soup_message_headers_replace(head, "Cache-Control", "no-cache");
    if (closes_connections_) soup_message_headers_replace(head, "Connection", "close");
    for (std::pair<std::string const, std::string> const& item : headers)
      soup_message_headers_replace(head, item.first.c_str(), item.second.c_str());
    soup_message_body_set_accumulate(body, FALSE);
  }
  soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
  open_call.buffered_bytes += bytes.size();
  ++open_call.chunks_queued;
  if (open_call.timer == 0) open_call.timer = g_timeout_add(write_timeout_ms, on_timeout, &open_call);
  if (open_call.buffered_bytes - open_call.written_bytes > max_unsent_bytes) {
    ++aborted_bodies;
    abort(open_call);
    return;
  }
  soup_server_message_unpause(open_call.message);
}

void ChatServer::on_wrote_data(SoupServerMessage*, guint size, gpointer data) {
  OpenCall& open_call = *static_cast<OpenCall*>(data);
  open_call.written_bytes = std::min(open_call.buffered_bytes, open_call.written_bytes + size);
  if (open_call.timer != 0) g_source_remove(open_call.timer);
  open_call.timer =
      open_call.buffered_bytes == open_call.written_bytes ? 0 : g_timeout_add(write_timeout_ms, on_timeout, &open_call);
}

void ChatServer::on_wrote_chunk(SoupServerMessage*, gpointer data) {
  OpenCall& open_call = *static_cast<OpenCall*>(data);
  ++open_call.chunks_written;
  if (open_call.aborts_after_write && open_call.chunks_written >= open_call.chunks_queued) {
    open_call.answered = true;
    open_call.server->abort(open_call);
  }
}

void ChatServer::end(std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<OpenCall>>::iterator const position = calls_.find(id);
  if (position == calls_.end()) return;
  position->second->answered = true;
  position->second->unwatch();
  soup_message_body_complete(soup_server_message_get_response_body(position->second->message));
  soup_server_message_unpause(position->second->message);
}

void ChatServer::break_off(std::uint64_t id, std::string const& last) {
  std::map<std::uint64_t, std::unique_ptr<OpenCall>>::iterator const position = calls_.find(id);
  if (position == calls_.end()) return;
  position->second->aborts_after_write = true;
  position->second->answered = true;
  write_chunk(id, last);
}

void ChatServer::close_after_answers() { closes_connections_ = true; }

void ChatServer::stop_listening() {
  GSList* const list = soup_server_get_listeners(server_);
  for (GSList* item = list; item != nullptr; item = item->next) g_socket_close(G_SOCKET(item->data), nullptr);
  g_slist_free(list);
}

}  // namespace pipit
