#include "routing/index/index.h"

#include <algorithm>

#include "base/hash.h"

namespace pipit {

Index::Keep* Index::fresh_keep() {
  if (free_keeps_.empty()) return &pool_.emplace_back();
  Keep* const out = free_keeps_.back();
  free_keeps_.pop_back();
  return out;
}

Index::Shelf* Index::shelf_for(std::string const& worker, std::uint64_t incarnation) {
  std::unique_ptr<Shelf>& slot = shelves_[worker];
  if (!slot) {
    slot = std::make_unique<Shelf>();
    slot->worker = worker;
    slot->incarnation = incarnation;
  }
  if (slot->incarnation > incarnation) return nullptr;  // said of an older incarnation
  if (slot->incarnation < incarnation) {
    clear(*slot);
    slot->incarnation = incarnation;
  }
  return slot.get();
}

Index::PrefixNode* Index::grow(std::uint64_t hash, std::uint64_t parent, std::uint32_t weight) {
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

void Index::keep(PrefixNode& prefix_node, Shelf& shelf, Micros now) {
  for (Keep& item : prefix_node.keeps) {
    if (item.shelf != &shelf) continue;
    shelf.keeps.erase(shelf.keeps.iterator_to(item));
    item.last = now;
    shelf.keeps.push_back(item);
    return;
  }
  Keep* const made = fresh_keep();
  made->prefix_node = &prefix_node;
  made->shelf = &shelf;
  made->last = now;
  prefix_node.keeps.push_back(*made);
  shelf.keeps.push_back(*made);
  shelf.count += prefix_node.weight;
}

void Index::prune(PrefixNode* prefix_node) {
  while (prefix_node != nullptr && prefix_node->keeps.empty() && prefix_node->children == 0) {
    tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::iterator const up =
        prefix_nodes_.find(prefix_node->parent);
    PrefixNode* const parent = up == prefix_nodes_.end() ? nullptr : up->second.get();
    if (parent != nullptr) --parent->children;
    prefix_nodes_.erase(prefix_node->hash);
    prefix_node = parent;
  }
}

void Index::drop(Keep& item) {
  PrefixNode* const prefix_node = item.prefix_node;
  item.shelf->keeps.erase(item.shelf->keeps.iterator_to(item));
  item.shelf->count -= prefix_node->weight;
  prefix_node->keeps.erase(prefix_node->keeps.iterator_to(item));
  free_keeps_.push_back(&item);
  prune(prefix_node);
}

void Index::clear(Shelf& shelf) {
  while (!shelf.keeps.empty()) drop(shelf.keeps.front());
}

void Index::trim(Shelf& shelf, Bounds const& bounds, Micros now) {
  while (!shelf.keeps.empty() && (shelf.count > bounds.blocks || now - shelf.keeps.front().last > bounds.age))
    drop(shelf.keeps.front());
}

std::map<std::string, std::size_t> Index::match(Path const& path) const {
  std::map<std::string, std::size_t> out;
  std::size_t depth = 0;
  for (std::uint64_t const hash : path) {
    tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::const_iterator const position =
        prefix_nodes_.find(hash);
    if (position == prefix_nodes_.end()) break;
    bool any = false;
    for (Keep const& item : position->second->keeps) {
      if (depth == 0) {
        out[item.shelf->worker] = 1;
        any = true;
        continue;
      }
      std::map<std::string, std::size_t>::iterator const run = out.find(item.shelf->worker);
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
  Shelf* const shelf = shelf_for(worker, incarnation);
  if (shelf == nullptr) return out;
  std::uint64_t parent = 0;
  std::vector<PrefixNode*> line;
  for (std::size_t i = 0; i < path.size(); ++i) {
    std::uint64_t const hash = path[i];
    std::uint32_t const weight = i < weights.size() ? weights[i] : 1;
    bool const known = prefix_nodes_.find(hash) != prefix_nodes_.end();
    if (known && out.tail.empty()) out.base = hash;
    if (!known) out.tail.push_back(hash);
    if (!known && !weights.empty()) out.weights.push_back(weight);
    line.push_back(grow(hash, parent, weight));
    parent = hash;
  }
  // The leaf counts as older than its root, so that a worker's prefixes are forgotten from their ends (§6.2).
  for (std::size_t i = line.size(); i-- > 0;) keep(*line[i], *shelf, now);
  trim(*shelf, bounds, now);
  return out;
}

bool Index::apply(wire::DeltaT const& delta, Bounds const& bounds, Micros now) {
  // First the shelf: a new incarnation empties it, and what only the former one kept ends with that, the base perhaps
  // too.
  Shelf* const shelf = shelf_for(delta.worker, delta.incarnation);
  if (delta.base != 0 && prefix_nodes_.find(delta.base) == prefix_nodes_.end()) return false;
  if (shelf == nullptr) return true;
  std::vector<PrefixNode*> line;
  for (std::uint64_t hash = delta.base; hash != 0;) {
    tsl::robin_map<std::uint64_t, std::unique_ptr<PrefixNode>>::const_iterator const position =
        prefix_nodes_.find(hash);
    if (position == prefix_nodes_.end() || line.size() > block_most) break;
    line.push_back(position->second.get());
    hash = position->second->parent;
  }
  std::reverse(line.begin(), line.end());
  std::uint64_t parent = delta.base;
  for (std::size_t i = 0; i < delta.tail.size(); ++i) {
    std::uint64_t const hash = delta.tail[i];
    if (hash == 0 || line.size() > block_most) break;
    line.push_back(grow(hash, parent, i < delta.weights.size() ? delta.weights[i] : 1));
    parent = hash;
  }
  for (std::size_t i = line.size(); i-- > 0;) keep(*line[i], *shelf, now);
  trim(*shelf, bounds, now);
  return true;
}

void Index::forget(std::string const& worker) {
  std::map<std::string, std::unique_ptr<Shelf>>::iterator const position = shelves_.find(worker);
  if (position != shelves_.end()) clear(*position->second);
}

void Index::age(Bounds const& bounds, Micros now) {
  for (std::pair<std::string const, std::unique_ptr<Shelf>>& item : shelves_) trim(*item.second, bounds, now);
}

std::size_t Index::kept_blocks(std::string const& worker) const {
  std::map<std::string, std::unique_ptr<Shelf>>::const_iterator const position = shelves_.find(worker);
  return position == shelves_.end() ? 0 : position->second->count;
}

std::vector<std::uint64_t> Index::order() const {
  // Parents before children: by depth, then by hash, so that equal trees give equal orders.
  std::vector<std::pair<std::size_t, std::uint64_t>> rows;
  for (std::pair<std::uint64_t, std::unique_ptr<PrefixNode>> const& item : prefix_nodes_) {
    std::size_t depth = 0;
    std::uint64_t up = item.second->parent;
    while (up != 0 && depth <= block_most) {
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
  for (Keep const& item : position->second->keeps) {
    out->workers.push_back(item.shelf->worker);
    out->incarnations.push_back(item.shelf->incarnation);
    out->ages.push_back(now - item.last);
  }
  return out;
}

void Index::learn(wire::PrefixNodeT const& item, Bounds const& bounds, Micros now) {
  std::size_t const n = std::min({item.workers.size(), item.incarnations.size(), item.ages.size()});
  std::vector<Shelf*> on;
  // All shelves before the first prefix node is held: one that a new incarnation empties may end the very prefix node,
  // or its parent.
  for (std::size_t i = 0; i < n; ++i) on.push_back(shelf_for(item.workers[i], item.incarnations[i]));
  if (item.hash == 0 || (item.parent != 0 && prefix_nodes_.find(item.parent) == prefix_nodes_.end())) return;
  PrefixNode* const made = grow(item.hash, item.parent, item.weight);
  for (std::size_t i = 0; i < n; ++i) {
    Shelf* const shelf = on[i];
    if (shelf == nullptr || shelf->count >= bounds.blocks || item.ages[i] > bounds.age) continue;
    bool have = false;
    for (Keep const& old : made->keeps) have = have || old.shelf == shelf;
    if (!have) keep(*made, *shelf, now - std::max<Micros>(0, item.ages[i]));
  }
  prune(made);
}

std::uint64_t Index::digest() const {
  std::uint64_t out = 0;
  for (std::pair<std::uint64_t, std::unique_ptr<PrefixNode>> const& item : prefix_nodes_)
    for (Keep const& k : item.second->keeps) out ^= hash_text(k.shelf->worker, item.first);
  return out;
}

}  // namespace pipit
