// Gossip between nodes about worker loads, worker suspicions and cached prompt parts, sent promptly and with few frames
// (design §12.7). Best effort: a lost report makes placement worse, never an answer wrong.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "consensus/register/outgoing_message.h"
#include "routing/exchange/send_budget.h"
#include "routing/registry/registry.h"

namespace pipit {

// Which peers this node sends reports to. In a small cluster every node sends to all peers. In a large one a node sends
// to the hub of its zone; the hub aggregates the reports since its last message and sends them to the nodes of the zone
// and to the hubs of the other zones, which send them to the nodes of theirs.
//
// Nodes that see different members select different hubs. A message therefore tells how far it has come, and whoever
// receives it does what is left to do, whether or not it is a hub in its own view. Each message that follows from
// another one is closer to its end, so that no report goes in a circle.
struct GossipPaths {
  bool hierarchical = false;              // reports travel through hubs
  bool is_hub = false;                    // this node is the hub of its zone
  std::string zone_hub;                   // the hub of this node's zone; empty if none is reachable
  std::vector<std::string> served_peers;  // peers in this node's zone, and in other zones whose hub it is
  std::vector<std::string> remote_hubs;   // hubs of the other zones
  std::vector<std::string> peers;         // every peer
};

// Changes of prefix indexes that a node announced or took from peers, since it started.
struct IndexChangeCounters {
  std::uint64_t announced = 0;           // by this node
  std::uint64_t from_zone = 0;           // from nodes of this zone, to be passed on to other zones
  std::uint64_t from_hubs = 0;           // from hubs of other zones, to be passed on in this zone
  std::uint64_t from_hubs_at_other = 0;  // of these, taken while this node saw another node as the zone's hub
  std::uint64_t dropped = 0;             // because too many were queued
};

// Collects the reports on workers of this node and, on a hub, of its peers, and batches them into messages. Messages
// are neither retried nor acknowledged.
class ReportExchange {
 public:
  explicit ReportExchange(std::string self) : self_(std::move(self)) {}

  // Reports of this node. 'span' is the predicted prompt processing time of a request sent to the worker, in
  // microseconds.
  void report_work(std::string const& worker, Micros span);
  // The number of requests that run and wait at the worker, as counted by the worker.
  void report_load(std::string const& worker, std::int64_t running);
  // A connection to the worker broke or is silent.
  void report_suspect(std::string const& worker);
  // A change of the prefix index 'index_name'. Dropped when too many changes are queued.
  void report_index_change(std::string const& index_name, wire::DeltaT item);
  // Queues reports of the peer 'from', which this node has applied already, for the nodes that this hub forwards to.
  void forward(std::string const& from, wire::LoadsT const& message);
  void forward(wire::DeltasT const& message);

  // Sets what this node's link carries; in the hierarchical mode reports take a part of it only, so that the register's
  // messages, probes and requests are not held up. 0: no limit.
  void set_link(std::uint64_t bytes_per_second);
  // Appends the messages that are due to 'out'.
  void tick(Micros now, GossipPaths const& paths, std::vector<OutgoingMessage>& out);

  IndexChangeCounters index_changes;

 private:
  struct LoadReport {
    Micros work = 0;            // predicted processing time of requests sent since the last message
    std::int64_t running = -1;  // -1: not reported
    bool suspected = false;
  };
  using LoadReports = std::map<std::string, LoadReport>;                  // by worker
  using ZoneReports = std::map<std::string, LoadReports>;                 // by reporting node
  using IndexChanges = std::map<std::string, std::vector<wire::DeltaT>>;  // by index name
  static wire::LoadsT loads_of(std::vector<LoadReports const*> const& parts, std::uint8_t hops);
  static wire::DeltasT deltas_of(IndexChanges::value_type const& changes, std::uint8_t hops);
  // Sends one message to several nodes; returns the bytes that it takes of the link.
  static std::size_t send_to(std::vector<std::string> names, wire::LoadsT message, std::vector<OutgoingMessage>& out);
  static std::size_t send_to(std::vector<std::string> names, wire::DeltasT message, std::vector<OutgoingMessage>& out);
  void queue_index_change(std::vector<wire::DeltaT>& list, wire::DeltaT item);
  void send_loads(GossipPaths const& paths, Micros now, std::vector<OutgoingMessage>& out);
  std::size_t send_loads_to_zone(GossipPaths const& paths, ZoneReports const& zone, LoadReports const& cross_zone,
                                 std::vector<OutgoingMessage>& out);
  void send_index_changes(GossipPaths const& paths, std::vector<OutgoingMessage>& out);
  // Drops changes that the link has no room for, those of the fewest tokens first.
  void limit_index_changes(GossipPaths const& paths, IndexChanges& zone, IndexChanges& cross_zone);
  // Keeps a part of the changes, by their size.
  void keep_heaviest(std::vector<wire::DeltaT>& changes, double part);

  std::string const self_;
  LoadReports own_reports_;
  ZoneReports zone_reports_;        // of this zone's other nodes, to be passed on to the zone and to the other zones
  LoadReports cross_zone_reports_;  // of other zones, to be passed on to the zone
  IndexChanges own_changes_;
  IndexChanges zone_changes_;        // as zone_reports_
  IndexChanges cross_zone_changes_;  // as cross_zone_reports_
  SendBudget loads_budget_;
  SendBudget changes_budget_;
  bool urgent_ = false;
  Micros next_loads_ = 0;
  Micros next_deltas_ = 0;
};

}  // namespace pipit
