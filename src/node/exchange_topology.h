// Topology of the exchange between nodes (§12.7): to whom this node sends what it knows of workers. Few nodes all talk
// to each other; many talk within their zone, and one hub of each zone talks to those of the other zones.
//
// Owns nothing but this node's place: every answer is computed from the mesh's members as they are. Nodes that see the
// same members choose the same hubs.
//
// Not synchronized: used by the node's loop only.
#pragma once
#include <string>

#include "mesh/mesh.h"
#include "routing/exchange/report_exchange.h"

namespace pipit {

// This node's place in the topology.
struct TopologyPlan {
  std::string name;
  std::string zone;
  bool is_replica = false;
};

class ExchangeTopology {
 public:
  // The mesh must outlive this object.
  ExchangeTopology(TopologyPlan plan, Mesh const& mesh);

  // Whom this node sends to at present.
  GossipPaths compute_paths() const;
  // The name of the zone's hub: the first of its replicas that is reachable, else the first of all its nodes that are;
  // empty where none is.
  std::string select_hub(std::string const& zone) const;

 private:
  TopologyPlan const plan_;
  Mesh const& mesh_;
};

}  // namespace pipit
