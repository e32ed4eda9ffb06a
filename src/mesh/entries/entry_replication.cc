#include "mesh/entries/entry_replication.h"

namespace pipit {

namespace {
constexpr std::size_t batch_limit = 256;    // entries in one frame
constexpr std::size_t in_flight_limit = 8;  // batches of one peer whose acknowledgements are still accepted
}  // namespace

void EntryReplication::enqueue_all(std::string const& peer) {
  PeerQueue& queue = queues_[peer];
  queue.in_flight.clear();
  for (std::pair<std::string const, wire::EntryT> const& item : table_.entries())
    queue.pending[item.first] = PendingEntry{item.second.stamp, false};
}

void EntryReplication::enqueue_own(std::string const& peer) {
  PeerQueue& queue = queues_[peer];
  for (std::pair<std::string const, wire::EntryT> const& item : table_.entries())
    if (item.second.owner == table_.self()) queue.pending[item.first] = PendingEntry{item.second.stamp, false};
}

void EntryReplication::enqueue_local(std::string const& key) {
  std::uint64_t const stamp = table_.entries().at(key).stamp;
  for (std::pair<std::string const, PeerQueue>& item : queues_) item.second.pending[key] = PendingEntry{stamp, false};
}

void EntryReplication::enqueue_one(std::string const& peer, std::string const& key) {
  std::map<std::string, PeerQueue>::iterator const queue = queues_.find(peer);
  if (queue == queues_.end()) return;
  std::uint64_t const stamp = table_.entries().at(key).stamp;
  std::map<std::string, PendingEntry>::const_iterator const pending = queue->second.pending.find(key);
  if (pending != queue->second.pending.end() && pending->second.stamp == stamp) return;
  queue->second.pending[key] = PendingEntry{stamp, false};
}

void EntryReplication::enqueue_forwarded(std::string const& from, wire::EntryT const& entry) {
  if (forward_to_all) {
    for (std::pair<std::string const, PeerQueue>& item : queues_)
      if (item.first != from) item.second.pending[entry.key] = PendingEntry{entry.stamp, false};
    return;
  }
  for (std::string const& name : forward_targets) {
    if (name == from || name == entry.owner) continue;
    std::map<std::string, PeerQueue>::iterator const position = queues_.find(name);
    if (position != queues_.end()) position->second.pending[entry.key] = PendingEntry{entry.stamp, false};
  }
}

wire::EntriesT EntryReplication::next_batch(std::string const& peer, bool resend) {
  wire::EntriesT out;
  std::map<std::string, PeerQueue>::iterator const position = queues_.find(peer);
  if (position == queues_.end()) return out;
  PeerQueue& queue = position->second;
  std::vector<SentEntry> sent;
  for (std::pair<std::string const, PendingEntry>& item : queue.pending) {
    if (item.second.sent && !resend) continue;
    std::map<std::string, wire::EntryT>::const_iterator const entry = table_.entries().find(item.first);
    if (entry == table_.entries().end()) continue;
    out.list.push_back(std::make_unique<wire::EntryT>(entry->second));
    sent.push_back(SentEntry{item.first, entry->second.stamp});
    item.second.sent = true;
    if (sent.size() >= batch_limit) break;
  }
  if (sent.empty()) return out;
  out.batch = ++last_batch_;
  // The acknowledgement of an older batch will be ignored; its entries are resent in a batch with a new number.
  while (queue.in_flight.size() >= in_flight_limit) queue.in_flight.erase(queue.in_flight.begin());
  queue.in_flight[out.batch] = std::move(sent);
  return out;
}

void EntryReplication::acknowledge(std::string const& peer, std::uint64_t batch) {
  std::map<std::string, PeerQueue>::iterator const position = queues_.find(peer);
  if (position == queues_.end()) return;
  PeerQueue& queue = position->second;
  std::map<std::uint64_t, std::vector<SentEntry>>::iterator const sent = queue.in_flight.find(batch);
  if (sent == queue.in_flight.end()) return;
  for (SentEntry const& entry : sent->second) {
    std::map<std::string, PendingEntry>::iterator const pending = queue.pending.find(entry.key);
    if (pending != queue.pending.end() && pending->second.stamp <= entry.stamp) queue.pending.erase(pending);
  }
  queue.in_flight.erase(sent);
}

bool EntryReplication::is_replicated(std::string const& peer, std::string const& key) const {
  std::map<std::string, PeerQueue>::const_iterator const position = queues_.find(peer);
  return position != queues_.end() && table_.entries().count(key) > 0 && position->second.pending.count(key) == 0;
}

}  // namespace pipit
