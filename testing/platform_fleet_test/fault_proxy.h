// A TCP relay on loopback between the machines of an experiment. It can cut a link (both ways or one way), delay it,
// reset its connections or swallow responses: network faults that don't occur between two processes of one machine.
//
// Every machine has a public address, where the relay listens, and a private one, where its process listens. The
// public IP address identifies a machine.
#pragma once
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "base/random.h"
#include "net/tcp_connection.h"

namespace pipit::platform_fleet {

// A fault of the links for which `applies_to(from, to)` is true, until the time `until`.
struct LinkFault {
  enum class Kind : std::uint8_t {
    cut,      // bytes and new connections wait until the fault ends
    delay,    // each piece is delivered later by `delay`
    swallow,  // connections opened during the fault lose their responses, with probability `chance`
  };
  Kind kind = Kind::cut;
  std::function<bool(std::string const& from, std::string const& to)> applies_to;
  Micros until = 0;
  Micros delay = 0;
  double chance = 1;
  unsigned port = 0;  // listening port of the affected connections; 0 for all
};

// The relay: one listener for each public address, and all connections through it.
class FaultRelay {
 public:
  // Returns the public IP address of a machine, given its public or private one.
  using Identify = std::function<std::string(std::string const& ip)>;
  FaultRelay(std::uint64_t seed, Identify identify_);
  ~FaultRelay();

  // Listens at the public address and forwards its connections to the private one.
  // Does nothing if the listener is already open.
  void open(std::string const& public_address, std::string const& private_address);
  // Closes the machine's listeners. New connections are then refused, as by a machine whose process has ended.
  void close_listeners(std::string const& public_ip);

  // Starts a fault; it ends by itself at `fault.until`.
  void add_fault(LinkFault fault);
  // Resets each connection for which `applies_to` is true with probability `chance`.
  void reset(std::function<bool(std::string const& from, std::string const& to)> const& applies_to, double chance);

  std::uint64_t bytes_forwarded = 0;
  std::uint64_t swallowed = 0;  // connections that lose their responses
  std::uint64_t resets = 0;

 private:
  struct Chunk {
    Micros deliver_at = 0;
    std::string bytes;
    bool end = false;    // the connection closes after these bytes
    bool reset = false;  // it closes by a reset
  };
  struct Side {
    std::shared_ptr<TcpConnection> link;
    std::deque<Chunk> queue;  // to be written to this side
  };
  // One relayed connection: from the machine that connected to the one that listens.
  struct RelayedConnection {
    std::string from;
    std::string to;
    unsigned port = 0;
    std::string target;
    std::string source;  // local IP address of the onward connection
    Side downstream;     // to the machine that connected
    Side upstream;
    bool connect_started = false;
    bool replies_lost = false;  // responses are swallowed
  };
  struct RelayListener {
    Listener listener;
    std::string target;
    std::string ip;
    unsigned port = 0;
  };
  void accept(RelayListener const& listener, std::shared_ptr<TcpConnection> link);
  void register_callbacks(std::shared_ptr<RelayedConnection> const& connection, bool downstream);
  void enqueue(std::shared_ptr<RelayedConnection> const& connection, bool downstream, Chunk chunk);
  // Whether the link is cut now, and by how much its bytes are delayed.
  bool is_cut(std::string const& from, std::string const& to, unsigned port) const;
  Micros current_delay(std::string const& from, std::string const& to, unsigned port) const;
  void dial(std::shared_ptr<RelayedConnection> const& connection);
  void pump(std::shared_ptr<RelayedConnection> const& connection);
  bool deliver_due_chunks(std::shared_ptr<RelayedConnection> const& connection, Side& side, std::string const& from,
                          std::string const& to);
  void drop(std::shared_ptr<RelayedConnection> const& connection);
  void tick();

  RandomSource random;
  Identify const identify;
  std::map<std::string, std::unique_ptr<RelayListener>> listeners;  // by public address
  std::set<std::shared_ptr<RelayedConnection>> connections;
  std::list<LinkFault> faults;
  std::shared_ptr<bool> const alive = std::make_shared<bool>(true);
};

}  // namespace pipit::platform_fleet
