#include "runtime/http/chat_upstream.h"

#include <cstdlib>

#include "base/fault_points.h"
#include "routing/chat/chat_request_reader.h"

namespace pipit {

namespace {
constexpr std::size_t max_answer_bytes = 16u << 20;
constexpr Micros connect_timeout = seconds(1);  // time limit for opening the connection to a worker

SoupSession* make_session(int max_connections) {
  // §7.3: disables libsoup's own proxies, cookies and cached or shared connections.
  SoupSession* const out =
      soup_session_new_with_options("max-conns", max_connections, "max-conns-per-host", max_connections, "timeout", 0,
                                    "idle-timeout", 20, "proxy-resolver", nullptr, nullptr);
  return out;
}
}  // namespace

struct ChatUpstream::ChatAttempt {
  ChatUpstream* upstream = nullptr;
  ChatAttemptStart start;
  std::string id;
  bool stream = false;
  SoupMessage* message = nullptr;
  GInputStream* body = nullptr;
  GCancellable* stop = nullptr;
  guint timer = 0;
  bool sent = false;
  bool head_received = false;
  bool finished = false;
  bool timed_out = false;
  bool done_received = false;  // the worker sent [DONE]
  std::string answer_text;
  EventSplitter splitter;
  std::size_t events = 0;
  char read_buffer[16384];
  ~ChatAttempt() {
    if (timer != 0) g_source_remove(timer);
    if (message != nullptr) g_signal_handlers_disconnect_by_data(message, this);
    g_clear_object(&body);
    g_clear_object(&message);
    g_clear_object(&stop);
  }
};

ChatUpstream::ChatUpstream(Callbacks callbacks)
    : callbacks_(std::move(callbacks)), session_(make_session(4096)), fetch_session_(make_session(256)) {}

ChatUpstream::~ChatUpstream() {
  for (std::pair<std::uint64_t const, std::shared_ptr<ChatAttempt>>& item : attempts_) {
    item.second->finished = true;
    g_cancellable_cancel(item.second->stop);
  }
  attempts_.clear();
  soup_session_abort(session_);
  soup_session_abort(fetch_session_);
  g_object_unref(session_);
  g_object_unref(fetch_session_);
}

void ChatUpstream::set_timer(ChatAttempt& attempt, Micros timeout) {
  if (attempt.timer != 0) g_source_remove(attempt.timer);
  attempt.timer = g_timeout_add(static_cast<guint>(timeout / 1000 + 1), on_timer, &attempt);
}

gboolean ChatUpstream::on_timer(gpointer data) {
  ChatAttempt& attempt = *static_cast<ChatAttempt*>(data);
  attempt.timer = 0;
  attempt.timed_out = true;
  // The end is reported when libsoup has finished the cancelled call: only then is it certain whether a byte was sent.
  g_cancellable_cancel(attempt.stop);
  return G_SOURCE_REMOVE;
}

void ChatUpstream::start(ChatAttemptStart const& start, std::string const& id, std::string const& path,
                         std::shared_ptr<std::string const> const& body, bool stream) {
  std::shared_ptr<ChatAttempt> const attempt = std::make_shared<ChatAttempt>();
  attempt->upstream = this;
  attempt->start = start;
  attempt->id = id;
  attempt->stream = stream;
  attempt->stop = g_cancellable_new();
  attempt->message = soup_message_new("POST", ("http://" + start.address + path).c_str());
  attempts_[start.chat_request] = attempt;
  if (attempt->message == nullptr || fault_fires(FaultPoint::attempt_unreached) ||
      fault_fires_for(FaultPoint::cut_workers, start.worker)) {
    std::shared_ptr<ChatAttempt>* const attempt_owner = new std::shared_ptr<ChatAttempt>(attempt);
    g_idle_add(
        [](gpointer data) -> gboolean {
          std::unique_ptr<std::shared_ptr<ChatAttempt>> const item(static_cast<std::shared_ptr<ChatAttempt>*>(data));
          if (!(*item)->finished) (*item)->upstream->finish(**item, ChatAttemptEnd::unreached, "fault point 7");
          return G_SOURCE_REMOVE;
        },
        attempt_owner);
    return;
  }
  // Uses a new connection for each attempt, because libsoup silently retries a request on a reused connection.
  soup_message_set_flags(attempt->message,
                         static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_NEW_CONNECTION));
  SoupMessageHeaders* const head = soup_message_get_request_headers(attempt->message);
  soup_message_headers_replace(head, "X-Request-Id", id.c_str());
  soup_message_headers_replace(head, "Connection", "close");
  // The bytes are shared with the request that the client sent.
  GBytes* const bytes = g_bytes_new_with_free_func(
      body->data(), body->size(),
      [](gpointer owner) { delete static_cast<std::shared_ptr<std::string const>*>(owner); },
      new std::shared_ptr<std::string const>(body));
  soup_message_set_request_body_from_bytes(attempt->message, "application/json", bytes);
  g_bytes_unref(bytes);
  g_signal_connect(attempt->message, "starting", G_CALLBACK(on_starting), attempt.get());
  set_timer(*attempt, connect_timeout);
  soup_session_send_async(session_, attempt->message, G_PRIORITY_DEFAULT, attempt->stop, on_head,
                          new std::shared_ptr<ChatAttempt>(attempt));
}

