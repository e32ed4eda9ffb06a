// The account of the memory and the descriptors that a process holds for connections that others opened to it, and the
// choice of the connection that gives way when a part of it is used up (docs/limits.md).
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "base/metrics_text.h"
#include "base/micros.h"

namespace pipit {

// Listeners that share a part of the budget. A crowd at one group leaves the parts of the others free.
enum class ListenerGroup : std::uint8_t { clients, control, mesh, monitoring };
constexpr std::size_t listener_group_count = 4;
char const* name_of(ListenerGroup group);

// The limit of open descriptors that the system sets for this process.
std::size_t system_descriptor_limit();

// What a process may use, from its settings.
struct ProcessLimits {
  std::size_t memory_bytes = 1000000000;
  std::size_t descriptors = system_descriptor_limit();
};

class ConnectionAccount;

// The budget of a process, owned by shared pointers. Not thread-safe: all connections belong to the thread of the main
// loop.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget> {
 public:
  explicit ConnectionBudget(ProcessLimits const& limits);

  // Opens the account of a connection that was accepted just now. If the group has no connection left, the one without
  // a running request that has made no progress for longest is closed for it. Returns nullptr if there is none: the new
  // connection has to be closed.
  std::unique_ptr<ConnectionAccount> open_account(ListenerGroup group, Micros now);

  // What the connections of a group hold, may hold, and have held at most; in bytes.
  std::size_t held_bytes(ListenerGroup group) const { return part(group).held_bytes; }
  std::size_t max_bytes(ListenerGroup group) const { return part(group).max_bytes; }
  std::size_t peak_bytes(ListenerGroup group) const { return part(group).peak_bytes; }
  // Connections of a group that are open, may be open, and have been open at most.
  std::size_t connections(ListenerGroup group) const { return part(group).accounts.size(); }
  std::size_t max_connections(ListenerGroup group) const { return part(group).max_connections; }
  std::size_t peak_connections(ListenerGroup group) const { return part(group).peak_connections; }
  // Connections that were closed or refused for want of memory, and for want of connections.
  std::uint64_t closed_for_memory = 0;
  std::uint64_t closed_for_connections = 0;

 private:
  friend class ConnectionAccount;
  struct Part {
    std::size_t max_bytes = 0;
    std::size_t max_connections = 0;
    std::size_t held_bytes = 0;
    std::size_t pinned_bytes = 0;  // of running requests
    std::size_t peak_bytes = 0;
    std::size_t peak_connections = 0;
    std::size_t logged_peak_bytes = 0;
    std::list<ConnectionAccount*> accounts;
  };
  Part& part(ListenerGroup group) { return parts_[static_cast<std::size_t>(group)]; }
  Part const& part(ListenerGroup group) const { return parts_[static_cast<std::size_t>(group)]; }
  void change_held(ConnectionAccount& account, std::size_t before, std::size_t after);
  bool make_memory(ConnectionAccount const& account);
  bool make_connection(ListenerGroup group);
  static void ask_to_give_way(ConnectionAccount& account);
  void log_closing(ListenerGroup group, char const* cause);
  static void log_peak(ListenerGroup group, Part& of);
  void release_free_memory();

  std::array<Part, listener_group_count> parts_;
  std::size_t peak_since_release_ = 0;  // most bytes held by all groups since free memory was returned to the system
  Micros last_logged_at_ = -1;
  std::uint64_t closings_not_logged_ = 0;
};

// What is held for one connection. Its owner reports each change; a report that finds no room answers false, and the
// owner then closes the connection.
class ConnectionAccount {
 public:
  ~ConnectionAccount();
  ConnectionAccount(ConnectionAccount const&) = delete;
  ConnectionAccount& operator=(ConnectionAccount const&) = delete;

  // Called to make room for others: the owner frees at once what may be freed, but calls nobody else before the main
  // loop's next turn.
  std::function<void()> give_way;

  // Bytes of the request that is being received, or that runs.
  bool hold_request(std::size_t bytes);
  // Bytes received behind the running request, in this process and in the kernel.
  bool hold_read_ahead(std::size_t bytes, Micros now);
  // Bytes of answers that the peer has not accepted yet.
  bool hold_unsent(std::size_t bytes, Micros now);
  // The request is complete and is about to run: until unpin() it does not give way. False if running requests hold too
  // much already; then it must not run.
  bool pin_request();
  void unpin_request();
  // Progress begins anew: a request begins, or an answer has ended.
  void begin_progress(Micros now);
  // The peer sent or accepted bytes. Only a certain number of them counts as progress, so that single bytes do not.
  void count_progress(std::size_t bytes, Micros now);

 private:
  friend class ConnectionBudget;
  ConnectionAccount(std::shared_ptr<ConnectionBudget> budget, ListenerGroup group, Micros now);
  bool hold(std::size_t& kind, std::size_t bytes);
  std::size_t held_bytes() const;
  // The bytes that become free if the connection gives way.
  std::size_t yielding_bytes() const;

  std::shared_ptr<ConnectionBudget> const budget_;  // connections that are being flushed may outlive the servers
  ListenerGroup const group_;
  std::list<ConnectionAccount*>::iterator position_;
  std::size_t request_bytes_ = 0;
  std::size_t read_ahead_bytes_ = 0;
  std::size_t unsent_bytes_ = 0;
  std::size_t bytes_since_progress_ = 0;
  Micros progress_at_ = 0;
  bool pinned_ = false;
  bool gives_way_ = false;  // it was asked to
};

// Adds the metrics of the budget (docs/limits.md).
void write_metrics(ConnectionBudget const& budget, MetricsText& text);

}  // namespace pipit
