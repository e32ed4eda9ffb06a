// Workers that say themselves that they are there: every node's table of them (design §12.3).
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "mesh/entries/entry_table.h"

namespace pipit {

// What a worker says of itself. Each start of a worker has an id of its own.
struct Heartbeat {
  std::string id;
  std::string address;
  std::string zone;
  std::string pool;
  std::int64_t slots = 0;
  std::uint64_t order = 0;  // rises with each call of this worker, so that a late one is known
  bool leaving = false;
};

// What a farewell adds to a worker's call number: nothing that it said before or says after counts any more, wherever
// the entry comes, and silence is told from a farewell by it.
constexpr std::uint64_t deregistration_step = 1000000;

struct Instance {
  std::string id;
  std::string address;
  std::string zone;
  std::string pool;
  std::int64_t slots = 1;
  WorkerState state = WorkerState::serving;
  std::uint64_t order = 0;
  std::string owner;             // the node that took its last word that said something new
  Micros last_heartbeat = -1;    // when this node took a heartbeat; -1 for never
  Micros state_since = 0;        // since when it stands here, or is gone
  Micros suspected = -1;         // since when a broken or silent connection speaks against it
  Micros ejected = -1;           // until when it gets nothing while others are there
  int consecutive_failures = 0;  // in a row
  Micros last_byte = -1;         // when anything last came from it
  Micros last_sent = -1;         // when this node last sent it a request; -1: never

  // This node's attempts there, and what they are held to cost the worker.
  std::int64_t running = 0;
  std::int64_t reserved_tokens = 0;  // tokens that its running requests take
  // Prompts are read one after the other: until when those that all nodes are known to have sent keep it busy (§12.5).
  Micros busy_until = 0;
  double pace = 1.0;  // how much longer first events have taken there of late than predicted
  // What its answers told, here or at a peer: requests that run and wait, and when.
  std::int64_t reported_load = 0;
  Micros reported_load_at = -1;

  std::int64_t load(Micros now) const {
    return reported_load_at >= 0 && now - reported_load_at < millis(1500) && reported_load > running ? reported_load
                                                                                                     : running;
  }
  Micros busy(Micros now) const { return busy_until > now ? busy_until - now : 0; }
  void work(Micros span, Micros now) { busy_until = (busy_until > now ? busy_until : now) + span; }
  bool accepts_requests() const { return state == WorkerState::serving; }
  // Whether it announced its end itself, here or at a peer: it may still serve what it has.
  bool has_deregistered() const { return order >= deregistration_step; }
};

class Registry {
 public:
  explicit Registry(std::string self) : self_(std::move(self)) {}
  void set_heartbeat_interval(Micros heartbeat_interval) { heartbeat_interval_ = heartbeat_interval; }

  // A worker called here. The entry to be written, when its word says something new.
  std::optional<wire::EntryT> heartbeat(Heartbeat const& heartbeat, Micros now);
  // A word that a worker is to say elsewhere too: a known one is there, and nothing else changes. False for others.
  bool record_sign_of_life(Heartbeat const& heartbeat, Micros now);
  std::optional<wire::EntryT> leave(std::string const& id, std::uint64_t order, Micros now);
  // A known worker whose owner is gone is this node's from now on: it has a span to say something. The entry to write.
  wire::EntryT adopt(std::string const& id, Micros now);
  // An entry that the entry table took from a peer. What this node must say against it, when it knows better.
  std::optional<wire::EntryT> take_entry(wire::EntryT const& entry, Micros now);
  // Workers of this node whose heartbeats have stopped; entries to be written of them.
  std::vector<wire::EntryT> end_silent_workers(Micros now);
  // This node stood still: that it heard nothing says nothing.
  void reset_silence_timers(Micros now);

  // A connection to the worker broke or stays silent, here or at a peer. True when that is news.
  bool suspect(std::string const& id, Micros now);
  void record_response(Instance& instance, Micros now);

  // What peers tell of workers: what they gave them to read, what these said of their load, and doubts.
  void take_peer_loads(wire::LoadsT const& loads, Micros now);

  Instance* find(std::string const& id);
  std::map<std::string, Instance> all;
  std::vector<std::string> ended_workers;  // ids whose kept parts and connections are no more; the core empties it

 private:
  wire::EntryT entry_of(Instance const& instance) const;
  bool many_suspected(Micros now) const;
  void set_state(Instance& instance, WorkerState state, Micros now);

  std::string const self_;
  Micros heartbeat_interval_ = millis(1200);
};

}  // namespace pipit
