#include "runtime/http/legs.h"

#include <cstdlib>

#include "base/faults.h"
#include "flow/errand/parse.h"

namespace pipit {

namespace {
constexpr std::size_t answer_most = 16u << 20;
constexpr Micros reach = seconds(1);  // within which the wire to a worker must be open

SoupSession* make_session(int most) {
  // §7.3: what libsoup does by itself is switched off: proxies, cookies, cached or shared wires.
  SoupSession* const out = soup_session_new_with_options("max-conns", most, "max-conns-per-host", most, "timeout", 0,
                                                         "idle-timeout", 20, "proxy-resolver", nullptr, nullptr);
  return out;
}
}  // namespace

struct Legs::Leg {
  Legs* host = nullptr;
  Start start;
  std::string id;
  bool stream = false;
  SoupMessage* message = nullptr;
  GInputStream* body = nullptr;
  GCancellable* stop = nullptr;
  guint timer = 0;
  bool sent = false;
  bool head = false;
  bool over = false;
  bool late = false;
  bool closed = false;  // the worker said [DONE]
  std::string whole;
  Pieces pieces;
  std::size_t events = 0;
  char room[16384];
  ~Leg() {
    if (timer != 0) g_source_remove(timer);
    if (message != nullptr) g_signal_handlers_disconnect_by_data(message, this);
    g_clear_object(&body);
    g_clear_object(&message);
    g_clear_object(&stop);
  }
};

Legs::Legs(Callbacks callbacks)
    : callbacks_(std::move(callbacks)), session_(make_session(4096)), small_(make_session(256)) {}

Legs::~Legs() {
  for (std::pair<std::uint64_t const, std::shared_ptr<Leg>>& item : legs_) {
    item.second->over = true;
    g_cancellable_cancel(item.second->stop);
  }
  legs_.clear();
  soup_session_abort(session_);
  soup_session_abort(small_);
  g_object_unref(session_);
  g_object_unref(small_);
}

void Legs::arm(Leg& leg, Micros within) {
  if (leg.timer != 0) g_source_remove(leg.timer);
  leg.timer = g_timeout_add(static_cast<guint>(within / 1000 + 1), on_timer, &leg);
}

gboolean Legs::on_timer(gpointer data) {
  Leg& leg = *static_cast<Leg*>(data);
  leg.timer = 0;
  leg.late = true;
  // What became of it is told once libsoup has let go: only then is it certain whether a byte left.
  g_cancellable_cancel(leg.stop);
  return G_SOURCE_REMOVE;
}

void Legs::start(Start const& start, std::string const& id, std::string const& path, std::string const& body,
                 bool stream) {
  std::shared_ptr<Leg> const leg = std::make_shared<Leg>();
  leg->host = this;
  leg->start = start;
  leg->id = id;
  leg->stream = stream;
  leg->stop = g_cancellable_new();
  leg->message = soup_message_new("POST", ("http://" + start.address + path).c_str());
  legs_[start.errand] = leg;
  if (leg->message == nullptr || fires(Point::leg_unreached) || fires_for(Point::cut_workers, start.worker)) {
    std::shared_ptr<Leg>* const held = new std::shared_ptr<Leg>(leg);
    g_idle_add(
        [](gpointer data) -> gboolean {
          std::unique_ptr<std::shared_ptr<Leg>> const item(static_cast<std::shared_ptr<Leg>*>(data));
          if (!(*item)->over) (*item)->host->finish(**item, LegEnd::unreached, "fault point 7");
          return G_SOURCE_REMOVE;
        },
        held);
    return;
  }
  // A wire of its own for each leg: libsoup repeats a request by itself only on a wire that was used before.
  soup_message_set_flags(leg->message,
                         static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_NEW_CONNECTION));
  SoupMessageHeaders* const head = soup_message_get_request_headers(leg->message);
  soup_message_headers_replace(head, "X-Request-Id", id.c_str());
  soup_message_headers_replace(head, "Connection", "close");
  GBytes* const bytes = g_bytes_new(body.data(), body.size());
  soup_message_set_request_body_from_bytes(leg->message, "application/json", bytes);
  g_bytes_unref(bytes);
  g_signal_connect(leg->message, "starting", G_CALLBACK(on_starting), leg.get());
  arm(*leg, reach);
  soup_session_send_async(session_, leg->message, G_PRIORITY_DEFAULT, leg->stop, on_head,
                          new std::shared_ptr<Leg>(leg));
}

