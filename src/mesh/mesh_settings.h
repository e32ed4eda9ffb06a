// Settings of the mesh: timeouts, intervals and limits, with their production defaults. Times are in microseconds.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/micros.h"

namespace pipit {

// Parameters of a Mesh.
struct MeshSettings {
  std::string cluster;                    // connections from nodes of any other cluster are closed
  std::vector<std::string> seeds;         // IP:port
  Micros probe_interval = seconds(1);     // the length of a round; each round probes one random member
  Micros probe_timeout = millis(500);     // of a direct probe, and again of the indirect probes that follow it
  Micros inactivity_limit = millis(900);  // a member whose connection is idle for longer is probed out of turn
  Micros dial_backoff_min = millis(250);  // the first pause between dials
  Micros dial_backoff_max = seconds(1);   // the longest pause; peers that are DOWN and seeds are dialled without end
  std::size_t gossip_fanout = 8;          // peers that receive a change at once; the others with pings (§3.6)
  std::size_t large_fleet_size = 24;      // with this many peers or more, a node broadcasts only its own record
  Micros idle_timeout = seconds(60);      // a connection that received nothing for longer is closed
  Micros forget_after = seconds(1800);    // members that are down and entries of ended workers are kept this long

  // Whether a node with this many peers is in a large fleet, in which all-to-all broadcasts would be too much traffic.
  bool is_large_fleet(std::size_t peers) const { return peers >= large_fleet_size; }
};

}  // namespace pipit
