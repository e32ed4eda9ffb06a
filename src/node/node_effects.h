// Work that a node hands to the process that runs it: frames to send, a record to sync, answers to callers.
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

// The way of a change from the node that was called.
struct ChangePath {
  std::string proposer;     // the node that proposed it
  Micros forwarded = 0;     // time until that node replied; 0 if this node proposed the change
  Micros forward_lost = 0;  // time that an unanswered forward took before this node proposed the change itself
};

// The answer to an operator's change or read.
struct ChangeReply {
  std::uint64_t id = 0;  // of the operator's call, as given to Node::submit_change()
  Outcome outcome;
  std::vector<std::string> unconfirmed;  // for an 'empty': nodes that have not confirmed it
  std::string change_id;
  ChangePath path;
};

// A request for a worker's health report.
struct HealthCheck {
  std::string worker;
  std::string address;  // of the worker, from the platform's list
  std::uint64_t incarnation = 0;
  Micros sent_at = 0;
};

// What one call of a Node asks its process to do. The process carries out everything in it after the call.
struct NodeEffects {
  ConnectionEffects mesh;
  // To be synced to disk; Node::record_synced() is called afterwards.
  std::optional<wire::RecordT> record_to_sync;
  std::vector<ChangeReply> replies;
  std::vector<DepartureAnswer> end_answers;
  ChatEffects chat;
  DispatchEffects dispatch;
  // The platform's list of workers is to be read; the result goes to Node::handle_worker_list().
  bool read_list = false;
  // Each result goes to Node::handle_health_report().
  std::vector<HealthCheck> health_checks;
};

}  // namespace pipit
