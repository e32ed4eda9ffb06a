// A relay on loopback between machines of an experiment: it carries bytes between them and can cut a link (both ways or
// one way), delay it, reset its connections, or swallow answers. What the kernel does between two processes of one
// machine never fails; this does.
//
// Every machine has a public address, at which the relay listens, and a private one, at which its process listens. A
// machine is known by its public IP number.
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

// What happens to bytes that go from one machine to another.
struct LinkFault {
  enum class Kind : std::uint8_t {
    cut,      // they wait until the fault ends; connections come up only then
    delay,    // each piece comes later by 'span'
    swallow,  // connections that are opened meanwhile lose what is answered, by 'chance'
  };
  Kind kind = Kind::cut;
  std::function<bool(std::string const& from, std::string const& to)> applies_to;
  Micros until = 0;
  Micros delay = 0;
  double chance = 1;
  unsigned port = 0;  // of the doors that it applies_to; 0 for all
};

class FaultRelay {
 public:
  // The public IP number of a machine, given any of its numbers.
  using Identify = std::function<std::string(std::string const& ip)>;
  FaultRelay(std::uint64_t seed, Identify identify_);
  ~FaultRelay();

  // Connections to the public address go on to the private one. A door that is shut refuses, as a machine does whose
  // process has ended.
  void open(std::string const& public_address, std::string const& private_address);
  void close_listeners(std::string const& public_ip);

  void add_fault(LinkFault fault);
  // Resets connections between machines that 'applies_to' names, each by chance.
  void reset(std::function<bool(std::string const& from, std::string const& to)> const& applies_to, double chance);

  std::uint64_t carried = 0;    // bytes
  std::uint64_t swallowed = 0;  // connections whose answers were lost
  std::uint64_t resets = 0;

 private:
  struct Chunk {
    Micros deliver_at = 0;
    std::string bytes;
    bool end = false;    // the connection ends here
    bool reset = false;  // and not in good order
  };
  struct Side {
    std::shared_ptr<TcpConnection> link;
    std::deque<Chunk> queue;  // what this side is weak_alive to be given
  };
  // One connection: from the machine that dialled to the one that listens.
  struct RelayedConnection {
    std::string from;
    std::string to;
    unsigned port = 0;
    std::string target;
    std::string source;  // IP number that the onward connection comes from
    Side downstream;     // towards the machine that dialled
    Side upstream;
    bool connect_started = false;
    bool replies_lost = false;  // its answers are swallowed
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
  // Whether bytes may go now, and how much later they come.
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
