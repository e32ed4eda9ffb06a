// Connections to workers: kept while they are good, judged byte by byte (design §12.2).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/tcp_connection.h"

namespace pipit {

class Upstream {
 public:
  enum class End : std::uint8_t {
    unreached,  // no connection came up: no byte has left
    broke,      // it ended, or what came is no answer
    torn,       // the answer began and ended before its end
  };
  // Whom the head of an answer belongs to.
  enum class Owner : std::uint8_t {
    asker,   // the request that the connection carries
    other,   // interim, or to an earlier request: it is passed over, and what follows may be the asker's
    nobody,  // no answer to anything: the request breaks and the connection is not used again
  };
  struct Callbacks {
    std::function<void(std::uint64_t)> sent;  // a byte of the request may have left
    // 'first': nothing was asked on the connection before.
    std::function<Owner(std::uint64_t, Head const&, bool first)> head;
    std::function<void(std::uint64_t, std::string_view)> body;
    std::function<void(std::uint64_t)> done;
    std::function<void(std::uint64_t, End, std::string const& why)> ended;
  };
  Upstream(Callbacks callbacks, std::string from) : callbacks_(std::move(callbacks)), from_(std::move(from)) {}
  ~Upstream();

  // How connections are opened; Link::dial unless a test says otherwise.
  using Dial = std::function<std::shared_ptr<Link>(std::string const& address, std::string const& from, Micros within)>;
  void dial_by(Dial dial) { dial_ = std::move(dial); }

  // Sends a request; 'peer' names who incarnations at the address, and kept connections belong to that name.
  void start(std::uint64_t id, std::string const& peer, std::string const& address, std::string bytes, Micros within);
  // Gives a request up: its connection is reset, so that nothing the system still holds of it arrives later.
  void cut(std::uint64_t id);
  // Nobody of that name is there any more: its kept connections are closed.
  void forget(std::string const& peer);
  void close_expired(Micros now);
  std::size_t open() const { return by_id_.size(); }
  std::size_t kept(std::string const& peer) const;
  std::size_t connections() const { return conns_.size(); }

  std::uint64_t dialled = 0;
  std::uint64_t reused = 0;

 private:
  struct Conn;
  void send(Conn& conn);
  void fed(Conn& conn, std::string_view bytes);
  void shut(Conn& conn, Link::End how);
  void fail(Conn& conn, End how, std::string const& why);
  void complete_answer(Conn& conn);
  void erase(Conn& conn, bool reset = false);

  Callbacks callbacks_;
  std::string const from_;
  Dial dial_ = Link::dial;
  std::map<Conn*, std::shared_ptr<Conn>> conns_;
  std::map<std::uint64_t, Conn*> by_id_;
  std::map<std::string, std::vector<Conn*>> idle_;  // by peer, the last used at the end
};

}  // namespace pipit
