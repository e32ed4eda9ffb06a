#include "node/register_bootstrap.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "base/events.h"

namespace pipit {

namespace {
constexpr Micros bootstrap_turn = seconds(1);  // how long each initial member waits for the one before it
constexpr Micros answer_valid = seconds(2);    // how lately every initial member must have answered
constexpr std::size_t initial_most = 3;        // replicas of the first set, where no seed is one
constexpr std::size_t seeds_most = 3;          // that a node is given
constexpr Micros lost_seed_after = seconds(5);
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

void RegisterBootstrap::mark_disk(std::optional<Acceptor>& acceptor) {
  if (!acceptor) return;
  resumes_ = !acceptor->durable_state().bootstrap_seeds.empty();
  std::vector<std::string> const& seeds = plan_.bootstrap_seeds;
  bool const initial_member = std::find(seeds.begin(), seeds.end(), plan_.address) != seeds.end();
  if (plan_.registered && initial_member) acceptor->record_bootstrap_seeds(seeds);
}

void RegisterBootstrap::propose_initial_set(Micros now, std::vector<OutgoingMessage>& outgoing) const {
  if (!acceptor_ || acceptor_->durable_state().formed) return;
  std::optional<Membership> const first = initial_set(now);
  if (!first) return;
  for (wire::ReplicaT const& to : first->replicas) {
    wire::BootstrapT update;
    for (wire::ReplicaT const& replica : first->replicas)
      update.replicas.push_back(std::make_unique<wire::ReplicaT>(replica));
    outgoing.push_back(message_to(to.name, std::move(update)));
  }
}

std::optional<Membership> RegisterBootstrap::initial_set(Micros now) const {
  std::uint64_t const disk = acceptor_->durable_state().disk;
  if (learner_.bootstrap_membership().contains(plan_.name, disk)) return learner_.bootstrap_membership();
  std::vector<std::string> names = plan_.registered ? initial_replicas(now) : plan_.initial_members;
  std::sort(names.begin(), names.end());
  std::vector<std::string>::const_iterator const own = std::find(names.begin(), names.end(), plan_.name);
  if (own == names.end()) return std::nullopt;
  // The first by name writes it; another only when that one has had its time, for it may have lost its disk.
  if (now - started_at_ < bootstrap_turn * (own - names.begin())) return std::nullopt;
  std::optional<Membership> first = blank_set(names, now);
  if (first) log_event(Event::register_bootstrapped, std::to_string(first->replicas.size()) + " keepers");
  return first;
}

std::optional<Membership> RegisterBootstrap::blank_set(std::vector<std::string> const& names, Micros now) const {
  Membership first;
  first.epoch = 1;
  for (std::string const& name : names) {
    // §5.4: the first set is written only while every initial member answers and every one of them is blank.
    std::map<std::string, Learner::Observation>::const_iterator const observation = learner_.observations.find(name);
    if (observation == learner_.observations.end() || observation->second.formed ||
        now - observation->second.at > answer_valid)
      return std::nullopt;
    // After a restart a blank disk may also be a wiped one: only the marks of the first start tell them apart. A set
    // that was chosen has left a majority of the initial members without them (docs/control.md, "Point 3").
    if (resumes_ && !observation->second.awaits_bootstrap) return std::nullopt;
    wire::ReplicaT replica;
    replica.name = name;
    replica.disk = observation->second.disk;
    replica.address = name == plan_.name ? plan_.address : directory_.address_of(name);
    first.replicas.push_back(std::move(replica));
  }
  return first;
}

// §12.3: at the very first start all nodes are given the same seeds, and these are up. Those of them that are replicas
// are the first set, once every seed is heard; where none is one, the first three replicas by name. The set grows
// later, by its manager.
//
// A seed that is lost before the first set was written may never come back. After a while it is left out, as long as
// two of three seeds are replicas and are heard: the quorums of any two such sets meet, so no more than one of them is
// chosen.
std::vector<std::string> RegisterBootstrap::initial_replicas(Micros now) const {
  std::vector<std::string> out;
  if (plan_.bootstrap_seeds.empty() || !acceptor_) return out;
  bool all_heard = true;
  for (std::string const& address : plan_.bootstrap_seeds) {
    if (address == plan_.address) {
      out.push_back(plan_.name);
      continue;
    }
    bool heard = false;
    for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
      if (item.second.connection == 0 || item.second.member.address != address) continue;
      heard = true;
      if (item.second.member.replica) out.push_back(item.first);
    }
    all_heard = all_heard && heard;
  }
  if (!all_heard) {
    bool const enough = plan_.bootstrap_seeds.size() == seeds_most && out.size() > seeds_most / 2;
    return enough && now - started_at_ > lost_seed_after ? out : std::vector<std::string>();
  }
  if (out.empty()) {
    out = directory_.connected_replicas();
    if (out.size() > initial_most) out.resize(initial_most);
  }
  return out;
}

}  // namespace pipit
