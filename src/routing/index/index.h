// The prefix index of one model: which worker probably still entries which opening (§6.1, §6.2).
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

class Index {
 public:
  // 'blocks' bounds the sum of weights: blocks of one length weigh 1 each, a caller's own parts weigh their tokens.
  struct Bounds {
    std::size_t blocks = 4096;
    Micros age = seconds(900);
  };

  // How many blocks of the path each worker is believed to keep, from the root on.
  std::map<std::string, std::size_t> match(Path const& path) const;

  // A prompt was sent to a worker. Says what peers must be told: the deepest block that was known before,
  // and the hashes behind it.
  wire::DeltaT touch(Path const& path, std::string const& worker, std::uint64_t incarnation, Bounds const& bounds,
                     Micros now, std::vector<std::uint32_t> const& weights = {});
  // A peer's choice. False when its base is not known here: then the tree must be pulled.
  bool apply(wire::DeltaT const& delta, Bounds const& bounds, Micros now);
  void forget(std::string const& worker);
  // Drops what is older than the bound for each worker.
  void age(Bounds const& bounds, Micros now);

  // Repair: the whole tree, parents before children, in pages.
  std::vector<std::uint64_t> traversal_order() const;
  std::unique_ptr<wire::PrefixNodeT> prefix_node(std::uint64_t hash, Micros now) const;
  void merge_prefix_node(wire::PrefixNodeT const& prefix_node, Bounds const& bounds, Micros now);

  std::size_t size() const { return prefix_nodes_.size(); }
  std::size_t cached_weight(std::string const& worker) const;
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
    Micros last = 0;
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
  // What one worker is believed to keep, oldest first.
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
