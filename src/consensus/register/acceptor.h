// The acceptor of the register, on a machine with a disk (§5.3).
#pragma once
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/register/ballot.h"
#include "consensus/register/outgoing_message.h"
#include "wire_generated.h"

namespace pipit {

// Promises and accepts ballots for one replica. It replies to nothing before the state that the reply tells of is
// synced: the owner writes each record that step() returns and calls on_synced() when it is on disk.
//
// State: the record as it is to be, the record as it is on disk, requests that wait for step(), and replies that wait
// for the sync. Called from the node's loop only.
//
// Invariants: the promised and the accepted ballot never go down; one ballot has one value; at most one sync is under
// way.
class Acceptor {
 public:
  // The durable state as recovered, or formatted anew.
  explicit Acceptor(wire::RecordT recovered);

  // Queues a request (Prepare, Accept or Bootstrap) for step(). A full queue drops it: its sender asks again.
  void enqueue(std::string from, wire::BodyUnion body);
  // Handles the queued requests, unless a sync is under way. Returns the record to sync when the state changed; else
  // the replies are ready in 'out'.
  std::optional<wire::RecordT> step(std::vector<OutgoingMessage>& out);
  // Notes the seeds of the first start on a blank disk, so that a later incarnation may still take part in bootstrap;
  // step() has it synced.
  void record_bootstrap_seeds(std::vector<std::string> const& seeds);
  // Notes the membership by which quotas are handed out here; step() has it synced.
  void record_quota_members(std::uint64_t fingerprint);
  // The record that step() returned is synced: 'out' gets the replies that waited for it.
  void on_synced(std::vector<OutgoingMessage>& out);

  // The state that is on disk; what others are told comes from here.
  wire::RecordT const& durable_state() const { return durable_state_; }
  std::size_t backlog() const { return requests_.size(); }

 private:
  // Handles one request and checks that no ballot went down. Like the handlers, returns whether the state changed.
  bool handle(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out);
  bool dispatch(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out);
  bool handle_prepare(std::string const& from, wire::PrepareT const& request, std::vector<OutgoingMessage>& out);
  bool handle_accept(std::string const& from, wire::AcceptT& request, std::vector<OutgoingMessage>& out);
  bool handle_bootstrap(wire::BootstrapT const& request);
  // The value that an accept brings, in full or as a patch of the present one; nothing when its base is missing.
  std::unique_ptr<wire::ValueT> value_to_accept(wire::AcceptT& request) const;

  wire::RecordT state_;          // with what is not synced yet
  wire::RecordT durable_state_;  // what is synced
  bool sync_in_progress_ = false;
  bool record_update_pending_ = false;                            // a note changed the record since the last step
  std::deque<std::pair<std::string, wire::BodyUnion>> requests_;  // with their senders
  std::vector<OutgoingMessage> unsynced_replies_;                 // to send once the sync is done
};

// What a replica tells of its value. The membership goes along only when it is not the one that the asker knows.
wire::ReadReplyT make_read_reply(wire::RecordT const& state, wire::ReadRequestT const& request);

}  // namespace pipit
