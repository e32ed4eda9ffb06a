// Settings of the mesh: times in microseconds and limits, with the values that the product runs with.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/micros.h"

namespace pipit {

struct MeshSettings {
  std::string cluster;
  std::vector<std::string> seeds;         // IP:port
  Micros probe_interval = seconds(1);     // one round: a random member is probed in each
  Micros probe_timeout = millis(500);     // how long a direct, then an indirect probe may take
  Micros inactivity_limit = millis(900);  // a connection silent for longer is probed, whoever's turn it is
  Micros dial_backoff_min = millis(250);  // first pause between dials
  Micros dial_backoff_max = seconds(1);   // last pause, also for DOWN peers and seeds, which are dialled on
  std::size_t gossip_fanout = 8;          // peers that get a finding at once; the others get it with pings (§3.6)
  std::size_t large_fleet_size = 24;      // from so many peers on, a node broadcasts only its own record
  Micros idle_timeout = seconds(60);      // a connection silent for longer is closed
  Micros forget_after = seconds(1800);    // members that are down and entries that ended are forgotten after this

  // Whether a node with this many peers is in a large fleet, where not everybody can send everything to everybody.
  bool is_large_fleet(std::size_t peers) const { return peers >= large_fleet_size; }
};

}  // namespace pipit
