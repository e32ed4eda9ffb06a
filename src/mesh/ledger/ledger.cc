#include "mesh/ledger/ledger.h"

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
  return item.state == static_cast<std::uint8_t>(Standing::gone) || beside_owner(item.key);
}
}  // namespace

void Ledger::owe(std::string const& but, std::string const& key, std::uint64_t stamp) {
  for (std::pair<std::string const, Debt>& item : owed)
    if (item.first != but) item.second.keys[key] = Owed{stamp, false};
}

bool Ledger::put(wire::EntryT item, Micros now) {
  std::map<std::string, wire::EntryT>::iterator const spot = items.find(item.key);
  if (spot != items.end() && spot->second.owner == self && same(spot->second, item)) return false;
  item.owner = self;
  item.stamp = ++clock;
  if (passing(item))
    gone_at[item.key] = now;
  else
    gone_at.erase(item.key);
  owe("", item.key, item.stamp);
  items[item.key] = std::move(item);
  return true;
}

bool Ledger::merge(std::string const& from, wire::EntryT const& item, Micros now) {
  if (item.key.empty() || item.state > 2) return false;
  clock = std::max(clock, item.stamp);
  std::map<std::string, wire::EntryT>::iterator const spot = items.find(item.key);
  if (spot != items.end() && std::tie(spot->second.stamp, spot->second.owner) >= std::tie(item.stamp, item.owner))
    return false;
  if (passing(item))
    gone_at[item.key] = now;
  else
    gone_at.erase(item.key);
  items[item.key] = item;
  if (passes_on) {
    owe(from, item.key, item.stamp);
  } else {
    for (std::string const& name : pass_to)
      if (name != from && name != item.owner && owed.count(name)) owed[name].keys[item.key] = Owed{item.stamp, false};
  }
  return true;
}

void Ledger::owe_all(std::string const& peer) {
  Debt& debt = owed[peer];
  debt.flying.clear();
  for (std::pair<std::string const, wire::EntryT> const& item : items)
    debt.keys[item.first] = Owed{item.second.stamp, false};
}

void Ledger::owe_own(std::string const& peer) {
  Debt& debt = owed[peer];
  for (std::pair<std::string const, wire::EntryT> const& item : items)
    if (item.second.owner == self) debt.keys[item.first] = Owed{item.second.stamp, false};
}

wire::EntriesT Ledger::batch(std::string const& peer, bool again) {
  wire::EntriesT out;
  std::map<std::string, Debt>::iterator const spot = owed.find(peer);
  if (spot == owed.end() || spot->second.keys.empty()) return out;
  std::vector<std::pair<std::string, std::uint64_t>> sent;
  for (std::pair<std::string const, Owed>& key : spot->second.keys) {
    if (key.second.flown && !again) continue;
    std::map<std::string, wire::EntryT>::const_iterator const item = items.find(key.first);
    if (item == items.end()) continue;
    out.list.push_back(std::make_unique<wire::EntryT>(item->second));
    sent.emplace_back(key.first, item->second.stamp);
    key.second.flown = true;
    if (sent.size() >= 256) break;
  }
  if (sent.empty()) return out;
  out.batch = ++next;
  // Only the latest few batches can still be acked; older ones are resent with a number of their own.
  while (spot->second.flying.size() >= 8) spot->second.flying.erase(spot->second.flying.begin());
  spot->second.flying[out.batch] = std::move(sent);
  return out;
}

void Ledger::acked(std::string const& peer, std::uint64_t batch) {
  std::map<std::string, Debt>::iterator const spot = owed.find(peer);
  if (spot == owed.end()) return;
  Debt& debt = spot->second;
  std::map<std::uint64_t, std::vector<std::pair<std::string, std::uint64_t>>>::iterator const fly =
      debt.flying.find(batch);
  if (fly == debt.flying.end()) return;
  for (std::pair<std::string, std::uint64_t> const& item : fly->second) {
    std::map<std::string, Owed>::iterator const key = debt.keys.find(item.first);
    if (key != debt.keys.end() && key->second.stamp <= item.second) debt.keys.erase(key);
  }
  debt.flying.erase(fly);
}

bool Ledger::told(std::string const& peer, std::string const& key) const {
  std::map<std::string, Debt>::const_iterator const spot = owed.find(peer);
  return spot != owed.end() && items.count(key) > 0 && spot->second.keys.count(key) == 0;
}

std::uint64_t Ledger::digest() const {
  std::uint64_t out = 0;
  for (std::pair<std::string const, wire::EntryT> const& item : items)
    if (!gone_at.count(item.first))
      out ^= hash_text(item.first, hash_bits(item.second.stamp ^ hash_text(item.second.owner)));
  return out;
}

void Ledger::forget(Micros now, Micros age) {
  for (std::map<std::string, Micros>::iterator it = gone_at.begin(); it != gone_at.end();) {
    if (now - it->second > age) {
      items.erase(it->first);
      it = gone_at.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace pipit
