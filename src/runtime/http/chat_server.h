// HTTP server of a router or replica for clients and operators (§7, §8).
#pragma once
#include <functional>
#include <map>
#include <string>

#include "base/error.h"
#include "net/server.h"

namespace pipit {

// Receives whole requests and sends answers or event streams, on the HTTP server that all programs share. All methods
// must be called on the main loop's thread.
class ChatServer {
 public:
  // A received request. It is answered by its id, then or later.
  struct Call {
    std::uint64_t id = 0;
    std::string method;
    std::string path;                          // decoded, without the query
    std::map<std::string, std::string> query;  // decoded
    std::string body;
    Head head;
    // Returns the value of a header field, or "" if it is missing.
    std::string header(char const* name) const { return head.get(name); }
  };
  struct Callbacks {
    std::function<void(Call&)> call;
    std::function<void(std::uint64_t id)> disconnected;  // the client disconnected before the answer was complete
  };
  // Requests with a body of more than 'max_body_bytes' are rejected.
  ChatServer(Callbacks callbacks, std::size_t max_body_bytes, std::shared_ptr<ConnectionBudget> budget);
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
  void end(std::uint64_t id) { server_.end_response(id); }
  // Sends a last chunk and then closes the connection without the end mark, so that the client sees a failed stream.
  void break_off(std::uint64_t id, std::string const& last);
  // Number of calls whose answer is not yet sent.
  std::size_t open_calls() const { return server_.active_requests() + server_.flushing_connections(); }
  // Every later answer closes its connection.
  void close_after_answers() { server_.close_after_responses(); }
  // Accepts no new connections; open ones continue.
  void stop_listening() { server_.stop_listening(); }

 private:
  void receive(Server::Request&& request);
  void close_expired();

  Callbacks callbacks_;
  std::size_t const max_body_bytes_;
  Server server_;
  unsigned expiry_timer_ = 0;
};

}  // namespace pipit
