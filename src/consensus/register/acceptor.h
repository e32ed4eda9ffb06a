// The Paxos acceptor of the register, on a machine with a disk (§5.3).
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

// Promises and accepts ballots for one replica. A reply is held back until the state that it reports is synced: the
// owner writes each record that step() returns and calls on_synced() once the record is on disk.
//
// State: the record with the changes not synced yet, the record on disk, the requests queued for step(), and the
// replies held back until the sync is done. Called from the node's loop only.
//
// Invariants: the promised and the accepted ballot never decrease; a ballot has one value; at most one sync is in
// progress.
class Acceptor {
 public:
  // `recovered` is the durable state as the record store opened or formatted it.
  explicit Acceptor(wire::RecordT recovered);

  // Queues a request (Prepare, Accept or Bootstrap) for step(). A full queue drops the request; its sender retries.
  void enqueue(std::string from, wire::BodyUnion body);
  // Handles the queued requests, unless a sync is in progress. Returns the record to sync if the state changed;
  // otherwise the replies are appended to `out`.
  std::optional<wire::RecordT> step(std::vector<OutgoingMessage>& out);
  // Records the seeds of the first start on a blank disk, so that a later incarnation can still take part in the
  // bootstrap. The next step() returns the record to sync. Ignored once the replica has a value or seeds.
  void record_bootstrap_seeds(std::vector<std::string> const& seeds);
  // Records the fingerprint of the membership by which this replica allocates quota. The next step() returns the record
  // to sync.
  void record_quota_members(std::uint64_t fingerprint);
  // To be called when the record that step() returned is synced. Appends the replies held back for it to `out`.
  void on_synced(std::vector<OutgoingMessage>& out);

  // The state that is on disk. Replies to other nodes are built from this state only.
  wire::RecordT const& durable_state() const { return durable_state_; }
  // The number of queued requests.
  std::size_t backlog() const { return requests_.size(); }

 private:
  // Handles one request and checks that no ballot decreased. Like the handlers below, returns whether the state
  // changed.
  bool handle(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out);
  bool dispatch(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out);
  bool handle_prepare(std::string const& from, wire::PrepareT const& request, std::vector<OutgoingMessage>& out);
  bool handle_accept(std::string const& from, wire::AcceptT& request, std::vector<OutgoingMessage>& out);
  bool handle_bootstrap(wire::BootstrapT const& request);
  // The value of an accept request, sent in full or as a patch of the accepted value; nullptr if this replica lacks
  // the base of the patch.
  std::unique_ptr<wire::ValueT> value_to_accept(wire::AcceptT& request) const;

  wire::RecordT state_;          // including changes not synced yet
  wire::RecordT durable_state_;  // as last synced
  bool sync_in_progress_ = false;
  bool record_update_pending_ = false;                            // record_...() changed the record since the last step
  std::deque<std::pair<std::string, wire::BodyUnion>> requests_;  // each with its sender
  std::vector<OutgoingMessage> unsynced_replies_;                 // to send once the sync is done
};

// A replica's reply to a read request. The membership is included only if its fingerprint differs from the one in the
// request, and the value only if the request asks for it.
wire::ReadReplyT make_read_reply(wire::RecordT const& state, wire::ReadRequestT const& request);

}  // namespace pipit
