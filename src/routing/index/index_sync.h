// Synchronisation of prefix indexes between nodes: batches of deltas each round, and pulls of a complete tree (§6.3).
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "consensus/register/outgoing_message.h"
#include "routing/index/index.h"

namespace pipit {

// Owns the indexes of all models and keeps them in step with those of the peers, best effort.
class IndexSync {
 public:
  explicit IndexSync(std::uint64_t seed) : random_(seed) {}

  using BoundsOf = std::function<Index::Bounds(std::string const& model)>;
  using PeersOf = std::function<std::vector<std::string>()>;

  // The index of a model, created if there is none.
  Index& index(std::string const& model) { return trees_[model]; }
  std::map<std::string, Index> const& all() const { return trees_; }
  // Queues a delta for the next round; it is dropped if the backlog is full.
  void queue(std::string const& model, wire::DeltaT delta);
  // Called once a round: sends one batch for each model to each peer that serves it and ages the indexes. 'peers':
  // names with the models that each serves; none listed: all models.
  void round(Micros now, std::vector<std::pair<std::string, std::vector<std::string>>> const& peers,
             BoundsOf const& bounds, std::vector<OutgoingMessage>& out);
  // Restarts stalled pulls at another peer; gives up after a few attempts.
  void tick(Micros now, PeersOf const& peers, std::vector<OutgoingMessage>& out);
  // Handles deltas, tree requests and tree pages from a peer. 'peers' is called only if a tree must be pulled, 'bounds'
  // once for each batch.
  void take(std::string const& from, wire::BodyUnion const& body, Micros now, BoundsOf const& bounds,
            PeersOf const& peers, std::vector<OutgoingMessage>& out);
  void take(std::string const& from, wire::BodyUnion const& body, Micros now, BoundsOf const& bounds,
            std::vector<std::string> const& peers, std::vector<OutgoingMessage>& out) {
    take(from, body, now, bounds, PeersOf([&peers] { return peers; }), out);
  }
  // Removes a worker from all indexes.
  void forget(std::string const& worker);

  std::uint64_t dropped = 0;  // deltas dropped because the backlog was full
  std::uint64_t pulls = 0;
  std::uint64_t stalls = 0;

 private:
  struct Pull {
    std::uint64_t number = 0;
    std::string from;
    std::uint32_t page = 0;
    int attempts = 0;
    Micros last_progress = 0;
    bool active = false;
    Micros ended_at = -seconds(60);
  };
  struct TreeSnapshot {  // traversal order of a tree that a peer is pulling
    std::vector<std::uint64_t> order;
    Micros at = 0;
  };
  void request_tree(std::string const& model, Pull& pull, Micros now, std::vector<std::string> const& peers,
                    std::vector<OutgoingMessage>& out);

  RandomSource random_;
  std::map<std::string, Index> trees_;
  std::map<std::string, std::vector<wire::DeltaT>> backlog_;
  std::map<std::string, Pull> pulling_;
  std::map<std::pair<std::string, std::uint64_t>, TreeSnapshot> snapshots_;
  std::uint64_t last_pull_number_ = 0;
};

}  // namespace pipit
