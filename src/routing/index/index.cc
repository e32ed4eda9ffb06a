#include "routing/index/index.h"

#include <algorithm>

#include "base/hash.h"

namespace pipit {

Index::CacheEntry* Index::allocate_entry() {
  if (free_entries_.empty()) return &entry_storage_.emplace_back();
  CacheEntry* const out = free_entries_.back();
  free_entries_.pop_back();
  return out;
}

Index::WorkerCache* Index::cache_for(std::string const& worker, std::uint64_t incarnation) {
  std::unique_ptr<WorkerCache>& slot = caches_[worker];
  if (!slot) {
    slot = std::make_unique<WorkerCache>();
    slot->worker = worker;
    slot->incarnation = incarnation;
  }
  if (slot->incarnation > incarnation) return nullptr;  // about an older incarnation
  if (slot->incarnation < incarnation) {
    clear_cache(*slot);
    slot->incarnation = incarnation;
  }
  return slot.get();
}

Index::PrefixNode* Index::add_prefix_node(std::uint64_t hash, std::uint64_t parent, std::uint32_t weight) {
  tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::iterator const position = prefix_nodes_.find(hash);
  if (position != prefix_nodes_.end()) return position->second.get();
  std::unique_ptr<PrefixNode> made = std::make_unique<PrefixNode>();
  made->hash = hash;
  made->parent = parent;
  made->weight = std::max<std::uint32_t>(1, weight);
  PrefixNode* const out = made.get();
  prefix_nodes_.emplace(hash, std::move(made));
  tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::iterator const up = prefix_nodes_.find(parent);
  if (up != prefix_nodes_.end()) ++up->second->children;
  return out;
}

void Index::record(PrefixNode& prefix_node, WorkerCache& cache, Micros now) {
  for (CacheEntry& item : prefix_node.entries) {
    if (item.cache != &cache) continue;
    cache.entries.erase(cache.entries.iterator_to(item));
    item.last = now;
    cache.entries.push_back(item);
    return;
  }
  CacheEntry* const made = allocate_entry();
  made->prefix_node = &prefix_node;
  made->cache = &cache;
  made->last = now;
  prefix_node.entries.push_back(*made);
  cache.entries.push_back(*made);
  cache.weight += prefix_node.weight;
}

void Index::prune(PrefixNode* prefix_node) {
  while (prefix_node != nullptr && prefix_node->entries.empty() && prefix_node->children == 0) {
    tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::iterator const up =
        prefix_nodes_.find(prefix_node->parent);
    PrefixNode* const parent = up == prefix_nodes_.end() ? nullptr : up->second.get();
    if (parent != nullptr) --parent->children;
    prefix_nodes_.erase(prefix_node->hash);
    prefix_node = parent;
  }
}

void Index::remove(CacheEntry& item) {
  PrefixNode* const prefix_node = item.prefix_node;
  item.cache->entries.erase(item.cache->entries.iterator_to(item));
  item.cache->weight -= prefix_node->weight;
  prefix_node->entries.erase(prefix_node->entries.iterator_to(item));
  free_entries_.push_back(&item);
  prune(prefix_node);
}

void Index::clear_cache(WorkerCache& cache) {
  while (!cache.entries.empty()) remove(cache.entries.front());
}

void Index::evict(WorkerCache& cache, Bounds const& bounds, Micros now) {
  while (!cache.entries.empty() && (cache.weight > bounds.blocks || now - cache.entries.front().last > bounds.age))
    remove(cache.entries.front());
}

std::map<std::string, std::size_t> Index::match(Path const& path) const {
  std::map<std::string, std::size_t> out;
  std::size_t depth = 0;
  for (std::uint64_t const hash : path) {
    tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::const_iterator const position =
        prefix_nodes_.find(hash);
    if (position == prefix_nodes_.end()) break;
    bool any = false;
    for (CacheEntry const& item : position->second->entries) {
      if (depth == 0) {
        out[item.cache->worker] = 1;
        any = true;
        continue;
      }
      std::map<std::string, std::size_t>::iterator const run = out.find(item.cache->worker);
      if (run != out.end() && run->second == depth) {
        run->second = depth + 1;
        any = true;
      }
    }
    if (!any) break;
    ++depth;
  }
  return out;
}

wire::DeltaT Index::touch(Path const& path, std::string const& worker, std::uint64_t incarnation, Bounds const& bounds,
                          Micros now, std::vector<std::uint32_t> const& weights) {
  wire::DeltaT out;
  out.worker = worker;
  out.incarnation = incarnation;
  WorkerCache* const cache = cache_for(worker, incarnation);
  if (cache == nullptr) return out;
  std::uint64_t parent = 0;
  std::vector<PrefixNode*> nodes;
  for (std::size_t i = 0; i < path.size(); ++i) {
    std::uint64_t const hash = path[i];
    std::uint32_t const weight = i < weights.size() ? weights[i] : 1;
    bool const known = prefix_nodes_.find(hash) != prefix_nodes_.end();
    if (known && out.tail.empty()) out.base = hash;
    if (!known) out.tail.push_back(hash);
    if (!known && !weights.empty()) out.weights.push_back(weight);
    nodes.push_back(add_prefix_node(hash, parent, weight));
    parent = hash;
  }
  // Leaves count as older than their parents, so that a worker's prefixes are evicted from the leaves up (§6.2).
  for (std::size_t i = nodes.size(); i-- > 0;) record(*nodes[i], *cache, now);
  evict(*cache, bounds, now);
  return out;
}

bool Index::used_since(std::uint64_t hash, std::string const& worker, Micros since) const {
  tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::const_iterator const position = prefix_nodes_.find(hash);
  if (position == prefix_nodes_.end()) return false;
  PrefixNodeList const& entries = position->second->entries;
  return std::any_of(entries.begin(), entries.end(), [&worker, since](CacheEntry const& item) {
    return item.last >= since && item.cache->worker == worker;
  });
}

bool Index::apply(wire::DeltaT const& delta, Bounds const& bounds, Micros now) {
  // The cache first: a new incarnation empties it, which removes prefix nodes that only the former one had, perhaps the
  // base too.
  WorkerCache* const cache = cache_for(delta.worker, delta.incarnation);
  if (delta.base != 0 && prefix_nodes_.find(delta.base) == prefix_nodes_.end()) return false;
  if (cache == nullptr) return true;
  std::vector<PrefixNode*> nodes;
  for (std::uint64_t hash = delta.base; hash != 0;) {
    tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::const_iterator const position =
        prefix_nodes_.find(hash);
    if (position == prefix_nodes_.end() || nodes.size() > max_path_blocks) break;
    nodes.push_back(position->second.get());
    hash = position->second->parent;
  }
  std::reverse(nodes.begin(), nodes.end());
  std::uint64_t parent = delta.base;
  for (std::size_t i = 0; i < delta.tail.size(); ++i) {
    std::uint64_t const hash = delta.tail[i];
    if (hash == 0 || nodes.size() > max_path_blocks) break;
    nodes.push_back(add_prefix_node(hash, parent, i < delta.weights.size() ? delta.weights[i] : 1));
    parent = hash;
  }
  for (std::size_t i = nodes.size(); i-- > 0;) record(*nodes[i], *cache, now);
  evict(*cache, bounds, now);
  return true;
}

void Index::forget(std::string const& worker) {
  std::map<std::string, std::unique_ptr<WorkerCache>>::iterator const position = caches_.find(worker);
  if (position != caches_.end()) clear_cache(*position->second);
}

void Index::age(Bounds const& bounds, Micros now) {
  for (std::pair<std::string const, std::unique_ptr<WorkerCache>>& item : caches_) evict(*item.second, bounds, now);
}

std::size_t Index::cached_weight(std::string const& worker) const {
  std::map<std::string, std::unique_ptr<WorkerCache>>::const_iterator const position = caches_.find(worker);
  return position == caches_.end() ? 0 : position->second->weight;
}

std::vector<std::uint64_t> Index::traversal_order() const {
  // Parents before children: by depth, then by hash, so that equal trees give equal orders.
  std::vector<std::pair<std::size_t, std::uint64_t>> rows;
  for (std::pair<std::uint64_t, std::unique_ptr<PrefixNode>> const& item : prefix_nodes_) {
    std::size_t depth = 0;
    std::uint64_t up = item.second->parent;
    while (up != 0 && depth <= max_path_blocks) {
      tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::const_iterator const position =
          prefix_nodes_.find(up);
      if (position == prefix_nodes_.end()) break;
      up = position->second->parent;
      ++depth;
    }
    rows.emplace_back(depth, item.first);
  }
  std::sort(rows.begin(), rows.end());
  std::vector<std::uint64_t> out;
  out.reserve(rows.size());
  for (std::pair<std::size_t, std::uint64_t> const& row : rows) out.push_back(row.second);
  return out;
}

std::unique_ptr<wire::PrefixNodeT> Index::prefix_node(std::uint64_t hash, Micros now) const {
  tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::const_iterator const position = prefix_nodes_.find(hash);
  if (position == prefix_nodes_.end()) return nullptr;
  std::unique_ptr<wire::PrefixNodeT> out = std::make_unique<wire::PrefixNodeT>();
  out->hash = hash;
  out->parent = position->second->parent;
  out->weight = position->second->weight;
  for (CacheEntry const& item : position->second->entries) {
    out->workers.push_back(item.cache->worker);
    out->incarnations.push_back(item.cache->incarnation);
    out->ages.push_back(now - item.last);
  }
  return out;
}

void Index::merge_prefix_node(wire::PrefixNodeT const& item, Bounds const& bounds, Micros now) {
  std::size_t const n = std::min({item.workers.size(), item.incarnations.size(), item.ages.size()});
  std::vector<WorkerCache*> caches;
  // All caches are looked up before a prefix node is referenced: emptying one for a new incarnation may remove that
  // prefix node or its parent.
  for (std::size_t i = 0; i < n; ++i) caches.push_back(cache_for(item.workers[i], item.incarnations[i]));
  if (item.hash == 0 || (item.parent != 0 && prefix_nodes_.find(item.parent) == prefix_nodes_.end())) return;
  PrefixNode* const made = add_prefix_node(item.hash, item.parent, item.weight);
  for (std::size_t i = 0; i < n; ++i) {
    WorkerCache* const cache = caches[i];
    if (cache == nullptr || cache->weight >= bounds.blocks || item.ages[i] > bounds.age) continue;
    bool already_cached = false;
    for (CacheEntry const& old : made->entries) already_cached = already_cached || old.cache == cache;
    if (!already_cached) record(*made, *cache, now - std::max<Micros>(0, item.ages[i]));
  }
  prune(made);
}

std::uint64_t Index::digest() const {
  std::uint64_t out = 0;
  for (std::pair<std::uint64_t, std::unique_ptr<PrefixNode>> const& item : prefix_nodes_)
    for (CacheEntry const& entry : item.second->entries) out ^= hash_text(entry.cache->worker, item.first);
  return out;
}

}  // namespace pipit
