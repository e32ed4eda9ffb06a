#include "mesh/membership/gossip.h"

#include <utility>

namespace pipit {

namespace {
constexpr std::uint64_t full_table_interval = 16;      // one of this many pings and pongs carries all records
constexpr std::size_t piggyback_limit = 12;            // records carried by one ping or pong
constexpr int observed_change_sends_base = 3;          // piggybacked sends of a change that this node observed,
constexpr int observed_change_sends_per_doubling = 3;  // plus this many for each doubling of the fleet's size
constexpr int received_record_sends = 6;               // piggybacked sends of a record that a peer sent
}  // namespace

void MembershipGossip::broadcast(wire::MemberT const& record, ConnectionEffects& out) {
  for (std::pair<std::string const, Peer> const& item : members_.peers) {
    if (item.second.connection == 0) continue;
    wire::MembershipUpdateT update;
    update.table.push_back(std::make_unique<wire::MemberT>(record));
    connections_.send(item.first, std::move(update), out);
  }
}

// §3.6: many nodes observe the same change at the same time; if each of them broadcast it, the number of messages would
// grow with the square of the fleet's size.
void MembershipGossip::disseminate(wire::MemberT const& record, ConnectionEffects& out) {
  if (!is_large_fleet()) return broadcast(record, out);
  int sends = observed_change_sends_base;
  for (std::size_t n = members_.peers.size(); n > 0; n >>= 1) sends += observed_change_sends_per_doubling;
  piggybacked_[record.name] = sends;
  std::vector<std::string> candidates;
  for (std::pair<std::string const, Peer> const& item : members_.peers)
    if (item.second.connection != 0 && item.first != record.name) candidates.push_back(item.first);
  for (std::size_t n = 0; n < settings_.gossip_fanout && !candidates.empty(); ++n) {
    std::size_t const pick = random_.below(candidates.size());
    wire::MembershipUpdateT update;
    update.table.push_back(std::make_unique<wire::MemberT>(record));
    connections_.send(candidates[pick], std::move(update), out);
    candidates[pick] = candidates.back();
    candidates.pop_back();
  }
}

MemberRecords MembershipGossip::next_piggybacked_records() {
  MemberRecords out;
  std::map<std::string, int>::iterator it = piggybacked_.begin();
  while (it != piggybacked_.end() && out.size() < piggyback_limit) {
    std::map<std::string, Peer>::const_iterator const peer = members_.peers.find(it->first);
    if (peer != members_.peers.end()) out.push_back(std::make_unique<wire::MemberT>(peer->second.member));
    it = peer == members_.peers.end() || --it->second <= 0 ? piggybacked_.erase(it) : std::next(it);
  }
  return out;
}

// A connection is ordered and reliable, so records that were sent on it need not be sent again; the periodic full table
// restores records that the peer has removed since (§3.3).
MemberRecords MembershipGossip::records_for(ConnectionId id, bool all) {
  Connection* const connection = connections_.find(id);
  if (connection == nullptr) return members_.records_since();
  std::uint64_t const since = all || ++ping_tables_sent_ % full_table_interval == 0 ? 0 : connection->sent_version;
  connection->sent_version = members_.version;
  return members_.records_since(since);
}

MemberRecords MembershipGossip::records_for_ping(ConnectionId id) {
  return is_large_fleet() ? next_piggybacked_records() : records_for(id, false);
}

void MembershipGossip::answer_hello(ConnectionId id, wire::HelloT const& hello, ConnectionEffects& out) {
  if (is_large_fleet() && hello.digest == members_.digest()) return;
  std::string const& name = hello.self->name;
  bool const all = !is_large_fleet() || hello.members < members_.peers.size() / 2;
  // A node that has just started is connected to by all others, so none of them tells it more than it has to refute.
  if (!all && !members_.holds_newer(*hello.self)) return;
  wire::MembershipUpdateT update;
  if (all)
    update.table = records_for(id, true);
  else
    update.table.push_back(std::make_unique<wire::MemberT>(members_.peers.at(name).member));
  connections_.send(name, std::move(update), out);
}

void MembershipGossip::merge(MemberRecords const& records, Micros now, ConnectionEffects& out) {
  for (std::unique_ptr<wire::MemberT> const& record : records) {
    MemberTable::MergeResult const result = members_.merge(*record, now);
    if (result == MemberTable::MergeResult::refuted) broadcast(members_.self, out);
    if (result != MemberTable::MergeResult::changed) continue;
    // A larger table is a full exchange, whose records most members know already.
    if (is_large_fleet() && records.size() <= piggyback_limit) piggybacked_[record->name] = received_record_sends;
    std::map<std::string, Peer>::const_iterator const position = members_.peers.find(record->name);
    if (position == members_.peers.end() || position->second.connection == 0) continue;
    // A peer that restarted cannot still hold the connection of its previous incarnation.
    ConnectionId const id = position->second.connection;
    Connection const* const connection = connections_.find(id);
    if (connection != nullptr && connection->peer_incarnation < record->incarnation) connections_.close(id, now, out);
  }
}

}  // namespace pipit
