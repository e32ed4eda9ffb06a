// What nodes tell each other of workers and of kept parts, at once and to all, for as few frames as it takes
// (design §12.7). Best effort: what is lost is a worse guess, never a wrong answer.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "consensus/register/outgoing_message.h"
#include "routing/registry/registry.h"

namespace pipit {

// Who hears whom. Few nodes tell everybody themselves. Many tell their zone's hub, which tells the zone and the other
// zones' hubs what has come together since its last word.
struct Paths {
  bool wide = false;
  bool hub = false;               // this node is its zone's
  std::string own_hub;            // of the zone; empty when none is reached
  std::vector<std::string> zone;  // peers of the zone
  std::vector<std::string> hubs;  // of the other zones
  std::vector<std::string> all;   // every peer
};

class Exchange {
 public:
  explicit Exchange(std::string self) : self_(std::move(self)) {}

  // This node's own words.
  void work(std::string const& worker, Micros span);           // it was given so much to read
  void load(std::string const& worker, std::int64_t running);  // it says that so much runs and waits there
  void suspect(std::string const& worker);                     // a connection broke or fell silent
  void delta(std::string const& tree, wire::DeltaT item);
  // Words of peers, already taken in; a hub passes them on.
  void pass(std::string const& from, wire::LoadsT const& words);
  void pass(wire::DeltasT const& words);

  void tick(Micros now, Paths const& paths, std::vector<OutgoingMessage>& out);

 private:
  struct Word {
    Micros work = 0;
    std::int64_t running = -1;
    bool suspected = false;
  };
  using Words = std::map<std::string, Word>;
  static wire::LoadsT loads_of(std::vector<Words const*> const& parts, std::uint8_t hops);
  Word& own(std::string const& worker) { return words_[self_][worker]; }

  std::string const self_;
  std::map<std::string, Words> words_;                           // of this zone, by who said them
  Words far_;                                                    // of other zones
  std::map<std::string, std::vector<wire::DeltaT>> deltas_;      // of this zone
  std::map<std::string, std::vector<wire::DeltaT>> far_deltas_;  // of other zones
  bool urgent_ = false;
  Micros next_words_ = 0;
  Micros next_deltas_ = 0;
};

}  // namespace pipit
