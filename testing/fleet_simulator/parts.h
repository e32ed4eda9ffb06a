// The private parts of a World, included by its implementation files only.
#pragma once
#include "testing/fleet_simulator/world.h"

namespace pipit {

// A simulated machine with its disk and clock, and the node that runs on it.
struct World::Machine {
  std::string name, address, zone;
  std::vector<std::string> seeds;
  std::string seeded_at;
  MemberRole role = MemberRole::router;
  std::unique_ptr<Node> node;
  std::uint64_t process_id = 0;
  bool frozen = false;
  bool power = false;  // stopped by a power loss: peers see no connection close
  std::vector<std::function<void()>> deferred;
  double rate = 1.0;
  Micros offset = 0;
  std::optional<wire::RecordT> disk;
  std::optional<wire::RecordT> writing;
  Micros disk_low = 500, disk_high = 6000;
  std::map<ConnectionId, std::pair<std::shared_ptr<Link>, int>> connections;
  ConnectionId next_connection = 0;
  std::map<std::uint64_t, std::uint64_t> chat_requests;  // chat request to client request
  std::map<std::uint64_t, int> attempts;                 // chat request to its running attempt
  std::map<std::uint64_t, int> begun;                    // chat request to the attempt whose response has begun
  std::uint64_t next_chat_request = 0;
  std::uint64_t serial = 0;
  Micros disturbed_at = -seconds(60);  // time of the last cut, heal, freeze, stop or start
  ChatCounters banked;
  bool up() const { return node != nullptr; }
};

// A connection between two machines; index 0 is the dialling side.
struct World::Link {
  std::uint64_t id = 0;
  std::string name[2];
  std::uint64_t process_id[2] = {0, 0};
  ConnectionId connection[2] = {0, 0};
  bool open = true;
  Micros last[2] = {0, 0};  // last arrival time by sending side, which keeps frames in order
  std::vector<std::string> stalled[2];
};

// A worker's row in the list and its running process.
struct World::WorkerProcess {
  ListRow row;
  std::uint64_t process_id = 0;  // 0 while it is down
  bool frozen = false;
  bool refusing = false;
  Micros started_at = 0;
  std::set<std::uint64_t> runs;
  std::vector<std::pair<Micros, std::int64_t>> history;
  std::vector<Micros> cold_starts;
  std::string state = "serving";
};

// One request of a client's call, with what became of it; a retry is another request of the same call.
struct World::ClientRequest {
  std::string tag;
  std::uint64_t call = 0;
  bool safe = false;
  std::uint64_t opening = 0;
  int attempt_count = 0;
  Micros arrived_at = 0;
  std::string outcome;
  int begun = 0, ended = 0;
  Micros reached_worker_at = -1;  // arrival time at a worker that has not started the request; -1 if none
  bool finished = false;
};

// An operator's change and the state at its submission, against which the reply is checked.
struct World::PendingChange {
  Change::Type type = Change::Type::read;
  std::string text;
  std::uint64_t expected = 0;
  Micros from = 0;
  std::uint64_t floor = 0;  // highest accepted serial at the time of submission
  std::string machine;
  bool finished = false;
  Micros answered = -1;
};

}  // namespace pipit
