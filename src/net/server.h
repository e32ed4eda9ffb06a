// HTTP/1.1 server: delivers complete requests and sends complete or streamed responses (design §12.2).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/connection_budget.h"
#include "net/http.h"
#include "net/tcp_connection.h"

namespace pipit {

// Bodies up to this size are copied into the request to a worker; larger ones are shared with it.
constexpr std::size_t max_copied_body_bytes = 64u << 10;

// Serves the connections of one listening address on the main loop. It delivers the requests of a connection one at a
// time: pipelined requests wait until the response to the one before them has ended. The members that send responses
// ignore the id of a request that has ended or whose client has disconnected.
class Server {
 public:
  struct Request {
    std::uint64_t id = 0;  // unique within the server, never 0 for a delivered request
    Head head;
    std::string body;
    Micros arrived_at = 0;  // loop_time() when its first byte was read
  };
  struct Callbacks {
    std::function<void(Request&&)> request;                         // a complete request
    std::function<void(std::uint64_t)> disconnected;                // the client disconnected before its response ended
    std::function<std::string(unsigned)> rejection_body = nullptr;  // body of the server's own answer with this status
    // The client has accepted all that was written of a response that has not ended.
    std::function<void(std::uint64_t)> drained = nullptr;
  };
  // Sizes in bytes, times in microseconds.
  struct Limits {
    std::size_t max_head_bytes = 65536;
    std::size_t max_body_bytes = 4u << 20;
    Micros head_timeout = seconds(10);  // from the first byte of a request to the end of its head
    Micros body_timeout = seconds(20);  // from the first byte of a request to its end, once the head is complete
    Micros idle_timeout = seconds(60);  // of a connection between requests
  };
  // With a budget, the connections of listen() count in it, and give way to others when their group needs room
  // (docs/limits.md).
  explicit Server(Callbacks callbacks, std::shared_ptr<ConnectionBudget> budget = nullptr,
                  ListenerGroup group = ListenerGroup::clients);
  ~Server();

  // Listens at "IP:port". Fails with bad_settings if the address is malformed or cannot be bound.
  Result<void> listen(std::string const& address);
  // Serves a client connection that was not accepted by listen().
  void adopt(std::shared_ptr<TcpConnection> tcp) { add_connection(std::move(tcp)); }
  // Accepts no more connections, and closes each open one after its current response unless it already sent another
  // request.
  void stop_listening() {
    listener_.close();
    listening_stopped_ = true;
  }
  // From now on each response whose head is not sent yet announces "Connection: close" and closes its connection.
  void close_after_responses() { close_after_responses_ = true; }
  // Closes the connections without a request in progress.
  void close_idle_connections();
  // Size limits apply to requests that begin after the call. Timeouts apply at once, but a connection that is already
  // idle keeps its idle timeout if that is longer.
  void set_limits(Limits const& limits) { limits_ = limits; }

  // Sends a complete response.
  void respond(std::uint64_t id, Head const& head, std::string_view body);
  // True if the head of the response was sent, or if the request has ended.
  bool response_begun(std::uint64_t id) const;
  // Begins a streamed response. 'length' is the size of its body in bytes, or -1 if that is unknown.
  void begin_response(std::uint64_t id, Head const& head, std::int64_t length);
  // Sends the next bytes of the body at once. Bytes beyond the announced length are discarded.
  void write_body(std::uint64_t id, std::string_view bytes);
  // Ends a streamed response, or aborts it if its body is shorter than the announced length.
  void end_response(std::uint64_t id);
  // Closes the connection without completing the response, so that the client sees a truncated one, or no response if
  // its head was not sent.
  void abort_response(std::uint64_t id);
  // Ends the connection at once, with all that is buffered for it; disconnected() is called later.
  void cut_connection(std::uint64_t id);
  // Cuts the connections whose clients have accepted no byte of a response for longer than 'timeout'.
  void abort_stalled_responses(Micros now, Micros timeout);
  // True if the client has closed its connection, even if the server has not read that yet, or if the request has
  // ended.
  bool closed_by_client(std::uint64_t id) const;
  // Response bytes that are buffered for a slow client, and for how many microseconds some have been buffered without
  // interruption. Empty for a request that has ended.
  struct Backlog {
    std::size_t bytes = 0;
    Micros blocked_for = 0;
  };
  Backlog backlog_of(std::uint64_t id, Micros now) const;

  // Closes the connections that exceed the idle timeout, and answers 408 to clients that exceed the head or body
  // timeout.
  void close_expired(Micros now);
  // Delivered requests whose responses have not ended.
  std::size_t active_requests() const { return connections_by_request_.size(); }
  // Open connections, including those that are only being flushed.
  std::size_t connections() const { return connections_.size() + flushing_connections(); }
  // Connections whose last response is still buffered in this process: ending the process would truncate it.
  std::size_t flushing_connections() const;

 private:
  struct Connection;
  void add_connection(std::shared_ptr<TcpConnection> tcp);
  void on_data(Connection& conn, std::string_view bytes);
  bool receive(Connection& conn, std::string_view bytes);
  void deliver(Connection& conn);
  void hold_back(Connection& conn, std::string_view bytes);
  bool hold_request(Connection const& conn) const;
  static bool hold_read_ahead(Connection const& conn);
  static void give_way(Connection& conn);
  void continue_reading(Connection& conn);
  void schedule_parse(Connection& conn);
  void reject(Connection& conn, unsigned status);
  void on_response_end(Connection& conn);
  void disconnect(Connection& conn);
  Connection* connection_of(std::uint64_t id) const;
  // Removes a connection from the table and closes it once its buffered bytes are flushed.
  void close_after_flush(Connection& conn, bool discards_input = false);

  Callbacks callbacks_;
  std::shared_ptr<ConnectionBudget> const budget_;
  ListenerGroup const group_;
  Limits limits_;
  Listener listener_;
  bool close_after_responses_ = false;
  bool listening_stopped_ = false;
  std::uint64_t last_request_id_ = 0;
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
  std::map<std::uint64_t, Connection*> connections_by_request_;
  std::vector<std::weak_ptr<TcpConnection>> flushing_;  // connections closed by close_after_flush()
};

}  // namespace pipit
