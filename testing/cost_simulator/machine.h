// What a counted fleet is made of; only its own files look inside.
#pragma once
#include "testing/cost_simulator/scale.h"

namespace pipit {

struct Scale::Machine {
  std::string name, address, zone;
  int region = 0;
  MemberRole role = MemberRole::router;
  std::unique_ptr<Node> node;
  std::uint64_t process_id = 0;
  bool silent = false;  // without power: it answers no dial
  Micros offset = 0;
  std::optional<wire::RecordT> disk;
  std::unordered_map<ConnectionId, std::pair<std::shared_ptr<Link>, int>> connections;
  ConnectionId next_connection = 0;
  std::uint64_t chat_requests = 0;
  std::uint64_t serial = 0;
  Micros troubled = 0;  // when it was last started or ended
  bool up() const { return node != nullptr; }
};

struct Scale::Link {
  int who[2] = {0, 0};
  std::uint64_t process_id[2] = {0, 0};
  ConnectionId connection[2] = {0, 0};
  bool open = true;
  Micros last[2] = {0, 0};              // arrival times keep their order
  std::vector<std::string> delayed[2];  // what a cut holds back
};

}  // namespace pipit