void Legs::on_starting(SoupMessage*, gpointer data) {
  Leg& leg = *static_cast<Leg*>(data);
  if (leg.sent) return;
  leg.sent = true;
  if (leg.over) return;
  leg.host->callbacks_.sent(leg.start.errand);
  leg.host->arm(leg, leg.start.answer);
  if (fires(Point::leg_break_sent)) g_cancellable_cancel(leg.stop);
}

void Legs::finish(Leg& leg, LegEnd end, std::string const& why, Micros back) {
  if (leg.over) return;
  leg.over = true;
  if (leg.timer != 0) g_source_remove(leg.timer);
  leg.timer = 0;
  g_cancellable_cancel(leg.stop);
  std::uint64_t const errand = leg.start.errand;
  legs_.erase(errand);  // whoever called this holds the leg
  callbacks_.ended(errand, end, why, back);
}

void Legs::on_head(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<std::shared_ptr<Leg>> const held(static_cast<std::shared_ptr<Leg>*>(data));
  Leg& leg = **held;
  GError* error = nullptr;
  leg.body = soup_session_send_finish(SOUP_SESSION(source), result, &error);
  std::string const why = error != nullptr ? error->message : "";
  g_clear_error(&error);
  if (leg.over) return;
  if (leg.body == nullptr) {
    if (!leg.sent) return leg.host->finish(leg, LegEnd::unreached, leg.late ? "no wire in time" : why);
    return leg.host->finish(leg, leg.late ? LegEnd::silent : LegEnd::broke, why);
  }
  leg.head = true;
  unsigned const status = soup_message_get_status(leg.message);
  SoupMessageHeaders* const head = soup_message_get_response_headers(leg.message);
  if (status != 200) {
    char const* const after = soup_message_headers_get_one(head, "Retry-After");
    Micros const back = after != nullptr ? seconds(std::min(3600L, std::max(0L, std::strtol(after, nullptr, 10)))) : 0;
    // §7.3: 429 is a refusal before running by its meaning; 503 is one only when it says when to come back.
    bool const refused = status == 429 || (status == 503 && after != nullptr);
    return leg.host->finish(leg,
                            refused         ? LegEnd::refused
                            : status >= 500 ? LegEnd::failed
                                            : LegEnd::wrong,
                            "status " + std::to_string(status), back);
  }
  char const* const type = soup_message_headers_get_content_type(head, nullptr);
  std::string const want = leg.stream ? "text/event-stream" : "application/json";
  if (type == nullptr || want != type)
    return leg.host->finish(leg, LegEnd::wrong, std::string("content type ") + (type == nullptr ? "none" : type));
  leg.host->read_more(leg);
}

void Legs::read_more(Leg& leg) {
  std::map<std::uint64_t, std::shared_ptr<Leg>>::iterator const spot = legs_.find(leg.start.errand);
  if (spot == legs_.end() || spot->second.get() != &leg) return;
  g_input_stream_read_async(leg.body, leg.room, sizeof leg.room, G_PRIORITY_DEFAULT, leg.stop, on_body,
                            new std::shared_ptr<Leg>(spot->second));
}

void Legs::on_body(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<std::shared_ptr<Leg>> const held(static_cast<std::shared_ptr<Leg>*>(data));
  Leg& leg = **held;
  GError* error = nullptr;
  gssize const size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
  std::string const why = error != nullptr ? error->message : "";
  g_clear_error(&error);
  if (leg.over) return;
  Legs& host = *leg.host;
  if (size < 0) {
    bool const some = leg.events > 0 || !leg.whole.empty();
    if (leg.late && !some) return host.finish(leg, LegEnd::silent, "no answer in time");
    return host.finish(leg, LegEnd::torn, leg.late ? "the next piece did not come in time" : why);
  }
  if (size == 0) return host.eof(leg);
  host.took(leg, std::string_view(leg.room, static_cast<std::size_t>(size)));
  if (!leg.over) host.read_more(leg);
}

