// What a node is made with: its name, addresses and terms, fixed for one incarnation.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"
#include "config/description/description.h"
#include "mesh/membership/member_table.h"
#include "routing/tenants/quota_budget.h"

namespace pipit {

struct NodePlan {
  std::string cluster = "pipit";
  std::string name;
  std::string zone;
  std::string address;  // of the mesh
  std::string http;
  MemberRole role = MemberRole::router;
  std::vector<std::string> seeds;
  std::vector<std::string> models;           // those that a router serves; none means all
  std::vector<std::string> initial_members;  // names of the first replicas
  std::uint64_t incarnation = 1;
  std::uint64_t chance = 1;
  // Where workers register themselves (§12): no list is read and no health reports are asked, registrations are not
  // needed since no zone is ever drained there, and the first replicas are those at the seeds.
  bool registered = false;
  bool replica = false;      // a router node that keeps as well
  bool first_start = false;  // the fleet starts for the first time
  // Whose replicas are the first set; none where this node may not found. The node fills it in.
  std::vector<std::string> bootstrap_seeds;
  Micros heartbeat_interval = millis(1200);
  double resend_ratio = 0.15;
  double resend_store = 30;   // of all nodes together
  std::size_t tolerated = 1;  // replicas that may be lost at once with their disks
  // What makes a description of the register's text.
  DescriptionReader read = read_description;
  // Within which a key that was taken away must let nothing run any more, also at a node that is cut off; 0: only nodes
  // that hear of it are bound.
  Micros revocation = 0;
  // Within which a change is in force at a node that is in touch: an older configuration refuses nothing for good.
  Micros in_force = millis(2000);
  QuotaTerms quota;
};

}  // namespace pipit