void ChatUpstream::on_starting(SoupMessage*, gpointer data) {
  ChatAttempt& attempt = *static_cast<ChatAttempt*>(data);
  if (attempt.sent) return;
  attempt.sent = true;
  if (attempt.finished) return;
  attempt.upstream->callbacks_.sent(attempt.start.chat_request);
  attempt.upstream->set_timer(attempt, attempt.start.first_byte_timeout);
  if (fault_fires(FaultPoint::attempt_break_sent)) g_cancellable_cancel(attempt.stop);
}

void ChatUpstream::finish(ChatAttempt& attempt, ChatAttemptEnd end, std::string const& why, Micros retry_after) {
  if (attempt.finished) return;
  attempt.finished = true;
  if (attempt.timer != 0) g_source_remove(attempt.timer);
  attempt.timer = 0;
  g_cancellable_cancel(attempt.stop);
  std::uint64_t const chat_request = attempt.start.chat_request;
  attempts_.erase(chat_request);  // the caller holds a reference to the attempt
  callbacks_.ended(chat_request, end, why, retry_after);
}

void ChatUpstream::on_head(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<std::shared_ptr<ChatAttempt>> const attempt_owner(static_cast<std::shared_ptr<ChatAttempt>*>(data));
  ChatAttempt& attempt = **attempt_owner;
  GError* error = nullptr;
  attempt.body = soup_session_send_finish(SOUP_SESSION(source), result, &error);
  std::string const why = error != nullptr ? error->message : "";
  g_clear_error(&error);
  if (attempt.finished) return;
  if (attempt.body == nullptr) {
    if (!attempt.sent)
      return attempt.upstream->finish(attempt, ChatAttemptEnd::unreached,
                                      attempt.timed_out ? "no connection within the timeout" : why);
    return attempt.upstream->finish(attempt, attempt.timed_out ? ChatAttemptEnd::silent : ChatAttemptEnd::broke, why);
  }
  attempt.head_received = true;
  unsigned const status = soup_message_get_status(attempt.message);
  SoupMessageHeaders* const head = soup_message_get_response_headers(attempt.message);
  if (status != 200) {
    char const* const retry_after_text = soup_message_headers_get_one(head, "Retry-After");
    Micros const retry_after = retry_after_text != nullptr
                                   ? seconds(std::min(3600L, std::max(0L, std::strtol(retry_after_text, nullptr, 10))))
                                   : 0;
    // §7.3: 429 means by definition that the request was not run; 503 means so only with a Retry-After.
    bool const refused = status == 429 || (status == 503 && retry_after_text != nullptr);
    return attempt.upstream->finish(attempt,
                                    refused         ? ChatAttemptEnd::refused
                                    : status >= 500 ? ChatAttemptEnd::failed
                                                    : ChatAttemptEnd::wrong,
                                    "status " + std::to_string(status), retry_after);
  }
  char const* const type = soup_message_headers_get_content_type(head, nullptr);
  std::string const expected_type = attempt.stream ? "text/event-stream" : "application/json";
  if (type == nullptr || expected_type != type)
    return attempt.upstream->finish(attempt, ChatAttemptEnd::wrong,
                                    std::string("content type ") + (type == nullptr ? "none" : type));
  attempt.upstream->read_more(attempt);
}

