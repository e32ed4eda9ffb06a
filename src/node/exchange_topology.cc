#include "node/exchange_topology.h"

#include <set>
#include <utility>

#include "node/peer_selection.h"

namespace pipit {

ExchangeTopology::ExchangeTopology(TopologyPlan plan, Mesh const& mesh) : plan_(std::move(plan)), mesh_(mesh) {}

std::string ExchangeTopology::select_hub(std::string const& zone) const {
  std::string hub;
  bool hub_is_replica = false;
  if (zone == plan_.zone) {
    hub = plan_.name;
    hub_is_replica = plan_.is_replica;
  }
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    wire::MemberT const& member = item.second.member;
    if (member.zone != zone || !is_reachable(item.second)) continue;
    bool const better =
        hub.empty() || (member.replica && !hub_is_replica) || (member.replica == hub_is_replica && item.first < hub);
    if (!better) continue;
    hub = item.first;
    hub_is_replica = member.replica;
  }
  return hub;
}

GossipPaths ExchangeTopology::compute_paths() const {
  GossipPaths paths;
  paths.hierarchical = mesh_.is_large_fleet();
  std::set<std::string> other_zones;
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    if (!is_reachable(item.second)) continue;
    std::string const& zone = item.second.member.zone;
    if (!paths.hierarchical)
      paths.peers.push_back(item.first);
    else if (zone == plan_.zone)
      paths.zone_peers.push_back(item.first);
    else
      other_zones.insert(zone);
  }
  if (!paths.hierarchical) return paths;
  std::string const own_hub = select_hub(plan_.zone);
  paths.is_hub = own_hub == plan_.name;
  if (!paths.is_hub) {
    paths.zone_hub = own_hub;
    return paths;
  }
  for (std::string const& zone : other_zones) paths.remote_hubs.push_back(select_hub(zone));
  return paths;
}

}  // namespace pipit
