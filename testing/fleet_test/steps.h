// The steps that a scene can take, and the schedules made of them (§10.3).
#pragma once
#include <string>
#include <vector>

#include "base/error.h"
#include "testing/common/shapes.h"

namespace pipit {

// STEP(verb, arguments, sentence)
#define PIPIT_STEPS(STEP)                                                                   \
  STEP(kill, "N", "end a process without a word")                                           \
  STEP(stop, "N", "ask a node to stop, as for a planned stop")                              \
  STEP(start, "N", "start a process again as it was")                                       \
  STEP(rollall, "", "stop and start every node in turn, as planned")                        \
  STEP(freeze, "N", "stop a process's clock")                                               \
  STEP(wake, "N", "let it go on")                                                           \
  STEP(cut, "n", "cut a node off from every other node")                                    \
  STEP(cutout, "n", "drop what a node sends to others, one way")                            \
  STEP(split, "nn", "cut the nodes of one list off from those of another")                  \
  STEP(heal, "", "end every cut")                                                           \
  STEP(blank, "k", "end a keeper, and start it empty at a new address")                     \
  STEP(exchange, "p", "end an entry node, and start another one")                           \
  STEP(empty, "z", "empty a zone")                                                          \
  STEP(refill, "z", "refill a zone")                                                        \
  STEP(drill, "z", "run pipitspool-zone-drill on a zone; it must pass")                     \
  STEP(tooth, "z", "run pipitspool-zone-drill where the rest cannot carry; it must refuse") \
  STEP(broken, "z", "interrupt pipitspool-zone-drill; it must put the zone back")           \
  STEP(apply, "", "apply a new description")                                                \
  STEP(large, "#", "apply a description of that many KiB")                                  \
  STEP(points, "", "arm every numbered fault point in turn")                                \
  STEP(crowd, "#", "that many more requests a second, for two seconds")                     \
  STEP(hot, "#", "the same, nine of ten for one opening")                                   \
  STEP(race, "", "apply two rival descriptions at once")                                    \
  STEP(storm, "#", "apply that many descriptions, one upon another")                        \
  STEP(leave, "w", "mark a worker as leaving in the list")                                  \
  STEP(gone, "w", "take a worker out of the list")                                          \
  STEP(renew, "w", "end a worker and start its next life")                                  \
  STEP(slow, "k#", "a keeper's syncs take that many milliseconds")                          \
  STEP(nodisk, "k", "a keeper's next sync fails")                                           \
  STEP(hup, "n", "have a node read its settings again")                                     \
  STEP(lossall, "", "end every node at once")                                               \
  STEP(backall, "", "start every node again")                                               \
  STEP(nolist, "", "end the platform's list")                                               \
  STEP(list, "", "start the platform's list again")

struct Step {
  Micros at = 0;
  std::string verb;
  std::vector<std::string> args;
};

struct Cast {  // the names that steps can use
  std::vector<std::string> replicas;
  std::vector<std::string> routers;
  std::vector<std::string> workers;
  std::vector<std::string> zones;
};
Cast cast_of(Shape const& shape);

// "2 kill p1; 5 start p1": seconds, a verb, its arguments. Refused by name before anything starts.
Result<std::vector<Step>> read_steps(std::string const& text, Cast const& cast);

struct Schedule {
  char const* name;
  char const* steps;
  double seconds;
  char const* proves;
};
Schedule const* schedule_of(std::string const& name);
std::string schedule_list();

}  // namespace pipit
