#include "routing/index/index_sync.h"

#include "base/events.h"

namespace pipit {

namespace {
constexpr std::size_t max_backlog_deltas = 4096;
constexpr std::size_t page_bytes = 2u << 20;
constexpr Micros stall_timeout = seconds(5);
constexpr Micros min_pull_interval = seconds(5);
}  // namespace

void IndexSync::queue(std::string const& model, wire::DeltaT delta) {
  if (delta.base == 0 && delta.tail.empty()) return;
  std::vector<wire::DeltaT>& list = backlog_[model];
  if (list.size() >= max_backlog_deltas) {
    ++dropped;  // best effort: a peer that misses it pulls the tree when it receives a delta with an unknown base
    return;
  }
  list.push_back(std::move(delta));
}

void IndexSync::round(Micros now, std::vector<std::pair<std::string, std::vector<std::string>>> const& peers,
                      BoundsOf const& bounds, std::vector<OutgoingMessage>& out) {
  for (std::pair<std::string const, std::vector<wire::DeltaT>>& item : backlog_) {
    if (item.second.empty()) continue;
    wire::DeltasT batch;
    batch.model = item.first;
    for (wire::DeltaT& delta : item.second) batch.list.push_back(std::make_unique<wire::DeltaT>(std::move(delta)));
    item.second.clear();
    for (std::pair<std::string, std::vector<std::string>> const& peer : peers) {
      bool serves = peer.second.empty();
      for (std::string const& model : peer.second) serves = serves || model == item.first;
      if (serves) out.push_back(message_to(peer.first, wire::DeltasT(batch)));
    }
  }
  for (std::pair<std::string const, Index>& item : trees_) item.second.age(bounds(item.first), now);
  for (std::map<std::pair<std::string, std::uint64_t>, TreeSnapshot>::iterator it = snapshots_.begin();
       it != snapshots_.end();)
    it = now - it->second.at > seconds(15) ? snapshots_.erase(it) : std::next(it);
}

void IndexSync::request_tree(std::string const& model, Pull& pull, Micros now, std::vector<std::string> const& peers,
                             std::vector<OutgoingMessage>& out) {
  if (peers.empty()) {
    pull.active = false;
    pull.ended_at = now;
    return;
  }
  // Prefers a peer other than the one that stalled.
  std::string pick = peers[random_.below(peers.size())];
  if (pick == pull.from && peers.size() > 1)
    for (std::string const& other : peers)
      if (other != pull.from) pick = other;
  pull.from = pick;
  pull.number = ++last_pull_number_;
  pull.page = 0;
  pull.last_progress = now;
  ++pull.attempts;
  wire::TreeRequestT request;
  request.model = model;
  request.pull = pull.number;
  out.push_back(message_to(pick, std::move(request)));
}

void IndexSync::tick(Micros now, PeersOf const& peers, std::vector<OutgoingMessage>& out) {
  for (std::pair<std::string const, Pull>& item : pulling_) {
    Pull& pull = item.second;
    if (!pull.active || now - pull.last_progress < stall_timeout) continue;
    ++stalls;
    log_event(Event::tree_stalled, item.first + " from " + pull.from);
    if (pull.attempts > 3) {
      pull.active = false;
      pull.ended_at = now;
    } else {
      request_tree(item.first, pull, now, peers(), out);
    }
  }
}

void IndexSync::take(std::string const& from, wire::BodyUnion const& body, Micros now, BoundsOf const& bounds,
                     PeersOf const& peers, std::vector<OutgoingMessage>& out) {
  if (wire::DeltasT const* const batch = body.AsDeltas()) {
    Index& tree = trees_[batch->model];
    Index::Bounds const bound = bounds(batch->model);
    bool lost = false;
    for (std::unique_ptr<wire::DeltaT> const& delta : batch->list)
      if (!tree.apply(*delta, bound, now)) lost = true;
    Pull& pull = pulling_[batch->model];
    // An unknown base received during a pull starts no second one, and pulls of a model have a minimum interval.
    if (lost && !pull.active && now - pull.ended_at >= min_pull_interval) {
      pull.active = true;
      pull.attempts = 0;
      ++pulls;
      request_tree(batch->model, pull, now, peers(), out);
    }
    return;
  }
  if (wire::TreeRequestT const* const request = body.AsTreeRequest()) {
    std::map<std::string, Index>::const_iterator const tree = trees_.find(request->model);
    wire::TreePageT page;
    page.model = request->model;
    page.pull = request->pull;
    page.page = request->page;
    page.last = true;
    if (tree != trees_.end()) {
      TreeSnapshot& snapshot = snapshots_[{from, request->pull}];
      if (request->page == 0) snapshot.order = tree->second.traversal_order();
      snapshot.at = now;
      std::size_t at = 0;
      // Pages have a fixed number of prefix nodes, so that any page can be requested on its own.
      constexpr std::size_t prefix_nodes = page_bytes / 256;
      for (at = request->page * prefix_nodes; at < snapshot.order.size() && page.list.size() < prefix_nodes; ++at)
        if (std::unique_ptr<wire::PrefixNodeT> prefix_node = tree->second.prefix_node(snapshot.order[at], now))
          page.list.push_back(std::move(prefix_node));
      page.last = at >= snapshot.order.size();
      if (page.last) snapshots_.erase({from, request->pull});
    }
    out.push_back(message_to(from, std::move(page)));
    return;
  }
  if (wire::TreePageT const* const page = body.AsTreePage()) {
    std::map<std::string, Pull>::iterator const position = pulling_.find(page->model);
    if (position == pulling_.end()) return;
    Pull& pull = position->second;
    if (!pull.active || pull.from != from || pull.number != page->pull || pull.page != page->page) return;
    Index& tree = trees_[page->model];
    Index::Bounds const bound = bounds(page->model);
    for (std::unique_ptr<wire::PrefixNodeT> const& prefix_node : page->list)
      tree.merge_prefix_node(*prefix_node, bound, now);
    pull.last_progress = now;
    if (page->last) {
      pull.active = false;
      pull.ended_at = now;
      log_event(Event::tree_pulled, page->model + " from " + from);
      return;
    }
    wire::TreeRequestT request;
    request.model = page->model;
    request.pull = pull.number;
    request.page = ++pull.page;
    out.push_back(message_to(from, std::move(request)));
  }
}

void IndexSync::forget(std::string const& worker) {
  for (std::pair<std::string const, Index>& item : trees_) item.second.forget(worker);
}

}  // namespace pipit
