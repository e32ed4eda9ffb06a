// What nodes tell each other of workers and of kept parts, at once and to all, for as few frames as it takes
// (design §12.7). Best effort: what is lost is a worse guess, never a wrong answer.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "consensus/register/outgoing_message.h"
#include "routing/registry/registry.h"

namespace pipit {

// Who hears whom. Few nodes tell everybody themselves. Many tell their zone's hub, which tells the zone and the other
// zones' hubs what has come together since its last word.
struct Paths {
  bool wide = false;
  bool hub = false;               // this node is its zone's
  std::string own_hub;            // of the zone; empty when none is reached
  std::vector<std::string> zone;  // peers of the zone
  std::vector<std::string> hubs;  // of the other zones
  std::vector<std::string> all;   // every peer
};

// Collects what this node, and as a hub its peers, report of workers, and batches the reports into messages. Nothing is
// retried or acknowledged.
class Exchange {
 public:
  explicit Exchange(std::string self) : self_(std::move(self)) {}

  // This node's own reports. 'span' is the predicted reading time that the worker was given, in microseconds.
  void work(std::string const& worker, Micros span);
  // How many requests run and wait at the worker, by its own count.
  void load(std::string const& worker, std::int64_t running);
  // A connection to the worker broke or fell silent.
  void suspect(std::string const& worker);
  // A change of the prefix index 'tree'. Beyond a bound it is dropped.
  void delta(std::string const& tree, wire::DeltaT item);
  // Reports of peers that this node has applied already; a hub passes them on.
  void pass(std::string const& from, wire::LoadsT const& message);
  void pass(wire::DeltasT const& message);

  // Appends the messages that are due to 'out'.
  void tick(Micros now, Paths const& paths, std::vector<OutgoingMessage>& out);

 private:
  struct LoadReport {
    Micros work = 0;
    std::int64_t running = -1;
    bool suspected = false;
  };
  using LoadReports = std::map<std::string, LoadReport>;
  static wire::LoadsT loads_of(std::vector<LoadReports const*> const& parts, std::uint8_t hops);
  LoadReport& own(std::string const& worker) { return zone_reports_[self_][worker]; }

  std::string const self_;
  std::map<std::string, LoadReports> zone_reports_;                     // of this zone, by who said them
  LoadReports cross_zone_reports_;                                      // of other zones
  std::map<std::string, std::vector<wire::DeltaT>> deltas_;             // of this zone
  std::map<std::string, std::vector<wire::DeltaT>> cross_zone_deltas_;  // of other zones
  bool urgent_ = false;
  Micros next_loads_ = 0;
  Micros next_deltas_ = 0;
};

}  // namespace pipit
