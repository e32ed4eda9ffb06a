// HTTP server of a node for clients and operators, based on libsoup (§7, §8).
#pragma once
#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/error.h"

namespace pipit {

// Receives whole requests and sends answers or event streams. Owns the server's sockets. All methods must be called on
// the main loop's thread.
class ChatServer {
 public:
  // A received request. Valid only during the callback; it is answered by its id, then or later.
  struct Call {
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    SoupMessageHeaders* request_headers = nullptr;
    // Returns the value of a header field, or "" if it is missing.
    std::string header(char const* name) const;
  };
  struct Callbacks {
    std::function<void(Call const&)> call;
    std::function<void(std::uint64_t id)> disconnected;  // the client disconnected before the answer was complete
  };
  // Requests with a body of more than 'max_body_bytes' are rejected.
  ChatServer(Callbacks callbacks, std::size_t max_body_bytes);
  ~ChatServer();

  // 'address' is IP:port. Error: bad_settings if it cannot be listened on.
  Result<void> listen(std::string const& address);
  // Sends a whole answer with a content type, a body and further header fields. Does nothing if the call has ended.
  void answer(std::uint64_t id, unsigned status, std::string const& type, std::string const& body,
              std::map<std::string, std::string> const& headers = {});
  // Sends an error answer, with Retry-After if it has a delay.
  void answer(std::uint64_t id, ErrorResponse const& answer);
  // Sends a chunk of an event stream; the first chunk is preceded by the head with the given header fields. Closes the
  // connection if the client leaves too much unread.
  void write_chunk(std::uint64_t id, std::string const& bytes, std::map<std::string, std::string> const& headers = {});
  // Completes a stream.
  void end(std::uint64_t id);
  // Sends a last chunk and then closes the connection without the end mark, so that the client sees a failed stream.
  void break_off(std::uint64_t id, std::string const& last);
  // Whether a stream has begun for the call.
  bool streaming(std::uint64_t id) const;
  // Number of calls whose answer is not yet complete.
  std::size_t open_calls() const { return calls_.size(); }
  // Every later answer closes its connection.
  void close_after_answers();
  // Accepts no new connections; open ones continue.
  void stop_listening();
  std::uint64_t aborted_bodies = 0;  // calls that were aborted because a body was too large or too slow

 private:
  struct OpenCall;
  static void on_started(SoupServer*, SoupServerMessage* message, gpointer self);
  static void on_headers(SoupServer*, SoupServerMessage* message, char const* path, GHashTable* query, gpointer self);
  static void on_call(SoupServer*, SoupServerMessage* message, char const* path, GHashTable* query, gpointer self);
  static void on_finished(SoupServerMessage* message, gpointer data);
  static void on_wrote_chunk(SoupServerMessage* message, gpointer data);
  static void on_wrote_data(SoupServerMessage* message, guint size, gpointer data);
  static gboolean on_peer(GSocket* socket, GIOCondition condition, gpointer data);
  static gboolean on_timeout(gpointer data);
  void remove(OpenCall& open_call, bool disconnected);
  void abort(OpenCall& open_call);

  Callbacks callbacks_;
  std::size_t const max_body_bytes_;
  SoupServer* server_ = nullptr;
  std::uint64_t next_id_ = 0;
  bool closes_connections_ = false;
  std::map<std::uint64_t, std::unique_ptr<OpenCall>> calls_;
};

}  // namespace pipit
