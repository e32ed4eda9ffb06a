// HTTP client for attempts at workers, based on libsoup (§7.3, §7.5).
#pragma once
#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "routing/chat/chat_dispatcher.h"
#include "routing/chat/event_splitter.h"

namespace pipit {

// Sends requests to workers, checks their answers and reports events, answers and failures. Owns the client sockets.
// All methods must be called on the main loop's thread.
class ChatUpstream {
 public:
  struct Callbacks {
    std::function<void(std::uint64_t chat_request)> sent;  // a byte of the request may have left from now on
    std::function<void(std::uint64_t chat_request, std::string const& event)> event;  // one complete event of a stream
    std::function<void(std::uint64_t chat_request, std::string body)> answer;         // a complete non-streamed answer
    std::function<void(std::uint64_t chat_request, ChatAttemptEnd end, std::string const& why, Micros retry_after)>
        ended;
  };
  explicit ChatUpstream(Callbacks callbacks);
  ~ChatUpstream();

  // Starts an attempt. 'id' is sent to the worker as X-Request-Id, and the answer must carry it. The end of the attempt
  // is always reported by 'ended', unless it is cancelled.
  void start(ChatAttemptStart const& start, std::string const& id, std::string const& path,
             std::shared_ptr<std::string const> const& body, bool stream);
  // Ends the attempt of a request without a callback.
  void cancel(std::uint64_t chat_request);
  // Number of attempts in flight.
  std::size_t open_attempts() const { return attempts_.size(); }

  // Sends a GET for a worker list or health report. Calls 'done' with whether the status was 200, whether the
  // connection was refused, and the body.
  void fetch(std::string const& address, std::string const& path, Micros timeout,
             std::function<void(bool good, bool refused, std::string const& body)> done);

 private:
  struct ChatAttempt;
  struct Fetch;
  static void on_head(GObject* source, GAsyncResult* result, gpointer data);
  static void on_body(GObject* source, GAsyncResult* result, gpointer data);
  static void on_starting(SoupMessage* message, gpointer data);
  static gboolean on_timer(gpointer data);
  static void on_fetched(GObject* source, GAsyncResult* result, gpointer data);
  void set_timer(ChatAttempt& attempt, Micros timeout);
  void read_more(ChatAttempt& attempt);
  void finish(ChatAttempt& attempt, ChatAttemptEnd end, std::string const& why, Micros retry_after = 0);
  void receive(ChatAttempt& attempt, std::string_view bytes);
  void finish_answer(ChatAttempt& attempt);

  Callbacks callbacks_;
  SoupSession* session_;
  SoupSession* fetch_session_;
  std::map<std::uint64_t, std::shared_ptr<ChatAttempt>> attempts_;  // by chat request, which has one attempt at a time
};

}  // namespace pipit
