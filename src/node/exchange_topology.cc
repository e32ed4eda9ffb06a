#include "node/exchange_topology.h"

#include <utility>

#include "node/peer_selection.h"

namespace pipit {

ExchangeTopology::ExchangeTopology(TopologyPlan plan, Mesh const& mesh) : plan_(std::move(plan)), mesh_(mesh) {}

std::map<std::string, ExchangeTopology::Hub> ExchangeTopology::select_hubs() const {
  std::map<std::string, Hub> hubs{{plan_.zone, Hub{plan_.name, plan_.is_replica}}};
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    if (!is_reachable(item.second)) continue;
    wire::MemberT const& member = item.second.member;
    Hub& hub = hubs[member.zone];
    bool const better = hub.name.empty() || (member.replica && !hub.replica) ||
                        (member.replica == hub.replica && item.first < hub.name);
    if (better) hub = Hub{item.first, member.replica};
  }
  return hubs;
}

std::string ExchangeTopology::select_hub(std::string const& zone) const { return select_hubs()[zone].name; }

GossipPaths ExchangeTopology::compute_paths() const {
  GossipPaths paths;
  paths.hierarchical = mesh_.is_large_fleet();
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    if (!is_reachable(item.second)) continue;
    if (!paths.hierarchical) paths.peers.push_back(item.first);
    if (item.second.member.zone == plan_.zone) paths.zone_peers.push_back(item.first);
  }
  if (!paths.hierarchical) return paths;
  for (std::pair<std::string const, Hub> const& item : select_hubs()) {
    if (item.first != plan_.zone)
      paths.remote_hubs.push_back(item.second.name);
    else if (item.second.name == plan_.name)
      paths.is_hub = true;
    else
      paths.zone_hub = item.second.name;
  }
  return paths;
}

}  // namespace pipit
