// What one keeper does for all: the first set, the replacement of keepers, the sweep (§5.4, §5.8).
#include <algorithm>

#include "core/node.h"
#include "ground/events.h"

namespace pipit {

namespace {
constexpr Micros mend_gap = seconds(3);
constexpr Micros keeper_lost = seconds(3);
}  // namespace

void Node::found(Micros now, std::vector<Letter>& letters) {
  if (!acceptor || acceptor->held().formed) return;
  std::uint64_t const disk = acceptor->held().disk;
  if (learner.ring().epoch == 1 && learner.ring().holds(plan.name, disk)) {
    wire::FoundT news;
    for (wire::KeeperT const& item : learner.ring().keepers)
      news.keepers.push_back(std::make_unique<wire::KeeperT>(item));
    letters.push_back(letter(plan.name, std::move(news)));
    return;
  }
  std::vector<std::string> const founders = plan.registered ? first_keepers() : plan.founders;
  if (founders.empty() || *std::min_element(founders.begin(), founders.end()) != plan.name) return;
  // §5.4: the first set is written only while every founder answers and every one of them is blank.
  wire::FoundT news;
  for (std::string const& name : founders) {
    std::map<std::string, Learner::Sight>::const_iterator const sight = learner.sights.find(name);
    if (sight == learner.sights.end() || sight->second.formed || now - sight->second.at > seconds(2)) return;
    std::unique_ptr<wire::KeeperT> keeper = std::make_unique<wire::KeeperT>();
    keeper->name = name;
    keeper->disk = sight->second.disk;
    if (name == plan.name)
      keeper->address = plan.address;
    else if (mesh.roll.peers.count(name))
      keeper->address = mesh.roll.peers.at(name).member.address;
    news.keepers.push_back(std::move(keeper));
  }
  tell(Event::founded, std::to_string(news.keepers.size()) + " keepers");
  for (std::string const& name : founders) letters.push_back(letter(name, wire::FoundT(news)));
}

// §12.3: at the very first start all nodes are given the same seeds, and these are up. Those of them that keep are the
// first set, once every seed is heard; where none keeps, the first three that do. The set grows by the duty.
std::vector<std::string> Node::first_keepers() const {
  std::vector<std::string> out;
  if (!plan.first_start || !acceptor) return out;
  for (std::string const& address : plan.seeds) {
    if (address == plan.address) {
      out.push_back(plan.name);
      continue;
    }
    bool heard = false;
    for (std::pair<std::string const, Peer> const& item : mesh.roll.peers) {
      if (item.second.wire == 0 || item.second.member.address != address) continue;
      heard = true;
      if (item.second.member.keeper) out.push_back(item.first);
    }
    if (!heard) return {};
  }
  if (out.empty()) {
    out = keepers();
    if (out.size() > 3) out.resize(3);
  }
  return out;
}

// §5.8, §12.3: an odd number of all that keep, so that no disk more makes the set no stronger; seven at most.
std::size_t Node::keepers_wanted() const {
  if (!plan.registered) return std::max<std::size_t>(1, plan.founders.size());
  std::size_t all = plan.keeper ? 1 : 0;
  for (std::pair<std::string const, Peer> const& item : mesh.roll.peers)
    if (item.second.member.keeper && (item.second.state() == State::alive || item.second.state() == State::suspected))
      ++all;
  std::size_t const most = std::min<std::size_t>(7, all);
  return std::max<std::size_t>(1, most % 2 == 0 ? most - 1 : most);
}

void Node::duties(Micros now, NodeOut& out) {
  if (!acceptor || !acceptor->held().formed) return;
  std::vector<Letter> letters;
  if (!leaving) mend.tick(now, learner.ring(), letters);
  dispatch(letters, now, out);
  bool const holds = mend.holds(now);
  if (holds != had_duty) tell(holds ? Event::grant_held : Event::grant_ended, "mend");
  had_duty = holds;
  if (!holds || duty_busy) return;
  Ring const& ring = learner.ring();
  Change change;
  change.expected = ring.epoch;
  // §5.8: a keeper that is lost, or came back blank, gives its place to one that is here; one step at a time.
  wire::KeeperT spare;
  wire::KeeperT lost;
  for (std::pair<std::string const, Learner::Sight> const& item : learner.sights)
    if (now - item.second.at < seconds(2) && !ring.holds(item.first, item.second.disk)) {
      spare.name = item.first;
      spare.disk = item.second.disk;
      if (mesh.roll.peers.count(item.first)) spare.address = mesh.roll.peers.at(item.first).member.address;
    }
  std::size_t here = 0;
  bool proven = false;
  for (wire::KeeperT const& keeper : ring.keepers) {
    std::map<std::string, Learner::Sight>::const_iterator const sight = learner.sights.find(keeper.name);
    bool const seen = sight != learner.sights.end() && now - sight->second.at < keeper_lost;
    bool const whole = seen && sight->second.disk == keeper.disk;
    if (whole) ++here;
    // One that is here with another disk has lost its own for good; one that is only away may come back.
    bool const gone = seen && !whole;
    if (whole || proven || now - born <= keeper_lost) continue;
    lost = keeper;
    proven = gone;
  }
  // The set that stays must have its majority here and now: else the last vote would be given away with no way back.
  std::size_t const rest = ring.keepers.size() - 1;
  if (rest == 0 || here < rest / 2 + 1) lost.name.clear();
  std::size_t const target = keepers_wanted();
  if (!spare.name.empty() && ring.keepers.size() < target) {
    change.sort = Change::Sort::admit;
    change.keeper = spare;
  } else if (!spare.name.empty() && !lost.name.empty()) {
    change.sort = Change::Sort::dismiss;
    change.keeper = lost;
  } else if (strike_due(now, change)) {
    tell(Event::seat_struck, change.seat.name);
    duty_busy = true;
    return operate(0, std::move(change), now, out);
  } else if (learner.split && now - mended_at > mend_gap) {
    // Not oftener: each round outbids what others have under way, and a slow disk never catches up with a storm.
    mended_at = now;
    change.sort = Change::Sort::read;
  } else {
    return;
  }
  static char const* const words[] = {"", "", "", "", "admit ", "dismiss "};
  tell(change.sort == Change::Sort::read ? Event::copies_mended : Event::keeper_swapped,
       words[static_cast<std::size_t>(change.sort)] + change.keeper.name + " epoch " + std::to_string(ring.epoch));
  duty_busy = true;
  operate(0, std::move(change), now, out);
}

}  // namespace pipit
