#include "mesh/entries/entry_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace pipit {

namespace {
bool same_content(wire::EntryT const& a, wire::EntryT const& b) {
  return a.incarnation == b.incarnation && a.address == b.address && a.zone == b.zone && a.pool == b.pool &&
         a.state == b.state && a.slots == b.slots && a.deregistered == b.deregistered;
}

// Of two entries of one key the one with the higher precedence wins.
std::tuple<std::uint64_t const&, std::string const&> precedence(wire::EntryT const& entry) {
  return std::tie(entry.stamp, entry.owner);
}

// Whether an entry is removed after some time: the entry of an ended worker, or a report of a node that is not the
// owner.
bool expires(wire::EntryT const& entry) {
  return entry.state == static_cast<std::uint8_t>(WorkerState::ended) || is_secondary_report(entry.key);
}
}  // namespace

EntryTable::EntryTable(std::string self, std::uint64_t incarnation)
    : self_(std::move(self)),
      incarnation_stamp_(hash_bits(incarnation) & ((std::uint64_t{1} << stamp_incarnation_bits) - 1)) {}

std::uint64_t EntryTable::next_stamp() {
  std::uint64_t const count = (clock_ >> stamp_incarnation_bits) + 1;
  clock_ = (count << stamp_incarnation_bits) | incarnation_stamp_;
  return clock_;
}

bool EntryTable::put(wire::EntryT entry, Micros now) {
  std::map<std::string, wire::EntryT>::const_iterator const position = entries_.find(entry.key);
  if (position != entries_.end() && position->second.owner == self_ && same_content(position->second, entry))
    return false;
  entry.owner = self_;
  entry.stamp = next_stamp();
  store(std::move(entry), now);
  return true;
}

bool EntryTable::merge(wire::EntryT const& entry, Micros now) {
  if (entry.key.empty() || entry.state > static_cast<std::uint8_t>(WorkerState::ended)) return false;
  clock_ = std::max(clock_, entry.stamp);
  std::map<std::string, wire::EntryT>::const_iterator const position = entries_.find(entry.key);
  if (position != entries_.end() && precedence(position->second) >= precedence(entry)) return false;
  store(entry, now);
  return true;
}

bool EntryTable::holds_newer(wire::EntryT const& entry) const {
  std::map<std::string, wire::EntryT>::const_iterator const position = entries_.find(entry.key);
  return position != entries_.end() && precedence(position->second) > precedence(entry);
}

void EntryTable::store(wire::EntryT entry, Micros now) {
  if (expires(entry))
    expirable_since_[entry.key] = now;
  else
    expirable_since_.erase(entry.key);
  std::string const key = entry.key;
  entries_[key] = std::move(entry);
}

std::uint64_t EntryTable::digest() const {
  std::uint64_t out = 0;
  for (std::pair<std::string const, wire::EntryT> const& item : entries_)
    if (!expirable_since_.count(item.first))
      out ^= hash_text(item.first, hash_bits(item.second.stamp ^ hash_text(item.second.owner)));
  return out;
}

void EntryTable::remove_expired(Micros now, Micros age) {
  for (std::map<std::string, Micros>::iterator it = expirable_since_.begin(); it != expirable_since_.end();) {
    if (now - it->second > age) {
      entries_.erase(it->first);
      it = expirable_since_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace pipit
