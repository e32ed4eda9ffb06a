// Topology of the exchange of worker reports between nodes (§12.7). In a small fleet every node sends to all peers. In
// a large one nodes send within their zone, and one hub of each zone exchanges reports with the hubs of the other
// zones.
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
  // The name of the zone's hub: the first reachable replica by name, else the first reachable node; empty if none is
  // reachable.
  std::string select_hub(std::string const& zone) const;

 private:
  struct Hub {
    std::string name;
    bool replica = false;
  };
  // The hubs of all zones in which this node reaches a node, by zone.
  std::map<std::string, Hub> select_hubs() const;

  TopologyPlan const plan_;
  Mesh const& mesh_;
};

}  // namespace pipit
