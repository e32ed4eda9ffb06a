// Judges: the twelve points, while a world runs and at its end (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

void World::check() {
  // N7: two seconds after a yes it is in force on every node that nothing has befallen.
  for (std::map<std::uint64_t, Micros>::iterator it = due_force.begin(); it != due_force.end();) {
    Micros const age = now - it->second;
    bool all = true;
    std::string who;
    for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes) {
      Box const& box = *item.second;
      bool const befallen = !box.up() || box.frozen || box.troubled > it->second - seconds(3) || !cuts.empty();
      if (box.role != MemberRole::router || befallen) continue;
      if (box.node->learner.serial() < it->first) {
        all = false;
        who += " " + box.name;
      }
    }
    if (all) {
      end.margins.force = std::max(end.margins.force, age);
      it = due_force.erase(it);
    } else if (age > seconds(2)) {
      fault("N7 serial " + std::to_string(it->first) + " is not in force after two seconds at" + who);
      it = due_force.erase(it);
    } else {
      ++it;
    }
  }
  after(millis(100), [this] { check(); });
}

void World::last_checks() {
  std::map<std::uint64_t, int> per_call;
  for (std::pair<std::uint64_t const, std::unique_ptr<Wish>> const& item : wishes) {
    Wish const& wish = *item.second;
    if (!wish.safe) per_call[wish.call] += wish.begun;
    if (wish.outcome == "no" && wish.begun > 0) fault("N2 a caller was told no, and it ran (" + wish.tag + ")");
    if (wish.outcome == "yes" && wish.begun == 0) fault("N4 a caller was told that it ran, and it did not");
    if (wish.outcome.empty()) fault("contract: a caller was never answered (" + wish.tag + ")");
  }
  for (std::pair<std::uint64_t const, int> const& item : per_call)
    if (item.second > 1) fault("N1 a request that may not repeat ran " + std::to_string(item.second) + " times");
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
    if (item.second->up()) {
      first_sends += item.second->node->chat_dispatcher.counters.first_sends;
      resends += item.second->node->chat_dispatcher.counters.retries;
    }
  if (first_sends > 0) end.margins.resend = static_cast<double>(resends) / static_cast<double>(first_sends);
  if (static_cast<double>(resends) > 0.2 * static_cast<double>(first_sends) + 3.0 * static_cast<double>(process_count))
    fault("N10 " + std::to_string(resends) + " re-sends for " + std::to_string(first_sends) + " sends");
  // After a quiet while everything is whole again: one serial, every node ready, the replica set full.
  std::set<std::uint64_t> serials;
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
    if (item.second->up() && item.second->role == MemberRole::router) ++end.routers;
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes) {
    if (!item.second->up()) continue;
    serials.insert(item.second->node->learner.serial());
    if (!item.second->node->is_ready()) fault("N12 " + item.first + " is not ready after a quiet while");
  }
  if (serials.size() != 1 && !log_is_muted())
    for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
      if (item.second->up())
        for (std::pair<std::string const, Peer> const& peer : item.second->node->mesh.members.peers)
          if (peer.first[0] == 'k')
            std::printf("%s serial %llu knows %s at %s %s wire %llu dialling %d refused %d\n", item.first.c_str(),
                        static_cast<unsigned long long>(item.second->node->learner.serial()), peer.first.c_str(),
                        peer.second.member.address.c_str(), state_name(peer.second.state()),
                        static_cast<unsigned long long>(peer.second.connection), peer.second.dialling,
                        peer.second.dial_refused);
  if (serials.size() != 1)
    fault("N7 nodes differ in serial after a quiet while");
  else if (*serials.begin() < yes_serial)
    fault("N9 serial " + std::to_string(yes_serial) + " was accepted, and " + std::to_string(*serials.begin()) +
          " is in force at the end");
  if (end.done == 0) fault("no traffic was seen");
  for (std::pair<std::string const, std::unique_ptr<Box>> const& item : boxes)
    if (item.second->up()) {
      if (item.second->node->learner.value) end.registrations = item.second->node->learner.value->registrations.size();
      if (item.second->node->learner.membership().replicas.size() != static_cast<std::size_t>(plan.shape->replicas))
        fault("repair: the set of keepers is not whole after a quiet while");
      break;
    }
}

}  // namespace pipit
