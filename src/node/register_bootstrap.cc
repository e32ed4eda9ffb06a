#include "node/register_bootstrap.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "base/events.h"

namespace pipit {

namespace {
constexpr Micros proposer_stagger = seconds(1);   // how long each initial member waits for the one before it by name
constexpr Micros max_answer_age = seconds(2);     // an older answer of an initial member does not count
constexpr std::size_t max_initial_replicas = 3;   // of the initial set, where no seed is a replica
constexpr std::size_t max_seeds = 3;              // given to one node
constexpr Micros lost_seed_timeout = seconds(5);  // since this node's start, before an unreachable seed is left out
}  // namespace

RegisterBootstrap::RegisterBootstrap(NodePlan const& plan, Mesh const& mesh, Learner const& learner,
                                     std::optional<Acceptor> const& acceptor, ReplicaDirectory const& directory,
                                     Micros started_at)
    : plan_(plan),
      mesh_(mesh),
      learner_(learner),
      acceptor_(acceptor),
      directory_(directory),
      started_at_(started_at) {}

void RegisterBootstrap::mark_awaiting_bootstrap(std::optional<Acceptor>& acceptor) {
  if (!acceptor) return;
  restarted_ = !acceptor->durable_state().bootstrap_seeds.empty();
  std::vector<std::string> const& seeds = plan_.bootstrap_seeds;
  bool const initial_member = std::find(seeds.begin(), seeds.end(), plan_.address) != seeds.end();
  if (plan_.workers_self_register && initial_member) acceptor->record_bootstrap_seeds(seeds);
}

void RegisterBootstrap::propose_initial_membership(Micros now, std::vector<OutgoingMessage>& outgoing) const {
  if (!acceptor_ || acceptor_->durable_state().formed) return;
  std::optional<Membership> const initial = initial_membership(now);
  if (!initial) return;
  for (wire::ReplicaT const& to : initial->replicas) {
    wire::BootstrapT update;
    for (wire::ReplicaT const& replica : initial->replicas)
      update.replicas.push_back(std::make_unique<wire::ReplicaT>(replica));
    outgoing.push_back(message_to(to.name, std::move(update)));
  }
}

std::optional<Membership> RegisterBootstrap::initial_membership(Micros now) const {
  std::uint64_t const disk = acceptor_->durable_state().disk;
  if (learner_.bootstrap_membership().contains(plan_.name, disk)) return learner_.bootstrap_membership();
  std::vector<std::string> names = plan_.workers_self_register ? initial_replica_names(now) : plan_.initial_members;
  std::sort(names.begin(), names.end());
  std::vector<std::string>::const_iterator const own = std::find(names.begin(), names.end(), plan_.name);
  if (own == names.end()) return std::nullopt;
  // The member that sorts first by name writes the set. Each later one does so only after the time of those before it
  // has passed, since they may have lost their disks.
  if (now - started_at_ < proposer_stagger * (own - names.begin())) return std::nullopt;
  std::optional<Membership> initial = membership_of_blank_replicas(names, now);
  if (initial)
    log_event(Event::register_bootstrapped, "initial set of " + std::to_string(initial->replicas.size()) + " replicas");
  return initial;
}

std::optional<Membership> RegisterBootstrap::membership_of_blank_replicas(std::vector<std::string> const& names,
                                                                          Micros now) const {
  Membership initial;
  initial.epoch = 1;
  for (std::string const& name : names) {
    // §5.4: the initial set is written only while every initial member answers, each of them from a blank disk.
    std::map<std::string, Learner::Observation>::const_iterator const observation = learner_.observations.find(name);
    if (observation == learner_.observations.end() || observation->second.formed ||
        now - observation->second.at > max_answer_age)
      return std::nullopt;
    // After a restart a blank disk may also be a wiped one: only the marks of the first start tell them apart. Choosing
    // a set removed the marks of a majority of the initial members (docs/control.md, "Point 3").
    if (restarted_ && !observation->second.awaits_bootstrap) return std::nullopt;
    wire::ReplicaT replica;
    replica.name = name;
    replica.disk = observation->second.disk;
    replica.address = name == plan_.name ? plan_.address : directory_.address_of(name);
    initial.replicas.push_back(std::move(replica));
  }
  return initial;
}

// §12.3: at the first start of a fleet all nodes are given the same seeds, and the seeds are up. The seeds that are
// replicas form the initial set once every seed is connected; if no seed is a replica, the first three replicas by name
// form it. ReplicaSetManager lets the set grow later.
//
// A seed that is lost before the initial set was written may never return. After 'lost_seed_timeout' it is left out,
// provided that two of three seeds are replicas and connected: the quorums of any two such sets intersect, so at most
// one of the sets is chosen.
std::vector<std::string> RegisterBootstrap::initial_replica_names(Micros now) const {
  std::vector<std::string> out;
  if (plan_.bootstrap_seeds.empty() || !acceptor_) return out;
  bool all_connected = true;
  for (std::string const& address : plan_.bootstrap_seeds) {
    if (address == plan_.address) {
      out.push_back(plan_.name);
      continue;
    }
    bool connected = false;
    for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
      if (item.second.connection == 0 || item.second.member.address != address) continue;
      connected = true;
      if (item.second.member.replica) out.push_back(item.first);
    }
    all_connected = all_connected && connected;
  }
  if (!all_connected) {
    bool const enough = plan_.bootstrap_seeds.size() == max_seeds && out.size() > max_seeds / 2;
    return enough && now - started_at_ > lost_seed_timeout ? out : std::vector<std::string>();
  }
  if (out.empty()) {
    out = directory_.connected_replicas();
    if (out.size() > max_initial_replicas) out.resize(max_initial_replicas);
  }
  return out;
}

}  // namespace pipit
