// The executor of attempts: sends a request to a worker and brings its answer, or what became of it (§7.3, §7.5).
#pragma once
#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "routing/chat/chat_dispatcher.h"
#include "routing/chat/event_splitter.h"

namespace pipit {

class ChatUpstream {
 public:
  struct Callbacks {
    std::function<void(std::uint64_t chat_request)> sent;
    std::function<void(std::uint64_t chat_request, std::string const& event)> event;  // one whole event of a stream
    std::function<void(std::uint64_t chat_request, std::string body)> answer;  // a whole answer that is no stream
    std::function<void(std::uint64_t chat_request, ChatAttemptEnd end, std::string const& why, Micros retry_after)>
        ended;
  };
  explicit ChatUpstream(Callbacks callbacks);
  ~ChatUpstream();

  // 'id' is what the worker is told and must answer with.
  void start(ChatAttemptStart const& start, std::string const& id, std::string const& path, std::string const& body,
             bool stream);
  void cancel(std::uint64_t chat_request);
  std::size_t open_attempts() const { return attempts_.size(); }

  // One small GET, for lists and health reports; the answer is nullopt when it failed.
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
  std::map<std::uint64_t, std::shared_ptr<ChatAttempt>> attempts_;  // by chat request: one attempt at a time
};

}  // namespace pipit
