// A client's connection: one exchange after the other, whose answers are read here byte by byte and not by the parser
// of the program that is judged.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/micros.h"
#include "net/tcp_connection.h"

namespace pipit::platform_fleet {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class Outcome : std::uint8_t {
    complete,   // the answer came to its end
    cut,        // the connection ended before that
    garbage,    // what came is no answer
    unreached,  // no connection came up
    timed_out   // nothing came in the time that was given
  };
  struct Callbacks {
    std::function<void(unsigned status)> head;
    std::function<void(std::string_view)> body;
    std::function<void(Outcome)> end;  // once
  };
  // Dials from 'from', an IP number; 'within' bounds the opening.
  static std::shared_ptr<ClientConnection> dial(std::string const& address, std::string const& from, Micros timeout);
  ~ClientConnection();

  // 'within' bounds the whole exchange; 0 for no bound.
  void send_request(std::string const& request, Callbacks callbacks_, Micros timeout = 0);
  // Gives the exchange up, without a callback.
  void close();
  // It may carry another exchange.
  bool reusable() const;
  std::string field(std::string const& name) const;  // of the answer, by its name in small letters
  bool reused() const { return exchanges > 1; }
  bool any_byte_received() const { return bytes_in > 0; }

  // Bytes came on a connection where no answer is due.
  static std::function<void(std::string_view)> on_unexpected_bytes;

 private:
  enum class ReadPhase : std::uint8_t { head, length, chunk_size, chunk, chunk_end, trailer, to_close };
  void on_bytes(std::string_view bytes);
  bool parse();  // false: it ended
  bool parse_head();
  void finish(Outcome how);

  std::shared_ptr<TcpConnection> link;
  Callbacks callbacks;
  bool busy = false;
  bool keep_alive = false;
  Micros reusable_until = 0;
  unsigned timer = 0;
  std::uint64_t exchanges = 0;
  std::uint64_t bytes_in = 0;  // of this exchange
  std::string in;
  ReadPhase phase = ReadPhase::head;
  std::uint64_t left = 0;
  unsigned status = 0;
  std::map<std::string, std::string> fields;
};

// The text of a request; 'fields' are whole lines, each with its line end.
std::string request_of(std::string const& method, std::string const& target, std::string const& host,
                       std::string const& fields, std::string const& body);

}  // namespace pipit::platform_fleet
