// What a node wants done by whoever runs it: frames to send, a record to sync, answers to callers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/register/proposer.h"
#include "mesh/effects.h"
#include "node/worker_departures.h"
#include "routing/chat/chat_dispatcher.h"
#include "routing/dispatch/dispatcher.h"

namespace pipit {

// What an operator asked, answered.
struct Reply {
  std::uint64_t id = 0;
  Outcome outcome;
  std::vector<std::string> missing;  // nodes that have not confirmed, of an 'empty'
  std::string change;
};

struct Check {
  std::string worker;
  std::string address;
  std::uint64_t incarnation = 0;
  Micros asked = 0;
};

struct NodeEffects {
  ConnectionEffects mesh;
  std::optional<wire::RecordT> save;
  std::vector<Reply> replies;
  std::vector<DepartureAnswer> end_answers;
  ChatEffects chat;
  DispatchEffects dispatch;
  bool read_list = false;
  std::vector<Check> checks;
};

}  // namespace pipit