void Legs::took(Leg& leg, std::string_view bytes) {
  if (!leg.stream) {
    leg.whole += bytes;
    if (leg.whole.size() > answer_most) finish(leg, LegEnd::wrong, "the answer is larger than the limit");
    return;
  }
  leg.pieces.feed(bytes);
  std::string event;
  while (!leg.over && leg.pieces.next(event)) {
    std::string const text = event_data(event);
    if (text.empty()) continue;  // a comment that keeps the wire awake
    if (leg.closed) return finish(leg, LegEnd::torn, "something came after the end");
    if (text == "[DONE]") {
      if (leg.events == 0) return finish(leg, LegEnd::torn, "an end without a piece");
      leg.closed = true;
      continue;
    }
    Piece const piece = parse_piece(text);
    if (!piece.json) return finish(leg, leg.events == 0 ? LegEnd::wrong : LegEnd::torn, "a piece is not JSON");
    if (piece.error) return finish(leg, leg.events == 0 ? LegEnd::wrong : LegEnd::torn, "the worker reports an error");
    // N4: an answer to another request is never passed on.
    if (!answers_to(piece.id, leg.id))
      return finish(leg, leg.events == 0 ? LegEnd::wrong : LegEnd::torn, "a piece of another request: " + piece.id);
    ++leg.events;
    callbacks_.piece(leg.start.errand, event);
    arm(leg, leg.start.stall);
    if (fires(Point::leg_break_begun)) return finish(leg, LegEnd::torn, "fault point 9");
  }
  if (leg.pieces.size() > answer_most) finish(leg, LegEnd::wrong, "a piece is larger than the limit");
}

void Legs::eof(Leg& leg) {
  if (!leg.stream) {
    Piece const piece = parse_piece(leg.whole);
    if (!piece.json) return finish(leg, LegEnd::torn, "the answer is not whole JSON");
    if (piece.error) return finish(leg, LegEnd::wrong, "the worker reports an error");
    if (!answers_to(piece.id, leg.id)) return finish(leg, LegEnd::wrong, "the answer to another request: " + piece.id);
    callbacks_.whole(leg.start.errand, std::move(leg.whole));
    return finish(leg, LegEnd::done, "");
  }
  if (!leg.closed || leg.pieces.rest())
    return finish(leg, leg.events == 0 ? LegEnd::broke : LegEnd::torn, "the stream ended before its end");
  finish(leg, LegEnd::done, "");
}

void Legs::cut(std::uint64_t errand) {
  std::map<std::uint64_t, std::shared_ptr<Leg>>::iterator const spot = legs_.find(errand);
  if (spot == legs_.end()) return;
  std::shared_ptr<Leg> const leg = spot->second;
  leg->over = true;
  if (leg->timer != 0) g_source_remove(leg->timer);
  leg->timer = 0;
  legs_.erase(spot);
  g_cancellable_cancel(leg->stop);
}

struct Legs::Fetch {
  SoupMessage* message;
  GCancellable* stop;
  guint timer;
  std::function<void(bool, bool, std::string const&)> done;
};

void Legs::get(std::string const& address, std::string const& path, Micros within,
               std::function<void(bool, bool, std::string const&)> done) {
  Fetch* const fetch =
      new Fetch{soup_message_new("GET", ("http://" + address + path).c_str()), g_cancellable_new(), 0, std::move(done)};
  soup_message_set_flags(fetch->message, SOUP_MESSAGE_NO_REDIRECT);
  fetch->timer = g_timeout_add(
      static_cast<guint>(within / 1000),
      [](gpointer data) -> gboolean {
        Fetch* const item = static_cast<Fetch*>(data);
        item->timer = 0;
        g_cancellable_cancel(item->stop);
        return G_SOURCE_REMOVE;
      },
      fetch);
  soup_session_send_and_read_async(small_, fetch->message, G_PRIORITY_DEFAULT, fetch->stop, on_fetched, fetch);
}

void Legs::on_fetched(GObject* source, GAsyncResult* result, gpointer data) {
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
