#include "node/exchange_topology.h"

#include <set>
#include <utility>

#include "node/peer_selection.h"
#include "routing/fleet/fleet.h"

namespace pipit {

ExchangeTopology::ExchangeTopology(TopologyPlan plan, Mesh const& mesh) : plan_(std::move(plan)), mesh_(mesh) {}

namespace {
// The first node by name in a zone, and the first of its replicas; empty if there is none.
struct ZoneNodes {
  std::string first;
  std::string first_replica;
};

void add_node(std::string const& name, bool replica, ZoneNodes& zone) {
  if (zone.first.empty() || name < zone.first) zone.first = name;
  if (replica && (zone.first_replica.empty() || name < zone.first_replica)) zone.first_replica = name;
}
}  // namespace

std::map<std::string, std::string> ExchangeTopology::select_hubs() const {
  std::map<std::string, ZoneNodes> zones;
  add_node(plan_.name, plan_.is_replica, zones[plan_.zone]);
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers)
    if (is_reachable(item.second)) add_node(item.first, item.second.member.replica, zones[item.second.member.zone]);
  std::set<std::string> replicas;
  for (std::pair<std::string const, ZoneNodes> const& zone : zones)
    if (!zone.second.first_replica.empty()) replicas.insert(zone.second.first_replica);
  std::map<std::string, std::string> hubs;
  for (std::pair<std::string const, ZoneNodes> const& zone : zones) {
    if (!zone.second.first_replica.empty())
      hubs[zone.first] = zone.second.first_replica;
    else
      hubs[zone.first] = replicas.empty() ? zone.second.first : rendezvous(zone.first, replicas);
  }
  return hubs;
}

std::string ExchangeTopology::select_hub(std::string const& zone) const { return select_hubs()[zone]; }

GossipPaths ExchangeTopology::compute_paths() const {
  GossipPaths paths;
  paths.hierarchical = mesh_.is_large_fleet();
  if (paths.hierarchical)
    compute_hierarchical_paths(paths);
  else
    for (std::pair<std::string const, Peer> const& item : mesh_.members.peers)
      if (is_reachable(item.second)) paths.peers.push_back(item.first);
  return paths;
}

void ExchangeTopology::compute_hierarchical_paths(GossipPaths& paths) const {
  std::set<std::string> served_zones{plan_.zone};
  std::set<std::string> remote_hubs;
  for (std::pair<std::string const, std::string> const& item : select_hubs()) {
    bool const own_zone = item.first == plan_.zone;
    bool const own_hub = item.second == plan_.name;
    if (own_zone) paths.is_hub = own_hub;
    if (own_hub) served_zones.insert(item.first);
    if (own_zone && !own_hub) paths.zone_hub = item.second;
    if (!own_zone && !own_hub) remote_hubs.insert(item.second);
  }
  paths.remote_hubs.assign(remote_hubs.begin(), remote_hubs.end());
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers)
    if (is_reachable(item.second) && served_zones.count(item.second.member.zone) > 0)
      paths.served_peers.push_back(item.first);
}

}  // namespace pipit
