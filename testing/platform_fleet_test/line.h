// An HTTP/1.1 client connection. It has a response parser of its own, so that the program under test isn't judged by
// its own parser.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/micros.h"
#include "net/tcp_connection.h"

namespace pipit::platform_fleet {

// Carries one request at a time over one TCP connection, which may be kept alive. Closes the connection when destroyed.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class Outcome : std::uint8_t {
    complete,   // the full response was received
    cut,        // the connection closed before the end of the response
    garbage,    // the received bytes are not an HTTP response
    unreached,  // the connection could not be opened
    timed_out   // the response was not complete before the timeout
  };
  // `head` runs at the end of the response head, `body` for each piece of the body, `end` once, at the end.
  struct Callbacks {
    std::function<void(unsigned status)> head;
    std::function<void(std::string_view)> body;
    std::function<void(Outcome)> end;
  };
  // Connects to `address` from the local IP address `from`; `timeout` limits the connect.
  static std::shared_ptr<ClientConnection> dial(std::string const& address, std::string const& from, Micros timeout);
  ~ClientConnection();

  // Sends a request. `timeout` limits the time until the end of the response; 0 for no limit.
  void send_request(std::string const& request, Callbacks callbacks_, Micros timeout = 0);
  // Abandons the request and closes the connection, without a callback.
  void close();
  // Whether another request can be sent: the connection is open, idle and within its keep-alive timeout.
  bool reusable() const;
  // A field of the response head, by its name in lower case; empty if the field is missing.
  std::string field(std::string const& name) const;
  // Whether the current request is not the first one on this connection.
  bool reused() const { return exchanges > 1; }
  // Whether a byte of the current response has been received.
  bool any_byte_received() const { return bytes_in > 0; }

  // Called with bytes that arrive while no response is pending. Shared by all connections; may be empty.
  static std::function<void(std::string_view)> on_unexpected_bytes;

 private:
  enum class ReadPhase : std::uint8_t { head, length, chunk_size, chunk, chunk_end, trailer, to_close };
  void on_bytes(std::string_view bytes);
  // Parses the buffered bytes by one step; false if it needs more bytes or the response has ended.
  bool parse();
  bool parse_head();
  void finish(Outcome outcome);

  std::shared_ptr<TcpConnection> tcp_connection;
  Callbacks callbacks;
  bool busy = false;
  bool keep_alive = false;
  Micros reusable_until = 0;
  unsigned timer = 0;
  std::uint64_t exchanges = 0;
  std::uint64_t bytes_in = 0;  // of the current response
  std::string received;
  ReadPhase read_phase = ReadPhase::head;
  std::uint64_t remaining = 0;  // bytes left of the body or of the chunk
  unsigned status = 0;
  std::map<std::string, std::string> fields;
};

// Builds a request. `fields`: complete header lines, each with its line end.
std::string request_of(std::string const& method, std::string const& target, std::string const& host,
                       std::string const& fields, std::string const& body);

}  // namespace pipit::platform_fleet
