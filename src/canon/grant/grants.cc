#include "canon/grant/grants.h"

namespace pipit {

bool Granter::ask(std::string const& who, std::string const& duty, Micros term, Micros now) {
  if (term <= 0 || term > grant_term || now - born < grant_term) return false;
  Held& item = held[duty];
  if (item.who != who && now < item.until) return false;
  item = Held{who, now + term};
  return true;
}

void Holder::tick(Micros now, Ring const& ring, std::vector<Letter>& out) {
  if (now - asked < grant_term / 3 || ring.keepers.empty()) return;
  asked = now;
  ++req;
  yes.clear();
  for (wire::KeeperT const& keeper : ring.keepers) {
    wire::GrantAskT ask;
    ask.req = req;
    ask.duty = duty;
    ask.term = grant_term;
    out.push_back(letter(keeper.name, std::move(ask)));
  }
}

void Holder::take(std::string const& from, wire::GrantAnsT const& ans, Micros now, Ring const& ring) {
  if (ans.duty != duty || ans.req != req || !ans.ok || !ring.holds(from, ans.disk)) return;
  yes.insert(from);
  if (yes.size() >= ring.majority()) until = asked + grant_term * 4 / 5;
}

}  // namespace pipit
