// What goes wrong in an experiment, and when: "kill@4:on=core,for=3; burst@6:x=1.5".
#pragma once
#include <string>
#include <vector>

#include "base/error.h"
#include "base/micros.h"

namespace pipit::platform_fleet {

// name, what it does, how many (0: by share), part of those there are, seconds, factor, seconds between
#define PLATFORM_FLEET_FAULTS(X)                                                            \
  X(kill, "nodes are killed and start again", 1, 0, 3, 0, 0)                                \
  X(term, "nodes are told to end, one after the other, and start again", 1, 0, 1, 0, 1.5)   \
  X(freeze, "nodes stand still and wake again", 1, 0, 3, 0, 0)                              \
  X(restart, "every node is killed and starts again", 0, 1, 0.6, 0, 0)                      \
  X(crash, "workers reset all they have and come back as others", 0, 0.17, 4, 0, 0)         \
  X(dark, "workers fall silent and wake again", 0, 0.17, 4, 0, 0)                           \
  X(release, "workers drain, end and are replaced, one after the other", 0, 0.45, 0, 0, 1)  \
  X(surplus, "workers send surplus answers, some of them late", 0, 0.6, 5, 0.05, 0)         \
  X(garble, "workers break answers off or send bytes that are none", 0, 0.5, 4, 0.05, 0)    \
  X(burst, "one class comes more often", 0, 0, 4, 1.5, 0)                                   \
  X(hot, "one shared part gets much of a class", 0, 0.28, 5, 0, 0)                          \
  X(change, "the configuration changes", 1, 0, 0, 0, 1)                                     \
  X(race, "two operators change the configuration at once", 2, 0, 0, 0, 1.2)                \
  X(storm, "configurations in quick succession", 0, 0, 3, 0, 0.2)                           \
  X(bad, "invalid configurations", 5, 0, 0, 0, 0.3)                                         \
  X(farewell, "workers leave with a farewell alone, one after the other", 0, 0.45, 0, 1, 1) \
  X(reload, "settings files change, and nodes are told so", 0, 1, 0, 0, 0.1)                \
  X(wipe, "nodes are killed and lose their disks", 1, 0, 1.5, 0, 0)                         \
  X(replace, "nodes are gone for good, and new ones come", 1, 0, 1, 0, 0)                   \
  X(blackout, "nodes are killed together; x of them lose their disks", 0, 1, 1, 0, 0)       \
  X(rude, "clients send what is malformed, half, slow or given up", 20, 0, 0, 0, 0.1)       \
  X(cut, "nodes are cut off from all others (x=1: from workers too)", 1, 0, 4, 0, 0)        \
  X(deaf, "nodes hear nothing from other nodes (x=1: are not heard)", 1, 0, 4, 0, 0)        \
  X(halves, "nodes with a disk are cut into two halves", 0, 1, 4, 0, 0)                     \
  X(delay, "what nodes say to each other comes x seconds late", 0, 1, 3, 0.05, 0)           \
  X(reset, "connections between machines are reset", 0, 0.5, 0, 0, 0)                       \
  X(lost, "answers to operators and workers are lost", 0, 0.3, 3, 0, 0)                     \
  X(mute, "answers of workers are lost", 0, 0.1, 3, 0, 0)

struct Fault {
  enum class Kind : std::uint8_t {
#define FAULT(name, text, count, share, seconds, x, gap) name,
    PLATFORM_FLEET_FAULTS(FAULT)
#undef FAULT
  };
  Kind kind = Kind::kill;
  Micros at = 0;
  int count = 0;
  double share = 0;
  Micros span = 0;
  double x = 0;
  Micros gap = 0;
  std::string on;  // "core", "seed", or the name of a class; empty for any
};

// Whether it needs the relay between machines.
bool needs_relay(Fault::Kind kind);
char const* fault_name(Fault::Kind kind);
std::string fault_table();
Result<std::vector<Fault>> parse_faults(std::string const& text);

}  // namespace pipit::platform_fleet
