// How indexes follow one another: batches of deltas each round, and pulls of a whole tree (§6.3).
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "consensus/register/outgoing_message.h"
#include "routing/index/index.h"

namespace pipit {

class IndexSync {
 public:
  explicit IndexSync(std::uint64_t seed) : random_(seed) {}

  using BoundsOf = std::function<Index::Bounds(std::string const& model)>;
  using PeersOf = std::function<std::vector<std::string>()>;

  Index& index(std::string const& model) { return trees_[model]; }
  std::map<std::string, Index> const& all() const { return trees_; }
  void queue(std::string const& model, wire::DeltaT delta);
  // Once a round: one batch for each model to each peer that serves it.
  void round(Micros now, std::vector<std::pair<std::string, std::vector<std::string>>> const& peers,
             BoundsOf const& bounds, std::vector<OutgoingMessage>& out);
  void tick(Micros now, std::vector<std::string> const& peers, std::vector<OutgoingMessage>& out);
  // 'peers' is asked only when a tree must be pulled; the bounds once for a batch.
  void take(std::string const& from, wire::BodyUnion const& body, Micros now, BoundsOf const& bounds,
            PeersOf const& peers, std::vector<OutgoingMessage>& out);
  void take(std::string const& from, wire::BodyUnion const& body, Micros now, BoundsOf const& bounds,
            std::vector<std::string> const& peers, std::vector<OutgoingMessage>& out) {
    take(from, body, now, bounds, PeersOf([&peers] { return peers; }), out);
  }
  void forget(std::string const& worker);

  std::uint64_t dropped = 0;  // deltas that found the backlog full
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
  struct TreeSnapshot {  // the order of a tree that a peer is pulling
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
