// The schedule of the faults in an experiment: "kill@4:on=core,for=3; burst@6:x=1.5".
#pragma once
#include <string>
#include <vector>

#include "base/error.h"
#include "base/micros.h"

namespace pipit::platform_fleet {

// Columns: name, description, count (0: by share), share of the targets, duration in seconds, x, gap in seconds.
#define PLATFORM_FLEET_FAULTS(X)                                                                           \
  X(kill, "nodes are killed and restart", 1, 0, 3, 0, 0)                                                   \
  X(term, "nodes are sent SIGTERM, one after the other, and restart", 1, 0, 1, 0, 1.5)                     \
  X(freeze, "nodes are stopped and continued", 1, 0, 3, 0, 0)                                              \
  X(restart, "every node is killed and restarts", 0, 1, 0.6, 0, 0)                                         \
  X(crash, "workers reset all connections and restart as new instances", 0, 0.17, 4, 0, 0)                 \
  X(dark, "workers stop responding and restart as new instances", 0, 0.17, 4, 0, 0)                        \
  X(release, "workers drain, end and are replaced, one after the other", 0, 0.45, 0, 0, 1)                 \
  X(surplus, "workers send surplus responses, some of them late", 0, 0.6, 5, 0.05, 0)                      \
  X(garble, "workers cut responses off or send invalid ones", 0, 0.5, 4, 0.05, 0)                          \
  X(burst, "the request rate of one class rises by the factor x", 0, 0, 4, 1.5, 0)                         \
  X(hot, "much of a class shares one prompt prefix", 0, 0.28, 5, 0, 0)                                     \
  X(change, "the configuration changes", 1, 0, 0, 0, 1)                                                    \
  X(race, "two operators change the configuration concurrently", 2, 0, 0, 0, 1.2)                          \
  X(storm, "configuration changes in quick succession", 0, 0, 3, 0, 0.2)                                   \
  X(bad, "invalid configurations", 5, 0, 0, 0, 0.3)                                                        \
  X(farewell, "workers leave by a farewell only, without draining, one after the other", 0, 0.45, 0, 1, 1) \
  X(reload, "settings files change, and nodes are sent SIGHUP", 0, 1, 0, 0, 0.1)                           \
  X(wipe, "nodes are killed and lose their disks", 1, 0, 1.5, 0, 0)                                        \
  X(replace, "nodes are removed for good, and new ones start", 1, 0, 1, 0, 0)                              \
  X(blackout, "nodes are killed together; x of them lose their disks", 0, 1, 1, 0, 0)                      \
  X(rude, "clients send malformed, partial, slow or abandoned requests", 20, 0, 0, 0, 0.1)                 \
  X(cut, "nodes are partitioned from all others (x=1: from workers too)", 1, 0, 4, 0, 0)                   \
  X(deaf, "nodes receive nothing from other nodes (x=1: can send nothing to them)", 1, 0, 4, 0, 0)         \
  X(halves, "core nodes are partitioned into two halves", 0, 1, 4, 0, 0)                                   \
  X(delay, "messages between nodes are delayed by x seconds", 0, 1, 3, 0.05, 0)                            \
  X(reset, "connections between machines are reset", 0, 0.5, 0, 0, 0)                                      \
  X(lost, "responses to operators and workers are lost", 0, 0.3, 3, 0, 0)                                  \
  X(mute, "responses of workers are lost", 0, 0.1, 3, 0, 0)

// One scheduled fault. The meaning of `count`, `share` and `x` depends on the kind, see the table.
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
  std::string on;  // "core", "plain", "seed" or the name of a class; empty for any
};

// Whether the fault needs the relay between the machines.
bool needs_relay(Fault::Kind kind);
// The name of a kind, as the schedule spells it.
char const* fault_name(Fault::Kind kind);
// The help text: one line for each kind of fault.
std::string fault_table();
// Parses a schedule, KIND@SECONDS:KEY=VALUE,..; .., into faults in the order of their times.
Result<std::vector<Fault>> parse_faults(std::string const& text);

}  // namespace pipit::platform_fleet