void ChatUpstream::read_more(ChatAttempt& attempt) {
  std::map<std::uint64_t, std::shared_ptr<ChatAttempt>>::iterator const position =
      attempts_.find(attempt.start.chat_request);
  if (position == attempts_.end() || position->second.get() != &attempt) return;
  g_input_stream_read_async(attempt.body, attempt.read_buffer, sizeof attempt.read_buffer, G_PRIORITY_DEFAULT,
                            attempt.stop, on_body, new std::shared_ptr<ChatAttempt>(position->second));
}

void ChatUpstream::on_body(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<std::shared_ptr<ChatAttempt>> const attempt_owner(static_cast<std::shared_ptr<ChatAttempt>*>(data));
  ChatAttempt& attempt = **attempt_owner;
  GError* error = nullptr;
  gssize const size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
  std::string const why = error != nullptr ? error->message : "";
  g_clear_error(&error);
  if (attempt.finished) return;
  ChatUpstream& upstream = *attempt.upstream;
  if (size < 0) {
    bool const answer_begun = attempt.events > 0 || !attempt.answer_text.empty();
    if (attempt.timed_out && !answer_begun)
      return upstream.finish(attempt, ChatAttemptEnd::silent, "no answer within the first-byte timeout");
    return upstream.finish(attempt, ChatAttemptEnd::torn,
                           attempt.timed_out ? "the rest of the answer did not arrive in time" : why);
  }
  if (size == 0) return upstream.finish_answer(attempt);
  upstream.receive(attempt, std::string_view(attempt.read_buffer, static_cast<std::size_t>(size)));
  if (!attempt.finished) upstream.read_more(attempt);
}

void ChatUpstream::receive(ChatAttempt& attempt, std::string_view bytes) {
  if (!attempt.stream) {
    attempt.answer_text += bytes;
    if (attempt.answer_text.size() > max_answer_bytes)
      finish(attempt, ChatAttemptEnd::wrong, "the answer is larger than the limit");
    return;
  }
  attempt.splitter.feed(bytes);
  std::string event;
  while (!attempt.finished && attempt.splitter.next(event)) {
    std::string const text = event_data(event);
    if (text.empty()) continue;  // a comment that keeps the connection alive
    if (attempt.done_received)
      return finish(attempt, ChatAttemptEnd::torn, "the worker sent data after the end of the stream");
    if (text == "[DONE]") {
      if (attempt.events == 0) return finish(attempt, ChatAttemptEnd::torn, "the stream ended without a chunk");
      attempt.done_received = true;
      continue;
    }
    ParsedChunk const chunk = parse_chunk(text);
    if (!chunk.json)
      return finish(attempt, attempt.events == 0 ? ChatAttemptEnd::wrong : ChatAttemptEnd::torn, "a chunk is not JSON");
    if (chunk.error)
      return finish(attempt, attempt.events == 0 ? ChatAttemptEnd::wrong : ChatAttemptEnd::torn,
                    "the worker reports an error");
    // N4: an answer to another request is never forwarded.
    if (!id_matches_request(chunk.id, attempt.id))
      return finish(attempt, attempt.events == 0 ? ChatAttemptEnd::wrong : ChatAttemptEnd::torn,
                    "a chunk answers another request: " + chunk.id);
    ++attempt.events;
    callbacks_.event(attempt.start.chat_request, event);
    set_timer(attempt, attempt.start.idle_timeout);
    if (fault_fires(FaultPoint::attempt_break_begun)) return finish(attempt, ChatAttemptEnd::torn, "fault point 9");
  }
  if (attempt.splitter.size() > max_answer_bytes)
    finish(attempt, ChatAttemptEnd::wrong, "a chunk is larger than the limit");
}

