// Parameters of a node: its name, addresses, role and bounds, fixed for one incarnation.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"
#include "config/description/description.h"
#include "mesh/membership/member_table.h"
#include "routing/tenants/quota_budget.h"

namespace pipit {

// Parameters of a Node. Durations are in microseconds.
struct NodePlan {
  std::string cluster = "pipit";
  std::string name;
  std::string zone;
  std::string address;  // of the mesh
  std::string http_address;
  MemberRole role = MemberRole::router;
  std::vector<std::string> seeds;            // mesh addresses
  std::vector<std::string> models;           // served by a router; empty: all
  std::vector<std::string> initial_members;  // names of the first replicas
  std::uint64_t incarnation = 1;
  std::uint64_t random_seed = 1;
  // Workers register themselves (§12): the node reads no list of workers and requests no health reports, router nodes
  // need no registration since no zone is ever drained, and the first replicas are the nodes at the seed addresses.
  bool workers_self_register = false;
  bool is_replica = false;   // a router node that is a configuration replica as well
  bool first_start = false;  // the fleet starts for the first time
  // Addresses of the replicas of the first set; empty if this node may not bootstrap it. Filled in by the node.
  std::vector<std::string> bootstrap_seeds;
  Micros heartbeat_interval = millis(1200);  // of self-registered workers
  double retry_budget_ratio = 0.15;
  double retry_budget_limit = 30;    // of all nodes together
  std::size_t tolerated_losses = 1;  // replicas that may be lost at once together with their disks
  // Parses the register's text into a description.
  DescriptionReader parse_description = read_description;
  // Time within which a removed API key stops admitting requests, even at a node that is cut off; 0: binds only nodes
  // that learn of the removal.
  Micros revocation_bound = 0;
  // Time within which a change is in force at every connected node: a node whose configuration is older gives no final
  // refusal.
  Micros in_force_bound = millis(2000);
  QuotaTerms quota_terms;
  std::uint64_t link_bytes_per_second = 0;  // that this machine's link carries; 0: unknown
};

}  // namespace pipit
