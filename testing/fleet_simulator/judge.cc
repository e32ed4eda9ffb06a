// Checks of the invariants N1 to N12 during a simulation run and at its end (§10.4).
#include "testing/fleet_simulator/parts.h"

#include <algorithm>
#include <cstdio>

#include "base/events.h"
#include "routing/index/path.h"

namespace pipit {

void World::check_configuration_delivery() {
  // N7: two seconds after its acceptance a change is in force on every router that is up, not frozen and has not been
  // disturbed since three seconds before the acceptance.
  for (std::map<std::uint64_t, Micros>::iterator it = awaiting_force.begin(); it != awaiting_force.end();) {
    Micros const age = now - it->second;
    bool in_force_everywhere = true;
    std::string lagging;
    for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines) {
      Machine const& machine = *item.second;
      bool const disturbed =
          !machine.up() || machine.frozen || machine.disturbed_at > it->second - seconds(3) || !cuts.empty();
      if (machine.role != MemberRole::router || disturbed) continue;
      if (machine.node->learner.serial() < it->first) {
        in_force_everywhere = false;
        lagging += " " + machine.name;
      }
    }
    if (in_force_everywhere) {
      end.margins.force = std::max(end.margins.force, age);
      it = awaiting_force.erase(it);
    } else if (age > seconds(2)) {
      record_violation("N7 serial " + std::to_string(it->first) + " is not in force after two seconds at" + lagging);
      it = awaiting_force.erase(it);
    } else {
      ++it;
    }
  }
  after(millis(100), [this] { check_configuration_delivery(); });
}

void World::check_final_state() {
  std::map<std::uint64_t, int> per_call;
  for (std::pair<std::uint64_t const, std::unique_ptr<ClientRequest>> const& item : client_requests) {
    ClientRequest const& client_request = *item.second;
    if (!client_request.safe) per_call[client_request.call] += client_request.begun;
    if (client_request.outcome == "no" && client_request.begun > 0)
      record_violation("N2 a request ran that its client was told had not run (" + client_request.tag + ")");
    if (client_request.outcome == "yes" && client_request.begun == 0)
      record_violation("N4 a client was told that its request ran, and it did not");
    if (client_request.outcome.empty())
      record_violation("contract: a client request was never answered (" + client_request.tag + ")");
  }
  for (std::pair<std::uint64_t const, int> const& item : per_call)
    if (item.second > 1)
      record_violation("N1 a request that must not be repeated ran " + std::to_string(item.second) + " times");
  for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines)
    if (item.second->up()) {
      first_sends += item.second->node->chat_dispatcher.counters.first_sends;
      resends += item.second->node->chat_dispatcher.counters.retries;
    }
  if (first_sends > 0) end.margins.resend = static_cast<double>(resends) / static_cast<double>(first_sends);
  if (static_cast<double>(resends) > 0.2 * static_cast<double>(first_sends) + 3.0 * static_cast<double>(process_count))
    record_violation("N10 " + std::to_string(resends) + " re-sends for " + std::to_string(first_sends) +
                     " first sends");
  // After the period without faults all nodes have one serial and are ready, and the replica set is complete.
  std::set<std::uint64_t> serials;
  for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines)
    if (item.second->up() && item.second->role == MemberRole::router) ++end.routers;
  for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines) {
    if (!item.second->up()) continue;
    serials.insert(item.second->node->learner.serial());
    if (!item.second->node->is_ready())
      record_violation("N12 " + item.first + " is not ready after the period without faults");
  }
  if (serials.size() != 1 && !log_is_muted())
    for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines)
      if (item.second->up())
        for (std::pair<std::string const, Peer> const& peer : item.second->node->mesh.members.peers)
          if (peer.first[0] == 'k')
            std::printf("%s serial %llu knows %s at %s %s wire %llu dialling %d refused %d\n", item.first.c_str(),
                        static_cast<unsigned long long>(item.second->node->learner.serial()), peer.first.c_str(),
                        peer.second.member.address.c_str(), state_name(peer.second.state()),
                        static_cast<unsigned long long>(peer.second.connection), peer.second.dialling,
                        peer.second.dial_refused);
  if (serials.size() != 1)
    record_violation("N7 nodes differ in serial after the period without faults");
  else if (*serials.begin() < accepted_serial)
    record_violation("N9 serial " + std::to_string(accepted_serial) + " was accepted, and " +
                     std::to_string(*serials.begin()) + " is in force at the end");
  if (end.done == 0) record_violation("no client request was completed");
  for (std::pair<std::string const, std::unique_ptr<Machine>> const& item : machines)
    if (item.second->up()) {
      if (item.second->node->learner.value) end.registrations = item.second->node->learner.value->registrations.size();
      if (item.second->node->learner.membership().replicas.size() != static_cast<std::size_t>(plan.shape->replicas))
        record_violation("repair: the replica set is not complete after the period without faults");
      break;
    }
}

}  // namespace pipit
