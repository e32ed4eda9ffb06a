// Topology of the exchange of worker reports between nodes (§12.7). In a small fleet every node sends to all peers. In
// a large one nodes send to the hub of their zone, and the hubs exchange reports with each other. Machines with a disk
// have the links that a hub needs: a zone without a reachable replica is served by a replica of another zone, and by
// one of its own nodes only if no replica is reachable at all.
//
// Stateless apart from this node's identity: each result is computed from the mesh's current members. Nodes that see
// the same members select the same hubs.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <map>
#include <string>

#include "mesh/mesh.h"
#include "routing/exchange/report_exchange.h"

namespace pipit {

// This node's identity in the topology.
struct TopologyPlan {
  std::string name;
  std::string zone;
  bool is_replica = false;
};

// Selects hubs and the peers that this node sends its reports to.
class ExchangeTopology {
 public:
  // The mesh must outlive this object.
  ExchangeTopology(TopologyPlan plan, Mesh const& mesh);

  // The peers that this node sends to at present.
  GossipPaths compute_paths() const;
  // The name of the zone's hub: its first reachable replica by name, else one of the reachable replicas of other zones,
  // else its first reachable node; empty if no node of the zone is reachable.
  std::string select_hub(std::string const& zone) const;

 private:
  // The hubs of all zones in which this node reaches a node, by zone. This node reaches itself.
  std::map<std::string, std::string> select_hubs() const;
  void compute_hierarchical_paths(GossipPaths& paths) const;

  TopologyPlan const plan_;
  Mesh const& mesh_;
};

}  // namespace pipit
