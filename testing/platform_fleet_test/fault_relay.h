// A TCP relay on loopback between the machines of an experiment. It can cut a link (both ways or one way), delay it,
// reset its connections or swallow responses: network faults that don't occur between two processes of one machine.
//
// Every machine has a public address, where the relay listens, and a private one, where its process listens. The
// public IP address identifies a machine.
#pragma once
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include "base/micros.h"
#include "base/random.h"

namespace pipit::platform_fleet {

// A fault of the links for which `applies_to(from, to)` is true, until the time `until`.
struct LinkFault {
  enum class Kind : std::uint8_t {
    cut,      // bytes and new connections wait until the fault ends
    delay,    // each piece is delivered later by `delay`
    swallow,  // connections opened during the fault lose their responses, with probability `chance`
  };
  Kind kind = Kind::cut;
  std::function<bool(std::string const& from, std::string const& to)> applies_to;  // called on the relay's thread
  Micros until = 0;
  Micros delay = 0;
  double chance = 1;
  unsigned port = 0;  // listening port of the affected connections; 0 for all
};

// The relay: one listener for each public address, and all connections through it.
//
// A thread of its own carries the bytes: a full mesh of a hundred machines has some ten thousand sockets, more than the
// experiment's main loop can poll. Every public function may be called on any thread.
class FaultRelay {
 public:
  // Returns the public IP address of a machine, given its public or private one. Called on the relay's thread.
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
  // Returns once the relay's thread has handled everything that its sockets had received before the call.
  void handle_received();

  std::atomic<std::uint64_t> bytes_forwarded{0};
  std::atomic<std::uint64_t> swallowed{0};  // connections that lose their responses
  std::atomic<std::uint64_t> resets{0};

 private:
  using ConnectionNumber = std::uint64_t;
  // What a descriptor of the epoll set belongs to.
  enum class EventSource : std::uint8_t { wake, listener, downstream, upstream };
  struct Chunk {
    Micros deliver_at = 0;
    std::string bytes;
    bool end = false;    // the connection closes after these bytes
    bool reset = false;  // it closes by a reset
  };
  // One of the two sockets of a relayed connection.
  struct Side {
    int fd = -1;
    bool connected = false;
    bool closing = false;     // closes once `unsent` is empty
    std::deque<Chunk> queue;  // to be written to this side
    std::string unsent;       // delivered bytes that the kernel has not accepted yet
  };
  // One relayed connection: from the machine that connected to the one that listens.
  struct RelayedConnection {
    ConnectionNumber number = 0;
    std::string from;
    std::string to;
    unsigned port = 0;
    std::string target;
    std::string source;  // local IP address of the onward connection
    Side downstream;     // to the machine that connected
    Side upstream;
    bool connect_started = false;
    Micros connect_deadline = 0;
    bool replies_lost = false;  // responses are swallowed
    Side& side(bool of_downstream) { return of_downstream ? downstream : upstream; }
  };
  struct RelayListener {
    int fd = -1;
    std::string target;
    std::string ip;
    unsigned port = 0;
  };

  // The functions below run on the relay's thread, or in a public function, with `mutex_` held.
  void run();
  void handle_event(std::uint64_t key, std::uint32_t events);
  void accept_pending(RelayListener const& listener);
  void add_connection(RelayListener const& listener, int fd, std::string const& peer_ip);
  void start_connecting(RelayedConnection& connection);
  void finish_connecting(RelayedConnection& connection);
  void read_side(ConnectionNumber number, bool downstream);
  // The socket of a side has ended: the other side closes after what is queued for it.
  void end_side(RelayedConnection& connection, bool downstream, bool reset);
  void enqueue(RelayedConnection& connection, bool downstream, Chunk chunk);
  // Whether the link is cut now, and by how much its bytes are delayed.
  bool is_cut(std::string const& from, std::string const& to, unsigned port) const;
  Micros current_delay(std::string const& from, std::string const& to, unsigned port) const;
  void pump(ConnectionNumber number);
  // Writes the chunks that are due to one side; false once the connection has been removed.
  bool deliver_due_chunks(RelayedConnection& connection, bool downstream);
  // Writes what the kernel accepts; false once the connection has been removed.
  bool flush(RelayedConnection& connection, bool downstream);
  void watch(RelayedConnection const& connection, bool downstream);
  bool has_waiting_chunks(RelayedConnection const& connection) const;
  void remove(ConnectionNumber number, bool with_reset);
  void handle_waiting(Micros at);
  RelayedConnection* find(ConnectionNumber number);

  Identify const identify_;
  int epoll_fd_ = -1;
  int wake_fd_ = -1;
  std::mutex mutex_;
  std::condition_variable handled_;
  bool stopping_ = false;
  std::uint64_t requested_passes_ = 0;  // calls of handle_received()
  std::uint64_t completed_passes_ = 0;
  RandomSource random_;
  std::map<std::string, std::unique_ptr<RelayListener>> listeners_;  // by public address
  std::unordered_map<int, RelayListener*> listener_of_fd_;
  std::unordered_map<ConnectionNumber, std::unique_ptr<RelayedConnection>> connections_;
  // Connections that no socket event will move on: they wait for a fault's end, a delay or a connect timeout.
  std::unordered_set<ConnectionNumber> waiting_;
  ConnectionNumber last_number_ = 0;
  Micros next_look_at_waiting_ = 0;
  std::list<LinkFault> faults_;
  std::thread thread_;
};

}  // namespace pipit::platform_fleet
