// Only chosen values are spread and put in force; a node never lowers its serial (§5.5).
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "canon/register/proposer.h"

namespace pipit {

class Learner {
 public:
  // Takes a value that is known to be chosen; true when it is newer than what is held.
  bool adopt(wire::ValueT const& value, Micros now);
  // Polls: one majority read without repair, of marks only. 'keepers' are all nodes that may keep.
  void poll(Micros now, std::vector<std::string> const& keepers, Micros age, std::vector<Letter>& out);
  // Returns a chosen value when the read brings a newer one.
  std::optional<wire::ValueT> take(std::string const& from, wire::PeekedT const& ans, Micros now,
                                   std::vector<Letter>& out);

  Ring const& ring() const { return set; }
  std::uint64_t serial() const { return value ? value->serial : 0; }
  std::uint64_t turn() const { return value ? value->turn : 0; }
  std::optional<wire::ValueT> value;
  // When the poll that last found a majority agreed on what is held here was sent; -1 for never.
  Micros sure = -1;
  bool split = false;  // the last whole poll saw keepers that hold different ballots
  struct Sight {
    std::uint64_t disk = 0;
    bool formed = false;
    wire::Ballot ballot;
    std::uint64_t serial = 0;
    Micros at = -1;
  };
  std::map<std::string, Sight> sights;  // what each keeper last answered
  void know(Ring const& ring) {
    if (ring.epoch > set.epoch) set = ring;
  }

 private:
  struct Vote {
    wire::Ballot ballot;
    std::uint64_t turn = 0;
  };
  Ring set;
  std::uint64_t req = 0;
  Micros asked = 0;
  std::uint64_t full_req = 0;
  std::map<std::string, Vote> votes;
  std::optional<Vote> wanted;  // chosen by count, its value still to be fetched
};

}  // namespace pipit
