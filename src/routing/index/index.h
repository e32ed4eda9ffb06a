// The prefix index of one model: which workers probably have which prompt prefixes cached (§6.1, §6.2).
#pragma once
#include <tsl/robin_map.h>

#include <boost/intrusive/list.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/micros.h"
#include "routing/index/path.h"
#include "wire_generated.h"

namespace pipit {

// Tree of prompt prefixes, with the workers that are assumed to have each prefix cached.
class Index {
 public:
  // Bounds for one worker. 'blocks' limits the sum of weights: blocks of fixed length weigh 1 each, prefix parts that
  // the client names weigh their tokens.
  struct Bounds {
    std::size_t blocks = 4096;
    Micros age = seconds(900);
  };

  // Number of leading blocks of the path that each worker is assumed to have cached.
  std::map<std::string, std::size_t> match(Path const& path) const;

  // Records that a prompt was sent to a worker. Returns the delta for peers: the deepest block that was already known
  // and the hashes below it. 'weights': one for each block; empty: 1 each.
  wire::DeltaT touch(Path const& path, std::string const& worker, std::uint64_t incarnation, Bounds const& bounds,
                     Micros now, std::vector<std::uint32_t> const& weights = {});
  // Applies a peer's delta. False if its base is unknown here: then the tree must be pulled.
  bool apply(wire::DeltaT const& delta, Bounds const& bounds, Micros now);
  // Whether the worker is assumed to have this block cached and has used it at this time or later.
  bool used_since(std::uint64_t hash, std::string const& worker, Micros since) const;
  // Removes all entries of a worker.
  void forget(std::string const& worker);
  // Evicts the entries of each worker that exceed the bounds.
  void age(Bounds const& bounds, Micros now);

  // For a pull of the tree by a peer: the hashes of all prefix nodes, parents before children.
  std::vector<std::uint64_t> traversal_order() const;
  // Null if the hash is unknown.
  std::unique_ptr<wire::PrefixNodeT> prefix_node(std::uint64_t hash, Micros now) const;
  // Adds a prefix node received from a peer; it is ignored if its parent is unknown.
  void merge_prefix_node(wire::PrefixNodeT const& prefix_node, Bounds const& bounds, Micros now);

  // Number of prefix nodes.
  std::size_t size() const { return prefix_nodes_.size(); }
  // Sum of the weights of the blocks that the worker is assumed to have cached.
  std::size_t cached_weight(std::string const& worker) const;
  // Hash of all pairs of prefix and worker; equal for indexes with equal contents.
  std::uint64_t digest() const;

 private:
  struct PrefixNode;
  struct CacheEntry;
  using ByAge = boost::intrusive::list_base_hook<boost::intrusive::tag<struct AgeTag>,
                                                 boost::intrusive::link_mode<boost::intrusive::normal_link>>;
  using ByPrefixNode = boost::intrusive::list_base_hook<boost::intrusive::tag<struct PrefixNodeTag>,
                                                        boost::intrusive::link_mode<boost::intrusive::normal_link>>;
  struct WorkerCache;
  struct CacheEntry : ByAge, ByPrefixNode {
    PrefixNode* prefix_node = nullptr;
    WorkerCache* cache = nullptr;
    Micros last = 0;  // last use
  };
  using AgeList = boost::intrusive::list<CacheEntry, boost::intrusive::base_hook<ByAge>>;
  using PrefixNodeList = boost::intrusive::list<CacheEntry, boost::intrusive::base_hook<ByPrefixNode>>;
  struct PrefixNode {
    std::uint64_t hash = 0;
    std::uint64_t parent = 0;
    std::uint32_t weight = 1;
    std::size_t children = 0;
    PrefixNodeList entries;
  };
  // The prefixes that one worker is assumed to have cached, least recently used first.
  struct WorkerCache {
    std::string worker;
    std::uint64_t incarnation = 0;
    AgeList entries;
    std::size_t weight = 0;
  };

  WorkerCache* cache_for(std::string const& worker, std::uint64_t incarnation);
  PrefixNode* add_prefix_node(std::uint64_t hash, std::uint64_t parent, std::uint32_t weight);
  void record(PrefixNode& prefix_node, WorkerCache& cache, Micros now);
  void remove(CacheEntry& entry);
  void prune(PrefixNode* prefix_node);
  void clear_cache(WorkerCache& cache);
  void evict(WorkerCache& cache, Bounds const& bounds, Micros now);
  CacheEntry* allocate_entry();

  tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>> prefix_nodes_;
  std::map<std::string, std::unique_ptr<WorkerCache>> caches_;
  std::deque<CacheEntry> entry_storage_;
  std::vector<CacheEntry*> free_entries_;
};

}  // namespace pipit
