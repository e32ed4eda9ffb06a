// The fleet: every worker this node knows, from its own reading of the list and from entries (§4).
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "canon/creed/creed.h"
#include "ground/micros.h"
#include "kin/ledger/ledger.h"

namespace pipit {

struct ListRow {
  std::string id;
  std::string address;
  std::string zone;
  std::string pool;
  std::uint64_t incarnation = 0;
  std::int64_t slots = 0;
  bool leaving = false;
};

struct Vitals {
  std::uint64_t incarnation = 0;
  std::int64_t demand = 0;  // running and waiting at the worker
  Micros awake = 0;         // since it woke
};

struct Worker {
  ListRow row;
  Standing standing = Standing::serving;
  bool listed = false;        // in this node's last whole reading
  int seen_again = 0;         // whole readings in a row that list it after it was gone
  std::uint64_t buried = 0;   // incarnations up to this one take no more requests
  bool absent = false;        // buried because it was not listed, not because it was leaving
  bool dark = true;           // until it answers
  bool ever = false;          // it has answered once
  bool doubted = false;       // a wire to it broke; it is asked before it is sent anything more
  Micros doubted_at = 0;
  Micros awake = 0;           // as last reported
  int misses = 0;
  std::int64_t demand = 0;    // as last reported
  Micros reported = 0;
  Micros cold_until = -1;     // -1: not known, so cold
  Micros cold_from = 0;
  std::multiset<Micros> legs; // this node's running legs, by their start
  std::deque<Micros> sends;   // this node's sends while it was cold
  std::int64_t own_since() const { return static_cast<std::int64_t>(std::distance(legs.lower_bound(reported), legs.end())); }
  std::int64_t guess() const { return std::max<std::int64_t>(demand + own_since(), static_cast<std::int64_t>(legs.size())); }
  bool takes() const { return standing == Standing::serving && !dark && !doubted; }
};

// Parses the platform's list. A torn or odd text is a failed reading, never a departure.
Result<std::vector<ListRow>> read_list(std::string_view text);
Result<Vitals> read_vitals(std::string_view text);

class Fleet {
 public:
  // Names of workers whose life ended or began anew, whose prefixes are to be forgotten.
  std::vector<std::string> reborn;

  void take_list(std::vector<ListRow> const& rows, Micros now);
  void take_entry(wire::EntryT const& entry, Micros now);
  // True when a dark worker came back or a life began.
  void vitals(std::string const& id, std::uint64_t life, Micros asked, std::optional<Vitals> const& report, bool refused, Creed const& creed, Micros now);
  // A wire to the worker broke, here or at a peer. True when that is news.
  bool doubt(std::string const& id, std::uint64_t life, Micros now);
  // Restores what entries hold as serving and this table lost (§4.4).
  void reconcile(std::map<std::string, wire::EntryT> const& entries, Micros now);

  // What this node writes of the workers whose entries it owns.
  std::vector<wire::EntryT> entries_for(std::set<std::string> const& owned) const;

  bool cold(Worker const& worker, Micros now) const { return worker.cold_until < 0 || now < worker.cold_until; }
  // Whether this node may send to a cold worker now; 'names' are all nodes known that may send.
  bool cold_room(Worker& worker, std::int64_t bound, std::string const& self, std::set<std::string> const& names, Micros now) const;

  Worker* find(std::string const& id);
  std::map<std::string, Worker> workers;

 private:
  void begin_life(Worker& worker, std::uint64_t incarnation);
  void bury(Worker& worker, Standing standing);
};

// The name that comes first for a key in rendezvous order.
std::string rendezvous(std::string const& key, std::set<std::string> const& names);
std::size_t rendezvous_rank(std::string const& key, std::string const& self, std::set<std::string> const& names);

}  // namespace pipit
