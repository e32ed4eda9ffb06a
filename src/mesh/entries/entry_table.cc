#include "mesh/entries/entry_table.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"

namespace pipit {

namespace {
bool same(wire::EntryT const& a, wire::EntryT const& b) {
  return a.incarnation == b.incarnation && a.address == b.address && a.zone == b.zone && a.pool == b.pool &&
         a.state == b.state && a.slots == b.slots;
}
// What is forgotten after a while: workers that are gone, and marks that nodes set besides an owner.
bool passing(wire::EntryT const& item) {
  return item.state == static_cast<std::uint8_t>(WorkerState::ended) || beside_owner(item.key);
}
}  // namespace

void EntryTable::owe(std::string const& but, std::string const& key, std::uint64_t stamp) {
  for (std::pair<std::string const, Debt>& item : owed_)
    if (item.first != but) item.second.keys[key] = Owed{stamp, false};
}

bool EntryTable::put(wire::EntryT item, Micros now) {
  std::map<std::string, wire::EntryT>::iterator const position = items_.find(item.key);
  if (position != items_.end() && position->second.owner == self_ && same(position->second, item)) return false;
  item.owner = self_;
  item.stamp = ++clock_;
  if (passing(item))
    gone_at_[item.key] = now;
  else
    gone_at_.erase(item.key);
  owe("", item.key, item.stamp);
  items_[item.key] = std::move(item);
  return true;
}

bool EntryTable::merge(std::string const& from, wire::EntryT const& item, Micros now) {
  if (item.key.empty() || item.state > 2) return false;
  clock_ = std::max(clock_, item.stamp);
  std::map<std::string, wire::EntryT>::iterator const position = items_.find(item.key);
  if (position != items_.end() &&
      std::tie(position->second.stamp, position->second.owner) >= std::tie(item.stamp, item.owner))
    return false;
  if (passing(item))
    gone_at_[item.key] = now;
  else
    gone_at_.erase(item.key);
  items_[item.key] = item;
  if (passes_on) {
    owe(from, item.key, item.stamp);
  } else {
    for (std::string const& name : pass_to)
      if (name != from && name != item.owner && owed_.count(name)) owed_[name].keys[item.key] = Owed{item.stamp, false};
  }
  return true;
}

void EntryTable::owe_all(std::string const& peer) {
  Debt& debt = owed_[peer];
  debt.flying.clear();
  for (std::pair<std::string const, wire::EntryT> const& item : items_)
    debt.keys[item.first] = Owed{item.second.stamp, false};
}

void EntryTable::owe_own(std::string const& peer) {
  Debt& debt = owed_[peer];
  for (std::pair<std::string const, wire::EntryT> const& item : items_)
    if (item.second.owner == self_) debt.keys[item.first] = Owed{item.second.stamp, false};
}

wire::EntriesT EntryTable::batch(std::string const& peer, bool again) {
  wire::EntriesT out;
  std::map<std::string, Debt>::iterator const position = owed_.find(peer);
  if (position == owed_.end() || position->second.keys.empty()) return out;
  std::vector<std::pair<std::string, std::uint64_t>> sent;
  for (std::pair<std::string const, Owed>& key : position->second.keys) {
    if (key.second.flown && !again) continue;
    std::map<std::string, wire::EntryT>::const_iterator const item = items_.find(key.first);
    if (item == items_.end()) continue;
    out.list.push_back(std::make_unique<wire::EntryT>(item->second));
    sent.emplace_back(key.first, item->second.stamp);
    key.second.flown = true;
    if (sent.size() >= 256) break;
  }
  if (sent.empty()) return out;
  out.batch = ++next_;
  // Only the latest few batches can still be acked; older ones are resent with a number of their own.
  while (position->second.flying.size() >= 8) position->second.flying.erase(position->second.flying.begin());
  position->second.flying[out.batch] = std::move(sent);
  return out;
}

void EntryTable::acked(std::string const& peer, std::uint64_t batch) {
  std::map<std::string, Debt>::iterator const position = owed_.find(peer);
  if (position == owed_.end()) return;
  Debt& debt = position->second;
  std::map<std::uint64_t, std::vector<std::pair<std::string, std::uint64_t>>>::iterator const fly =
      debt.flying.find(batch);
  if (fly == debt.flying.end()) return;
  for (std::pair<std::string, std::uint64_t> const& item : fly->second) {
    std::map<std::string, Owed>::iterator const key = debt.keys.find(item.first);
    if (key != debt.keys.end() && key->second.stamp <= item.second) debt.keys.erase(key);
  }
  debt.flying.erase(fly);
}

bool EntryTable::told(std::string const& peer, std::string const& key) const {
  std::map<std::string, Debt>::const_iterator const position = owed_.find(peer);
  return position != owed_.end() && items_.count(key) > 0 && position->second.keys.count(key) == 0;
}

std::uint64_t EntryTable::digest() const {
  std::uint64_t out = 0;
  for (std::pair<std::string const, wire::EntryT> const& item : items_)
    if (!gone_at_.count(item.first))
      out ^= hash_text(item.first, hash_bits(item.second.stamp ^ hash_text(item.second.owner)));
  return out;
}

void EntryTable::forget(Micros now, Micros age) {
  for (std::map<std::string, Micros>::iterator it = gone_at_.begin(); it != gone_at_.end();) {
    if (now - it->second > age) {
      items_.erase(it->first);
      it = gone_at_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace pipit