void ChatUpstream::finish_answer(ChatAttempt& attempt) {
  if (!attempt.stream) {
    ParsedChunk const chunk = parse_chunk(attempt.answer_text);
    if (!chunk.json) return finish(attempt, ChatAttemptEnd::torn, "the answer is not complete JSON");
    if (chunk.error) return finish(attempt, ChatAttemptEnd::wrong, "the worker reports an error");
    if (!id_matches_request(chunk.id, attempt.id))
      return finish(attempt, ChatAttemptEnd::wrong, "the answer is to another request: " + chunk.id);
    callbacks_.answer(attempt.start.chat_request, std::move(attempt.answer_text));
    return finish(attempt, ChatAttemptEnd::done, "");
  }
  if (!attempt.done_received || attempt.splitter.has_partial_event())
    return finish(attempt, attempt.events == 0 ? ChatAttemptEnd::broke : ChatAttemptEnd::torn,
                  "the stream was closed before its end marker");
  finish(attempt, ChatAttemptEnd::done, "");
}

void ChatUpstream::cancel(std::uint64_t chat_request) {
  std::map<std::uint64_t, std::shared_ptr<ChatAttempt>>::iterator const position = attempts_.find(chat_request);
  if (position == attempts_.end()) return;
  std::shared_ptr<ChatAttempt> const attempt = position->second;
  attempt->finished = true;
  if (attempt->timer != 0) g_source_remove(attempt->timer);
  attempt->timer = 0;
  attempts_.erase(position);
  g_cancellable_cancel(attempt->stop);
}

struct ChatUpstream::Fetch {
  SoupMessage* message;
  GCancellable* stop;
  guint timer;
  std::function<void(bool, bool, std::string const&)> done;
};

void ChatUpstream::fetch(std::string const& address, std::string const& path, Micros timeout,
                         std::function<void(bool, bool, std::string const&)> done) {
  Fetch* const fetch =
      new Fetch{soup_message_new("GET", ("http://" + address + path).c_str()), g_cancellable_new(), 0, std::move(done)};
  soup_message_set_flags(fetch->message, SOUP_MESSAGE_NO_REDIRECT);
  fetch->timer = g_timeout_add(
      static_cast<guint>(timeout / 1000),
      [](gpointer data) -> gboolean {
        Fetch* const item = static_cast<Fetch*>(data);
        item->timer = 0;
        g_cancellable_cancel(item->stop);
        return G_SOURCE_REMOVE;
      },
      fetch);
  soup_session_send_and_read_async(fetch_session_, fetch->message, G_PRIORITY_DEFAULT, fetch->stop, on_fetched, fetch);
}

void ChatUpstream::on_fetched(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<Fetch> const fetch(static_cast<Fetch*>(data));
  GError* error = nullptr;
  GBytes* const bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  if (fetch->timer != 0) g_source_remove(fetch->timer);
  bool const refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  bool const good = bytes != nullptr && soup_message_get_status(fetch->message) == 200;
  std::string body;
  if (bytes != nullptr) {
    gsize size = 0;
    char const* const raw = static_cast<char const*>(g_bytes_get_data(bytes, &size));
    if (raw != nullptr) body.assign(raw, size);
    g_bytes_unref(bytes);
  }
  g_clear_error(&error);
  g_object_unref(fetch->message);
  g_object_unref(fetch->stop);
  fetch->done(good, refused, body);
}

}  // namespace pipit
